package admission

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/clock"
	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
)

// Guards against a slow or allocating fast path, which is taken if a slot is free and nothing is queued. For the least
// urgent rank the reserve for all other ranks is computed as well.
func BenchmarkGateFree(b *testing.B) {
	for _, rank := range []int{0, Ranks - 1} {
		b.Run(fmt.Sprint("rank", rank), func(b *testing.B) {
			g := NewGate(New(Settings{Slots: 20, WarmStart: true, Shares: map[int]float64{0: 0.3, 7: 0.05}}), clock.System{})
			ctx := context.Background()
			req := Request{Policy: "lookup", Arrived: time.Now(), Deadline: time.Now().Add(time.Hour)}
			for req.Rank = range Ranks - 1 {
				release, _ := g.Acquire(ctx, req)
				release(true, false, time.Microsecond)
			}
			req.Rank = rank
			b.ReportAllocs()
			for b.Loop() {
				release, _ := g.Acquire(ctx, req)
				release(true, false, time.Millisecond)
			}
		})
	}
}

// Guards against tenants that make the fast path much slower: with a free slot, a request with a tenant should cost at most
// one and a half times as much as one without. Each request is of another of 80 tenants.
func BenchmarkGateFreeTenants(b *testing.B) {
	for _, rank := range []int{0, Ranks - 1} {
		b.Run(fmt.Sprint("rank", rank), func(b *testing.B) {
			g := NewGate(New(Settings{Slots: 20, WarmStart: true, ExactSlots: true, MaxTargetWait: sidecarSettings.MaxTargetWait, Shares: map[int]float64{0: 0.3, 7: 0.05}}), clock.System{})
			ctx := context.Background()
			req := Request{Policy: "lookup", Arrived: time.Now(), Deadline: time.Now().Add(time.Hour)}
			var names [80]string
			for i := range names {
				names[i] = fmt.Sprint("tenant-", i)
			}
			for req.Rank = range Ranks - 1 {
				release, _ := g.Acquire(ctx, req)
				release(true, false, time.Microsecond)
			}
			req.Rank = rank
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				req.Tenant = names[i%len(names)]
				release, _ := g.Acquire(ctx, req)
				release(true, false, time.Millisecond)
			}
		})
	}
}

func BenchmarkGateFreeParallel(b *testing.B) {
	g := NewGate(New(Settings{Slots: 1 << 12, WarmStart: true}), clock.System{})
	ctx := context.Background()
	req := Request{Rank: 0, Policy: "lookup", Arrived: time.Now(), Deadline: time.Now().Add(time.Hour)}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			release, _ := g.Acquire(ctx, req)
			release(true, false, time.Millisecond)
		}
	})
}

func newGate(s Settings) *Gate { return NewGate(New(s), clock.System{}) }

