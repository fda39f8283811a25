package idempotency

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/fault"
	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
	"github.com/monsoonlatch/monsoonlatch/pkg/platform"
)

const testService = "deposits"

// change is a join or a departure with the time at which it happened.
type change struct {
	instance   membership.Instance
	at         time.Time
	departure  bool
	handedOver bool
}

// host is one simulated process: a node, its view of the membership and its connections.
type host struct {
	sim     *simulation
	node    *Node
	self    Claimant
	zone    string
	started time.Time
	dead    bool
	// isolatedSince is the time since which the host cannot reach the relays and other hosts; zero if it can.
	isolatedSince time.Time
	// minoritySince is the time since which the host's zone cannot reach most zones; zero if it can.
	minoritySince time.Time
	// clockOffset is how far the host's clock is ahead of the simulation's.
	clockOffset time.Duration
	changed     chan struct{}
}

// simulation simulates a service and the platform under virtual or manual time.
type simulation struct {
	mu      sync.Mutex
	now     func() time.Time
	hosts   map[string]*host
	changes []change
	// partitionSide maps each zone and the platform to a side of the partition. Different sides cannot reach each other.
	partitionSide map[string]int
	// learnDelay returns how long after a change a host learns of it.
	learnDelay func(h *host, c change) time.Duration
	// fault returns whether a call's request or its reply is lost, and the call's latency.
	fault       func(from *host, to, method string) (lostRequest, lostReply bool, delay time.Duration)
	store       *fakeStore
	nodeOptions Options
	// newClockOffset returns the clock offset of a new host.
	newClockOffset func() time.Duration
	// staleAfter is the time without contact after which a host's membership no longer counts as synchronised.
	staleAfter      time.Duration
	lastIncarnation uint64
	// agesUnknown is set if a host learns of changes before its start without their age.
	agesUnknown bool
}

func newSimulation(now func() time.Time) *simulation {
	s := &simulation{
		now: now, hosts: make(map[string]*host), partitionSide: make(map[string]int), staleAfter: 10 * time.Second,
		newClockOffset: func() time.Duration { return 0 },
		learnDelay:     func(*host, change) time.Duration { return 0 },
		fault:          func(*host, string, string) (bool, bool, time.Duration) { return false, false, 0 },
	}
	s.store = &fakeStore{objects: make(map[string]platform.Object)}
	return s
}

// instance returns the membership record of a ready instance.
func (s *simulation) instance(id, zone string, incarnation uint64) membership.Instance {
	return membership.Instance{
		ID: membership.InstanceID(id), Service: testService, AvailabilityZone: zone, ControlAddress: id,
		Incarnation: incarnation, State: membership.StateReady,
	}
}

// join creates a host that has been a member since joined. Its node is not started.
func (s *simulation) join(id, zone string, joined time.Time) *host {
	offset := s.newClockOffset()
	s.mu.Lock()
	s.lastIncarnation++
	h := &host{sim: s, zone: zone, clockOffset: offset, self: Claimant{membership.InstanceID(id), s.lastIncarnation},
		started: joined, changed: make(chan struct{}, 1)}
	if old := s.hosts[id]; old != nil && !old.dead {
		panic("the instance is live")
	}
	s.mu.Unlock()
	o := s.nodeOptions
	o.Self, o.Service, o.View, o.Caller, o.Clock = h.identity, testService, h, h, hostClock{h}
	o.Store = hostStore{h, s.store}
	h.node = New(o)
	s.mu.Lock()
	s.hosts[id] = h
	s.changes = append(s.changes, change{instance: s.instance(id, zone, h.self.Incarnation), at: joined})
	s.mu.Unlock()
	s.notify()
	return h
}

func (h *host) identity() Claimant {
	h.sim.mu.Lock()
	defer h.sim.mu.Unlock()
	return h.self
}

