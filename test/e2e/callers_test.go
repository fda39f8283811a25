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

// of returns the instances of a service.
func (m *mesh) of(service string) []*instance {
	var out []*instance
	for _, in := range m.instances {
		if in.service == service {
			out = append(out, in)
		}
	}
	return out
}

// Guards against an answer that belongs to another request, that was cut, or that comes too late being taken for the
// whole answer to the caller's own request.
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
				t.Errorf("lookup that meets %q at each attempt, through %s: %+v", kind, in.id, a)
			}
		}
	}
	if stop() == 0 {
		t.Error("no lookup was answered")
	}
}

// Guards against new work at a backend server after it has announced its drain to its node, while the control links
// that carry the news to the other nodes are cut.
func TestDrainingBackendGetsNoNewWork(t *testing.T) {
	t.Parallel()
	m := nairobi(t, nairobiZones...)
	draining := m.of("lookup-desk")[0]
	stop := m.lookups(m.instances)
	m.eventually("work at the backend server", func() bool { return draining.counts().Total > 0 })
	m.linkControl(draining, forwarder.Cut)
	m.post("http://"+draining.address+"/_standin/drain", "")
	m.eventually("the announcement of the drain", func() bool { return draining.state().BackendServer == "draining" })
	if n := stop(); n == 0 {
		t.Fatal("no lookup was answered")
	}
	before := draining.counts().Total
	for n := range 200 {
		in := m.instances[n%len(m.instances)]
		if a := call(in.callers, http.MethodGet, fmt.Sprintf("/capsules/%d", n), "", ""); !a.answered() && a.outcome != "not-run" {
			t.Errorf("lookup through %s after the drain: %+v", in.id, a)
		}
	}
	if after := draining.counts().Total; after != before {
		t.Errorf("the draining backend server ran %d requests after its announcement", after-before)
	}
}

// fleet is what callers know of the nodes: a node that has refused a call because it drains gets no more calls until
// it has been replaced.
type fleet struct {
	m       *mesh
	leaving []atomic.Bool
	stop    chan struct{}
	load    sync.WaitGroup
}

// deliver sends one call until it is answered, through another node after each refusal. Only a refusal that states that
// the call was not run, and a connection that was refused, may be followed by another try.
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
			f.m.t.Errorf("lost or cut at %s: %+v", f.m.instances[i].id, a)
			return
		}
		select {
		case <-f.stop:
			return
		default:
		}
	}
}

// run sends calls made by send until the stop.
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

// Guards against requests that are lost, cut or run twice while every node is replaced in turn.
func TestRollingReplacement(t *testing.T) {
	t.Parallel()
	m := nairobi(t, nairobiZones...)
	r := newRecorder(m)
	f := &fleet{m: m, leaving: make([]atomic.Bool, len(m.instances)), stop: make(chan struct{})}
	f.run(4, func(w, n int, in *instance) answer {
		return r.send(in, "/deposits", fmt.Sprintf("%s-%d-%d", t.Name(), w, n), "x", backend.HeaderServiceTime, "20ms")
	})
	f.run(4, func(w, n int, in *instance) answer {
		path := fmt.Sprintf("/capsules/%d-%d", w, n)
		a := call(in.callers, http.MethodGet, path, "", "", backend.HeaderServiceTime, "20ms")
		if a.answered() && !strings.HasPrefix(a.body, "ran GET "+path+" ") {
			t.Errorf("%s got %+v", path, a)
		}
		return a
	})
	for i, in := range m.instances {
		in.node.stop(t)
		m.startNode(in)
		m.eventually("the replaced node", func() bool {
			st := in.state()
			return st.Version == 1 && st.MembershipSettled && st.BackendServer == "ready"
		})
		f.leaving[i].Store(false)
	}
	close(f.stop)
	f.load.Wait()
	r.judge()
}

// Guards against urgent work that is starved by a flood of archive listings, and against archive listings that get
// nothing while it lasts.
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
				if call(in.callers, http.MethodGet, "/capsules/archive/1", "", "", backend.HeaderServiceTime, "100ms").answered() {
					listed.Add(1)
				}
			}
		})
	}
	m.eventually("the flood", func() bool { return listed.Load() > flood })
	answered := 0
	for n := range urgent {
		if call(m.instances[n%len(m.instances)].callers, http.MethodGet, "/checks/custody/1", "", "").answered() {
			answered++
		}
	}
	close(stopping)
	all.Wait()
	t.Logf("%d of %d urgent calls and %d listings answered", answered, urgent, listed.Load())
	if answered*100 < urgent*99 {
		t.Errorf("%d of %d urgent calls were answered in a flood of listings", answered, urgent)
	}
}
