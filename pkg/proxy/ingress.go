package proxy

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

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

// IngressSettings are what an Ingress works with. All but Log and Egress are required; without an Egress the node has
// no instance of its own.
type IngressSettings struct {
	Self   membership.InstanceID
	Source config.Source
	View   membership.View
	Guard  idempotency.Guard
	Egress *Egress
	Peers  *upstream.Pool
	Calls  *Calls
	Picker *balance.Picker
	// Retry bounds the retries of each service.
	Retry   *retry.Budgets
	Metrics *metric.Set
	Clock   clock.Clock
	Log     zerolog.Logger
	// Dialect is the protocol of callers; nil means Native.
	Dialect Dialect
	// Caller is the service that runs on this VM; backend servers may be told where a request entered the mesh.
	Caller string
	// Bodies bounds the memory of request bodies; nil means no bound.
	Bodies *BodyBudget
	// Steadfast makes each attempt wait for its answer until the deadline. Without it an idempotent call that shows no
	// sign of life is sent elsewhere, which ends the work on the first attempt.
	Steadfast bool
	// OnNewer, if set, is called with the control address of a node that serves a newer configuration.
	OnNewer func(controlAddress string)
}

// Ingress takes calls from callers and sends each to an instance of its service.
type Ingress struct {
	IngressSettings
	track  tracker
	choice choice
	splits balance.Splitter
	// leaves is when the node ends, once that is known.
	leaves atomic.Pointer[time.Time]
}

// NewIngress returns an ingress that takes calls at once. Run keeps its view of the membership fresh.
func NewIngress(s IngressSettings) *Ingress {
	if s.Dialect == nil {
		s.Dialect = Native{}
	}
	return &Ingress{IngressSettings: s, choice: choice{picker: s.Picker, budget: s.Retry, view: s.View}}
}

// Run follows the membership until ctx ends.
func (in *Ingress) Run(ctx context.Context) { in.choice.watch(ctx, in.Clock.Now) }

// BeginDrain refuses new calls from now on. Calls that the own backend server makes for work in progress still pass.
func (in *Ingress) BeginDrain() {
	in.track.drain()
	event.DrainStarted.Write(event.DrainStarted.Log(&in.Log).Str("part", "ingress"))
}

// BeginLeave closes each connection after its next answer, so that callers go elsewhere, and refuses calls that might
// not end before the node does. Others are still served: some callers stay while too few nodes of the zone are left.
func (in *Ingress) BeginLeave(end time.Time) {
	in.leaves.Store(&end)
	event.DrainStarted.Write(event.DrainStarted.Log(&in.Log).Str("part", "ingress").Time("until", end))
}

func (in *Ingress) endsTooLate(c *call) bool {
	end := in.leaves.Load()
	return end != nil && c.deadline.After(*end)
}

// WaitQuiet returns when no call has been in flight for quiet, or ctx ends.
func (in *Ingress) WaitQuiet(ctx context.Context, quiet time.Duration) {
	const step = 20 * time.Millisecond
	tick := time.NewTicker(step)
	defer tick.Stop()
	for idle := time.Duration(0); idle < quiet; {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		idle += step
		if in.track.busy() {
			idle = 0
		}
	}
}

// WaitIdle returns when no call is in flight or ctx ends. The egress must be idle first, since its work may still make
// calls here.
func (in *Ingress) WaitIdle(ctx context.Context) error {
	return in.track.finish(ctx, &in.Log, "ingress")
}

// ServeHTTP takes a call from a caller.
func (in *Ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	from := in.Dialect.Incoming(r)
	parent := in.Calls.find(from.Parent)
	if in.leaves.Load() != nil {
		set(w.Header(), headerConnection, "close")
	}
	if !in.track.enter(parent != nil) {
		in.Metrics.CountRefusal(metric.RefusedDraining)
		_ = refuse(metric.RefusedDraining).write(w, r, in.Dialect, from.ID, time.Time{})
		return
	}
	defer in.track.leave()
	c, rep := in.parse(r, from, parent)
	defer in.Bodies.give(int64(len(c.body)))
	if rep == nil && in.endsTooLate(c) {
		rep = refuse(metric.RefusedDraining)
	}
	if rep == nil {
		rep = in.forward(r.Context(), c)
	}
	if rep.reason != "" {
		in.Metrics.CountRefusal(rep.reason)
	}
	in.record(c, rep)
	defer func() { in.Metrics.Observe(metric.CallTime, in.Clock.Now().Sub(c.arrived)) }()
	rep.late = !c.deadline.IsZero() && !in.Clock.Now().Before(c.deadline)
	if err := rep.write(w, r, in.Dialect, c.id, c.deadline); err != nil {
		event.AnswerCut.Write(event.AnswerCut.Log(&in.Log).Err(err).Str("service", c.service).Str("request", c.id))
		panic(http.ErrAbortHandler)
	}
}

