package membership

import (
	"flag"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestMain fixes the seed of the property tests, so that each run generates the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20261204")
	}
	os.Exit(m.Run())
}

type fakeClock struct{ now time.Time }

func (c *fakeClock) Now() time.Time { return c.now }

const testRetention = 10 * time.Minute

func newTestTable(epoch uint64) (*Table, *fakeClock) {
	c := &fakeClock{time.Unix(1_000_000, 0)}
	return NewTable(c, epoch, testRetention), c
}

func anyInstance(Instance) bool { return true }
func anyService(string) bool    { return true }

func instance(id string, inc, seq uint64, s State) Instance {
	return Instance{ID: InstanceID(id), Service: "s", AvailabilityZone: "z", Incarnation: inc, Sequence: seq, State: s}
}

var instanceGenerator = rapid.Custom(func(t *rapid.T) Instance {
	i := instance(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id"), rapid.Uint64Range(1, 3).Draw(t, "inc"),
		rapid.Uint64Range(1, 4).Draw(t, "seq"), State(rapid.IntRange(0, 3).Draw(t, "state")))
	// The owner assigns one state to each (incarnation, sequence); only a departure can also be declared by a relay.
	if i.State != StateDeparted {
		i.State = State((i.Incarnation + i.Sequence) % 3)
	}
	i.HandedOver = i.State == StateDeparted && rapid.Bool().Draw(t, "handedOver")
	return i
})

// Guards against tables that do not converge when they receive the same records in another order, more than once, or
// only through another table, and against different views of equal tables.
func TestTablesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOfN(instanceGenerator, 1, 20).Draw(t, "records")
		a, _ := newTestTable(1)
		b, _ := newTestTable(2)
		for _, i := range records {
			a.Put(i)
		}
		for _, n := range rapid.Permutation(append(slices.Clone(records), records...)).Draw(t, "order") {
			if rapid.IntRange(0, 4).Draw(t, "lost") > 0 {
				b.Put(n)
			}
		}
		for range 2 { // full exchange in both directions
			all, _ := a.All(anyInstance)
			b.Merge(all...)
			all, _ = b.All(anyInstance)
			a.Merge(all...)
		}
		if a.Digest(anyService) != b.Digest(anyService) || a.ZoneDigests()["z"] != b.ZoneDigests()["z"] {
			t.Fatalf("digests differ: %v and %v", a.History("s"), b.History("s"))
		}
		if !slices.Equal(a.Instances("s"), b.Instances("s")) {
			t.Fatalf("views differ: %v and %v", a.Instances("s"), b.Instances("s"))
		}
	})
}

// Guards against changes that are missing from successive deltas.
func TestDeltasContainAllChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, _ := newTestTable(1)
		b, _ := newTestTable(2)
		var mark Mark
		for _, i := range rapid.SliceOfN(instanceGenerator, 1, 20).Draw(t, "records") {
			a.Put(i)
			if rapid.Bool().Draw(t, "read") {
				var records []Record
				records, mark = a.ChangesSince(mark, anyInstance)
				b.Merge(records...)
			}
		}
		records, _ := a.ChangesSince(mark, anyInstance)
		b.Merge(records...)
		if a.Digest(anyService) != b.Digest(anyService) {
			t.Fatal("digests differ after all deltas were merged")
		}
	})
}

// Guards against a departure that does not replace the live record with the same sequence, and against an older
// incarnation that still counts as a member.
func TestDepartureAndRestartPrecedence(t *testing.T) {
	tb, c := newTestTable(1)
	tb.Put(instance("a", 1, 5, StateReady))
	c.now = c.now.Add(time.Minute)
	tb.Put(instance("a", 1, 5, StateDeparted))
	if tb.Put(instance("a", 1, 5, StateReady)) || len(tb.Instances("s")) != 0 {
		t.Error("a live record replaced a departure with the same sequence")
	}
	if !tb.Put(instance("a", 1, 6, StateReady)) || len(tb.Instances("s")) != 1 {
		t.Error("a record with a higher sequence did not replace a departure")
	}
	tb.Put(instance("a", 2, 1, StateReady))
	h := tb.History("s")
	if len(h) != 2 || h[0].Departed != c.now || h[0].Instance.HandedOver || !h[1].Departed.IsZero() {
		t.Errorf("history after a restart: %+v", h)
	}
	late := instance("a", 1, 7, StateDeparted)
	late.HandedOver = true
	if !tb.Put(late) || !tb.History("s")[0].Instance.HandedOver {
		t.Error("the hand-over received after the restart was not recorded")
	}
}

// Guards against spans whose ends move when records circulate between tables, and against expired tombstones that are
// accepted again.
func TestAgesStayCorrectAcrossExchanges(t *testing.T) {
	a, ca := newTestTable(1)
	b, cb := newTestTable(2)
	cb.now = cb.now.Add(-72 * time.Hour) // clocks differ; records carry only ages
	a.Put(instance("a", 1, 1, StateReady))
	ca.now = ca.now.Add(2 * time.Minute)
	a.Put(instance("a", 1, 2, StateDeparted))
	ca.now = ca.now.Add(time.Minute)
	for range 5 {
		records, _ := a.All(anyInstance)
		b.Merge(records...)
		ca.now, cb.now = ca.now.Add(time.Second), cb.now.Add(time.Second)
		records, _ = b.All(anyInstance)
		a.Merge(records...)
	}
	s := b.History("s")[0]
	if joined, departed := cb.now.Sub(s.Joined), cb.now.Sub(s.Departed); joined != 3*time.Minute+5*time.Second || departed != 65*time.Second {
		t.Errorf("joined %v ago, departed %v ago", joined, departed)
	}
	cb.now = cb.now.Add(testRetention)
	b.Expire()
	records, _ := a.All(anyInstance)
	records[0].DepartedAge = testRetention
	if b.Len() != 0 || b.Merge(records...) != 0 {
		t.Error("an expired tombstone was not removed or was accepted again")
	}
}

// Guards against a full snapshot that does not mark the members it lacks as departed, and against members that cannot
// return afterwards.
func TestReplaceMarksMissingMembersDeparted(t *testing.T) {
	tb, _ := newTestTable(1)
	a, b := instance("a", 1, 1, StateReady), instance("b", 1, 1, StateReady)
	tb.Put(a)
	tb.Put(b)
	tb.Replace([]Record{{Instance: a}}, anyInstance)
	if got := tb.Instances("s"); len(got) != 1 || got[0].ID != "a" {
		t.Errorf("members %v, want a", got)
	}
	if h := tb.History("s"); len(h) != 2 || h[1].Departed.IsZero() {
		t.Errorf("history %+v, want b departed", h)
	}
	tb.Merge(Record{Instance: b})
	if got := tb.Instances("s"); len(got) != 2 {
		t.Errorf("members %v after a new record of b, want a and b", got)
	}
}

// Guards against choosing instances of an unreachable availability zone, and against removing them from the history.
func TestUnreachableZone(t *testing.T) {
	tb, _ := newTestTable(1)
	tb.Put(instance("a", 1, 1, StateReady))
	changed := tb.Subscribe()
	tb.SetUnreachable([]string{"z"})
	<-changed
	if len(tb.Instances("s")) != 0 || !tb.History("s")[0].Unreachable {
		t.Error("an instance of an unreachable availability zone can be chosen or is not marked in the history")
	}
	tb.SetUnreachable(nil)
	if len(tb.Instances("s")) != 1 {
		t.Error("the instance is missing after its availability zone became reachable again")
	}
}
