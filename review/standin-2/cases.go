package main

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/monsoonlatch/monsoonlatch/internal/standin/metastore"
)

// load runs clients that send one request after the other until the returned function is called, which returns all requests.
func load(w *world, v *vm, clients int, pause time.Duration, send func(c *client) *request) (stop func() []*request) {
	var stopped atomic.Bool
	var mu sync.Mutex
	var all []*request
	var wg sync.WaitGroup
	for range clients {
		wg.Go(func() {
			c := &client{w: w, vm: v, host: host}
			defer c.close()
			for !stopped.Load() {
				r := send(c)
				w.note("%v", r)
				mu.Lock()
				all = append(all, r)
				mu.Unlock()
				time.Sleep(rand.N(2 * pause)) // Random, so that the clients do not fall into step.
			}
		})
	}
	return func() []*request {
		stopped.Store(true)
		wg.Wait()
		return all
	}
}

// site is a deployment of some VMs in two zones, with an instance on each.
type site struct {
	*world
	runs      *runs
	instances []*instance
	addresses []*address
}

// newSite starts the VMs of the given services, of which the first ones are in the first zone, and waits until all are ready.
func newSite(w *world, b bounds, inFirstZone, slots int, work time.Duration, services []string, routes ...route) (*site, error) {
	s := &site{world: w, runs: newRuns()}
	unique := make(map[string]bool)
	var names []string
	for _, name := range services {
		if !unique[name] {
			unique[name] = true
			names = append(names, name)
		}
	}
	w.store.Put("config", "main", configuration(7, names, routes...))
	for i, service := range services {
		zone := "zone-a"
		if i >= inFirstZone {
			zone = "zone-b"
		}
		v, err := w.addVM(zone, service, b)
		if err != nil {
			return nil, err
		}
		in := newInstance(v, "i-first-"+v.name, service, slots, work, s.runs.add)
		a, err := listen(v, in)
		if err != nil {
			return nil, err
		}
		s.instances, s.addresses = append(s.instances, in), append(s.addresses, a)
		go in.beat()
	}
	if err := w.awaitReady(); err != nil {
		return nil, err
	}
	time.Sleep(2 * heartbeat) // All instances have been announced to all nodes by then.
	return s, nil
}

// reusedAddress: an instance falls silent, and after addrReuseS its address goes to an instance of another service, which
// announces itself to the node on its VM. ROUTE is broken if that instance runs a request for the first one's service.
func reusedAddress(w *world, trouble bool) (broken bool, err error) {
	const desk, office = "lookup-desk", "deposit-office"
	s, err := newSite(w, smallDeployment, 3, 18, 360*time.Millisecond, []string{office, desk, office, office, desk, office},
		route{"deposit-lodge", "/xapu/", "unsafe", office, 3000, 1000, 1}, route{"capsule-lookup", "/puka/", "safe", desk, 1200, 400, 1})
	if err != nil {
		return false, err
	}
	send := func(c *client) *request { return c.do(http.MethodPost, "/xapu/lodge", "capsule=1", 6*time.Second) }
	stopFirst, stopSecond := load(w, w.vms[0], 55, 100*time.Millisecond, send), load(w, w.vms[2], 55, 100*time.Millisecond, send)
	time.Sleep(5 * time.Second)
	if trouble {
		first := s.instances[0]
		first.silent.Store(true)
		w.note("instance %s falls silent", first.id)
		time.Sleep(2500 * time.Millisecond) // addrReuseS is 2.
		next := newInstance(w.vms[0], "i-second", desk, 18, 120*time.Millisecond, s.runs.add)
		s.addresses[0].current.Store(next)
		w.vms[0].service = desk
		if err := w.vms[0].writeSettings(); err != nil {
			return false, err
		}
		w.note("instance %s of %s starts at the address of %s", next.id, desk, first.id)
		go next.beat()
	}
	time.Sleep(8 * time.Second)
	for _, r := range append(stopFirst(), stopSecond()...) {
		for _, ran := range s.runs.of(r.id) {
			if ran.service != office {
				broken = true
				w.note("ROUTE: request %s for %s was run by instance %s of %s; its client got status %d with seal %q", r.id, office, ran.instance, ran.service, r.status, r.seal)
			}
		}
	}
	return broken, nil
}

