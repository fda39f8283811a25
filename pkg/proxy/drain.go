package proxy

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/monsoonlatch/monsoonlatch/pkg/event"
)

// stopTime is the time at which a node stops. It is not set while the node is not stopping.
type stopTime struct{ at atomic.Pointer[time.Time] }

func (s *stopTime) set(at time.Time) { s.at.Store(&at) }

func (s *stopTime) isSet() bool { return s.at.Load() != nil }

// before reports whether the node stops before the deadline of a call. The call could be cut off, also if most calls of its
// kind take far less time.
func (s *stopTime) before(deadline time.Time) bool {
	at := s.at.Load()
	return at != nil && deadline.After(*at)
}

// callTracker counts calls in flight and refuses new ones during a drain.
type callTracker struct {
	mu       sync.Mutex
	inFlight int
	// calledSinceCheck is set if a call has arrived since busy was last called.
	calledSinceCheck bool
	draining         bool
	idle             chan struct{}
}

// enter counts a call in flight. During a drain it admits only nested calls and returns false for all others.
func (t *callTracker) enter(nested bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.draining && !nested {
		return false
	}
	t.inFlight++
	t.calledSinceCheck = true
	return true
}

// refusesNew reports whether calls that are not nested are refused.
func (t *callTracker) refusesNew() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.draining
}

func (t *callTracker) leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight--
	if t.inFlight == 0 && t.idle != nil {
		close(t.idle)
		t.idle = nil
	}
}

// busy reports whether a call is in flight or has arrived since busy was last called.
func (t *callTracker) busy() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	busy := t.inFlight > 0 || t.calledSinceCheck
	t.calledSinceCheck = false
	return busy
}

func (t *callTracker) drain() {
	t.mu.Lock()
	t.draining = true
	t.mu.Unlock()
}

// waitDrained waits until no call is in flight, and then logs the end of the drain. It returns an error if ctx ends
// first.
func (t *callTracker) waitDrained(ctx context.Context, log *zerolog.Logger, part string) error {
	if err := t.wait(ctx); err != nil {
		return err
	}
	event.DrainEnded.Write(event.DrainEnded.Log(log).Str("part", part))
	return nil
}

// wait blocks until no call is in flight or ctx ends.
func (t *callTracker) wait(ctx context.Context) error {
	t.mu.Lock()
	if t.inFlight == 0 {
		t.mu.Unlock()
		return nil
	}
	if t.idle == nil {
		t.idle = make(chan struct{})
	}
	idle := t.idle
	t.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
