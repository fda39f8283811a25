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
	MaxSlots = membership.MaxSlots
	// maxClockAhead is how far the time of a start may lie ahead of the node's clock, which may be set back. A start in the
	// far future would make all later announcements outdated.
	maxClockAhead = 24 * time.Hour
	// maxVersionBytes limits the name of the server's version.
	maxVersionBytes = 256
	// maxSequence limits the sequence of an announcement for the same reason.
	maxSequence = 1 << 53
)

// Announced states of the backend server. They also name the states and events of the state machine.
const (
	stateStarting            = "starting"
	stateReady               = "ready"
	stateDraining            = "draining"
	stateDeparted            = "departed"
	eventAnnouncementsMissed = "lost"
)

var membershipStates = map[string]membership.State{
	stateStarting: membership.StateStarting, stateReady: membership.StateReady,
	stateDraining: membership.StateDraining, stateDeparted: membership.StateDeparted,
}

// Announcement is the body of POST /v1/announce. The backend server repeats it each second.
type Announcement struct {
	Service string `json:"service"`
	Address string `json:"address"`
	// Slots is the number of requests that the backend server processes at the same time.
	Slots int    `json:"slots"`
	State string `json:"state"`
	// ID identifies this start of the backend server, and Born is the time of the start in Unix milliseconds. Sequence
	// increases with each announcement of the same start. If a backend server sets none of them, all its announcements
	// count as the same start.
	ID       string `json:"id,omitempty"`
	Born     int64  `json:"born,omitempty"`
	Sequence uint64 `json:"sequence,omitempty"`
	// Version is the version of the server's software; empty if it names none.
	Version string `json:"version,omitempty"`
	// ColdLeftMs is how much longer the server remains slow after its start.
	ColdLeftMs int64 `json:"coldLeftMs,omitempty"`
}

// identified reports whether the announcement names the start that it comes from.
func (a Announcement) identified() bool { return a.ID != "" || a.Born != 0 }

// isOfStart reports whether the announcement comes from the given start. A start that is known only by a departure may
// lack its time.
func (a Announcement) isOfStart(s backendStart) bool {
	return a.ID == s.id && (a.Born == s.startedMillis || s.startedMillis == 0 && s.id != "")
}

// Values of Announcement.State.
const (
	Starting = stateStarting
	Ready    = stateReady
	Draining = stateDraining
	Departed = stateDeparted
)

// backendStart identifies one start of the backend server and its latest announcement.
type backendStart struct {
	id            string
	startedMillis int64
	sequence      uint64
}

// isOutdated reports whether an announcement is outdated: it comes from an earlier start, or is not newer than the
// latest announcement of the same start.
func (a Announcement) isOutdated(latest backendStart) bool {
	switch {
	case a.Born != latest.startedMillis:
		return a.Born < latest.startedMillis
	case a.ID != latest.id:
		return false
	}
	return a.Sequence != 0 && a.Sequence <= latest.sequence
}

// Settings configures a BackendTracker.
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
	// OnChange, if set, is called with each new record as other nodes are to see it, in order. It must not block.
	OnChange func(membership.Instance)
	// AcceptsWork, if set, asks the backend server whether it accepts new requests; false also means that it did not
	// answer. It is called by Run when the first announcement since the node's start says ready. A wrong answer only delays
	// the effect of an announcement, or is made up for by Recall.
	AcceptsWork func(ctx context.Context, a Announcement) bool
	// Recall, if set, calls found with the records that an earlier run of the node has published, as the store or other nodes hold
	// them, each time that one of them has answered, and returns once the store has. Before the first call of found no announcement
	// makes the backend server ready, since it may be older than a departure that the earlier run has acknowledged. As long as settled
	// is false, one does so only if the backend server confirms it: other nodes may not have heard of the departure, and the store may
	// have lost it when it came back from a copy.
	Recall func(ctx context.Context, found func(records []membership.Instance, settled bool))
	// AwaitStored, if set, blocks until the record would outlast all processes. A drain or a departure is acknowledged only
	// then.
	AwaitStored func(ctx context.Context, record membership.Instance) error
}

// storeTimeout limits the wait before an acknowledgement, which a backend server expects within a second.
const storeTimeout = 800 * time.Millisecond