// changedGrace: the settings files change graceS, and one node, the only one of its zone, gets SIGHUP; later it is stopped as
// planned. LOST is broken if a
// request that was sent more than 3 s after SIGTERM and passed on to an instance gets no answer.
func changedGrace(w *world, trouble bool) (broken bool, err error) {
	const desk, office = "lookup-desk", "deposit-office"
	atStart := smallDeployment
	if trouble {
		atStart.graceS = 10
	}
	s, err := newSite(w, atStart, 1, 18, 160*time.Millisecond, []string{office, desk, office, desk},
		route{"deposit-lodge", "/xapu/", "unsafe", office, 1500, 500, 1})
	if err != nil {
		return false, err
	}
	if trouble {
		for _, v := range w.vms {
			v.bounds = smallDeployment
			if err := v.writeSettings(); err != nil {
				return false, err
			}
		}
		w.vms[0].signal(syscall.SIGHUP) // The other files change without a signal.
	}
	time.Sleep(8 * time.Second)
	stopLoad := load(w, w.vms[0], 10, 20*time.Millisecond, func(c *client) *request {
		return c.do(http.MethodPost, "/xapu/lodge", "capsule=1", 3*time.Second)
	})
	time.Sleep(2 * time.Second)
	term := time.Now()
	w.vms[0].stop()
	time.Sleep(500 * time.Millisecond)
	for _, r := range stopLoad() {
		ran := s.runs.of(r.id)
		atLimit := r.ended.Sub(r.sent) >= 1400*time.Millisecond // The route's timeoutMs is 1,500.
		if r.whole && len(ran) > 0 && r.status == 0 && !atLimit && r.sent.Sub(term) > 3*time.Second {
			broken = true
			w.note("LOST: request %s was sent %.3f s after SIGTERM, instance %s began to run it, and the connection ended without an answer", r.id, r.sent.Sub(term).Seconds(), ran[0].instance)
		}
	}
	return broken, nil
}

// lateBeats: a node is stopped and started again as planned while its instance leaves. The instance sends its departure first
// and goes on serving for some seconds; two of its earlier heartbeats arrive seconds late. DRAIN is broken if a request
// reaches the instance later than drainMs after the acknowledgement, sent on by a node that has run for stabilityMs again.
func lateBeats(w *world, trouble bool) (broken bool, err error) {
	const desk, office = "lookup-desk", "sealing-office"
	s, err := newSite(w, smallDeployment, 2, 18, 120*time.Millisecond, []string{desk, office, desk, desk},
		route{"capsule-lookup", "/puka/", "safe", desk, 1200, 400, 1}, route{"archive-list", "/zira/", "safe", office, 4000, 2500, 2})
	if err != nil {
		return false, err
	}
	s.instances[1].work = 2500 * time.Millisecond
	lookup := func(c *client) *request { return c.do(http.MethodGet, "/puka/entry", "", 2500*time.Millisecond) }
	stopFirst, stopSecond := load(w, w.vms[1], 10, 50*time.Millisecond, lookup), load(w, w.vms[3], 10, 50*time.Millisecond, lookup)
	time.Sleep(2 * time.Second)

	v, leaver := w.vms[0], s.instances[0]
	leaver.stopped.Store(true) // It sends its further heartbeats below.
	time.Sleep(heartbeat)
	restarted := make(chan time.Time, 1)
	if trouble {
		go func() {
			v.stop()
			time.Sleep(restartDelay)
			if err := v.start(); err != nil {
				w.note("the node does not start: %v", err)
			}
			restarted <- time.Now()
		}()
	} else {
		restarted <- time.Now()
	}
	begin := time.Now()
	at := func(d time.Duration) { time.Sleep(time.Until(begin.Add(d))) }
	at(200 * time.Millisecond)
	firstLate := leaver.heartbeatBody("ready")
	w.note("instance %s sends a heartbeat that will be late: %s", leaver.id, firstLate)
	at(1500 * time.Millisecond)
	// A client of the node that stops has a request in progress, which the node waits for.
	archive := make(chan *request, 1)
	go func() {
		c := &client{w: w, vm: v, host: host}
		defer c.close()
		r := c.do(http.MethodGet, "/zira/list", "", 8*time.Second)
		w.note("%v", r)
		archive <- r
	}()
	at(1700 * time.Millisecond)
	secondLate := leaver.heartbeatBody("ready")
	w.note("instance %s sends a heartbeat that will be late: %s", leaver.id, secondLate)
	at(2700 * time.Millisecond)
	leaver.leaving.Store(true)
	if !leaver.send("instances.deregister", leaver.heartbeatBody("draining")) {
		w.note("the departure is not acknowledged; nothing is promised")
		return false, nil
	}
	acked := time.Now()
	w.note("the departure of instance %s is acknowledged", leaver.id)
	<-archive
	started := <-restarted
	at(5200 * time.Millisecond)
	leaver.send("instances.heartbeat", firstLate)
	at(5400 * time.Millisecond)
	leaver.send("instances.heartbeat", secondLate)
	at(11 * time.Second)
	w.note("instance %s exits", leaver.id)
	for _, r := range append(stopFirst(), stopSecond()...) {
		for _, ran := range s.runs.of(r.id) {
			late := ran.at.Sub(acked) - time.Duration(smallDeployment.drainMs)*time.Millisecond
			if ran.instance == leaver.id && late > 0 && ran.at.Sub(started) > stability {
				broken = true
				w.note("DRAIN: request %s reached instance %s %.3f s later than drainMs after the acknowledgement", r.id, leaver.id, late.Seconds())
			}
		}
	}
	return broken, nil
}

