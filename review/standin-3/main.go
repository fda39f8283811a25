// Command standin-3 plays the cases of the review: it starts a small deployment with stand-ins for the store, the
// instances and the clients, and checks one rule.
package main

import (
	"fmt"
	"os"
)

// Exit codes.
const (
	held    = 0
	broken  = 1
	notRun  = 2
	recName = "record.txt"
)

type caseFunc func(m *mesh, trouble bool) (int, error)

var cases = map[string]caseFunc{"drill-config": drillConfig, "drill-rollout": drillRollout, "drill-members": drillMembers, "drill-departure": drillDeparture}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE FOLDER")
		return notRun
	}
	rec, err := openRecord(os.Args[2] + "/" + recName)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	m, err := newMesh(rec)
	if err != nil {
		rec.line("not run: %v", err)
		return notRun
	}
	defer m.close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.line("case %s, trouble %v", os.Args[1], trouble)
	code, err := cases[os.Args[1]](m, trouble)
	if err != nil {
		rec.line("not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	rec.line("result: %s", map[int]string{held: "the rule held", broken: "the rule is broken"}[code])
	return code
}
