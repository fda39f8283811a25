package hedge

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
)

// load is a stream of requests to servers that do not queue: each request takes the time that service returns for its server.
type load struct {
	requests int
	service  func(rng *rand.Rand, request, server int) time.Duration
	// busy, if set, reports that no other server has room for the request.
	busy func(request int) bool
}

// result holds the response times that callers see, in ascending order, and the number of second requests.
type result struct {
	times  []time.Duration
	second int
}

func (r result) quantile(q float64) time.Duration { return r.times[int(q*float64(len(r.times)-1))] }

const servers = 20

// play sends the requests of the load, with second requests up to the given share.
func play(l load, share float64) result {
	rng := rand.New(rand.NewPCG(1, 2))
	p := New(Settings{Share: share})
	k := Kind{Service: "desk", Policy: "lookup"}
	var out result
	for i := range l.requests {
		first, other := rng.IntN(servers), rng.IntN(servers)
		took, second := l.service(rng, i, first), l.service(rng, i, other)
		delay, ok := p.Delay(k)
		if ok && p.Enabled() && took > delay {
			candidate := Candidate{Kind: k, Left: time.Minute, HasRoom: first != other && (l.busy == nil || !l.busy(i))}
			if send, _ := p.Decide(candidate); send {
				out.second++
				if delay+second < took {
					out.times = append(out.times, delay+second)
					continue
				}
			}
		}
		p.Observe(k, took)
		out.times = append(out.times, took)
	}
	slices.Sort(out.times)
	return out
}

// usual is a service time of about 100 ms.
func usual(rng *rand.Rand) time.Duration {
	return time.Duration(float64(100*time.Millisecond) * math.Exp(0.3*rng.NormFloat64()))
}

// Guards against second requests that do not shorten the slowest responses, or that exceed their share, for the loads in which
// a few responses are slow: one slow server, servers that turn slow for 600 ms at a time, and a tail of long requests.
func TestSecondRequestsShortenTheSlowestResponses(t *testing.T) {
	const share = 0.05
	for name, l := range map[string]load{
		"one slow server": {requests: 20_000, service: func(rng *rand.Rand, _, server int) time.Duration {
			if server == 3 {
				return 5 * usual(rng)
			}
			return usual(rng)
		}},
		// With a request each millisecond, a server is slow in 600 of 4,000 requests.
		"servers turn slow for 600 ms": {requests: 20_000, service: func(rng *rand.Rand, request, server int) time.Duration {
			if (request/600+server)%7 == 0 {
				return 5 * usual(rng) / 2
			}
			return usual(rng)
		}},
		"3 in 100 take seven times as long": {requests: 20_000, service: func(rng *rand.Rand, _, _ int) time.Duration {
			if rng.Float64() < 0.03 {
				return 7 * usual(rng)
			}
			return usual(rng)
		}},
	} {
		without, with := play(l, 0), play(l, share)
		if without.second != 0 {
			t.Errorf("%s: %d second requests though they are off", name, without.second)
		}
		if limit := int(share*float64(l.requests)) + DefaultBurst; with.second > limit {
			t.Errorf("%s: %d second requests, want at most %d", name, with.second, limit)
		}
		if before, after := without.quantile(0.99), with.quantile(0.99); after >= before {
			t.Errorf("%s: 99th percentile %v without and %v with second requests", name, before, after)
		}
		t.Logf("%s: 99th percentile %v, with second requests %v; %d of %d sent twice", name, without.quantile(0.99), with.quantile(0.99),
			with.second, l.requests)
	}
}

// Guards against a delay that grows with each second request, or that is the time of the slow requests where one in ten is slow.
func TestSecondRequestsDoNotRaiseTheirDelay(t *testing.T) {
	const usualTime, slowTime = 100 * time.Millisecond, time.Second
	l := load{requests: 10_000, service: func(rng *rand.Rand, _, _ int) time.Duration {
		if rng.Float64() < 0.1 {
			return slowTime
		}
		return usualTime
	}}
	if r := play(l, 0.2); r.quantile(0.985) >= slowTime {
		t.Errorf("98.5th percentile %v with %d second requests, want less than %v", r.quantile(0.985), r.second, slowTime)
	}
}

