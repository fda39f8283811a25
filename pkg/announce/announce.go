// Package announce takes the announcements of the node's own backend server and keeps the record of the instance.
package announce

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"regexp"
	"sync"
	"sync/atomic"
	"time"

	"github.com/looplab/fsm"
	"github.com/rs/zerolog"

	"github.com/monsoonlatch/monsoonlatch/pkg/clock"
	"github.com/monsoonlatch/monsoonlatch/pkg/event"
	"github.com/monsoonlatch/monsoonlatch/pkg/fault"
	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
)

const (
	// DefaultTimeout is three missed heartbeats of one second.
	DefaultTimeout = 3 * time.Second
	// MaxSlots bounds the announced slots; a larger number is a mistake.
	MaxSlots = 10_000
)

// States of the own backend server, as announced.
const (
	stateStarting = "starting"
	stateReady    = "ready"
	stateDraining = "draining"
	stateDeparted = "departed"
	eventLost     = "lost"
)

var states = map[string]membership.State{
	stateStarting: membership.StateStarting, stateReady: membership.StateReady,
	stateDraining: membership.StateDraining, stateDeparted: membership.StateDeparted,
}

// Announcement is the body of POST /v1/announce. The backend server repeats it each second.
type Announcement struct {
	Service string `json:"service"`
	Address string `json:"address"`
	Slots   int    `json:"slots"`
	State   string `json:"state"`
	// ID names this start of the backend server, and Born is its Unix time in milliseconds. Sequence rises with each
	// announcement of one start. A backend server that gives none of them has one start for ever.
	ID       string `json:"id,omitempty"`
	Born     int64  `json:"born,omitempty"`
	Sequence uint64 `json:"sequence,omitempty"`
}

func (a Announcement) sameStart(s start) bool { return a.Born == s.born && a.ID == s.id }

// States in an Announcement.
const (
	Starting = stateStarting
	Ready    = stateReady
	Draining = stateDraining
	Departed = stateDeparted
)

// start identifies one start of the backend server and the latest announcement of it.
type start struct {
	id       string
	born     int64
	sequence uint64
}

// precedes reports whether an announcement is older than what is known: a late one of the same start, or one of an
// earlier start.
func (a Announcement) precedes(s start) bool {
	switch {
	case a.Born != s.born:
		return a.Born < s.born
	case a.ID != s.id:
		return false
	}
	return a.Sequence != 0 && a.Sequence <= s.sequence
}

// Settings of a Service.
type Settings struct {
	// Instance holds what the node knows of itself: ID, zone, region, addresses and incarnation.
	Instance membership.Instance
	// Backend is the configured address of the backend server's host; loopback is always allowed.
	Backend netip.Addr
	// Timeout is how long a ready backend server may be silent; zero means DefaultTimeout.
	Timeout time.Duration
	Clock   clock.Clock
	Log     zerolog.Logger
	// DrainTime is how long after the acknowledgement of a drain or departure the backend server still takes new work, so
	// that the news reaches other nodes first; zero means not at all.
	DrainTime time.Duration
	// OnChange is called in order with each new record. It must not block.
	OnChange func(membership.Instance)
}

// Service keeps the record of the own instance.
type Service struct {
	set     Settings
	drain   atomic.Int64
	mu      sync.Mutex
	machine *fsm.FSM
	heard   time.Time
	start   start
	current atomic.Pointer[own]
}

type own struct {
	rec  membership.Instance
	addr string
	// until is when a leaving backend server takes no more new work.
	until time.Time
}

// New returns a Service whose backend server has not announced itself.
func New(s Settings) *Service {
	if s.Timeout == 0 {
		s.Timeout = DefaultTimeout
	}
	if s.OnChange == nil {
		s.OnChange = func(membership.Instance) {}
	}
	svc := &Service{set: s, machine: newMachine()}
	svc.SetDrainTime(s.DrainTime)
	rec := s.Instance
	rec.State = membership.StateStarting
	svc.current.Store(&own{rec: rec})
	return svc
}

