package proxy

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/event"
	"github.com/monsoonlatch/monsoonlatch/pkg/hedge"
	"github.com/monsoonlatch/monsoonlatch/pkg/idempotency"
	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
	"github.com/monsoonlatch/monsoonlatch/pkg/retry"
)

// errOvertaken is the cause with which a first request is cancelled when the second one has been answered.
var errOvertaken = errors.New("another instance has answered the second request")

// hedger adds locking to a planner of second requests.
type hedger struct {
	mu      sync.Mutex
	planner *hedge.Planner
}

func (h *hedger) delay(k hedge.Kind) (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.planner.Delay(k)
}

func (h *hedger) observe(k hedge.Kind, took time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.planner.Observe(k, took)
}

func (h *hedger) decide(c hedge.Candidate) (bool, metric.Hedge) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.planner.Decide(c)
}

// hedgeKind returns the kind of a call whose response times are comparable.
func (c *call) hedgeKind() hedge.Kind { return hedge.Kind{Service: c.service, Policy: c.policy} }

// mayHedge reports whether a second request may be sent for the next attempt of the call. A call that is nested in a retry, or
// a retry itself, gets none, because repeats would multiply.
func (in *Ingress) mayHedge(c *call) bool {
	return in.Hedge != nil && in.Hedge.Enabled() && c.idempotent && !c.retried && c.attempt == 0 && c.maxRetries > 0
}

// attemptHedged makes the first attempt of a call, and sends a second request to another instance if the first one has not
// been answered after the usual time. It returns the reply of the request that was answered first; the other request is
// cancelled and its reply discarded.
func (in *Ingress) attemptHedged(ctx context.Context, c *call, target membership.Instance) *reply {
	start := in.Clock.Now()
	delay, ok := in.hedges.delay(c.hedgeKind())
	if !ok {
		rep := in.attempt(ctx, c, target)
		in.observeFirst(c, rep, start)
		return rep
	}
	r := &hedgeRace{in: in, call: c, done: make(chan struct{})}
	firstCtx, cancelFirst := context.WithCancelCause(ctx)
	r.cancelFirst = func() { cancelFirst(errOvertaken) }
	// The second request has a call of its own, since both change it at the same time.
	second := *c
	second.header, second.attempt, second.retryTarget = c.header.Clone(), c.attempt+1, nil
	timer := time.AfterFunc(delay, func() { r.sendSecond(ctx, &second) })
	first := in.attempt(firstCtx, c, target)
	if timer.Stop() {
		in.observeFirst(c, first, start)
		return first
	}
	return r.finish(first, start)
}

// observeFirst adds the response time of a first request that was answered.
func (in *Ingress) observeFirst(c *call, rep *reply, start time.Time) {
	if isAnswer(rep) {
		in.hedges.observe(c.hedgeKind(), in.Clock.Now().Sub(start))
	}
}

// isAnswer reports whether the reply is a response that needs no retry.
func isAnswer(rep *reply) bool {
	return rep.outcome == idempotency.OutcomeAnswered && !retryable(rep)
}

// hedgeRace is a first request together with the second one, if that is sent. The first of the two that is answered wins; its
// context stays valid, since the rest of its response may still be streamed.
type hedgeRace struct {
	in          *Ingress
	call        *call
	cancelFirst func()
	// done is closed when the second request has ended, or has not been sent.
	done chan struct{}

	mu           sync.Mutex
	decided      bool // one of the two requests has won
	cancelSecond context.CancelFunc
	second       *reply
	secondWon    bool
	target       membership.InstanceID
}

// sendSecond sends the second request if the limits allow it.
func (r *hedgeRace) sendSecond(ctx context.Context, c *call) {
	defer close(r.done)
	ctx, cancel := context.WithCancel(ctx)
	if !r.begin(cancel) {
		cancel()
		return
	}
	target, ok := r.in.grantHedge(c)
	if !ok {
		cancel()
		return
	}
	c.tried = append(slices.Clip(c.tried), target.ID)
	rep := r.in.attempt(ctx, c, target)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.second, r.target = rep, target.ID
	switch {
	case r.decided:
		rep.close()
		r.in.Metrics.CountHedge(metric.HedgeLost)
	case isAnswer(rep):
		r.decided, r.secondWon = true, true
		r.cancelFirst()
		r.in.Metrics.CountHedge(metric.HedgeWon)
	}
}

// begin records how to cancel the second request. It returns false if the first one has been answered.
func (r *hedgeRace) begin(cancel context.CancelFunc) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancelSecond = cancel
	return !r.decided
}

// finish returns the reply to the caller after the first request has ended and the second one may be on its way.
func (r *hedgeRace) finish(first *reply, start time.Time) *reply {
	r.mu.Lock()
	if !r.decided && isAnswer(first) {
		r.decided = true
		if r.cancelSecond != nil {
			r.cancelSecond()
		}
		r.mu.Unlock()
		r.in.observeFirst(r.call, first, start)
		return first
	}
	r.mu.Unlock()
	<-r.done
	if r.second == nil {
		return first
	}
	// Both requests count as attempts of the call.
	r.call.tried = append(r.call.tried, r.target)
	r.call.attempt++
	if r.secondWon {
		// The response time of the first request is not known. The time until the second response is no substitute: it contains
		// the wait, so that the wait would grow with each second request.
		first.close()
		return r.second
	}
	r.in.Metrics.CountHedge(metric.HedgeFailed)
	return worseOutcome(first, r.second)
}

// worseOutcome returns, of two replies without an answer, one that is true for both requests: "not run" only if neither of
// them may have run.
func worseOutcome(first, second *reply) *reply {
	if first.outcome == idempotency.OutcomeNotRun && second.outcome != idempotency.OutcomeNotRun {
		first.close()
		return second
	}
	second.close()
	return first
}

// grantHedge chooses the instance of a second request, and reports whether the request is sent. It counts the decision.
func (in *Ingress) grantHedge(c *call) (membership.Instance, bool) {
	now := in.Clock.Now()
	candidate := hedge.Candidate{Kind: c.hedgeKind(), Left: c.deadline.Sub(now)}
	target, relation, err := in.selector.pick(now, c.balanceRequest(now))
	c.relation = relation
	candidate.HasRoom = err == nil && in.selector.hasRoom(now, target.ID)
	send, reason := in.hedges.decide(candidate)
	if send {
		d := in.selector.decide(now, c.service, retry.Attempt{Cause: metric.RetryHedge, Outcome: idempotency.OutcomeUnknown, Idempotent: true,
			Retries: c.attempt - 1, MaxRetries: c.maxRetries, Deadline: c.deadline, ReachedBackend: true})
		if send = d.Retry; !send {
			reason = metric.HedgeDeniedRetryBudget
		} else {
			in.Metrics.CountRetry(d.Reason)
		}
	}
	in.Metrics.CountHedge(reason)
	if !send && err == nil {
		in.selector.release(now, target.ID)
	}
	if send {
		in.writeCallEvent(event.CallHedged.Log(&in.Log).Str("second", string(target.ID)), c, &reply{}, event.CallHedged.Write)
	}
	return target, send
}
