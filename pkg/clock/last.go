package clock

import (
	"math"
	"sync/atomic"
	"time"
)

// reference is the point in time from which Last counts.
var reference = time.Now()

// Last records when an event last occurred and is safe for concurrent use. It uses the monotonic clock, so that changes
// of the system time do not change the age of the event. The zero value means that the event has not occurred.
type Last struct {
	// offset is the time since reference in nanoseconds plus one, so that zero means that no time is set.
	offset atomic.Int64
}

// Set records now, which must come from a Clock, as the time of the event.
func (l *Last) Set(now time.Time) { l.offset.Store(int64(now.Sub(reference)) + 1) }

// Never reports whether no time has been set.
func (l *Last) Never() bool { return l.offset.Load() == 0 }

// Ago returns the time that has passed between the event and now. If no time is set, it returns the longest duration.
func (l *Last) Ago(now time.Time) time.Duration {
	offset := l.offset.Load()
	if offset == 0 {
		return math.MaxInt64
	}
	return now.Sub(reference) - time.Duration(offset-1)
}
