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
	// OnChange is called in order with each new record. It must not block.
	OnChange func(membership.Instance)
}

// Service keeps the record of the own instance.
type Service struct {
	set     Settings
	mu      sync.Mutex
	machine *fsm.FSM
	heard   time.Time
	current atomic.Pointer[own]
}

type own struct {
	rec  membership.Instance
	addr string
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

// Own returns the record and the address of the backend server. It does not block.
func (s *Service) Own() (membership.Instance, string) {
	o := s.current.Load()
	return o.rec, o.addr
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
	old := s.current.Load()
	if old.rec.Service != "" && old.rec.Service != a.Service && s.machine.Current() != stateDeparted {
		return fault.New(fault.Conflict, "announce", "the instance belongs to service "+old.rec.Service,
			"stop the other backend server first, or give each its own node")
	}
	if err := s.move(a.State); err != nil {
		return fault.Wrap(fault.Conflict, "announce", err, "announce starting or departed before ready")
	}
	s.heard = s.set.Clock.Now()
	rec := old.rec
	if rec.State == membership.StateDeparted && a.State != stateDeparted {
		// A departure wins over all records of its incarnation.
		rec.Incarnation++
	}
	rec.Service, rec.Slots, rec.State = a.Service, a.Slots, states[a.State]
	s.store(rec, a.Address)
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
			s.current.Store(&own{rec: rec, addr: addr})
		}
		return
	}
	rec.Sequence = old.rec.Sequence + 1
	s.current.Store(&own{rec: rec, addr: addr})
	event.BackendState.Write(event.BackendState.Log(&s.set.Log).Str("service", rec.Service).Int("slots", rec.Slots).
		Str("state", s.machine.Current()))
	s.set.OnChange(rec)
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
