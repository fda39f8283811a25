package admission

import (
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/config"
)

const (
	// averageWeight is the weight of a new sample; the average follows a change within about ten samples.
	averageWeight = 0.125
	// refusalDecay shrinks an estimate that refuses work. Refused work gives no new samples, so an estimate that is
	// too high would otherwise refuse its policy for ever.
	refusalDecay = 0.98
)

// average is a moving average of service time with its mean deviation, in seconds.
type average struct{ mean, deviation float64 }

func (a *average) add(took time.Duration) {
	s := took.Seconds()
	if a.mean == 0 {
		a.mean, a.deviation = s, s/4
		return
	}
	diff := s - a.mean
	a.mean += averageWeight * diff
	a.deviation += averageWeight * (max(diff, -diff) - a.deviation)
}

// estimates holds an average for each policy, and one for each rank for policies without samples.
type estimates struct {
	deviations float64
	policies   map[string]*average
	ranks      [Ranks]average
}

func (e *estimates) add(w Request, took time.Duration) {
	if took <= 0 {
		return
	}
	e.ranks[w.Rank].add(took)
	a := e.policies[w.Policy]
	if a == nil {
		if len(e.policies) >= config.MaxPolicies {
			// Names of withdrawn policies stay behind; those in use are learnt again within a few samples.
			clear(e.policies)
		}
		a = new(average)
		e.policies[w.Policy] = a
	}
	a.add(took)
}

func (e *estimates) of(w Request) *average {
	if a := e.policies[w.Policy]; a != nil {
		return a
	}
	return &e.ranks[w.Rank]
}

// service returns the estimated service time of w, on the high side.
func (e *estimates) service(w Request) time.Duration {
	a := e.of(w)
	return seconds(a.mean + e.deviations*a.deviation)
}

// tooSlow reports whether w could not finish in time even if it started now, and lets the estimate fall if so. It goes
// by the mean alone: a free slot is better used for work that may be late than for none.
func (e *estimates) tooSlow(now time.Time, w Request) bool {
	a := e.of(w)
	if w.Deadline.IsZero() || now.Add(seconds(a.mean)).Before(w.Deadline) {
		return false
	}
	if now.Before(w.Deadline) {
		a.mean *= refusalDecay
		a.deviation *= refusalDecay
	}
	return true
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
