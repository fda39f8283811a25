package balance

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
)

// A fixed seed makes failures reproducible.
func init() { _ = flag.Set("rapid.seed", "20") }

var t0 = time.Unix(1000, 0)

func instances(n int, zones ...string) []membership.Instance {
	out := make([]membership.Instance, n)
	for i := range out {
		out[i] = membership.Instance{ID: membership.InstanceID(fmt.Sprint("i", i)), Service: "desk", Slots: 20,
			AvailabilityZone: zones[i%len(zones)], Incarnation: 1, State: membership.StateReady}
	}
	return out
}

func newPicker(random bool, recs []membership.Instance) *Picker {
	p := New(Settings{AvailabilityZone: "a", Random: random, RandomSource: rand.NewPCG(1, 2)})
	p.Update(t0, "desk", recs)
	return p
}

// spread picks n times at the given time and counts the picks of each instance; they stay in flight if hold is set.
func spread(p *Picker, now time.Time, n int, hold bool) map[membership.InstanceID]int {
	count := make(map[membership.InstanceID]int)
	for range n {
		in, err := p.Pick(now, Request{Service: "desk"})
		if err != nil {
			continue
		}
		count[in.ID]++
		if !hold {
			p.Observe(now, in.ID, Observation{Event: EventAnswered})
		}
	}
	return count
}

// Guards against misleading failures that leave a service without instances: at most half of the instances are ejected,
// and an instance is found as long as any is ready. Instances that are not ready are never chosen.
func TestEjectionNeverEmptiesAService(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		recs := instances(rapid.IntRange(1, 9).Draw(t, "instances"), "a", "b")
		ready := 0
		for i := range recs {
			if rapid.IntRange(0, 3).Draw(t, "state") == 0 {
				recs[i].State = membership.StateDraining
			} else {
				ready++
			}
		}
		p, now := newPicker(false, recs), t0
		for _, e := range rapid.SliceOfN(rapid.IntRange(0, int(EventErrored)), 1, 200).Draw(t, "events") {
			now = now.Add(20 * time.Millisecond)
			in, err := p.Pick(now, Request{Service: "desk"})
			if (err == nil) != (ready > 0) || in.State != membership.StateReady && err == nil {
				t.Fatalf("picked %+v with error %v while %d instances were ready", in, err, ready)
			}
			p.Observe(now, in.ID, Observation{Event: Event(e)})
			ejected := 0
			for _, i := range p.services["desk"] {
				if i.ejectedUntil.After(now) {
					ejected++
				}
			}
			if 2*ejected > len(recs) {
				t.Fatalf("%d of %d instances are ejected", ejected, len(recs))
			}
		}
	})
}

// Guards against requests that leave their zone without need, and against an overloaded zone while others have free
// slots.
func TestOwnZoneFirstWithSpillOver(t *testing.T) {
	p := newPicker(false, instances(8, "a", "b"))
	byZone := func(count map[membership.InstanceID]int) (own, other int) {
		for id, n := range count {
			if p.byID[id].record.AvailabilityZone == "a" {
				own += n
			} else {
				other += n
			}
		}
		return own, other
	}
	if own, other := byZone(spread(p, t0, 1000, false)); other != 0 {
		t.Errorf("idle instances: %d calls in the own zone, %d in others, want none in others", own, other)
	}
	own, other := byZone(spread(p, t0, 140, true))
	if own > 100 || other < 40 {
		t.Errorf("140 calls in flight, 80 slots in the own zone: %d stayed, want at most 100; %d left it", own, other)
	}
}

// Guards against a cold instance that gets its full share at once, and against slow starts after a restart of the
// ingress, when all instances are new to it.
func TestSlowStart(t *testing.T) {
	p := newPicker(false, instances(3, "a"))
	p.Update(t0, "desk", instances(4, "a"))
	if n := spread(p, t0, 40, true)["i3"]; n > 4 {
		t.Errorf("a cold instance got %d of 40 calls in flight, want at most 4", n)
	}
	p = newPicker(false, instances(4, "a"))
	if n := spread(p, t0.Add(time.Minute), 40, true)["i3"]; n < 6 {
		t.Errorf("a warm instance got %d of 40 calls in flight, want at least 6", n)
	}
}

