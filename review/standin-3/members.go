package main

import (
	"net/http"
	"time"
)

// drillMembers checks that a route that was added later is served after a drill. The machine of its service had joined since
// the copy was taken.
func drillMembers(m *mesh, trouble bool) (int, error) {
	first := settings{version: 1, routes: []route{{"read", "/read/", "safe", "desk"}, {"lodge", "/lodge/", "unsafe", "office"}}}
	second := settings{version: 3, routes: append(first.routes[:2:2], route{"portal", "/portal/", "safe", "portal"})}
	m.publish(first)
	for i, service := range []string{"desk", "office", "office", "desk"} {
		if _, err := m.addIn(zones[i%2], service, "v1", 0, true); err != nil {
			return notRun, err
		}
	}
	for _, path := range []string{"/read/1", "/lodge/1"} {
		if err := m.awaitServed(path, 20*time.Second); err != nil {
			return notRun, err
		}
	}
	time.Sleep(5 * time.Second)
	others := m.machines
	before := m.store.takeCopy()
	if _, err := m.addIn(zones[2], "portal", "v1", 0, false); err != nil {
		return notRun, err
	}
	time.Sleep(heartbeat + 300*time.Millisecond)
	m.publish(second)
	if err := m.awaitServed("/portal/1", 5*time.Second); err != nil {
		return notRun, err
	}
	time.Sleep(2800 * time.Millisecond)
	if trouble {
		m.store.goAway()
		time.Sleep(250 * time.Millisecond)
		m.store.comeBack(&before)
		m.publish(second)
	}
	time.Sleep(configApply + maxStretch + 2*stability)
	const requests = 25
	served := map[string]int{}
	asked := 0
	for _, v := range others {
		for range requests {
			asked++
			for _, path := range []string{"/read/1", "/portal/1"} {
				a := v.ask(http.MethodGet, path, 1500*time.Millisecond)
				if a.status == http.StatusOK && a.seal != "" {
					served[path]++
				}
				m.record.line("client on %s: GET %s (%s): %d %q, error %v", v.name, path, a.id, a.status, a.body, a.err)
			}
		}
	}
	m.record.line("of %d requests each, served: %d on the first route, %d on the route that was added later", asked, served["/read/1"], served["/portal/1"])
	if 4*served["/portal/1"] < served["/read/1"] {
		return broken, nil
	}
	return held, nil
}
