package proxy

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/monsoonlatch/monsoonlatch/internal/standin/backend"
	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
)

// Guards against a call loop that occupies all slots. It must end at the hop limit with a refusal that states the
// reason.
func TestLoopEndsAtTheHopLimit(t *testing.T) {
	m := newMesh(t, "desk")
	m.nodes[0].gate.slots = make(chan struct{}, 2*MaxHops)
	a := m.nodes[0].get("/lookups", backend.HeaderDepth, "1000")
	if a.status != 503 || !strings.Contains(a.body, string(metric.RefusedTooManyHops)) || m.runs() != MaxHops+1 {
		t.Errorf("%d runs, want one more than the hop limit; response %+v", m.runs(), a)
	}
	if n := m.nodes[0].metrics.Snapshot()["refused."+string(metric.RefusedTooManyHops)]; n != 1 {
		t.Errorf("%d refusals counted for the hop limit, want 1", n)
	}
}

// Guards against refusing a chain of 14 nested calls, half of what the hop limit allows.
func TestChainOfFourteen(t *testing.T) {
	m := newMesh(t, "desk", "desk", "desk")
	if a := m.nodes[0].get("/lookups", backend.HeaderDepth, "13"); a.status != 200 || m.runs() != 14 {
		t.Errorf("%d runs, want 14; response %+v", m.runs(), a)
	}
}

// Guards against a caller that makes its call more urgent or extends its deadline by forging headers of the mesh, and
// against a nested call that is more urgent than its parent or has a later deadline.
func TestRankAndDeadlineAreInherited(t *testing.T) {
	m := newMesh(t, "desk")
	n := m.nodes[0]
	forged := []string{HeaderRank, "0", HeaderRemaining, "99000000", HeaderHops, "0", HeaderNotRun, "1", HeaderRetried, "1", HeaderIdempotent, "1", HeaderCall, "0123"}
	if a := n.get("/listings", forged...); a.status != 200 {
		t.Fatalf("call with forged headers: got %+v, want status 200", a)
	}
	var mu sync.Mutex
	var remaining []string
	seen := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		remaining = append(remaining, r.Header.Get(HeaderRemaining))
		mu.Unlock()
		if r.Header.Get(HeaderRetried) != "" || r.Header.Get(HeaderNotRun) != "" {
			t.Errorf("the backend server received forged headers: %v", r.Header)
		}
		if r.URL.Path == "/listings" {
			n.get("/lookups", HeaderCall, r.Header.Get(HeaderCall))
		}
	})
	srv := &http.Server{Handler: seen}
	ln, _ := net.Listen("tcp", "127.0.0.1:0")
	go srv.Serve(ln) //nolint:errcheck // ends with Close
	defer srv.Close()
	n.addr = ln.Addr().String()
	n.get("/listings", forged...)
	n.get("/lookups", forged...)
	if want := "[5 5 5 0]"; fmt.Sprint(n.gate.ranks) != want {
		t.Errorf("ranks at admission: got %v, want %s", n.gate.ranks, want)
	}
	var us [3]time.Duration
	for i := range us {
		_ = json.Unmarshal([]byte(remaining[i]), &us[i])
	}
	if us[1] > us[0] || us[0] > 8*time.Second/time.Microsecond || us[2] <= us[0] {
		t.Errorf("remaining times %v: want no more than the parent call has, and no more than the policy allows", us)
	}
}

// Guards against retries that multiply along a call chain: only the hop next to the failing service may retry.
func TestRetriesDoNotMultiply(t *testing.T) {
	m := newMesh(t, "desk", "desk", "desk")
	for _, n := range m.nodes {
		for range 50 {
			n.in.selector.retryBudgets.Success("desk")
		}
	}
	m.nodes[0].get("/lookups", backend.HeaderDepth, "4", backend.HeaderStatus, "503")
	retries := int64(0)
	for _, n := range m.nodes {
		s := n.metrics.Snapshot()
		retries += s["retry."+string(metric.RetryBackendStatus)]
	}
	if retries == 0 || retries > 2 || m.runs() > 5+2 {
		t.Errorf("%d retries and %d runs for a chain of 5 calls, want 1 or 2 retries, all by the last hop", retries, m.runs())
	}
}

// Guards against a retry by an earlier hop than the one whose backend server does not respond: only the hop next to
// that backend server may retry.
func TestOnlyHopNextToUnresponsiveBackendRetries(t *testing.T) {
	m := newMesh(t, "desk", "desk", "office")
	done := make(chan answer)
	go func() {
		done <- m.nodes[2].get("/lookups", backend.HeaderDepth, "1", backend.HeaderFault, string(backend.FaultLate))
	}()
	secondHopRetries := func() (n int64) {
		for _, n0 := range m.nodes[:2] {
			n += n0.metrics.Snapshot()["retry."+string(metric.RetryAttemptTimeout)]
		}
		return n
	}
	waitUntil(func() bool { return secondHopRetries() == 1 && m.runs() == 3 })
	for _, n := range m.nodes[:2] {
		for range 3 {
			n.standin.ReleaseLate()
		}
	}
	if a := <-done; a.status != 200 || m.runs() != 3 {
		t.Errorf("%d runs, want 3; response %+v", m.runs(), a)
	}
	if s := m.nodes[2].metrics.Snapshot(); s["retry."+string(metric.RetryAttemptTimeout)] != 0 {
		t.Errorf("the first hop retried the call: %v", s)
	}
}

// Guards against an attempt that is abandoned although no other instance can run the call: its late response must be
// used.
func TestLateAnswerIsUsedWithoutRetry(t *testing.T) {
	m := newMesh(t, "desk", "office")
	for i, n := range m.nodes {
		done := make(chan answer)
		go func() { done <- n.get("/lookups", backend.HeaderFault, string(backend.FaultLate)) }()
		waitUntil(func() bool { return n.metrics.Snapshot()["retry."+string(metric.DeniedNoOtherInstance)] == 1 })
		m.nodes[0].standin.ReleaseLate()
		if a := <-done; a.status != 200 || m.runs() != i+1 {
			t.Errorf("node %d: %d runs in total, want one for each call; response %+v, want status 200", i, m.runs(), a)
		}
	}
}
