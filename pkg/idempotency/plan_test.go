package idempotency

import (
	"cmp"
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
)

// TestMain fixes the seed of generated tests, so that every run checks the same cases; -rapid.seed overrides it.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("20261204")
	}
	os.Exit(m.Run())
}

var testTiming = Timing{
	Window: 10 * time.Minute, MaxMembershipLag: 30 * time.Second, SettlingTime: 3 * time.Second, MaxAge: time.Second,
}

// lifetime is one incarnation of an instance with the times at which it really joined and departed.
type lifetime struct {
	instance         membership.Instance
	joined, departed time.Duration // departed is 0 for a live instance
}

// drawLifetimes draws some instances with one to three incarnations each. Times are relative to the start of the test.
func drawLifetimes(t *rapid.T) []lifetime {
	var lifetimes []lifetime
	for i := range rapid.IntRange(1, 7).Draw(t, "instances") {
		at := time.Duration(rapid.IntRange(-2000, 900).Draw(t, "joined")) * time.Second
		in := membership.Instance{ID: membership.InstanceID(fmt.Sprint("i", i)), State: membership.StateReady,
			AvailabilityZone: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone")}
		for k := range rapid.IntRange(1, 3).Draw(t, "incarnations") {
			in.Incarnation = uint64(k + 1)
			l := lifetime{instance: in, joined: at}
			if at += time.Duration(rapid.IntRange(1, 1500).Draw(t, "uptime")) * time.Second; at < 1500*time.Second {
				l.departed = at
				l.instance.HandedOver = rapid.Bool().Draw(t, "handed over")
			}
			if lifetimes = append(lifetimes, l); l.departed == 0 {
				break
			}
			at += time.Duration(rapid.IntRange(0, 20).Draw(t, "downtime")) * time.Second
		}
	}
	return lifetimes
}

// observe returns what a node has learned of the lifetimes at now, each change up to MaxMembershipLag after it
// happened, and since when the node has been synchronised. Changes that it missed before are learned at that moment,
// without their age.
func observe(t *rapid.T, lifetimes []lifetime, start time.Time, now time.Duration) (
	spans []membership.Span, since time.Time) {
	synced := now - time.Duration(rapid.IntRange(4, 1500).Draw(t, "synchronised"))*time.Second
	missedFrom := synced - time.Duration(rapid.IntRange(0, 1500).Draw(t, "missed"))*time.Second
	learned := func(at time.Duration) time.Duration {
		at += time.Duration(rapid.IntRange(0, int(testTiming.MaxMembershipLag/time.Millisecond)).Draw(t, "lag")) *
			time.Millisecond
		if at > missedFrom && at < synced {
			return synced
		}
		return at
	}
	for _, l := range lifetimes {
		joined, departed := learned(l.joined), learned(l.departed)
		if joined > now {
			continue
		}
		s := membership.Span{Instance: l.instance, Joined: start.Add(joined)}
		s.Instance.HandedOver = false
		if l.departed != 0 && departed <= now {
			s.Departed, s.Instance.State = start.Add(departed), membership.StateDeparted
			s.Instance.HandedOver = l.instance.HandedOver
		}
		spans = append(spans, s)
	}
	return spans, start.Add(synced)
}

// actualPair returns the holders of the key among the members that were live at the moment, without those for which
// excluded is true.
func actualPair(lifetimes []lifetime, at time.Duration, key Key, excluded func(Claimant) bool) []Claimant {
	var set []lifetime
	for _, l := range lifetimes {
		if l.joined <= at && (l.departed == 0 || l.departed > at) && !excluded(claimantIn(l.instance)) {
			set = append(set, l)
		}
	}
	slices.SortFunc(set, func(a, b lifetime) int {
		if rendezvousScore(key, hashID(a.instance.ID)) > rendezvousScore(key, hashID(b.instance.ID)) {
			return -1
		}
		return 1
	})
	if len(set) == 0 {
		return nil
	}
	home := set[0].instance
	for _, l := range set[1:] {
		if l.instance.AvailabilityZone != home.AvailabilityZone {
			return []Claimant{claimantIn(home), claimantIn(l.instance)}
		}
	}
	if len(set) > 1 {
		return []Claimant{claimantIn(home), claimantIn(set[1].instance)}
	}
	return []Claimant{claimantIn(home)}
}

func claimantIn(i membership.Instance) Claimant { return Claimant{i.ID, i.Incarnation} }

// hasPair reports whether the plan for the key contains the pair of holders, the home first.
func hasPair(history *MembershipHistory, key Key, want []Claimant) bool {
	p := history.Plan(key)
	return slices.ContainsFunc(p.pairs, func(q pair) bool {
		got := []Claimant{claimantIn(history.members[q.home].instance)}
		if q.second != noSecond {
			got = append(got, claimantIn(history.members[q.second].instance))
		}
		return slices.Equal(got, want)
	})
}

// handedOver returns the incarnations that departed with a hand-over of their records.
func handedOver(spans []membership.Span) map[Claimant]bool {
	out := make(map[Claimant]bool)
	for _, s := range spans {
		if s.Instance.HandedOver {
			out[claimantIn(s.Instance)] = true
		}
	}
	return out
}

// Guards against two runs within the window whose plans have no pair in common. Nodes learn of a change at different
// moments up to MaxMembershipLag after it; the holders at MaxMembershipLag before the first run must be in both plans.
func TestPlansShareAPair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Now()
		key := Key{byte(rapid.IntRange(0, 255).Draw(t, "key"))}
		lifetimes := drawLifetimes(t)
		first := time.Duration(rapid.IntRange(0, 900).Draw(t, "first")) * time.Second
		second := first + time.Duration(rapid.IntRange(0, 599).Draw(t, "between"))*time.Second
		spansA, sinceA := observe(t, lifetimes, start, first)
		spansB, sinceB := observe(t, lifetimes, start, second)
		historyA := NewMembershipHistory(spansA, Claimant{}, sinceA, start.Add(first), testTiming)
		historyB := NewMembershipHistory(spansB, Claimant{}, sinceB, start.Add(second), testTiming)
		if !historyA.hasCertainMember {
			return
		}
		inA, inB := handedOver(spansA), handedOver(spansB)
		for _, excluded := range []func(Claimant) bool{
			func(Claimant) bool { return false },
			func(c Claimant) bool { return inA[c] && inB[c] },
		} {
			want := actualPair(lifetimes, first-testTiming.MaxMembershipLag, key, excluded)
			if want == nil {
				t.Fatal("the history has a certain member, but there was no member")
			}
			if !hasPair(historyA, key, want) || !hasPair(historyB, key, want) {
				t.Fatalf("pair %v: in the first plan %v, in the second %v, want it in both", want, hasPair(historyA, key, want),
					hasPair(historyB, key, want))
			}
		}
	})
}

