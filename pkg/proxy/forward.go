package proxy

import (
	"context"
	"encoding/json"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/clock"
	"github.com/monsoonlatch/monsoonlatch/pkg/config"
	"github.com/monsoonlatch/monsoonlatch/pkg/event"
	"github.com/monsoonlatch/monsoonlatch/pkg/idempotency"
	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
	"github.com/monsoonlatch/monsoonlatch/pkg/retry"
	"github.com/monsoonlatch/monsoonlatch/pkg/upstream"
)

// forward makes attempts until one is answered or may not be followed by another.
func (in *Ingress) forward(ctx context.Context, c *call) *reply {
	target, ok := in.next(c)
	if !ok {
		return refuse(metric.RefusedNoInstance)
	}
	var ran *reply
	for {
		c.tried = append(c.tried, target.ID)
		rep := in.attempt(ctx, c, target)
		if rep.outcome == idempotency.OutcomeNotRun && ran != nil {
			// An earlier attempt has run: "not run" would be false.
			rep = ran
		}
		if !retryable(rep) {
			in.dropGrant(c)
			return in.finish(c, rep, false)
		}
		if target, ok = in.again(ctx, c, rep); !ok {
			return in.finish(c, rep, true)
		}
		in.describe(event.CallRetried.Log(&in.Log).Str("next", string(target.ID)), c, rep, event.CallRetried.Write)
		if rep.outcome != idempotency.OutcomeNotRun {
			ran = rep.whole()
		}
		rep.close()
		c.attempt++
	}
}

// finish marks the parent of a nested call that was retried, or failed so that this hop has decided on a retry. No hop
// above retries it then: retries at each of 14 hops would multiply.
func (in *Ingress) finish(c *call, rep *reply, decided bool) *reply {
	rep.retriedBelow = rep.retriedBelow || decided || c.attempt > 0
	if c.parent != nil && rep.retriedBelow {
		c.parent.retriedBelow.Store(true)
	}
	return rep
}

// retryable reports whether another attempt could help at all.
func retryable(rep *reply) bool {
	if rep.outcome != idempotency.OutcomeAnswered {
		return !slices.Contains(final, rep.reason)
	}
	return rep.status == http.StatusInternalServerError || rep.status == http.StatusBadGateway || rep.status == http.StatusServiceUnavailable ||
		rep.status == http.StatusGatewayTimeout
}

// final is the refusals that another instance would repeat.
var final = []metric.Refusal{metric.RefusedCallerGone, metric.RefusedMalformed, metric.RefusedTooLarge,
	metric.RefusedKeyMismatch, metric.RefusedKeyRunning, metric.RefusedForbidden, metric.RefusedTooManyHops}

// again chooses the instance of a retry, or counts why there is none.
func (in *Ingress) again(ctx context.Context, c *call, rep *reply) (membership.Instance, bool) {
	if rep.reason == metric.RefusedKeyClaimConflict {
		// The home is the only instance that can run the call, and the race has ended by now.
		c.tried = c.tried[:len(c.tried)-1]
		// A random time, so that two homes that claim one key do not meet again.
		clock.Sleep(ctx, time.Millisecond+rand.N(4*time.Millisecond))
	}
	if ctx.Err() != nil {
		in.dropGrant(c)
		return membership.Instance{}, false
	}
	if c.granted == nil {
		in.grant(c, rep)
	}
	if c.granted == nil {
		return membership.Instance{}, false
	}
	target := *c.granted
	c.granted = nil
	return target, true
}

// grant decides on a retry and sets its instance.
func (in *Ingress) grant(c *call, rep *reply) {
	now := in.Clock.Now()
	target, ok := in.next(c)
	if !ok {
		in.Metrics.CountRetry(metric.DeniedNoOtherInstance)
		return
	}
	outcome := rep.outcome
	if outcome == idempotency.OutcomeAnswered {
		// A failed status says nothing about whether running the request again is harmless.
		outcome = idempotency.OutcomeUnknown
	}
	d := in.choice.decide(now, c.service, retry.Attempt{Cause: cause(rep), Outcome: outcome, Idempotent: c.idempotent,
		Retries: c.attempt, MaxRetries: c.maxRetries, Deadline: c.deadline, RetriedBelow: c.retried || rep.retriedBelow, Arrived: rep.arrived()})
	in.Metrics.CountRetry(d.Reason)
	if !d.Retry {
		in.choice.abandon(now, target.ID)
		return
	}
	c.granted = &target
}

