package proxy

import (
	"context"
	"math"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"github.com/monsoonlatch/monsoonlatch/pkg/balance"
	"github.com/monsoonlatch/monsoonlatch/pkg/clock"
	"github.com/monsoonlatch/monsoonlatch/pkg/config"
	"github.com/monsoonlatch/monsoonlatch/pkg/event"
	"github.com/monsoonlatch/monsoonlatch/pkg/idempotency"
	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
	"github.com/monsoonlatch/monsoonlatch/pkg/upstream"
)

// maxKept bounds the answer to a keyed request: its record holds the answer whole.
const maxKept = 4 << 20

// EgressSettings are what an Egress works with. All but Log are required.
type EgressSettings struct {
	Own     Own
	Gate    Gate
	Guard   idempotency.Guard
	Backend *upstream.Pool
	Calls   *Calls
	Metrics *metric.Set
	Clock   clock.Clock
	Log     zerolog.Logger
	// Dialect is the protocol of the backend server; nil means Native.
	Dialect Dialect
	// Bodies bounds the memory of request bodies; nil means no bound.
	Bodies *BodyBudget
	// Source, if set, tells the configuration in force here; answers to other nodes carry its version.
	Source config.Source
	// OnNewer, if set, is called with the IP address of a node that serves a newer configuration.
	OnNewer func(addr string)
}

// Egress hands calls to the node's own backend server. As a handler it takes them from other nodes.
type Egress struct {
	EgressSettings
	track tracker
}

// NewEgress returns an egress that takes work at once.
func NewEgress(s EgressSettings) *Egress {
	if s.Dialect == nil {
		s.Dialect = Native{}
	}
	return &Egress{EgressSettings: s}
}

// BeginDrain refuses all new work from now on.
func (e *Egress) BeginDrain() {
	e.track.drain()
	event.DrainStarted.Write(event.DrainStarted.Log(&e.Log).Str("part", "egress"))
}

// WaitIdle returns when no work is in flight or ctx ends.
func (e *Egress) WaitIdle(ctx context.Context) error { return e.track.finish(ctx, &e.Log, "egress") }

// ServeHTTP takes a call from another node.
func (e *Egress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, rep := e.parse(r)
	defer e.Bodies.give(int64(len(c.body)))
	if rep == nil {
		c.signal = func() { w.WriteHeader(http.StatusProcessing) }
		rep = e.serve(r.Context(), c)
	}
	l := e.Gate.Load()
	if rep.reason != "" {
		e.Metrics.CountRefusal(rep.reason)
		now := e.Clock.Now()
		event.CallTurnedAway.Write(event.CallTurnedAway.Log(&e.Log).Str("request", c.id).Str("service", c.service).Str("route", c.route).
			Str("reason", string(rep.reason)).Str("outcome", outcomeNames[rep.outcome]).Int("rank", c.rank).Dur("took_ms", now.Sub(c.arrived)).
			Dur("left_ms", c.deadline.Sub(now)).Int("in_use", l.InUse).Int("limit", l.Limit).Int("queued", l.Queued).AnErr("error", rep.err))
	}
	set(w.Header(), HeaderLoad, l.String())
	e.compareVersions(w, r, c.version)
	if err := rep.write(w, r, Native{}, c.id, c.deadline); err != nil {
		event.AnswerCut.Write(event.AnswerCut.Log(&e.Log).Err(err).Str("service", c.service).Str("request", c.id))
		panic(http.ErrAbortHandler)
	}
}

// compareVersions tells the other node a newer version, and notices one that this node lacks.
func (e *Egress) compareVersions(w http.ResponseWriter, r *http.Request, theirs config.Version) {
	if e.Source == nil {
		return
	}
	var own config.Version
	if snap := e.Source.Current(); snap != nil {
		own = snap.Version
	}
	switch {
	case own > theirs:
		setInt(w.Header(), HeaderConfigVersion, int64(own))
	case own < theirs && e.OnNewer != nil:
		if host, _, err := net.SplitHostPort(r.RemoteAddr); err == nil {
			e.OnNewer(host)
		}
	}
}

