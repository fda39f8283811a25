package quota

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
)

var failing = Limit{Tenant: "failing", Rate: 180, Burst: 180}

// runFailure sends usual demand of one tenant to all nodes of three zones for 20 s, starts the failure after 10 s, and returns
// the shares admitted in the seconds before, during the next 4 s, and from 6 s on, when the failure must have ended.
func runFailure(t *testing.T, fail func(m *mesh)) (before, during, after float64) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(9, 3, 9)
		start := time.Now()
		var wg sync.WaitGroup
		m.load(&wg, failing, failing.Rate/usualShare, 20*time.Second, m.any)
		wg.Go(func() {
			time.Sleep(10 * time.Second)
			fail(m)
		})
		wg.Wait()
		m.stop()
		m.checkQuota(t, failing)
		share := func(from, to time.Duration) float64 {
			return float64(between(m.admitted[failing.Tenant], start.Add(from), start.Add(to))) /
				float64(between(m.asked[failing.Tenant], start.Add(from), start.Add(to)))
		}
		before, during, after = share(2*time.Second, 10*time.Second), share(10*time.Second, 14*time.Second), share(16*time.Second, 20*time.Second)
		t.Logf("admitted: %.3f before, %.3f during, %.3f after", before, during, after)
	})
	return before, during, after
}

// checkShares fails if less than the given share was admitted during the failure, or less than 0.97 after it.
func checkShares(t *testing.T, during, want, after float64) {
	t.Helper()
	if during < want || after < 0.97 {
		t.Errorf("admitted %.3f during the failure and %.3f after it, want %.2f and 0.97", during, after, want)
	}
}

// Guards against refusals for as long as the process of a home is gone: the next node must stand in at once.
func TestHomeKilled(t *testing.T) {
	_, during, after := runFailure(t, func(m *mesh) {
		home := m.home("zone-1", failing.Tenant)
		home.kill()
		time.Sleep(4 * time.Second)
		home.start()
	})
	checkShares(t, during, 0.95, after)
}

// Guards against a home and its first stand-in that end together.
func TestHomeAndStandInKilled(t *testing.T) {
	_, during, after := runFailure(t, func(m *mesh) {
		var killed []*meshNode
		for _, n := range m.home("zone-1", failing.Tenant).service.topology.Load().Ranked(failing.Tenant)[:2] {
			killed = append(killed, m.byIP[n.Address])
			m.byIP[n.Address].kill()
		}
		time.Sleep(4 * time.Second)
		for _, n := range killed {
			n.start()
		}
	})
	checkShares(t, during, 0.95, after)
}

// Guards against a home that restarts with a full burst, and against refusals while its bucket is low.
func TestHomeRestarts(t *testing.T) {
	_, during, after := runFailure(t, func(m *mesh) {
		for _, zone := range []string{"zone-0", "zone-1", "zone-2"} {
			home := m.home(zone, failing.Tenant)
			home.kill()
			home.start()
		}
	})
	checkShares(t, during, 0.9, after)
}

// Guards against a stand-in beside a home that cannot be reached: without tokens of other zones it has only a tenth of the
// zone's rate, so that at least the demand of the two other zones and what they have left over must be admitted.
func TestHomeCutOff(t *testing.T) {
	_, during, after := runFailure(t, func(m *mesh) {
		home := m.home("zone-1", failing.Tenant)
		m.set(func() { m.cutNode[home] = true })
		time.Sleep(4 * time.Second)
		m.set(func() { m.cutNode[home] = false })
	})
	checkShares(t, during, 0.85, after)
}

// Guards against a zone that loses its part while it is cut off from the others.
func TestZoneCutOff(t *testing.T) {
	_, during, after := runFailure(t, func(m *mesh) {
		m.set(func() { m.cutZone["zone-1"] = true })
		time.Sleep(4 * time.Second)
		m.set(func() { m.cutZone["zone-1"] = false })
	})
	checkShares(t, during, 0.97, after)
}

// Guards against refusals while a home leaves and the directories differ.
func TestHomeLeaves(t *testing.T) {
	_, during, after := runFailure(t, func(m *mesh) {
		home := m.home("zone-1", failing.Tenant)
		home.announce(membership.StateDeparted)
		time.Sleep(2 * time.Second)
		home.kill()
		time.Sleep(2 * time.Second)
		home.announce(membership.StateReady)
		home.start()
	})
	checkShares(t, during, 0.95, after)
}

