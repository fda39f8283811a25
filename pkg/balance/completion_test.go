package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
)

// Guards against a choice that serves fewer requests in time than two random choices by reported load, or moves more of
// them between zones, under the uneven loads that it is for. News of others is what the new choice has and the old one not.
func TestCompletionServesUnevenLoads(t *testing.T) {
	for _, l := range simLoads {
		old, now := simulate(l, simPolicies[0]), simulate(l, policy{completion: true, newsEvery: fresh})
		if now.inTarget < old.inTarget && l.bytes < 10_000 && l.name != "overload" {
			t.Errorf("%s: %d of %d in time, with two choices %d", l.name, now.inTarget, now.arrived, old.inTarget)
		}
		if now.left > old.left {
			t.Errorf("%s: %d of %d requests left their zone, with two choices %d", l.name, now.left, now.arrived, old.left)
		}
	}
}

// Guards against large answers that leave a zone which is merely slow: they stay unless no instance of the zone is left.
func TestLargeAnswersStayInAFullZone(t *testing.T) {
	l := load{name: "large answers in a full zone", perZone: 400, swing: 0.5, noisy: 0.15, bytes: 90_000}
	if r := simulate(l, policy{completion: true, newsEvery: fresh}); 100*r.left > r.arrived {
		t.Errorf("%d of %d answers of 90 KB came from another zone, want under one in a hundred", r.left, r.arrived)
	}
}

// completionPicker returns a picker in zone a with n instances in each of the zones a and b. All have answered requests of
// the route in 100 ms with the given number of bytes.
func completionPicker(n int, bytes int64) *Picker {
	p := New(Settings{AvailabilityZone: "a", Completion: Completion{MaxSlots: 6}, RandomSource: rand.NewPCG(1, 2)})
	var records []membership.Instance
	for _, zone := range []string{"a", "b"} {
		for i := range n {
			records = append(records, membership.Instance{ID: membership.InstanceID(fmt.Sprint(zone, i)), Service: "desk", Slots: 6,
				AvailabilityZone: zone, Incarnation: 1, State: membership.StateReady})
		}
	}
	p.Update(t0, "desk", records)
	for _, r := range records {
		report(p, r.ID, 0, 0, bytes)
	}
	return p
}

// report lets an instance answer one request and report its load.
func report(p *Picker, id membership.InstanceID, inUse, queued int, bytes int64) {
	p.Reserve(id)
	p.Observe(t0, id, Observation{Event: EventAnswered, Rank: 1, Latency: 100 * time.Millisecond, Route: "lookup", Bytes: bytes,
		RouteTime: 100 * time.Millisecond, Load: &Load{InUse: inUse, Limit: 6, Queued: queued, SlotTime: 100 * time.Millisecond}})
}