// newMachine names each event after the announced state that causes it. A backend server may start again beside the
// same node, but one that drains does not become ready without a new start.
func newMachine() *fsm.FSM {
	all := []string{stateStarting, stateReady, stateDraining, stateDeparted}
	return fsm.NewFSM(stateStarting, fsm.Events{
		{Name: stateStarting, Src: all, Dst: stateStarting},
		{Name: stateReady, Src: []string{stateStarting, stateReady, stateDeparted}, Dst: stateReady},
		{Name: stateDraining, Src: []string{stateStarting, stateReady, stateDraining}, Dst: stateDraining},
		{Name: stateDeparted, Src: all, Dst: stateDeparted},
		{Name: eventLost, Src: []string{stateReady, stateDraining}, Dst: stateStarting},
	}, fsm.Callbacks{})
}

// Instance returns the record and the address of the backend server. It does not block.
func (s *Service) Instance() (membership.Instance, string) {
	o := s.current.Load()
	return o.rec, o.addr
}

// SetDrainTime changes Settings.DrainTime for drains that are acknowledged from now on.
func (s *Service) SetDrainTime(d time.Duration) { s.drain.Store(int64(d)) }

// Admits implements proxy.LocalInstance.
func (s *Service) Admits(now time.Time) bool {
	o := s.current.Load()
	switch o.rec.State {
	case membership.StateReady:
		return true
	case membership.StateDraining, membership.StateDeparted:
		return now.Before(o.until)
	}
	return false
}

// Misdirected implements proxy.LocalInstance: another start of the backend server answers at the address. Its state is
// not known until it announces itself.
func (s *Service) Misdirected(backendID string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.current.Load()
	if backendID == o.rec.BackendID || o.rec.State == membership.StateStarting {
		return
	}
	event.BackendReplaced.Write(event.BackendReplaced.Log(&s.set.Log).Str("known", o.rec.BackendID).Str("answered", backendID))
	rec := o.rec
	rec.State = membership.StateStarting
	s.machine.SetState(stateStarting)
	s.store(rec, o.addr)
}

// Outlive raises the own incarnation above one that others know, or that was removed. An incarnation is the time of day of
// a start: after a step back it can be lower than that of an earlier start, and the record would be taken for an old one.
func (s *Service) Outlive(incarnation uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.current.Load()
	if incarnation < o.rec.Incarnation || o.rec.State == membership.StateDeparted {
		return
	}
	event.IncarnationRaised.Write(event.IncarnationRaised.Log(&s.set.Log).Uint64("incarnation", o.rec.Incarnation).Uint64("known", incarnation))
	rec := o.rec
	rec.Incarnation = incarnation + 1
	s.store(rec, o.addr)
}

// serviceName is the form of a service's name.
var serviceName = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

func (s *Service) check(a Announcement) error {
	invalid := func(detail, remedy string) error { return fault.New(fault.Invalid, "announce", detail, remedy) }
	host, err := netip.ParseAddrPort(a.Address)
	_, known := states[a.State]
	switch {
	case !serviceName.MatchString(a.Service):
		return invalid(fmt.Sprintf("service %q is not a name", a.Service), "use up to 63 of a-z, 0-9 and -")
	case err != nil || host.Port() == 0:
		return invalid(fmt.Sprintf("address %q", a.Address), "give an IP number and a port")
	case !s.allowed(host.Addr()):
		return invalid("address "+a.Address+" is not on this VM", "announce a loopback address or the configured one")
	case a.Slots < 1 || a.Slots > MaxSlots:
		return invalid(fmt.Sprintf("slots %d", a.Slots), fmt.Sprintf("give a number from 1 to %d", MaxSlots))
	case !known:
		return invalid(fmt.Sprintf("state %q", a.State), "use starting, ready, draining or departed")
	}
	return nil
}

// allowed reports whether an address belongs to the own VM.
func (s *Service) allowed(a netip.Addr) bool {
	a = a.Unmap()
	return a.IsLoopback() || (s.set.Backend.IsValid() && a == s.set.Backend.Unmap())
}

func (s *Service) allowedRemote(remote string) bool {
	host, _, err := net.SplitHostPort(remote)
	if err != nil {
		return false
	}
	a, err := netip.ParseAddr(host)
	return err == nil && s.allowed(a)
}

