package announce

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/monsoonlatch/monsoonlatch/pkg/fault"
	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
)

// restartedTracker returns the tracker of a node that has restarted. Its recall returns the given records, or does not end if
// they are nil. The health check always gives the same answer.
func restartedTracker(t *testing.T, clk *manualClock, healthy bool, records []membership.Instance) *BackendTracker {
	tracker := New(Settings{Instance: membership.Instance{ID: "n1", Service: "desk", Incarnation: 90}, Clock: clk, Log: zerolog.Nop(),
		DrainTime: time.Second, AcceptsWork: func(context.Context, Announcement) bool { return healthy },
		Recall: func(_ context.Context, found func([]membership.Instance, bool)) {
			if records != nil {
				found(records, true)
			}
		}})
	if !tracker.recalled && tracker.Admits(clk.now) {
		t.Fatal("requests are admitted before anything is known")
	}
	return tracker
}

// confirmPending makes the health check of the first announcement, if one is due.
func confirmPending(tracker *BackendTracker) {
	select {
	case a := <-tracker.unconfirmed:
		tracker.confirm(context.Background(), a)
	default:
	}
}

// Guards against new requests to a backend server that left before its node restarted: any number of announcements that it had
// sent before arrive late, and its health check answers either way.
func TestLateAnnouncementsAfterARestartOfTheNode(t *testing.T) {
	left := func(id string, born int64, state membership.State) membership.Instance {
		return membership.Instance{ID: "n1", Service: "desk", BackendID: id, BackendStarted: born, BackendLeaving: true, State: state, Incarnation: 7, Sequence: 12}
	}
	stopped := membership.Instance{ID: "n1", Service: "desk", BackendID: "i-1", BackendStarted: 1000, State: membership.StateDraining, Incarnation: 7, Sequence: 12}
	ready := stopped
	ready.State = membership.StateReady
	for name, c := range map[string]struct {
		records []membership.Instance
		admits  bool
	}{
		"departed":                               {[]membership.Instance{left("i-1", 1000, membership.StateDeparted)}, false},
		"draining":                               {[]membership.Instance{left("i-1", 1000, membership.StateDraining)}, false},
		"departed, start not named":              {[]membership.Instance{left("i-1", 0, membership.StateDeparted)}, false},
		"older record in the store":              {[]membership.Instance{ready, left("i-1", 1000, membership.StateDeparted)}, false},
		"older record of another node":           {[]membership.Instance{left("i-1", 1000, membership.StateDeparted), ready}, false},
		"a later start departed":                 {[]membership.Instance{left("i-2", 2000, membership.StateDeparted)}, false},
		"only the node was stopped":              {[]membership.Instance{stopped}, true},
		"an earlier start departed":              {[]membership.Instance{left("i-0", 500, membership.StateDeparted)}, true},
		"an earlier start of the ID departed":    {[]membership.Instance{left("i-1", 500, membership.StateDeparted)}, true},
		"nothing known":                          {[]membership.Instance{}, true},
		"neither store nor other nodes answered": {nil, false},
	} {
		for _, healthy := range []bool{false, true} {
			for _, before := range []int{0, 1, 2} {
				clk := &manualClock{time.Unix(10, 0)}
				tracker := restartedTracker(t, clk, healthy, c.records)
				for i := range 4 {
					if i == before {
						tracker.recall(context.Background())
					}
					mustAnnounce(t, tracker, announcement("i-1", 1000, uint64(9+i), Ready))
					confirmPending(tracker)
					clk.now = clk.now.Add(time.Second / 2)
				}
				if tracker.Admits(clk.now) != c.admits {
					t.Errorf("%s, healthy %v, %d announcements before the recall: requests are admitted: %v", name, healthy, before, !c.admits)
				}
				own, _ := tracker.Instance()
				if c.records == nil || c.admits {
					continue
				}
				if !own.BackendLeaving || own.State != membership.StateDeparted && own.State != membership.StateDraining {
					t.Errorf("%s, healthy %v: record %+v, which a further restart would take for that of a backend server that stays", name, healthy, own)
				}
				next := announcement("i-1", 9000, 1, Ready)
				if c.records[len(c.records)-1].BackendStarted == 0 {
					next.ID = "i-2" // Without its time, a start is known by its ID only.
				}
				mustAnnounce(t, tracker, next)
				if confirmPending(tracker); !tracker.Admits(clk.now) {
					t.Errorf("%s, healthy %v: the next start is not admitted", name, healthy)
				}
			}
		}
	}
}

