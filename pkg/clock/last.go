package clock

import (
	"math"
	"sync/atomic"
	"time"
)

// start is the reference point of the times that Last stores.
var start = time.Now()

// Last records when an event last occurred and is safe for concurrent use. It uses the monotonic clock, so that changes
// of the system time do not change the age of the event. The zero value means that the event has not occurred.
type Last struct {
	// since is the time since start in nanoseconds plus one, so that zero means that no time is set.
	since atomic.Int64
}

// Set records now, which must come from a Clock, as the time of the event.
func (l *Last) Set(now time.Time) { l.since.Store(int64(now.Sub(start)) + 1) }

// Never reports whether no time has been set.
func (l *Last) Never() bool { return l.since.Load() == 0 }

// Ago returns the time that has passed between the event and now. If no time is set, it returns the longest duration.
func (l *Last) Ago(now time.Time) time.Duration {
	since := l.since.Load()
	if since == 0 {
		return math.MaxInt64
	}
	return now.Sub(start) - time.Duration(since-1)
}
