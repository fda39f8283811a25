package announce

import (
	"testing"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
)

func announcement(id string, born int64, sequence uint64, state string) Announcement {
	return Announcement{Service: "desk", Address: "127.0.0.1:81", Slots: 18, State: state, ID: id, Born: born, Sequence: sequence}
}

func take(t *testing.T, s *Service, a Announcement) {
	t.Helper()
	if err := s.Announce(a); err != nil {
		t.Fatalf("%+v: %v", a, err)
	}
}

// Guards against an announcement that was delayed by a partition: it must not bring an earlier start back, nor an earlier
// state of this one.
func TestLateAnnouncementsChangeNothing(t *testing.T) {
	clk, changes := &manual{time.Unix(10, 0)}, []membership.Instance(nil)
	s := newService(clk, &changes)
	take(t, s, announcement("i-1", 1000, 5, Ready))
	take(t, s, announcement("i-2", 2000, 1, Ready))
	for _, late := range []Announcement{announcement("i-1", 1000, 9, Ready), announcement("i-1", 1000, 6, Draining), announcement("i-2", 2000, 1, Draining)} {
		take(t, s, late)
		if own, _ := s.Instance(); own.BackendID != "i-2" || own.State != membership.StateReady {
			t.Errorf("after %+v: %+v", late, own)
		}
	}
	if err := s.Depart("i-1", 1000); err == nil {
		t.Error("the departure of an earlier start was taken")
	}
	if own, _ := s.Instance(); own.State != membership.StateReady {
		t.Errorf("%+v", own)
	}
}

// Guards against a backend server that starts again under the id that it had: it knows nothing of before, and its sequence
// begins anew.
func TestRestartUnderTheSameID(t *testing.T) {
	clk, changes := &manual{time.Unix(10, 0)}, []membership.Instance(nil)
	s := newService(clk, &changes)
	take(t, s, announcement("i-1", 1000, 50, Draining))
	take(t, s, announcement("i-1", 3000, 1, Ready))
	if own, _ := s.Instance(); own.State != membership.StateReady || !s.Admits(clk.now) {
		t.Errorf("%+v", own)
	}
}

// Guards against new work after the drain time, counted from the acknowledgement, whether a drain is announced first or the
// departure comes at once; and against a departure that prolongs it.
func TestDrainTimeEnds(t *testing.T) {
	for name, first := range map[string]func(*Service) error{
		"drain":     func(s *Service) error { return s.Announce(announcement("i-1", 1000, 2, Draining)) },
		"departure": func(s *Service) error { return s.Depart("i-1", 1000) },
	} {
		clk, changes := &manual{time.Unix(10, 0)}, []membership.Instance(nil)
		s := newService(clk, &changes)
		s.SetDrainTime(time.Second)
		take(t, s, announcement("i-1", 1000, 1, Ready))
		if err := first(s); err != nil {
			t.Fatal(err)
		}
		if !s.Admits(clk.now.Add(900 * time.Millisecond)) {
			t.Errorf("%s: no work right after it, although other nodes have not heard of it", name)
		}
		clk.now = clk.now.Add(900 * time.Millisecond)
		if err := s.Depart("i-1", 0); err != nil {
			t.Fatal(err)
		}
		if s.Admits(clk.now.Add(200 * time.Millisecond)) {
			t.Errorf("%s: work after the drain time", name)
		}
		take(t, s, announcement("i-1", 1000, 3, Departed))
		if s.Admits(clk.now.Add(200 * time.Millisecond)) {
			t.Errorf("%s: a later announcement prolongs it", name)
		}
	}
}

// Guards against a node that restarts beside a draining backend server and gives it work before it knows its state.
func TestNoWorkBeforeTheFirstAnnouncement(t *testing.T) {
	clk, changes := &manual{time.Unix(10, 0)}, []membership.Instance(nil)
	s := newService(clk, &changes)
	s.SetDrainTime(time.Second)
	if s.Admits(clk.now) {
		t.Error("work before the first announcement")
	}
	take(t, s, announcement("i-1", 1000, 7, Draining))
	if s.Admits(clk.now) {
		t.Error("work for a backend server whose drain may have been acknowledged long ago")
	}
}

// Guards against a request that another backend server at the same address refuses, again and again: nothing is sent until
// that one has announced itself.
func TestMisdirectedStopsWorkUntilAnnounced(t *testing.T) {
	clk, changes := &manual{time.Unix(10, 0)}, []membership.Instance(nil)
	s := newService(clk, &changes)
	take(t, s, announcement("i-1", 1000, 7, Ready))
	s.Misdirected("i-2")
	if s.Admits(clk.now) {
		t.Error("work for an unknown backend server")
	}
	take(t, s, announcement("i-2", 2000, 1, Ready))
	if !s.Admits(clk.now) {
		t.Error("no work after the announcement")
	}
}

// Guards against a node whose record is taken for an old one: after a step of the time of day its incarnation is lower
// than that of an earlier start, or its record was removed from the store.
func TestOutlive(t *testing.T) {
	clk, changes := &manual{time.Unix(10, 0)}, []membership.Instance(nil)
	s := newService(clk, &changes)
	take(t, s, announcement("i-1", 1000, 1, Ready))
	before, _ := s.Instance()
	s.Outlive(before.Incarnation - 1)
	if own, _ := s.Instance(); own != before {
		t.Errorf("an earlier start changes the record to %+v", own)
	}
	for _, known := range []uint64{before.Incarnation, before.Incarnation + 40} {
		s.Outlive(known)
		own, _ := s.Instance()
		if own.Incarnation != known+1 || own.State != membership.StateReady || changes[len(changes)-1] != own {
			t.Errorf("%+v after an incarnation of %d is known", own, known)
		}
	}
	if err := s.Depart("i-1", 1000); err != nil {
		t.Fatal(err)
	}
	departed, _ := s.Instance()
	if s.Outlive(departed.Incarnation); changes[len(changes)-1] != departed {
		t.Error("the removal of a departed instance's record brings it back")
	}
}
