package main

import (
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	// firstGrace and laterGrace are graceS of the settings before and after they change.
	firstGrace, laterGrace = 6 * time.Second, 4 * time.Second
	// lateAfter is the time after a SIGTERM from which no request is excused because its instance was still at work.
	lateAfter = 3 * time.Second
	// clientDeadline is X-Deadline-Ms of the requests.
	clientDeadline = 1400 * time.Millisecond
)

// changedGrace checks LOST around a SIGTERM that comes after graceS has become shorter.
func changedGrace(m *mesh, trouble bool) (int, error) {
	m.grace, m.work = laterGrace, 700*time.Millisecond
	if trouble {
		m.grace = firstGrace
	}
	m.publish(settings{version: 1, routes: []route{{"read", "/read/", "safe", "desk"}, {"lodge", "/lodge/", "unsafe", "desk"}}})
	// Each zone has one node, so that clients stay although it is not ready any more.
	for _, service := range []string{"office", "desk", "desk"} {
		if _, err := m.add(service, "v1", 0, true); err != nil {
			return notRun, err
		}
	}
	if err := m.awaitServed("/read/1", 20*time.Second); err != nil {
		return notRun, err
	}
	time.Sleep(2 * stability)
	v := m.machines[0]
	if trouble {
		m.grace = laterGrace
		if err := os.WriteFile(v.settingsPath(), []byte(v.settings(true)), 0o600); err != nil {
			return notRun, err
		}
		m.record.line("platform: the settings of %s change: graceS is %v", v.name, m.grace)
		v.signal(syscall.SIGHUP)
	}
	time.Sleep(10 * time.Second)
	m.recordsRuns.Store(true)
	v.signal(syscall.SIGTERM)
	stopped := time.Now()
	killed := make(chan time.Time, 1)
	go func() {
		select {
		case <-v.ended:
		case <-time.After(laterGrace):
			v.signal(syscall.SIGKILL)
			killed <- time.Now()
		}
	}()
	var clients sync.WaitGroup
	var mu sync.Mutex
	lost := 0
	for i := 0; time.Since(stopped) < laterGrace+time.Second; i++ {
		clients.Go(func() {
			sent, method, path := time.Since(stopped), http.MethodGet, "/read/1"
			if i%2 == 1 {
				method, path = http.MethodPost, "/lodge/1"
			}
			a := v.ask(method, path, clientDeadline)
			passedOn := m.ran(a.id)
			outcome := ""
			// The instances never break off, and the deadline is that of the client.
			if a.err != nil && passedOn && sent > lateAfter && a.took < clientDeadline-50*time.Millisecond {
				outcome = ": LOST"
				mu.Lock()
				lost++
				mu.Unlock()
			}
			m.record.line("client on %s: %s %s (%s), sent %.2f s after the SIGTERM, ended %.2f s later: %d, error %v, passed on %v%s", v.name, method, path, a.id,
				sent.Seconds(), a.took.Seconds(), a.status, a.err, passedOn, outcome)
		})
		time.Sleep(50 * time.Millisecond)
	}
	clients.Wait()
	m.record.line("%d requests were lost", lost)
	if lost > 0 {
		return broken, nil
	}
	return held, nil
}