// depart marks a host as dead and as departed.
func (s *simulation) depart(h *host, handedOver bool, at time.Time) {
	s.mu.Lock()
	h.dead = true
	s.changes = append(s.changes, change{
		instance: s.instance(string(h.self.ID), h.zone, h.self.Incarnation), at: at, departure: true, handedOver: handedOver,
	})
	s.mu.Unlock()
	s.notify()
}

// notify signals a membership change to all hosts.
func (s *simulation) notify() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range s.hosts {
		select {
		case h.changed <- struct{}{}:
		default:
		}
	}
}

// hostClock is the clock of one host. Only differences between its own readings are meaningful.
type hostClock struct{ h *host }

func (c hostClock) Now() time.Time { return c.h.sim.now().Add(c.h.clockOffset) }

// Instances, Subscribe, History and CompleteSince implement membership.HistoryView for a host.
func (h *host) Instances(string) []membership.Instance { return nil }
func (h *host) Subscribe() <-chan struct{}             { return h.changed }

func (h *host) CompleteSince() (time.Time, bool) {
	h.sim.mu.Lock()
	defer h.sim.mu.Unlock()
	now := h.sim.now()
	for _, since := range []time.Time{h.isolatedSince, h.minoritySince} {
		if !since.IsZero() && now.Sub(since) >= h.sim.staleAfter {
			return time.Time{}, false
		}
	}
	return h.started.Add(h.clockOffset), true
}

func (h *host) History(string) []membership.Span {
	sim := h.sim
	sim.mu.Lock()
	defer sim.mu.Unlock()
	spans := make(map[Claimant]*membership.Span)
	for _, c := range sim.changes {
		learned := c.at
		if c.instance.ID != h.self.ID {
			learned = learned.Add(sim.learnDelay(h, c))
		}
		if sim.agesUnknown && c.instance.ID != h.self.ID && learned.Before(h.started) {
			learned = h.started
		}
		if learned.After(sim.now()) || h.cannotKnow(c) {
			continue
		}
		learned = learned.Add(h.clockOffset)
		id := Claimant{c.instance.ID, c.instance.Incarnation}
		if spans[id] == nil {
			spans[id] = &membership.Span{Instance: c.instance, Joined: learned}
		}
		s := spans[id]
		s.Unreachable = sim.partitionSide[c.instance.AvailabilityZone] != sim.partitionSide[h.zone]
		if c.departure && s.Departed.IsZero() {
			s.Departed, s.Instance.State, s.Instance.HandedOver = learned, membership.StateDeparted, c.handedOver
		}
	}
	out := make([]membership.Span, 0, len(spans))
	for _, s := range spans {
		out = append(out, *s)
	}
	slices.SortFunc(out, func(a, b membership.Span) int {
		return int(a.Instance.Incarnation) - int(b.Instance.Incarnation)
	})
	return out
}

// cannotKnow reports whether the host cannot have learned of the change.
func (h *host) cannotKnow(c change) bool {
	return c.instance.ID != h.self.ID && (!h.isolatedSince.IsZero() && c.at.After(h.isolatedSince) ||
		!h.minoritySince.IsZero() && c.at.After(h.minoritySince) &&
			h.sim.partitionSide[c.instance.AvailabilityZone] != h.sim.partitionSide[h.zone])
}

var errNoReply = fault.New(fault.Unavailable, "call", "no reply", "try again")

// Call implements rpcwire.Caller. It calls the host that is live at the address now.
func (h *host) Call(ctx context.Context, addr, method string, args, reply any) error {
	sim := h.sim
	sim.mu.Lock()
	lostRequest, lostReply, delay := sim.fault(h, addr, method)
	to := sim.hosts[addr]
	if to == nil || to.dead || h.dead || !to.isolatedSince.IsZero() || !h.isolatedSince.IsZero() ||
		sim.partitionSide[to.zone] != sim.partitionSide[h.zone] {
		lostRequest = true
	}
	sim.mu.Unlock()
	if lostRequest {
		return waitWithoutReply(ctx)
	}
	if delay > 0 {
		time.Sleep(delay)
	}
	if err := to.node.Keys().dispatch(method, args, reply); err != nil {
		return err
	}
	if lostReply || ctx.Err() != nil {
		return waitWithoutReply(ctx)
	}
	return nil
}

