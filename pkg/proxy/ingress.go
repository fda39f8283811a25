package proxy

import (
	"context"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"github.com/monsoonlatch/monsoonlatch/pkg/balance"
	"github.com/monsoonlatch/monsoonlatch/pkg/clock"
	"github.com/monsoonlatch/monsoonlatch/pkg/config"
	"github.com/monsoonlatch/monsoonlatch/pkg/event"
	"github.com/monsoonlatch/monsoonlatch/pkg/hedge"
	"github.com/monsoonlatch/monsoonlatch/pkg/idempotency"
	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
	"github.com/monsoonlatch/monsoonlatch/pkg/retry"
	"github.com/monsoonlatch/monsoonlatch/pkg/upstream"
)

// IngressSettings configures an Ingress. All fields are required unless noted; Log may be the zero value. Egress is nil
// if the node has no local instance.
type IngressSettings struct {
	Self   membership.InstanceID
	Source config.Source
	View   membership.View
	// Guard finds the home of keyed calls. If it is nil, no call is treated as keyed.
	Guard  idempotency.Guard
	Egress *Egress
	Peers  *upstream.Pool
	Calls  *Calls
	Picker *balance.Picker
	// Retry limits the retries of each service.
	Retry *retry.Budgets
	// NodeCount, if set, returns the number of nodes that share the retry budget.
	NodeCount func() int
	// Versions, if set, limits the choice of instances during a roll-out.
	Versions VersionChooser
	Metrics  *metric.Set
	Clock    clock.Clock
	Log      zerolog.Logger
	// Dialect is the protocol of callers; nil means Native.
	Dialect Dialect
	// Caller is the service that runs on this VM. It is sent with each call, unless empty, so that backend servers can be
	// told where a request entered the mesh.
	Caller string
	// Bodies limits the memory that request bodies take; nil means no limit.
	Bodies *BodyBudget
	// DisableAttemptTimeout makes each attempt wait for its response until the deadline. Without it an idempotent call
	// without a response may be sent to another instance, which cancels the work on the first attempt.
	DisableAttemptTimeout bool
	// OnNewerVersion, if set, is called with the control address of a node that has a newer configuration.
	OnNewerVersion func(controlAddress string)
	// Quota limits the requests of tenants; nil means no limits.
	Quota Quota
	// KeyRules returns the rules for API keys, and ConfigurationAge the time since the configuration of this node was last
	// known to be the newest one. If either is nil, the configuration is always relied on.
	KeyRules         func() KeyRules
	ConfigurationAge func() time.Duration
	// Hedge plans second requests for calls that take longer than usual; nil means none. Calls that may get one have no attempt
	// timeout.
	Hedge *hedge.Planner
}

// Ingress accepts calls from callers and sends each to an instance of its service.
type Ingress struct {
	IngressSettings
	tracker  callTracker
	selector selector
	splitter balance.Splitter
	stop     stopTime
	zones    *zoneTraffic
	hedges   hedger
}

// NewIngress returns an ingress that accepts calls immediately. Run must be started to keep its list of instances up
// to date.
func NewIngress(s IngressSettings) *Ingress {
	if s.Dialect == nil {
		s.Dialect = Native{}
	}
	in := &Ingress{IngressSettings: s, zones: newZoneTraffic(s.Metrics), hedges: hedger{planner: s.Hedge},
		selector: selector{picker: s.Picker, retryBudgets: s.Retry, view: s.View, nodeCount: s.NodeCount, versions: s.Versions}}
	if s.Picker != nil && s.Picker.ExchangesNews() {
		in.selector.exchangesNews = true
		if s.Egress != nil {
			s.Egress.board = &in.selector
		}
	}
	return in
}

// Run updates the list of instances when the membership changes, until ctx ends.
func (in *Ingress) Run(ctx context.Context) { in.selector.followMembership(ctx, in.Clock.Now) }

// BeginDrain refuses new calls from now on. Nested calls that the local backend server makes for work in progress are
// still accepted.
func (in *Ingress) BeginDrain() {
	in.tracker.drain()
	event.DrainStarted.Write(event.DrainStarted.Log(&in.Log).Str("part", "ingress"))
}

