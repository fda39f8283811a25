// Package retry decides whether a failed attempt is sent again. It is pure: the time is passed in. A Decider is not
// safe for concurrent use.
package retry

import (
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/idempotency"
	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
)

// Defaults of Settings.
const (
	// DefaultRatio bounds retries to a tenth of the successes, so that they add at most 10% to the load.
	DefaultRatio = 0.1
	// DefaultBurst bounds the retries that a long run of successes saves up.
	DefaultBurst = 100
	// DefaultFloor is the retries a second that are allowed without successes: at low rates the ratio alone would
	// deny the first retry after a start.
	DefaultFloor      = 0.2
	DefaultFloorBurst = 3
	// DefaultMinRemaining is the time below which another attempt can hardly end before the deadline.
	DefaultMinRemaining = 2 * time.Millisecond
)

// Settings of a Decider. Zero values stand for the defaults.
type Settings struct {
	Ratio        float64
	Burst        float64
	Floor        float64
	FloorBurst   float64
	MinRemaining time.Duration
	// BudgetPerRequest pays each request into the budget instead of each success. Retries then stay the same part of the load when
	// many requests fail, which is when they help.
	BudgetPerRequest bool
	// FreeReroutes is how often a call that no backend server has seen may go on to another node without a budget; 0 means that
	// such a call counts like any other.
	FreeReroutes int
	// Unlimited is the baseline without a budget. Safety rules and the deadline hold all the same.
	Unlimited bool
}

func (s Settings) withDefaults() Settings {
	for _, f := range []struct {
		v   *float64
		def float64
	}{{&s.Ratio, DefaultRatio}, {&s.Burst, DefaultBurst}, {&s.Floor, DefaultFloor}, {&s.FloorBurst, DefaultFloorBurst}} {
		if *f.v == 0 {
			*f.v = f.def
		}
	}
	if s.MinRemaining == 0 {
		s.MinRemaining = DefaultMinRemaining
	}
	return s
}

// Attempt describes a failed attempt.
type Attempt struct {
	// Cause is counted as the reason if the attempt is retried.
	Cause   metric.Retry
	Outcome idempotency.Outcome
	// Idempotent states that running the request twice is harmless.
	Idempotent bool
	// Retries is the number of retries already made.
	Retries    int
	MaxRetries int
	Deadline   time.Time
	// ReachedBackend states that the attempt reached a backend server. One that a node refused before adds no load where load
	// hurts; Settings.Moves lets it go on without a budget.
	ReachedBackend bool
	// RetriedBelow states that a lower hop has retried the call, or that the call is itself a retry of an upper hop.
	RetriedBelow bool
}

// Decision tells whether to retry; Reason is counted in either case.
type Decision struct {
	Retry  bool
	Reason metric.Retry
}

// Decider holds the budget of one node.
type Decider struct {
	set       Settings
	tokens    float64
	floor     float64
	refreshed time.Time
}

// New returns a Decider with a full floor and no saved budget.
func New(s Settings) *Decider {
	s = s.withDefaults()
	return &Decider{set: s, floor: s.FloorBurst}
}

// Success counts a request that was answered.
func (d *Decider) Success() {
	if !d.set.BudgetPerRequest {
		d.earn()
	}
}

// Request counts a request, before its first attempt.
func (d *Decider) Request() {
	if d.set.BudgetPerRequest {
		d.earn()
	}
}

func (d *Decider) earn() { d.tokens = min(d.set.Burst, d.tokens+d.set.Ratio) }

// Decide takes one retry from the budget if the attempt may be retried.
func (d *Decider) Decide(now time.Time, a Attempt) Decision {
	switch {
	case a.Outcome == idempotency.OutcomeAnswered:
		return Decision{Reason: metric.DeniedNotIdempotent}
	case a.Outcome == idempotency.OutcomeUnknown && !a.Idempotent:
		return Decision{Reason: metric.DeniedNotIdempotent}
	case a.RetriedBelow:
		return Decision{Reason: metric.DeniedRetriedBelow}
	case a.Outcome == idempotency.OutcomeNotRun && !a.ReachedBackend && a.Retries < d.set.FreeReroutes && a.Deadline.Sub(now) >= d.set.MinRemaining:
		return Decision{Retry: true, Reason: a.Cause}
	case a.Retries >= a.MaxRetries:
		return Decision{Reason: metric.DeniedMaxRetries}
	case a.Deadline.Sub(now) < d.set.MinRemaining:
		return Decision{Reason: metric.DeniedDeadline}
	case !d.set.Unlimited && !d.spend(now):
		return Decision{Reason: metric.DeniedBudget}
	}
	return Decision{Retry: true, Reason: a.Cause}
}

func (d *Decider) spend(now time.Time) bool {
	if !d.refreshed.IsZero() {
		d.floor = min(d.set.FloorBurst, d.floor+now.Sub(d.refreshed).Seconds()*d.set.Floor)
	}
	d.refreshed = now
	switch {
	case d.tokens >= 1:
		d.tokens--
	case d.floor >= 1:
		d.floor--
	default:
		return false
	}
	return true
}
