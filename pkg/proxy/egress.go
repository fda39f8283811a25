package proxy

import (
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/monsoonlatch/monsoonlatch/pkg/balance"
	"github.com/monsoonlatch/monsoonlatch/pkg/clock"
	"github.com/monsoonlatch/monsoonlatch/pkg/config"
	"github.com/monsoonlatch/monsoonlatch/pkg/event"
	"github.com/monsoonlatch/monsoonlatch/pkg/idempotency"
	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
	"github.com/monsoonlatch/monsoonlatch/pkg/rollout"
	"github.com/monsoonlatch/monsoonlatch/pkg/upstream"
)

// maxStoredBodyBytes bounds the response to a keyed request in bytes, because the idempotency record holds the whole
// response.
const maxStoredBodyBytes = 4 << 20

// EgressSettings configures an Egress. All fields are required unless noted; Log may be the zero value.
type EgressSettings struct {
	Local LocalInstance
	Gate  Gate
	// Guard keeps the results of keyed calls. If it is nil, keyed calls of other nodes are refused.
	Guard   idempotency.Guard
	Backend *upstream.Pool
	Calls   *Calls
	Metrics *metric.Set
	Clock   clock.Clock
	Log     zerolog.Logger
	// Dialect is the protocol of the backend server; nil means Native.
	Dialect Dialect
	// Bodies limits the memory that request bodies take; nil means no limit.
	Bodies *BodyBudget
	// ReadAhead limits the memory for responses that are read from the backend server before their receivers take them, and
	// ReadAheadBytes that for one response; zero means DefaultReadAhead. Without ReadAhead, nothing is read ahead.
	ReadAhead      *BodyBudget
	ReadAheadBytes int64
	// Source, if set, provides the current configuration of this node. Responses carry its version if it is newer than
	// that of the call.
	Source config.Source
	// Versions, if set, decides which requests the instance gets while a version is rolled out.
	Versions VersionGate
	// Cold, if set, reports whether the instance is still slow after its start.
	Cold func(now time.Time) bool
	// OnNewerVersion, if set, is called with the IP address of a node that has a newer configuration.
	OnNewerVersion func(addr string)
}

// Egress passes calls to the local backend server. Its HTTP handler accepts them from other nodes.
type Egress struct {
	EgressSettings
	tracker callTracker
	stop    stopTime
	advice  advice
	times   slotTimes
	// board holds the loads of other instances that this node knows; nil if its choice of instances does not use them.
	board newsBoard
	// sent counts the calls sent to the backend server.
	sent metrics.Counter
}

// NewEgress returns an egress that accepts calls immediately.
func NewEgress(s EgressSettings) *Egress {
	if s.Dialect == nil {
		s.Dialect = Native{}
	}
	return &Egress{EgressSettings: s, sent: s.Metrics.Counter(metric.BackendSent)}
}

// BeginShutdown refuses calls whose deadline is after end, also those that wait for a slot: the end of this node would cut them
// off, while other instances can run them.
func (e *Egress) BeginShutdown(end time.Time) {
	e.stop.set(end)
	event.DrainStarted.Write(event.DrainStarted.Log(&e.Log).Str("part", "egress").Time("until", end))
}

// BeginDrain refuses all new calls from now on.
func (e *Egress) BeginDrain() {
	e.tracker.drain()
	event.DrainStarted.Write(event.DrainStarted.Log(&e.Log).Str("part", "egress"))
}

// WaitIdle blocks until no call is in flight or ctx ends.
func (e *Egress) WaitIdle(ctx context.Context) error {
	return e.tracker.waitDrained(ctx, &e.Log, "egress")
}

// ServeHTTP handles a call from another node.
func (e *Egress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, rep := e.parse(r)
	defer e.Bodies.release(int64(len(c.body)))
	if rep == nil {
		c.sendProcessing = func() { w.WriteHeader(http.StatusProcessing) }
		rep = e.serve(r.Context(), c)
	}
	l := e.Gate.Load()
	if rep.reason != "" {
		e.Metrics.CountRefusal(rep.reason)
		now := e.Clock.Now()
		event.CallTurnedAway.Write(event.CallTurnedAway.Log(&e.Log).Str("request", c.id).Str("service", c.service).Str("route", c.route).Str("tenant", c.tenant).
			Str("reason", string(rep.reason)).Str("outcome", outcomeNames[rep.outcome]).Int("rank", c.rank).Dur("took_ms", now.Sub(c.arrived)).
			Dur("left_ms", c.deadline.Sub(now)).Int("in_use", l.InUse).Int("limit", l.Limit).Int("queued", l.Queued).AnErr("error", rep.err))
	}
	set(w.Header(), HeaderLoad, l.String())
	if rep.reason == "" {
		own, _ := e.Local.Instance()
		e.times.sent(e.Clock.Now(), rep.bodyBytes(), own.Link)
	}
	if c.news != "" {
		set(w.Header(), HeaderNews, e.answerNews(e.Clock.Now(), c, c.news, l))
	}
	// Without the entry, net/http adds a date to each response; the caller's node adds its own.
	w.Header()["Date"] = nil
	e.compareVersions(w, r, c.version)
	if err := rep.write(w, r, Native{}, c.id, c.deadline); err != nil {
		event.AnswerCut.Write(event.AnswerCut.Log(&e.Log).Err(err).Str("service", c.service).Str("request", c.id))
		panic(http.ErrAbortHandler)
	}
}

