package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// rollGap is the pause between two steps of the rolling restart.
	rollGap = 2 * time.Second
	// longWork is how long the instance works on a request, far less than the route's timeout.
	longWork = 5200 * time.Millisecond
	// longTimeout is the route's timeout and the client's deadline.
	longTimeout = 8 * time.Second
)

// rollingRestart shows LOST: nodes are stopped in turn. The node beside an instance accepts requests after its SIGTERM that
// outlast it and cuts them off at its end. The node that took them from the clients, which has got its SIGTERM too, answers
// 502 while their instance is at work, more than a second before the last sixth of its grace period. Without trouble, only
// the second of the two nodes is stopped.
func rollingRestart(w *world) error {
	front, other := w.addNode("front-1", "portal", "east"), w.addNode("front-2", "portal", "west")
	desk := w.addNode("desk-1", "archive", "west")
	quick := func(*http.Request, []byte) (int, string) { return http.StatusOK, "done" }
	w.addInstance(front, "i-portal-1", 18, quick)
	w.addInstance(other, "i-portal-2", 18, quick)
	w.addInstance(desk, "i-archive", 18, func(*http.Request, []byte) (int, string) {
		time.Sleep(longWork)
		return http.StatusOK, "report"
	})
	w.putConfig(5, []route{{name: "report", host: "mesh.example", prefix: "/report/", kind: "unsafe", service: "archive",
		timeoutMs: int(longTimeout.Milliseconds()), targetMs: 6000, priority: 2, maxAttempts: 2}}, "portal", "archive")
	if err := w.startAll(); err != nil {
		return err
	}
	if w.trouble {
		w.stop(desk)
	}
	const requests = 12
	results := make([]result, requests)
	ends := make([]time.Time, requests)
	var wg sync.WaitGroup
	time.Sleep(rollGap / 2)
	for i := range requests {
		wg.Go(func() {
			results[i] = w.send(front, request{method: "POST", host: "mesh.example", path: fmt.Sprintf("/report/%d", i), body: []byte("season"), deadline: longTimeout})
			ends[i] = time.Now()
		})
	}
	time.Sleep(rollGap / 2)
	stopped := time.Now()
	w.stop(front)
	wg.Wait()
	time.Sleep(longWork) // The instance's answers go into the record.
	// An answer that comes in the last sixth of the grace period is not judged.
	judgedUntil := stopped.Add(grace * 5 / 6)
	lost := 0
	for i, r := range results {
		if !r.sealed && ends[i].Before(judgedUntil) {
			lost++
		}
	}
	w.logf("check", "%d of %d requests were broken off by the node that took them, before the last sixth of its grace period; each was sent %d ms before its SIGTERM, and its instance answers %d ms after it",
		lost, requests, (rollGap / 2).Milliseconds(), (longWork - rollGap/2).Milliseconds())
	if lost > 0 {
		return fmt.Errorf("LOST: %d of %d requests were broken off after the SIGTERM while their instance was at work: %w", lost, requests, errBroken)
	}
	return nil
}

// stop sends SIGTERM to a node, SIGKILL when its grace period is over, and starts it again, as the platform does.
func (w *world) stop(n *node) {
	w.logf("platform", "sends SIGTERM to %s", n.name)
	ended := n.signal(syscall.SIGTERM)
	go func() {
		select {
		case <-ended:
			w.logf("platform", "%s has ended", n.name)
		case <-time.After(grace):
			n.kill()
			w.logf("platform", "%s was killed", n.name)
		}
		if err := n.run(); err != nil {
			w.logf("platform", "%s did not start again: %v", n.name, err)
		}
	}()
}
