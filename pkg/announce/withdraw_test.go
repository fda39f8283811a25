package announce

import (
	"fmt"
	"testing"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
)

// Guards against a change of the backend server that is lost since the record of its stopping node has the same number, and
// against a stopping node that offers itself again. The node begins to stop at each point of the life of two starts.
func TestStopOfTheNodeAtAnyPoint(t *testing.T) {
	steps := []func(*testing.T, *BackendTracker){
		func(t *testing.T, tracker *BackendTracker) {
			mustAnnounce(t, tracker, announcement("i-1", 1000, 1, Ready))
		},
		func(t *testing.T, tracker *BackendTracker) {
			more := announcement("i-1", 1000, 2, Ready)
			more.Slots++
			mustAnnounce(t, tracker, more)
		},
		func(t *testing.T, tracker *BackendTracker) {
			mustAnnounce(t, tracker, announcement("i-1", 1000, 3, Draining))
		},
		func(t *testing.T, tracker *BackendTracker) { mustDepart(t, tracker, "i-1", 1000) },
		func(t *testing.T, tracker *BackendTracker) {
			mustAnnounce(t, tracker, announcement("i-2", 2000, 1, Ready))
		},
		func(t *testing.T, tracker *BackendTracker) { tracker.RaiseIncarnationAbove(20) },
	}
	for stopBefore := range len(steps) + 1 {
		t.Run(fmt.Sprint("before step ", stopBefore), func(t *testing.T) {
			clk, changes := &manualClock{time.Unix(10, 0)}, []membership.Instance(nil)
			tracker := newTracker(clk, &changes)
			first := 0
			for i := range len(steps) + 1 {
				if i == stopBefore {
					first = len(changes)
					tracker.Withdraw()
				}
				if i == len(steps) {
					break
				}
				steps[i](t, tracker)
				own, _ := tracker.Instance()
				if told := changes[len(changes)-1]; told.BackendLeaving != own.BackendLeaving || told.BackendID != own.BackendID ||
					told.Incarnation != own.Incarnation || told.Sequence != own.Sequence {
					t.Errorf("step %d: other nodes are told %+v, want what the node knows: %+v", i, told, own)
				}
				if admits := tracker.Admits(clk.now); admits != (own.State == membership.StateReady) {
					t.Errorf("step %d: admits work of nodes that still send some: %v, though the state is %s", i, admits, own.State)
				}
			}
			for i, told := range changes {
				if i > 0 && (told.Incarnation < changes[i-1].Incarnation || told.Incarnation == changes[i-1].Incarnation && told.Sequence <= changes[i-1].Sequence) {
					t.Errorf("record %+v does not supersede %+v", told, changes[i-1])
				}
				if i >= first && told.State == membership.StateReady {
					t.Errorf("the stopping node offers itself: %+v", told)
				}
			}
		})
	}
}