// current returns the configuration of this node, or nil if there is none.
func (e *Egress) current() *config.Snapshot {
	if e.Source == nil {
		return nil
	}
	return e.Source.Current()
}

// compareVersions compares the configuration versions of this node and of the calling node. It sends a newer own
// version in the response, and calls OnNewerVersion if the calling node has a newer one.
func (e *Egress) compareVersions(w http.ResponseWriter, r *http.Request, peerVersion config.Version) {
	if e.Source == nil {
		return
	}
	var own config.Version
	if snap := e.Source.Current(); snap != nil {
		own = snap.Version
	}
	switch {
	case own > peerVersion:
		setInt(w.Header(), HeaderConfigVersion, int64(own))
	case own < peerVersion && e.OnNewerVersion != nil:
		if host, _, err := net.SplitHostPort(r.RemoteAddr); err == nil {
			e.OnNewerVersion(host)
		}
	}
}

// parse reads a call that the ingress of another node has sent. The call is never nil; the reply is nil unless the
// request is refused.
func (e *Egress) parse(r *http.Request) (*call, *reply) {
	h, now := r.Header, e.Clock.Now()
	c := &call{id: first(h, HeaderRequestID), method: r.Method, url: r.URL, host: r.Host, header: h, arrived: now,
		service: unescapeName(first(h, HeaderService)), route: unescapeName(first(h, HeaderRoute)), policy: unescapeName(first(h, HeaderPolicy)),
		idempotent: first(h, HeaderIdempotent) == "1", retried: first(h, HeaderRetried) == "1",
		caller: unescapeName(first(h, HeaderCaller)), news: first(h, HeaderNews)}
	if tenant, ok := h[HeaderTenant]; ok {
		c.hasTenants, c.tenant = true, unescapeName(tenant[0])
	}
	if snap := e.current(); snap != nil && snap.HasTenants() {
		// The configuration of the calling node may be older than the first one with tenants.
		c.hasTenants = true
		delete(h, headerAuthorization)
	}
	remaining, ok1 := parseInt(h, HeaderRemaining, int64(maxRemaining/time.Microsecond))
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
	c.attempt, c.version, c.idempotencyWindow = int(attempt), config.Version(version), time.Duration(window)*time.Microsecond
	if len(h[HeaderWindow]) > 0 {
		// The ingress sends the window with keyed calls only. In other calls, and in other dialects, the header with the key
		// has no meaning for the mesh.
		c.key = first(h, headerKey)
	}
	clearPeerHeaders(h)
	stripHopByHop(h)
	body, err := readBody(r, math.MaxInt64, e.Bodies)
	switch {
	case err == errBodyMemory:
		return c, refuseUnread(metric.RefusedBodyMemory)
	case err != nil:
		return c, refuseUnread(metric.RefusedMalformed)
	}
	c.body = body
	return c, nil
}

// serve runs a call from another node or from this node's ingress.
func (e *Egress) serve(ctx context.Context, c *call) *reply {
	if !e.tracker.enter(false) {
		return refuse(metric.RefusedDraining)
	}
	if e.Versions != nil {
		if c.permit = e.Versions.Enter(e.Clock.Now()); c.permit == nil {
			e.tracker.leave()
			return refuse(metric.RefusedVersionClosed)
		}
	}
	rep := e.dispatch(ctx, c)
	leave := func(permit *rollout.Permit) {
		permit.Leave()
		e.tracker.leave()
	}
	permit := c.permit
	if rep.rest == nil {
		leave(permit)
	} else {
		rep.rest = &closeNotifier{ReadCloser: rep.rest, onClose: func(bool) { leave(permit) }}
	}
	return rep
}

func (e *Egress) dispatch(ctx context.Context, c *call) *reply {
	own, addr := e.Local.Instance()
	switch {
	case own.Service != c.service:
		return refuse(metric.RefusedWrongService)
	case !e.Local.Admits(e.Clock.Now()):
		if own.State == membership.StateDraining || own.State == membership.StateDeparted {
			return refuse(metric.RefusedDraining)
		}
		return refuse(metric.RefusedNotReady)
	case e.stop.before(c.deadline):
		return refuse(metric.RefusedStopping)
	case c.keyed() && e.Guard == nil:
		return refuse(metric.RefusedKeyClaimUnavailable)
	case c.keyed():
		return e.runKeyed(ctx, c, addr)
	}
	return e.run(ctx, c, addr, c.header)
}

