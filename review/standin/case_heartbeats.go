package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// lateBy is how late the held-up heartbeats arrive.
	lateBy = 3 * time.Second
	// servesOn is how long the instance goes on serving after the ack of its departure, until it exits.
	servesOn = 9 * time.Second
)

// lateHeartbeats shows DRAIN: an instance deregisters, its node acknowledges that and restarts, and two heartbeats from
// before arrive late. The node then sends the instance requests again, long after the drain time, until it exits.
func lateHeartbeats(w *world) error {
	front := w.addNode("front-1", "portal", "east")
	desks := []*node{w.addNode("desk-1", "deposits", "east"), w.addNode("desk-2", "deposits", "west")}
	const workTime = 200 * time.Millisecond
	work := func(*http.Request, []byte) (int, string) {
		time.Sleep(workTime)
		return http.StatusOK, "done"
	}
	w.addInstance(front, "i-portal", 18, work)
	var leaving *instance
	var mu sync.Mutex
	ran := make(map[string]time.Time) // the arrivals at the leaving instance
	for i, n := range desks {
		in := w.addInstance(n, fmt.Sprintf("i-deposits-%d", i+1), 18, work)
		if i == 0 {
			leaving = in
		}
	}
	leaving.work = func(r *http.Request, _ []byte) (int, string) {
		mu.Lock()
		ran[r.Header.Get("X-Attempt-Id")] = time.Now()
		mu.Unlock()
		time.Sleep(workTime)
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
	w.putConfig(5, []route{{name: "lodge", host: "mesh.example", prefix: "/lodge/", kind: "unsafe", service: "deposits", timeoutMs: 3000, targetMs: 500, priority: 1, maxAttempts: 2}},
		"portal", "deposits")
	if err := w.startAll(); err != nil {
		return err
	}
	sealed := make(map[string]bool) // whether the client has got the instance's answer
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
				res := w.send(front, request{method: "POST", host: "mesh.example", path: fmt.Sprintf("/lodge/%d", i), body: []byte("deposit"), deadline: 2 * time.Second})
				mu.Lock()
				sealed[res.id] = res.sealed
				mu.Unlock()
			})
		}
	})
	<-sent
	time.Sleep(100 * time.Millisecond)
	if !leaving.deregister() {
		return fmt.Errorf("the departure was not acknowledged")
	}
	acked := time.Now()
	w.logf(leaving.id, "the departure is acknowledged; goes on serving for %d ms", servesOn.Milliseconds())
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
	time.Sleep(servesOn - time.Since(acked))
	leaving.exit()
	time.Sleep(3 * time.Second)
	close(stop)
	wg.Wait()
	late, during, lost := 0, 0, 0
	var last time.Duration
	mu.Lock()
	defer mu.Unlock()
	for id, t := range ran {
		if t.After(acked.Add(drainTime)) {
			during++
			if !sealed[id] {
				lost++
			}
			if t.After(started.Add(stability)) {
				late++
				last = max(last, t.Sub(acked))
			}
		}
	}
	w.logf("check", "%d requests reached %s later than %d ms after the ack, %d of them when its machine was in touch, the last one %d ms after the ack; the exit of the instance cut off %d",
		during, leaving.id, drainTime.Milliseconds(), late, last.Milliseconds(), lost)
	if late > 0 {
		return fmt.Errorf("DRAIN: %d requests reached an instance up to %d ms after the ack of its departure: %w", late, last.Milliseconds(), errBroken)
	}
	return nil
}
