package admission

import (
	"flag"
	"fmt"
	"math"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
)

var epoch = time.Unix(0, 0)

// TestMain fixes the seed of generated tests, so that failures can be reproduced.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// Guards against more running requests than slots, a start after the deadline, a refused request that had a slot, a
// cancelled request that stays queued, and requests that wait although the instance is idle. The settings include
// invalid values.
func TestDisciplines(t *testing.T) {
	for name, newDiscipline := range map[string]func(Settings) Discipline{
		"rank": func(s Settings) Discipline { return New(s) }, "fifo": func(s Settings) Discipline { return NewFIFO(s) },
	} {
		t.Run(name, rapid.MakeCheck(func(t *rapid.T) {
			extreme := rapid.SampledFrom([]float64{-3, 0, 0.1, 0.5, 1, 40, math.NaN(), math.Inf(1)})
			s := Settings{
				Slots: rapid.IntRange(-3, 12).Draw(t, "slots"), WarmStart: rapid.Bool().Draw(t, "warm"), ColdSlots: rapid.IntRange(-2, 20).Draw(t, "cold"),
				Headroom: extreme.Draw(t, "headroom"), Reserve: extreme.Draw(t, "reserve"), HeadroomRanks: rapid.IntRange(-1, 9).Draw(t, "top"), Deviations: extreme.Draw(t, "deviations"),
				QueueFactor: extreme.Draw(t, "queue"), MoveWhenSlow: rapid.Bool().Draw(t, "move"), MaxTargetWait: extreme.Draw(t, "wait"), MinPlaces: rapid.IntRange(-2, 50).Draw(t, "places"),
				Shares: rapid.MapOfN(rapid.IntRange(-2, 9), extreme, 0, 6).Draw(t, "shares"),
			}
			m := &model{t: t, d: newDiscipline(s), now: epoch, slots: s.Slots, tenants: rapid.SampledFrom([][]string{{""}, {"", "a", "b"}, {"a", "b", "c", "d"}}).Draw(t, "tenants"), waiting: map[Ticket]Request{}, granted: map[Ticket]int{}, refused: map[Ticket]int{}}
			for range rapid.IntRange(1, 200).Draw(t, "steps") {
				m.step()
			}
			for ticket := range m.refused {
				if m.granted[ticket] > 0 || m.refused[ticket] > 1 {
					t.Fatalf("ticket %d: %d slots and %d refusals", ticket, m.granted[ticket], m.refused[ticket])
				}
			}
		}))
	}
}

// Guards against shares that add up to more than all slots.
func TestNormalizeShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := rapid.MapOfN(rapid.IntRange(-2, 9), rapid.Float64(), 0, 10).Draw(t, "shares")
		var sum float64
		shares, margin := normalizeShares(in)
		for _, s := range shares {
			if !(s >= 0 && s <= 1) {
				t.Fatalf("share %g, want a value from 0 to 1", s)
			}
			sum += s
		}
		if sum > 1+1e-9 || sum*margin > 1+1e-9 || margin < 1 {
			t.Fatalf("shares add up to %g with a margin of %g", sum, margin)
		}
	})
}

// saturate keeps requests of the ranks waiting, serves each one for took, and returns the slot time that each rank used
// between from and to.
func saturate(q *Queue, ranks []int, took map[int]time.Duration, from, to time.Duration) (used [Ranks]time.Duration) {
	type run struct {
		rank int
		ends time.Time
	}
	var running []run
	now, waiting := epoch, map[Ticket]int{}
	start := func(rank int) {
		running = append(running, run{rank, now.Add(took[rank])})
		held := min(now.Add(took[rank]).Sub(epoch), to) - max(now.Sub(epoch), from)
		used[rank] += max(held, 0)
	}
	refill := func() {
		for _, rank := range ranks {
			for len(q.queues[rank]) < 3 {
				d := q.Offer(now, Request{Rank: rank, Policy: fmt.Sprint(rank)})
				if d.Verdict == Refuse {
					break
				}
				if d.Verdict == Run {
					start(rank)
					continue
				}
				waiting[d.Ticket] = rank
				delete(waiting, d.Displaced)
			}
		}
	}
	for refill(); now.Sub(epoch) < to; refill() {
		first := 0
		for i := range running {
			if running[i].ends.Before(running[first].ends) {
				first = i
			}
		}
		r := running[first]
		now = r.ends
		running = append(running[:first], running[first+1:]...)
		for _, n := range q.Done(now, Request{Rank: r.rank, Policy: fmt.Sprint(r.rank)}, Result{Served: true, ServiceTime: took[r.rank]}) {
			start(waiting[n.Ticket])
			delete(waiting, n.Ticket)
		}
	}
	return used
}