// Announce takes one announcement.
func (s *Service) Announce(a Announcement) error {
	if err := s.check(a); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.precedes(s.start) {
		event.AnnouncementStale.Write(event.AnnouncementStale.Log(&s.set.Log).Str("backend", a.ID).Int64("born", a.Born).
			Uint64("sequence", a.Sequence).Str("state", a.State))
		return nil
	}
	s.begin(a)
	old := s.current.Load()
	if old.rec.Service != "" && old.rec.Service != a.Service && a.sameStart(s.start) && s.machine.Current() != stateDeparted {
		return fault.New(fault.Conflict, "announce", "the instance belongs to service "+old.rec.Service,
			"stop the other backend server first, or give each its own node")
	}
	if err := s.move(a.State); err != nil {
		return fault.Wrap(fault.Conflict, "announce", err, "announce starting or departed before ready")
	}
	s.heard = s.set.Clock.Now()
	s.start = start{id: a.ID, born: a.Born, sequence: a.Sequence}
	rec := old.rec
	if rec.State == membership.StateDeparted && a.State != stateDeparted {
		// A departure wins over all records of its incarnation.
		rec.Incarnation++
	}
	rec.Service, rec.Slots, rec.State, rec.BackendID = a.Service, a.Slots, states[a.State], a.ID
	s.store(rec, a.Address)
	return nil
}

// begin forgets the states of an earlier start.
func (s *Service) begin(a Announcement) {
	if a.sameStart(s.start) {
		return
	}
	s.machine.SetState(stateStarting)
}

// Depart takes the departure of a backend server that may not have announced a drain.
func (s *Service) Depart(id string, born int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.current.Load()
	if id != o.rec.BackendID || (born != 0 && born != s.start.born) {
		return fault.New(fault.NotFound, "depart", fmt.Sprintf("backend server %q is not the one that is known here", id),
			"announce it first, or ignore the error: a start that is not known gets no work")
	}
	if err := s.move(stateDeparted); err != nil {
		return fault.Wrap(fault.Conflict, "depart", err, "")
	}
	rec := o.rec
	rec.State = membership.StateDeparted
	s.store(rec, o.addr)
	return nil
}

// move makes the transition; to stay in the state is none.
func (s *Service) move(name string) error {
	err := s.machine.Event(context.Background(), name)
	if _, same := err.(fsm.NoTransitionError); same {
		return nil
	}
	return err
}

// store keeps the record and passes it on if it has changed. The sequence orders the changes.
func (s *Service) store(rec membership.Instance, addr string) {
	old := s.current.Load()
	if rec == old.rec {
		if addr != old.addr {
			s.current.Store(&own{rec: rec, addr: addr, until: old.until})
		}
		return
	}
	rec.Sequence = old.rec.Sequence + 1
	s.current.Store(&own{rec: rec, addr: addr, until: s.admitsUntil(old, rec)})
	event.BackendState.Write(event.BackendState.Log(&s.set.Log).Str("service", rec.Service).Int("slots", rec.Slots).
		Str("state", s.machine.Current()))
	s.set.OnChange(rec)
}

// admitsUntil is when a leaving backend server takes no more new work. A departure after a drain does not prolong it.
func (s *Service) admitsUntil(old *own, rec membership.Instance) time.Time {
	switch rec.State {
	case membership.StateDraining, membership.StateDeparted:
		if !old.until.IsZero() && old.rec.BackendID == rec.BackendID {
			return old.until
		}
		if old.rec.State == membership.StateReady && old.rec.BackendID == rec.BackendID {
			return s.set.Clock.Now().Add(time.Duration(s.drain.Load()))
		}
		return s.set.Clock.Now()
	}
	return time.Time{}
}

// Expire puts a backend server that has not announced itself for Settings.Timeout back to starting, so that it gets no
// new work.
func (s *Service) Expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.heard) < s.set.Timeout || !s.machine.Can(eventLost) || s.move(eventLost) != nil {
		return
	}
	o := s.current.Load()
	event.BackendLost.Write(event.BackendLost.Log(&s.set.Log).Str("service", o.rec.Service).Str("address", o.addr))
	rec := o.rec
	rec.State = membership.StateStarting
	s.store(rec, o.addr)
}

// Run checks for missed heartbeats until ctx ends.
func (s *Service) Run(ctx context.Context) {
	tick := time.NewTicker(s.set.Timeout / 6)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			s.Expire(s.set.Clock.Now())
		case <-ctx.Done():
			return
		}
	}
}