// Guards against a plan that treats a member that handed over as certain. If the first run was planned after the
// hand-over, the pair without this member holds the record.
func TestHandedOverMemberIsOptional(t *testing.T) {
	start := time.Now()
	in := func(id string) membership.Instance {
		return membership.Instance{ID: membership.InstanceID(id), AvailabilityZone: id, State: membership.StateReady}
	}
	key, old := Key{1}, start.Add(-time.Hour)
	ids := []string{"a", "b", "c"}
	slices.SortFunc(ids, func(x, y string) int {
		return cmp.Compare(rendezvousScore(key, hashID(membership.InstanceID(y))),
			rendezvousScore(key, hashID(membership.InstanceID(x))))
	})
	left, crashed := in(ids[0]), in(ids[1])
	left.HandedOver, left.State, crashed.State = true, membership.StateDeparted, membership.StateDeparted
	spans := []membership.Span{{Instance: left, Joined: old, Departed: start.Add(-time.Minute)},
		{Instance: crashed, Joined: old, Departed: start.Add(-2 * time.Minute)}, {Instance: in(ids[2]), Joined: old}}
	history := NewMembershipHistory(spans, Claimant{}, old, start, testTiming)
	if !hasPair(history, key, []Claimant{{ID: crashed.ID}, {ID: membership.InstanceID(ids[2])}}) {
		t.Errorf("the plan lacks the pair without the member that handed over: %v", history.Plan(key).pairs)
	}
}

// Guards against taking the time at which a node learned of a member for the time at which the member joined, when the
// node learned of it late and without its age. The member may have held records together with one that has departed.
func TestChangeOfUnknownAgeCoversThePast(t *testing.T) {
	start := time.Now()
	since := start.Add(-time.Minute)
	late := membership.Instance{ID: "late", AvailabilityZone: "a", State: membership.StateReady}
	crashed := membership.Instance{ID: "crashed", AvailabilityZone: "b", State: membership.StateDeparted}
	spans := []membership.Span{{Instance: crashed, Joined: start.Add(-time.Hour), Departed: start.Add(-3 * time.Minute)},
		{Instance: late, Joined: since.Add(time.Second)}}
	history := NewMembershipHistory(spans, Claimant{}, since, start, testTiming)
	one, other := []Claimant{{ID: "late"}, {ID: "crashed"}}, []Claimant{{ID: "crashed"}, {ID: "late"}}
	if !hasPair(history, Key{1}, one) && !hasPair(history, Key{1}, other) {
		t.Errorf("the plan lacks the pair of both: %v", history.Plan(Key{1}).pairs)
	}
}