// waitWithoutReply waits until ctx ends, as a caller does when no reply comes. It does so under virtual time only,
// since it would take real time otherwise.
func waitWithoutReply(ctx context.Context) error {
	if ctx.Value(virtualTimeKey{}) != nil {
		<-ctx.Done()
	}
	return errNoReply
}

// virtualTimeKey is the context key that is set under virtual time.
type virtualTimeKey struct{}

// dispatch calls the method with the given wire name.
func (k *Keys) dispatch(method string, args, reply any) error {
	switch method {
	case methodClaim:
		return k.Claim(args.(*ClaimArgs), reply.(*Found))
	case methodOutcome:
		return k.Outcome(args.(*OutcomeArgs), reply.(*Ack))
	case methodWithdraw:
		return k.Withdraw(args.(*WithdrawArgs), reply.(*Ack))
	case methodHandOver:
		return k.HandOver(args.(*HandOverArgs), reply.(*Ack))
	}
	return fmt.Errorf("no method %s", method)
}

// fakeStore is a platform store with conditional writes.
type fakeStore struct {
	platform.Store
	mu      sync.Mutex
	objects map[string]platform.Object
	version int
	creates int
	down    bool
	// lostReply tells whether the reply to an operation that took effect is lost.
	lostReply func() bool
}

func (s *fakeStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *fakeStore) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.objects)
}

// hostStore is the platform as seen from one host.
type hostStore struct {
	h *host
	*fakeStore
}

// access performs an operation unless the platform is down or out of the host's reach.
func (s hostStore) access(f func() (platform.Object, error)) (platform.Object, error) {
	s.h.sim.mu.Lock()
	cut := s.h.dead || s.h.sim.partitionSide["platform"] != s.h.sim.partitionSide[s.h.zone]
	s.h.sim.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down || cut {
		return platform.Object{}, errNoReply
	}
	obj, err := f()
	if s.lostReply != nil && s.lostReply() {
		return platform.Object{}, errNoReply
	}
	return obj, err
}

func (s hostStore) put(obj platform.Object) (platform.Object, error) {
	s.version++
	obj.Version = fmt.Sprint(s.version)
	obj.Spec = append(json.RawMessage(nil), obj.Spec...)
	s.objects[obj.Name] = obj
	return obj, nil
}

func (s hostStore) Get(_ context.Context, _ platform.ObjectKind, name string) (platform.Object, error) {
	return s.access(func() (platform.Object, error) {
		obj, ok := s.objects[name]
		if !ok {
			return obj, fault.New(fault.NotFound, "get", name, "")
		}
		return obj, nil
	})
}

func (s hostStore) Create(_ context.Context, obj platform.Object) (platform.Object, error) {
	return s.access(func() (platform.Object, error) {
		s.creates++
		if _, ok := s.objects[obj.Name]; ok {
			return platform.Object{}, fault.New(fault.Conflict, "create", obj.Name, "")
		}
		return s.put(obj)
	})
}

func (s hostStore) Update(_ context.Context, obj platform.Object) (platform.Object, error) {
	return s.access(func() (platform.Object, error) {
		if s.objects[obj.Name].Version != obj.Version {
			return platform.Object{}, fault.New(fault.Conflict, "update", obj.Name, "")
		}
		return s.put(obj)
	})
}

func (s hostStore) Delete(_ context.Context, _ platform.ObjectKind, name, version string) error {
	_, err := s.access(func() (platform.Object, error) {
		if s.objects[name].Version != version {
			return platform.Object{}, fault.New(fault.Conflict, "delete", name, "")
		}
		delete(s.objects, name)
		return platform.Object{}, nil
	})
	return err
}
