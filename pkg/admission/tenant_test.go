package admission

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
)

// Guards against a small tenant that waits for the flood of a large one to end: its next request takes a place in the full
// queue, and the next slot.
func TestSmallTenantFindsRoomAtOnce(t *testing.T) {
	q, now := New(Settings{Slots: 2, WarmStart: true, QueueFactor: 3}), epoch
	request := func(tenant string) Request {
		return Request{Rank: 1, Policy: "view", Tenant: tenant, Arrived: now, Deadline: now.Add(time.Second)}
	}
	q.Offer(now, request("large"))
	q.Done(now, request("large"), Result{Served: true, ServiceTime: 10 * time.Millisecond})
	var last Decision
	for range 9 {
		now = now.Add(time.Millisecond)
		if d := q.Offer(now, request("large")); d.Verdict == Wait {
			last = d
		}
	}
	if l := q.Load(); l.InUse != 2 || l.Queued != 6 {
		t.Fatalf("load %+v, want 2 running and 6 waiting requests", l)
	}
	now = now.Add(time.Millisecond)
	small := q.Offer(now, request("small"))
	if small.Verdict != Wait || small.Displaced != last.Ticket || small.DisplacedRefusal.Reason != metric.RefusedTenantShare {
		t.Fatalf("request of the small tenant: %+v, want that it displaces the newest of the large one, ticket %d", small, last.Ticket)
	}
	got := q.Done(now, request("large"), Result{Served: true, ServiceTime: 10 * time.Millisecond})
	if len(got) != 1 || got[0].Ticket != small.Ticket || !got[0].Granted() {
		t.Errorf("the free slot went to %+v, want ticket %d", got, small.Ticket)
	}
	if d := q.Offer(now, request("large")); d.Verdict != Wait {
		t.Errorf("request of the large tenant to a free place: %+v, want that it waits", d)
	}
	if d := q.Offer(now, request("large")); d.Refusal.Reason != metric.RefusedTenantShare {
		t.Errorf("request of the large tenant to a full queue: %+v, want tenant_share", d)
	}
}

// Guards against fairness by count: of two tenants that always have requests waiting, the one whose requests take four
// times as long gets as much slot time, and so a quarter of the requests.
func TestSlotsAreSharedByCost(t *testing.T) {
	l := simulatedLoad{speeds: equal(1, 1), weights: []float64{1}, length: 20 * time.Second, seed: 1, noRetries: true, kinds: []kind{
		{name: "short", rank: 1, perSecond: 200, work: 50 * time.Millisecond, spread: 0.1, target: 4 * time.Second, deadline: 5 * time.Second},
		{name: "long", rank: 1, perSecond: 200, work: 200 * time.Millisecond, spread: 0.1, target: 4 * time.Second, deadline: 5 * time.Second},
	}}
	l.weights = []float64{1, 1}
	l.factor = func(_ time.Duration, k kind, tenant int) float64 {
		if (k.name == "short") == (tenant == 0) {
			return 1
		}
		return 0
	}
	s := simulate(l)
	short, long := s.byKind["short"], s.byKind["long"]
	served := func(t *tally) float64 { return float64(t.inTarget + t.late) }
	if r := served(short) / served(long); r < 3.2 || r > 4.8 {
		t.Errorf("%.0f short and %.0f long requests served, want a ratio near 4", served(short), served(long))
	}
}

// Guards against a share that is kept free: a tenant alone uses all slots and all places.
func TestUnusedTenantShareIsLent(t *testing.T) {
	q := New(Settings{Slots: 4, WarmStart: true, QueueFactor: 2})
	for i, want := range []Verdict{Run, Run, Run, Run, Wait, Wait, Wait, Wait, Wait, Wait, Wait, Wait, Refuse} {
		if d := q.Offer(epoch, Request{Rank: 1, Tenant: "only"}); d.Verdict != want {
			t.Fatalf("request %d: verdict %v, want %v", i, d.Verdict, want)
		}
	}
}

// Guards against state that grows with the names of tenants, and against a request that ends in another account than it
// started in.
func TestTenantAccountsAreBounded(t *testing.T) {
	q, now := New(Settings{Slots: 1 << 14, WarmStart: true}), epoch
	const names = 3 * maxTenants
	request := func(i int) Request { return Request{Rank: 1, Tenant: fmt.Sprint("tenant-", i)} }
	for i := range names {
		q.Offer(now, request(i))
	}
	if n := len(q.tenants.byName); n != maxTenants || q.tenants.others.inUse != names-maxTenants {
		t.Fatalf("%d accounts, %d requests in the common one; want %d and %d", n, q.tenants.others.inUse, maxTenants, names-maxTenants)
	}
	now = now.Add(2 * idleTenantTime)
	q.Offer(now, request(0))
	if n := len(q.tenants.byName); n != maxTenants {
		t.Fatalf("%d accounts while all have running requests, want %d", n, maxTenants)
	}
	q.Done(now, request(0), Result{Served: true, ServiceTime: time.Second})
	for i := range names {
		q.Done(now, request(i), Result{Served: true, ServiceTime: time.Second})
	}
	if n := q.tenants.others.inUse; n != 0 {
		t.Errorf("%d requests in the common account after all have ended", n)
	}
	now = now.Add(2 * idleTenantTime)
	q.Offer(now, request(names))
	if n := len(q.tenants.byName); n != 1 {
		t.Errorf("%d accounts after all but one tenant were idle, want 1", n)
	}
}