// BackendTracker tracks the state of the node's own backend server and maintains the record of its instance.
type BackendTracker struct {
	settings      Settings
	drainTime     atomic.Int64
	mu            sync.Mutex
	stateMachine  *fsm.FSM
	lastAnnounced time.Time
	start         backendStart
	current       atomic.Pointer[ownState]
	// recalled is set when the store or other nodes have told the records of an earlier run; settled, when they are certain to be all,
	// or the announcements of a start have gone on for longer than one can be late. recallEnded is set when no more will be told.
	recalled, settled, recallEnded bool
	// checking is set while Run asks the backend server.
	checking bool
	// withdrawn is set when the node itself stops.
	withdrawn bool
	// held is the latest announcement that has said ready while recalled was not set, or while checking is set.
	held *Announcement
	// announcedSince is the time of the first announcement of the current start to this run of the node.
	announcedSince time.Time
	// reportedStarting is set once other nodes have been told that the backend server gets no requests until its announcements are
	// believed.
	reportedStarting bool
	// decided is set once an announcement has been passed to unconfirmed, or a state has been put into effect.
	decided bool
	// unconfirmed holds an announcement until Run has asked the backend server. The next one is sent only after that, so that
	// sending does not block.
	unconfirmed chan Announcement
}

type ownState struct {
	record  membership.Instance
	address string
	// admitUntil is the time until which a draining or departed backend server accepts new requests.
	admitUntil time.Time
	// leavingSince is when the backend server announced its drain or departure; it is zero for other states.
	leavingSince time.Time
	// coldUntil is the time until which the backend server is slow after its start, as far as it has announced that.
	coldUntil time.Time
}

// leaving reports whether the backend server has announced its drain or departure.
func (o *ownState) leaving() bool {
	return o.record.State == membership.StateDraining || o.record.State == membership.StateDeparted
}

// New returns a BackendTracker whose backend server is in state starting until its first announcement.
func New(s Settings) *BackendTracker {
	if s.Timeout == 0 {
		s.Timeout = DefaultTimeout
	}
	if s.OnChange == nil {
		s.OnChange = func(membership.Instance) {}
	}
	tracker := &BackendTracker{settings: s, stateMachine: newStateMachine(), unconfirmed: make(chan Announcement, 1), recalled: s.Recall == nil, settled: s.Recall == nil}
	tracker.SetDrainTime(s.DrainTime)
	record := s.Instance
	record.State = membership.StateStarting
	tracker.current.Store(&ownState{record: record})
	return tracker
}

// newStateMachine returns the state machine of one start of the backend server. Each event is named after the announced
// state that triggers it. A start never returns from draining or departed: the next start begins with a new machine.
func newStateMachine() *fsm.FSM {
	return fsm.NewFSM(stateStarting, fsm.Events{
		{Name: stateStarting, Src: []string{stateStarting, stateReady}, Dst: stateStarting},
		{Name: stateReady, Src: []string{stateStarting, stateReady}, Dst: stateReady},
		{Name: stateDraining, Src: []string{stateStarting, stateReady, stateDraining}, Dst: stateDraining},
		{Name: stateDeparted, Src: []string{stateStarting, stateReady, stateDraining, stateDeparted}, Dst: stateDeparted},
		{Name: eventAnnouncementsMissed, Src: []string{stateReady}, Dst: stateStarting},
	}, fsm.Callbacks{})
}

// Instance returns the record of the own instance and the address of the backend server. It does not block.
func (t *BackendTracker) Instance() (membership.Instance, string) {
	o := t.current.Load()
	return o.record, o.address
}

// SetDrainTime changes Settings.DrainTime for drains and departures that are acknowledged from now on.
func (t *BackendTracker) SetDrainTime(d time.Duration) { t.drainTime.Store(int64(d)) }

// Admits implements proxy.LocalInstance. It reports whether the backend server accepts new requests at the given time.
func (t *BackendTracker) Admits(now time.Time) bool {
	o := t.current.Load()
	switch o.record.State {
	case membership.StateReady:
		return true
	case membership.StateDraining, membership.StateDeparted:
		return beforeOnBothClocks(now, now.Round(0), o.admitUntil)
	}
	return false
}

// beforeOnBothClocks reports whether a time lies before a limit by the steady clock and by the time of day, of which wall is
// the reading. The steady clock does not count the time for which a VM is suspended, and the time of day may be set back.
func beforeOnBothClocks(steady, wall, limit time.Time) bool {
	return steady.Before(limit) && wall.Before(limit.Round(0))
}

