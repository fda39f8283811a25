package quota

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
)

var epoch = time.Unix(1_000_000, 0)

func records(zones, perZone int) (out []membership.Instance) {
	for i := range zones * perZone {
		id := fmt.Sprintf("node-%d", i)
		out = append(out, membership.Instance{ID: membership.InstanceID(id), AvailabilityZone: fmt.Sprintf("zone-%d", i%zones), ControlAddress: id})
	}
	return out
}

// Guards against homes that move between nodes that stay, when another node leaves or joins, and against tenants that
// gather on few nodes.
func TestTopologyMovesFewHomes(t *testing.T) {
	all := records(1, 20)
	before, after := NewTopology(epoch, "node-0", "zone-0", all, nil), NewTopology(epoch, "node-0", "zone-0", all[1:], nil)
	homes := make(map[membership.InstanceID]int)
	for i := range 2000 {
		tenant := fmt.Sprintf("tenant-%d", i)
		ranked := before.Ranked(tenant)
		home, _ := before.Home("zone-0", tenant)
		if ranked[0].ID != home.ID || len(ranked) != maxCandidates {
			t.Fatalf("ranking %v of %s does not start with its home %s", ranked, tenant, home.ID)
		}
		homes[home.ID]++
		want := home.ID
		if want == "node-0" {
			want = ranked[1].ID
		}
		if got, _ := after.Home("zone-0", tenant); got.ID != want {
			t.Errorf("home of %s is %s without node-0, want %s", tenant, got.ID, want)
		}
	}
	for id, n := range homes {
		if n < 50 || n > 150 {
			t.Errorf("%s is the home of %d of 2000 tenants, want about 100", id, n)
		}
	}
}

// Guards against a part of a zone that is granted by the others before a window has passed, and against nodes that have
// departed as homes.
func TestTopologyKeepsPartsForAWhile(t *testing.T) {
	all := records(3, 2)
	old := NewTopology(epoch, "node-0", "zone-0", all, nil)
	for i := range all {
		if all[i].AvailabilityZone == "zone-1" {
			all[i].State = membership.StateDeparted
		}
	}
	now := NewTopology(epoch.Add(time.Second), "node-0", "zone-0", all, old)
	if now.parts != 3 || len(now.zones["zone-1"]) != 0 {
		t.Errorf("%d parts and %d nodes in the zone that has left, want 3 and 0", now.parts, len(now.zones["zone-1"]))
	}
	if later := NewTopology(epoch.Add(2*shrinkDelay), "node-0", "zone-0", all, now); later.parts != 2 {
		t.Errorf("%d parts after the delay, want 2", later.parts)
	}
}

// Guards against tokens that appear when they are moved between zones or when messages are lost, late or doubled: what is granted
// and stored must never exceed what was stored in the beginning and produced since.
func TestTransfersConserveTokens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const zones = 3
		limit := Limit{Tenant: "moved", Rate: rapid.SampledFrom([]float64{3, 30, 300}).Draw(t, "rate"), Burst: rapid.SampledFrom([]float64{0, 3, 300}).Draw(t, "burst")}
		var ledgers [zones]*Ledger
		for i := range ledgers {
			ledgers[i] = NewLedger(epoch, testTerms)
			ledgers[i].parts = zones
			ledgers[i].Take(epoch, RoleHome, Ask{Limit: limit})
		}
		start := 0.0
		for _, l := range ledgers {
			start += l.buckets[limit.Tenant].tokens
		}
		now, granted := epoch, 0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "pause")) * time.Millisecond)
			l := ledgers[rapid.IntRange(0, zones-1).Draw(t, "zone")]
			need := rapid.IntRange(0, 60).Draw(t, "need")
			granted += l.Take(now, RoleHome, Ask{Limit: limit, Need: need, Ahead: need, Arrived: need}).Tokens
			for _, r := range l.Requests(now, limit.Tenant, []string{"0", "1", "2"}, need%2 == 0) {
				given := ledgers[int(r.Zone[0]-'0')].Give(now, 0, r.Limit, r.Want)
				switch rapid.IntRange(0, 3).Draw(t, "message") {
				case 0: // The answer is lost.
				case 1: // The request is doubled; the second answer belongs to no call.
					ledgers[int(r.Zone[0]-'0')].Give(now, 0, r.Limit, r.Want)
					l.Receive(now, now, limit.Tenant, given)
				case 2: // The answer is late.
					if l.Receive(now, now.Add(-time.Second), limit.Tenant, given) != 0 {
						t.Fatal("a late answer was accepted")
					}
				default:
					l.Receive(now, now, limit.Tenant, given)
				}
			}
			stored := 0.0
			for _, l := range ledgers {
				b := l.buckets[limit.Tenant]
				b.refill(now, zones, testTerms)
				stored += b.tokens
			}
			if most := start + limit.Rate*now.Sub(epoch).Seconds() + 1e-6; float64(granted)+stored > most {
				t.Fatalf("%d granted and %.2f stored, more than the %.2f produced", granted, stored, most)
			}
		}
	})
}

