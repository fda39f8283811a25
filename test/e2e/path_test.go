package e2e

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
)

var (
	nairobiZones    = []string{"westlands", "kasarani"}
	nairobiServices = []string{"lookup-desk", "deposit-office", "sealing-office"}
)

// nairobi starts a mesh of the Nairobi example with its first release note in force, which accepts requests with an
// idempotency key.
func nairobi(t *testing.T, zones ...string) *mesh {
	t.Helper()
	m := newMesh(t, zones, nairobiServices)
	m.submit("nairobi/01-initial.yaml", 1)
	m.waitSettled()
	return m
}

// waitSettled waits until every node has a settled membership. Without one, a node refuses requests with an idempotency
// key.
func (m *mesh) waitSettled() {
	m.t.Helper()
	m.eventually("a settled membership on every node", func() bool {
		for _, in := range m.instances {
			if !in.state().MembershipSettled {
				return false
			}
		}
		return true
	})
}

// newKey returns a new idempotency key.
func (m *mesh) newKey() string {
	m.keyCount++
	return fmt.Sprintf("%s-%d", m.t.Name(), m.keyCount)
}

// makeDeposits makes n deposits and returns their keys. A request that was refused without a run is sent again, as a
// caller does.
func (m *mesh) makeDeposits(n int) []string {
	m.t.Helper()
	keys := make([]string, n)
	for i := range keys {
		keys[i] = m.newKey()
		m.eventually("a successful deposit", func() bool {
			resp := call(m.instances[0].callers, http.MethodPost, "/deposits", keys[i], "x")
			if !resp.succeeded() && resp.outcome != "not-run" {
				m.t.Fatalf("deposit %s: got %+v, want a success or a refusal without a run", keys[i], resp)
			}
			return resp.succeeded()
		})
	}
	return keys
}

// Guards against a node that does not serve the routes of the submitted release notes: every node must answer a lookup
// and run a deposit once, and a second note must add and withdraw routes.
func TestRequestPassesThroughEveryNode(t *testing.T) {
	t.Parallel()
	m := nairobi(t, nairobiZones...)
	for _, in := range m.instances {
		if resp := call(in.callers, http.MethodGet, "/capsules/1", "", ""); !resp.succeeded() ||
			!strings.HasPrefix(resp.body, "ran GET /capsules/1") {
			t.Errorf("lookup at %s: got %+v, want the complete response of a run", in.id, resp)
		}
		key := m.newKey()
		if resp := call(in.callers, http.MethodPost, "/deposits", key, "deposit"); !resp.succeeded() {
			t.Errorf("deposit at %s: got %+v, want a success", in.id, resp)
		}
		if n := m.runs(key); n != 1 {
			t.Errorf("deposit at %s ran %d times, want once", in.id, n)
		}
	}
	m.submit("nairobi/02-school-term.yaml", 2)
	if resp := call(m.instances[0].callers, http.MethodGet, "/schools/archive", "", ""); !resp.succeeded() {
		t.Errorf("route that the second note adds: got %+v, want a success", resp)
	}
	if resp := call(m.instances[0].callers, http.MethodGet, "/sealing-fees", "", ""); resp.status != http.StatusNotFound {
		t.Errorf("route that the second note withdraws: got %+v, want status 404", resp)
	}
}

// Guards against a planned stop that aborts a request in flight or loses the record of a request with an idempotency
// key.
func TestPlannedStopCutsNothing(t *testing.T) {
	t.Parallel()
	m := nairobi(t, nairobiZones...)
	keys := m.makeDeposits(12)
	leaving := m.instances[1]
	stopping, responses := make(chan struct{}), make(chan response, 1024)
	var workers sync.WaitGroup
	for _, in := range m.instances {
		if in == leaving {
			continue
		}
		workers.Go(func() {
			for {
				responses <- call(in.callers, http.MethodGet, "/deposits/1", "", "")
				select {
				case <-stopping:
					return
				default:
				}
			}
		})
	}
	go func() { leaving.node.stop(t); close(stopping); workers.Wait(); close(responses) }()
	for resp := range responses {
		if resp.err != nil || (resp.status != http.StatusOK && resp.outcome != "not-run") {
			t.Errorf("call during the stop: got %+v, want a success or a refusal without a run", resp)
		}
	}
	for _, key := range keys {
		resp := call(m.instances[0].callers, http.MethodPost, "/deposits", key, "x")
		if n := m.runs(key); n != 1 {
			t.Errorf("resend of %s after the stop: %d runs, want 1; response %+v", key, n, resp)
		}
	}
}

// Guards against a second run of a deposit when its home is killed and the caller resends it through another node.
func TestResendAfterKilledHomeRunsOnce(t *testing.T) {
	t.Parallel()
	m := nairobi(t, nairobiZones...)
	keys := m.makeDeposits(12)
	killed := m.instances[1]
	killed.node.kill()
	for _, key := range keys {
		resp := call(m.instances[0].callers, http.MethodPost, "/deposits", key, "x")
		if n := m.runs(key); n != 1 {
			t.Errorf("resend of %s after the kill: %d runs, want 1; response %+v", key, n, resp)
		}
	}
	m.eventually("all resends to succeed", func() bool {
		for _, key := range keys {
			if resp := call(m.instances[0].callers, http.MethodPost, "/deposits", key, "x"); !resp.succeeded() {
				return false
			}
		}
		return true
	})
	for _, key := range keys {
		if n := m.runs(key); n != 1 {
			t.Errorf("%s ran %d times after the membership had changed, want once", key, n)
		}
	}
}