// parse reads a call as the ingress has sent it. The call is never nil.
func (e *Egress) parse(r *http.Request) (*call, *reply) {
	h, now := r.Header, e.Clock.Now()
	c := &call{id: first(h, HeaderRequestID), method: r.Method, url: r.URL, host: r.Host, header: h, arrived: now,
		service: first(h, HeaderService), route: first(h, HeaderRoute), policy: first(h, HeaderPolicy),
		idempotent: first(h, HeaderIdempotent) == "1", key: first(h, headerKey), retried: first(h, HeaderRetried) == "1",
		caller: first(h, HeaderCaller)}
	remaining, ok1 := parseInt(h, HeaderRemaining, int64(time.Hour/time.Microsecond))
	rank, ok2 := parseInt(h, HeaderRank, config.MaxRank)
	hops, ok3 := parseCount(h, HeaderHops, MaxHops)
	if c.id == "" || c.service == "" || !ok1 || !ok2 || !ok3 {
		return c, refuseUnread(metric.RefusedMalformed)
	}
	c.rank, c.hops = int(rank), int(hops)
	c.deadline = now.Add(time.Duration(remaining) * time.Microsecond)
	if us, err := strconv.ParseInt(first(h, HeaderDue), 10, 64); err == nil {
		c.due = now.Add(time.Duration(us) * time.Microsecond)
	}
	attempt, _ := parseCount(h, HeaderAttempt, 1<<20)
	version, _ := parseInt(h, HeaderConfigVersion, 1<<62)
	window, _ := parseInt(h, HeaderWindow, int64(24*time.Hour/time.Microsecond))
	c.attempt, c.version, c.window = int(attempt), config.Version(version), time.Duration(window)*time.Microsecond
	clearPeer(h)
	stripHopByHop(h)
	body, err := readBody(r, math.MaxInt64, e.Bodies)
	switch {
	case err == errNoMemory:
		return c, refuseUnread(metric.RefusedBodyMemory)
	case err != nil:
		return c, refuseUnread(metric.RefusedMalformed)
	}
	c.body = body
	return c, nil
}

// serve runs a call of another node or of the own ingress.
func (e *Egress) serve(ctx context.Context, c *call) *reply {
	if !e.track.enter(false) {
		return refuse(metric.RefusedDraining)
	}
	rep := e.dispatch(ctx, c)
	if rep.rest == nil {
		e.track.leave()
	} else {
		rep.rest = &closer{ReadCloser: rep.rest, after: func(bool) { e.track.leave() }}
	}
	return rep
}

func (e *Egress) dispatch(ctx context.Context, c *call) *reply {
	own, addr := e.Own.Own()
	switch {
	case own.Service != c.service:
		return refuse(metric.RefusedWrongService)
	case !e.Own.Admits(e.Clock.Now()):
		if own.State == membership.StateDraining || own.State == membership.StateDeparted {
			return refuse(metric.RefusedDraining)
		}
		return refuse(metric.RefusedNotReady)
	case c.keyed():
		return e.runKeyed(ctx, c, addr)
	}
	return e.run(ctx, c, addr, c.header)
}

// runKeyed runs a call at most once. The run may outlive the caller's request, so it has headers of its own.
func (e *Egress) runKeyed(ctx context.Context, c *call, addr string) *reply {
	copied := *c
	h := c.header.Clone()
	res := e.Guard.Do(ctx, c.keyRequest(), func(runCtx context.Context) idempotency.Result {
		return e.run(runCtx, &copied, addr, h).result()
	})
	rep := fromResult(res)
	rep.load = e.load()
	return rep
}

