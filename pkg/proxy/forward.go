package proxy

import (
	"context"
	"encoding/json"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/balance"
	"github.com/monsoonlatch/monsoonlatch/pkg/clock"
	"github.com/monsoonlatch/monsoonlatch/pkg/config"
	"github.com/monsoonlatch/monsoonlatch/pkg/event"
	"github.com/monsoonlatch/monsoonlatch/pkg/idempotency"
	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
	"github.com/monsoonlatch/monsoonlatch/pkg/retry"
	"github.com/monsoonlatch/monsoonlatch/pkg/upstream"
)

// forward makes attempts until one needs no retry or no retry is possible.
func (in *Ingress) forward(ctx context.Context, c *call) *reply {
	target, ok := in.pickInstance(c)
	if !ok {
		return refuse(metric.RefusedNoInstance)
	}
	var mayHaveRun *reply
	for {
		c.tried = append(c.tried, target.ID)
		var rep *reply
		if in.mayHedge(c) {
			rep = in.attemptHedged(ctx, c, target)
		} else {
			rep = in.attempt(ctx, c, target)
		}
		if rep.outcome == idempotency.OutcomeNotRun && mayHaveRun != nil {
			// An earlier attempt may have run, so "not run" would be wrong.
			rep = mayHaveRun
		}
		if !retryable(rep) {
			in.releaseRetryTarget(c)
			return in.markRetried(c, rep, false)
		}
		if target, ok = in.nextRetry(ctx, c, rep); !ok {
			return in.markRetried(c, rep, true)
		}
		in.writeCallEvent(event.CallRetried.Log(&in.Log).Str("next", string(target.ID)), c, rep, event.CallRetried.Write)
		if rep.outcome != idempotency.OutcomeNotRun {
			mayHaveRun = rep.withoutUnreadBody()
		}
		rep.close()
		c.attempt++
	}
}

// markRetried marks the reply, and the parent of a nested call, if this hop has made or denied a retry. No earlier hop
// retries a marked call, because the retries of all hops would multiply in a chain of up to 14 calls.
func (in *Ingress) markRetried(c *call, rep *reply, retryDenied bool) *reply {
	rep.retriedBelow = rep.retriedBelow || retryDenied || c.attempt > 0
	if c.parent != nil && rep.retriedBelow {
		c.parent.retriedBelow.Store(true)
	}
	return rep
}

// retryable reports whether another attempt could succeed.
func retryable(rep *reply) bool {
	if rep.outcome != idempotency.OutcomeAnswered {
		return !slices.Contains(notRetryable, rep.reason)
	}
	return rep.status == http.StatusInternalServerError || rep.status == http.StatusBadGateway || rep.status == http.StatusServiceUnavailable ||
		rep.status == http.StatusGatewayTimeout
}

// notRetryable lists the refusal reasons that another instance would repeat.
var notRetryable = []metric.Refusal{metric.RefusedCallerGone, metric.RefusedMalformed, metric.RefusedTooLarge,
	metric.RefusedKeyMismatch, metric.RefusedKeyRunning, metric.RefusedForbidden, metric.RefusedTooManyHops}

// nextRetry returns the instance of the next retry, or reports false if there is none. After a conflict between two
// claims of one idempotency key it waits for a few milliseconds first.
func (in *Ingress) nextRetry(ctx context.Context, c *call, rep *reply) (membership.Instance, bool) {
	if rep.reason == metric.RefusedKeyClaimConflict {
		// Another instance has claimed the key at the same time. The home instance stays the only one that can run the
		// call, and the conflict has been resolved by now.
		c.tried = c.tried[:len(c.tried)-1]
		// The random delay keeps two instances that claim the same key from colliding again.
		clock.Sleep(ctx, time.Millisecond+rand.N(4*time.Millisecond))
	}
	if ctx.Err() != nil {
		in.releaseRetryTarget(c)
		return membership.Instance{}, false
	}
	if c.retryTarget == nil {
		in.grantRetry(c, rep)
	}
	if c.retryTarget == nil {
		return membership.Instance{}, false
	}
	target := *c.retryTarget
	c.retryTarget = nil
	return target, true
}

