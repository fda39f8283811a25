package membership

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/clock"
)

func ready(id InstanceID) Instance {
	return Instance{ID: id, Service: "s", AvailabilityZone: "z", Incarnation: 1, Sequence: 1, State: StateReady}
}

// joined returns how long ago the table says that the instance joined.
func joined(t *testing.T, table *Table, id InstanceID) time.Duration {
	t.Helper()
	for _, s := range table.History("s") {
		if s.Instance.ID == id {
			return time.Since(s.Joined)
		}
	}
	t.Fatalf("no span of %s", id)
	return 0
}

// Guards against a node that keeps running keyed requests although it has heard nothing for longer than MaxSilence, and
// against a since that does not start again after such a silence.
func TestSilenceMakesTheTableIncomplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := NewTable(clock.System{}, 1, time.Hour)
		if _, ok := table.Synchronised(); ok {
			t.Error("complete before the first confirmation")
		}
		table.SetSynchronised(true)
		first, _ := table.Synchronised()
		time.Sleep(MaxSilence)
		if _, ok := table.Synchronised(); !ok {
			t.Error("incomplete within MaxSilence")
		}
		time.Sleep(time.Millisecond)
		if _, ok := table.Synchronised(); ok {
			t.Error("complete after a silence")
		}
		table.SetSynchronised(true)
		if again, ok := table.Synchronised(); !ok || !again.After(first) {
			t.Errorf("since %v after the silence, %v before", again, first)
		}
	})
}

// Guards against a join that was dated on the other side of a partition: nodes that were complete meanwhile have run
// keyed requests without the new member, so it must count as new when they learn of it.
func TestJoinsAreDatedWhenACompleteTableLearnsOfThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		starting, complete, cutOff := NewTable(clock.System{}, 1, time.Hour), NewTable(clock.System{}, 2, time.Hour), NewTable(clock.System{}, 3, time.Hour)
		complete.SetSynchronised(true)
		cutOff.SetSynchronised(true)
		time.Sleep(time.Second)
		cutOff.Put(ready("late"))
		time.Sleep(10 * time.Minute)
		records, _ := cutOff.All(func(Instance) bool { return true })
		complete.SetSynchronised(true)
		complete.Merge(records...)
		if age := joined(t, complete, "late"); age != 0 {
			t.Errorf("a complete table dates the join %v ago", age)
		}
		cutOff.SetSynchronised(true)
		if age := joined(t, cutOff, "late"); age != 0 {
			t.Errorf("the side that was cut off dates the join %v ago after it came back", age)
		}
		starting.Merge(records...)
		starting.SetSynchronised(true)
		if age := joined(t, starting, "late"); age < 10*time.Minute {
			t.Errorf("a table that starts dates the join %v ago and not by its age", age)
		}
	})
}
