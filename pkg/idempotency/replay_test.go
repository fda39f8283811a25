package idempotency

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
)

// The simulated day: an ordinary day at the size that the system is designed for.
const (
	replaySeed      = 20261204
	replayInstances = 2100
	replayServices  = 61
	replayCrashes   = 5
	replayRestarts  = 230
	replayDay       = 24 * time.Hour
	// While a membership change matters, replayKeys keys are sampled at intervals of replayStep.
	replayStep = 5 * time.Second
	replayKeys = 200
	// newsDelay is the time until a node learns of a change, crashDelay the additional time until a crash is detected.
	newsDelay  = time.Second
	crashDelay = 10 * time.Second
	// awayTime is how long an instance is down when it restarts.
	awayTime = 20 * time.Second
)

// outage is the time between two incarnations of an instance.
type outage struct {
	service, index int
	at             time.Duration
	planned        bool
}

// tally counts sampled keyed requests by their result, and the holders that they must claim at.
type tally struct {
	platform, homeDead, unknown, unavailable, holders, samples float64
}

// drawDay returns the random outages of a day for each service, ordered by time.
func drawDay(rng *rand.Rand, crashes, restarts int) [][]outage {
	day := make([][]outage, replayServices)
	for k := range crashes + restarts {
		i := rng.IntN(replayInstances)
		s := i % replayServices
		o := outage{service: s, index: i / replayServices, at: time.Duration(rng.Int64N(int64(replayDay))), planned: k >= crashes}
		day[s] = append(day[s], o)
	}
	for _, s := range day {
		slices.SortFunc(s, func(a, b outage) int { return int(a.at - b.at) })
	}
	return day
}

// spansAt returns the membership of a service as a node that has been up all day knows it, and the instances that are
// down, whether the node knows it or not.
func spansAt(start time.Time, outages []outage, size int, now time.Duration) (spans []membership.Span, down map[membership.InstanceID]bool) {
	down = make(map[membership.InstanceID]bool)
	live := make([]membership.Span, size)
	for i := range live {
		live[i] = membership.Span{Joined: start.Add(-24 * time.Hour), Instance: membership.Instance{
			ID: membership.InstanceID(fmt.Sprint("h", i)), AvailabilityZone: fmt.Sprint(i % benchZones),
			State: membership.StateReady, Incarnation: 1}}
	}
	gone := make([]bool, size)
	for _, o := range outages {
		learned := o.at + newsDelay
		if !o.planned {
			learned += crashDelay
		}
		if back := o.at + max(awayTime, learned-o.at); o.at <= now && now < back {
			down[live[o.index].Instance.ID] = true
		}
		if learned > now {
			continue
		}
		s := live[o.index]
		s.Departed, s.Instance.State, s.Instance.HandedOver = start.Add(learned), membership.StateDeparted, o.planned
		spans = append(spans, s)
		live[o.index].Instance.Incarnation++
		back := learned + awayTime
		live[o.index].Joined, gone[o.index] = start.Add(back), back > now
	}
	for i, s := range live {
		if !gone[i] {
			spans = append(spans, s)
		}
	}
	return spans, down
}

// sample adds one request with the key.
func (c *tally) sample(r *Roster, down map[membership.InstanceID]bool, key Key) {
	c.samples++
	home, ok := r.Home(key)
	if !ok || down[home.ID] {
		c.homeDead++
		return
	}
	p := r.Plan(key)
	holders := p.Holders()
	c.holders += float64(len(holders)) - 1 // The home itself costs no call.
	v := p.Judge(func(i int) Standing {
		switch s := p.standing(i); {
		case s != StandingReachable:
			return s
		case down[p.roster.members[i].instance.ID]:
			return StandingUnreachable
		}
		return StandingHeld
	})
	switch v {
	case VerdictPlatform:
		c.platform++
	case VerdictLost:
		c.unknown++
	case VerdictUnavailable:
		c.unavailable++
	}
}

// replay samples keys of all services during the day. At times when no membership change matters any more, no key needs
// the platform, and the result is counted without a computation.
func replay(crashes, restarts int) tally {
	rng := rand.New(rand.NewPCG(replaySeed, 0))
	start := time.Now()
	var total tally
	for s, outages := range drawDay(rng, crashes, restarts) {
		size := replayInstances / replayServices
		if s < replayInstances%replayServices {
			size++
		}
		for now := time.Duration(0); now < replayDay; now += replayStep {
			recent := func(o outage) bool { return o.at <= now && now < o.at+time.Minute+testTiming.Memory() }
			if !slices.ContainsFunc(outages, recent) {
				total.samples += replayKeys
				total.holders += replayKeys
				continue
			}
			spans, down := spansAt(start, outages, size, now)
			r := NewRoster(spans, Claimant{}, start.Add(-24*time.Hour), start.Add(now), testTiming)
			for range replayKeys {
				total.sample(r, down, Key{byte(rng.Uint32()), byte(rng.Uint32()), byte(rng.Uint32()), byte(rng.Uint32())})
			}
		}
	}
	return total
}

// BenchmarkDayReplay computes the share of keyed requests that need the platform or are refused on a simulated day. Run
// it with -benchtime=1x.
func BenchmarkDayReplay(b *testing.B) {
	for _, c := range []struct {
		name              string
		crashes, restarts int
	}{
		{"day", replayCrashes, replayRestarts},
		{"crashes-only", replayCrashes, 0},
		{"all-crashes", replayCrashes + replayRestarts, 0},
	} {
		b.Run(c.name, func(b *testing.B) {
			for b.Loop() {
				t := replay(c.crashes, c.restarts)
				ppm := func(x float64) float64 { return 1e6 * x / t.samples }
				b.ReportMetric(ppm(t.platform), "ppm-platform")
				b.ReportMetric(ppm(t.unknown), "ppm-unknown")
				b.ReportMetric(ppm(t.unavailable), "ppm-unavailable")
				b.ReportMetric(ppm(t.homeDead), "ppm-home-dead")
				b.ReportMetric(t.holders/t.samples, "claims/req")
				// For comparison: with the record at the home only, the keys of an instance are refused from its loss
				// until a window after its return.
				refused := (testTiming.Window + awayTime).Seconds() * float64(c.crashes+c.restarts)
				b.ReportMetric(1e6*refused/replayDay.Seconds()/replayInstances, "ppm-refused-home-alone")
			}
		})
	}
}
