package announce

import (
	"context"
	"testing"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
)

// Guards against new requests to a backend server that has said that it leaves: an announcement that it sent before, or
// any other of the same start, arrives after the departure or after a silence and makes it ready again.
func TestLeavingStartIsNotReadyAgain(t *testing.T) {
	for name, leave := range map[string]func(t *testing.T, tracker *BackendTracker, clk *manualClock){
		"departure without a drain": func(t *testing.T, tracker *BackendTracker, _ *manualClock) {
			mustDepart(t, tracker, "i-1", 1000)
		},
		"departure that does not name its start": func(t *testing.T, tracker *BackendTracker, _ *manualClock) {
			mustDepart(t, tracker, "i-1", 0)
		},
		"departure after a drain": func(t *testing.T, tracker *BackendTracker, _ *manualClock) {
			mustAnnounce(t, tracker, announcement("i-1", 1000, 6, Draining))
			mustDepart(t, tracker, "i-1", 1000)
		},
		"silence after a drain": func(t *testing.T, tracker *BackendTracker, clk *manualClock) {
			mustAnnounce(t, tracker, announcement("i-1", 1000, 6, Draining))
			clk.now = clk.now.Add(2 * DefaultTimeout)
			tracker.Expire(clk.now)
		},
		"response that says so": func(_ *testing.T, tracker *BackendTracker, clk *manualClock) {
			tracker.ResponseSaysLeaving()
			clk.now = clk.now.Add(time.Second / 2)
			tracker.ResponseSaysLeaving() // Later responses do not extend the drain time.
			clk.now = clk.now.Add(-time.Second / 2)
		},
		"misdirected request during a drain": func(t *testing.T, tracker *BackendTracker, _ *manualClock) {
			mustAnnounce(t, tracker, announcement("i-1", 1000, 6, Draining))
			tracker.Misdirected("")
		},
	} {
		t.Run(name, func(t *testing.T) {
			clk, changes := &manualClock{time.Unix(10, 0)}, []membership.Instance(nil)
			tracker := newTracker(clk, &changes)
			tracker.SetDrainTime(time.Second)
			mustAnnounce(t, tracker, announcement("i-1", 1000, 5, Ready))
			leave(t, tracker, clk)
			clk.now = clk.now.Add(time.Second)
			for sequence := uint64(7); sequence < 9; sequence++ {
				_ = tracker.Announce(announcement("i-1", 1000, sequence, Ready)) // It may be refused or ignored.
				if own, _ := tracker.Instance(); own.State == membership.StateReady || tracker.Admits(clk.now) {
					t.Errorf("announcement %d of a leaving start: record %+v, admits requests: %v", sequence, own, tracker.Admits(clk.now))
				}
			}
			mustAnnounce(t, tracker, announcement("i-1", 9000, 1, Ready))
			if own, _ := tracker.Instance(); own.State != membership.StateReady || !tracker.Admits(clk.now) {
				t.Errorf("the next start is not ready: %+v", own)
			}
		})
	}
}

func mustDepart(t *testing.T, tracker *BackendTracker, id string, born int64) {
	t.Helper()
	if err := tracker.Depart(id, born); err != nil {
		t.Fatalf("departure of %s: %v", id, err)
	}
}