// LeavingFor implements proxy.LocalInstance. It returns the time since the backend server announced its drain or
// departure, or zero if it has announced neither.
func (t *BackendTracker) LeavingFor(now time.Time) time.Duration {
	since := t.current.Load().leavingSince
	if since.IsZero() {
		return 0
	}
	return now.Sub(since)
}

// Misdirected implements proxy.LocalInstance. It is called when a response shows that a different start of the backend
// server, backendID, now runs at the address. Its state is unknown until it announces itself, so the record goes back
// to starting.
func (t *BackendTracker) Misdirected(backendID string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	current := t.current.Load()
	if backendID == current.record.BackendID || current.record.State == membership.StateStarting {
		return
	}
	event.BackendReplaced.Write(event.BackendReplaced.Log(&t.settings.Log).Str("known", current.record.BackendID).Str("answered", backendID))
	if current.leaving() {
		stopped := *current
		stopped.admitUntil = t.settings.Clock.Now()
		t.current.Store(&stopped)
		return
	}
	record := current.record
	record.State = membership.StateStarting
	t.stateMachine.SetState(stateStarting)
	t.update(record, current.address)
}

// ResponseSaysLeaving implements proxy.LocalInstance. It is called when a response of the backend server says that the
// server leaves, and has the effect of an announced drain: the announcement may be late or not reach the node.
func (t *BackendTracker) ResponseSaysLeaving() {
	t.mu.Lock()
	defer t.mu.Unlock()
	current := t.current.Load()
	if current.leaving() || t.trigger(stateDraining) != nil {
		return
	}
	t.decided = true
	record := current.record
	// The response may be that to the check of a start whose announcement is not in effect yet.
	record.BackendID, record.BackendStarted = t.start.id, t.start.startedMillis
	record.State = membership.StateDraining
	t.update(record, current.address)
}

// RaiseIncarnationAbove raises the own incarnation above one that other nodes know or whose record was removed from
// the store. The incarnation is the wall-clock time of the start: if the clock was set back, it can be lower than
// that of an earlier start, and other nodes would discard the record as outdated.
func (t *BackendTracker) RaiseIncarnationAbove(incarnation uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	current := t.current.Load()
	departed := current.record.State == membership.StateDeparted
	if incarnation < current.record.Incarnation || departed && incarnation == current.record.Incarnation {
		return // The removal of the record of a departed instance does not bring the instance back.
	}
	event.IncarnationRaised.Write(event.IncarnationRaised.Log(&t.settings.Log).Uint64("incarnation", current.record.Incarnation).Uint64("known", incarnation))
	record := current.record
	record.Incarnation = incarnation + 1
	t.update(record, current.address)
}

// Withdraw makes the record say draining to other nodes, since the node itself stops. The backend server goes on, and what it
// announces meanwhile takes effect here and is told to other nodes as a later change of the same record.
func (t *BackendTracker) Withdraw() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.withdrawn = true
	next := *t.current.Load()
	if t.published(next.record) == next.record {
		return // The backend server leaves too.
	}
	next.record.Sequence++
	t.current.Store(&next)
	t.settings.OnChange(t.published(next.record))
}

// published returns the record as other nodes are to see it.
func (t *BackendTracker) published(record membership.Instance) membership.Instance {
	if t.withdrawn && record.State != membership.StateDeparted {
		record.State = membership.StateDraining
	}
	return record
}

// serviceNamePattern matches a valid service name. The service that the node's settings name is valid too, since those who
// run the platform choose its name.
var serviceNamePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

func (t *BackendTracker) validate(a Announcement) error {
	invalid := func(detail, remedy string) error { return fault.New(fault.Invalid, "announce", detail, remedy) }
	address, err := netip.ParseAddrPort(a.Address)
	_, knownState := membershipStates[a.State]
	switch {
	case a.Service == "", a.Service != t.settings.Instance.Service && !serviceNamePattern.MatchString(a.Service):
		return invalid(fmt.Sprintf("invalid service name %q", a.Service), "use up to 63 characters from a-z, 0-9 and -, with no hyphen at either end")
	case err != nil || address.Port() == 0:
		return invalid(fmt.Sprintf("invalid address %q", a.Address), "give an IP address and a port")
	case !t.isAllowed(address.Addr()):
		return invalid("address "+a.Address+" is not on this VM", "announce a loopback address or the configured backend server address")
	case a.Slots < 1 || a.Slots > MaxSlots:
		return invalid(fmt.Sprintf("invalid number of slots %d", a.Slots), fmt.Sprintf("give a number from 1 to %d", MaxSlots))
	case a.Born < 0 || a.Born > t.settings.Clock.Now().Add(maxClockAhead).UnixMilli() || a.Sequence > maxSequence:
		return invalid(fmt.Sprintf("start time %d or sequence %d is out of range", a.Born, a.Sequence), "give the Unix milliseconds of the start, and a sequence that counts from it")
	case len(a.Version) > maxVersionBytes:
		return invalid(fmt.Sprintf("a version of %d bytes", len(a.Version)), fmt.Sprintf("use up to %d bytes", maxVersionBytes))
	case !knownState:
		return invalid(fmt.Sprintf("unknown state %q", a.State), "use starting, ready, draining or departed")
	}
	return nil
}

