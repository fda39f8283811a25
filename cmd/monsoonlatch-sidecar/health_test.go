package main

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/monsoonlatch/monsoonlatch/pkg/announce"
	"github.com/monsoonlatch/monsoonlatch/pkg/config"
	"github.com/monsoonlatch/monsoonlatch/pkg/proxy"
	"github.com/monsoonlatch/monsoonlatch/pkg/upstream"
)

// lateSource has a configuration from the given call of Current on.
type lateSource struct {
	snapshot *config.Snapshot
	calls    atomic.Int64
	from     int64
}

func (s *lateSource) Current() *config.Snapshot {
	if s.calls.Add(1) < s.from {
		return nil
	}
	return s.snapshot
}

// Guards against a backend server that stays without work until its next announcement, because the node had no
// configuration yet or the server was busy when its first announcement came, and against one that leaves and gets work.
func TestHealthCheckWaitsForAnAnswer(t *testing.T) {
	snap, err := config.Build(1, "h", config.Configuration{Services: map[string]config.Service{"desk": {Name: "desk", HealthPath: "/healthz"}, "office": {Name: "office"}}})
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		service string
		from    int64
		// busy is the number of checks that the server rejects because of its load.
		busy   int64
		status int
		id     string
		want   bool
	}{
		"accepts":             {service: "desk", status: 200, id: "i-1", want: true},
		"late configuration":  {service: "desk", from: 4, status: 200, id: "i-1", want: true},
		"busy":                {service: "desk", busy: 3, status: 200, id: "i-1", want: true},
		"leaves":              {service: "desk", status: 503, id: "i-1"},
		"busy, then leaves":   {service: "desk", busy: 3, status: 503, id: "i-1"},
		"another server":      {service: "desk", status: 200, id: "i-2"},
		"no path":             {service: "office", status: 200, id: "i-1"},
		"never configuration": {service: "desk", from: 1 << 40, status: 200, id: "i-1"},
	} {
		t.Run(name, func(t *testing.T) {
			var checks atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("X-Instance-Id", c.id)
				if checks.Add(1) <= c.busy {
					w.Header().Set("X-Not-Executed", "1")
					w.WriteHeader(http.StatusServiceUnavailable)
					return
				}
				w.WriteHeader(c.status)
			}))
			defer server.Close()
			pool := upstream.NewPool(upstream.Settings{})
			defer pool.CloseIdle()
			h := &healthChecker{source: &lateSource{snapshot: snap, from: c.from}, backend: pool, onResponse: func(proxy.Verdict) {}}
			if got := h.acceptsWork(t.Context(), announce.Announcement{ID: "i-1", Service: c.service, Address: server.Listener.Addr().String()}); got != c.want {
				t.Errorf("accepts work: %v, want %v", got, c.want)
			}
		})
	}
}
