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

// longWork is the run time of a request that must still be running when the test resends it or causes a failure.
const longWork = "1s"

// Guards against a second run, a false "not run" or the response of another request when a caller resends a request
// through every node after its response was lost.
func TestResendAfterLostAnswer(t *testing.T) {
	t.Parallel()
	for name, d := range map[string]deployment{"nairobi": nairobiSite, "galway": galwaySite} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			m := d.start(t)
			r := newRecorder(m)
			var all sync.WaitGroup
			for _, path := range d.keyedPaths {
				for _, fault := range []string{"", "close", "silent", "cut-length", "cut-chunk", "no-end", "crossed", "shed", "silent-unread"} {
					all.Go(func() { r.resendEverywhere(path, path+" "+fault, backend.HeaderFault, fault) })
				}
				all.Go(func() { r.reuseKeyWithOtherBody(path) })
				all.Go(func() { r.sendWhileRunning(path) })
			}
			all.Wait()
			r.check()
		})
	}
}

// resendEverywhere sends a request once with headers that cause a fault, and then without them through every node.
func (r *recorder) resendEverywhere(path, key string, headers ...string) {
	r.send(r.m.instances[0], path, key, "x", headers...)
	for _, in := range r.m.instances {
		r.send(in, path, key, "x")
	}
}

// reuseKeyWithOtherBody checks that every node refuses the reuse of a key with another body.
func (r *recorder) reuseKeyWithOtherBody(path string) {
	key := path + " other body"
	// The node may refuse the first attempts: the silent requests of the same test raise its estimate of the run time.
	r.m.eventually("a response for "+key, func() bool { return r.send(r.m.instances[0], path, key, "x").succeeded() })
	for _, in := range r.m.instances {
		if resp := r.send(in, path, key, "y"); resp.outcome != "not-run" || resp.status != 422 {
			r.m.t.Errorf("%s at %s: got %+v, want a refusal with status 422", key, in.id, resp)
		}
	}
}

// sendWhileRunning sends a request through every node at the same time. Each caller must receive the response of the
// single run, a 409 or a refusal without a run.
func (r *recorder) sendWhileRunning(path string) {
	key := path + " while running"
	var resends sync.WaitGroup
	for _, in := range r.m.instances {
		resends.Go(func() {
			if resp := r.send(in, path, key, "x", backend.HeaderServiceTime, longWork); !resp.succeeded() &&
				resp.status != 409 && resp.outcome != "not-run" {
				r.m.t.Errorf("%s at %s: got %+v, want a success, status 409 or a refusal without a run", key, in.id, resp)
			}
		})
	}
	resends.Wait()
}

// disruption is a failure that occurs while one request runs and others have completed.
type disruption struct {
	deployment   deployment
	platformDown bool
	// atIngress applies the failure to the node that received the request instead of the home of its key.
	atIngress bool
	apply     func(*mesh, *instance)
	// keepsRecords states that all records are handed over, so that the request in flight succeeds and completed ones are
	// replayed.
	keepsRecords bool
}

func killNode(_ *mesh, in *instance)  { in.node.kill() }
func drainNode(_ *mesh, in *instance) { in.node.signal(syscall.SIGTERM) }

func restartNode(m *mesh, in *instance) {
	in.node.kill()
	m.startNode(in)
}

func cutZone(mode forwarder.Mode, platform bool) func(*mesh, *instance) {
	return func(m *mesh, in *instance) { m.setZoneLinks(in.zone, mode, platform) }
}

// Guards against a second run of a deposit, sealing fee, charge or wake-up order, and against a false "not run", when
// nodes fail during or after the run and the caller resends the request through other nodes.
func TestResendAfterDisruption(t *testing.T) {
	t.Parallel()
	for name, d := range map[string]disruption{
		"ingress killed":                {deployment: nairobiSite, atIngress: true, apply: killNode},
		"home killed":                   {deployment: galwaySite, apply: killNode},
		"home killed, platform down":    {deployment: nairobiSite, apply: killNode, platformDown: true},
		"home drained":                  {deployment: nairobiSite, apply: drainNode, keepsRecords: true},
		"home drained, platform down":   {deployment: galwaySite, apply: drainNode, platformDown: true, keepsRecords: true},
		"home restarted":                {deployment: galwaySite, apply: restartNode},
		"home restarted, platform down": {deployment: nairobiSite, apply: restartNode, platformDown: true},
		"zone cut":                      {deployment: nairobiSite, apply: cutZone(forwarder.Cut, false)},
		"zone silent, platform cut":     {deployment: galwaySite, apply: cutZone(forwarder.Blackhole, true)},
		"zone cut, platform down":       {deployment: galwaySite, apply: cutZone(forwarder.Cut, false), platformDown: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d.run(d.deployment.start(t))
		})
	}
}