// runKeyed runs a call at most once. The run may outlive the caller's request, so it uses copies of the call and of its
// headers.
func (e *Egress) runKeyed(ctx context.Context, c *call, addr string) *reply {
	copied := *c
	h := c.header.Clone()
	res := e.Guard.Do(ctx, c.keyRequest(), func(runCtx context.Context) idempotency.Result {
		return e.run(runCtx, &copied, addr, h).storedResult()
	})
	rep := replyFromResult(res)
	rep.load = e.load()
	return rep
}

// run waits for a slot and sends the call to the backend server.
func (e *Egress) run(ctx context.Context, c *call, addr string, h http.Header) *reply {
	waiting := &e.times.waiting[min(max(c.rank, 0), config.MaxRank)]
	waiting.Add(1)
	release, refusal := e.Gate.Acquire(ctx, AdmissionRequest{Rank: c.rank, Policy: c.policy, Tenant: c.tenant, Arrived: c.arrived, Deadline: c.deadline,
		Target: c.due, Moved: c.attempt > 0})
	waiting.Add(-1)
	if refusal != nil {
		rep := refuse(refusal.Reason)
		rep.retryAfter, rep.load = refusal.RetryAfter, e.load()
		return rep
	}
	start := e.Clock.Now()
	e.Metrics.Observe(metric.QueueTime, start.Sub(c.arrived))
	if !e.Local.Admits(start) {
		// The backend server started to drain while the call was queued.
		release(false, false, 0)
		return refuse(metric.RefusedDraining)
	}
	if e.stop.before(c.deadline) {
		release(false, false, 0)
		return refuse(metric.RefusedStopping)
	}
	var load Load
	if c.permit != nil {
		load = e.Gate.Load()
	}
	workCtx, interrupt := context.WithCancel(c.workContext(ctx))
	rep := e.exchange(workCtx, c, addr, h, start)
	took := e.Clock.Now().Sub(start)
	e.Metrics.Observe(metric.BackendTime, took)
	if c.permit != nil {
		if s, ok := c.sample(rep, load, e.Cold != nil && e.Cold(start), took); ok {
			c.permit.Ran(s)
		}
	}
	served, shed := rep.outcome == idempotency.OutcomeAnswered, rep.reason == metric.RefusedBackendShed
	if rep.rest == nil {
		interrupt()
		if served {
			e.times.observe(c.route, took)
		}
		release(served, shed, took)
	} else {
		rep.rest = &closeNotifier{ReadCloser: rep.rest, onClose: func(ended bool) {
			took := e.Clock.Now().Sub(start)
			if ended {
				e.times.observe(c.route, took)
			}
			release(ended, false, took)
		}}
		rep.rest = e.readAhead(rep, interrupt)
	}
	rep.load, rep.routeTime = e.load(), e.times.route(c.route)
	return rep
}

// readAhead returns the rest of the body of a reply, which is read ahead if there is memory for it. Closing it calls
// interrupt, which releases the context of the exchange.
func (e *Egress) readAhead(rep *reply, interrupt context.CancelFunc) io.ReadCloser {
	if e.ReadAhead == nil {
		return &closeNotifier{ReadCloser: rep.rest, onClose: func(bool) { interrupt() }}
	}
	left := int64(-1)
	if rep.length >= 0 {
		left = rep.length - int64(len(rep.body))
	}
	limit := e.ReadAheadBytes
	if limit == 0 {
		limit = DefaultReadAhead
	}
	return newReadAhead(rep.rest, left, limit, e.ReadAhead, interrupt)
}

// exchange sends the call to the backend server once and returns its response.
func (e *Egress) exchange(ctx context.Context, c *call, addr string, h http.Header, now time.Time) *reply {
	active := &activeCall{rank: c.rank, hops: c.hops, deadline: c.deadline, retried: c.retried || c.attempt > 0, tenant: c.tenant}
	id := e.Calls.add(active)
	own, _ := e.Local.Instance()
	out := c.outgoing(now)
	out.BackendID, out.Call = own.BackendID, id
	StripMeshHeaders(h)
	e.Dialect.SetOutgoingHeaders(h, out)
	ex := &upstream.Exchange{Request: c.request(h), RequestID: c.id, Idempotent: c.idempotent, Deadline: c.deadline}
	e.Dialect.ConfigureExchange(ex)
	ex.BeforeSend = func() error { return e.checkLeaving(c, now) }
	if c.idempotent {
		e.watchProgress(c, active, ex, now)
	}
	res := e.Backend.Do(ctx, addr, ex)
	rep := e.replyFromBackend(c, addr, res)
	rep.retriedBelow = active.retriedBelow.Load()
	if rep.rest == nil {
		e.Calls.remove(id)
	} else {
		rep.rest = &closeNotifier{ReadCloser: rep.rest, onClose: func(bool) { e.Calls.remove(id) }}
	}
	return rep
}

