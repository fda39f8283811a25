package e2e

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/monsoonlatch/monsoonlatch/internal/forwarder"
	"github.com/monsoonlatch/monsoonlatch/internal/standin/backend"
)

// longWork is a run that is still going on when the test acts on it.
const longWork = "1s"

// Guards against a second run, a false "not run" or a foreign answer when a caller that lost the answer sends the
// request again through every other node.
func TestResendAfterLostAnswer(t *testing.T) {
	t.Parallel()
	for name, d := range map[string]deployment{"nairobi": nairobiKeyed, "galway": galwayKeyed} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			m := d.start(t)
			r := newRecorder(m)
			var all sync.WaitGroup
			for _, path := range d.keyed {
				for _, fault := range []string{"", "close", "silent", "cut-length", "cut-chunk", "no-end", "crossed", "shed", "silent-unread"} {
					all.Go(func() { r.resendEverywhere(path, path+" "+fault, backend.HeaderFault, fault) })
				}
				all.Go(func() { r.otherBody(path) })
				all.Go(func() { r.whileRunning(path) })
			}
			all.Wait()
			r.judge()
		})
	}
}

// resendEverywhere sends a request with a fault once, and then without it through every node.
func (r *recorder) resendEverywhere(path, key string, headers ...string) {
	r.send(r.m.instances[0], path, key, "x", headers...)
	for _, in := range r.m.instances {
		r.send(in, path, key, "x")
	}
}

func (r *recorder) otherBody(path string) {
	key := path + " other body"
	// The silent requests beside it may make the node refuse the first tries: it expects work to take that long.
	r.m.eventually("an answer to "+key, func() bool { return r.send(r.m.instances[0], path, key, "x").answered() })
	for _, in := range r.m.instances {
		if a := r.send(in, path, key, "y"); a.outcome != "not-run" || a.status != 422 {
			r.m.t.Errorf("%s at %s: %+v", key, in.id, a)
		}
	}
}

// whileRunning resends through every node while the first try runs; all callers get the answer of the one run.
func (r *recorder) whileRunning(path string) {
	key := path + " while running"
	var resends sync.WaitGroup
	for _, in := range r.m.instances {
		resends.Go(func() {
			if a := r.send(in, path, key, "x", backend.HeaderServiceTime, longWork); !a.answered() && a.status != 409 && a.outcome != "not-run" {
				r.m.t.Errorf("%s at %s: %+v", key, in.id, a)
			}
		})
	}
	resends.Wait()
}

// disruption is a failure while a key runs and others have run.
type disruption struct {
	deployment   deployment
	platformDown bool
	// atIngress disrupts the node that took the request, not the home of its key.
	atIngress bool
	do        func(*mesh, *instance)
	// keeps states that the request in flight is answered.
	keeps bool
}

func killNode(_ *mesh, in *instance)  { in.node.kill() }
func drainNode(_ *mesh, in *instance) { in.node.signal(syscall.SIGTERM) }

func restartNode(m *mesh, in *instance) {
	in.node.kill()
	m.startNode(in)
}

func cutZone(mode forwarder.Mode, platform bool) func(*mesh, *instance) {
	return func(m *mesh, in *instance) { m.linkZone(in.zone, mode, platform) }
}

// Guards against a second run of a deposit, sealing fee, charge or wake-up order, and against a false "not run", when
// nodes fail while the request runs or after it has run, and the caller sends it again through other nodes.
func TestResendAfterDisruption(t *testing.T) {
	t.Parallel()
	for name, d := range map[string]disruption{
		"ingress killed":                {deployment: nairobiKeyed, atIngress: true, do: killNode},
		"home killed":                   {deployment: galwayKeyed, do: killNode},
		"home killed, platform down":    {deployment: nairobiKeyed, do: killNode, platformDown: true},
		"home drained":                  {deployment: nairobiKeyed, do: drainNode, keeps: true},
		"home drained, platform down":   {deployment: galwayKeyed, do: drainNode, platformDown: true, keeps: true},
		"home restarted":                {deployment: galwayKeyed, do: restartNode},
		"home restarted, platform down": {deployment: nairobiKeyed, do: restartNode, platformDown: true},
		"zone cut":                      {deployment: nairobiKeyed, do: cutZone(forwarder.Cut, false)},
		"zone silent, platform cut":     {deployment: galwayKeyed, do: cutZone(forwarder.Blackhole, true)},
		"zone cut, platform down":       {deployment: galwayKeyed, do: cutZone(forwarder.Cut, false), platformDown: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d.run(d.deployment.start(t))
		})
	}
}

