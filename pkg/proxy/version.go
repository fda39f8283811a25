package proxy

import (
	"net/http"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/idempotency"
	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
	"github.com/monsoonlatch/monsoonlatch/pkg/rollout"
	"github.com/monsoonlatch/monsoonlatch/pkg/upstream"
)

// VersionChooser limits the instances that a request may be sent to while a version is rolled out.
type VersionChooser interface {
	// Choose returns the instances to choose among, and those to choose among if none of them can take the request. Both are nil
	// if the service has no roll-out. retry is set for a further attempt of a request.
	Choose(service string, retry bool) (prefer, fallback rollout.Filter)
}

// VersionGate decides which requests the instance beside this node gets while a version is rolled out.
type VersionGate interface {
	// Enter returns the right to send one request to the instance, or nil. Each right is ended with Leave.
	Enter(now time.Time) *rollout.Permit
}

// sample returns what a request shows about the version of the instance, and false if it shows nothing: it has not run, or its
// caller has gone.
func (c *call) sample(rep *reply, load Load, cold bool, took time.Duration) (rollout.Sample, bool) {
	s := rollout.Sample{Route: c.route, InUse: load.InUse, Limit: load.Limit, Took: took, Cold: cold}
	switch {
	case rep.outcome == idempotency.OutcomeAnswered:
		s.Failed = rep.status >= http.StatusInternalServerError
	case rep.outcome == idempotency.OutcomeNotRun, rep.failure == upstream.FailCancelled, rep.reason == metric.RefusedCallerGone:
		return s, false
	default:
		s.Failed = true
	}
	return s, true
}