// BeginShutdown closes each connection after its next response, so that callers move to other nodes, and refuses calls
// whose deadline is after end. All other calls are still served, because some callers stay on this node as long as too
// few other nodes are left in the zone.
func (in *Ingress) BeginShutdown(end time.Time) {
	in.stop.set(end)
	event.DrainStarted.Write(event.DrainStarted.Log(&in.Log).Str("part", "ingress").Time("until", end))
}

// WaitQuiet blocks until no call has been in flight for the duration quiet, or ctx ends.
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
		if in.tracker.busy() {
			idle = 0
		}
	}
}

// WaitIdle blocks until no call is in flight or ctx ends. It must be called after the egress is idle, because work in
// progress there may still make nested calls here.
func (in *Ingress) WaitIdle(ctx context.Context) error {
	return in.tracker.waitDrained(ctx, &in.Log, "ingress")
}

// ServeHTTP handles a call from a caller.
func (in *Ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	incoming := in.Dialect.ParseIncoming(r)
	parent := in.Calls.find(incoming.Parent)
	if in.stop.isSet() {
		set(w.Header(), headerConnection, "close")
	}
	if !in.tracker.enter(parent != nil) {
		in.Metrics.CountRefusal(metric.RefusedDraining)
		_ = refuse(metric.RefusedDraining).write(w, r, in.Dialect, incoming.ID, time.Time{})
		return
	}
	defer in.tracker.leave()
	c, rep := in.parse(r, incoming, parent)
	if rep == nil && callerLeft(r.Context()) {
		// The request has waited behind another one. Closing the connection discards those behind it.
		rep = refuseUnread(metric.RefusedCallerGone)
	}
	defer in.Bodies.release(int64(len(c.body)))
	if rep == nil && in.stop.before(c.deadline) {
		rep = refuse(metric.RefusedDraining)
	}
	if rep == nil {
		ctx, stop := watchCaller(r.Context())
		defer stop()
		rep = in.forward(ctx, c)
	}
	if rep.reason != "" {
		in.Metrics.CountRefusal(rep.reason)
	}
	in.logFailure(c, rep)
	defer func() { in.Metrics.Observe(metric.CallTime, in.Clock.Now().Sub(c.arrived)) }()
	rep.late = !c.deadline.IsZero() && !in.Clock.Now().Before(c.deadline)
	if err := rep.write(w, r, in.Dialect, c.id, c.deadline); err != nil {
		event.AnswerCut.Write(event.AnswerCut.Log(&in.Log).Err(err).Str("service", c.service).Str("request", c.id))
		panic(http.ErrAbortHandler)
	}
}

// logFailure logs a call that was refused, or whose response has a status of 500 or above.
func (in *Ingress) logFailure(c *call, rep *reply) {
	e := event.CallRefused
	if rep.reason == "" {
		if rep.status < http.StatusInternalServerError {
			return
		}
		e = event.CallFailed
	}
	in.writeCallEvent(e.Log(&in.Log), c, rep, func(z *zerolog.Event) { e.Write(z) })
}

