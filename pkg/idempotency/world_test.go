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
	world   *world
	node    *Node
	self    Claimant
	zone    string
	started time.Time
	dead    bool
	// isolated is the time since which the host cannot reach the relays and other hosts; zero if it can.
	isolated time.Time
	// staleFrom is the time since which the host's zone cannot reach most zones; zero if it can.
	staleFrom time.Time
	// offset is how far the host's clock is ahead of the world's.
	offset  time.Duration
	changed chan struct{}
}

// world simulates a service and the platform under virtual or manual time.
type world struct {
	mu      sync.Mutex
	now     func() time.Time
	hosts   map[string]*host
	changes []change
	// side maps each zone and the platform to a side of the partition. Different sides cannot reach each other.
	side map[string]int
	// lag returns how long after a change a host learns of it.
	lag func(h *host, c change) time.Duration
	// fault returns whether a call's request or its answer is lost, and the call's latency.
	fault  func(from *host, to, method string) (lostRequest, lostAnswer bool, delay time.Duration)
	store  *fakeStore
	timing Options
	// offset returns the clock offset of a new host.
	offset func() time.Duration
	// stale is the time without contact after which a host's membership no longer counts as synchronised.
	stale   time.Duration
	nextInc uint64
	// undated is set if a host learns of changes before its start without their age.
	undated bool
}

func newWorld(now func() time.Time) *world {
	w := &world{
		now: now, hosts: make(map[string]*host), side: make(map[string]int), stale: 10 * time.Second,
		offset: func() time.Duration { return 0 },
		lag:    func(*host, change) time.Duration { return 0 },
		fault:  func(*host, string, string) (bool, bool, time.Duration) { return false, false, 0 },
	}
	w.store = &fakeStore{objects: make(map[string]platform.Object)}
	return w
}

func (w *world) instance(id, zone string, incarnation uint64) membership.Instance {
	return membership.Instance{
		ID: membership.InstanceID(id), Service: testService, AvailabilityZone: zone, ControlAddress: id,
		Incarnation: incarnation, State: membership.StateReady,
	}
}

// join creates a host that has been a member since joined. Its node is not started.
func (w *world) join(id, zone string, joined time.Time) *host {
	offset := w.offset()
	w.mu.Lock()
	w.nextInc++
	h := &host{world: w, zone: zone, offset: offset, self: Claimant{membership.InstanceID(id), w.nextInc}, started: joined,
		changed: make(chan struct{}, 1)}
	if old := w.hosts[id]; old != nil && !old.dead {
		panic("the instance is live")
	}
	w.mu.Unlock()
	o := w.timing
	o.Self, o.Service, o.View, o.Caller, o.Clock = h.identity, testService, h, h, hostClock{h}
	o.Store = hostStore{h, w.store}
	h.node = New(o)
	w.mu.Lock()
	w.hosts[id] = h
	w.changes = append(w.changes, change{instance: w.instance(id, zone, h.self.Incarnation), at: joined})
	w.mu.Unlock()
	w.notify()
	return h
}

func (h *host) identity() Claimant {
	h.world.mu.Lock()
	defer h.world.mu.Unlock()
	return h.self
}

// depart marks a host as dead and as departed.
func (w *world) depart(h *host, handedOver bool, at time.Time) {
	w.mu.Lock()
	h.dead = true
	w.changes = append(w.changes, change{
		instance: w.instance(string(h.self.ID), h.zone, h.self.Incarnation), at: at, departure: true, handedOver: handedOver,
	})
	w.mu.Unlock()
	w.notify()
}

// notify signals a membership change to all hosts.
func (w *world) notify() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, h := range w.hosts {
		select {
		case h.changed <- struct{}{}:
		default:
		}
	}
}

// hostClock is the clock of one host. Only differences between its own readings are meaningful.
type hostClock struct{ h *host }

func (c hostClock) Now() time.Time { return c.h.world.now().Add(c.h.offset) }

// Instances, Subscribe, History and Synchronised implement membership.HistoryView for a host.
func (h *host) Instances(string) []membership.Instance { return nil }
func (h *host) Subscribe() <-chan struct{}             { return h.changed }

func (h *host) Synchronised() (time.Time, bool) {
	h.world.mu.Lock()
	defer h.world.mu.Unlock()
	now := h.world.now()
	for _, since := range []time.Time{h.isolated, h.staleFrom} {
		if !since.IsZero() && now.Sub(since) >= h.world.stale {
			return time.Time{}, false
		}
	}
	return h.started.Add(h.offset), true
}

