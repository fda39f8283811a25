// Package relay implements the relay role, which a few nodes of each availability zone take in addition to their own
// work. Relays watch the head configuration on the platform, distribute configuration and membership to the nodes of
// their zone, exchange membership with the relays of other zones, and write the status of their nodes to the platform.
// Two nodes may hold the same slot for a while without harm: a relay only forwards accepted configuration versions and
// membership records, and receivers reject versions and records that are older than their own.
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

// RelaysPerZone is the number of relays in each availability zone.
const RelaysPerZone = lease.SlotsPerZone

// Settings configures the relay role. Zero values select the defaults.
type Settings struct {
	// FullResponseRate and FullResponseBurst limit the full responses, which carry the whole configuration and all
	// membership records; the rate is per second. Nodes over the limit are told to retry later. A relay that serves
	// 131 nodes thus sends each of them the full state within 14 s of a mass restart, at no more than 10 membership
	// tables a second.
	FullResponseRate  float64
	FullResponseBurst int
	// InitialSyncTimeout is how long a newly started relay tries to exchange with other relays before it treats its own
	// membership table as complete. While an exchange is in flight, it waits up to three times as long.
	InitialSyncTimeout time.Duration
	LeaseDuration      time.Duration
	LeaseRenew         time.Duration
	// PlatformRate and PlatformBurst limit the relay's calls to the platform. A relay needs about one call a second, and
	// up to six during a mass restart of nodes; the burst covers the calls made when the node becomes a relay.
	PlatformRate  float64
	PlatformBurst int
	// PlatformTimeout is the timeout of a platform call other than a watch.
	PlatformTimeout time.Duration
	// Jitter returns a random duration in [0, d).
	Jitter func(d time.Duration) time.Duration
}

func (s Settings) withDefaults() Settings {
	setDefault(&s.FullResponseRate, 10)
	setDefault(&s.FullResponseBurst, 10)
	setDefault(&s.InitialSyncTimeout, 5*time.Second)
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

// Relay contends for a relay lease of the node's availability zone and acts as a relay while it holds one. It
// implements kernel.Service.
type Relay struct {
	settings Settings
	node     *syncer.Syncer
	store    platform.Store
	caller   rpcwire.Caller
	clock    clock.Clock
	log      zerolog.Logger
	metrics  *metric.Set

	active atomic.Pointer[activeRelay]
	// leaseRenewedAt is the start time of the last confirmed write of the lease, in Unix nanoseconds.
	leaseRenewedAt atomic.Int64
	cancel         context.CancelFunc
	wg             sync.WaitGroup
}

// New returns a Relay; Start starts it.
func New(settings Settings, node *syncer.Syncer, store platform.Store, caller rpcwire.Caller, c clock.Clock,
	log zerolog.Logger, set *metric.Set) *Relay {
	settings = settings.withDefaults()
	store = platform.Limit(store, settings.PlatformRate, settings.PlatformBurst, set)
	return &Relay{settings: settings, node: node, store: store, caller: caller, clock: c, log: log, metrics: set}
}

// Name implements kernel.Service.
func (r *Relay) Name() string { return "relay" }

// Start starts contending for a lease in the background.
func (r *Relay) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	r.wg.Go(func() { r.run(ctx) })
	return nil
}

// Stop ends the relay role and releases the lease, so that another node can take it at once.
func (r *Relay) Stop(context.Context) error {
	if r.cancel != nil {
		r.cancel()
	}
	r.wg.Wait()
	return nil
}

// HeldSlot returns the relay slot whose lease this node holds; ok is false if it holds none.
func (r *Relay) HeldSlot() (slot uint8, ok bool) {
	if a := r.active.Load(); a != nil {
		return a.selfInfo.Slot, true
	}
	return 0, false
}

const (
	// contendSpreadNoRelay and contendSpreadOneRelay are the upper bounds of the random delay before a node contends for
	// a lease, in a zone without relays and in a zone with one. They keep the lease reads of 131 nodes at a few a second.
	contendSpreadNoRelay  = 5 * time.Second
	contendSpreadOneRelay = 30 * time.Second
	// relayCheckPeriod is the interval at which a node checks whether its zone lacks a relay.
	relayCheckPeriod = time.Second
)