// Guards against a record that attributes the leaving of one start to another one, which then gets no work after a restart of the
// node: the next start has the same ID and is not in effect yet, or only the response to its check says that it leaves.
func TestLeavingIsAttributedToItsStart(t *testing.T) {
	for name, c := range map[string]struct {
		events func(*BackendTracker)
		born   int64
	}{
		"next start held back": {func(tracker *BackendTracker) {
			mustDepart(t, tracker, "i-1", 1000)
			mustAnnounce(t, tracker, announcement("i-1", 2000, 1, Ready))
			tracker.RaiseIncarnationAbove(500)
		}, 1000},
		"response to the check": {func(tracker *BackendTracker) {
			tracker.recall(context.Background())
			mustAnnounce(t, tracker, announcement("i-1", 2000, 1, Ready))
			tracker.ResponseSaysLeaving()
			confirmPending(tracker)
			mustAnnounce(t, tracker, announcement("i-1", 2000, 2, Ready))
		}, 2000},
	} {
		tracker := restartedTracker(t, &manualClock{time.Unix(10, 0)}, true, []membership.Instance{})
		c.events(tracker)
		own, _ := tracker.Instance()
		if !own.BackendLeaving || own.BackendID != "i-1" || own.BackendStarted != c.born {
			t.Errorf("%s: record %+v, want the start at %d to leave", name, own, c.born)
		}
	}
	tracker := restartedTracker(t, &manualClock{time.Unix(10, 0)}, true, []membership.Instance{{BackendLeaving: true, State: membership.StateDeparted}})
	tracker.recall(context.Background())
	mustAnnounce(t, tracker, announcement("i-1", 1000, 1, Ready))
	if confirmPending(tracker); !tracker.Admits(time.Unix(10, 0)) {
		t.Error("a record without a backend server stops one")
	}
}

// Guards against a departure that other nodes report only after the announcements of the restarted node's backend server
// have been believed.
func TestDepartureThatBecomesKnownLate(t *testing.T) {
	clk := &manualClock{time.Unix(10, 0)}
	tracker := restartedTracker(t, clk, true, []membership.Instance{})
	tracker.recall(context.Background())
	mustAnnounce(t, tracker, announcement("i-1", 1000, 9, Ready))
	if confirmPending(tracker); !tracker.Admits(clk.now) {
		t.Fatal("not admitted")
	}
	known := membership.Instance{ID: "n1", BackendID: "i-1", BackendStarted: 1000, BackendLeaving: true, State: membership.StateDeparted, Incarnation: 7}
	tracker.ObserveOwn(known)
	if tracker.Admits(clk.now) {
		t.Error("requests are admitted for another drain time, though the first one began with the acknowledgement")
	}
	clk.now = clk.now.Add(time.Second)
	mustAnnounce(t, tracker, announcement("i-1", 1000, 10, Ready))
	if own, _ := tracker.Instance(); tracker.Admits(clk.now) || own.State != membership.StateDeparted {
		t.Errorf("record %+v", own)
	}
	mustAnnounce(t, tracker, announcement("i-2", 2000, 1, Ready))
	if tracker.ObserveOwn(known); !tracker.Admits(clk.now) {
		t.Error("the departure of an earlier start stops the current one")
	}
}

// Guards against a backend server that gets no work as long as neither the store nor another node answers its restarted node,
// though its announcements go on for longer than any can be late.
func TestBackendServerIsBelievedWithoutAnyAnswer(t *testing.T) {
	clk := &manualClock{time.Unix(10, 0)}
	tracker := restartedTracker(t, clk, false, nil)
	start := clk.now
	for sequence := uint64(1); sequence < 20; sequence++ {
		mustAnnounce(t, tracker, announcement("i-1", 1000, sequence, Ready))
		confirmPending(tracker)
		if admits, want := tracker.Admits(clk.now), clk.now.Sub(start) > DefaultTimeout; admits != want {
			t.Errorf("%s after the first announcement: requests are admitted: %v", clk.now.Sub(start), admits)
		}
		clk.now = clk.now.Add(time.Second / 2)
	}
}

