package soak

import (
	"context"
	"sync"
	"time"
)

const (
	// stallTick is the interval at which stallDetector checks whether this process gets the processor.
	stallTick = 20 * time.Millisecond
	// stallTolerance is how late a tick may be before it counts as a stall. It is at most a tenth of the time limits
	// for drains, configuration changes, stops and recovery.
	stallTolerance = 100 * time.Millisecond
)

// stallDetector records when this process did not get the processor in time. The nodes run on the same machine, so time
// limits are not checked over a period with a stall.
type stallDetector struct {
	mu     sync.Mutex
	stalls []time.Time
}

func newStallDetector(ctx context.Context) *stallDetector {
	d := &stallDetector{}
	go func() {
		last := time.Now()
		for ctx.Err() == nil {
			time.Sleep(stallTick)
			now := time.Now()
			if now.Sub(last) > stallTick+stallTolerance {
				d.mu.Lock()
				d.stalls = append(d.stalls, now)
				d.mu.Unlock()
			}
			last = now
		}
	}()
	return d
}

// stalledBetween reports whether there was a stall between two times.
func (d *stallDetector) stalledBetween(from, to time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, stall := range d.stalls {
		if stall.After(from) && stall.Before(to.Add(stallTick+stallTolerance)) {
			return true
		}
	}
	return false
}

func (d *stallDetector) count() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.stalls)
}