// writeCallEvent adds the details of the call and of its reply to a log event, and writes it.
func (in *Ingress) writeCallEvent(z *zerolog.Event, c *call, rep *reply, write func(*zerolog.Event)) {
	now := in.Clock.Now()
	z = z.Str("request", c.id).Str("service", c.service).Str("route", c.route).Str("tenant", c.tenant).Str("reason", string(rep.reason)).
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

// minAttemptTimeout covers a round trip between regions and the first checks for nested calls at the egress.
const minAttemptTimeout = 100 * time.Millisecond

// parse builds the call from the request and the current configuration snapshot. The call is never nil; the reply is
// nil unless the request is refused.
func (in *Ingress) parse(r *http.Request, incoming Incoming, parent *activeCall) (*call, *reply) {
	now := in.Clock.Now()
	c := &call{id: incoming.ID, method: r.Method, url: r.URL, host: r.Host, header: r.Header, arrived: now, caller: in.Caller}
	if in.Guard != nil {
		c.key = incoming.Key
	}
	if c.id == "" {
		c.id = newID()
	}
	m, tenant, rep := in.resolve(r, c, incoming, parent)
	if rep != nil {
		return c, rep
	}
	if len(m.Route.Split) > 0 {
		c.service = in.splitter.Next(m.Route.Name, m.Route.Split)
	}
	if incoming.Remaining > 0 {
		c.deadline = earlier(c.deadline, now.Add(incoming.Remaining-min(callerMargin, incoming.Remaining/10)))
	}
	if parent != nil {
		c.inheritLimits(parent)
	}
	if c.hops > MaxHops {
		event.HopLimit.Write(event.HopLimit.Log(&in.Log).Str("service", c.service).Str("request", c.id))
		return c, refuseUnread(metric.RefusedTooManyHops)
	}
	if rep := in.admitQuota(r, tenant, now); rep != nil {
		return c, rep
	}
	stripHopByHop(c.header)
	return c, c.bufferBody(r, c.bodyLimit, in.Bodies)
}

// resolve finds the route and the tenant of a call in the current configuration. The reply is nil unless the call is refused.
// It counts nothing, so that Explain can use it.
func (in *Ingress) resolve(r *http.Request, c *call, incoming Incoming, parent *activeCall) (*config.Match, *config.Tenant, *reply) {
	snap := in.Source.Current()
	if snap == nil {
		return nil, nil, refuseUnread(metric.RefusedNotReady)
	}
	c.version, c.bodyLimit = snap.Version, bodyLimit(snap)
	if r.Method == http.MethodConnect || first(r.Header, "Upgrade") != "" || incoming.Malformed {
		return nil, nil, refuseUnread(metric.RefusedMalformed)
	}
	m, ok := snap.Match(r.Host, r.Method, r.URL.Path)
	if !ok {
		return nil, nil, refuseUnread(metric.RefusedNoRoute)
	}
	c.parent = parent
	tenant, rep := in.identify(r, c, snap, m.Route.Public, incoming.Credential)
	c.applyRoute(m, tenant, snap.Version, c.arrived)
	return m, tenant, rep
}

// callerMargin is the part of the caller's timeout that is reserved for the transfer of the request and of the
// response, some milliseconds each, so that the final response still reaches the caller. It is at most a tenth of that
// timeout.
const callerMargin = 25 * time.Millisecond

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// bodyLimit returns the maximum size of a request body in bytes.
func bodyLimit(snap *config.Snapshot) int64 {
	if n := snap.Configuration.Limits.MaxBodyBytes; n > 0 {
		return n
	}
	return DefaultMaxBodyBytes
}

// badKey reports whether there is more than one idempotency key, or one that is too long.
func badKey(values []string) bool {
	return len(values) > 1 || len(values) == 1 && len(values[0]) > MaxKeyBytes
}

// applyRoute sets the fields that follow from the matched route, its policy and the tenant, which is nil if the call
// belongs to none. The priority of a tenant takes precedence over that of the policy.
func (c *call) applyRoute(m *config.Match, tenant *config.Tenant, version config.Version, now time.Time) {
	c.version = version
	c.service, c.route, c.policy = m.Route.Service, m.Route.Name, m.Policy.Name
	c.rank, c.maxRetries = m.Policy.Rank, m.Policy.MaxRetries
	if tenant != nil {
		c.rank = m.Policy.RankFor(tenant.PriorityClass)
	}
	c.latencyTarget, c.deadline = m.Policy.Target.Std(), now.Add(m.Policy.Deadline.Std())
	c.due = now.Add(c.latencyTarget)
	c.idempotent = m.Route.Idempotent
	c.attemptTimeout = max(minAttemptTimeout, 2*c.latencyTarget)
	if c.idempotencyWindow = m.Policy.IdempotencyWindow.Std(); c.idempotencyWindow == 0 {
		c.idempotencyWindow = config.DefaultIdempotencyWindow
	}
}

// bufferBody reads the whole body into memory, so that a slow caller occupies no slot and the call can be retried.
func (c *call) bufferBody(r *http.Request, limit int64, budget *BodyBudget) *reply {
	b, err := readBody(r, limit, budget)
	switch {
	case err == errTooLarge:
		return refuseUnread(metric.RefusedTooLarge)
	case err == errBodyMemory:
		return refuseUnread(metric.RefusedBodyMemory)
	case err != nil && r.Context().Err() != nil:
		return refuse(metric.RefusedCallerGone)
	case err != nil:
		return refuseUnread(metric.RefusedMalformed)
	}
	c.body = b
	return nil
}
