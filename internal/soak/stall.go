package soak

import (
	"context"
	"sync"
	"time"
)

const (
	// stallTick is how often the machine's processor time is checked.
	stallTick = 20 * time.Millisecond
	// stallLimit is by how much a tick may be late: a tenth of the shortest bound that is judged by the clock.
	stallLimit = 100 * time.Millisecond
)

// stallMeter notes spans in which this process did not get the processor in time. The nodes run on the same machine, so
// that bounds in time are not judged over such a span.
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

// within reports whether there was a stall between two moments.
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
