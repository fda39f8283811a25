package main

import (
	"net/http"
	"time"
)

// drillConfig checks CONFIG after a drill: the store is away for some seconds and comes back from a copy that lacks the record
// of a machine that was added and one version. The operator writes that version again, and the next one.
func drillConfig(m *mesh, trouble bool) (int, error) {
	const droppedKey = "gxprymh2rrytapjsujqu"
	first := settings{1, []route{{"read", "/read/", "safe", "desk"}, {"lodge", "/lodge/", "unsafe", "office"}}, []string{droppedKey}}
	second, third := first, first
	second.version, second.routes = 3, append(second.routes[:2:2], route{"second", "/second/", "safe", "desk"})
	// The last version drops the route that the second one has added, moves one to another service and drops a key.
	third.version, third.keys = 7, nil
	third.routes = []route{first.routes[0], {"lodge", "/lodge/", "unsafe", "desk"}, {"third", "/third/", "safe", "desk"}}

	m.publish(first)
	for _, service := range []string{"desk", "office"} {
		if _, err := m.add(service, "v1", 0, true); err != nil {
			return notRun, err
		}
	}
	if err := m.awaitServed("/read/1", 20*time.Second); err != nil {
		return notRun, err
	}
	time.Sleep(5 * time.Second)
	before := m.store.takeCopy()
	time.Sleep(500 * time.Millisecond)
	if _, err := m.add("desk", "v1", 0, false); err != nil {
		return notRun, err
	}
	time.Sleep(2500 * time.Millisecond)
	m.publish(second)
	if err := m.awaitServed("/second/1", 5*time.Second); err != nil {
		return notRun, err
	}
	time.Sleep(time.Second)
	if trouble {
		m.store.goAway()
		time.Sleep(3 * time.Second)
		m.store.comeBack(&before)
		m.publish(second)
	}
	acked := m.publish(third)
	// No bound reaches as far: the store is stable again, and each machine in touch.
	time.Sleep(time.Until(acked.Add(configApply + maxStretch + 2*stability)))
	m.recordsRuns.Store(true)
	code := held
	for _, v := range m.machines {
		for _, c := range []struct {
			method, path, key string
			// old is what only an older version allows.
			old func(answer) bool
		}{
			{http.MethodGet, "/third/1", defaultKey, func(a answer) bool { return a.status == http.StatusNotFound }},
			{http.MethodGet, "/second/1", defaultKey, func(a answer) bool { return a.seal != "" }},
			{http.MethodPost, "/lodge/1", defaultKey, func(a answer) bool { return a.ranBy("office") }},
			{http.MethodGet, "/read/1", droppedKey, func(a answer) bool { return a.seal != "" }},
		} {
			a := v.askAs(m.newID(), c.method, c.path, 1500*time.Millisecond, c.key)
			allowed := "as version 7 allows"
			if c.old(a) {
				allowed, code = "AS ONLY AN OLDER VERSION ALLOWS", broken
			}
			m.record.line("client on %s, %.1f s after the ack of version 7: %s %s with key %s (%s): %d %q, error %v: %s", v.name, time.Since(acked).Seconds(),
				c.method, c.path, c.key, a.id, a.status, a.body, a.err, allowed)
		}
	}
	return code, nil
}
