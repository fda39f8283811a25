package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// firstRoutes and addedRoutes are the numbers of routes in the first configuration and of those added to it.
	firstRoutes = 40
	addedRoutes = 30
)

// manyPolicies shows CONFIG: the operator adds routes, each with a time-out of its own, and nodes go on with the older
// configuration for good. Without trouble, the added routes have time-outs that other routes have.
func manyPolicies(w *world) error {
	front, desk, other := w.addNode("front-1", "portal", "east"), w.addNode("desk-1", "deposits", "west"), w.addNode("seal-1", "sealing", "west")
	answer := func(text string) func(*http.Request, []byte) (int, string) {
		return func(*http.Request, []byte) (int, string) {
			time.Sleep(10 * time.Millisecond)
			return http.StatusOK, text
		}
	}
	w.addInstance(front, "i-portal", 18, answer("portal"))
	w.addInstance(desk, "i-deposits", 18, answer("deposits"))
	w.addInstance(other, "i-sealing", 18, answer("sealing"))
	var routes []route
	add := func(n int, distinct bool) {
		for range n {
			i := len(routes)
			timeout := 2000 + 25*i
			if !distinct {
				timeout = 2000 + 25*(i%firstRoutes)
			}
			routes = append(routes, route{name: fmt.Sprintf("r-%d", i), host: "mesh.example", prefix: fmt.Sprintf("/desk%d/", i), kind: "safe",
				service: "deposits", timeoutMs: timeout, targetMs: 400, priority: 1, maxAttempts: 2})
		}
	}
	add(firstRoutes, true)
	w.putConfig(5, routes, "portal", "deposits", "sealing")
	if err := w.startAll(); err != nil {
		return err
	}
	get := func(path string) result {
		return w.send(front, request{method: "GET", host: "mesh.example", path: path, deadline: 2 * time.Second})
	}
	if res := get("/desk0/a"); res.status != http.StatusOK || string(res.body) != "deposits" {
		return fmt.Errorf("the first configuration is not in force: status %d", res.status)
	}
	add(addedRoutes, w.trouble)
	routes[0].service = "sealing" // The version also moves a route to another service.
	w.putConfig(9, routes, "portal", "deposits", "sealing")
	acked := time.Now()
	time.Sleep(applyTime + stability + time.Second)
	notFound, old := 0, 0
	for range 4 {
		for i := firstRoutes; i < len(routes); i++ {
			if get(fmt.Sprintf("/desk%d/a", i)).status == http.StatusNotFound {
				notFound++
			}
		}
		if res := get("/desk0/a"); string(res.body) == "deposits" {
			old++
		}
		time.Sleep(3 * time.Second)
	}
	w.logf("check", "from %d ms to %d ms after the ack: %d of %d requests on added routes got 404, %d of 4 on the moved route were run by the old service",
		(applyTime + stability + time.Second).Milliseconds(), time.Since(acked).Milliseconds(), notFound, 4*addedRoutes, old)
	if notFound > 0 || old > 0 {
		return fmt.Errorf("CONFIG: %d requests were refused with 404 and %d run by the old service: %w", notFound, old, errBroken)
	}
	return nil
}