// Guards against a limit of an older configuration that replaces a newer one, and a lower limit that leaves the old burst.
func TestLedgerFollowsNewestLimit(t *testing.T) {
	l := NewLedger(epoch, testTerms)
	now := epoch.Add(time.Minute)
	high, low := Limit{Tenant: "x", Rate: 100, Burst: 100}, Limit{Tenant: "x", Rate: 10, Burst: 10}
	l.Take(now, RoleHome, Ask{Limit: high, Version: 7})
	if g := l.Take(now, RoleHome, Ask{Limit: low, Version: 8, Need: 100}); !g.LimitChanged || g.Tokens > 20 {
		t.Errorf("grant after the limit was lowered is %+v, want at most the new burst of 10 and a reserve of 10", g)
	}
	if g := l.Take(now.Add(time.Second), RoleHome, Ask{Limit: high, Version: 7, Need: 100}); g.LimitChanged || g.Tokens > 10 {
		t.Errorf("grant for the limit of an older configuration is %+v, want the new rate of 10", g)
	}
}

// Guards against a full burst in the bucket of a node that has just started or become the home.
func TestNewBucketStartsEmpty(t *testing.T) {
	l := NewLedger(epoch, testTerms)
	limit := Limit{Tenant: "x", Rate: 10, Burst: 100}
	if g := l.Take(epoch, RoleHome, Ask{Limit: limit, Need: 50}); g.Tokens != firstTokens {
		t.Errorf("%d tokens right after the start, want %d", g.Tokens, firstTokens)
	}
	l.Follow(epoch.Add(time.Minute), NewTopology(epoch, "node-0", "zone-0", records(1, 1), nil), NewTopology(epoch, "node-0", "zone-0", nil, nil))
	limit.Tenant = "y"
	if g := l.Take(epoch.Add(time.Minute+2*time.Second), RoleHome, Ask{Limit: limit, Need: 50}); g.Tokens != 20+firstTokens {
		t.Errorf("%d tokens 2 s after the zone changed, want %d", g.Tokens, 20+firstTokens)
	}
	limit.Tenant = "z"
	if g := l.Take(epoch.Add(3*time.Minute), RoleHome, Ask{Limit: limit, Need: 105}); g.Tokens != 105 {
		t.Errorf("%d tokens for a tenant first seen two minutes later, want the burst", g.Tokens)
	}
	if g := l.Take(epoch.Add(3*time.Minute), RoleStandIn, Ask{Limit: Limit{Tenant: "w", Rate: 100, Burst: 100}, Need: 50}); g.Tokens != firstTokens {
		t.Errorf("%d tokens from a new stand-in, want %d", g.Tokens, firstTokens)
	}
}

// Guards against empty bursts of all tenants after a node has joined, and against full ones of tenants that have moved to this
// node or whose home it no longer is.
func TestNewBucketAfterChangeOfZone(t *testing.T) {
	const rate, later = 10, 2 * time.Second
	joined := epoch.Add(time.Minute)
	three, four := records(1, 3), records(1, 4)
	moved := slices.Clone(three)
	moved[1].ControlAddress = "elsewhere:1"
	for _, c := range []struct {
		name         string
		before, then []membership.Instance
		home, full   bool
	}{
		{"another node joins", three, four, true, true},
		{"another node leaves", four, three, true, false},
		{"another node is replaced", three, slices.Delete(slices.Clone(four), 1, 2), true, false},
		{"another node moves", three, moved, true, false},
		{"this node joins", three[1:], three, true, false},
		{"another zone joins", three, append(slices.Clone(three), membership.Instance{ID: "far", AvailabilityZone: "zone-9", ControlAddress: "far:1"}), true, true},
		{"the tenant moves away", three, four, false, false},
	} {
		l, empty := NewLedger(epoch, testTerms), NewTopology(epoch, "node-0", "zone-0", nil, nil)
		before := NewTopology(epoch, "node-0", "zone-0", c.before, empty)
		then := NewTopology(joined, "node-0", "zone-0", c.then, before)
		l.Follow(epoch, before, empty)
		l.Follow(joined, then, before)
		limit := Limit{Rate: rate, Burst: 100}
		for i := 0; limit.Tenant == "" || then.IsHome(limit.Tenant) != c.home; i++ {
			limit.Tenant = fmt.Sprintf("tenant-%d", i)
		}
		want := firstTokens + int(rate*later.Seconds())/then.parts
		if c.full {
			want = 110 / then.parts
		}
		if !c.home {
			want = firstTokens
		}
		if g := l.Take(joined.Add(later), RoleHome, Ask{Limit: limit, Need: 1000}); g.Tokens != want {
			t.Errorf("%s: %d tokens for a tenant first seen 2 s later, want %d", c.name, g.Tokens, want)
		}
	}
}