// Guards against late announcements of a backend server that has left, after a restart of its node while the store does not answer:
// the other nodes have not heard of the departure. Guards also against a backend server without work for as long as the store is
// down, if it says itself that it accepts work or goes on announcing itself.
func TestOtherNodesMayNotKnowOfADeparture(t *testing.T) {
	for _, healthy := range []bool{false, true} {
		clk := &manualClock{time.Unix(10, 0)}
		tracker := restartedTracker(t, clk, healthy, nil)
		answer := func(stored bool, records ...membership.Instance) {
			tracker.settings.Recall = func(_ context.Context, found func([]membership.Instance, bool)) { found(records, stored) }
			tracker.recall(t.Context())
			confirmPending(tracker)
		}
		start, sequence := clk.now, uint64(8)
		announce := func() {
			sequence++
			mustAnnounce(t, tracker, announcement("i-1", 1000, sequence, Ready))
			confirmPending(tracker)
			clk.now = clk.now.Add(time.Second / 2)
		}
		answer(false)
		for clk.now.Sub(start) < DefaultTimeout {
			announce()
			answer(false)
			if tracker.Admits(clk.now) != healthy {
				t.Fatalf("healthy %v: %v after the restart requests are admitted: %v", healthy, clk.now.Sub(start), !healthy)
			}
		}
		announce()
		announce()
		if !tracker.Admits(clk.now) {
			t.Errorf("healthy %v: not admitted after announcements for %v", healthy, clk.now.Sub(start))
		}
		answer(true, membership.Instance{ID: "n1", BackendID: "i-1", BackendStarted: 1000, BackendLeaving: true, State: membership.StateDeparted})
		if announce(); tracker.Admits(clk.now) {
			t.Errorf("healthy %v: admitted, though the store holds the departure", healthy)
		}
	}

	tracker := restartedTracker(t, &manualClock{time.Unix(10, 0)}, false, nil)
	for i, stored := range []bool{false, true} {
		tracker.settings.Recall = func(_ context.Context, found func([]membership.Instance, bool)) { found(nil, stored) }
		tracker.recall(t.Context())
		mustAnnounce(t, tracker, announcement("i-1", 1000, uint64(i+1), Ready))
		confirmPending(tracker)
	}
	mustAnnounce(t, tracker, announcement("i-1", 1000, 3, Ready))
	if confirmPending(tracker); !tracker.Admits(time.Unix(10, 0)) {
		t.Error("not admitted, though the store holds nothing against the backend server and announcements go on")
	}
}

// Guards against an acknowledgement of a drain or departure that the store does not hold, so that it would be forgotten if all
// processes ended; new requests end all the same.
func TestLeavingIsAcknowledgedOnceItIsPreserved(t *testing.T) {
	for name, leave := range map[string]func(*BackendTracker) error{
		"drain":     func(tracker *BackendTracker) error { return tracker.Announce(announcement("i-1", 1000, 2, Draining)) },
		"departure": func(tracker *BackendTracker) error { return tracker.Depart("i-1", 1000) },
	} {
		clk, changes := &manualClock{time.Unix(10, 0)}, []membership.Instance(nil)
		tracker := newTracker(clk, &changes)
		var stored error
		tracker.settings.AwaitStored = func(_ context.Context, record membership.Instance) error {
			if own, _ := tracker.Instance(); own != record || !record.BackendLeaving || record.BackendID != "i-1" || record.BackendStarted != 1000 {
				t.Errorf("%s: record %+v is awaited", name, record)
			}
			return stored
		}
		mustAnnounce(t, tracker, announcement("i-1", 1000, 1, Ready))
		stored = errors.New("the store is down")
		if err := leave(tracker); !fault.Is(err, fault.Unavailable) {
			t.Errorf("%s that is not stored: error %v, want kind unavailable", name, err)
		}
		if tracker.Admits(clk.now) {
			t.Errorf("%s that is not stored: new requests are admitted", name)
		}
		stored = nil
		if err := leave(tracker); err != nil {
			t.Errorf("%s that is stored: %v", name, err)
		}
	}
}