// Guards against second requests that add load when all servers are slow: the usual time follows the load, and no server has
// room.
func TestSecondRequestsStopWhenAllServersAreSlow(t *testing.T) {
	const slowFrom, requests = 5_000, 10_000
	l := load{requests: requests, service: func(rng *rand.Rand, request, _ int) time.Duration {
		if request >= slowFrom {
			return 5 * usual(rng)
		}
		return usual(rng)
	}}
	without := play(load{requests: slowFrom, service: l.service}, 0.2).second
	if slow := play(l, 0.2).second - without; slow > (requests-slowFrom)/10+minSamples {
		t.Errorf("%d second requests for %d slow ones: the usual time does not follow the load", slow, requests-slowFrom)
	}
	l.busy = func(request int) bool { return request >= slowFrom }
	if slow := play(l, 0.2).second - without; slow > 0 {
		t.Errorf("%d second requests though no server has room", slow)
	}
}

// Guards against second requests beyond the share in a burst of slow responses, and against a budget that is saved up without
// bound.
func TestBudgetBoundsABurst(t *testing.T) {
	p, k := warm(Settings{Share: 0.01})
	for range 100_000 {
		p.Delay(k)
	}
	sent := 0
	for range 1_000 {
		if ok, _ := p.Decide(Candidate{Kind: k, Left: time.Minute, HasRoom: true}); ok {
			sent++
		}
	}
	if sent != DefaultBurst {
		t.Errorf("%d second requests in a burst, want %d", sent, DefaultBurst)
	}
}

// Guards against a second request that cannot be answered in time, that takes room from others, or that is not within the
// limits, and checks the reason that is counted.
func TestReasonsOfDecisions(t *testing.T) {
	p, k := warm(Settings{Share: 1})
	p.Delay(k)
	for reason, c := range map[metric.Hedge]Candidate{
		metric.HedgeDeniedDeadline: {Kind: k, Left: 50 * time.Millisecond, HasRoom: true},
		metric.HedgeDeniedNoRoom:   {Kind: k, Left: time.Minute},
		metric.HedgeDeniedBudget:   {Kind: Kind{Service: "other", Policy: k.Policy}, Left: time.Minute, HasRoom: true},
		metric.HedgeSent:           {Kind: k, Left: time.Minute, HasRoom: true},
	} {
		p.Observe(c.Kind, 100*time.Millisecond)
		if ok, got := p.Decide(c); got != reason || ok != (reason == metric.HedgeSent) {
			t.Errorf("%+v: sent %v, %s, want %s", c, ok, got, reason)
		}
	}
}

// Guards against second requests before enough is known of the response times, and against memory that grows with the number of
// configurations.
func TestPlannerNeedsSamplesAndIsBounded(t *testing.T) {
	p := New(Settings{Share: 1})
	k := Kind{Service: "desk", Policy: "lookup"}
	for range minSamples - 1 {
		p.Observe(k, time.Millisecond)
	}
	if d, ok := p.Delay(k); ok {
		t.Errorf("delay %v after %d responses", d, minSamples-1)
	}
	for i := range 3 * maxKinds {
		p.Observe(Kind{Service: "desk", Policy: string(rune(i))}, time.Millisecond)
	}
	if len(p.kinds) > maxKinds {
		t.Errorf("%d kinds are kept", len(p.kinds))
	}
}

// warm returns a planner that has seen responses of 100 ms.
func warm(s Settings) (*Planner, Kind) {
	p, k := New(s), Kind{Service: "desk", Policy: "lookup"}
	for range 2 * minSamples {
		p.Observe(k, 100*time.Millisecond)
	}
	return p, k
}