func (d disruption) run(m *mesh) {
	r := newRecorder(m)
	paths := d.deployment.keyed
	done := r.fresh(paths, "done", 8)
	for path, keys := range done {
		for _, key := range keys {
			r.deliver(m.instances[0], path, key)
		}
	}
	stopLoad := r.load(paths)
	key, ingress := m.t.Name()+"-in-flight", m.ingress(d.deployment)
	inFlight := make(chan answer, 1)
	go func() { inFlight <- r.untilTaken(ingress, paths[0], key) }()
	victim := m.home(key)
	if d.atIngress {
		victim = ingress
	}
	if d.platformDown {
		m.platformFaults(`{"down":true}`)
	}
	d.do(m, victim)
	r.resend(paths[:1], map[string][]string{paths[0]: {key}})
	if a := <-inFlight; d.keeps && !a.answered() {
		m.t.Errorf("the request in flight was not answered: %+v", a)
	}
	r.resend(paths, done)
	stopLoad()
	r.recover(d, paths, done, key)
	if d.keeps {
		r.replayed(ingress, done)
	}
	r.judge()
}

// replayed waits until every key is answered, as it must be when its records were handed over.
func (r *recorder) replayed(in *instance, keys map[string][]string) {
	r.m.t.Helper()
	r.m.eventually("replayed answers to all keys", func() bool {
		for path, list := range keys {
			for _, key := range list {
				if a := r.send(in, path, key, "x"); !a.answered() {
					return false
				}
			}
		}
		return true
	})
}

// deliver sends a request until it is answered. Only a refusal "not run" may be repeated.
func (r *recorder) deliver(in *instance, path, key string) {
	r.m.t.Helper()
	r.m.eventually("an answer to "+key, func() bool {
		a := r.send(in, path, key, "x")
		if !a.answered() && a.outcome != "not-run" {
			r.m.t.Fatalf("%s: %+v", key, a)
		}
		return a.answered()
	})
}

// untilTaken sends a long request again while it is refused without a run, as beside the load it may be.
func (r *recorder) untilTaken(in *instance, path, key string) answer {
	for {
		a := r.send(in, path, key, "x", backend.HeaderServiceTime, longWork)
		if a.err != nil || a.outcome != "not-run" || r.m.runs(key) > 0 {
			return a
		}
	}
}

// recover ends the disruption of links and platform, and resends all keys.
func (r *recorder) recover(d disruption, paths []string, done map[string][]string, key string) {
	for _, z := range d.deployment.zones {
		r.m.linkZone(z, forwarder.Pass, true)
	}
	r.m.platformFaults(`{}`)
	done[paths[0]] = append(done[paths[0]], key)
	r.resend(paths, done)
}

func (r *recorder) fresh(paths []string, kind string, n int) map[string][]string {
	keys := make(map[string][]string)
	for _, path := range paths {
		for i := range n {
			keys[path] = append(keys[path], fmt.Sprintf("%s-%s-%s-%d", r.m.t.Name(), strings.ReplaceAll(path, "/", "-"), kind, i))
		}
	}
	return keys
}

// resend sends each key through every node at the same time. Nodes that are gone refuse the connection.
func (r *recorder) resend(paths []string, keys map[string][]string) {
	var all sync.WaitGroup
	for _, in := range r.m.instances {
		all.Go(func() {
			for _, path := range paths {
				for _, key := range keys[path] {
					r.send(in, path, key, "x")
				}
			}
		})
	}
	all.Wait()
}

// load sends new keys through every node, each followed by a resend through the next node, until it is stopped.
func (r *recorder) load(paths []string) (stop func()) {
	stopping := make(chan struct{})
	var all sync.WaitGroup
	for i, in := range r.m.instances {
		next := r.m.instances[(i+1)%len(r.m.instances)]
		all.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stopping:
					return
				default:
				}
				path, key := paths[n%len(paths)], fmt.Sprintf("%s-load-%d-%d", r.m.t.Name(), i, n)
				r.send(in, path, key, "x", backend.HeaderServiceTime, "20ms")
				r.send(next, path, key, "x")
			}
		})
	}
	return func() { close(stopping); all.Wait() }
}
