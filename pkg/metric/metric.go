// Package metric holds the counters, gauges and histograms of a process. Names and reasons come from fixed lists, so
// that no metric name can contain data sent by a caller.
package metric

import (
	"fmt"
	"net/http"

	"github.com/rcrowley/go-metrics"
)

// Refusal is the reason for which a request was refused.
type Refusal string

// Reasons for refusals; docs/reasons.md describes them. NotRun tells which of them guarantee that the backend server
// has not run the request.
const (
	RefusedNotReady            Refusal = "not_ready"
	RefusedNoRoute             Refusal = "no_route"
	RefusedUnknownKey          Refusal = "unknown_key"        // no valid API key on a route that is not public
	RefusedConfigUnconfirmed   Refusal = "config_unconfirmed" // the node may lack the newest API keys or revocations
	RefusedQuotaExceeded       Refusal = "quota_exceeded"     // beyond the requests a second of the tenant
	RefusedNoInstance          Refusal = "no_instance"
	RefusedMalformed           Refusal = "malformed"
	RefusedTooLarge            Refusal = "too_large"
	RefusedForbidden           Refusal = "forbidden"
	RefusedQueueFull           Refusal = "queue_full"
	RefusedRateLimited         Refusal = "rate_limited" // beyond the limit that the backend server names
	RefusedBodyMemory          Refusal = "body_memory"  // the memory for bodies is used up
	RefusedDeadline            Refusal = "deadline"
	RefusedDisplaced           Refusal = "displaced"    // lost its place in the queue to another request
	RefusedTenantShare         Refusal = "tenant_share" // lost its place in the queue to a tenant that has used less
	RefusedBackendSlow         Refusal = "backend_slow" // the backend server has turned slow; another one may be in time
	RefusedDraining            Refusal = "draining"
	RefusedStopping            Refusal = "stopping" // the node stops before the deadline of the request
	RefusedWrongService        Refusal = "wrong_service"
	RefusedVersionClosed       Refusal = "version_closed" // a roll-out gives the version of the instance no requests, or no more
	RefusedBackendShed         Refusal = "backend_shed"   // rejected by the backend server because of its load
	RefusedConnectFailed       Refusal = "connect_failed"
	RefusedTooManyHops         Refusal = "too_many_hops"
	RefusedKeyMismatch         Refusal = "key_mismatch" // the idempotency key was used for a different request
	RefusedKeyRunning          Refusal = "key_running"
	RefusedKeyClaimUnavailable Refusal = "key_claim_unavailable"
	RefusedKeyClaimConflict    Refusal = "key_claim_conflict"
	RefusedKeyNotHome          Refusal = "key_not_home" // the node is not the one that requests with the key go to
	RefusedKeyCapacity         Refusal = "key_capacity" // no room for another key
	RefusedOutcomeUnknown      Refusal = "outcome_unknown"
	RefusedAnswerBroken        Refusal = "answer_broken"
	RefusedCallerGone          Refusal = "caller_gone"
	RefusedAnswerNotKept       Refusal = "answer_not_kept" // the request has run before, but its response was not stored
	RefusedVersionMismatch     Refusal = "version_mismatch"
	RefusedSyncLimited         Refusal = "sync_limited" // a relay told the node to poll later
	RefusedHeadTooLarge        Refusal = "head_too_large"
	RefusedHeadTimeout         Refusal = "head_timeout"
	RefusedHeadMemory          Refusal = "head_memory" // the memory for request heads is used up
)

// Refusals lists all reasons for refusals.
var Refusals = []Refusal{
	RefusedNotReady, RefusedNoRoute, RefusedUnknownKey, RefusedConfigUnconfirmed, RefusedQuotaExceeded, RefusedNoInstance, RefusedMalformed, RefusedTooLarge, RefusedForbidden,
	RefusedQueueFull, RefusedRateLimited, RefusedBodyMemory, RefusedDeadline, RefusedDisplaced, RefusedTenantShare, RefusedBackendSlow, RefusedDraining, RefusedStopping, RefusedWrongService,
	RefusedVersionClosed, RefusedBackendShed, RefusedConnectFailed, RefusedTooManyHops, RefusedKeyMismatch, RefusedKeyRunning,
	RefusedKeyClaimUnavailable, RefusedKeyClaimConflict,
	RefusedKeyNotHome, RefusedKeyCapacity, RefusedOutcomeUnknown, RefusedAnswerBroken, RefusedCallerGone,
	RefusedAnswerNotKept, RefusedVersionMismatch, RefusedSyncLimited,
	RefusedHeadTooLarge, RefusedHeadTimeout, RefusedHeadMemory,
}