// run completes some requests, applies the failure while another request runs, and resends all of them under load. At
// the end it checks the recorded history.
func (d disruption) run(m *mesh) {
	r := newRecorder(m)
	paths := d.deployment.keyedPaths
	completed := r.newKeys(paths, "done", 8)
	for path, keys := range completed {
		for _, key := range keys {
			r.deliver(m.instances[0], path, key)
		}
	}
	stopLoad := r.startLoad(paths)
	key, ingress := m.t.Name()+"-in-flight", m.ingress(d.deployment)
	inFlight := make(chan response, 1)
	go func() { inFlight <- r.sendUntilAccepted(ingress, paths[0], key) }()
	victim := m.home(key)
	if d.atIngress {
		victim = ingress
	}
	if d.platformDown {
		m.platformFaults(`{"down":true}`)
	}
	d.apply(m, victim)
	r.resendAll(paths[:1], map[string][]string{paths[0]: {key}})
	if resp := <-inFlight; d.keepsRecords && !resp.succeeded() {
		m.t.Errorf("request in flight: got %+v, want a success because the records were handed over", resp)
	}
	r.resendAll(paths, completed)
	stopLoad()
	r.restoreAndResend(d, paths, completed, key)
	if d.keepsRecords {
		r.waitReplayed(ingress, completed)
	}
	r.check()
}

// waitReplayed waits until every request succeeds through the node, as it must when the records were handed over.
func (r *recorder) waitReplayed(in *instance, keys map[string][]string) {
	r.m.t.Helper()
	r.m.eventually("replayed responses for all keys", func() bool {
		for path, list := range keys {
			for _, key := range list {
				if resp := r.send(in, path, key, "x"); !resp.succeeded() {
					return false
				}
			}
		}
		return true
	})
}

// deliver sends a request until it succeeds. Only a request that was not run may be sent again.
func (r *recorder) deliver(in *instance, path, key string) {
	r.m.t.Helper()
	r.m.eventually("a successful response for "+key, func() bool {
		resp := r.send(in, path, key, "x")
		if !resp.succeeded() && resp.outcome != "not-run" {
			r.m.t.Fatalf("%s: got %+v, want a success or a refusal without a run", key, resp)
		}
		return resp.succeeded()
	})
}

// sendUntilAccepted sends a long request again while it is refused without a run, which the parallel load may cause.
func (r *recorder) sendUntilAccepted(in *instance, path, key string) response {
	for {
		resp := r.send(in, path, key, "x", backend.HeaderServiceTime, longWork)
		if resp.err != nil || resp.outcome != "not-run" || r.m.runs(key) > 0 {
			return resp
		}
	}
}

// restoreAndResend ends the faults of links and platform, and resends all requests.
func (r *recorder) restoreAndResend(d disruption, paths []string, completed map[string][]string, key string) {
	for _, z := range d.deployment.zones {
		r.m.setZoneLinks(z, forwarder.Pass, true)
	}
	r.m.platformFaults(`{}`)
	completed[paths[0]] = append(completed[paths[0]], key)
	r.resendAll(paths, completed)
}

// newKeys returns n new keys for each path.
func (r *recorder) newKeys(paths []string, kind string, n int) map[string][]string {
	keys := make(map[string][]string)
	for _, path := range paths {
		for i := range n {
			keys[path] = append(keys[path], fmt.Sprintf("%s-%s-%s-%d", r.m.t.Name(), strings.ReplaceAll(path, "/", "-"), kind, i))
		}
	}
	return keys
}

// resendAll sends each request through every node at the same time. Nodes that have stopped refuse the connection.
func (r *recorder) resendAll(paths []string, keys map[string][]string) {
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

// startLoad sends requests with new keys through every node, each followed by a resend through the next node, until
// stop is called.
func (r *recorder) startLoad(paths []string) (stop func()) {
	stopping := make(chan struct{})
	var workers sync.WaitGroup
	for i, in := range r.m.instances {
		next := r.m.instances[(i+1)%len(r.m.instances)]
		workers.Go(func() {
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
	return func() { close(stopping); workers.Wait() }
}
