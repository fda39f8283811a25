// Package hedge decides when a request that may be repeated is sent to a second instance because the first one has not
// answered yet. It does no I/O; the time is passed in. A Planner is not safe for concurrent use.
package hedge

import (
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
)

// Defaults of Settings.
const (
	// DefaultQuantile is the quantile of the response times after which a second request is sent.
	DefaultQuantile = 0.95
	// DefaultBurst is the maximum number of second requests that a node saves up for one service.
	DefaultBurst = 4
	// minSamples is the number of responses from which on the quantile is used.
	minSamples = 64
	// minDelay is the shortest wait before a second request. A shorter one would mostly repeat requests whose response is
	// on its way.
	minDelay = 5 * time.Millisecond
)

// Settings configure a Planner. Zero values other than Share mean the defaults.
type Settings struct {
	// Share limits the second requests of each service to this fraction of its requests; zero turns hedging off.
	Share float64
	// Burst is the maximum number of second requests that requests save up.
	Burst float64
	// Quantile is the quantile of the response times of a kind of request after which a second one is sent.
	Quantile float64
}

// Kind identifies requests whose response times are comparable.
type Kind struct{ Service, Policy string }

// Candidate describes a request that has waited for Planner.Delay without a response.
type Candidate struct {
	Kind Kind
	// Left is the time until the deadline of the request.
	Left time.Duration
	// HasRoom states that another instance was found that has an idle slot.
	HasRoom bool
}

// Planner holds the response times of each kind of request and the budget of each service.
type Planner struct {
	settings Settings
	kinds    map[Kind]*quantiles
	budgets  map[string]float64
}

// New returns a Planner without observations.
func New(s Settings) *Planner {
	if s.Quantile == 0 {
		s.Quantile = DefaultQuantile
	}
	if s.Burst == 0 {
		s.Burst = DefaultBurst
	}
	return &Planner{settings: s, kinds: make(map[Kind]*quantiles), budgets: make(map[string]float64)}
}

// Enabled reports whether second requests are sent at all.
func (p *Planner) Enabled() bool { return p.settings.Share > 0 }

// Delay counts a request and returns how long to wait for its response before a second one is considered. It returns
// false if too few responses have been observed.
func (p *Planner) Delay(k Kind) (time.Duration, bool) {
	p.budgets[k.Service] = min(p.settings.Burst, p.budgets[k.Service]+p.settings.Share)
	q := p.kinds[k]
	if q == nil || q.total < minSamples {
		return 0, false
	}
	return max(min(q.value(p.settings.Quantile), maxMedians*q.value(medianQuantile)), minDelay), true
}

// maxMedians limits the wait to a multiple of the median. Where more requests are slow than the quantile leaves out, the quantile
// is the time of the slow ones.
const maxMedians = 3

// Observe adds the response time of a first request. One whose second request was answered first is left out, since its
// response time is not known.
func (p *Planner) Observe(k Kind, took time.Duration) {
	q := p.kinds[k]
	if q == nil {
		if len(p.kinds) >= maxKinds {
			clear(p.kinds)
		}
		q = &quantiles{}
		p.kinds[k] = q
	}
	q.add(took)
}

// maxKinds bounds the memory. Kinds come from the configuration, so that the bound is reached only when configurations with
// many policies follow each other.
const maxKinds = 4096

// Decide tells whether to send a second request and takes it from the budget of the service. It returns the reason under
// which the decision is counted.
func (p *Planner) Decide(c Candidate) (bool, metric.Hedge) {
	q := p.kinds[c.Kind]
	switch {
	case q == nil || c.Left < q.value(medianQuantile):
		return false, metric.HedgeDeniedDeadline
	case !c.HasRoom:
		return false, metric.HedgeDeniedNoRoom
	case p.budgets[c.Kind.Service] < 1:
		return false, metric.HedgeDeniedBudget
	}
	p.budgets[c.Kind.Service]--
	return true, metric.HedgeSent
}

// medianQuantile is the quantile that a second request is expected to take. With less time left, it would mostly be in vain.
const medianQuantile = 0.5