// isAllowed reports whether an address is a loopback address or the configured address of the backend server.
func (t *BackendTracker) isAllowed(a netip.Addr) bool {
	a = a.Unmap()
	return a.IsLoopback() || (t.settings.Backend.IsValid() && a == t.settings.Backend.Unmap())
}

func (t *BackendTracker) isAllowedRemote(remote string) bool {
	host, _, err := net.SplitHostPort(remote)
	if err != nil {
		return false
	}
	a, err := netip.ParseAddr(host)
	return err == nil && t.isAllowed(a)
}

// Announce processes one announcement. An outdated one is logged and ignored. A drain or departure is in effect at once, but
// the error is of kind Unavailable as long as the store does not hold it.
func (t *BackendTracker) Announce(a Announcement) error {
	if err := t.validate(a); err != nil {
		return err
	}
	if err := t.process(a); err != nil {
		return err
	}
	if a.State == stateDraining || a.State == stateDeparted {
		return t.awaitStored()
	}
	return nil
}

// awaitStored blocks until the record of a leaving backend server would outlast all processes.
func (t *BackendTracker) awaitStored() error {
	record, _ := t.Instance()
	if t.settings.AwaitStored == nil || !record.BackendLeaving {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	if err := t.settings.AwaitStored(ctx, record); err != nil {
		return fault.Wrap(fault.Unavailable, "announce", err, "send the announcement again; the store has not accepted the record")
	}
	return nil
}

func (t *BackendTracker) process(a Announcement) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a.isOutdated(t.start) || t.contradictsLeaving(a) {
		event.AnnouncementStale.Write(event.AnnouncementStale.Log(&t.settings.Log).Str("backend", a.ID).Int64("born", a.Born).
			Uint64("sequence", a.Sequence).Str("state", a.State).Int64("latest_born", t.start.startedMillis).
			Uint64("latest_sequence", t.start.sequence).Str("current", t.stateMachine.Current()))
		return nil
	}
	t.resetOnNewStart(a)
	old := t.current.Load()
	if old.record.Service != "" && old.record.Service != a.Service && a.isOfStart(t.start) && t.stateMachine.Current() != stateDeparted {
		return fault.New(fault.Conflict, "announce", "this node already serves a backend server of service "+old.record.Service,
			"stop the other backend server first, or run a separate node for each")
	}
	if (!t.recalled || t.checking) && a.State == stateReady {
		t.hold(a)
		return nil
	}
	return t.confirmOrApply(a)
}

// hold keeps an announcement back until the records of an earlier run are known and the backend server has been asked. If the store
// does not answer, a start is believed once its announcements have gone on for longer than one can be late.
func (t *BackendTracker) hold(a Announcement) {
	t.noteAnnounced(a)
	t.held = &a
	switch {
	case t.settled:
		return
	case t.lastAnnounced.Sub(t.announcedSince) < t.settings.Timeout:
		if t.recallEnded && !t.checking {
			t.endRecall() // Only the backend server itself can tell more: it is asked again.
		}
		return
	}
	event.AnnouncementUnchecked.Write(event.AnnouncementUnchecked.Log(&t.settings.Log).Str("backend", a.ID).Int64("born", a.Born).Uint64("sequence", a.Sequence))
	t.settled = true
	if !t.checking {
		t.endRecall()
	}
}

// endRecall processes the announcement that has been held back.
func (t *BackendTracker) endRecall() {
	t.recalled = true
	t.processHeld(t.confirmOrApply)
}

