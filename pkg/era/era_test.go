package era

import (
	"context"
	"math"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a position that is passed by revisions which a restored store gives out again.
func TestPositionsOfALaterEraAreLater(t *testing.T) {
	ordered := []Position{{0, 0}, {0, 900}, {1, 1}, {1, 60}, {2, 40}, {2, math.MaxUint64}, {3, 0}}
	for i, p := range ordered {
		for j, q := range ordered {
			want := 0
			if i < j {
				want = -1
			} else if i > j {
				want = 1
			}
			if got := p.Compare(q); got != want {
				t.Errorf("%+v against %+v: %d, want %d", p, q, got, want)
			}
		}
	}
}

// Guards against a step that is missed because an answer of an earlier era arrives late, against one that is reported when the
// first era becomes known, and against one that is reported twice.
func TestTrackerReportsEachRaiseOnce(t *testing.T) {
	for name, c := range map[string]struct {
		observed []Number
		raises   [][2]Number
	}{
		"first":           {[]Number{4, 4}, nil},
		"counted from 0":  {[]Number{0, 1}, [][2]Number{{0, 1}}},
		"late answer":     {[]Number{1, 2, 1, 2}, [][2]Number{{1, 2}}},
		"two steps":       {[]Number{1, 2, 3}, [][2]Number{{1, 2}, {2, 3}}},
		"only the second": {[]Number{1, 3, 2, 3}, [][2]Number{{1, 3}}},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := NewTracker()
			var got [][2]Number
			tracker.OnRaise = func(before, now Number) { got = append(got, [2]Number{before, now}) }
			highest := Number(0)
			for _, n := range c.observed {
				ended := tracker.Ended(highest)
				tracker.Observe(n)
				raised := n > highest
				highest = max(highest, n)
				select {
				case <-ended:
					if !raised {
						t.Errorf("era %d ended the earlier one", n)
					}
				default:
					if raised {
						t.Errorf("era %d did not end the earlier one", n)
					}
				}
				if tracker.Latest() != highest {
					t.Errorf("latest era %d after %d, want %d", tracker.Latest(), n, highest)
				}
			}
			if int(tracker.Restores()) != len(c.raises) {
				t.Errorf("%d restores, want %d", tracker.Restores(), len(c.raises))
			}
			if len(got) != len(c.raises) {
				t.Fatalf("raises %v, want %v", got, c.raises)
			}
			for i := range got {
				if got[i] != c.raises[i] {
					t.Errorf("raises %v, want %v", got, c.raises)
				}
			}
		})
	}
}

// Guards against a duty that misses a restore, also one that comes while it deals with an earlier one or before an era is known to it, and
// against one that takes the first known era for a restore.
func TestEachRestoreIsHandled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, first := range []Number{0, 4} {
			tracker := NewTracker()
			ctx, cancel := context.WithCancel(t.Context())
			var handled []Number
			done := make(chan struct{})
			go func() {
				defer close(done)
				tracker.EachRestore(ctx, func(_ context.Context, now Number) {
					time.Sleep(time.Second)
					handled = append(handled, now)
				})
			}()
			for _, n := range []Number{first, first, first + 1, first + 2} {
				time.Sleep(100 * time.Millisecond)
				tracker.Observe(n)
			}
			time.Sleep(5 * time.Second)
			cancel()
			<-done
			if want := []Number{first + 1, first + 2}; !slices.Equal(handled, want) {
				t.Errorf("handled %v, want %v", handled, want)
			}
		}
	})
}
