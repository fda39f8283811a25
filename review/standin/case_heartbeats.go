package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// lateBy is how late the held-up heartbeats arrive.
const lateBy = 3 * time.Second

// lateHeartbeats shows DRAIN: an instance deregisters, its node acknowledges that and restarts, and two heartbeats from
// before arrive late. The node then sends the instance requests again, long after the drain time.
func lateHeartbeats(w *world) error {
	front := w.addNode("front-1", "portal", "east")
	desks := []*node{w.addNode("desk-1", "deposits", "east"), w.addNode("desk-2", "deposits", "west")}
	work := func(*http.Request, []byte) (int, string) {
		time.Sleep(20 * time.Millisecond)
		return http.StatusOK, "done"
	}
	w.addInstance(front, "i-portal", 18, work)
	var leaving *instance
	var mu sync.Mutex
	var ran []time.Time // the arrivals at the leaving instance
	for i, n := range desks {
		in := w.addInstance(n, fmt.Sprintf("i-deposits-%d", i+1), 18, work)
		if i == 0 {
			leaving = in
		}
	}
	leaving.work = func(*http.Request, []byte) (int, string) {
		mu.Lock()
		ran = append(ran, time.Now())
		mu.Unlock()
		time.Sleep(20 * time.Millisecond)
		return http.StatusOK, "done"
	}
	// Heartbeats are 1.5 s apart. The last two before the departure are held up.
	const firstHeld = 9
	sent := make(chan struct{}, 1)
	leaving.holdHeartbeat = func(sequence int64) time.Duration {
		if sequence == firstHeld+1 {
			sent <- struct{}{}
		}
		if w.trouble && sequence >= firstHeld {
			return lateBy
		}
		return 0
	}
	w.putConfig(5, []route{{name: "lookup", host: "mesh.example", prefix: "/lookup/", kind: "safe", service: "deposits", timeoutMs: 2500, targetMs: 400, priority: 1, maxAttempts: 2}},
		"portal", "deposits")
	if err := w.startAll(); err != nil {
		return err
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(25 * time.Millisecond):
			}
			wg.Go(func() {
				w.send(front, request{method: "GET", host: "mesh.example", path: fmt.Sprintf("/lookup/%d", i), deadline: 2 * time.Second})
			})
		}
	})
	<-sent
	time.Sleep(100 * time.Millisecond)
	if !leaving.deregister() {
		return fmt.Errorf("the departure was not acknowledged")
	}
	acked := time.Now()
	w.logf(leaving.id, "the departure is acknowledged; goes on serving for 20 s")
	started := w.start
	if w.trouble {
		time.Sleep(100 * time.Millisecond)
		w.logf("fault", "kills the node beside %s", leaving.id)
		desks[0].kill()
		time.Sleep(300 * time.Millisecond)
		if err := desks[0].run(); err != nil {
			return err
		}
		started = time.Now()
	}
	time.Sleep(20*time.Second - time.Since(acked))
	close(stop)
	wg.Wait()
	late, during := 0, 0
	var last time.Duration
	mu.Lock()
	defer mu.Unlock()
	for _, t := range ran {
		if t.After(acked.Add(drainTime)) {
			during++
			if t.After(started.Add(stability)) {
				late++
				last = t.Sub(acked)
			}
		}
	}
	w.logf("check", "%d requests reached %s later than %d ms after the ack, %d of them when its machine was in touch, the last one %d ms after the ack",
		during, leaving.id, drainTime.Milliseconds(), late, last.Milliseconds())
	if late > 0 {
		return fmt.Errorf("DRAIN: %d requests reached an instance up to %d ms after the ack of its departure: %w", late, last.Milliseconds(), errBroken)
	}
	return nil
}
