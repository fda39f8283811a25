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
	"github.com/monsoonlatch/monsoonlatch/pkg/idempotency"
	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
	"github.com/monsoonlatch/monsoonlatch/pkg/retry"
	"github.com/monsoonlatch/monsoonlatch/pkg/upstream"
)

// IngressSettings are what an Ingress works with. All but Log and Egress are required; without an Egress the node has
// no instance of its own.
type IngressSettings struct {
	Self    membership.InstanceID
	Source  config.Source
	View    membership.View
	Guard   idempotency.Guard
	Egress  *Egress
	Peers   *upstream.Pool
	Calls   *Calls
	Picker  *balance.Picker
	Retry   *retry.Decider
	Metrics *metric.Set
	Clock   clock.Clock
	Log     zerolog.Logger
}

// Ingress takes calls from callers and sends each to an instance of its service.
type Ingress struct {
	IngressSettings
	track  tracker
	choice choice
}

// NewIngress returns an ingress that takes calls at once. Run keeps its view of the membership fresh.
func NewIngress(s IngressSettings) *Ingress {
	return &Ingress{IngressSettings: s, choice: choice{picker: s.Picker, budget: s.Retry, view: s.View}}
}

// Run follows the membership until ctx ends.
func (in *Ingress) Run(ctx context.Context) { in.choice.watch(ctx, in.Clock.Now) }

// BeginDrain refuses new calls from now on. Calls that the own backend server makes for work in progress still pass.
func (in *Ingress) BeginDrain() {
	in.track.drain()
	event.DrainStarted.Write(event.DrainStarted.Log(&in.Log).Str("part", "ingress"))
}

// WaitIdle returns when no call is in flight or ctx ends. The egress must be idle first, since its work may still make
// calls here.
func (in *Ingress) WaitIdle(ctx context.Context) error { return in.track.wait(ctx) }

// ServeHTTP takes a call from a caller.
func (in *Ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	parent := in.Calls.find(first(r.Header, HeaderCall))
	if !in.track.enter(parent != nil) {
		in.Metrics.Refused(metric.RefusedDraining)
		_ = refuse(metric.RefusedDraining).write(w, r, "", time.Time{})
		return
	}
	defer in.track.leave()
	c, rep := in.parse(r, parent)
	if rep == nil {
		rep = in.forward(r.Context(), c)
	}
	if rep.reason != "" {
		in.Metrics.Refused(rep.reason)
	}
	if err := rep.write(w, r, c.id, c.deadline); err != nil {
		event.AnswerCut.Write(event.AnswerCut.Log(&in.Log).Err(err).Str("service", c.service).Str("request", c.id))
		panic(http.ErrAbortHandler)
	}
}

// minPatience leaves room for the way between regions and back, and for the first signs of life.
const minPatience = 100 * time.Millisecond

// parse builds the call from the snapshot in force. The call is never nil.
func (in *Ingress) parse(r *http.Request, parent *entry) (*call, *reply) {
	now := in.Clock.Now()
	c := &call{id: newID(), method: r.Method, url: r.URL, host: r.Host, header: r.Header, arrived: now}
	snap := in.Source.Current()
	if snap == nil {
		return c, refuseUnread(metric.RefusedNotReady)
	}
	if r.Method == http.MethodConnect || first(r.Header, "Upgrade") != "" || badKey(r.Header[headerKey]) {
		return c, refuseUnread(metric.RefusedMalformed)
	}
	m, ok := snap.Match(r.Method, r.URL.Path)
	if !ok {
		return c, refuseUnread(metric.RefusedNoRoute)
	}
	c.apply(m, snap.Version, now)
	if parent != nil {
		c.inherit(parent)
	}
	if c.hops > MaxHops {
		event.HopLimit.Write(event.HopLimit.Log(&in.Log).Str("service", c.service).Str("request", c.id))
		return c, refuseUnread(metric.RefusedHops)
	}
	stripHopByHop(c.header)
	stripSystem(c.header)
	return c, c.load(r)
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
	c.idempotent, c.key = m.Route.Idempotent, first(c.header, headerKey)
	c.patience = max(minPatience, 2*c.target)
	if c.window = m.Policy.IdempotencyWindow.Std(); c.window == 0 {
		c.window = config.DefaultIdempotencyWindow
	}
}

// load reads the body whole, so that a slow caller takes no slot and the call can be sent again.
func (c *call) load(r *http.Request) *reply {
	b, err := readBody(r)
	switch {
	case err == errTooLarge:
		return refuseUnread(metric.RefusedTooLarge)
	case err != nil && r.Context().Err() != nil:
		return refuse(metric.RefusedCallerGone)
	case err != nil:
		return refuseUnread(metric.RefusedMalformed)
	}
	c.body = b
	return nil
}
