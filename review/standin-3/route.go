package main

import (
	"net/http"
	"time"
)

// encodedSlash checks ROUTE for requests whose path holds an encoded slash.
func encodedSlash(m *mesh, trouble bool) (int, error) {
	m.publish(settings{version: 1, routes: []route{
		{"orders", "/orders/", "unsafe", "desk"}, {"receipts", "/orders/receipts/", "safe", "office"}, {"cafe", "/caf%C3%A9/", "safe", "desk"}}})
	for _, service := range []string{"desk", "office", "desk", "office"} {
		if _, err := m.add(service, "v1", 0, true); err != nil {
			return notRun, err
		}
	}
	for _, path := range []string{"/orders/1", "/orders/receipts/1"} {
		if err := m.awaitServed(path, 20*time.Second); err != nil {
			return notRun, err
		}
	}
	time.Sleep(2 * stability)
	m.recordsRuns.Store(true)
	path, code := "/orders/receipts-1", held
	if trouble {
		path = "/orders/receipts%2F1"
	}
	for _, v := range m.machines {
		a := v.ask(http.MethodPost, path, 1500*time.Millisecond)
		allowed := "as the configuration allows"
		if a.ranBy("office") {
			allowed, code = "RUN BY A SERVICE TO WHICH NO CONFIGURATION ALLOWS IT TO GO", broken
		}
		m.record.line("client on %s: POST %s (%s): %d %q, error %v: %s", v.name, path, a.id, a.status, a.body, a.err, allowed)
	}
	a := m.machines[0].ask(http.MethodGet, "/caf%C3%A9/1", 1500*time.Millisecond)
	m.record.line("not judged: client on %s: GET /caf%%C3%%A9/1 (%s): %d %q, error %v", m.machines[0].name, a.id, a.status, a.body, a.err)
	return code, nil
}
