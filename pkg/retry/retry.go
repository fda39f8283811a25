// Package retry decides whether a failed attempt is retried. It does no I/O; the time is passed in. A Decider is not
// safe for concurrent use.
package retry

import (
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/idempotency"
	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
)

// Defaults of Settings.
const (
	// DefaultRatio limits retries to a tenth of the successes, so that they add at most 10% to the load.
	DefaultRatio = 0.1
	// DefaultBurst is the maximum number of retries that successes save up.
	DefaultBurst = 100
	// DefaultFloor is the number of retries per second that are allowed without successes: at low request rates the
	// ratio alone would deny the first retry after a start.
	DefaultFloor = 0.2
	// DefaultFloorBurst is the maximum number of such retries that are saved up.
	DefaultFloorBurst = 3
	// DefaultMinRemaining is the time to the deadline below which another attempt is unlikely to finish.
	DefaultMinRemaining = 2 * time.Millisecond
)

// Settings configure a Decider. Zero values mean the defaults.
type Settings struct {
	// Ratio is the number of retries that each success adds to the budget, and Burst the maximum that successes save up.
	Ratio float64
	Burst float64
	// Floor is the number of retries per second that are allowed without successes, and FloorBurst the maximum of these
	// that are saved up.
	Floor      float64
	FloorBurst float64
	// MinRemaining is the time to the deadline below which no retry is made.
	MinRemaining time.Duration
	// BudgetPerRequest adds to the budget for each request instead of each success. Retries then stay the same fraction
	// of the load when many requests fail, which is when they help.
	BudgetPerRequest bool
	// FreeReroutes is the number of times that a call that has not reached a backend server may be sent to another node
	// without taking from the budget; 0 means that such a call is treated like any other.
	FreeReroutes int
	// MeshBurst is the maximum number of retries that all nodes of the mesh together save up for one service, if not zero.
	// Each node then saves up its share only; see Budgets.SetNodes.
	MeshBurst float64
	// Unlimited turns the budget off, as a baseline for comparison. The rules for safe retries and the deadline still
	// apply.
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

// floorShare is the share in Settings.MeshBurst from which a node may save up a retry without requests. Smaller shares
// are needed for the retries that requests save up.
const floorShare = 4

// forNodes returns the settings of one out of n nodes; n is zero while it is unknown. A restarted process starts with the
// retries of its floor, so that in a large mesh, which has none, processes that restart together add no burst. A node
// saves up one retry at least: with less it could not retry at all.
func (s Settings) forNodes(n int) Settings {
	if s.MeshBurst == 0 {
		return s
	}
	share := 0.0
	if n > 0 {
		share = s.MeshBurst / float64(n)
	}
	if share < floorShare {
		s.Floor, s.FloorBurst = 0, 0
	}
	s.Burst = min(s.Burst, max(1, share-s.FloorBurst))
	return s
}

// Attempt describes a failed attempt.
type Attempt struct {
	// Cause is the reason that is counted if the attempt is retried.
	Cause   metric.Retry
	Outcome idempotency.Outcome
	// Idempotent states that running the request twice does no harm.
	Idempotent bool
	// Retries is the number of retries already made.
	Retries    int
	MaxRetries int
	Deadline   time.Time
	// ReachedBackend states that a backend server received the attempt. An attempt that a node refused before that puts
	// no load on backend servers, so Settings.FreeReroutes lets it be retried without the budget.
	ReachedBackend bool
	// RetriedBelow states that a later hop of the call has made or denied a retry, or that the call is itself a retry by
	// an earlier hop.
	RetriedBelow bool
}

// Decision tells whether to retry. Reason is counted in either case.
type Decision struct {
	Retry  bool
	Reason metric.Retry
}

// Decider holds a retry budget and decides which attempts are retried. The budget consists of tokens, one for each
// retry: tokens are those from successes, floorTokens those from Settings.Floor.
type Decider struct {
	settings    Settings
	tokens      float64
	floorTokens float64
	refilledAt  time.Time
}

// New returns a Decider that at first allows FloorBurst retries; successes have not saved up any yet.
func New(s Settings) *Decider { return newDecider(s.withDefaults()) }

// newDecider returns a Decider with settings in which zero stands for itself.
func newDecider(s Settings) *Decider {
	return &Decider{settings: s, floorTokens: s.FloorBurst}
}

// update replaces the settings. Retries saved up beyond the new limits are lost.
func (d *Decider) update(s Settings) {
	d.settings = s
	d.tokens, d.floorTokens = min(d.tokens, s.Burst), min(d.floorTokens, s.FloorBurst)
}

// Success counts a request that was answered.
func (d *Decider) Success() {
	if !d.settings.BudgetPerRequest {
		d.deposit()
	}
}

// Request counts a request before its first attempt.
func (d *Decider) Request() {
	if d.settings.BudgetPerRequest {
		d.deposit()
	}
}

// deposit adds the tokens for one success or request.
func (d *Decider) deposit() { d.tokens = min(d.settings.Burst, d.tokens+d.settings.Ratio) }

// Decide tells whether to retry the attempt and takes the retry from the budget if it needs one.
func (d *Decider) Decide(now time.Time, a Attempt) Decision {
	switch {
	case a.Outcome == idempotency.OutcomeAnswered:
		return Decision{Reason: metric.DeniedNotIdempotent}
	case a.Outcome == idempotency.OutcomeUnknown && !a.Idempotent:
		return Decision{Reason: metric.DeniedNotIdempotent}
	case a.RetriedBelow:
		return Decision{Reason: metric.DeniedRetriedBelow}
	case a.Outcome == idempotency.OutcomeNotRun && !a.ReachedBackend && a.Retries < d.settings.FreeReroutes &&
		a.Deadline.Sub(now) >= d.settings.MinRemaining:
		return Decision{Retry: true, Reason: a.Cause}
	case a.Retries >= a.MaxRetries:
		return Decision{Reason: metric.DeniedMaxRetries}
	case a.Deadline.Sub(now) < d.settings.MinRemaining:
		return Decision{Reason: metric.DeniedDeadline}
	case !d.settings.Unlimited && !d.withdraw(now):
		return Decision{Reason: metric.DeniedBudget}
	}
	return Decision{Retry: true, Reason: a.Cause}
}

// withdraw takes one token and reports whether one was left.
func (d *Decider) withdraw(now time.Time) bool {
	if !d.refilledAt.IsZero() {
		d.floorTokens = min(d.settings.FloorBurst, d.floorTokens+now.Sub(d.refilledAt).Seconds()*d.settings.Floor)
	}
	d.refilledAt = now
	switch {
	case d.tokens >= 1:
		d.tokens--
	case d.floorTokens >= 1:
		d.floorTokens--
	default:
		return false
	}
	return true
}