// run waits for a slot and hands the call to the backend server.
func (e *Egress) run(ctx context.Context, c *call, addr string, h http.Header) *reply {
	release, refusal := e.Gate.Acquire(ctx, Work{Rank: c.rank, Policy: c.policy, Arrived: c.arrived, Deadline: c.deadline, Target: c.due})
	if refusal != nil {
		rep := refuse(refusal.Reason)
		rep.retryAfter, rep.load = refusal.RetryAfter, e.load()
		return rep
	}
	start := e.Clock.Now()
	e.Metrics.Observe(metric.QueueTime, start.Sub(c.arrived))
	if !e.Own.Admits(start) {
		// The backend server began to leave while the call waited.
		release(false, false, 0)
		return refuse(metric.RefusedDraining)
	}
	rep := e.exchange(c.workContext(ctx), c, addr, h, start)
	e.Metrics.Observe(metric.BackendTime, e.Clock.Now().Sub(start))
	served, shed := rep.outcome == idempotency.OutcomeAnswered, rep.reason == metric.RefusedBackendShed
	if rep.rest == nil {
		release(served, shed, e.Clock.Now().Sub(start))
	} else {
		rep.rest = &closer{ReadCloser: rep.rest, after: func(ended bool) {
			release(ended, false, e.Clock.Now().Sub(start))
		}}
	}
	rep.load = e.load()
	return rep
}

// exchange makes the one attempt at the backend server.
func (e *Egress) exchange(ctx context.Context, c *call, addr string, h http.Header, now time.Time) *reply {
	en := &entry{rank: c.rank, hops: c.hops, deadline: c.deadline, retried: c.retried || c.attempt > 0}
	id := e.Calls.add(en)
	own, _ := e.Own.Own()
	out := c.outgoing(now)
	out.BackendID, out.Call = own.BackendID, id
	StripSystem(h)
	e.Dialect.Outgoing(h, out)
	ex := &upstream.Exchange{Request: c.request(h), RequestID: c.id, Idempotent: c.idempotent, Deadline: c.deadline}
	e.Dialect.Exchange(ex)
	if c.idempotent {
		e.watch(c, en, ex, now)
	}
	res := e.Backend.Do(ctx, addr, ex)
	rep := e.interpret(c, addr, res)
	rep.retriedBelow = en.retriedBelow.Load()
	if rep.rest == nil {
		e.Calls.remove(id)
	} else {
		rep.rest = &closer{ReadCloser: rep.rest, after: func(bool) { e.Calls.remove(id) }}
	}
	return rep
}

// firstSign is when a call from another node is first checked for a sign of life. Few calls take longer.
const firstSign = 10 * time.Millisecond

// watch follows an idempotent call that the backend server takes long for. A nested call is a sign of life: the ingress
// is told to wait, since only the hop next to a failure may retry. Without one the ingress may send the call elsewhere.
func (e *Egress) watch(c *call, en *entry, ex *upstream.Exchange, now time.Time) {
	step := firstSign
	if c.giveUp != nil {
		step = c.patience
	}
	ex.Patience = now.Add(step)
	ex.OnWait = func() time.Time {
		switch {
		case en.called.Load() && c.signal != nil:
			c.signal()
			return c.deadline
		case !en.called.Load() && c.giveUp != nil && c.giveUp():
			return time.Time{}
		case c.signal == nil:
			return c.deadline
		}
		step *= 2
		return e.Clock.Now().Add(step)
	}
}

// interpret tells a shedding answer from one that the backend server has worked for.
func (e *Egress) interpret(c *call, addr string, res upstream.Result) *reply {
	if res.Answer == nil {
		if res.Failure == upstream.FailMismatch {
			event.AnswerCrossed.Write(event.AnswerCrossed.Log(&e.Log).Str("address", addr).Str("request", c.id))
		}
		return fromFailure(res)
	}
	a := res.Answer
	v := e.Dialect.Verdict(a.Status, a.Header)
	if v.Kind == VerdictRan {
		return fromAnswer(a)
	}
	if a.Rest != nil {
		a.Rest.Close()
	}
	switch v.Kind {
	case VerdictShed:
		return refuse(metric.RefusedBackendShed)
	case VerdictMisdirected:
		e.Own.Misdirected(v.BackendID)
		return refuse(metric.RefusedWrongService)
	}
	return &reply{outcome: idempotency.OutcomeUnknown, reason: metric.RefusedAnswerBroken}
}

func (e *Egress) load() *balance.Load {
	l := balance.Load(e.Gate.Load())
	return &l
}