// errLeft ends a call that was admitted, but is about to be sent when the backend server accepts no requests any more.
var errLeft = errors.New("the backend server accepts no more requests")

// checkLeaving returns an error if the backend server has stopped accepting requests since the call was admitted. It
// counts and logs a call that is sent to a backend server that has announced that it leaves.
func (e *Egress) checkLeaving(c *call, admitted time.Time) error {
	now := e.Clock.Now()
	if !e.Local.Admits(now) {
		return errLeft
	}
	e.sent.Inc(1)
	c.permit.Sent()
	leaving := e.Local.LeavingFor(now)
	if leaving == 0 {
		return nil
	}
	e.Metrics.Observe(metric.SentLeaving, leaving)
	event.SentLeaving.Write(event.SentLeaving.Log(&e.Log).Str("request", c.id).Str("service", c.service).Dur("leaving_ms", leaving).
		Dur("queued_ms", admitted.Sub(c.arrived)).Dur("since_admission_ms", now.Sub(admitted)))
	return nil
}

// firstProgressCheck is the delay before a call from another node is first checked for nested calls. Most calls have
// ended by then and need no check.
const firstProgressCheck = 10 * time.Millisecond

// watchProgress monitors an idempotent call while the backend server has not responded. Once a nested call has arrived,
// the backend server is known to be working: the ingress is told to keep waiting, because only the hop next to a
// failure may retry. Without a nested call the ingress may send the call to another instance.
func (e *Egress) watchProgress(c *call, active *activeCall, ex *upstream.Exchange, now time.Time) {
	step := firstProgressCheck
	if c.requestRetry != nil {
		step = c.attemptTimeout
	}
	ex.ResponseCheckAt = now.Add(step)
	ex.OnNoResponse = func() time.Time {
		switch {
		case active.hasNestedCall.Load() && c.sendProcessing != nil:
			c.sendProcessing()
			return c.deadline
		case !active.hasNestedCall.Load() && c.requestRetry != nil && c.requestRetry():
			return time.Time{}
		case c.sendProcessing == nil:
			return c.deadline
		}
		step *= 2
		return e.Clock.Now().Add(step)
	}
}

// replyFromBackend converts the result of an exchange with the backend server to a reply. Only a response that shows
// that the backend server has run the request is passed on; any other becomes a refusal.
func (e *Egress) replyFromBackend(c *call, addr string, res upstream.Result) *reply {
	if res.Response == nil {
		if res.Failure == upstream.FailMismatch {
			event.AnswerCrossed.Write(event.AnswerCrossed.Log(&e.Log).Str("address", addr).Str("request", c.id))
		}
		return replyFromFailure(res)
	}
	a := res.Response
	v := e.Dialect.Classify(a.Status, a.Header)
	e.TakeAdvice(v)
	if v.Kind == VerdictRan {
		return replyFromResponse(a)
	}
	if a.Remainder != nil {
		a.Remainder.Close()
	}
	switch v.Kind {
	case VerdictShed:
		return refuse(metric.RefusedBackendShed)
	case VerdictMisdirected:
		e.Local.Misdirected(v.BackendID)
		return refuse(metric.RefusedWrongService)
	}
	return &reply{outcome: idempotency.OutcomeUnknown, reason: metric.RefusedAnswerBroken}
}

// TakeAdvice applies what a response of the local backend server says about the work that it takes. It is also called for
// responses to health checks.
func (e *Egress) TakeAdvice(v Verdict) {
	if v.Kind == VerdictMisdirected {
		return // The response comes from another backend server.
	}
	if v.Leaving {
		e.Local.ResponseSaysLeaving()
	}
	limit, limitChanged, leavingChanged := e.advice.observe(e.Clock.Now(), v, e.Gate.SetRate)
	if !limitChanged && !leavingChanged {
		return
	}
	l, log := e.Gate.Load(), e.Log.Sample(nil) // A change of state is not subject to the limit on lines about calls.
	e.Metrics.Gauge(metric.BackendLimit).Update(int64(limit))
	event.BackendAdvice.Write(event.BackendAdvice.Log(&log).Float64("limit", limit).Bool("leaving", v.Leaving).
		Int64("sent", e.sent.Count()).Int("in_use", l.InUse).Int("queued", l.Queued))
}

func (e *Egress) load() *balance.Load {
	l := e.times.complete(e.Clock.Now(), e.Gate.Load())
	return &l
}