// grantRetry chooses an instance for a retry and sets c.retryTarget if the retry budget allows it. It counts the
// decision.
func (in *Ingress) grantRetry(c *call, rep *reply) {
	now := in.Clock.Now()
	target, ok := in.pickInstance(c)
	if !ok {
		in.Metrics.CountRetry(metric.DeniedNoOtherInstance)
		return
	}
	outcome := rep.outcome
	if outcome == idempotency.OutcomeAnswered {
		// An error status does not show whether the request had effects, so it is treated like an unknown outcome.
		outcome = idempotency.OutcomeUnknown
	}
	d := in.selector.decide(now, c.service, retry.Attempt{Cause: retryCause(rep), Outcome: outcome,
		Idempotent: c.idempotent, Retries: c.attempt, MaxRetries: c.maxRetries, Deadline: c.deadline,
		RetriedBelow: c.retried || rep.retriedBelow, ReachedBackend: rep.mayHaveReachedBackend()})
	in.Metrics.CountRetry(d.Reason)
	if !d.Retry {
		in.selector.release(now, target.ID)
		return
	}
	c.retryTarget = &target
}

// releaseRetryTarget releases the instance of a granted retry that is not needed.
func (in *Ingress) releaseRetryTarget(c *call) {
	if c.retryTarget != nil {
		in.selector.release(in.Clock.Now(), c.retryTarget.ID)
		c.retryTarget = nil
	}
}

// balanceRequest describes the call for the choice of its next instance.
func (c *call) balanceRequest(now time.Time) balance.Request {
	return balance.Request{Service: c.service, Rank: c.rank, TargetLeft: c.due.Sub(now), DeadlineLeft: c.deadline.Sub(now), Route: c.route,
		Bytes: len(c.body), Exclude: c.tried}
}

// pickInstance chooses the instance of an attempt and counts the attempt as in flight there. A keyed call is sent to
// the home instance of its idempotency key.
func (in *Ingress) pickInstance(c *call) (membership.Instance, bool) {
	if !c.keyed() {
		now := in.Clock.Now()
		target, relation, err := in.selector.pick(now, c.balanceRequest(now))
		c.relation = relation
		return target, err == nil
	}
	home, ok := in.Guard.Home(c.service, c.recordKey())
	if !ok || slices.Contains(c.tried, home.ID) {
		return home, false
	}
	in.selector.reserve(home.ID)
	return home, true
}

// attempt sends the call to one instance and reports the result to the load balancer.
func (in *Ingress) attempt(ctx context.Context, c *call, target membership.Instance) *reply {
	start := in.Clock.Now()
	c.requestRetry = in.retryRequester(c, start)
	var rep *reply
	if target.ID == in.Self && in.Egress != nil {
		rep = in.Egress.serve(ctx, c)
	} else {
		rep = in.send(ctx, c, target, start)
	}
	rep.overtaken = context.Cause(ctx) == errOvertaken
	now := in.Clock.Now()
	in.selector.observe(now, c, target.ID, rep, now.Sub(start))
	in.zones.count(c.relation, c, rep)
	return rep
}

// retryRequester returns the requestRetry function of an attempt, which decides after c.attemptTimeout whether the
// attempt is abandoned, since its connection may be dead. It returns nil if the attempt always waits until the
// deadline. An attempt is abandoned only if the budget grants a retry, because under overload a response may merely be
// late.
func (in *Ingress) retryRequester(c *call, now time.Time) func() bool {
	if in.DisableAttemptTimeout || in.mayHedge(c) || !c.idempotent || c.retried || c.attempt >= c.maxRetries ||
		c.deadline.Sub(now) < c.attemptTimeout+retry.DefaultMinRemaining {
		return nil
	}
	return func() bool {
		in.grantRetry(c, &reply{outcome: idempotency.OutcomeUnknown, reason: metric.RefusedOutcomeUnknown})
		return c.retryTarget != nil
	}
}

