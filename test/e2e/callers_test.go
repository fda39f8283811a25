package e2e

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/monsoonlatch/monsoonlatch/internal/forwarder"
	"github.com/monsoonlatch/monsoonlatch/internal/standin/backend"
)

// instancesOf returns the instances of the service.
func (m *mesh) instancesOf(service string) []*instance {
	var out []*instance
	for _, in := range m.instances {
		if in.service == service {
			out = append(out, in)
		}
	}
	return out
}

// Guards against returning a response that belongs to another request, is truncated or arrives late as the complete
// response to the caller's request. The backend servers produce such responses.
func TestBrokenAnswersNeverReachCallers(t *testing.T) {
	t.Parallel()
	m := nairobi(t, nairobiZones...)
	const faultsPerServer = 15
	stop := m.startLookups(m.instances)
	for _, kind := range []string{"crossed", "cut-length", "cut-chunk", "no-end", "close", "silent", "silent-unread", "late"} {
		for _, in := range m.instancesOf("lookup-desk") {
			m.backendFault(in, kind, faultsPerServer)
		}
		for _, in := range m.instances {
			path := "/capsules/" + kind
			resp := call(in.callers, http.MethodGet, path, "", "", backend.HeaderFault, kind)
			if resp.err != nil || resp.succeeded() {
				t.Errorf("lookup with fault %q at every attempt, through %s: got %+v, want an error status without a transport error",
					kind, in.id, resp)
			}
		}
	}
	if stop() == 0 {
		t.Error("no lookup succeeded")
	}
}

// Guards against new requests at a backend server that has announced to its node that it drains, while the control
// links that would carry the announcement to the other nodes are cut.
func TestDrainingBackendGetsNoNewWork(t *testing.T) {
	t.Parallel()
	m := nairobi(t, nairobiZones...)
	draining := m.instancesOf("lookup-desk")[0]
	stop := m.startLookups(m.instances)
	m.eventually("a request at the backend server", func() bool { return draining.counts().Total > 0 })
	m.setControlLinks(draining, forwarder.Cut)
	m.post("http://"+draining.backendAddress+"/_standin/drain", "")
	m.eventually("the backend server to be draining", func() bool { return draining.state().BackendServer == "draining" })
	if n := stop(); n == 0 {
		t.Fatal("no lookup succeeded")
	}
	before := draining.counts().Total
	for n := range 200 {
		in := m.instances[n%len(m.instances)]
		if resp := call(in.callers, http.MethodGet, fmt.Sprintf("/capsules/%d", n), "", ""); !resp.succeeded() &&
			resp.outcome != "not-run" {
			t.Errorf("lookup through %s after the drain was announced: got %+v, want a success or a refusal without a run",
				in.id, resp)
		}
	}
	if after := draining.counts().Total; after != before {
		t.Errorf("the draining backend server ran %d requests after it had announced the drain", after-before)
	}
}

// loadGenerator sends calls through all nodes of a mesh. A node that refuses a call because it drains receives no more
// calls until it has been replaced.
type loadGenerator struct {
	m        *mesh
	draining []atomic.Bool
	stop     chan struct{}
	workers  sync.WaitGroup
}

// deliver sends one call until it succeeds, through the next node after each refusal. Only a response that states that
// the call was not run, or a refused connection, may be followed by another attempt.
func (g *loadGenerator) deliver(first int, send func(in *instance) response) {
	for attempt := 0; ; attempt++ {
		i := (first + attempt) % len(g.m.instances)
		if g.draining[i].Load() {
			continue
		}
		resp := send(g.m.instances[i])
		refused := errors.Is(resp.err, syscall.ECONNREFUSED)
		switch {
		case resp.succeeded():
			return
		case refused || resp.reason == "draining":
			g.draining[i].Store(true)
		case resp.err != nil || resp.outcome != "not-run":
			g.m.t.Errorf("call at %s: got %+v, want a success or a refusal without a run", g.m.instances[i].id, resp)
			return
		}
		select {
		case <-g.stop:
			return
		default:
		}
	}
}

// run starts workers that call send until g.stop is closed.
func (g *loadGenerator) run(workers int, send func(worker, n int, in *instance) response) {
	for w := range workers {
		g.workers.Go(func() {
			for n := 0; ; n++ {
				g.deliver(w+n, func(in *instance) response { return send(w, n, in) })
				select {
				case <-g.stop:
					return
				default:
				}
			}
		})
	}
}

// Guards against requests that are lost, truncated or run twice while every node is replaced in turn.
func TestRollingReplacement(t *testing.T) {
	t.Parallel()
	m := nairobi(t, nairobiZones...)
	r := newRecorder(m)
	g := &loadGenerator{m: m, draining: make([]atomic.Bool, len(m.instances)), stop: make(chan struct{})}
	g.run(4, func(w, n int, in *instance) response {
		return r.send(in, "/deposits", fmt.Sprintf("%s-%d-%d", t.Name(), w, n), "x", backend.HeaderServiceTime, "20ms")
	})
	g.run(4, func(w, n int, in *instance) response {
		path := fmt.Sprintf("/capsules/%d-%d", w, n)
		resp := call(in.callers, http.MethodGet, path, "", "", backend.HeaderServiceTime, "20ms")
		if resp.succeeded() && !strings.HasPrefix(resp.body, "ran GET "+path+" ") {
			t.Errorf("lookup %s: got the response of another request: %+v", path, resp)
		}
		return resp
	})
	for i, in := range m.instances {
		in.node.stop(t)
		m.startNode(in)
		m.eventually("the replacement of a node to become ready", func() bool {
			st := in.state()
			return st.Version == 1 && st.MembershipSettled && st.BackendServer == "ready"
		})
		g.draining[i].Store(false)
	}
	close(g.stop)
	g.workers.Wait()
	r.check()
}

// Guards against urgent requests that are starved by a flood of archive listings, and against archive listings that all
// fail during the flood.
func TestFloodOfOneRank(t *testing.T) {
	t.Parallel()
	const flood, urgent = 160, 400
	m := nairobi(t, nairobiZones...)
	stopping := make(chan struct{})
	var listed atomic.Int64
	var workers sync.WaitGroup
	for i := range flood {
		in := m.instances[i%len(m.instances)]
		workers.Go(func() {
			for {
				select {
				case <-stopping:
					return
				default:
				}
				if call(in.callers, http.MethodGet, "/capsules/archive/1", "", "", backend.HeaderServiceTime, "100ms").succeeded() {
					listed.Add(1)
				}
			}
		})
	}
	m.eventually("the archive listings of the flood to succeed", func() bool { return listed.Load() > flood })
	urgentSucceeded := 0
	for n := range urgent {
		if call(m.instances[n%len(m.instances)].callers, http.MethodGet, "/checks/custody/1", "", "").succeeded() {
			urgentSucceeded++
		}
	}
	close(stopping)
	workers.Wait()
	t.Logf("%d of %d urgent calls and %d listings succeeded", urgentSucceeded, urgent, listed.Load())
	if urgentSucceeded*100 < urgent*99 {
		t.Errorf("only %d of %d urgent calls succeeded during a flood of archive listings, want at least 99%%",
			urgentSucceeded, urgent)
	}
}
