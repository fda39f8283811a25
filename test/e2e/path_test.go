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

// key returns a new idempotency key.
func (m *mesh) key() string {
	m.keys++
	return fmt.Sprintf("%s-%d", m.t.Name(), m.keys)
}

// deposits makes n deposits and returns their keys. A request that was refused without a run is sent again, as a caller
// does.
func (m *mesh) deposits(n int) []string {
	m.t.Helper()
	keys := make([]string, n)
	for i := range keys {
		keys[i] = m.key()
		m.eventually("a successful deposit", func() bool {
			a := call(m.instances[0].callers, http.MethodPost, "/deposits", keys[i], "x")
			if !a.answered() && a.outcome != "not-run" {
				m.t.Fatalf("deposit %s: %+v", keys[i], a)
			}
			return a.answered()
		})
	}
	return keys
}

// Guards against a fault anywhere between the submission of a release note and a complete response, at every node.
func TestRequestPassesThroughEveryNode(t *testing.T) {
	t.Parallel()
	m := nairobi(t, nairobiZones...)
	for _, in := range m.instances {
		if a := call(in.callers, http.MethodGet, "/capsules/1", "", ""); !a.answered() || !strings.HasPrefix(a.body, "ran GET /capsules/1") {
			t.Errorf("lookup at %s: %+v", in.id, a)
		}
		key := m.key()
		if a := call(in.callers, http.MethodPost, "/deposits", key, "deposit"); !a.answered() {
			t.Errorf("deposit at %s: %+v", in.id, a)
		}
		if n := m.runs(key); n != 1 {
			t.Errorf("deposit at %s ran %d times", in.id, n)
		}
	}
	m.submit("nairobi/02-school-term.yaml", 2)
	if a := call(m.instances[0].callers, http.MethodGet, "/schools/archive", "", ""); !a.answered() {
		t.Errorf("route of the second note: %+v", a)
	}
	if a := call(m.instances[0].callers, http.MethodGet, "/sealing-fees", "", ""); a.status != http.StatusNotFound {
		t.Errorf("withdrawn route: %+v", a)
	}
}

// Guards against a planned stop that aborts a request in flight or loses the record of a request with an idempotency
// key.
func TestPlannedStopCutsNothing(t *testing.T) {
	t.Parallel()
	m := nairobi(t, nairobiZones...)
	keys := m.deposits(12)
	leaving := m.instances[1]
	stopping, answers := make(chan struct{}), make(chan answer, 1024)
	var load sync.WaitGroup
	for _, in := range m.instances {
		if in == leaving {
			continue
		}
		load.Go(func() {
			for {
				answers <- call(in.callers, http.MethodGet, "/deposits/1", "", "")
				select {
				case <-stopping:
					return
				default:
				}
			}
		})
	}
	go func() { leaving.node.stop(t); close(stopping); load.Wait(); close(answers) }()
	for a := range answers {
		if a.err != nil || (a.status != http.StatusOK && a.outcome != "not-run") {
			t.Errorf("during the stop: %+v", a)
		}
	}
	for _, key := range keys {
		a := call(m.instances[0].callers, http.MethodPost, "/deposits", key, "x")
		if n := m.runs(key); n != 1 {
			t.Errorf("resend of %s after the stop: %d runs, %+v", key, n, a)
		}
	}
}

// Guards against a second run of a deposit when its home is killed and the caller resends it through another node.
func TestResendAfterKilledHomeRunsOnce(t *testing.T) {
	t.Parallel()
	m := nairobi(t, nairobiZones...)
	keys := m.deposits(12)
	killed := m.instances[1]
	killed.node.kill()
	for _, key := range keys {
		a := call(m.instances[0].callers, http.MethodPost, "/deposits", key, "x")
		if n := m.runs(key); n != 1 {
			t.Errorf("resend of %s after the kill: %d runs, %+v", key, n, a)
		}
	}
	m.eventually("all resends to succeed", func() bool {
		for _, key := range keys {
			if a := call(m.instances[0].callers, http.MethodPost, "/deposits", key, "x"); !a.answered() {
				return false
			}
		}
		return true
	})
	for _, key := range keys {
		if n := m.runs(key); n != 1 {
			t.Errorf("%s ran %d times after the membership had changed", key, n)
		}
	}
}
