package soak

import (
	"context"
	"sync"
	"time"
)

const (
	// stallTick is the interval at which stallMeter checks whether this process gets the processor.
	stallTick = 20 * time.Millisecond
	// stallLimit is how late a tick may be before it counts as a stall. It is at most a tenth of the time limits for
	// drains, configuration changes, stops and recovery.
	stallLimit = 100 * time.Millisecond
)

// stallMeter records when this process did not get the processor in time. The nodes run on the same machine, so time
// limits are not checked over a period with a stall.
type stallMeter struct {
	mu     sync.Mutex
	stalls []time.Time
}

func newStallMeter(ctx context.Context) *stallMeter {
	m := &stallMeter{}
	go func() {
		last := time.Now()
		for ctx.Err() == nil {
			time.Sleep(stallTick)
			now := time.Now()
			if now.Sub(last) > stallTick+stallLimit {
				m.mu.Lock()
				m.stalls = append(m.stalls, now)
				m.mu.Unlock()
			}
			last = now
		}
	}()
	return m
}

// within reports whether there was a stall between two times.
func (m *stallMeter) within(from, to time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, at := range m.stalls {
		if at.After(from) && at.Before(to.Add(stallTick+stallLimit)) {
			return true
		}
	}
	return false
}

func (m *stallMeter) count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.stalls)
}
