package clock

import (
	"math"
	"sync/atomic"
	"time"
)

// reference is the point in time from which EventTime counts.
var reference = time.Now()

// EventTime records when an event last occurred and is safe for concurrent use. It uses the monotonic clock, so that
// changes of the system time do not change the age of the event. The zero value means that the event has not occurred.
type EventTime struct {
	// offset is the time since reference in nanoseconds plus one, so that zero means that no time is set.
	offset atomic.Int64
}

// Set records now, which must come from a Clock, as the time of the event.
func (t *EventTime) Set(now time.Time) { t.offset.Store(int64(now.Sub(reference)) + 1) }

// IsZero reports whether no time has been set.
func (t *EventTime) IsZero() bool { return t.offset.Load() == 0 }

// Age returns the time that has passed between the event and now. If no time is set, it returns the longest duration.
func (t *EventTime) Age(now time.Time) time.Duration {
	offset := t.offset.Load()
	if offset == 0 {
		return math.MaxInt64
	}
	return now.Sub(reference) - time.Duration(offset-1)
}