func (r *Relay) run(ctx context.Context) {
	for clock.Sleep(ctx, relayCheckPeriod) {
		if !r.node.QuorumReached() || r.node.LiveZoneRelays() >= RelaysPerZone {
			continue
		}
		spread := contendSpreadOneRelay
		if r.node.LiveZoneRelays() == 0 {
			spread = contendSpreadNoRelay
		}
		if clock.Sleep(ctx, r.settings.Jitter(spread)) && r.node.LiveZoneRelays() < RelaysPerZone {
			r.contend(ctx)
		}
	}
}

func (r *Relay) self() membership.Instance { return r.node.Self() }

// slotLease performs the platform calls of the contender for one slot.
type slotLease struct {
	relay     *Relay
	slot      uint8
	contender *lease.Contender
	// version is the version of the lease object as last read or written; release needs it.
	version string
}

func (r *Relay) newSlotLease(slot uint8) *slotLease {
	self := r.self()
	l := lease.Lease{Holder: string(self.ID), Address: self.ControlAddress, Incarnation: self.Incarnation}
	return &slotLease{relay: r, slot: slot, contender: lease.New(l, r.settings.LeaseDuration, r.settings.LeaseRenew)}
}

// contend contends for the leases of both slots of the zone until all slots have live relays, and runs the relay role
// if this node acquires one.
func (r *Relay) contend(ctx context.Context) {
	first := uint8(r.settings.Jitter(RelaysPerZone))
	slots := []*slotLease{r.newSlotLease(first), r.newSlotLease(1 - first)}
	for ctx.Err() == nil && r.node.LiveZoneRelays() < RelaysPerZone {
		next := r.clock.Now().Add(relayCheckPeriod)
		for _, s := range slots {
			if step := s.contender.Next(r.clock.Now()); step.Action == lease.Wait {
				next = earlier(next, step.At)
			} else {
				s.perform(ctx, step)
				next = r.clock.Now()
			}
			if s.contender.Holding() {
				r.runWhileHolding(ctx, s)
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

// runWhileHolding runs the relay role until the lease has another holder or the node stops.
func (r *Relay) runWhileHolding(ctx context.Context, s *slotLease) {
	a := newActiveRelay(r, s.slot)
	r.active.Store(a)
	logWith(&r.log, event.RelayStarted, func(e *zerolog.Event) { e.Uint8("slot", s.slot) })
	activeCtx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { a.run(activeCtx) })
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
	r.active.Store(nil)
	cancel()
	wg.Wait()
	if ctx.Err() != nil {
		s.release()
	}
	logWith(&r.log, event.RelayStopped, func(e *zerolog.Event) { e.Uint8("slot", s.slot) })
}

// release deletes the lease object, so that the next contender need not wait for it to expire.
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

// perform executes a step and reports its result to the contender.
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
		s.relay.leaseRenewedAt.Store(began.UnixNano())
		s.contender.ObserveWrite(began, now, lease.Done, obj.Version, step.Lease)
	case fault.Is(err, fault.Conflict), fault.Is(err, fault.NotFound):
		s.contender.ObserveWrite(began, now, lease.Conflict, "", step.Lease)
	default:
		s.relay.reportRateLimited(err, "lease")
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
		s.relay.reportRateLimited(err, "lease")
		s.contender.ObserveReadFailure(now)
		return
	}
	// The holder of a malformed lease object is unknown and cannot renew it, so the lease expires like any other.
	_ = json.Unmarshal(obj.Spec, &l)
	s.version = obj.Version
	s.contender.ObserveRead(now, obj.Version, l)
	if _, other := s.contender.OtherHolder(); other && s.relay.node.LiveZoneRelays() == 0 {
		// The holder may still be alive, so the node polls it while it waits for the lease to expire.
		zone := s.relay.self().AvailabilityZone
		s.relay.node.AddRelays([]syncer.RelayInfo{
			{Zone: zone, Slot: s.slot, Node: membership.InstanceID(l.Holder), Address: l.Address},
		})
	}
}

// reportRateLimited counts and logs a platform call that the rate limit rejected; it ignores other errors.
func (r *Relay) reportRateLimited(err error, call string) {
	if !fault.Is(err, fault.Limited) {
		return
	}
	r.metrics.Counter("relay.limited." + call).Inc(1)
	logWith(&r.log, event.RelayLimited, func(e *zerolog.Event) { e.Str("call", call) })
}

func logWith(l *zerolog.Logger, e event.Event, fields func(*zerolog.Event)) {
	z := e.Log(l)
	fields(z)
	e.Write(z)
}
