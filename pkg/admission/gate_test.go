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

// Guards against a slow or allocating fast path: a free slot and nothing queued. For the least urgent rank, the reserve
// for all others is computed as well.
func BenchmarkGateFree(b *testing.B) {
	for _, rank := range []int{0, Ranks - 1} {
		b.Run(fmt.Sprint("rank", rank), func(b *testing.B) {
			g := NewGate(New(Settings{Slots: 20, WarmStart: true, Shares: map[int]float64{0: 0.3, 7: 0.05}}), clock.System{})
			ctx := context.Background()
			w := Request{Policy: "lookup", Arrived: time.Now(), Deadline: time.Now().Add(time.Hour)}
			for w.Rank = range Ranks - 1 {
				release, _ := g.Acquire(ctx, w)
				release(true, false, time.Microsecond)
			}
			w.Rank = rank
			b.ReportAllocs()
			for b.Loop() {
				release, _ := g.Acquire(ctx, w)
				release(true, false, time.Millisecond)
			}
		})
	}
}

func BenchmarkGateFreeParallel(b *testing.B) {
	g := NewGate(New(Settings{Slots: 1 << 12, WarmStart: true}), clock.System{})
	ctx := context.Background()
	w := Request{Rank: 0, Policy: "lookup", Arrived: time.Now(), Deadline: time.Now().Add(time.Hour)}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			release, _ := g.Acquire(ctx, w)
			release(true, false, time.Millisecond)
		}
	})
}

func newGate(s Settings) *Gate { return NewGate(New(s), clock.System{}) }

// Guards against a lost wake-up: every caller gets a slot or a refusal, whatever is released, cancelled, resized or
// overdue around it, never more work runs than there are slots, and at the end nothing is in use or queued.
func TestGateEndsEveryWait(t *testing.T) {
	for _, d := range []Discipline{
		New(Settings{Slots: 4, WarmStart: true, Shares: map[int]float64{0: 0.5, 5: 0.2}}), New(Settings{Slots: 3, QueueFactor: 20}), NewFIFO(Settings{Slots: 4, WarmStart: true}),
	} {
		synctest.Test(t, func(t *testing.T) {
			g := NewGate(d, clock.System{})
			random := rand.New(rand.NewPCG(1, 0))
			var callers sync.WaitGroup
			var running, most, refused atomic.Int64
			for i := range 600 {
				time.Sleep(time.Duration(random.IntN(3)) * time.Millisecond)
				if i%50 == 49 {
					g.SetSlots(4 - i/50%3)
					g.SetShares(map[int]float64{i % 8: 0.3})
				}
				w := Request{Rank: random.IntN(8), Policy: "p", Arrived: time.Now()}
				took, limit := time.Duration(1+random.IntN(20))*time.Millisecond, time.Duration(random.IntN(100))*time.Millisecond
				shed, cancel := random.IntN(20) == 0, random.IntN(3) == 0
				callers.Go(func() {
					ctx, stop := context.WithCancel(context.Background())
					defer stop()
					if cancel {
						time.AfterFunc(limit, stop)
					} else if limit > 0 {
						w.Deadline = time.Now().Add(limit)
					}
					release, refusal := g.Acquire(ctx, w)
					if (release == nil) == (refusal == nil) {
						t.Errorf("release %t and refusal %v: want one of them", release != nil, refusal)
						return
					}
					if refusal != nil {
						refused.Add(1)
						return
					}
					n := running.Add(1)
					for m := most.Load(); n > m && !most.CompareAndSwap(m, n); m = most.Load() {
					}
					time.Sleep(took)
					running.Add(-1)
					release(!shed, shed, took)
					release(!shed, shed, took)
				})
			}
			callers.Wait()
			if l := g.Load(); l.InUse != 0 || l.Queued != 0 || len(g.waiters) != 0 {
				t.Errorf("after all callers: %+v, %d waiters", l, len(g.waiters))
			}
			if most.Load() > 4 || refused.Load() == 0 || refused.Load() == 600 {
				t.Errorf("at most %d ran, %d of 600 refused; want up to 4 slots and some of both", most.Load(), refused.Load())
			}
		})
	}
}

// Guards against a waiter that keeps its place after its caller has gone or its deadline has passed, and against the
// wrong reason.
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
			t.Fatalf("%d wait, want 3", n)
		}
		cancel()
		time.Sleep(2 * time.Second)
		if n := g.Load().Queued; n != 1 {
			t.Fatalf("%d wait after a cancellation and a deadline, want 1", n)
		}
		g.SetSlots(-5)
		waits.Wait()
		release(true, false, time.Second)
		if l := g.Load(); l != (Load{}) {
			t.Fatalf("load without slots: %+v", l)
		}
	})
}

// Guards against a slot that is handed to work whose caller has gone at the same moment, and then is lost.
func TestGatePassesAbandonedSlotOn(t *testing.T) {
	g := newGate(Settings{Slots: 1, WarmStart: true})
	release, _ := g.Acquire(context.Background(), Request{})
	w := Request{Rank: 1}
	g.mu.Lock()
	d := g.discipline.Offer(time.Now(), w)
	wt := &waiter{ready: make(chan Notice, 1)}
	g.waiters[d.Ticket] = wt
	g.mu.Unlock()
	release(true, false, time.Millisecond)
	if r := g.abandon(w, d.Ticket, wt, context.Canceled); r.Reason != metric.RefusedCallerGone {
		t.Fatalf("refusal %+v", r)
	}
	if l := g.Load(); l.InUse != 0 {
		t.Fatalf("load %+v, want the slot free", l)
	}
}