func pickLookup(t *testing.T, p *Picker, now time.Time) (membership.Instance, Relation) {
	t.Helper()
	in, relation, err := p.PickRelated(now, Request{Service: "desk", Rank: 1, Route: "lookup", TargetLeft: 600 * time.Millisecond, DeadlineLeft: 2500 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	p.byID[in.ID].inFlight--
	p.byID[in.ID].picks = [recentPicks]time.Time{}
	return in, relation
}

// Guards against requests that do not come back to their zone when its wave has passed, and against large answers that
// leave for the same gain as small ones.
func TestBorrowedRoomIsGivenBack(t *testing.T) {
	for _, c := range []struct {
		bytes  int64
		queued int
		want   Relation
	}{{1500, 0, InZone}, {1500, 3, InZone}, {1500, 18, LeftForTarget}, {1500, 0, InZone}, {90_000, 18, InZone}} {
		p := completionPicker(2, c.bytes)
		for _, id := range []membership.InstanceID{"a0", "a1"} {
			report(p, id, 6, c.queued, c.bytes)
		}
		if in, relation := pickLookup(t, p, t0); relation != c.want {
			t.Errorf("%d waiting at each instance of the zone, answers of %d bytes: sent to %s (%s), want %s", c.queued, c.bytes, in.ID, Relations[relation], Relations[c.want])
		}
		for _, id := range []membership.InstanceID{"a0", "a1"} {
			report(p, id, 3, 0, c.bytes)
		}
		if in, relation := pickLookup(t, p, t0); relation != InZone {
			t.Errorf("after the wave a request still left its zone for %s (%s)", in.ID, Relations[relation])
		}
	}
}

// Guards against stale reports: an instance of another zone of which nothing is known must not look idle during an overload
// of all zones, and a known report must not be used for longer than a second.
func TestUnknownZoneIsNoIdleZone(t *testing.T) {
	p := completionPicker(2, 1500)
	now := t0.Add(time.Minute)
	left := 0
	for range 3000 { // 30 s
		now = now.Add(10 * time.Millisecond)
		for _, id := range []membership.InstanceID{"a0", "a1"} {
			p.Learn(now, []News{{ID: id, Load: Load{InUse: 6, Limit: 6, Queued: 20, SlotTime: 100 * time.Millisecond}}})
		}
		if _, relation := pickLookup(t, p, now.Add(time.Millisecond)); relation != InZone && now.Sub(t0) > 80*time.Second {
			left++
		}
	}
	if left > 0 {
		t.Errorf("%d of 1000 requests left for a zone of which nothing was known, 20 s after the overload began", left)
	}
}

// Guards against herding: senders that all know one idle instance beside busy ones must not overfill it before its next
// report.
func TestManySendersOneIdleServer(t *testing.T) {
	const senders, servers = 20, 15
	got := make(map[membership.InstanceID]int)
	for s := range senders {
		p := New(Settings{AvailabilityZone: "a", Completion: Completion{MaxSlots: 6}, RandomSource: rand.NewPCG(3, uint64(s))})
		records := instances(servers, "a")
		for i := range records {
			records[i].Slots = 6
		}
		p.Update(t0, "desk", records)
		for i, r := range records {
			busy := 6
			if i == 0 {
				busy = 0
			}
			p.Learn(t0, []News{{ID: r.ID, Load: Load{InUse: busy, Limit: 6, SlotTime: 100 * time.Millisecond}}})
		}
		in, _ := pickLookup(t, p, t0.Add(50*time.Millisecond))
		got[in.ID]++
	}
	if n := got["i0"]; n == 0 || n > simSlots+simQueue {
		t.Errorf("the idle instance got %d of %d simultaneous requests, want at least one, and at most its slots and queue", n, senders)
	}
}

// Guards against a slow instance that is never tried again after it has become fast.
func TestInstanceThatWasSlowIsTriedAgain(t *testing.T) {
	p := completionPicker(2, 1500)
	for range 200 {
		p.Reserve("a0")
		p.Observe(t0, "a0", Observation{Event: EventAnswered, Rank: 1, Latency: time.Second, Route: "lookup", RouteTime: time.Second})
	}
	tried := func(now time.Time) bool {
		for range 100 {
			if in, _ := pickLookup(t, p, now); in.ID == "a0" {
				return true
			}
		}
		return false
	}
	if tried(t0.Add(time.Millisecond)) {
		t.Error("an instance that is ten times as slow is chosen beside an idle one")
	}
	if !tried(t0.Add(exploreAfter + time.Second)) {
		t.Error("an instance that was slow is not tried again")
	}
}

// Guards against a zone that is cut off under the choice by expected completion: as a whole it gets one request a second.
func TestCutZoneIsLeftAsAWhole(t *testing.T) {
	c := newCutZone()
	c.settings.Completion = Completion{MaxSlots: 100}.withDefaults()
	c.known["desk"].compact = true
	c.send(2 * time.Second)
	if n, _ := c.send(10 * time.Second); n > 12 {
		t.Errorf("%d requests in 10 s to a zone that is cut off, want about one a second", n)
	}
	c.cut = false
	c.send(3 * time.Second)
	if n, reached := c.send(2 * time.Second); n < 20 || len(reached) < 5 {
		t.Errorf("%d requests to %d instances of a zone that is back", n, len(reached))
	}
}

// Guards against a choice that uses up the time that two hops may add: the time must stay far below 10 µs.
func BenchmarkPick(b *testing.B) {
	for _, s := range []Settings{{}, {Completion: Completion{MaxSlots: 6}}} {
		b.Run(fmt.Sprint("completion=", s.Completion.MaxSlots > 0), func(b *testing.B) {
			s.AvailabilityZone, s.RandomSource = "a", rand.NewPCG(1, 2)
			p := New(s)
			records := instances(130, "a", "b", "c", "d")
			for i := range records {
				records[i].Slots = 6
			}
			p.Update(t0, "desk", records)
			for _, r := range records {
				report(p, r.ID, 3, 0, 1500)
			}
			for b.Loop() {
				in, _ := p.Pick(t0, Request{Service: "desk", Rank: 1, Route: "lookup", TargetLeft: time.Second, DeadlineLeft: 2 * time.Second})
				p.byID[in.ID].inFlight--
			}
		})
	}
}
