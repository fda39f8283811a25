package admission

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/clock"
	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
)

// Gate makes a Discipline usable by many goroutines. A caller that has to wait blocks in Acquire.
type Gate struct {
	clock clock.Clock

	mu         sync.Mutex
	discipline Discipline
	waiters    map[Ticket]*waiter
}

// waiter is one blocked Acquire. ready holds one Notice and is written at most once, so a send never blocks.
type waiter struct {
	ready chan Notice
	work  Request
}

// NewGate returns a gate around d, which it owns from now on.
func NewGate(d Discipline, c clock.Clock) *Gate {
	return &Gate{clock: c, discipline: d, waiters: make(map[Ticket]*waiter)}
}

// Acquire waits for a slot. The caller calls release once the work has ended; further calls do nothing. It returns
// either release or a refusal, which means that the work got no slot. A zero deadline of the work is taken from ctx.
func (g *Gate) Acquire(ctx context.Context, w Request) (release func(served, shed bool, took time.Duration), refusal *Refusal) {
	if w.Deadline.IsZero() {
		w.Deadline, _ = ctx.Deadline()
	}
	if err := ctx.Err(); err != nil {
		return nil, ended(err)
	}
	now := g.clock.Now() // read outside the lock; a discipline tolerates readings that arrive out of order
	g.mu.Lock()
	d := g.discipline.Offer(now, w)
	switch d.Verdict {
	case Run:
		g.mu.Unlock()
		return g.holder(w), nil
	case Refuse:
		g.mu.Unlock()
		refused := d.Refusal // a copy, so that d stays off the heap on the fast path
		return nil, &refused
	}
	wt := &waiter{ready: make(chan Notice, 1), work: w}
	g.waiters[d.Ticket] = wt
	if d.Displaced != 0 {
		g.displace(d.Displaced)
	}
	latest := g.discipline.LatestStart(w)
	g.mu.Unlock()
	return g.wait(ctx, w, d.Ticket, wt, latest)
}

// displace refuses work that has lost its place to other work.
func (g *Gate) displace(t Ticket) {
	if wt := g.waiters[t]; wt != nil {
		g.notify(Notice{t, Refusal{metric.RefusedDisplaced, retryAfter(returnTime(wt.work))}})
	}
}

func (g *Gate) wait(ctx context.Context, w Request, t Ticket, wt *waiter, latest time.Time) (func(bool, bool, time.Duration), *Refusal) {
	var timeout <-chan time.Time
	if !latest.IsZero() {
		timer := time.NewTimer(max(latest.Sub(g.clock.Now()), 0))
		defer timer.Stop()
		timeout = timer.C
	}
	for {
		select {
		case n := <-wt.ready:
			return g.granted(w, n)
		case <-timeout:
			timeout = g.expire(w, t)
		case <-ctx.Done():
			return nil, g.abandon(w, t, wt, ctx.Err())
		}
	}
}

// granted ends a wait. A slot that comes after the deadline is given back unused.
func (g *Gate) granted(w Request, n Notice) (func(bool, bool, time.Duration), *Refusal) {
	if !n.Granted() {
		return nil, &n.Refusal
	}
	release := g.holder(w)
	if passed(g.clock.Now(), w) {
		release(false, false, 0)
		return nil, &Refusal{metric.RefusedDeadline, minRetryAfter}
	}
	return release, nil
}

// expire lets the discipline refuse overdue work. If the estimate of the service time has fallen since the timer was
// set, the work may wait on until its new latest start.
func (g *Gate) expire(w Request, t Ticket) <-chan time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	g.notifyAll(g.discipline.Expire(now))
	if g.waiters[t] == nil {
		return nil
	}
	return time.After(max(g.discipline.LatestStart(w).Sub(now), 0))
}

// abandon takes work out of the queue when its caller has gone. A slot that was granted meanwhile is passed on.
func (g *Gate) abandon(w Request, t Ticket, wt *waiter, err error) *Refusal {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.waiters[t] != nil {
		g.discipline.Cancel(g.clock.Now(), t)
		delete(g.waiters, t)
		return ended(err)
	}
	n := <-wt.ready
	if !n.Granted() {
		return &n.Refusal
	}
	g.notifyAll(g.discipline.Done(g.clock.Now(), w, Result{}))
	return ended(err)
}

// holder returns the release function of a slot.
func (g *Gate) holder(w Request) func(served, shed bool, took time.Duration) {
	var released atomic.Bool
	return func(served, shed bool, took time.Duration) {
		if released.Swap(true) {
			return
		}
		now := g.clock.Now()
		g.mu.Lock()
		defer g.mu.Unlock()
		g.notifyAll(g.discipline.Done(now, w, Result{served, shed, took}))
	}
}

func (g *Gate) notifyAll(list []Notice) {
	for _, n := range list {
		g.notify(n)
	}
}

func (g *Gate) notify(n Notice) {
	if wt := g.waiters[n.Ticket]; wt != nil {
		delete(g.waiters, n.Ticket)
		wt.ready <- n
	}
}

// Load returns the use of the slots.
func (g *Gate) Load() Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.discipline.Load()
}

// SetSlots changes the announced slots.
func (g *Gate) SetSlots(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.notifyAll(g.discipline.SetSlots(g.clock.Now(), n))
}

// SetShares changes the guaranteed share of slot time by rank.
func (g *Gate) SetShares(shares map[int]float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.discipline.SetShares(g.clock.Now(), shares)
}

// ended is the refusal of work whose context has ended.
func ended(err error) *Refusal {
	if errors.Is(err, context.DeadlineExceeded) {
		return &Refusal{Reason: metric.RefusedDeadline}
	}
	return &Refusal{Reason: metric.RefusedCallerGone}
}