// processHeld passes the announcement that has been held back to put, unless a newer one is in effect. It reports whether it
// did.
func (t *BackendTracker) processHeld(put func(Announcement) error) bool {
	a := t.held
	t.held = nil
	if a == nil || !a.isOfStart(t.start) || t.stateMachine.Current() != stateStarting {
		return false
	}
	if err := put(*a); err != nil {
		event.AnnouncementRefused.Write(event.AnnouncementRefused.Log(&t.settings.Log).Err(err))
	}
	return true
}

// recall takes over the records of an earlier run.
func (t *BackendTracker) recall(ctx context.Context) {
	answered := false
	t.settings.Recall(ctx, func(records []membership.Instance, settled bool) {
		answered = true
		for _, record := range records {
			t.ObserveOwn(record)
		}
		t.mu.Lock()
		defer t.mu.Unlock()
		t.settled = t.settled || settled
		if !t.recalled {
			t.endRecall()
		}
	})
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recallEnded = answered
}

// ObserveOwn takes note of the own record as the store or another node holds it. If it says that a start of the backend server
// leaves, that start gets no requests, whatever it has announced to this run of the node.
func (t *BackendTracker) ObserveOwn(known membership.Instance) {
	if !known.BackendLeaving || known.BackendID == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	left := t.nameStart(known.BackendID, known.BackendStarted)
	if left.isOfStart(t.start) {
		// The record in force may still be that of an earlier start, while this one is held back.
		if current := t.stateMachine.Current(); current == stateDraining || current == stateDeparted {
			return
		}
	} else if t.start != (backendStart{}) && left.Born <= t.start.startedMillis {
		return
	}
	// The drain time began when an earlier run of the node acknowledged the leaving.
	overdue := *t.current.Load()
	overdue.admitUntil = t.settings.Clock.Now()
	t.current.Store(&overdue)
	leavingState := stateDraining
	if known.State == membership.StateDeparted {
		leavingState = stateDeparted
	}
	if err := t.leave(left, leavingState); err != nil {
		event.AnnouncementRefused.Write(event.AnnouncementRefused.Log(&t.settings.Log).Err(err))
	}
}

// nameStart returns an announcement that names a start. Without a start time, an ID names the current start if that has it.
func (t *BackendTracker) nameStart(id string, born int64) Announcement {
	if born == 0 && id == t.start.id {
		born = t.start.startedMillis
	}
	return Announcement{ID: id, Born: born}
}

// leave puts a drain or departure into effect for a start that may not have announced itself to this run of the node.
func (t *BackendTracker) leave(a Announcement, leavingState string) error {
	record := t.current.Load().record
	if !a.isOfStart(t.start) {
		t.stateMachine.SetState(stateStarting)
		t.start = backendStart{id: a.ID, startedMillis: a.Born}
		record.Version = "" // Its version is not known.
	}
	if record.State == membership.StateDeparted && !a.isOfStart(backendStart{id: record.BackendID, startedMillis: record.BackendStarted}) {
		// A departure supersedes all records of its incarnation, so that of another start needs a higher one.
		record.Incarnation++
	}
	if err := t.trigger(leavingState); err != nil {
		return err
	}
	t.decided = true
	record.BackendID, record.BackendStarted, record.State = a.ID, a.Born, membershipStates[leavingState]
	t.update(record, t.current.Load().address)
	return nil
}

// confirmOrApply puts an announced state into effect. The first one since the node's start that says ready is passed to Run,
// which asks the backend server first.
func (t *BackendTracker) confirmOrApply(a Announcement) error {
	if !t.decided && a.identified() && a.State == stateReady && t.settings.AcceptsWork != nil {
		t.decided, t.checking = true, true
		t.noteAnnounced(a)
		t.unconfirmed <- a
		return nil
	}
	return t.apply(a)
}

// noteAnnounced remembers an announcement as the latest.
func (t *BackendTracker) noteAnnounced(a Announcement) {
	if t.lastAnnounced.IsZero() || !a.isOfStart(t.start) {
		t.announcedSince = t.settings.Clock.Now()
	}
	t.lastAnnounced = t.settings.Clock.Now()
	t.start = backendStart{id: a.ID, startedMillis: a.Born, sequence: a.Sequence}
}

