package proxy

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/balance"
	"github.com/monsoonlatch/monsoonlatch/pkg/idempotency"
	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
	"github.com/monsoonlatch/monsoonlatch/pkg/retry"
	"github.com/monsoonlatch/monsoonlatch/pkg/upstream"
)

// refreshInterval bounds how long a membership change can go unnoticed if its notification was dropped.
const refreshInterval = time.Second

// selector adds locking to the load balancer and the retry budgets of an ingress, which are not safe for
// concurrent use.
type selector struct {
	mu           sync.Mutex
	picker       *balance.Picker
	retryBudgets *retry.Budgets
	view         membership.View
	// nodeCount returns the number of nodes in the mesh; nil means that the retry budget does not depend on it.
	nodeCount func() int
	// exchangesNews is set if the choice of instances uses reports that come by way of other nodes.
	exchangesNews bool
	// versions is nil where no roll-outs are in force.
	versions VersionChooser
}

// pick chooses an instance. On the first call for a service it loads the service's instances. An empty Exclude marks the
// first attempt of a request, which is counted in the retry budget.
func (s *selector) pick(now time.Time, r balance.Request) (membership.Instance, balance.Relation, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(r.Exclude) == 0 {
		s.retryBudgets.Request(r.Service)
	}
	if !s.picker.HasService(r.Service) {
		s.loadInstances(now, r.Service)
	}
	return s.choose(r, func(r balance.Request) (membership.Instance, balance.Relation, error) {
		return s.picker.PickRelated(now, r)
	})
}

// choose calls pick with the limits of a roll-out, and again with those that apply if no instance can take the request.
func (s *selector) choose(r balance.Request, pick func(balance.Request) (membership.Instance, balance.Relation, error)) (membership.Instance, balance.Relation, error) {
	if s.versions == nil {
		return pick(r)
	}
	prefer, fallback := s.versions.Choose(r.Service, len(r.Exclude) > 0)
	r.Allow = prefer
	in, relation, err := pick(r)
	if err != nil && fallback != nil {
		r.Allow = fallback
		in, relation, err = pick(r)
	}
	return in, relation, err
}

// reserve counts an attempt in flight at an instance that was not chosen by pick.
func (s *selector) reserve(id membership.InstanceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.picker.Reserve(id)
}

// hasRoom reports whether an instance that was just picked is expected to run the request at once.
func (s *selector) hasRoom(now time.Time, id membership.InstanceID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.picker.HasRoom(now, id)
}