// Guards against new requests to a start that has left before its node restarted, if the late departure of an earlier start and a
// late announcement of this one arrive before the records of the earlier run are known.
func TestDepartureOfAHeldStartIsRecalled(t *testing.T) {
	clk := &manualClock{time.Unix(10, 0)}
	tracker := restartedTracker(t, clk, true, []membership.Instance{{BackendID: "i-2", BackendStarted: 2000, BackendLeaving: true, State: membership.StateDeparted}})
	mustDepart(t, tracker, "i-1", 1000)
	mustAnnounce(t, tracker, announcement("i-2", 2000, 5, Ready))
	tracker.recall(context.Background())
	confirmPending(tracker)
	mustAnnounce(t, tracker, announcement("i-2", 2000, 6, Ready))
	if tracker.Admits(clk.now) {
		t.Error("a start that has left is admitted")
	}
}

// Guards against the record of a departed start that other nodes ignore because it has the incarnation of an earlier departure:
// they would go on sending requests for a start that they know as ready.
func TestEachDepartedStartHasItsOwnIncarnation(t *testing.T) {
	for name, depart := range map[string]func(*BackendTracker){
		"announced": func(tracker *BackendTracker) { mustDepart(t, tracker, "i-2", 2000) },
		"recalled": func(tracker *BackendTracker) {
			tracker.ObserveOwn(membership.Instance{BackendID: "i-2", BackendStarted: 2000, BackendLeaving: true, State: membership.StateDeparted})
		},
	} {
		tracker := restartedTracker(t, &manualClock{time.Unix(10, 0)}, true, []membership.Instance{})
		mustDepart(t, tracker, "i-1", 1000)
		first, _ := tracker.Instance()
		mustAnnounce(t, tracker, announcement("i-2", 2000, 5, Ready))
		depart(tracker)
		second, _ := tracker.Instance()
		if second.BackendID != "i-2" || second.State != membership.StateDeparted || second.Incarnation <= first.Incarnation {
			t.Errorf("%s: the departure of i-2 leaves the record %+v after %+v", name, second, first)
		}
		mustDepart(t, tracker, "i-2", 2000)
		if again, _ := tracker.Instance(); again != second {
			t.Errorf("%s: a repeated departure changes the record from %+v to %+v", name, second, again)
		}
	}
}

// Guards against late announcements that bring a backend server back after its departure was lost with what a restored store had
// written: the recall ends without it, and one check that fails does not make the next announcement count. A server whose check fails
// although it is well must not wait for longer than an announcement can be late.
func TestAnnouncementsAfterAnUncertainRecall(t *testing.T) {
	for name, c := range map[string]struct {
		healthyFrom int // the announcement from which the health check passes
		announced   int
		admits      bool
	}{
		"left, two late announcements":     {healthyFrom: 100, announced: 2},
		"left, late ones for long":         {healthyFrom: 100, announced: 5},
		"well":                             {healthyFrom: 0, announced: 1, admits: true},
		"well, first check fails":          {healthyFrom: 1, announced: 2, admits: true},
		"well, all checks fail":            {healthyFrom: 100, announced: 9, admits: true},
		"well, the second last check fail": {healthyFrom: 3, announced: 4, admits: true},
	} {
		t.Run(name, func(t *testing.T) {
			clk := &manualClock{time.Unix(10, 0)}
			check := 0
			tracker := New(Settings{Instance: membership.Instance{ID: "n1", Service: "desk", Incarnation: 90}, Clock: clk, Log: zerolog.Nop(), DrainTime: time.Second,
				AcceptsWork: func(context.Context, Announcement) bool { check++; return check > c.healthyFrom },
				Recall:      func(_ context.Context, found func([]membership.Instance, bool)) { found(nil, false) }})
			tracker.recall(context.Background())
			for i := range c.announced {
				mustAnnounce(t, tracker, announcement("i-1", 1000, uint64(9+i), Ready))
				confirmPending(tracker)
				clk.now = clk.now.Add(DefaultTimeout / 6)
			}
			if tracker.Admits(clk.now) != c.admits {
				t.Errorf("requests are admitted after %d announcements and %d checks: %v", c.announced, check, !c.admits)
			}
		})
	}
}