// Guards against ignoring the load that instances report and against using old reports. The random baseline does ignore
// the load.
func TestReportedLoad(t *testing.T) {
	for _, c := range []struct {
		random bool
		age    time.Duration
		most   int
		least  int
	}{{false, 0, 0, 0}, {false, 2 * time.Second, 700, 300}, {true, 0, 700, 300}} {
		p := newPicker(c.random, instances(2, "a"))
		p.Reserve("i0")
		p.Observe(t0, "i0", Observation{Event: EventAnswered, Load: &Load{InUse: 20, Limit: 20, Queued: 5}})
		n := 0
		for range 1000 {
			in, _ := p.Pick(t0.Add(c.age), Request{Service: "desk"})
			if in.ID == "i0" {
				n++
			}
			p.byID[in.ID].inFlight--
		}
		if n > c.most || n < c.least {
			t.Errorf("random choice %v, load report of age %v: the loaded instance got %d of 1000 calls", c.random, c.age, n)
		}
	}
}

// Guards against repeated connection attempts to an instance that cannot be reached, and against ejecting an instance
// that refuses requests because of its load.
func TestEjectionByEvent(t *testing.T) {
	for _, c := range []struct {
		event Event
		times int
		gone  bool
	}{{EventUnreachable, 1, true}, {EventFailed, 4, false}, {EventFailed, 5, true}, {EventRefused, 50, false}} {
		p := newPicker(false, instances(4, "a"))
		for range c.times {
			p.Reserve("i0")
			p.Observe(t0, "i0", Observation{Event: c.event})
		}
		if n := spread(p, t0, 400, false)["i0"]; (n == 0) != c.gone {
			t.Errorf("after %d times event %d the instance got %d calls", c.times, c.event, n)
		}
		if n := spread(p, t0.Add(time.Minute), 400, false)["i0"]; n == 0 {
			t.Errorf("after %d times event %d the instance got no calls a minute later", c.times, c.event)
		}
	}
}

// Guards against ejecting instances that answer with errors because a service that they call fails: the instances work,
// and ejecting them would reduce the capacity further. Errors at all instances do not change the choice.
func TestErrorsFromBelowEjectNobody(t *testing.T) {
	p := newPicker(false, instances(4, "a"))
	for range 50 {
		for _, id := range []membership.InstanceID{"i0", "i1", "i2", "i3"} {
			p.Reserve(id)
			p.Observe(t0, id, Observation{Event: EventErrored})
		}
	}
	for id, n := range spread(p, t0, 400, true) {
		if n < 50 {
			t.Errorf("%s got %d of 400 calls, want at least 50", id, n)
		}
	}
}

// Guards against an instance that fails part of its requests while its status check passes: it must get clearly fewer
// requests than the others, and its share again after its recovery.
func TestPartlyFailingInstanceGetsLess(t *testing.T) {
	p := newPicker(false, instances(4, "a"))
	attempt := func(failing bool) {
		for i := range 200 {
			for _, id := range []membership.InstanceID{"i0", "i1", "i2", "i3"} {
				e := EventAnswered
				if failing && id == "i0" && i%2 == 0 {
					e = EventErrored
				}
				p.Reserve(id)
				p.Observe(t0, id, Observation{Event: e})
			}
		}
	}
	attempt(true)
	failing := spread(p, t0, 40, true)["i0"]
	for id := range p.byID {
		p.byID[id].inFlight = 0
	}
	attempt(false)
	recovered := spread(p, t0, 40, true)["i0"]
	if failing > 5 || recovered < 7 {
		t.Errorf("%d of 40 calls while half of them fail, want up to 5; %d after the recovery, want 7 or more", failing, recovered)
	}
}