// refresh reloads the instances of all services in use and the number of nodes.
func (s *selector) refresh(now time.Time) {
	nodes := 0
	if s.nodeCount != nil {
		nodes = s.nodeCount()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retryBudgets.SetNodes(nodes)
	for _, service := range s.picker.Services() {
		s.loadInstances(now, service)
	}
}

// loadInstances loads the instances of a service.
func (s *selector) loadInstances(now time.Time, service string) {
	s.picker.Update(now, service, s.instances(service))
}

// instances returns the instances of a service, without those in an unreachable availability zone.
func (s *selector) instances(service string) []membership.Instance {
	records := s.view.Instances(service)
	if hv, ok := s.view.(membership.HistoryView); ok {
		records = withoutUnreachable(records, hv.History(service))
	}
	return records
}

// withoutUnreachable returns the records without those that spans mark as unreachable.
func withoutUnreachable(records []membership.Instance, spans []membership.Span) []membership.Instance {
	unreachable := make(map[membership.InstanceID]bool)
	for i := range spans {
		if spans[i].Unreachable && spans[i].Departed.IsZero() {
			unreachable[spans[i].Instance.ID] = true
		}
	}
	if len(unreachable) == 0 {
		return records
	}
	out := make([]membership.Instance, 0, len(records))
	for _, r := range records {
		if !unreachable[r.ID] {
			out = append(out, r)
		}
	}
	return out
}

// followMembership refreshes the instances on membership changes and every refreshInterval, until ctx ends.
func (s *selector) followMembership(ctx context.Context, now func() time.Time) {
	changed := s.view.Subscribe()
	tick := time.NewTicker(refreshInterval)
	defer tick.Stop()
	for {
		select {
		case <-changed:
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		s.refresh(now())
	}
}

// observe reports the end of an attempt at an instance to the load balancer, and a success to the retry budget.
func (s *selector) observe(now time.Time, c *call, id membership.InstanceID, rep *reply, took time.Duration) {
	o := balance.Observation{Event: classify(rep), Silent: silent(rep), Full: queueFull(rep), Rank: c.rank, Latency: took, Load: rep.load,
		Route: c.route, Bytes: int64(len(c.body)) + rep.bodyBytes(), RouteTime: rep.routeTime}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.picker.Observe(now, id, o)
	if o.Event == balance.EventAnswered {
		s.retryBudgets.Success(c.service)
	}
}

// release ends an attempt whose request was not sent to the instance that was chosen.
func (s *selector) release(now time.Time, id membership.InstanceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.picker.Observe(now, id, balance.Observation{Event: balance.EventAbandoned})
}

func (s *selector) decide(now time.Time, service string, a retry.Attempt) retry.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.retryBudgets.Decide(now, service, a)
}

// classify maps the result of an attempt to an event of the load balancer. Statuses of 500 and above count as errors,
// because an instance that fails fast would otherwise attract calls.
func classify(rep *reply) balance.Event {
	switch {
	case rep.outcome == idempotency.OutcomeAnswered && rep.status < 500:
		return balance.EventAnswered
	case rep.outcome == idempotency.OutcomeAnswered:
		return balance.EventErrored
	case rep.overtaken && rep.failure == upstream.FailCancelled:
		// The instance took much longer than usual. Without this, one that hangs would keep its low load and go on attracting
		// calls.
		return balance.EventFailed
	case rep.failure == upstream.FailCancelled, rep.reason == metric.RefusedCallerGone:
		return balance.EventAbandoned
	}
	if rep.failure == upstream.FailSilent {
		return balance.EventUnreachable
	}
	switch rep.reason {
	case metric.RefusedBackendShed:
		return balance.EventErrored
	case metric.RefusedConnectFailed, metric.RefusedDraining, metric.RefusedNotReady, metric.RefusedWrongService:
		if rep.failure == upstream.FailConnections {
			return balance.EventRefused
		}
		return balance.EventUnreachable
	case metric.RefusedAnswerBroken, metric.RefusedOutcomeUnknown:
		return balance.EventFailed
	}
	return balance.EventRefused
}

// queueFull reports whether the node beside the instance refused the call because too many others wait there, or because it
// stops too early for this call; less urgent ones mostly have more time.
func queueFull(rep *reply) bool {
	switch rep.reason {
	case metric.RefusedQueueFull, metric.RefusedDisplaced, metric.RefusedBackendSlow, metric.RefusedRateLimited, metric.RefusedStopping:
		return true
	}
	return false
}

// silent reports whether an attempt has failed without any sign of life from the host of the instance. A host without a
// listener would have refused the connection.
func silent(rep *reply) bool {
	var netErr net.Error
	return rep.failure == upstream.FailSilent ||
		rep.failure == upstream.FailConnect && errors.As(rep.err, &netErr) && netErr.Timeout()
}

// retryCause returns the reason under which a retry of the attempt is counted.
func retryCause(rep *reply) metric.Retry {
	switch {
	case rep.outcome == idempotency.OutcomeAnswered:
		return metric.RetryBackendStatus
	case rep.reason == metric.RefusedConnectFailed:
		return metric.RetryConnectFailed
	case rep.reason == metric.RefusedKeyClaimConflict:
		return metric.RetryKeyClaimRace
	case rep.outcome == idempotency.OutcomeNotRun:
		return metric.RetryNotRun
	case rep.reason == metric.RefusedAnswerBroken, rep.failure == upstream.FailWrite:
		return metric.RetryAnswerBroken
	}
	return metric.RetryAttemptTimeout
}
