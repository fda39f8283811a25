package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// idempotencyKey shows CONFIG and Starved: requests that may run once and bear the header Idempotency-Key are not served
// where their instance is beside another node. Without trouble, the same requests come without the header.
func idempotencyKey(w *world) error {
	front := w.addNode("front-1", "portal", "east")
	desks := []*node{w.addNode("desk-1", "deposits", "east"), w.addNode("desk-2", "deposits", "west")}
	work := func(*http.Request, []byte) (int, string) {
		time.Sleep(20 * time.Millisecond)
		return http.StatusOK, "done"
	}
	w.addInstance(front, "i-portal", 18, work)
	for i, n := range desks {
		w.addInstance(n, fmt.Sprintf("i-deposits-%d", i+1), 18, work)
	}
	routes := []route{
		{name: "lookup", host: "mesh.example", prefix: "/lookup/", kind: "safe", service: "deposits", timeoutMs: 2500, targetMs: 400, priority: 1, maxAttempts: 2},
		{name: "lodge", host: "mesh.example", prefix: "/lodge/", kind: "unsafe", service: "deposits", timeoutMs: 3000, targetMs: 500, priority: 1, maxAttempts: 2},
	}
	w.putConfig(5, routes, "portal", "deposits")
	if err := w.startAll(); err != nil {
		return err
	}
	routes = append(routes, route{name: "pay", host: "mesh.example", prefix: "/pay/", kind: "unsafe", service: "deposits", timeoutMs: 3000, targetMs: 500, priority: 0, maxAttempts: 2})
	w.putConfig(9, routes, "portal", "deposits")
	time.Sleep(applyTime + stability + time.Second)

	var wg sync.WaitGroup
	var firstServed, laterServed atomic.Int64
	const rounds = 100
	count := func(served *atomic.Int64, r request) {
		wg.Go(func() {
			if w.send(front, r).status == http.StatusOK {
				served.Add(1)
			}
		})
	}
	for i := range rounds {
		count(&firstServed, request{method: "GET", host: "mesh.example", path: fmt.Sprintf("/lookup/%d", i), deadline: 2 * time.Second})
		count(&firstServed, request{method: "POST", host: "mesh.example", path: "/lodge/a", body: []byte("deposit"), deadline: 2 * time.Second})
		pay := request{method: "POST", host: "mesh.example", path: "/pay/a", body: []byte("fee"), deadline: 2 * time.Second}
		if w.trouble {
			pay.header = map[string]string{"Idempotency-Key": fmt.Sprintf("%016x", rand.Uint64())}
		}
		count(&laterServed, pay)
		time.Sleep(50 * time.Millisecond)
	}
	wg.Wait()
	first, later := float64(firstServed.Load())/(2*rounds), float64(laterServed.Load())/rounds
	w.logf("check", "served: %.0f%% of %d requests on the first routes, %.0f%% of %d on the route added later", 100*first, 2*rounds, 100*later, rounds)
	if first > 0.9 && later < first/4 {
		return fmt.Errorf("CONFIG: %.0f%% are served on the route added later, %.0f%% on the first routes: %w", 100*later, 100*first, errBroken)
	}
	if first <= 0.9 {
		return fmt.Errorf("only %.0f%% are served on the first routes", 100*first)
	}
	return nil
}