// dropGrant gives a granted instance back that is not needed.
func (in *Ingress) dropGrant(c *call) {
	if c.granted != nil {
		in.choice.abandon(in.Clock.Now(), c.granted.ID)
		c.granted = nil
	}
}

// next chooses the instance of an attempt and counts it in flight there. A keyed call goes to the home of its key.
func (in *Ingress) next(c *call) (membership.Instance, bool) {
	if !c.keyed() {
		target, err := in.choice.pick(in.Clock.Now(), c.service, c.tried)
		return target, err == nil
	}
	home, ok := in.Guard.Home(c.service, c.key)
	if !ok || slices.Contains(c.tried, home.ID) {
		return home, false
	}
	in.choice.reserve(home.ID)
	return home, true
}

// attempt sends the call to one instance.
func (in *Ingress) attempt(ctx context.Context, c *call, target membership.Instance) *reply {
	start := in.Clock.Now()
	c.giveUp = in.patient(c, start)
	var rep *reply
	if target.ID == in.Self && in.Egress != nil {
		rep = in.Egress.serve(ctx, c)
	} else {
		rep = in.send(ctx, c, target, start)
	}
	now := in.Clock.Now()
	in.choice.observe(now, c.service, target.ID, rep, now.Sub(start))
	return rep
}

// patient returns the function that decides, when the patience of an idempotent call has run out, whether it is sent
// elsewhere: a connection may have gone silent. An attempt is given up only for a retry that the budget grants, since
// an answer in a flood may just be late.
func (in *Ingress) patient(c *call, now time.Time) func() bool {
	if in.Steadfast || !c.idempotent || c.retried || c.attempt >= c.maxRetries || c.deadline.Sub(now) < c.patience+retry.DefaultMinRemaining {
		return nil
	}
	return func() bool {
		in.grant(c, &reply{outcome: idempotency.OutcomeUnknown, reason: metric.RefusedOutcomeUnknown})
		return c.granted != nil
	}
}

// send forwards the call to the egress beside another backend server.
func (in *Ingress) send(ctx context.Context, c *call, target membership.Instance, now time.Time) *reply {
	setCommon(c.header, c.outgoing(now))
	c.setPeer(c.header, now)
	ex := &upstream.Exchange{Request: c.request(c.header), RequestID: c.id, RequireEcho: true,
		Idempotent: c.idempotent, Deadline: c.deadline.Add(hearGrace)}
	if c.giveUp != nil {
		ex.Patience = now.Add(c.patience)
		ex.OnWait = func() time.Time {
			if c.giveUp() {
				return time.Time{}
			}
			return ex.Deadline
		}
	}
	res := in.Peers.Do(ctx, target.PeerAddress, ex)
	clearPeer(c.header)
	if res.Answer == nil {
		if res.Failure == upstream.FailMismatch {
			event.AnswerCrossed.Write(event.AnswerCrossed.Log(&in.Log).Str("instance", string(target.ID)).Str("request", c.id))
		}
		return fromFailure(res)
	}
	rep := fromPeer(res.Answer)
	if in.OnNewer != nil && rep.version > c.version {
		in.OnNewer(target.ControlAddress)
	}
	return rep
}

// known is the closed list of reasons that a peer may give.
var known = func() map[string]metric.Refusal {
	m := make(map[string]metric.Refusal, len(metric.Refusals))
	for _, r := range metric.Refusals {
		m[string(r)] = r
	}
	return m
}()

// fromPeer reads the answer of another node's egress.
func fromPeer(a *upstream.Answer) *reply {
	origin, outcome, reason := first(a.Header, HeaderOrigin), first(a.Header, HeaderOutcome), first(a.Header, HeaderReason)
	load, retried := parseLoad(first(a.Header, HeaderLoad)), first(a.Header, HeaderRetried) == "1"
	replayed := first(a.Header, HeaderReplayed) == "1"
	version, _ := parseInt(a.Header, HeaderConfigVersion, math.MaxInt64)
	rep := fromAnswer(a)
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

// peerRefusal reads a refusal. What is not one counts as a broken answer, since it cannot be told whether the request
// ran.
func peerRefusal(outcome, reason string) *reply {
	r, ok := known[reason]
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