// Guards against a broken link between one node and the home that makes a stand-in grant although the home is well.
func TestStandInRefersBackToHome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(1, 1, 3)
		ranked := m.nodes[0].service.topology.Load().Ranked(failing.Tenant)
		standIn := m.byIP[ranked[1].Address].service
		args := &GrantArgs{Ask: Ask{Limit: failing, Need: 1, Arrived: 1}, From: ranked[2].ID, Skipped: []membership.InstanceID{ranked[0].ID}}
		var reply GrantReply
		_ = standIn.HandleGrant(args, &reply)
		if !reply.NotHome || reply.Home != ranked[0].ID {
			t.Errorf("stand-in beside a running home answered %+v, want a reference to %s", reply, ranked[0].ID)
		}
		m.byIP[ranked[0].Address].kill()
		reply = GrantReply{}
		_ = standIn.HandleGrant(args, &reply)
		if reply.NotHome || reply.Grant.Tokens != 1 {
			t.Errorf("stand-in for a home that has ended answered %+v, want one token", reply)
		}
		m.stop()
	})
}

// Guards against two homes at once: a node that is not first by its own directory must not grant to one that believes so.
func TestOnlyHomeGrants(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(1, 1, 3)
		ranked := m.nodes[0].service.topology.Load().Ranked(failing.Tenant)
		for _, n := range ranked[1:] {
			var reply GrantReply
			_ = m.byIP[n.Address].service.HandleGrant(&GrantArgs{Ask: Ask{Limit: failing, Need: 1}, From: ranked[0].ID}, &reply)
			if !reply.NotHome || reply.Grant.Tokens != 0 {
				t.Errorf("%s answered %+v, want not home", n.ID, reply)
			}
		}
		m.stop()
	})
}

// Guards against a home that is cut off from its zone and goes on granting to itself beside its stand-in.
func TestCutOffHomeStopsGranting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(1, 1, 4)
		home := m.home("zone-0", failing.Tenant)
		time.Sleep(5 * time.Second)
		m.set(func() { m.cutNode[home] = true })
		start := time.Now()
		var wg sync.WaitGroup
		m.load(&wg, failing, 3*failing.Rate, 8*time.Second, func(float64) *meshNode { return home })
		wg.Wait()
		m.set(func() { m.cutNode[home] = false })
		// After 1.5 s it admits half of the rate divided by four nodes.
		if got := between(m.admitted[failing.Tenant], start.Add(1500*time.Millisecond), start.Add(8*time.Second)); float64(got) > 6.5*failing.Rate/8*1.1 {
			t.Errorf("a home that is cut off admitted %d requests in 6.5 s", got)
		}
		start = time.Now()
		m.load(&wg, failing, failing.Rate/usualShare, 5*time.Second, func(float64) *meshNode { return home })
		wg.Wait()
		m.stop()
		if got, asked := between(m.admitted[failing.Tenant], start.Add(time.Second), time.Now()), between(m.asked[failing.Tenant], start.Add(time.Second), time.Now()); float64(got) < 0.97*float64(asked) {
			t.Errorf("a home that is in contact again admitted %d of %d requests", got, asked)
		}
	})
}

// Guards against a second of two homes after a node has joined: it tells its zone before the directories do.
func TestJoinedNodeIsKnownAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(1, 1, 4)
		home := m.home("zone-0", failing.Tenant)
		home.announce(membership.StateDeparted)
		time.Sleep(2 * time.Second)
		home.kill()
		m.set(func() { home.record.State = membership.StateReady; home.record.Sequence++ }) // The other directories do not learn of it.
		home.start()
		time.Sleep(10 * time.Millisecond)
		for _, n := range m.nodes {
			if got, _ := n.service.topology.Load().Home("zone-0", failing.Tenant); got.ID != home.record.ID {
				t.Errorf("%s takes %s for the home, want %s", n.record.ID, got.ID, home.record.ID)
			}
		}
		m.stop()
	})
}

// Guards against a lower limit that does not bind.
func TestLowerLimitBinds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(1, 3, 4)
		time.Sleep(10 * time.Second)
		high, low := Limit{Tenant: "changed", Rate: 500, Burst: 500}, Limit{Tenant: "changed", Rate: 20, Burst: 20}
		var wg sync.WaitGroup
		m.load(&wg, high, 600, 5*time.Second, m.any)
		wg.Wait()
		m.set(func() { m.admitted = make(map[string][]time.Time) })
		m.load(&wg, low, 600, 10*time.Second, m.any)
		wg.Wait()
		m.stop()
		m.checkQuota(t, low)
	})
}