// Guards against a plan that leaves out a departed member while a claim that it held can still matter: a run may come
// up to MaxMembershipLag after its plan, and the next run up to a window later.
func TestPlanCoversDepartedMembers(t *testing.T) {
	start := time.Now()
	back := testTiming.Window + 2*testTiming.MaxMembershipLag
	spans := []membership.Span{
		{Instance: membership.Instance{ID: "gone", AvailabilityZone: "a"}, Departed: start.Add(-back)},
		{Instance: membership.Instance{ID: "live", AvailabilityZone: "b"}, Joined: start.Add(-back)},
	}
	history := NewMembershipHistory(spans, Claimant{}, start.Add(-2*back), start, testTiming)
	one, other := []Claimant{{ID: "gone"}, {ID: "live"}}, []Claimant{{ID: "live"}, {ID: "gone"}}
	if !hasPair(history, Key{1}, one) && !hasPair(history, Key{1}, other) {
		t.Errorf("the plan lacks the pair with a member that departed %v ago: %v", back, history.Plan(Key{1}).pairs)
	}
}

// Guards against two disjoint sets of holders that both allow a run: each must have two of the home, the second holder
// and the platform.
func TestPairNeedsTwoOfThree(t *testing.T) {
	for _, c := range []struct {
		home, second HolderStatus
		want         Decision
	}{
		{HolderHasRecord, HolderHasRecord, DecisionRun},
		{HolderHasRecord, HolderHandedOver, DecisionRun},
		{HolderHasRecord, HolderRecordsLost, DecisionNeedsPlatform},
		{HolderUnreachable, HolderHasRecord, DecisionNeedsPlatform},
		{HolderHandedOver, HolderRecordsLost, DecisionNeedsPlatform},
		{HolderUnreachable, HolderRecordsLost, DecisionUnavailable},
		{HolderReachable, HolderReachable, DecisionUnavailable},
		{HolderRecordsLost, HolderRecordsLost, DecisionRecordLost},
	} {
		got := evaluatePair(pair{0, 1}, func(i int) HolderStatus { return []HolderStatus{c.home, c.second}[i] })
		if got != c.want {
			t.Errorf("statuses %d and %d: decision %d, want %d", c.home, c.second, got, c.want)
		}
	}
}

// Guards against homes that depend on the order of the members, a departure that moves the keys of other homes, an
// uneven spread of keys over homes, and both holders of a key in one zone.
func TestOrderIsStable(t *testing.T) {
	start := time.Now()
	var spans []membership.Span
	for i := range 34 {
		spans = append(spans, membership.Span{Joined: start.Add(-time.Hour), Instance: membership.Instance{
			ID: membership.InstanceID(fmt.Sprint("i", i)), AvailabilityZone: fmt.Sprint(i % 3), State: membership.StateReady}})
	}
	full := NewMembershipHistory(spans, Claimant{}, start.Add(-2*time.Hour), start, testTiming)
	less := NewMembershipHistory(spans[1:], Claimant{}, start.Add(-2*time.Hour), start, testTiming)
	perHome := make(map[membership.InstanceID]int)
	const keys = 10_000
	for i := range keys {
		key := NewKey(testService, fmt.Sprint(i))
		home, _ := full.Home(key)
		perHome[home.ID]++
		if other, _ := less.Home(key); other.ID != home.ID && home.ID != "i0" {
			t.Fatalf("key %d moved from %s to %s, although its home has not departed", i, home.ID, other.ID)
		}
		p := full.Plan(key)
		if q := p.pairs[0]; len(p.pairs) != 1 || full.members[q.home].instance.AvailabilityZone == full.members[q.second].instance.AvailabilityZone {
			t.Fatalf("key %d: pairs %v, want one whose holders are in two zones", i, p.pairs)
		}
	}
	for id, n := range perHome {
		if n < keys/34/2 || n > 2*keys/34 {
			t.Errorf("%s is home of %d of %d keys, want half to twice the average of 34 homes", id, n, keys)
		}
	}
}