// Guards against an operator who cannot see who uses the room, and against a list that grows with the tenants.
func TestUsageListsTopTenants(t *testing.T) {
	g := newGate(Settings{Slots: 8, WarmStart: true})
	for i, n := range []int{1, 3, 2} {
		for range n {
			g.Acquire(context.Background(), Request{Rank: 2, Policy: "view", Tenant: fmt.Sprint("tenant-", i)})
		}
	}
	release, _ := g.Acquire(context.Background(), Request{Rank: 2, Policy: "view", Tenant: "tenant-0"})
	release(true, false, time.Second)
	u, ok := g.Usage(2)
	if !ok || u.Tenants != 3 || len(u.Top) != 2 || u.Top[0].Name != "tenant-0" || u.Top[0].SlotTime < time.Second/2 || u.Load.InUse != 6 {
		t.Errorf("usage %+v, want the two tenants with the most slot time of three", u)
	}
	if len(u.Ranks) != 1 || u.Ranks[0].InUse != 6 || u.Ranks[0].Started != 7 {
		t.Errorf("ranks %+v, want one with 6 requests running and 7 started", u.Ranks)
	}
	if _, ok := NewGate(NewFIFO(Settings{}), g.clock).Usage(2); ok {
		t.Error("FIFO tells tenants apart")
	}
}

// Guards against callers that wait until their latest start at a backend server that stands still: they are told to go
// elsewhere while there is time for that, and a few stay for the slots that become free.
func TestGateMovesCallersFromStandingServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGate(Settings{Slots: 4, WarmStart: true, ExactSlots: true, MoveWhenSlow: true})
		acquire := func() (func(bool, bool, time.Duration), *Refusal) {
			now := time.Now()
			return g.Acquire(context.Background(), Request{Rank: 1, Policy: "view", Arrived: now, Target: now.Add(600 * time.Millisecond), Deadline: now.Add(1500 * time.Millisecond)})
		}
		for range 20 {
			release, _ := acquire()
			time.Sleep(100 * time.Millisecond)
			release(true, false, 100*time.Millisecond)
		}
		var releases []func(bool, bool, time.Duration)
		for range 4 {
			release, _ := acquire()
			releases = append(releases, release)
		}
		started := time.Now()
		var callers sync.WaitGroup
		var mu sync.Mutex
		moved, ran := 0, 0
		for range 6 {
			callers.Go(func() {
				release, refusal := acquire()
				mu.Lock()
				defer mu.Unlock()
				switch {
				case refusal == nil:
					ran++
					release(true, false, 100*time.Millisecond)
				case refusal.Reason == metric.RefusedBackendSlow && time.Since(started) < 300*time.Millisecond:
					moved++
				default:
					t.Errorf("refusal %+v after %v", refusal, time.Since(started))
				}
			})
		}
		time.Sleep(700 * time.Millisecond)
		for _, release := range releases {
			release(true, false, 700*time.Millisecond)
		}
		callers.Wait()
		if moved != 5 || ran != 1 {
			t.Errorf("%d callers moved and %d ran, want 5 and 1", moved, ran)
		}
	})
}

// Guards against a late request that is refused although there are places, such as one whose node stops while it waits: no
// return of its caller would be in time.
func TestLateRequestMayWait(t *testing.T) {
	q := New(Settings{Slots: 1, WarmStart: true, QueueFactor: 8, MaxTargetWait: 0.25})
	request := func(target time.Duration) Request {
		return Request{Rank: 1, Policy: "view", Arrived: epoch, Target: epoch.Add(target), Deadline: epoch.Add(time.Hour)}
	}
	q.Offer(epoch, request(time.Second))
	q.Done(epoch, request(time.Second), Result{Served: true, ServiceTime: 100 * time.Millisecond})
	for i, c := range []struct {
		target time.Duration
		want   Verdict
	}{{time.Second, Run}, {time.Second, Wait}, {time.Second, Wait}, {time.Second, Wait}, {time.Second, Refuse}, {50 * time.Millisecond, Wait}, {50 * time.Millisecond, Wait}, {time.Second, Refuse}} {
		if d := q.Offer(epoch, request(c.target)); d.Verdict != c.want {
			t.Errorf("request %d, target in %v: %+v, want verdict %v", i, c.target, d, c.want)
		}
	}
}

// Guards against a limit of the wait that changes what deployments without tenants get.
func TestWaitLimitNeedsTenants(t *testing.T) {
	for tenant, want := range map[string]Verdict{"": Wait, "mill": Refuse} {
		q := New(Settings{Slots: 1, WarmStart: true, QueueFactor: 8, MaxTargetWait: 0.25, WaitLimitNeedsTenants: true})
		req := Request{Rank: 1, Policy: "view", Tenant: tenant, Arrived: epoch, Target: epoch.Add(time.Second), Deadline: epoch.Add(time.Hour)}
		q.Offer(epoch, req)
		q.Done(epoch, req, Result{Served: true, ServiceTime: 400 * time.Millisecond})
		q.Offer(epoch, req)
		q.Offer(epoch, req)
		if d := q.Offer(epoch, req); d.Verdict != want {
			t.Errorf("tenant %q: %+v, want verdict %v", tenant, d, want)
		}
	}
}
