package announce

import (
	"testing"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
)

func announcement(id string, born int64, sequence uint64, state string) Announcement {
	return Announcement{Service: "desk", Address: "127.0.0.1:81", Slots: 18, State: state, ID: id, Born: born, Sequence: sequence}
}

func mustAnnounce(t *testing.T, tracker *BackendTracker, a Announcement) {
	t.Helper()
	if err := tracker.Announce(a); err != nil {
		t.Fatalf("%+v: %v", a, err)
	}
}

// Guards against announcements that a network partition has delayed: they must not restore an earlier start of the
// backend server or an earlier state of the current one.
func TestLateAnnouncementsChangeNothing(t *testing.T) {
	clk, changes := &manualClock{time.Unix(10, 0)}, []membership.Instance(nil)
	tracker := newTracker(clk, &changes)
	mustAnnounce(t, tracker, announcement("i-1", 1000, 5, Ready))
	mustAnnounce(t, tracker, announcement("i-2", 2000, 1, Ready))
	for _, late := range []Announcement{announcement("i-1", 1000, 9, Ready), announcement("i-1", 1000, 6, Draining), announcement("i-2", 2000, 1, Draining)} {
		mustAnnounce(t, tracker, late)
		if own, _ := tracker.Instance(); own.BackendID != "i-2" || own.State != membership.StateReady {
			t.Errorf("after %+v: %+v", late, own)
		}
	}
	if err := tracker.Depart("i-1", 1000); err == nil {
		t.Error("the departure of an earlier start was accepted")
	}
	if own, _ := tracker.Instance(); own.State != membership.StateReady {
		t.Errorf("%+v", own)
	}
}

// Guards against a backend server that restarts with the same ID and is held to its earlier state: its announcements
// begin with sequence 1 again and must not be treated as outdated.
func TestRestartUnderTheSameID(t *testing.T) {
	clk, changes := &manualClock{time.Unix(10, 0)}, []membership.Instance(nil)
	tracker := newTracker(clk, &changes)
	mustAnnounce(t, tracker, announcement("i-1", 1000, 50, Draining))
	mustAnnounce(t, tracker, announcement("i-1", 3000, 1, Ready))
	if own, _ := tracker.Instance(); own.State != membership.StateReady || !tracker.Admits(clk.now) {
		t.Errorf("%+v", own)
	}
}

// Guards against new requests after the drain time, which begins with the acknowledgement of a drain or of a departure
// without a drain, and against a later departure that extends it.
func TestDrainTimeEnds(t *testing.T) {
	for name, first := range map[string]func(*BackendTracker) error{
		"drain":     func(tracker *BackendTracker) error { return tracker.Announce(announcement("i-1", 1000, 2, Draining)) },
		"departure": func(tracker *BackendTracker) error { return tracker.Depart("i-1", 1000) },
	} {
		clk, changes := &manualClock{time.Unix(10, 0)}, []membership.Instance(nil)
		tracker := newTracker(clk, &changes)
		tracker.SetDrainTime(time.Second)
		mustAnnounce(t, tracker, announcement("i-1", 1000, 1, Ready))
		if err := first(tracker); err != nil {
			t.Fatal(err)
		}
		if !tracker.Admits(clk.now.Add(900 * time.Millisecond)) {
			t.Errorf("%s: new requests are rejected within the drain time", name)
		}
		clk.now = clk.now.Add(900 * time.Millisecond)
		if err := tracker.Depart("i-1", 0); err != nil {
			t.Fatal(err)
		}
		if tracker.Admits(clk.now.Add(200 * time.Millisecond)) {
			t.Errorf("%s: new requests are accepted after the drain time", name)
		}
		mustAnnounce(t, tracker, announcement("i-1", 1000, 3, Departed))
		if tracker.Admits(clk.now.Add(200 * time.Millisecond)) {
			t.Errorf("%s: a later announcement extends the drain time", name)
		}
	}
}

// Guards against a node that restarts while its backend server drains and sends it requests before it knows its state.
func TestNoWorkBeforeTheFirstAnnouncement(t *testing.T) {
	clk, changes := &manualClock{time.Unix(10, 0)}, []membership.Instance(nil)
	tracker := newTracker(clk, &changes)
	tracker.SetDrainTime(time.Second)
	if tracker.Admits(clk.now) {
		t.Error("new requests are accepted before the first announcement")
	}
	mustAnnounce(t, tracker, announcement("i-1", 1000, 7, Draining))
	if tracker.Admits(clk.now) {
		t.Error("new requests are accepted although the drain may have been acknowledged long ago")
	}
}

// Guards against requests that are sent repeatedly to a different backend server at the same address, which rejects
// them: none may be sent until that backend server has announced itself.
func TestMisdirectedStopsWorkUntilAnnounced(t *testing.T) {
	clk, changes := &manualClock{time.Unix(10, 0)}, []membership.Instance(nil)
	tracker := newTracker(clk, &changes)
	mustAnnounce(t, tracker, announcement("i-1", 1000, 7, Ready))
	tracker.Misdirected("i-2")
	if tracker.Admits(clk.now) {
		t.Error("new requests are accepted for an unknown backend server")
	}
	mustAnnounce(t, tracker, announcement("i-2", 2000, 1, Ready))
	if !tracker.Admits(clk.now) {
		t.Error("new requests are rejected after the announcement")
	}
}

// Guards against a node whose record other nodes discard as outdated, because its clock was set back and its
// incarnation is lower than that of an earlier start, or because its record was removed from the store.
func TestRaiseIncarnationAbove(t *testing.T) {
	clk, changes := &manualClock{time.Unix(10, 0)}, []membership.Instance(nil)
	tracker := newTracker(clk, &changes)
	mustAnnounce(t, tracker, announcement("i-1", 1000, 1, Ready))
	before, _ := tracker.Instance()
	tracker.RaiseIncarnationAbove(before.Incarnation - 1)
	if own, _ := tracker.Instance(); own != before {
		t.Errorf("a lower incarnation changes the record to %+v", own)
	}
	for _, known := range []uint64{before.Incarnation, before.Incarnation + 40} {
		tracker.RaiseIncarnationAbove(known)
		own, _ := tracker.Instance()
		if own.Incarnation != known+1 || own.State != membership.StateReady || changes[len(changes)-1] != own {
			t.Errorf("record %+v after incarnation %d became known", own, known)
		}
	}
	if err := tracker.Depart("i-1", 1000); err != nil {
		t.Fatal(err)
	}
	departed, _ := tracker.Instance()
	if tracker.RaiseIncarnationAbove(departed.Incarnation); changes[len(changes)-1] != departed {
		t.Error("the removal of a departed instance's record restores the instance")
	}
}