// Guards against slow refusals when the reachable instances of a service are full and the others cut off: a request
// that a full instance has refused must be refused at once, not after a connection attempt that is known to fail.
func TestRefusedCallDoesNotWaitForAnUnreachableInstance(t *testing.T) {
	p := newPicker(false, instances(2, "a"))
	p.Reserve("i1")
	p.Observe(t0, "i1", Observation{Event: EventUnreachable})
	if in, err := p.Pick(t0, Request{Service: "desk", Exclude: []membership.InstanceID{"i0"}}); err == nil {
		t.Errorf("a refused request is sent to %s, which cannot be reached", in.ID)
	}
	p.Reserve("i0")
	p.Observe(t0, "i0", Observation{Event: EventUnreachable})
	if _, err := p.Pick(t0, Request{Service: "desk"}); err != nil {
		t.Error("no instance is chosen on a first attempt when all have been unreachable")
	}
}

// zonesPicker returns a picker in zone a with one instance in each of two zones, which need the given times for a request
// without a queue.
func zonesPicker(own, other time.Duration) *Picker {
	p := New(Settings{AvailabilityZone: "a", ZonePreference: 0.3, LateZonePreference: 1, RandomSource: rand.NewPCG(1, 2)})
	p.Update(t0, "desk", []membership.Instance{
		{ID: "own", Service: "desk", Slots: 6, AvailabilityZone: "a", Incarnation: 1, State: membership.StateReady},
		{ID: "other", Service: "desk", Slots: 6, AvailabilityZone: "b", Incarnation: 1, State: membership.StateReady}})
	for id, latency := range map[membership.InstanceID]time.Duration{"own": own, "other": other} {
		p.Reserve(id)
		p.Observe(t0, id, Observation{Event: EventAnswered, Rank: 3, Latency: latency})
	}
	return p
}

// Guards against requests that leave their zone although an instance there would answer them in time, which happened at
// 80% of six slots and made two thirds of the traffic between zones; and against requests that stay there to miss a
// target that another zone would meet.
func TestRequestLeavesItsZoneOnlyToMeetItsTarget(t *testing.T) {
	const target = 400 * time.Millisecond
	for _, c := range []struct {
		name       string
		own, other time.Duration
		ownLoad    int
		inZone     bool
		targetLeft time.Duration
	}{
		{"busy, but in time", 120 * time.Millisecond, 120 * time.Millisecond, 5, true, target},
		{"a queue that leaves time", 120 * time.Millisecond, 120 * time.Millisecond, 8, true, target},
		{"a queue that would make it late", 120 * time.Millisecond, 120 * time.Millisecond, 11, false, target},
		{"slow instance", 250 * time.Millisecond, 120 * time.Millisecond, 5, false, target},
		{"late in both zones, queue of less than one service time", 250 * time.Millisecond, 250 * time.Millisecond, 5, true, target},
		{"late in both zones, long queue", 250 * time.Millisecond, 250 * time.Millisecond, 12, false, target},
		{"target missed already", 120 * time.Millisecond, 120 * time.Millisecond, 5, true, -time.Millisecond},
		{"no target, loaded zone", 120 * time.Millisecond, 120 * time.Millisecond, 5, false, 0},
	} {
		p := zonesPicker(c.own, c.other)
		p.byID["own"].inFlight = c.ownLoad
		in, err := p.Pick(t0, Request{Service: "desk", Rank: 3, TargetLeft: c.targetLeft})
		if err != nil || (in.ID == "own") != c.inZone {
			t.Errorf("%s: sent to %s (error %v), want it in the own zone: %v", c.name, in.ID, err, c.inZone)
		}
	}
}

// Guards against a queue that is taken for a slow instance: requests would avoid it after the queue is gone, while it
// gets none that could correct the average.
func TestQueueTimeIsNoServiceTime(t *testing.T) {
	p := zonesPicker(100*time.Millisecond, 100*time.Millisecond)
	for range 50 {
		p.Reserve("own")
		p.Observe(t0, "own", Observation{Event: EventAnswered, Rank: 3, Latency: 300 * time.Millisecond, Load: &Load{InUse: 6, Limit: 6, Queued: 12}})
	}
	if got := p.byID["own"].serviceTime(3); got < 90*time.Millisecond || got > 110*time.Millisecond {
		t.Errorf("service time %s after answers that took 300 ms behind a queue of two rounds, want about 100 ms", got)
	}
}
