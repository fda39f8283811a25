// Package relay is the duty that a few nodes of each availability zone have besides their own: they watch the head on
// the platform, feed the nodes of their zone, exchange membership with the relays of other zones, and write the status
// of their nodes. Two holders of one slot do no harm: a relay only repeats accepted versions and newer records, and
// receivers refuse older ones.
package relay

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/monsoonlatch/monsoonlatch/pkg/clock"
	"github.com/monsoonlatch/monsoonlatch/pkg/event"
	"github.com/monsoonlatch/monsoonlatch/pkg/fault"
	"github.com/monsoonlatch/monsoonlatch/pkg/lease"
	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
	"github.com/monsoonlatch/monsoonlatch/pkg/platform"
	"github.com/monsoonlatch/monsoonlatch/pkg/rpcwire"
	"github.com/monsoonlatch/monsoonlatch/pkg/syncer"
)

// Slots is the number of relays in each availability zone.
const Slots = lease.SlotsPerZone

// Settings of the relay duty. Zero values mean the defaults.
type Settings struct {
	// FullRate and FullBurst bound complete answers a second; the rest get a retry-after. A relay of 131 nodes thus
	// serves all of them within 14 s after a herd of restarts, with the exchange of at most 10 tables a second.
	FullRate  float64
	FullBurst int
	// ColdSettle is how long a relay looks for others before it takes its own membership for complete.
	ColdSettle    time.Duration
	LeaseDuration time.Duration
	LeaseRenew    time.Duration
	// PlatformRate and PlatformBurst bound the relay's calls to the platform. A relay needs about one a second, and up
	// to six while a herd of nodes restarts; the burst covers taking up the duty.
	PlatformRate  float64
	PlatformBurst int
	// PlatformTimeout bounds one call of the platform other than a watch.
	PlatformTimeout time.Duration
	// Jitter returns a random duration in [0, d).
	Jitter func(d time.Duration) time.Duration
}

func (s Settings) withDefaults() Settings {
	setDefault(&s.FullRate, 10)
	setDefault(&s.FullBurst, 10)
	setDefault(&s.ColdSettle, 5*time.Second)
	setDefault(&s.LeaseDuration, lease.DefaultDuration)
	setDefault(&s.LeaseRenew, lease.DefaultRenewInterval)
	setDefault(&s.PlatformRate, 8)
	setDefault(&s.PlatformBurst, 20)
	setDefault(&s.PlatformTimeout, 2*time.Second)
	if s.Jitter == nil {
		s.Jitter = syncer.Jitter
	}
	return s
}

func setDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

// Relay contends for the relay duty of the node's availability zone and carries it out while it holds a lease. It
// implements kernel.Service.
type Relay struct {
	settings Settings
	node     *syncer.Syncer
	store    platform.Store
	caller   rpcwire.Caller
	clock    clock.Clock
	log      zerolog.Logger
	metrics  *metric.Set

	duty atomic.Pointer[duty]
	// renewed is when the last write of the lease that took effect began, in Unix nanoseconds.
	renewed atomic.Int64
	cancel  context.CancelFunc
	wg      sync.WaitGroup
}

// New returns a relay that has not started.
func New(settings Settings, node *syncer.Syncer, store platform.Store, caller rpcwire.Caller, c clock.Clock, log zerolog.Logger, set *metric.Set) *Relay {
	settings = settings.withDefaults()
	store = platform.Limit(store, settings.PlatformRate, settings.PlatformBurst, set)
	return &Relay{settings: settings, node: node, store: store, caller: caller, clock: c, log: log, metrics: set}
}

// Name returns the relay's name in the kernel.
func (r *Relay) Name() string { return "relay" }

// Start begins to contend and returns at once.
func (r *Relay) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	r.wg.Go(func() { r.run(ctx) })
	return nil
}

// Stop gives up the lease, so that another node can take it at once, and ends the duty.
func (r *Relay) Stop(context.Context) error {
	if r.cancel != nil {
		r.cancel()
	}
	r.wg.Wait()
	return nil
}

// Holds returns the slot that the node holds.
func (r *Relay) Holds() (slot uint8, ok bool) {
	if d := r.duty.Load(); d != nil {
		return d.info.Slot, true
	}
	return 0, false
}

const (
	// contendSoon spreads the contenders of a zone without a relay, contendLater those of a zone with one: 131 nodes
	// then read lease objects a few times a second.
	contendSoon  = 5 * time.Second
	contendLater = 30 * time.Second
	// lookPeriod is how often a node checks whether its zone lacks a relay.
	lookPeriod = time.Second
)

func (r *Relay) run(ctx context.Context) {
	for clock.Sleep(ctx, lookPeriod) {
		if !r.node.Asked() || r.node.ZoneRelays() >= Slots {
			continue
		}
		spread := contendLater
		if r.node.ZoneRelays() == 0 {
			spread = contendSoon
		}
		if clock.Sleep(ctx, r.settings.Jitter(spread)) && r.node.ZoneRelays() < Slots {
			r.contend(ctx)
		}
	}
}

func (r *Relay) self() membership.Instance { return r.node.Self() }

// slotLease is the contender for one slot with the I/O around it.
type slotLease struct {
	relay     *Relay
	slot      uint8
	contender *lease.Contender
	// version is that of the object as last written or read, for the release.
	version string
}

func (r *Relay) newSlot(slot uint8) *slotLease {
	me := r.self()
	l := lease.Lease{Holder: string(me.ID), Address: me.ControlAddress, Incarnation: me.Incarnation}
	return &slotLease{relay: r, slot: slot, contender: lease.New(l, r.settings.LeaseDuration, r.settings.LeaseRenew)}
}

