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
	daySeed      = 20261204
	dayInstances = 2100
	dayServices  = 61
	dayCrashes   = 5
	dayRestarts  = 230
	dayLength    = 24 * time.Hour
	// While a membership change matters, keysPerSample keys are sampled at intervals of sampleInterval.
	sampleInterval = 5 * time.Second
	keysPerSample  = 200
	// propagationDelay is the time until a node learns of a change, crashDetectionDelay the additional time until a crash
	// is detected.
	propagationDelay    = time.Second
	crashDetectionDelay = 10 * time.Second
	// restartDuration is how long an instance is down when it restarts.
	restartDuration = 20 * time.Second
)

// outage is the time between two incarnations of an instance.
type outage struct {
	service, index int
	at             time.Duration
	planned        bool
}

// dayCounts counts sampled keyed requests by their result, and the holders that they must claim at.
type dayCounts struct {
	platform, homeDead, unknown, unavailable, holders, samples float64
}

// drawDay returns the random outages of a day for each service, ordered by time.
func drawDay(rng *rand.Rand, crashes, restarts int) [][]outage {
	day := make([][]outage, dayServices)
	for k := range crashes + restarts {
		i := rng.IntN(dayInstances)
		s := i % dayServices
		o := outage{service: s, index: i / dayServices, at: time.Duration(rng.Int64N(int64(dayLength))), planned: k >= crashes}
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
		learned := o.at + propagationDelay
		if !o.planned {
			learned += crashDetectionDelay
		}
		if back := o.at + max(restartDuration, learned-o.at); o.at <= now && now < back {
			down[live[o.index].Instance.ID] = true
		}
		if learned > now {
			continue
		}
		s := live[o.index]
		s.Departed, s.Instance.State, s.Instance.HandedOver = start.Add(learned), membership.StateDeparted, o.planned
		spans = append(spans, s)
		live[o.index].Instance.Incarnation++
		back := learned + restartDuration
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
func (c *dayCounts) sample(history *MembershipHistory, down map[membership.InstanceID]bool, key Key) {
	c.samples++
	home, ok := history.Home(key)
	if !ok || down[home.ID] {
		c.homeDead++
		return
	}
	p := history.Plan(key)
	holders := p.Holders()
	c.holders += float64(len(holders)) - 1 // The home itself costs no call.
	decision := p.Evaluate(func(i int) HolderStatus {
		switch s := p.initialStatus(i); {
		case s != HolderReachable:
			return s
		case down[p.history.members[i].instance.ID]:
			return HolderUnreachable
		}
		return HolderHasRecord
	})
	switch decision {
	case DecisionNeedsPlatform:
		c.platform++
	case DecisionRecordLost:
		c.unknown++
	case DecisionUnavailable:
		c.unavailable++
	}
}

// simulateDay samples keys of all services during the day. At times when no membership change matters any more, no key
// needs the platform, and the result is counted without a computation.
func simulateDay(crashes, restarts int) dayCounts {
	rng := rand.New(rand.NewPCG(daySeed, 0))
	start := time.Now()
	var total dayCounts
	for s, outages := range drawDay(rng, crashes, restarts) {
		size := dayInstances / dayServices
		if s < dayInstances%dayServices {
			size++
		}
		for now := time.Duration(0); now < dayLength; now += sampleInterval {
			recent := func(o outage) bool { return o.at <= now && now < o.at+time.Minute+testTiming.HistoryRetention() }
			if !slices.ContainsFunc(outages, recent) {
				total.samples += keysPerSample
				total.holders += keysPerSample
				continue
			}
			spans, down := spansAt(start, outages, size, now)
			history := NewMembershipHistory(spans, Claimant{}, start.Add(-24*time.Hour), start.Add(now), testTiming)
			for range keysPerSample {
				total.sample(history, down, Key{byte(rng.Uint32()), byte(rng.Uint32()), byte(rng.Uint32()), byte(rng.Uint32())})
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
		{"day", dayCrashes, dayRestarts},
		{"crashes-only", dayCrashes, 0},
		{"all-crashes", dayCrashes + dayRestarts, 0},
	} {
		b.Run(c.name, func(b *testing.B) {
			for b.Loop() {
				t := simulateDay(c.crashes, c.restarts)
				ppm := func(x float64) float64 { return 1e6 * x / t.samples }
				b.ReportMetric(ppm(t.platform), "ppm-platform")
				b.ReportMetric(ppm(t.unknown), "ppm-unknown")
				b.ReportMetric(ppm(t.unavailable), "ppm-unavailable")
				b.ReportMetric(ppm(t.homeDead), "ppm-home-dead")
				b.ReportMetric(t.holders/t.samples, "claims/req")
				// For comparison: with the record at the home only, the keys of an instance are refused from its loss
				// until a window after its return.
				refused := (testTiming.Window + restartDuration).Seconds() * float64(c.crashes+c.restarts)
				b.ReportMetric(1e6*refused/dayLength.Seconds()/dayInstances, "ppm-refused-home-alone")
			}
		})
	}
}