// Guards against lost wake-ups: every caller gets a slot or a refusal, whatever is released, cancelled, resized or
// overdue at the same time. No more requests run than there are slots, and at the end nothing is in use or queued.
func TestGateEndsEveryWait(t *testing.T) {
	for _, d := range []Discipline{
		New(Settings{Slots: 4, WarmStart: true, Shares: map[int]float64{0: 0.5, 5: 0.2}}), New(Settings{Slots: 3, QueueFactor: 20}), NewFIFO(Settings{Slots: 4, WarmStart: true}),
	} {
		synctest.Test(t, func(t *testing.T) {
			g := NewGate(d, clock.System{})
			random := rand.New(rand.NewPCG(1, 0))
			var callers sync.WaitGroup
			var running, maxRunning, refused atomic.Int64
			for i := range 600 {
				time.Sleep(time.Duration(random.IntN(3)) * time.Millisecond)
				if i%50 == 49 {
					g.SetSlots(4 - i/50%3)
					g.SetShares(map[int]float64{i % 8: 0.3})
				}
				req := Request{Rank: random.IntN(8), Policy: "p", Arrived: time.Now()}
				took, limit := time.Duration(1+random.IntN(20))*time.Millisecond, time.Duration(random.IntN(100))*time.Millisecond
				shed, cancel := random.IntN(20) == 0, random.IntN(3) == 0
				callers.Go(func() {
					ctx, stop := context.WithCancel(context.Background())
					defer stop()
					if cancel {
						time.AfterFunc(limit, stop)
					} else if limit > 0 {
						req.Deadline = time.Now().Add(limit)
					}
					release, refusal := g.Acquire(ctx, req)
					if (release == nil) == (refusal == nil) {
						t.Errorf("got release %t and refusal %v, want exactly one of them", release != nil, refusal)
						return
					}
					if refusal != nil {
						refused.Add(1)
						return
					}
					n := running.Add(1)
					for m := maxRunning.Load(); n > m && !maxRunning.CompareAndSwap(m, n); m = maxRunning.Load() {
					}
					time.Sleep(took)
					running.Add(-1)
					release(!shed, shed, took)
					release(!shed, shed, took)
				})
			}
			callers.Wait()
			if l := g.Load(); l.InUse != 0 || l.Queued != 0 || len(g.waiters) != 0 {
				t.Errorf("after all callers have ended: load %+v, %d waiters, want none", l, len(g.waiters))
			}
			if maxRunning.Load() > 4 || refused.Load() == 0 || refused.Load() == 600 {
				t.Errorf("%d ran at once, want at most 4; %d of 600 refused, want some but not all",
					maxRunning.Load(), refused.Load())
			}
		})
	}
}

// Guards against a request that stays queued after its caller has gone or its deadline has passed, and against a wrong
// reason of the refusal.
func TestGateLeavesQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGate(Settings{Slots: 1, WarmStart: true, QueueFactor: 4})
		release, _ := g.Acquire(context.Background(), Request{})
		cancelled, cancel := context.WithCancel(context.Background())
		timed, stop := context.WithTimeout(context.Background(), time.Second)
		defer stop()
		var waits sync.WaitGroup
		for ctx, want := range map[context.Context]metric.Refusal{cancelled: metric.RefusedCallerGone, timed: metric.RefusedDeadline} {
			waits.Go(func() {
				if _, r := g.Acquire(ctx, Request{Rank: 2}); r == nil || r.Reason != want {
					t.Errorf("refusal %v, want %s", r, want)
				}
			})
		}
		waits.Go(func() {
			if _, r := g.Acquire(context.Background(), Request{Deadline: time.Now().Add(time.Minute)}); r == nil || r.Reason != metric.RefusedNotReady {
				t.Errorf("refusal %v, want %s", r, metric.RefusedNotReady)
			}
		})
		synctest.Wait()
		if n := g.Load().Queued; n != 3 {
			t.Fatalf("%d requests wait, want 3", n)
		}
		cancel()
		time.Sleep(2 * time.Second)
		if n := g.Load().Queued; n != 1 {
			t.Fatalf("%d requests wait after a cancellation and a deadline, want 1", n)
		}
		g.SetSlots(-5)
		waits.Wait()
		release(true, false, time.Second)
		if l := g.Load(); l != (Load{}) {
			t.Fatalf("load without announced slots: %+v, want zero", l)
		}
	})
}

// Guards against a slot that is lost because it is granted to a request whose caller goes away at the same moment.
func TestGatePassesAbandonedSlotOn(t *testing.T) {
	g := newGate(Settings{Slots: 1, WarmStart: true})
	release, _ := g.Acquire(context.Background(), Request{})
	req := Request{Rank: 1}
	g.mu.Lock()
	d := g.discipline.Offer(time.Now(), req)
	wt := &waiter{ready: make(chan Notice, 1)}
	g.waiters[d.Ticket] = wt
	g.mu.Unlock()
	release(true, false, time.Millisecond)
	if r := g.abandon(req, d.Ticket, wt, context.Canceled); r.Reason != metric.RefusedCallerGone {
		t.Fatalf("refusal %+v, want caller_gone", r)
	}
	if l := g.Load(); l.InUse != 0 {
		t.Fatalf("load %+v, want no slot in use", l)
	}
}
