package proxy

import (
	"context"
	"sync"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/balance"
	"github.com/monsoonlatch/monsoonlatch/pkg/idempotency"
	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
	"github.com/monsoonlatch/monsoonlatch/pkg/retry"
	"github.com/monsoonlatch/monsoonlatch/pkg/upstream"
)

// refreshEvery bounds how long a change of membership can stay unseen if its notice was dropped.
const refreshEvery = time.Second

// choice guards the pure picker and the retry budget of one ingress.
type choice struct {
	mu     sync.Mutex
	picker *balance.Picker
	budget *retry.Budgets
	view   membership.View
}

// pick chooses an instance, reading the members of a service that has not been asked for before.
func (ch *choice) pick(now time.Time, service string, exclude []membership.InstanceID) (membership.Instance, error) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	if len(exclude) == 0 {
		ch.budget.Request(service)
	}
	if !ch.picker.Knows(service) {
		ch.update(now, service)
	}
	return ch.picker.Pick(now, service, exclude)
}

func (ch *choice) reserve(id membership.InstanceID) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	ch.picker.Reserve(id)
}

// refresh reads the members of all services in use.
func (ch *choice) refresh(now time.Time) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	for _, service := range ch.picker.Services() {
		ch.update(now, service)
	}
}

// update leaves out instances whose availability zone cannot be reached.
func (ch *choice) update(now time.Time, service string) {
	records := ch.view.Instances(service)
	if hv, ok := ch.view.(membership.HistoryView); ok {
		records = reachable(records, hv.History(service))
	}
	ch.picker.Update(now, service, records)
}

func reachable(records []membership.Instance, spans []membership.Span) []membership.Instance {
	cut := make(map[membership.InstanceID]bool)
	for i := range spans {
		if spans[i].Unreachable && spans[i].Departed.IsZero() {
			cut[spans[i].Instance.ID] = true
		}
	}
	if len(cut) == 0 {
		return records
	}
	out := make([]membership.Instance, 0, len(records))
	for _, r := range records {
		if !cut[r.ID] {
			out = append(out, r)
		}
	}
	return out
}

// watch follows the membership until ctx ends.
func (ch *choice) watch(ctx context.Context, now func() time.Time) {
	changed := ch.view.Subscribe()
	tick := time.NewTicker(refreshEvery)
	defer tick.Stop()
	for {
		select {
		case <-changed:
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		ch.refresh(now())
	}
}

// observe ends an attempt at an instance and pays a success into the retry budget.
func (ch *choice) observe(now time.Time, service string, id membership.InstanceID, rep *reply, took time.Duration) {
	o := balance.Observation{Event: observed(rep), Took: took, Load: rep.load}
	ch.mu.Lock()
	defer ch.mu.Unlock()
	ch.picker.Observe(now, id, o)
	if o.Event == balance.EventAnswered {
		ch.budget.Success(service)
	}
}

func (ch *choice) abandon(now time.Time, id membership.InstanceID) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	ch.picker.Observe(now, id, balance.Observation{Event: balance.EventAbandoned})
}

func (ch *choice) decide(now time.Time, service string, a retry.Attempt) retry.Decision {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	return ch.budget.Decide(now, service, a)
}

// observed classifies an attempt. Statuses of 500 and above count as errors: an instance that answers fast with errors
// would otherwise attract calls.
func observed(rep *reply) balance.Event {
	switch {
	case rep.outcome == idempotency.OutcomeAnswered && rep.status < 500:
		return balance.EventAnswered
	case rep.outcome == idempotency.OutcomeAnswered:
		return balance.EventErrored
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

// cause is the reason under which a retry of the attempt is counted.
func cause(rep *reply) metric.Retry {
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
