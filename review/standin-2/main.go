// Command standin-2 plays the cases of the second review that cannot be put as a day of the users' bench. It starts the nodes
// as separate processes; the platform's store, the backend servers and the clients are stand-ins in its own process.
//
// It exits with 0 if the rule held, 1 if it was broken, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// cases maps the names of the cases to their functions, which report whether the rule was broken. With trouble unset they do
// the same without the disruption.
var cases = map[string]func(w *world, trouble bool) (broken bool, err error){
	"reused-address": reusedAddress,
	"changed-grace":  changedGrace,
	"late-beats":     lateBeats,
	"lost-mark":      lostMark,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, folder string) int {
	w, err := newWorld(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer w.close()
	if os.Getenv("REVIEW_LOGS") != "" {
		defer w.showLogs()
	}
	trouble := os.Getenv("TROUBLE") != "0"
	w.note("case %s, with the disruption: %v", name, trouble)
	broken, err := cases[name](w, trouble)
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		w.note("could not run: %v", err)
		return 2
	case broken:
		fmt.Println("the rule was broken")
		w.note("the rule was broken")
		return 1
	}
	fmt.Println("the rule held")
	w.note("the rule held")
	return 0
}

// showLogs prints what the nodes have logged.
func (w *world) showLogs() {
	for _, v := range w.vms {
		text, _ := os.ReadFile(filepath.Join(w.dir, v.name+".log")) // Missing if the node was never started.
		fmt.Printf("== %s\n%s", v.name, text)
	}
}

// configuration returns the operator's configuration. Each route has the form host, prefix, kind, service, timeoutMs,
// targetLatencyMs, priority.
func configuration(version int, services []string, routes ...route) string {
	text := fmt.Sprintf(`{"version":%d,"resources":[`, version)
	for _, s := range services {
		text += fmt.Sprintf(`{"type":"services","metadata":{"name":%q},"spec":{"maxConnections":110,"healthPath":"/healthz"}},`, s)
	}
	for _, r := range routes {
		text += fmt.Sprintf(`{"type":"routes","metadata":{"name":%q},"spec":{"host":%q,"pathPrefix":%q,"kind":%q,"service":%q,"timeoutMs":%d,"targetLatencyMs":%d,"priority":%d,"maxAttempts":2}},`,
			r.name, host, r.prefix, r.kind, r.service, r.timeoutMs, r.targetMs, r.priority)
	}
	return text + `{"type":"limits","metadata":{"name":"limits"},"spec":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":5000,"idleTimeoutMs":15000}}]}`
}

type route struct {
	name, prefix, kind, service   string
	timeoutMs, targetMs, priority int
}

const host = "jepu9.example"
