package proxy

import (
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
)

// keylessDialect is a dialect in which the header with an idempotency key has no meaning.
type keylessDialect struct{ Native }

func (keylessDialect) ParseIncoming(r *http.Request) Incoming {
	in := Native{}.ParseIncoming(r)
	in.Key, in.Malformed = "", false
	return in
}

// Guards against unsafe requests that are not served because they carry a header that other dialects give a meaning: a node
// without an idempotency guard, or whose dialect has no keys, passes it on like any other header.
func TestKeyWithoutMeaningIsPassedOn(t *testing.T) {
	for name, change := range map[string]func(*node){
		"no guard":               func(n *node) { n.in.Guard, n.eg.Guard = nil, nil },
		"no keys in the dialect": func(n *node) { n.in.Dialect = keylessDialect{} },
		"neither":                func(n *node) { n.in.Guard, n.eg.Guard, n.in.Dialect = nil, nil, keylessDialect{} },
	} {
		m := newMesh(t, "office", "desk")
		var passedOn atomic.Int32
		served := m.nodes[0].web.Config.Handler
		m.nodes[0].web.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get(headerKey) == "k1" {
				passedOn.Add(1)
			}
			served.ServeHTTP(w, r)
		})
		for _, n := range m.nodes {
			change(n)
		}
		for i, n := range m.nodes {
			for range 2 {
				if a := n.post("/deposits", headerKey, "k1"); a.status != 200 || a.header.Get(HeaderReplayed) != "" {
					t.Errorf("%s, via node %d: got %+v, want the response of a run", name, i, a)
				}
			}
		}
		if m.runs() != 4 || passedOn.Load() != 4 {
			t.Errorf("%s: %d runs, %d with the header, want 4", name, m.runs(), passedOn.Load())
		}
	}
}

// Guards against a keyed request that runs at a node without an idempotency guard: sent again with the same key, it would run
// twice.
func TestKeyedCallNeedsAGuard(t *testing.T) {
	m := newMesh(t, "office", "desk")
	m.nodes[0].eg.Guard = nil
	if a := m.nodes[1].post("/deposits", headerKey, "k1"); !a.refusedWith(503, "not-run", metric.RefusedKeyClaimUnavailable) || m.runs() != 0 {
		t.Errorf("got %+v and %d runs, want a refusal without a run", a, m.runs())
	}
}