// Guards against a rank that always has requests waiting and still gets less slot time than its share, or far more
// while urgent requests wait. Over any period it may miss at most its debt and the wait for slots to become free.
func TestShareIsKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(4, 24).Draw(t, "slots")
		low := rapid.IntRange(2, 6).Draw(t, "low")
		share := rapid.Float64Range(0.02, 0.5).Draw(t, "share")
		// In some cases the shares of all waiting ranks add up to 1.
		shares := map[int]float64{0: rapid.SampledFrom([]float64{0, 0.95 - share}).Draw(t, "share 0"), low: share, 7: 0.05}
		took := map[int]time.Duration{}
		var longest time.Duration
		for _, r := range []int{0, low, 7} {
			took[r] = time.Duration(rapid.IntRange(5, 100).Draw(t, fmt.Sprint("took ", r))) * time.Millisecond
			longest = max(longest, took[r])
		}
		q := New(Settings{Slots: slots, WarmStart: true, Shares: shares})
		const from, to = time.Second, 6 * time.Second
		used := saturate(q, []int{0, low, 7}, took, from, to)
		for _, r := range []int{low, 7} {
			want := shares[r] * float64(slots) * (to - from).Seconds()
			slack := (math.Ceil(shares[r]*float64(slots)) + catchUpSlots) * (took[r] + longest).Seconds()
			saved := shares[r] * float64(slots) * creditWindow.Seconds()
			if got := used[r].Seconds(); got < want-slack || got > want*shareMargin+slack+saved {
				t.Fatalf("rank %d got %.3f s of slot time, want %.3f s at most %.3f s less", r, got, want, slack)
			}
		}
	})
}

// Guards against passing over a waiting rank that is below its share: if it has credit, it gets the next slot, however
// many more urgent requests of a rank above its share wait.
func TestRankBelowShareGoesFirst(t *testing.T) {
	q := New(Settings{Slots: 4, WarmStart: true, Shares: map[int]float64{0: 0.25, 6: 0.25}})
	now := epoch.Add(time.Second)
	for range 4 {
		q.Offer(now, Request{Rank: 0})
	}
	q.Offer(now, Request{Rank: 0})
	low := q.Offer(now, Request{Rank: 6})
	now = now.Add(10 * time.Millisecond)
	got := q.Done(now, Request{Rank: 0}, Result{Served: true, ServiceTime: 10 * time.Millisecond})
	if len(got) != 1 || got[0].Ticket != low.Ticket || !got[0].Granted() {
		t.Fatalf("after one slot became free: %+v, want a slot for ticket %d", got, low.Ticket)
	}
}

// Guards against unused shares that are not lent, and against headroom that stays reserved long after the last urgent
// request.
func TestUnusedShareIsLent(t *testing.T) {
	q := New(Settings{Slots: 10, WarmStart: true, Shares: map[int]float64{0: 0.9}})
	now := epoch.Add(time.Hour)
	for i := range 10 {
		if d := q.Offer(now, Request{Rank: 7}); d.Verdict != Run {
			t.Fatalf("offer %d of the only rank: verdict %v, want Run", i, d.Verdict)
		}
	}
	q = New(Settings{Slots: 10, WarmStart: true, Headroom: 0.1})
	if q.Offer(now, Request{Rank: 0}); q.Load().InUse != 1 {
		t.Fatal("urgent request got no slot")
	}
	q.Done(now, Request{Rank: 0}, Result{})
	for range 11 {
		q.Offer(now, Request{Rank: 7})
	}
	if l := q.Load(); l.InUse != 9 || l.Queued != 2 {
		t.Fatalf("just after an urgent request: load %+v, want one free slot as headroom", l)
	}
	if got := q.Done(now.Add(2*headroomHoldTime), Request{Rank: 7}, Result{}); len(got) != 2 {
		t.Fatalf("%d slots granted long after the urgent request, want 2: a freed one and the headroom", len(got))
	}
}

