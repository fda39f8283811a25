// Package announce accepts the announcements of the node's own backend server and maintains the record of its instance.
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
	// DefaultTimeout corresponds to three missed announcements at the announcement interval of one second.
	DefaultTimeout = 3 * time.Second
	// MaxSlots is the largest accepted number of slots; a larger one is considered a configuration error.
	MaxSlots = 10_000
)

// Announced states of the backend server. They also name the states and events of the state machine.
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
	// ID identifies this start of the backend server, and Born is the time of the start in Unix milliseconds. Sequence
	// increases with each announcement of the same start. If a backend server sets none of them, all its announcements
	// count as the same start.
	ID       string `json:"id,omitempty"`
	Born     int64  `json:"born,omitempty"`
	Sequence uint64 `json:"sequence,omitempty"`
}

func (a Announcement) sameStart(s start) bool { return a.Born == s.born && a.ID == s.id }

// Values of Announcement.State.
const (
	Starting = stateStarting
	Ready    = stateReady
	Draining = stateDraining
	Departed = stateDeparted
)

// start identifies one start of the backend server and its latest announcement.
type start struct {
	id       string
	born     int64
	sequence uint64
}

// precedes reports whether an announcement is outdated: it comes from an earlier start, or is not newer than the latest
// announcement of the same start.
func (a Announcement) precedes(s start) bool {
	switch {
	case a.Born != s.born:
		return a.Born < s.born
	case a.ID != s.id:
		return false
	}
	return a.Sequence != 0 && a.Sequence <= s.sequence
}

// Settings configures a Service.
type Settings struct {
	// Instance holds the node's own ID, zone, region, addresses and incarnation.
	Instance membership.Instance
	// Backend is the configured IP address of the backend server. Loopback addresses are always allowed.
	Backend netip.Addr
	// Timeout is the time without an announcement after which a backend server is considered lost. Zero means
	// DefaultTimeout.
	Timeout time.Duration
	Clock   clock.Clock
	Log     zerolog.Logger
	// DrainTime is how long the backend server still accepts new requests after a drain or departure has been
	// acknowledged, so that other nodes learn of it first. Zero means that new requests are rejected at once.
	DrainTime time.Duration
	// OnChange, if set, is called with each new record, in order. It must not block.
	OnChange func(membership.Instance)
}

// Service maintains the record of the own instance.
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
	// until is the time until which a draining or departed backend server accepts new requests.
	until time.Time
}

// New returns a Service whose backend server is in state starting until its first announcement.
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

// newMachine returns the state machine of the backend server. Each event is named after the announced state that
// triggers it. A backend server may restart while the node keeps running, but a draining one cannot become ready
// without a restart.
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

// Own returns the record of the own instance and the address of the backend server. It does not block.
func (s *Service) Own() (membership.Instance, string) {
	o := s.current.Load()
	return o.rec, o.addr
}

// SetDrainTime changes Settings.DrainTime for drains and departures that are acknowledged from now on.
func (s *Service) SetDrainTime(d time.Duration) { s.drain.Store(int64(d)) }

// Admits implements proxy.Own. It reports whether the backend server accepts new requests at the given time.
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

// Misdirected implements proxy.Own. It is called when a different start of the backend server has answered at the
// address. Since the state of that one is unknown until it announces itself, the record goes back to starting.
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

// Outlive raises the own incarnation above one that other nodes know or whose record was removed from the store. The
// incarnation is the wall-clock time of the start: if the clock was set back, it can be lower than that of an earlier
// start, and other nodes would discard the record as outdated.
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

// serviceName matches a valid service name.
var serviceName = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

func (s *Service) check(a Announcement) error {
	invalid := func(detail, remedy string) error { return fault.New(fault.Invalid, "announce", detail, remedy) }
	host, err := netip.ParseAddrPort(a.Address)
	_, known := states[a.State]
	switch {
	case !serviceName.MatchString(a.Service):
		return invalid(fmt.Sprintf("invalid service name %q", a.Service), "use up to 63 characters from a-z, 0-9 and -, with no hyphen at either end")
	case err != nil || host.Port() == 0:
		return invalid(fmt.Sprintf("invalid address %q", a.Address), "give an IP address and a port")
	case !s.allowed(host.Addr()):
		return invalid("address "+a.Address+" is not on this VM", "announce a loopback address or the configured backend server address")
	case a.Slots < 1 || a.Slots > MaxSlots:
		return invalid(fmt.Sprintf("invalid number of slots %d", a.Slots), fmt.Sprintf("give a number from 1 to %d", MaxSlots))
	case !known:
		return invalid(fmt.Sprintf("unknown state %q", a.State), "use starting, ready, draining or departed")
	}
	return nil
}

// allowed reports whether an address is a loopback address or the configured address of the backend server.
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

// Announce processes one announcement. An outdated one is logged and ignored.
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
		return fault.New(fault.Conflict, "announce", "this node already serves a backend server of service "+old.rec.Service,
			"stop the other backend server first, or run a separate node for each")
	}
	if err := s.move(a.State); err != nil {
		return fault.Wrap(fault.Conflict, "announce", err, "a draining backend server must announce starting or departed before ready")
	}
	s.heard = s.set.Clock.Now()
	s.start = start{id: a.ID, born: a.Born, sequence: a.Sequence}
	rec := old.rec
	if rec.State == membership.StateDeparted && a.State != stateDeparted {
		// A departure supersedes all records of its incarnation, so the new state needs a higher one.
		rec.Incarnation++
	}
	rec.Service, rec.Slots, rec.State, rec.BackendID = a.Service, a.Slots, states[a.State], a.ID
	s.store(rec, a.Address)
	return nil
}

// begin resets the state machine if the announcement comes from another start.
func (s *Service) begin(a Announcement) {
	if a.sameStart(s.start) {
		return
	}
	s.machine.SetState(stateStarting)
}

// Depart processes the departure of a backend server, with or without a preceding drain.
func (s *Service) Depart(id string, born int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.current.Load()
	if id != o.rec.BackendID || (born != 0 && born != s.start.born) {
		return fault.New(fault.NotFound, "depart", fmt.Sprintf("backend server %q is not the one that announced itself to this node", id),
			"announce it first, or ignore the error: a backend server that has not announced itself is sent no requests")
	}
	if err := s.move(stateDeparted); err != nil {
		return fault.Wrap(fault.Conflict, "depart", err, "")
	}
	rec := o.rec
	rec.State = membership.StateDeparted
	s.store(rec, o.addr)
	return nil
}

// move triggers an event of the state machine. Remaining in the same state is not an error.
func (s *Service) move(name string) error {
	err := s.machine.Event(context.Background(), name)
	if _, same := err.(fsm.NoTransitionError); same {
		return nil
	}
	return err
}

// store replaces the record and calls OnChange if it has changed. Each change increments the record's sequence.
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

// admitsUntil returns the time until which a draining or departed backend server accepts new requests. A departure
// after a drain does not extend it.
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

// Expire returns a backend server that has not announced itself for Settings.Timeout to the state starting, in which
// it is sent no new requests.
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

// Run checks for missed announcements until ctx ends.
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