// Guards against new requests to a backend server whose departure was acknowledged before any of its announcements, by a
// node that has just restarted: an announcement that the server sent before arrives afterwards and makes it ready.
func TestDepartureBeforeTheFirstAnnouncement(t *testing.T) {
	for name, c := range map[string]struct {
		known []Announcement
		born  int64
		next  Announcement
	}{
		"restarted node":                        {born: 2000, next: announcement("i-2", 9000, 1, Ready)},
		"restarted node, start not named":       {born: 0, next: announcement("i-3", 9000, 1, Ready)},
		"start that follows the announced one":  {known: []Announcement{announcement("i-1", 1000, 5, Ready)}, born: 2000, next: announcement("i-2", 9000, 1, Ready)},
		"start that follows a departed one":     {known: []Announcement{announcement("i-1", 1000, 5, Ready), announcement("i-1", 1000, 6, Departed)}, born: 2000, next: announcement("i-2", 9000, 1, Ready)},
		"restart of the announced one, same ID": {known: []Announcement{announcement("i-2", 1000, 5, Ready)}, born: 2000, next: announcement("i-2", 9000, 1, Ready)},
	} {
		t.Run(name, func(t *testing.T) {
			clk, changes := &manualClock{time.Unix(10, 0)}, []membership.Instance(nil)
			tracker := newTracker(clk, &changes)
			tracker.SetDrainTime(time.Second)
			for _, a := range c.known {
				mustAnnounce(t, tracker, a)
			}
			mustDepart(t, tracker, "i-2", c.born)
			clk.now = clk.now.Add(time.Second)
			for sequence := uint64(7); sequence < 9; sequence++ {
				_ = tracker.Announce(announcement("i-2", 2000, sequence, Ready)) // It may be refused or ignored.
				if own, _ := tracker.Instance(); own.State == membership.StateReady || tracker.Admits(clk.now) {
					t.Errorf("announcement %d of a departed start: record %+v, admits requests: %v", sequence, own, tracker.Admits(clk.now))
				}
			}
			mustAnnounce(t, tracker, c.next)
			if own, _ := tracker.Instance(); own.State != membership.StateReady || !tracker.Admits(clk.now) {
				t.Errorf("the next start is not ready: %+v", own)
			}
		})
	}
}

// Guards against new requests to a backend server whose departure was acknowledged before the node restarted: the first
// announcement after the restart may be older than the departure.
func TestFirstAnnouncementIsChecked(t *testing.T) {
	first, second := announcement("i-1", 1000, 5, Ready), announcement("i-1", 1000, 6, Ready)
	for name, c := range map[string]struct {
		accepts bool
		then    *Announcement
		want    membership.State
	}{
		"confirmed":                              {accepts: true, want: membership.StateReady},
		"not confirmed":                          {accepts: false, want: membership.StateStarting},
		"not confirmed, then a newer one":        {accepts: false, then: &second, want: membership.StateReady},
		"not confirmed, then the same one":       {accepts: false, then: &first, want: membership.StateStarting},
		"confirmed while a drain is announced":   {accepts: true, then: ptr(announcement("i-1", 1000, 6, Draining)), want: membership.StateDraining},
		"confirmed while it departs":             {accepts: true, then: ptr(announcement("i-1", 1000, 6, Departed)), want: membership.StateDeparted},
		"confirmed while another start is ready": {accepts: true, then: ptr(announcement("i-2", 3000, 1, Ready)), want: membership.StateReady},
	} {
		t.Run(name, func(t *testing.T) {
			clk, changes := &manualClock{time.Unix(10, 0)}, []membership.Instance(nil)
			tracker := newTracker(clk, &changes)
			tracker.settings.AcceptsWork = func(context.Context, Announcement) bool {
				if c.then != nil {
					mustAnnounce(t, tracker, *c.then)
				}
				if tracker.Admits(clk.now) {
					t.Error("new requests are accepted before the backend server has answered")
				}
				return c.accepts
			}
			mustAnnounce(t, tracker, first)
			if tracker.Admits(clk.now) {
				t.Error("new requests are accepted before the backend server has been asked")
			}
			tracker.confirm(context.Background(), <-tracker.unconfirmed)
			own, _ := tracker.Instance()
			if own.State != c.want || tracker.Admits(clk.now) != (c.want == membership.StateReady) {
				t.Errorf("record %+v, admits requests: %v", own, tracker.Admits(clk.now))
			}
			if c.then != nil && c.then.ID == "i-2" && own.BackendID != "i-2" {
				t.Errorf("the record names %s", own.BackendID)
			}
		})
	}
}

func ptr[T any](v T) *T { return &v }

// Guards against new requests after the drain time on a VM that was suspended, for which the steady clock stands still, and
// on one whose time of day is set back.
func TestDrainTimeEndsOnEitherClock(t *testing.T) {
	limit := time.Now().Add(time.Second)
	before, after := limit.Add(-time.Millisecond), limit.Add(time.Millisecond)
	for _, c := range []struct {
		name         string
		steady, wall time.Time
		want         bool
	}{
		{"within", before, before.Round(0), true},
		{"after suspension", before, after.Round(0), false},
		{"time of day set back", after, before.Round(0), false},
		{"after", after, after.Round(0), false},
	} {
		if got := beforeOnBothClocks(c.steady, c.wall, limit); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}
