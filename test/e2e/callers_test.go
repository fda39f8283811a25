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

// of returns the instances of the service.
func (m *mesh) of(service string) []*instance {
	var out []*instance
	for _, in := range m.instances {
		if in.service == service {
			out = append(out, in)
		}
	}
	return out
}

// Guards against returning a response that belongs to another request, is truncated or arrives late as the complete
// response to the caller's request.
func TestBrokenAnswersNeverReachCallers(t *testing.T) {
	t.Parallel()
	m := nairobi(t, nairobiZones...)
	const each = 15
	stop := m.lookups(m.instances)
	for _, kind := range []string{"crossed", "cut-length", "cut-chunk", "no-end", "close", "silent", "silent-unread", "late"} {
		for _, in := range m.of("lookup-desk") {
			m.backendFault(in, kind, each)
		}
		for _, in := range m.instances {
			path := "/capsules/" + kind
			a := call(in.callers, http.MethodGet, path, "", "", backend.HeaderFault, kind)
			if a.err != nil || a.answered() {
				t.Errorf("lookup with fault %q at every attempt, through %s: %+v", kind, in.id, a)
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
	draining := m.of("lookup-desk")[0]
	stop := m.lookups(m.instances)
	m.eventually("a request at the backend server", func() bool { return draining.counts().Total > 0 })
	m.linkControl(draining, forwarder.Cut)
	m.post("http://"+draining.address+"/_standin/drain", "")
	m.eventually("the backend server to be draining", func() bool { return draining.state().BackendServer == "draining" })
	if n := stop(); n == 0 {
		t.Fatal("no lookup succeeded")
	}
	before := draining.counts().Total
	for n := range 200 {
		in := m.instances[n%len(m.instances)]
		if a := call(in.callers, http.MethodGet, fmt.Sprintf("/capsules/%d", n), "", ""); !a.answered() && a.outcome != "not-run" {
			t.Errorf("lookup through %s after the drain was announced: %+v", in.id, a)
		}
	}
	if after := draining.counts().Total; after != before {
		t.Errorf("the draining backend server ran %d requests after it had announced the drain", after-before)
	}
}

// fleet sends calls through all nodes of a mesh. A node that refuses a call because it drains receives no more calls
// until it has been replaced.
type fleet struct {
	m       *mesh
	leaving []atomic.Bool
	stop    chan struct{}
	load    sync.WaitGroup
}

// deliver sends one call until it succeeds, through the next node after each refusal. Only a response that states that
// the call was not run, or a refused connection, may be followed by another attempt.
func (f *fleet) deliver(first int, send func(in *instance) answer) {
	for try := 0; ; try++ {
		i := (first + try) % len(f.m.instances)
		if f.leaving[i].Load() {
			continue
		}
		a := send(f.m.instances[i])
		refused := errors.Is(a.err, syscall.ECONNREFUSED)
		switch {
		case a.answered():
			return
		case refused || a.reason == "draining":
			f.leaving[i].Store(true)
		case a.err != nil || a.outcome != "not-run":
			f.m.t.Errorf("call lost or truncated at %s: %+v", f.m.instances[i].id, a)
			return
		}
		select {
		case <-f.stop:
			return
		default:
		}
	}
}

// run starts workers that call send until f.stop is closed.
func (f *fleet) run(workers int, send func(worker, n int, in *instance) answer) {
	for w := range workers {
		f.load.Go(func() {
			for n := 0; ; n++ {
				f.deliver(w+n, func(in *instance) answer { return send(w, n, in) })
				select {
				case <-f.stop:
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
	f := &fleet{m: m, leaving: make([]atomic.Bool, len(m.instances)), stop: make(chan struct{})}
	f.run(4, func(w, n int, in *instance) answer {
		return r.send(in, "/deposits", fmt.Sprintf("%s-%d-%d", t.Name(), w, n), "x", backend.HeaderWork, "20ms")
	})
	f.run(4, func(w, n int, in *instance) answer {
		path := fmt.Sprintf("/capsules/%d-%d", w, n)
		a := call(in.callers, http.MethodGet, path, "", "", backend.HeaderWork, "20ms")
		if a.answered() && !strings.HasPrefix(a.body, "ran GET "+path+" ") {
			t.Errorf("lookup %s: %+v", path, a)
		}
		return a
	})
	for i, in := range m.instances {
		in.node.stop(t)
		m.startNode(in)
		m.eventually("the replacement of a node to become ready", func() bool {
			st := in.state()
			return st.Version == 1 && st.MembershipSettled && st.BackendServer == "ready"
		})
		f.leaving[i].Store(false)
	}
	close(f.stop)
	f.load.Wait()
	r.judge()
}

// Guards against urgent requests that are starved by a flood of archive listings, and against archive listings that all
// fail during the flood.
func TestFloodOfOneRank(t *testing.T) {
	t.Parallel()
	const flood, urgent = 160, 400
	m := nairobi(t, nairobiZones...)
	stopping := make(chan struct{})
	var listed atomic.Int64
	var all sync.WaitGroup
	for i := range flood {
		in := m.instances[i%len(m.instances)]
		all.Go(func() {
			for {
				select {
				case <-stopping:
					return
				default:
				}
				if call(in.callers, http.MethodGet, "/capsules/archive/1", "", "", backend.HeaderWork, "100ms").answered() {
					listed.Add(1)
				}
			}
		})
	}
	m.eventually("the archive listings of the flood to succeed", func() bool { return listed.Load() > flood })
	answered := 0
	for n := range urgent {
		if call(m.instances[n%len(m.instances)].callers, http.MethodGet, "/checks/custody/1", "", "").answered() {
			answered++
		}
	}
	close(stopping)
	all.Wait()
	t.Logf("%d of %d urgent calls and %d listings succeeded", answered, urgent, listed.Load())
	if answered*100 < urgent*99 {
		t.Errorf("only %d of %d urgent calls succeeded during a flood of archive listings", answered, urgent)
	}
}
