package membership

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/clock"
)

func readyInstance(id InstanceID) Instance {
	return Instance{ID: id, Service: "s", AvailabilityZone: "z", Incarnation: 1, Sequence: 1, State: StateReady}
}

// joinAge returns the time since the instance joined according to the table.
func joinAge(t *testing.T, table *Table, id InstanceID) time.Duration {
	t.Helper()
	for _, s := range table.History("s") {
		if s.Instance.ID == id {
			return time.Since(s.Joined)
		}
	}
	t.Fatalf("no span of %s", id)
	return 0
}

// Guards against a node that still runs requests with an idempotency key although its table has not been confirmed
// within MaxSilence, and against a completeness time that is not reset after such a gap.
func TestTableIsIncompleteWithoutConfirmation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := NewTable(clock.System{}, 1, time.Hour)
		if _, ok := table.CompleteSince(); ok {
			t.Error("complete before the first confirmation")
		}
		table.SetComplete(true)
		first, _ := table.CompleteSince()
		time.Sleep(MaxSilence)
		if _, ok := table.CompleteSince(); !ok {
			t.Error("incomplete within MaxSilence")
		}
		time.Sleep(time.Millisecond)
		if _, ok := table.CompleteSince(); ok {
			t.Error("complete without a confirmation within MaxSilence")
		}
		table.SetComplete(true)
		if again, ok := table.CompleteSince(); !ok || !again.After(first) {
			t.Errorf("complete since %v after the gap, since %v before it", again, first)
		}
	})
}

// Guards against keeping a join time recorded on the other side of a partition. Nodes with complete tables have run
// requests with an idempotency key without the new member, so the member must count as new when they learn of it.
func TestCompleteTableUsesLocalJoinTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		starting, complete, cutOff := NewTable(clock.System{}, 1, time.Hour), NewTable(clock.System{}, 2, time.Hour), NewTable(clock.System{}, 3, time.Hour)
		complete.SetComplete(true)
		cutOff.SetComplete(true)
		time.Sleep(time.Second)
		cutOff.Put(readyInstance("late"))
		time.Sleep(10 * time.Minute)
		records, _ := cutOff.All(func(Instance) bool { return true })
		complete.SetComplete(true)
		complete.Merge(records...)
		if age := joinAge(t, complete, "late"); age != 0 {
			t.Errorf("complete table: joined %v ago, want 0", age)
		}
		cutOff.SetComplete(true)
		if age := joinAge(t, cutOff, "late"); age != 0 {
			t.Errorf("partitioned table after reconnecting: joined %v ago, want 0", age)
		}
		starting.Merge(records...)
		starting.SetComplete(true)
		if age := joinAge(t, starting, "late"); age < 10*time.Minute {
			t.Errorf("starting table: joined %v ago, want at least the received age of 10 min", age)
		}
	})
}
