package syncer

import (
	"context"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/clock"
	"github.com/monsoonlatch/monsoonlatch/pkg/event"
	"github.com/monsoonlatch/monsoonlatch/pkg/fault"
	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
)

// Self returns the node's own record.
func (s *Syncer) Self() membership.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.self
}

// UpdateSelf updates the node's own record and announces it if it has changed. It takes over state, slots, hand-over
// and non-empty addresses from i. Identity, incarnation and sequence are managed by the syncer and not changed by i.
func (s *Syncer) UpdateSelf(i membership.Instance) {
	s.mu.Lock()
	next := s.self
	next.State, next.Slots, next.HandedOver = i.State, i.Slots, i.HandedOver
	if i.PeerAddress != "" {
		next.PeerAddress = i.PeerAddress
	}
	if i.ControlAddress != "" {
		next.ControlAddress = i.ControlAddress
	}
	if next == s.self || s.departed {
		s.mu.Unlock()
		return
	}
	next.Sequence++
	s.self = next
	s.table.Put(next)
	s.mu.Unlock()
	s.requestAnnouncement()
}

func (s *Syncer) requestAnnouncement() {
	select {
	case s.announceNow <- struct{}{}:
	default:
	}
}

// announceTimeout is the timeout of one announcement. It is short because a drain must reach other nodes within a few
// seconds.
const announceTimeout = time.Second

func (s *Syncer) announceLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.announceNow:
		}
		for n := 1; s.announce(ctx) != nil; n++ {
			if !clock.Sleep(ctx, s.settings.Jitter(maxBackoff(n))) {
				return
			}
		}
	}
}

// announce sends the node's own record to the relays in order of preference until one accepts it.
func (s *Syncer) announce(ctx context.Context) error {
	s.mu.Lock()
	relays := s.relays.candidates(s.clock.Now(), s.self.ID, s.settings.Instance.AvailabilityZone)
	if s.departed {
		relays = excludeSelf(s.self.ID, relays)
	}
	s.mu.Unlock()
	err := error(fault.New(fault.Unavailable, "announce", "no relay is known", "check the seed addresses"))
	for _, r := range relays {
		args, reply := &AnnounceArgs{Instance: s.Self(), Config: s.acceptor.State()}, AnnounceReply{}
		if err = s.call(ctx, announceTimeout, r.Address, MethodAnnounce, args, &reply); err == nil {
			s.metrics.Counter("sync.announced").Inc(1)
			s.checkOwnRecord(reply.Instance)
			return nil
		}
	}
	return err
}

// excludeSelf removes the relay on the node itself from relays. If only the stopping process knew of the departure, it
// would be lost with the process, and other nodes would also treat the node's idempotency records as lost. If there is
// no other relay, relays is returned unchanged.
func excludeSelf(self membership.InstanceID, relays []RelayInfo) []RelayInfo {
	var others []RelayInfo
	for _, r := range relays {
		if r.Node != self {
			others = append(others, r)
		}
	}
	if len(others) == 0 {
		return relays
	}
	return others
}

// Depart announces the departure of the instance in a planned stop. It returns when a relay has accepted it or ctx
// ends. The node does not announce itself again afterwards.
func (s *Syncer) Depart(ctx context.Context, handedOver bool) error {
	s.mu.Lock()
	if !s.departed {
		s.departed = true
		s.self.State, s.self.HandedOver = membership.StateDeparted, handedOver
		s.self.Sequence++
		s.table.Put(s.self)
	}
	s.mu.Unlock()
	for n := 1; ; n++ {
		err := s.announce(ctx)
		if err == nil {
			return nil
		}
		if !clock.Sleep(ctx, s.settings.Jitter(maxBackoff(n))) {
			return err
		}
	}
}

// checkOwnRecord raises the node's incarnation if others have recorded it as departed or hold a record of a later
// process with its ID. received holds the records of the node itself that a relay has sent. A departure among them
// counts even if the node has raised its sequence since, because other nodes may have acted on it.
func (s *Syncer) checkOwnRecord(received ...membership.Instance) {
	s.mu.Lock()
	if known, ok := s.table.Get(s.self.ID); ok {
		received = append(received, known)
	}
	highest, superseded := s.self.Incarnation, false
	for _, i := range received {
		if i.ID == s.self.ID && supersedes(i, s.self) {
			highest, superseded = max(highest, i.Incarnation), true
		}
	}
	if !superseded || s.departed {
		s.mu.Unlock()
		return
	}
	s.self.Incarnation, s.self.Sequence = highest+1, 1
	s.table.Put(s.self)
	s.mu.Unlock()
	s.metrics.Counter("sync.incarnation_raised").Inc(1)
	e := event.SyncDeparted
	e.Write(e.Log(&s.log).Uint64("incarnation", highest+1))
	s.requestAnnouncement()
}

// supersedes reports whether i, a record with the node's ID, overrides the node's own record self: it has a later
// incarnation, or in the same incarnation a departure or a higher sequence.
func supersedes(i, self membership.Instance) bool {
	if i.Incarnation != self.Incarnation {
		return i.Incarnation > self.Incarnation
	}
	return i.State == membership.StateDeparted || i.Sequence > self.Sequence
}
