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

// Guards against a loop of calls that fills all slots: it ends at the hop limit with a refusal that names it.
func TestLoopEndsAtTheHopLimit(t *testing.T) {
	m := newMesh(t, "desk")
	m.nodes[0].gate.slots = make(chan struct{}, 2*MaxHops)
	a := m.nodes[0].get("/lookups", backend.HeaderDepth, "1000")
	if a.status != 503 || !strings.Contains(a.body, string(metric.RefusedTooManyHops)) || m.runs() != MaxHops+1 {
		t.Errorf("%d runs, answer %+v", m.runs(), a)
	}
	if n := m.nodes[0].metrics.Snapshot()["refused."+string(metric.RefusedTooManyHops)]; n != 1 {
		t.Errorf("counted %d refusals", n)
	}
}

// Guards against a chain of 14 calls that the hop limit or the drain rules break.
func TestChainOfFourteen(t *testing.T) {
	m := newMesh(t, "desk", "desk", "desk")
	if a := m.nodes[0].get("/lookups", backend.HeaderDepth, "13"); a.status != 200 || m.runs() != 14 {
		t.Errorf("%d runs, answer %+v", m.runs(), a)
	}
}

// Guards against a caller that raises its own rank or gives itself time by system headers, and against a nested call
// that is more urgent, or may take longer, than the call it is made for.
func TestRankAndTimeAreInherited(t *testing.T) {
	m := newMesh(t, "desk")
	n := m.nodes[0]
	forged := []string{HeaderRank, "0", HeaderRemaining, "99000000", HeaderHops, "0", HeaderNotRun, "1", HeaderRetried, "1", HeaderIdempotent, "1", HeaderCall, "0123"}
	if a := n.get("/listings", forged...); a.status != 200 {
		t.Fatalf("%+v", a)
	}
	var mu sync.Mutex
	var remaining []string
	seen := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		remaining = append(remaining, r.Header.Get(HeaderRemaining))
		mu.Unlock()
		if r.Header.Get(HeaderRetried) != "" || r.Header.Get(HeaderNotRun) != "" {
			t.Errorf("the backend server got forged headers: %v", r.Header)
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
		t.Errorf("ranks at admission %v, want %s", n.gate.ranks, want)
	}
	var us [3]time.Duration
	for i := range us {
		_ = json.Unmarshal([]byte(remaining[i]), &us[i])
	}
	if us[1] > us[0] || us[0] > 8*time.Second/time.Microsecond || us[2] <= us[0] {
		t.Errorf("remaining times %v: a nested call has no more than its parent, a policy's deadline bounds all", us)
	}
}

// Guards against retries that multiply along a chain: the failure of the last service is retried next to it only.
func TestRetriesDoNotMultiply(t *testing.T) {
	m := newMesh(t, "desk", "desk", "desk")
	for _, n := range m.nodes {
		for range 50 {
			n.in.choice.budget.Success("desk")
		}
	}
	m.nodes[0].get("/lookups", backend.HeaderDepth, "4", backend.HeaderStatus, "503")
	retries := int64(0)
	for _, n := range m.nodes {
		s := n.metrics.Snapshot()
		retries += s["retry."+string(metric.RetryBackendStatus)]
	}
	if retries == 0 || retries > 2 || m.runs() > 5+2 {
		t.Errorf("%d retries and %d runs for a chain of 5, want the retries of the last hop only", retries, m.runs())
	}
}

// Guards against a call that is sent again by a hop above the one that waits: only the hop next to the silence retries.
func TestOnlyTheHopNextToSilenceRetries(t *testing.T) {
	m := newMesh(t, "desk", "desk", "office")
	done := make(chan answer)
	go func() {
		done <- m.nodes[2].get("/lookups", backend.HeaderDepth, "1", backend.HeaderFault, string(backend.FaultLate))
	}()
	inner := func() (n int64) {
		for _, n0 := range m.nodes[:2] {
			n += n0.metrics.Snapshot()["retry."+string(metric.RetryAttemptTimeout)]
		}
		return n
	}
	await(func() bool { return inner() == 1 && m.runs() == 3 })
	for _, n := range m.nodes[:2] {
		for range 3 {
			n.standin.ReleaseLate()
		}
	}
	if a := <-done; a.status != 200 || m.runs() != 3 {
		t.Errorf("%d runs, answer %+v", m.runs(), a)
	}
	if s := m.nodes[2].metrics.Snapshot(); s["retry."+string(metric.RetryAttemptTimeout)] != 0 {
		t.Errorf("the first hop retried: %v", s)
	}
}

// Guards against an answer that is thrown away although no other instance can give one.
func TestLateAnswerIsKeptWithoutARetry(t *testing.T) {
	m := newMesh(t, "desk", "office")
	for i, n := range m.nodes {
		done := make(chan answer)
		go func() { done <- n.get("/lookups", backend.HeaderFault, string(backend.FaultLate)) }()
		await(func() bool { return n.metrics.Snapshot()["retry."+string(metric.DeniedNoOtherInstance)] == 1 })
		m.nodes[0].standin.ReleaseLate()
		if a := <-done; a.status != 200 || m.runs() != i+1 {
			t.Errorf("node %d: %d runs, answer %+v", i, m.runs(), a)
		}
	}
}