// NotRun reports whether the reason guarantees that the backend server has not run the request.
func (r Refusal) NotRun() bool {
	switch r {
	case RefusedOutcomeUnknown, RefusedKeyRunning, RefusedAnswerNotKept, RefusedAnswerBroken:
		return false
	}
	return true
}

// Retry is the reason for which a request was retried, or for which a possible retry was denied.
type Retry string

// Reasons for retries, and for denied retries; docs/reasons.md describes them.
const (
	RetryNotRun           Retry = "not_run"
	RetryConnectFailed    Retry = "connect_failed"
	RetryAttemptTimeout   Retry = "attempt_timeout"
	RetryAnswerBroken     Retry = "answer_broken"
	RetryBackendStatus    Retry = "backend_status"
	DeniedBudget          Retry = "denied_budget"
	DeniedDeadline        Retry = "denied_deadline"
	DeniedMaxRetries      Retry = "denied_max_retries"
	DeniedNotIdempotent   Retry = "denied_not_idempotent"
	DeniedRetriedBelow    Retry = "denied_retried_below" // a later hop has retried the call, or an earlier hop is doing so
	DeniedNoOtherInstance Retry = "denied_no_other_instance"
	RetryKeyClaimRace     Retry = "key_claim_race"
	RetryControlCall      Retry = "control_call"
	RetryPlatformRequest  Retry = "platform_request"
	RetryHedge            Retry = "hedge"
)

// Retries lists all reasons for retries and denied retries.
var Retries = []Retry{
	RetryNotRun, RetryConnectFailed, RetryAttemptTimeout, RetryAnswerBroken, RetryBackendStatus, DeniedBudget,
	DeniedDeadline, DeniedMaxRetries,
	DeniedNotIdempotent, DeniedRetriedBelow, DeniedNoOtherInstance, RetryKeyClaimRace, RetryControlCall,
	RetryPlatformRequest, RetryHedge,
}

// Set holds the metrics of one process.
type Set struct {
	registry metrics.Registry
	refusals map[Refusal]metrics.Counter
	retries  map[Retry]metrics.Counter
	hedges   map[Hedge]metrics.Counter
}

// NewSet returns a set in which the counter of every reason exists and is zero.
func NewSet() *Set {
	s := &Set{
		registry: metrics.NewRegistry(),
		refusals: make(map[Refusal]metrics.Counter, len(Refusals)),
		retries:  make(map[Retry]metrics.Counter, len(Retries)),
		hedges:   make(map[Hedge]metrics.Counter, len(Hedges)),
	}
	for _, r := range Refusals {
		s.refusals[r] = metrics.NewRegisteredCounter("refused."+string(r), s.registry)
	}
	for _, r := range Retries {
		s.retries[r] = metrics.NewRegisteredCounter("retry."+string(r), s.registry)
	}
	for _, h := range Hedges {
		s.hedges[h] = metrics.NewRegisteredCounter("hedge."+string(h), s.registry)
	}
	return s
}

// CountRefusal counts one refusal.
func (s *Set) CountRefusal(r Refusal) { inc(s.refusals[r], "refusal", string(r)) }

// CountRetry counts one retry or one denied retry.
func (s *Set) CountRetry(r Retry) { inc(s.retries[r], "retry", string(r)) }

// inc panics if the reason is not in its list: this is a programming error, which any test of that code path reveals.
func inc(c metrics.Counter, list, reason string) {
	if c == nil {
		panic(fmt.Sprintf("metric: %s reason %q is not in the list of reasons", list, reason))
	}
	c.Inc(1)
}

// Counter returns the counter with the given name and registers it on first use. The name must not contain data sent by
// a caller.
func (s *Set) Counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, s.registry)
}

// Gauge returns the gauge with the given name and registers it on first use. The name must not contain data sent by a
// caller.
func (s *Set) Gauge(name string) metrics.Gauge {
	return metrics.GetOrRegisterGauge(name, s.registry)
}

// ServeHTTP writes all metrics as JSON.
func (s *Set) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	metrics.WriteJSONOnce(s.registry, w)
}

// Snapshot returns the values of the counters and gauges by name.
func (s *Set) Snapshot() map[string]int64 {
	out := make(map[string]int64)
	s.registry.Each(func(name string, v any) {
		switch m := v.(type) {
		case metrics.Counter:
			out[name] = m.Count()
		case metrics.Gauge:
			out[name] = m.Value()
		}
	})
	return out
}
