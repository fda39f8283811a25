package clock

import (
	"math"
	"sync/atomic"
	"time"
)

// start is what Last counts from.
var start = time.Now()

// Last is the moment at which something happened last. It counts on the steady clock, so that a step of the time of day
// does not change how long ago that was. The zero value stands for never.
type Last struct {
	// since is in nanoseconds from start, and one more, so that zero means never.
	since atomic.Int64
}

// Set takes a time from a Clock.
func (l *Last) Set(now time.Time) { l.since.Store(int64(now.Sub(start)) + 1) }

// Never reports whether Set has not been called.
func (l *Last) Never() bool { return l.since.Load() == 0 }

// Ago returns how long before now the moment was.
func (l *Last) Ago(now time.Time) time.Duration {
	since := l.since.Load()
	if since == 0 {
		return math.MaxInt64
	}
	return now.Sub(start) - time.Duration(since-1)
}
