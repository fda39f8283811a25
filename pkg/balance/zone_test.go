package balance

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
)

// cutZone plays an ingress in zone a whose zone has no instance of the service, while zone b is cut off and zone c is not.
type cutZone struct {
	*Picker
	now time.Time
	cut bool
}

const (
	silence  = 500 * time.Millisecond
	answered = 100 * time.Millisecond
)

func newCutZone() *cutZone {
	p := New(Settings{AvailabilityZone: "a", RandomSource: rand.NewPCG(1, 2)})
	p.Update(t0, "desk", instances(40, "b", "c"))
	return &cutZone{Picker: p, now: t0.Add(time.Minute), cut: true}
}

// send sends one request each 20 ms for the given time. It returns the requests sent to zone b and the instances of it
// that got any.
func (c *cutZone) send(d time.Duration) (toCut int, reached map[membership.InstanceID]bool) {
	type end struct {
		at time.Time
		id membership.InstanceID
		o  Observation
	}
	var open []end
	reached = make(map[membership.InstanceID]bool)
	for until := c.now.Add(d); c.now.Before(until); c.now = c.now.Add(20 * time.Millisecond) {
		for len(open) > 0 && !open[0].at.After(c.now) {
			c.Observe(open[0].at, open[0].id, open[0].o)
			open = open[1:]
		}
		in, err := c.Pick(c.now, Request{Service: "desk", Rank: 1, TargetLeft: 400 * time.Millisecond})
		if err != nil {
			continue
		}
		e := end{c.now.Add(answered), in.ID, Observation{Event: EventAnswered, Rank: 1, Latency: answered}}
		if in.AvailabilityZone == "b" {
			toCut++
			reached[in.ID] = true
			if c.cut {
				e = end{c.now.Add(silence), in.ID, Observation{Event: EventUnreachable, Silent: true, Rank: 1, Latency: silence}}
			}
		}
		i := len(open)
		for i > 0 && open[i-1].at.After(e.at) {
			i--
		}
		open = append(open[:i], append([]end{e}, open[i:]...)...)
	}
	for _, e := range open {
		c.Observe(e.at, e.id, e.o)
	}
	c.now = c.now.Add(silence)
	return toCut, reached
}

// Guards against requests that go on to each instance of a cut-off zone, one after the other, and wait for its silence, and
// against a slow return to the zone: the first request that is answered shows that the cut has ended.
func TestCutZoneIsLeftAndComesBackAsAWhole(t *testing.T) {
	c := newCutZone()
	c.send(silence) // These cannot know of the cut yet.
	if n, _ := c.send(5 * time.Second); n > 6 {
		t.Errorf("%d requests to a cut-off zone in five seconds after the first half second, want one probe a second", n)
	}
	c.cut = false
	c.send(2 * zoneProbeInterval)
	if n, reached := c.send(2 * time.Second); len(reached) < 15 {
		t.Errorf("%d requests to %d of 20 instances of the zone, two seconds after the cut, want most of them", n, len(reached))
	}
}

// Guards against a zone that is avoided because two of its machines have lost power while others answer.
func TestDeadMachinesAreNoCutZone(t *testing.T) {
	c := newCutZone()
	c.cut = false
	c.send(time.Second)
	for _, id := range []membership.InstanceID{"i0", "i2"} {
		c.Reserve(id)
		c.Reserve("i4")
		c.Observe(c.now.Add(answered), "i4", Observation{Event: EventAnswered, Rank: 1, Latency: answered})
		c.Observe(c.now.Add(silence), id, Observation{Event: EventUnreachable, Silent: true, Rank: 1, Latency: silence})
	}
	c.now = c.now.Add(silence)
	if n, _ := c.send(time.Second); n < 15 {
		t.Errorf("%d of 50 requests to a zone of which two machines are silent and others answer, want about half", n)
	}
}

// Guards against a request that is refused by one full instance after the other while all instances of an overloaded service
// are full: each try costs time and traffic, and the request is refused in the end.
func TestRefusedRequestIsNotSentToFullInstances(t *testing.T) {
	p := New(Settings{AvailabilityZone: "a", RandomSource: rand.NewPCG(1, 2)})
	p.Update(t0, "desk", instances(4, "a", "b"))
	refuse := func(now time.Time, rank int, ids ...membership.InstanceID) {
		for _, id := range ids {
			p.Reserve(id)
			p.Observe(now, id, Observation{Event: EventRefused, Full: true, Rank: rank})
		}
	}
	retry := func(now time.Time, rank int) (membership.InstanceID, error) {
		in, err := p.Pick(now, Request{Service: "desk", Rank: rank, TargetLeft: time.Second, Exclude: []membership.InstanceID{"i0"}})
		if err == nil {
			p.Observe(now, in.ID, Observation{Event: EventAbandoned})
		}
		return in.ID, err
	}
	refuse(t0, 3, "i0", "i1", "i2")
	if id, err := retry(t0, 3); err != nil || id != "i3" {
		t.Errorf("retry at %s (error %v), want the only instance that is not known to be full", id, err)
	}
	refuse(t0, 3, "i3")
	if id, err := retry(t0, 4); err == nil {
		t.Errorf("retry of a less urgent request at %s although all instances are full", id)
	}
	if _, err := retry(t0, 2); err != nil {
		t.Error("no retry of a more urgent request, which may displace others")
	}
	if _, err := retry(t0.Add(fullTime), 4); err != nil {
		t.Error("no retry after the queues had time to become shorter")
	}
	if _, err := p.Pick(t0, Request{Service: "desk", Rank: 4, TargetLeft: time.Second}); err != nil {
		t.Error("no instance for a first attempt")
	}
}