// lostMark: an instance sends its departure while the store is down, and the node acknowledges it since other nodes hold the
// record. All node processes are killed at once and start again, and the store is back. Two of the instance's earlier
// heartbeats arrive seconds late. DRAIN is broken if a request reaches the instance later than drainMs after the
// acknowledgement, sent on by a node that has run for stabilityMs again.
func lostMark(w *world, trouble bool) (broken bool, err error) {
	const desk = "lookup-desk"
	s, err := newSite(w, smallDeployment, 2, 18, 120*time.Millisecond, []string{desk, desk, desk, desk},
		route{"capsule-lookup", "/puka/", "safe", desk, 1200, 400, 1})
	if err != nil {
		return false, err
	}
	lookup := func(c *client) *request { return c.do(http.MethodGet, "/puka/entry", "", 2500*time.Millisecond) }
	stopFirst, stopSecond := load(w, w.vms[1], 10, 50*time.Millisecond, lookup), load(w, w.vms[3], 10, 50*time.Millisecond, lookup)
	time.Sleep(2 * time.Second)
	leaver := s.instances[0]
	leaver.stopped.Store(true) // It sends its further heartbeats below.
	time.Sleep(heartbeat)
	begin := time.Now()
	at := func(d time.Duration) { time.Sleep(time.Until(begin.Add(d))) }
	if trouble {
		w.note("the store is down")
		w.store.SetFaults(metastore.Faults{Status: http.StatusServiceUnavailable})
	}
	at(200 * time.Millisecond)
	firstLate := leaver.heartbeatBody("ready")
	at(1700 * time.Millisecond)
	secondLate := leaver.heartbeatBody("ready")
	at(2500 * time.Millisecond)
	leaver.leaving.Store(true)
	if !leaver.send("instances.deregister", leaver.heartbeatBody("draining")) {
		w.note("the departure is not acknowledged; nothing is promised")
		return false, nil
	}
	acked, started := time.Now(), time.Now()
	w.note("the departure of instance %s is acknowledged", leaver.id)
	at(3500 * time.Millisecond)
	if trouble {
		for _, v := range w.vms {
			v.kill()
		}
		w.store.SetFaults(metastore.Faults{})
		w.note("the store is back")
		time.Sleep(restartDelay)
		for _, v := range w.vms {
			if err := v.start(); err != nil {
				return false, err
			}
		}
		started = time.Now()
	}
	at(5200 * time.Millisecond)
	leaver.send("instances.heartbeat", firstLate)
	at(5400 * time.Millisecond)
	leaver.send("instances.heartbeat", secondLate)
	at(11 * time.Second)
	w.note("instance %s exits", leaver.id)
	for _, r := range append(stopFirst(), stopSecond()...) {
		for _, ran := range s.runs.of(r.id) {
			late := ran.at.Sub(acked) - time.Duration(smallDeployment.drainMs)*time.Millisecond
			if ran.instance == leaver.id && late > 0 && ran.at.Sub(started) > stability {
				broken = true
				w.note("DRAIN: request %s reached instance %s %.3f s later than drainMs after the acknowledgement", r.id, leaver.id, late.Seconds())
			}
		}
	}
	return broken, nil
}
