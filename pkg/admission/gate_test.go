package admission

import (
	"context"
	"testing"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/clock"
)

// Guards against a slow or allocating fast path: a free slot and nothing queued.
func BenchmarkGateFree(b *testing.B) {
	g := NewGate(New(Settings{Slots: 20, Warm: true, Shares: map[int]float64{0: 0.3, 7: 0.05}}), clock.System{})
	ctx := context.Background()
	w := Work{Rank: 0, Policy: "lookup", Arrived: time.Now(), Deadline: time.Now().Add(time.Hour)}
	b.ReportAllocs()
	for b.Loop() {
		release, _ := g.Acquire(ctx, w)
		release(true, false, time.Millisecond)
	}
}

func BenchmarkGateFreeParallel(b *testing.B) {
	g := NewGate(New(Settings{Slots: 1 << 12, Warm: true}), clock.System{})
	ctx := context.Background()
	w := Work{Rank: 0, Policy: "lookup", Arrived: time.Now(), Deadline: time.Now().Add(time.Hour)}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			release, _ := g.Acquire(ctx, w)
			release(true, false, time.Millisecond)
		}
	})
}

// Guards against a released slot that does not reach a waiting caller.
func TestGateHandsSlotOn(t *testing.T) {
	g := NewGate(New(Settings{Slots: 1, Warm: true}), clock.System{})
	release, refusal := g.Acquire(context.Background(), Work{})
	if refusal != nil {
		t.Fatal(refusal)
	}
	got := make(chan *Refusal)
	go func() {
		r, refusal := g.Acquire(context.Background(), Work{Rank: 3})
		if r != nil {
			r(true, false, time.Millisecond)
		}
		got <- refusal
	}()
	for g.Load().Queued == 0 {
		time.Sleep(time.Millisecond)
	}
	release(true, false, time.Millisecond)
	release(true, false, time.Millisecond)
	if r := <-got; r != nil {
		t.Fatal(r)
	}
	if l := g.Load(); l.InUse != 0 || l.Queued != 0 {
		t.Fatalf("load after both released: %+v", l)
	}
}
