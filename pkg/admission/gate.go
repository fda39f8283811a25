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

// Gate makes a Discipline safe for concurrent use. A caller that has to wait blocks in Acquire.
type Gate struct {
	clock clock.Clock

	mu         sync.Mutex
	discipline Discipline
	waiters    map[Ticket]*waiter
	// wakeTimer calls wake while a request waits for the rate limit or may have to move.
	wakeTimer *time.Timer
}

// waiter is one blocked Acquire. ready has room for one Notice and gets at most one, so a send never blocks.
type waiter struct {
	ready   chan Notice
	request Request
}

// NewGate returns a Gate around d. The caller must not use d afterwards.
func NewGate(d Discipline, c clock.Clock) *Gate {
	return &Gate{clock: c, discipline: d, waiters: make(map[Ticket]*waiter)}
}

// Acquire waits for a slot and returns either a release function or a refusal. The caller calls release when the
// request has ended; further calls do nothing. A refused request has not held a slot. If the request has no deadline,
// the deadline of ctx applies.
func (g *Gate) Acquire(ctx context.Context, req Request) (release func(served, shed bool, took time.Duration), refusal *Refusal) {
	if req.Deadline.IsZero() {
		req.Deadline, _ = ctx.Deadline()
	}
	if err := ctx.Err(); err != nil {
		return nil, contextRefusal(err)
	}
	now := g.clock.Now() // read outside the lock; disciplines accept times that are out of order
	g.mu.Lock()
	d := g.discipline.Offer(now, req)
	switch d.Verdict {
	case Run:
		g.mu.Unlock()
		return g.releaseFunc(req, now), nil
	case Refuse:
		g.mu.Unlock()
		refused := d.Refusal // a copy, so that d stays off the heap on the fast path
		return nil, &refused
	}
	wt := &waiter{ready: make(chan Notice, 1), request: req}
	g.waiters[d.Ticket] = wt
	if d.Displaced != 0 {
		g.notify(Notice{Ticket: d.Displaced, Refusal: d.DisplacedRefusal})
	}
	latest := g.discipline.LatestStart(req)
	g.scheduleWake(now)
	g.mu.Unlock()
	return g.wait(ctx, req, d.Ticket, wt, latest)
}

// scheduleWake sets the timer for the next request that waits for the rate limit or may have to move, if any.
func (g *Gate) scheduleWake(now time.Time) {
	after, ok := g.discipline.NextWake(now)
	switch {
	case !ok:
	case g.wakeTimer == nil:
		g.wakeTimer = time.AfterFunc(after, g.wake)
	default:
		g.wakeTimer.Reset(after)
	}
}

func (g *Gate) wake() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	g.notifyAll(g.discipline.Wake(now))
	g.scheduleWake(now)
}

func (g *Gate) wait(ctx context.Context, req Request, t Ticket, wt *waiter, latest time.Time) (func(bool, bool, time.Duration), *Refusal) {
	var timeout <-chan time.Time
	if !latest.IsZero() {
		timer := time.NewTimer(max(latest.Sub(g.clock.Now()), 0))
		defer timer.Stop()
		timeout = timer.C
	}
	for {
		select {
		case n := <-wt.ready:
			return g.endWait(req, n)
		case <-timeout:
			timeout = g.expire(req, t)
		case <-ctx.Done():
			return nil, g.abandon(req, t, wt, ctx.Err())
		}
	}
}

// endWait ends a wait. A slot that is granted after the deadline is released unused.
func (g *Gate) endWait(req Request, n Notice) (func(bool, bool, time.Duration), *Refusal) {
	if !n.Granted() {
		return nil, &n.Refusal
	}
	release := g.releaseFunc(req, n.Started)
	if deadlinePassed(g.clock.Now(), req) {
		release(false, false, 0)
		return nil, &Refusal{metric.RefusedDeadline, minRetryAfter}
	}
	return release, nil
}

// expire lets the discipline refuse overdue requests. If the service time estimate has fallen since the timer was set,
// the request may wait on until its new latest start.
func (g *Gate) expire(req Request, t Ticket) <-chan time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	g.notifyAll(g.discipline.Expire(now))
	if g.waiters[t] == nil {
		return nil
	}
	return time.After(max(g.discipline.LatestStart(req).Sub(now), 0))
}

// abandon removes a request from the queue after its context has ended. A slot that was granted in the meantime goes to
// the next request.
func (g *Gate) abandon(req Request, t Ticket, wt *waiter, err error) *Refusal {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.waiters[t] != nil {
		g.discipline.Cancel(g.clock.Now(), t)
		delete(g.waiters, t)
		return contextRefusal(err)
	}
	n := <-wt.ready
	if !n.Granted() {
		return &n.Refusal
	}
	now := g.clock.Now()
	g.notifyAll(g.discipline.Done(now, req, Result{Started: n.Started}))
	g.scheduleWake(now)
	return contextRefusal(err)
}

// releaseFunc returns the function that releases a slot, which the request got at the time started.
func (g *Gate) releaseFunc(req Request, started time.Time) func(served, shed bool, took time.Duration) {
	// Captures what Done reads only, which keeps the allocation small.
	rank, policy, tenant := req.Rank, req.Policy, req.Tenant
	var released atomic.Bool
	return func(served, shed bool, took time.Duration) {
		if released.Swap(true) {
			return
		}
		now := g.clock.Now()
		g.mu.Lock()
		defer g.mu.Unlock()
		g.notifyAll(g.discipline.Done(now, Request{Rank: rank, Policy: policy, Tenant: tenant}, Result{served, shed, took, started}))
		g.scheduleWake(now)
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

// Load returns the current use of the slots.
func (g *Gate) Load() Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.discipline.Load()
}

// SetSlots sets the number of announced slots.
func (g *Gate) SetSlots(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	g.notifyAll(g.discipline.SetSlots(now, n))
	g.scheduleWake(now)
}

// SetRate limits the requests that start per second; zero means no limit.
func (g *Gate) SetRate(perSecond float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	g.notifyAll(g.discipline.SetRate(now, perSecond))
	g.scheduleWake(now)
}

// SetShares sets the guaranteed share of slot time by rank.
func (g *Gate) SetShares(shares map[int]float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.discipline.SetShares(g.clock.Now(), shares)
}

// contextRefusal returns the refusal of a request whose context has ended with err.
func contextRefusal(err error) *Refusal {
	if errors.Is(err, context.DeadlineExceeded) {
		return &Refusal{Reason: metric.RefusedDeadline}
	}
	return &Refusal{Reason: metric.RefusedCallerGone}
}