// record writes one line for a call that did not end with a good answer.
func (in *Ingress) record(c *call, rep *reply) {
	e := event.CallRefused
	if rep.reason == "" {
		if rep.status < http.StatusInternalServerError {
			return
		}
		e = event.CallFailed
	}
	in.describe(e.Log(&in.Log), c, rep, func(z *zerolog.Event) { e.Write(z) })
}

// describe adds what decided on a call.
func (in *Ingress) describe(z *zerolog.Event, c *call, rep *reply, write func(*zerolog.Event)) {
	now := in.Clock.Now()
	z = z.Str("request", c.id).Str("service", c.service).Str("route", c.route).Str("reason", string(rep.reason)).
		Str("outcome", outcomeNames[rep.outcome]).Int("attempts", len(c.tried)).Int("rank", c.rank).Uint64("version", uint64(c.version)).
		Dur("took_ms", now.Sub(c.arrived)).Dur("left_ms", c.deadline.Sub(now)).Dur("retry_after_ms", rep.retryAfter)
	if n := len(c.tried); n > 0 {
		z = z.Str("instance", string(c.tried[n-1]))
	}
	if rep.status != 0 {
		z = z.Int("status", rep.status)
	}
	if rep.load != nil {
		z = z.Int("in_use", rep.load.InUse).Int("limit", rep.load.Limit).Int("queued", rep.load.Queued)
	}
	if rep.err != nil {
		z = z.Err(rep.err)
	}
	write(z)
}

// minPatience leaves room for the way between regions and back, and for the first signs of life.
const minPatience = 100 * time.Millisecond

// parse builds the call from the snapshot in force. The call is never nil.
func (in *Ingress) parse(r *http.Request, from Incoming, parent *entry) (*call, *reply) {
	now := in.Clock.Now()
	c := &call{id: from.ID, method: r.Method, url: r.URL, host: r.Host, header: r.Header, arrived: now, key: from.Key,
		caller: in.Caller}
	if c.id == "" {
		c.id = newID()
	}
	snap := in.Source.Current()
	if snap == nil {
		return c, refuseUnread(metric.RefusedNotReady)
	}
	if r.Method == http.MethodConnect || first(r.Header, "Upgrade") != "" || from.Malformed {
		return c, refuseUnread(metric.RefusedMalformed)
	}
	m, ok := snap.Match(r.Host, r.Method, r.URL.Path)
	if !ok {
		return c, refuseUnread(metric.RefusedNoRoute)
	}
	c.apply(m, snap.Version, now)
	if len(m.Route.Split) > 0 {
		c.service = in.splits.Next(m.Route.Name, m.Route.Split)
	}
	if from.Remaining > 0 {
		c.deadline = earlier(c.deadline, now.Add(from.Remaining-min(callerMargin, from.Remaining/10)))
	}
	if parent != nil {
		c.inherit(parent)
	}
	if c.hops > MaxHops {
		event.HopLimit.Write(event.HopLimit.Log(&in.Log).Str("service", c.service).Str("request", c.id))
		return c, refuseUnread(metric.RefusedTooManyHops)
	}
	stripHopByHop(c.header)
	return c, c.load(r, bodyLimit(snap), in.Bodies)
}

// callerMargin is the part of the caller's time that is kept back for the way of the request and of the answer, some
// milliseconds each, so that a final answer still reaches the caller.
const callerMargin = 25 * time.Millisecond

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// bodyLimit is the largest body that the configuration allows.
func bodyLimit(snap *config.Snapshot) int64 {
	if n := snap.Configuration.Limits.MaxBodyBytes; n > 0 {
		return n
	}
	return MaxBody
}

// badKey reports a key that is too long, or more than one key.
func badKey(values []string) bool {
	return len(values) > 1 || len(values) == 1 && len(values[0]) > MaxKey
}

// apply sets what the route and its policy say.
func (c *call) apply(m *config.Match, version config.Version, now time.Time) {
	c.version = version
	c.service, c.route, c.policy = m.Route.Service, m.Route.Name, m.Policy.Name
	c.rank, c.maxRetries = m.Policy.Rank, m.Policy.MaxRetries
	c.target, c.deadline = m.Policy.Target.Std(), now.Add(m.Policy.Deadline.Std())
	c.due = now.Add(c.target)
	c.idempotent = m.Route.Idempotent
	c.patience = max(minPatience, 2*c.target)
	if c.window = m.Policy.IdempotencyWindow.Std(); c.window == 0 {
		c.window = config.DefaultIdempotencyWindow
	}
}

// load reads the body whole, so that a slow caller takes no slot and the call can be sent again.
func (c *call) load(r *http.Request, most int64, budget *BodyBudget) *reply {
	b, err := readBody(r, most, budget)
	switch {
	case err == errTooLarge:
		return refuseUnread(metric.RefusedTooLarge)
	case err == errNoMemory:
		return refuseUnread(metric.RefusedBodyMemory)
	case err != nil && r.Context().Err() != nil:
		return refuse(metric.RefusedCallerGone)
	case err != nil:
		return refuseUnread(metric.RefusedMalformed)
	}
	c.body = b
	return nil
}