func (h *host) History(string) []membership.Span {
	w := h.world
	w.mu.Lock()
	defer w.mu.Unlock()
	spans := make(map[Claimant]*membership.Span)
	for _, c := range w.changes {
		learned := c.at
		if c.instance.ID != h.self.ID {
			learned = learned.Add(w.lag(h, c))
		}
		if w.undated && c.instance.ID != h.self.ID && learned.Before(h.started) {
			learned = h.started
		}
		if learned.After(w.now()) || h.cutOff(c) {
			continue
		}
		learned = learned.Add(h.offset)
		id := Claimant{c.instance.ID, c.instance.Incarnation}
		if spans[id] == nil {
			spans[id] = &membership.Span{Instance: c.instance, Joined: learned}
		}
		s := spans[id]
		s.Unreachable = w.side[c.instance.AvailabilityZone] != w.side[h.zone]
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

// cutOff reports whether the host cannot have learned of the change.
func (h *host) cutOff(c change) bool {
	return c.instance.ID != h.self.ID && (!h.isolated.IsZero() && c.at.After(h.isolated) ||
		!h.staleFrom.IsZero() && c.at.After(h.staleFrom) && h.world.side[c.instance.AvailabilityZone] != h.world.side[h.zone])
}

var errLost = fault.New(fault.Unavailable, "call", "no answer", "try again")

// Call implements rpcwire.Caller. It calls the host that is live at the address now.
func (h *host) Call(ctx context.Context, addr, method string, args, reply any) error {
	w := h.world
	w.mu.Lock()
	lostRequest, lostAnswer, delay := w.fault(h, addr, method)
	to := w.hosts[addr]
	if to == nil || to.dead || h.dead || !to.isolated.IsZero() || !h.isolated.IsZero() || w.side[to.zone] != w.side[h.zone] {
		lostRequest = true
	}
	w.mu.Unlock()
	if lostRequest {
		return waitLost(ctx)
	}
	if delay > 0 {
		time.Sleep(delay)
	}
	if err := to.node.Keys().dispatch(method, args, reply); err != nil {
		return err
	}
	if lostAnswer || ctx.Err() != nil {
		return waitLost(ctx)
	}
	return nil
}

// waitLost waits until ctx ends, as a caller does when no answer comes. It does so under virtual time only, since it
// would take real time otherwise.
func waitLost(ctx context.Context) error {
	if ctx.Value(virtualTime{}) != nil {
		<-ctx.Done()
	}
	return errLost
}

// virtualTime is the context key that is set under virtual time.
type virtualTime struct{}

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
	// lostAnswer tells whether the answer of an operation that took effect is lost.
	lostAnswer func() bool
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

// write performs an operation unless the platform is down or out of the host's reach.
func (s hostStore) write(f func() (platform.Object, error)) (platform.Object, error) {
	s.h.world.mu.Lock()
	cut := s.h.dead || s.h.world.side["platform"] != s.h.world.side[s.h.zone]
	s.h.world.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down || cut {
		return platform.Object{}, errLost
	}
	obj, err := f()
	if s.lostAnswer != nil && s.lostAnswer() {
		return platform.Object{}, errLost
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
	return s.write(func() (platform.Object, error) {
		obj, ok := s.objects[name]
		if !ok {
			return obj, fault.New(fault.NotFound, "get", name, "")
		}
		return obj, nil
	})
}

func (s hostStore) Create(_ context.Context, obj platform.Object) (platform.Object, error) {
	return s.write(func() (platform.Object, error) {
		s.creates++
		if _, ok := s.objects[obj.Name]; ok {
			return platform.Object{}, fault.New(fault.Conflict, "create", obj.Name, "")
		}
		return s.put(obj)
	})
}

func (s hostStore) Update(_ context.Context, obj platform.Object) (platform.Object, error) {
	return s.write(func() (platform.Object, error) {
		if s.objects[obj.Name].Version != obj.Version {
			return platform.Object{}, fault.New(fault.Conflict, "update", obj.Name, "")
		}
		return s.put(obj)
	})
}

func (s hostStore) Delete(_ context.Context, _ platform.ObjectKind, name, version string) error {
	_, err := s.write(func() (platform.Object, error) {
		if s.objects[name].Version != version {
			return platform.Object{}, fault.New(fault.Conflict, "delete", name, "")
		}
		delete(s.objects, name)
		return platform.Object{}, nil
	})
	return err
}
