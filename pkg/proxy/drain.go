package proxy

import (
	"context"
	"sync"

	"github.com/rs/zerolog"

	"github.com/monsoonlatch/monsoonlatch/pkg/event"
)

// tracker counts calls in flight and refuses new ones during a drain.
type tracker struct {
	mu       sync.Mutex
	inFlight int
	// entered is set if a call has arrived since busy was last called.
	entered  bool
	draining bool
	idle     chan struct{}
}

// enter counts a call in flight. During a drain it admits only nested calls and returns false for all others.
func (t *tracker) enter(nested bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.draining && !nested {
		return false
	}
	t.inFlight++
	t.entered = true
	return true
}

func (t *tracker) leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight--
	if t.inFlight == 0 && t.idle != nil {
		close(t.idle)
		t.idle = nil
	}
}

// busy reports whether a call is in flight or has arrived since busy was last called.
func (t *tracker) busy() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	busy := t.inFlight > 0 || t.entered
	t.entered = false
	return busy
}

func (t *tracker) drain() {
	t.mu.Lock()
	t.draining = true
	t.mu.Unlock()
}

// finish waits until no call is in flight, and then logs the end of the drain. It returns an error if ctx ends first.
func (t *tracker) finish(ctx context.Context, log *zerolog.Logger, part string) error {
	if err := t.wait(ctx); err != nil {
		return err
	}
	event.DrainEnded.Write(event.DrainEnded.Log(log).Str("part", part))
	return nil
}

// wait blocks until no call is in flight or ctx ends.
func (t *tracker) wait(ctx context.Context) error {
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