// send forwards the call to the egress of another node.
func (in *Ingress) send(ctx context.Context, c *call, target membership.Instance, now time.Time) *reply {
	setCommonHeaders(c.header, c.outgoing(now))
	c.setPeerHeaders(c.header, now)
	if news := in.selector.newsForPeer(now, c.service, c.relation == balance.InZone); news != "" {
		set(c.header, HeaderNews, news)
	}
	ex := &upstream.Exchange{Request: c.request(c.header), RequestID: c.id, RequireEcho: true, StartsWhenComplete: true,
		Idempotent: c.idempotent, Deadline: c.deadline.Add(responseGrace)}
	if c.requestRetry != nil {
		ex.ResponseCheckAt = now.Add(c.attemptTimeout)
		ex.OnNoResponse = func() time.Time {
			if c.requestRetry() {
				return time.Time{}
			}
			return ex.Deadline
		}
	}
	res := in.Peers.Do(ctx, target.PeerAddress, ex)
	clearPeerHeaders(c.header)
	if res.Response == nil {
		if res.Failure == upstream.FailMismatch {
			event.AnswerCrossed.Write(event.AnswerCrossed.Log(&in.Log).Str("instance", string(target.ID)).Str("request", c.id))
		}
		return replyFromFailure(res)
	}
	news := first(res.Response.Header, HeaderNews)
	rep := replyFromPeer(res.Response)
	in.selector.learn(now, rep.takeNews(news))
	if in.OnNewerVersion != nil && rep.version > c.version {
		in.OnNewerVersion(target.ControlAddress)
	}
	return rep
}

// refusalsByName maps the names of all refusal reasons that a peer may send to the reasons.
var refusalsByName = func() map[string]metric.Refusal {
	m := make(map[string]metric.Refusal, len(metric.Refusals))
	for _, r := range metric.Refusals {
		m[string(r)] = r
	}
	return m
}()

// replyFromPeer converts a response of another node's egress to a reply.
func replyFromPeer(a *upstream.Response) *reply {
	origin, outcome, reason := first(a.Header, HeaderOrigin), first(a.Header, HeaderOutcome), first(a.Header, HeaderReason)
	load, retried := parseLoad(first(a.Header, HeaderLoad)), first(a.Header, HeaderRetried) == "1"
	replayed := first(a.Header, HeaderReplayed) == "1"
	version, _ := parseInt(a.Header, HeaderConfigVersion, math.MaxInt64)
	rep := replyFromResponse(a)
	if origin != originBackend {
		rep.close()
		var b refusalBody
		_ = json.Unmarshal(a.Body, &b)
		rep = peerRefusal(outcome, reason)
		rep.retryAfter = time.Duration(max(0, b.RetryAfterMs)) * time.Millisecond
	}
	rep.load, rep.retriedBelow, rep.replayed, rep.version = load, retried, replayed, config.Version(version)
	return rep
}

// peerRefusal converts the outcome and reason of a peer's refusal to a reply. Values that do not form a valid refusal
// count as a broken response, because they do not show whether the request ran.
func peerRefusal(outcome, reason string) *reply {
	r, ok := refusalsByName[reason]
	switch {
	case outcome == outcomeNames[idempotency.OutcomeNotRun] && ok:
		return refuse(r)
	case outcome == outcomeNames[idempotency.OutcomeNotRun]:
		return refuse(metric.RefusedNotReady)
	case outcome == outcomeNames[idempotency.OutcomeUnknown] && ok:
		return &reply{outcome: idempotency.OutcomeUnknown, reason: r}
	}
	return &reply{outcome: idempotency.OutcomeUnknown, reason: metric.RefusedAnswerBroken}
}