// apply puts the announced state into effect.
func (t *BackendTracker) apply(a Announcement) error {
	if err := t.trigger(a.State); err != nil {
		return fault.Wrap(fault.Conflict, "announce", err, "a backend server that has announced that it leaves must announce starting after its restart, or name its start")
	}
	t.noteAnnounced(a)
	t.decided = true
	record := t.current.Load().record
	if record.State == membership.StateDeparted && a.State != stateDeparted {
		// A departure supersedes all records of its incarnation, so the new state needs a higher one.
		record.Incarnation++
	}
	record.Service, record.Slots, record.State = a.Service, a.Slots, membershipStates[a.State]
	record.BackendID, record.BackendStarted = a.ID, a.Born
	record.Version = a.Version
	t.update(record, a.Address)
	t.noteCold(a)
	return nil
}

// maxCold limits how long a backend server counts as slow after its start.
const maxCold = time.Minute

// noteCold takes over how much longer the backend server remains slow.
func (t *BackendTracker) noteCold(a Announcement) {
	left := min(time.Duration(max(0, min(a.ColdLeftMs, maxCold.Milliseconds())))*time.Millisecond, maxCold)
	current := t.current.Load()
	if left == 0 && current.coldUntil.IsZero() {
		return
	}
	warming := *current
	warming.coldUntil = t.settings.Clock.Now().Add(left)
	t.current.Store(&warming)
}

// Cold reports whether the backend server has announced that it is still slow after its start.
func (t *BackendTracker) Cold(now time.Time) bool { return now.Before(t.current.Load().coldUntil) }

// contradictsLeaving reports whether a start that has announced its drain or departure announces an earlier state. Such
// an announcement was sent before and arrived late. A departure carries no sequence, and a node that was paused
// processes all requests that arrived meanwhile in no particular order, so the sequence alone does not show it.
func (t *BackendTracker) contradictsLeaving(a Announcement) bool {
	if !a.identified() || !a.isOfStart(t.start) {
		return false
	}
	switch t.stateMachine.Current() {
	case stateDraining:
		return a.State == stateStarting || a.State == stateReady
	case stateDeparted:
		return a.State != stateDeparted
	}
	return false
}

// resetOnNewStart resets the state machine if the announcement comes from another start. A backend server that does not
// identify its starts begins a new one by announcing starting, or ready after its departure.
func (t *BackendTracker) resetOnNewStart(a Announcement) {
	anonymousStart := !a.identified() &&
		(a.State == stateStarting || a.State == stateReady && t.stateMachine.Current() == stateDeparted)
	if !a.isOfStart(t.start) || anonymousStart {
		t.stateMachine.SetState(stateStarting)
	}
}

// Depart processes the departure of a backend server, with or without a preceding drain. The departure of a start that
// has not announced itself is remembered too: the node may have restarted, and late announcements of that start may
// still arrive. A born of zero means that the departure does not name its start.
//
// The departure is in effect at once, but the error is of kind Unavailable as long as the store does not hold it.
func (t *BackendTracker) Depart(id string, born int64) error {
	if err := t.depart(id, born); err != nil {
		return err
	}
	return t.awaitStored()
}

func (t *BackendTracker) depart(id string, born int64) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	departing := t.nameStart(id, born)
	if !departing.isOfStart(t.start) && t.start != (backendStart{}) && born <= t.start.startedMillis {
		return fault.New(fault.NotFound, "depart", fmt.Sprintf("backend server %q is not the one that announced itself to this node", id),
			"ignore the error: an earlier start of the backend server is sent no requests")
	}
	if err := t.leave(departing, stateDeparted); err != nil {
		return fault.Wrap(fault.Conflict, "depart", err, "")
	}
	return nil
}

// trigger sends an event to the state machine. Remaining in the same state is not an error.
func (t *BackendTracker) trigger(eventName string) error {
	err := t.stateMachine.Event(context.Background(), eventName)
	if _, noTransition := err.(fsm.NoTransitionError); noTransition {
		return nil
	}
	return err
}