// Guards against malformed numbers from another node that corrupt a bucket.
func TestLedgerIgnoresMalformedNumbers(t *testing.T) {
	l := NewLedger(epoch, testTerms)
	limit := Limit{Tenant: "x", Rate: 10, Burst: 10}
	l.Take(epoch, RoleHome, Ask{Limit: limit, Need: -5, Ahead: -5, Arrived: -5, Refused: -5})
	for _, n := range []float64{math.NaN(), -5, math.Inf(-1)} {
		if given := l.Give(epoch, 0, limit, n); given != 0 {
			t.Errorf("gave %v for a request for %v", given, n)
		}
		l.Receive(epoch, epoch, "x", n)
	}
	if l.Receive(epoch, epoch, "x", math.Inf(1)); !(l.buckets["x"].tokens <= 20) {
		t.Errorf("bucket holds %v tokens", l.buckets["x"].tokens)
	}
}

// Guards against tokens that are used after their time, counted from the request for them, and against lots that are used
// in the wrong order when answers cross.
func TestAccountTokensExpire(t *testing.T) {
	a := NewAccount(testTerms)
	sent := epoch
	a.Receive(epoch.Add(50*time.Millisecond), sent.Add(40*time.Millisecond), Ask{}, Grant{Tokens: 1})
	a.Receive(epoch.Add(60*time.Millisecond), sent, Ask{}, Grant{Tokens: 2})
	if v := a.Decide(epoch.Add(299 * time.Millisecond)); v != Admit {
		t.Errorf("verdict %v with tokens held, want Admit", v)
	}
	if v := a.Decide(epoch.Add(301 * time.Millisecond)); v != Admit || a.held != 0 {
		t.Errorf("verdict %v and %d tokens held, want the token that was sent later and none left", v, a.held)
	}
	if lost := a.Receive(epoch.Add(time.Second), sent, Ask{}, Grant{Tokens: 3}); lost != 3 || a.Decide(epoch.Add(time.Second)) != Fetch {
		t.Errorf("%d tokens of a late answer dropped, want 3", lost)
	}
}

// Guards against a call for each refused request, and against a node that stays refused.
func TestAccountRefusesForAWhile(t *testing.T) {
	a := NewAccount(testTerms)
	a.Arrive(epoch)
	a.Receive(epoch, epoch, Ask{Need: 1}, Grant{Wait: time.Second, Spacing: 100 * time.Millisecond})
	if v := a.Decide(epoch.Add(maxBlock / 2)); v != Refuse {
		t.Errorf("verdict %v right after a refusal, want Refuse", v)
	}
	if first, second := a.RetryAfter(epoch), a.RetryAfter(epoch); first != time.Second || second <= first {
		t.Errorf("callers are told to come back after %v and %v, want 1 s and more", first, second)
	}
	if v := a.Decide(epoch.Add(maxBlock)); v != Fetch {
		t.Errorf("verdict %v after the block, want Fetch", v)
	}
}

// Guards against tokens taken ahead for a tenant that is rarely used at a node, and against a call for each request of one
// that is used much.
func TestAccountTakesAheadByDemand(t *testing.T) {
	rare, busy := NewAccount(testTerms), NewAccount(testTerms)
	for i := range 1000 {
		now := epoch.Add(time.Duration(i) * 2 * time.Millisecond)
		if busy.Arrive(now); i%500 == 0 {
			rare.Arrive(now)
		}
	}
	now := epoch.Add(2 * time.Second)
	if n := rare.Ahead(now); n != 0 {
		t.Errorf("%d tokens taken ahead for one request a second, want none", n)
	}
	if n := busy.Ahead(now); n < 80 || n > 120 {
		t.Errorf("%d tokens taken ahead for 500 requests a second, want about 200 ms of demand", n)
	}
}

// Guards against lone nodes that admit what the homes may have granted already: the allowance must start at zero and all
// nodes together must stay at half of the zone's rate.
func TestAccountLoneAllowance(t *testing.T) {
	const parts, nodes = 3, 10
	a, admitted := NewAccount(testTerms), 0
	for i := range 10_000 {
		if ok, _ := a.Lone(epoch.Add(time.Duration(i)*time.Millisecond), Limit{Rate: 300}, parts, nodes); ok {
			admitted++
		}
	}
	if want := 300 * loneShare / parts / nodes * 10; float64(admitted) > want || float64(admitted) < want-2 {
		t.Errorf("a lone node admitted %d requests in 10 s, want %.0f", admitted, want)
	}
}

// Guards against a node that stays unhealthy without probes, or is probed for ever though nobody needs it.
func TestHealthProbesWhileNeeded(t *testing.T) {
	h := NewHealth()
	if !h.Set(epoch, Node{ID: "a"}, Silent) || h.Set(epoch, Node{ID: "a"}, Silent) || !h.Set(epoch, Node{ID: "a"}, Gone) {
		t.Error("a change of the condition was not reported, or one where there was none")
	}
	if h.Get(epoch.Add(time.Second), "a") != Gone || len(h.Probes(epoch.Add(2*time.Second))) != 1 {
		t.Error("a node that is gone and in use is not probed")
	}
	if len(h.Probes(epoch.Add(2*forgetHealth))) != 0 || h.Get(epoch.Add(2*forgetHealth), "a") != Unknown {
		t.Error("a node that nobody asked for is not forgotten")
	}
	h.Set(epoch, Node{ID: "b"}, Silent)
	if !h.Clear("b") || h.Get(epoch, "b") != Unknown {
		t.Error("a node that answers is not healthy")
	}
}
