// Command standin runs one case of the review: it starts nodes of the project as processes on loopback addresses, plays
// the platform, the instances and the clients in this process, writes what was sent, answered and run to a record, and
// exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// timeLimit ends a case that hangs.
const timeLimit = 115 * time.Second

// errBroken is returned by a case whose rule was broken.
var errBroken = errors.New("rule broken")

var cases = map[string]func(*world) error{
	"extra-bytes":             extraBytes,
	"body-after-early-answer": bodyAfterEarlyAnswer,
	"many-policies":           manyPolicies,
	"idempotency-key":         idempotencyKey,
	"late-heartbeats":         lateHeartbeats,
	"rolling-restart":         rollingRestart,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD-FILE")
		os.Exit(exitNotRun)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

func run(play func(*world) error, recordPath string) int {
	w, err := newWorld(recordPath, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "cannot run:", err)
		return exitNotRun
	}
	done := make(chan error, 1)
	go func() { done <- play(w) }()
	select {
	case err = <-done:
	case <-time.After(timeLimit):
		err = errors.New("time limit reached")
	}
	code := exitHeld
	switch {
	case errors.Is(err, errBroken):
		code = exitBroken
	case err != nil:
		code = exitNotRun
	}
	w.logf("verdict", "exit %d: %v", code, err)
	fmt.Printf("exit %d: %v\n", code, err)
	w.close()
	return code
}