// Guards against calls and state for a tenant without a limit.
func TestNoRateCostsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(1, 3, 3)
		time.Sleep(time.Second) // The announcements of the start have ended.
		synctest.Wait()
		calls := m.calls
		for range 100 {
			if ok, _ := m.nodes[0].service.Admit(context.Background(), Limit{Tenant: "free", Burst: 5}, time.Now()); !ok {
				t.Fatal("a tenant without a rate was refused")
			}
		}
		if len(m.nodes[0].service.accounts) != 0 || m.calls != calls {
			t.Errorf("%d accounts and %d calls, want none", len(m.nodes[0].service.accounts), m.calls-calls)
		}
		m.stop()
	})
}

// Guards against messages between nodes of a deployment without tenants, and against a node that does not tell that it has
// started once there are some.
func TestNoTenantsNoMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(1, 3, 3)
		m.stop()
		synctest.Wait()
		enabled := false
		m.enabled = func() bool { m.mu.Lock(); defer m.mu.Unlock(); return enabled }
		calls := m.calls
		for _, n := range m.nodes {
			n.start()
		}
		time.Sleep(time.Minute)
		synctest.Wait()
		if m.calls != calls {
			t.Errorf("%d calls without tenants", m.calls-calls)
		}
		m.mu.Lock()
		enabled = true
		m.mu.Unlock()
		time.Sleep(time.Second)
		synctest.Wait()
		if want := calls + 9*2; m.calls != want {
			t.Errorf("%d calls once there are tenants, want one from each node to the two others of its zone", m.calls-calls)
		}
		m.stop()
	})
}

// Guards against state that stays for tenants that are not used any more.
func TestIdleStateIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(1, 1, 3)
		for _, n := range m.nodes {
			m.request(n, failing)
		}
		time.Sleep(time.Second)
		state := func(n *meshNode) (accounts, buckets int) {
			n.service.mu.Lock()
			defer n.service.mu.Unlock()
			return len(n.service.accounts), len(n.service.ledger.buckets)
		}
		if _, n := state(m.home("zone-0", failing.Tenant)); n != 1 {
			t.Errorf("%d buckets, want 1", n)
		}
		time.Sleep(idleTime + expirePeriod)
		for _, n := range m.nodes {
			if a, b := state(n); a+b > 0 {
				t.Errorf("%s has %d accounts and %d buckets after a minute without use", n.record.ID, a, b)
			}
		}
		m.stop()
	})
}

// Guards against a node that admits before it knows how many zones share the allowance.
func TestNothingAdmittedBeforeNodesAreKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(1, 1, 1)
		complete := false
		m.nodes[0].service.Complete = func() bool { return complete }
		if ok, after := m.nodes[0].service.Admit(context.Background(), failing, time.Now()); ok || after < minRetryAfter {
			t.Errorf("admitted %v, retry after %v; want a refusal", ok, after)
		}
		complete = true
		if ok, _ := m.nodes[0].service.Admit(context.Background(), failing, time.Now()); !ok {
			t.Error("refused although the nodes are known")
		}
		m.stop()
	})
}

// Guards against times to come back that are shorter than the wait for a token, so that callers return for nothing. Callers
// that come back when they are told must be admitted.
func TestRetryAfterIsTrue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(1, 1, 3)
		time.Sleep(10 * time.Second)
		l := Limit{Tenant: "waiting", Rate: 10}
		var wg sync.WaitGroup
		var mu sync.Mutex
		refused, again := 0, 0
		for i := range 50 {
			wg.Go(func() {
				s := m.nodes[i%3].service
				ok, after := s.Admit(context.Background(), l, time.Now())
				if ok {
					return
				}
				if after < minRetryAfter || after > maxRetryAfter*3/2 {
					t.Errorf("retry after %v", after)
				}
				time.Sleep(after)
				ok, _ = s.Admit(context.Background(), l, time.Now())
				mu.Lock()
				defer mu.Unlock()
				refused++
				if !ok {
					again++
				}
			})
			time.Sleep(time.Millisecond)
		}
		wg.Wait()
		m.stop()
		t.Logf("%d refused, %d of them again", refused, again)
		if refused < 30 || again > refused/5 {
			t.Errorf("%d of %d callers that came back when they were told were refused again", again, refused)
		}
	})
}