// Guards against lending slots to slow requests while a more urgent rank, which usually needs them, is idle for a
// moment, and against a reserve that applies to fast requests as well.
func TestSlowWorkBorrowsLess(t *testing.T) {
	for _, c := range []struct {
		took time.Duration
		want int
	}{{time.Second, 7}, {20 * time.Millisecond, 10}} {
		q := New(Settings{Slots: 10, WarmStart: true})
		now := epoch
		runRequests := func(rank, slots int, took time.Duration) {
			for range slots {
				q.Offer(now, Request{Rank: rank})
			}
			now = now.Add(took)
			for range slots {
				q.Done(now, Request{Rank: rank}, Result{Served: true, ServiceTime: took})
			}
		}
		runRequests(7, 1, c.took)
		for range 2000 {
			runRequests(2, 3, 10*time.Millisecond)
		}
		for range 10 {
			q.Offer(now, Request{Rank: 7})
		}
		if n := q.Load().InUse; n != c.want {
			t.Errorf("requests of %s hold %d slots, want %d of 10: a more urgent rank usually uses 3", c.took, n, c.want)
		}
	}
}

// Guards against a full queue that refuses urgent requests while less urgent ones wait, and against displacing requests
// within the guaranteed places of their rank.
func TestDisplacement(t *testing.T) {
	q := New(Settings{Slots: 1, WarmStart: true, QueueFactor: 4, MinPlaces: -1, Shares: map[int]float64{7: 0.5}})
	q.Offer(epoch, Request{Rank: 7})
	for range 4 {
		q.Offer(epoch, Request{Rank: 7})
	}
	if d := q.Offer(epoch, Request{Rank: 7}); d.Refusal.Reason != metric.RefusedQueueFull {
		t.Fatalf("request to a full queue of its own rank: %+v, want queue_full", d)
	}
	for i := range 4 {
		d := q.Offer(epoch, Request{Rank: 0})
		if displaced := d.Displaced != 0; displaced != (i < 2) || (d.Verdict == Wait) != (i < 2) {
			t.Fatalf("urgent request %d: %+v, want the first two of four to displace others", i, d)
		}
	}
}

// Guards against a limit that ignores shedding, never recovers, or exceeds the announced slots, and against a cold
// instance that starts with all slots.
func TestSlotLimit(t *testing.T) {
	q := New(Settings{Slots: 20})
	serve := func(rounds int, r Result) {
		for range rounds {
			for n := q.Load().Limit; n > q.Load().InUse; {
				q.Offer(epoch, Request{})
			}
			for q.Load().InUse > 0 {
				q.Done(epoch, Request{}, r)
			}
		}
	}
	if l := q.Load().Limit; l != 4 {
		t.Fatalf("cold limit %d, want a fifth of 20", l)
	}
	serve(40, Result{Served: true})
	if l := q.Load().Limit; l != 20 {
		t.Fatalf("limit %d after success at full use, want 20", l)
	}
	for range 5 {
		q.Offer(epoch, Request{})
	}
	q.Done(epoch, Request{}, Result{Shed: true})
	if l := q.Load().Limit; l != 4 {
		t.Fatalf("limit %d after shedding with 5 in flight, want 4", l)
	}
	q.SetSlots(epoch, 2)
	if l := q.Load().Limit; l != 2 {
		t.Fatalf("limit %d after 2 slots were announced, want 2", l)
	}
}

// Guards against a single slow period after which all requests of a policy are refused forever.
func TestHighEstimateRecovers(t *testing.T) {
	q := New(Settings{Slots: 1, WarmStart: true})
	req := Request{Policy: "p", Deadline: epoch.Add(100 * time.Millisecond)}
	q.Offer(epoch, Request{Policy: "p"})
	q.Done(epoch, Request{Policy: "p"}, Result{Served: true, ServiceTime: time.Minute})
	if d := q.Offer(epoch, req); d.Refusal.Reason != metric.RefusedDeadline {
		t.Fatalf("request that takes longer than its deadline allows: %+v, want the refusal deadline", d)
	}
	for range 1000 {
		if q.Offer(epoch, req).Verdict == Run {
			return
		}
	}
	t.Fatal("still refused after 1000 offers")
}