// update replaces the record and calls OnChange if it has changed. Each change increments the record's sequence.
func (t *BackendTracker) update(record membership.Instance, addr string) {
	old := t.current.Load()
	record.BackendLeaving = record.State == membership.StateDraining || record.State == membership.StateDeparted
	if record == old.record {
		if addr != old.address {
			moved := *old
			moved.address = addr
			t.current.Store(&moved)
		}
		return
	}
	record.Sequence = old.record.Sequence + 1
	now := t.settings.Clock.Now()
	next := &ownState{record: record, address: addr, admitUntil: t.admitsUntil(old, record, now), coldUntil: old.coldUntil}
	if next.leaving() {
		next.leavingSince = now
		if old.leaving() && old.record.BackendID == record.BackendID {
			next.leavingSince = old.leavingSince
		}
	}
	t.current.Store(next)
	line := event.BackendState.Log(&t.settings.Log).Str("service", record.Service).Int("slots", record.Slots).
		Str("state", t.stateMachine.Current()).Str("previous", old.record.State.String()).Str("backend", record.BackendID).
		Int64("born", t.start.startedMillis).Uint64("sequence", t.start.sequence)
	if next.leaving() {
		line = line.Dur("admits_ms", next.admitUntil.Sub(now))
	}
	event.BackendState.Write(line)
	t.settings.OnChange(t.published(record))
}

// admitsUntil returns the time until which a draining or departed backend server accepts new requests. A departure
// after a drain does not extend it.
func (t *BackendTracker) admitsUntil(old *ownState, record membership.Instance, now time.Time) time.Time {
	switch record.State {
	case membership.StateDraining, membership.StateDeparted:
		if !old.admitUntil.IsZero() && old.record.BackendID == record.BackendID {
			return old.admitUntil
		}
		if old.record.State == membership.StateReady && old.record.BackendID == record.BackendID {
			return now.Add(time.Duration(t.drainTime.Load()))
		}
		return now
	}
	return time.Time{}
}

// Expire returns a backend server that has not announced itself for Settings.Timeout to the state starting, in which
// it is sent no new requests.
func (t *BackendTracker) Expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.lastAnnounced) < t.settings.Timeout || !t.stateMachine.Can(eventAnnouncementsMissed) || t.trigger(eventAnnouncementsMissed) != nil {
		return
	}
	current := t.current.Load()
	event.BackendLost.Write(event.BackendLost.Log(&t.settings.Log).Str("service", current.record.Service).Str("address", current.address))
	record := current.record
	record.State = membership.StateStarting
	t.update(record, current.address)
}

// confirm asks the backend server whether it accepts new requests, as its first announcement says. If it does not say
// so, the next announcement decides: it is newer than the first one, and a health check that fails may be wrong. One that
// arrives meanwhile waits, since the answer also names the limit that the server has. As long as it is not certain what an earlier
// run published, the announcement is held back instead, and the next one is checked again.
func (t *BackendTracker) confirm(ctx context.Context, a Announcement) {
	accepts := t.settings.AcceptsWork(ctx, a)
	event.AnnouncementChecked.Write(event.AnnouncementChecked.Log(&t.settings.Log).Str("backend", a.ID).Int64("born", a.Born).
		Uint64("sequence", a.Sequence).Bool("accepts_work", accepts))
	t.mu.Lock()
	defer t.mu.Unlock()
	t.checking = false
	if !accepts && !t.settled && t.stateMachine.Current() == stateStarting {
		// The nodes or the store that have answered may not know all that was acknowledged.
		t.recalled, t.decided = false, false
		if t.held == nil {
			t.held = &a
		}
		t.reportStarting()
		return
	}
	if t.processHeld(t.apply) || !accepts {
		return
	}
	if !a.isOfStart(t.start) || a.Sequence != t.start.sequence || t.stateMachine.Current() != stateStarting {
		return // A newer announcement has arrived meanwhile.
	}
	if err := t.apply(a); err != nil {
		event.AnnouncementRefused.Write(event.AnnouncementRefused.Log(&t.settings.Log).Err(err))
	}
}

// reportStarting tells other nodes that the backend server gets no requests. The record of an earlier run may still say that it is ready.
func (t *BackendTracker) reportStarting() {
	if t.reportedStarting {
		return
	}
	t.reportedStarting = true
	next := *t.current.Load()
	next.record.Sequence++
	t.current.Store(&next)
	t.settings.OnChange(t.published(next.record))
}

// Run recalls the records of an earlier run, checks the first announcement, and looks for missed ones until ctx ends.
func (t *BackendTracker) Run(ctx context.Context) {
	if t.settings.Recall != nil {
		var recall sync.WaitGroup
		recall.Go(func() { t.recall(ctx) })
		defer recall.Wait()
	}
	tick := time.NewTicker(t.settings.Timeout / 6)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			t.Expire(t.settings.Clock.Now())
		case a := <-t.unconfirmed:
			t.confirm(ctx, a)
		case <-ctx.Done():
			return
		}
	}
}