// contend tries for both slots until one is held or the zone has its relays.
func (r *Relay) contend(ctx context.Context) {
	first := uint8(r.settings.Jitter(Slots))
	slots := []*slotLease{r.newSlot(first), r.newSlot(1 - first)}
	for ctx.Err() == nil && r.node.ZoneRelays() < Slots {
		next := r.clock.Now().Add(lookPeriod)
		for _, s := range slots {
			if step := s.contender.Next(r.clock.Now()); step.Action == lease.Wait {
				next = earlier(next, step.At)
			} else {
				s.perform(ctx, step)
				next = r.clock.Now()
			}
			if s.contender.Holding() {
				r.hold(ctx, s)
				return
			}
		}
		clock.Sleep(ctx, max(0, next.Sub(r.clock.Now())))
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// hold carries out the duty until another holder is seen or the node stops.
func (r *Relay) hold(ctx context.Context, s *slotLease) {
	d := newDuty(r, s.slot)
	r.duty.Store(d)
	logWith(&r.log, event.RelayStarted, func(e *zerolog.Event) { e.Uint8("slot", s.slot) })
	dutyCtx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { d.run(dutyCtx) })
	for ctx.Err() == nil && s.contender.Holding() {
		step := s.contender.Next(r.clock.Now())
		if step.Action == lease.Wait {
			clock.Sleep(ctx, step.At.Sub(r.clock.Now()))
			continue
		}
		s.perform(ctx, step)
	}
	if ctx.Err() == nil {
		other, _ := s.contender.OtherHolder()
		r.metrics.Counter("relay.replaced").Inc(1)
		logWith(&r.log, event.RelayReplaced, func(e *zerolog.Event) { e.Uint8("slot", s.slot).Str("holder", other.Holder) })
	}
	r.duty.Store(nil)
	cancel()
	wg.Wait()
	if ctx.Err() != nil {
		s.release()
	}
	logWith(&r.log, event.RelayStopped, func(e *zerolog.Event) { e.Uint8("slot", s.slot) })
}

// release deletes the lease object, so that the next contender does not wait for it to lapse.
func (s *slotLease) release() {
	ctx, cancel := context.WithTimeout(context.Background(), s.relay.settings.PlatformTimeout)
	defer cancel()
	if err := s.relay.store.Delete(ctx, platform.KindRelayLease, s.name(), s.version); err != nil {
		s.relay.metrics.Counter("relay.lease_not_released").Inc(1)
	}
}

func (s *slotLease) name() string {
	return lease.Name(s.relay.self().AvailabilityZone, s.slot)
}

// perform carries out a step and reports the result to the contender.
func (s *slotLease) perform(ctx context.Context, step lease.Step) {
	ctx, cancel := context.WithTimeout(ctx, s.relay.settings.PlatformTimeout)
	defer cancel()
	if step.Action == lease.Read {
		s.read(ctx)
		return
	}
	began := s.relay.clock.Now()
	spec, err := json.Marshal(step.Lease)
	if err != nil {
		panic("relay: " + err.Error()) // a Lease has only strings and numbers
	}
	obj := platform.Object{Kind: platform.KindRelayLease, Name: s.name(), Version: step.Version, Spec: spec}
	if step.Action == lease.Create {
		obj, err = s.relay.store.Create(ctx, obj)
	} else {
		obj, err = s.relay.store.Update(ctx, obj)
	}
	now := s.relay.clock.Now()
	switch {
	case err == nil:
		s.version = obj.Version
		s.relay.renewed.Store(began.UnixNano())
		s.contender.ObserveWrite(began, now, lease.Done, obj.Version, step.Lease)
	case fault.Is(err, fault.Conflict), fault.Is(err, fault.NotFound):
		s.contender.ObserveWrite(began, now, lease.Conflict, "", step.Lease)
	default:
		s.relay.limited(err, "lease")
		s.contender.ObserveWrite(began, now, lease.Unknown, "", step.Lease)
	}
}

func (s *slotLease) read(ctx context.Context) {
	obj, err := s.relay.store.Get(ctx, platform.KindRelayLease, s.name())
	now := s.relay.clock.Now()
	var l lease.Lease
	switch {
	case fault.Is(err, fault.NotFound):
		s.contender.ObserveAbsent()
		return
	case err != nil:
		s.relay.limited(err, "lease")
		s.contender.ObserveReadFailure(now)
		return
	}
	// A lease that cannot be read has no holder that renews it, so it lapses like any other.
	_ = json.Unmarshal(obj.Spec, &l)
	s.version = obj.Version
	s.contender.ObserveRead(now, obj.Version, l)
	if _, other := s.contender.OtherHolder(); other && s.relay.node.ZoneRelays() == 0 {
		// The holder may live: the node tries it while the lease is observed.
		zone := s.relay.self().AvailabilityZone
		s.relay.node.AddRelays([]syncer.RelayInfo{{Zone: zone, Slot: s.slot, Node: membership.InstanceID(l.Holder), Address: l.Address}})
	}
}

// limited counts a platform call that the budget refused.
func (r *Relay) limited(err error, what string) {
	if !fault.Is(err, fault.Limited) {
		return
	}
	r.metrics.Counter("relay.limited." + what).Inc(1)
	logWith(&r.log, event.RelayLimited, func(e *zerolog.Event) { e.Str("call", what) })
}

func logWith(l *zerolog.Logger, e event.Event, fields func(*zerolog.Event)) {
	z := e.Log(l)
	fields(z)
	e.Write(z)
}
