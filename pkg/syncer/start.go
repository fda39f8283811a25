package syncer

import (
	"context"
	"encoding/json"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/clock"
	"github.com/monsoonlatch/monsoonlatch/pkg/config"
	"github.com/monsoonlatch/monsoonlatch/pkg/event"
	"github.com/monsoonlatch/monsoonlatch/pkg/fault"
	"github.com/monsoonlatch/monsoonlatch/pkg/lease"
	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
	"github.com/monsoonlatch/monsoonlatch/pkg/platform"
)

// quorum tracks which sources have reported their configuration to a starting node and decides when they suffice.
type quorum struct {
	// platformRead is set once the platform was read since the node started, by the node or by a relay on its behalf.
	platformRead bool
	// answeredPeers holds the addresses of the peers that have reported their configuration.
	answeredPeers map[string]bool
	// nextPeer is the position in the list of peers at which the next round continues, modulo the length of the list.
	nextPeer int
}

// minPeerAnswers is the number of peers that must have answered if the platform is not available.
const minPeerAnswers = 2

// reached reports whether the node may serve the highest version found. Without the platform, one peer is enough only
// if the node knows no other, because a peer may itself have been cut off and serve an old version.
func (q quorum) reached(knownPeers int) bool {
	return q.platformRead || (len(q.answeredPeers) > 0 && len(q.answeredPeers) >= min(minPeerAnswers, knownPeers))
}

// peerTimeout is the timeout of a call to one peer.
const peerTimeout = time.Second

// readPlatform reads the head directly, unless the platform has been read already, and learns relays if none is usable.
func (s *Syncer) readPlatform(ctx context.Context) {
	if s.quorum.platformRead || !clock.Sleep(ctx, s.settings.Jitter(s.settings.StartSpread)) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, s.settings.PlatformTimeout)
	defer cancel()
	w, found, err := ReadHead(ctx, s.store)
	if err != nil && !fault.Is(err, fault.Invalid) {
		return
	}
	if err != nil {
		LogVerdict(&s.log, s.metrics, Invalid, err, "platform", s.acceptor.State())
		return
	}
	if found {
		s.accept(ConfigUpdate{Whole: &w}, "platform")
	}
	s.quorum.platformRead = true
	s.readLeases(ctx)
}

// readLeases reads the relays of the node's zone from their leases on the platform, if no usable relay is known.
func (s *Syncer) readLeases(ctx context.Context) {
	if _, usable := s.bestRelay(); usable {
		return
	}
	objects, err := s.store.List(ctx, platform.KindRelayLease)
	if err != nil {
		return
	}
	var found []RelayInfo
	for _, o := range objects {
		if r, ok := ParseLease(o); ok && r.Zone == s.settings.Instance.AvailabilityZone {
			found = append(found, r)
		}
	}
	s.AddRelays(found)
}

// ParseLease returns the relay that holds the lease in a lease object. It returns false if the object is malformed.
func ParseLease(o platform.Object) (RelayInfo, bool) {
	zone, slot, ok := lease.ParseName(o.Name)
	var l lease.Lease
	if !ok || json.Unmarshal(o.Spec, &l) != nil {
		return RelayInfo{}, false
	}
	return RelayInfo{Zone: zone, Slot: slot, Node: membership.InstanceID(l.Holder), Address: l.Address}, true
}

// ReadHead reads the configuration in the head object. found is false if there is no head object.
func ReadHead(ctx context.Context, store platform.Store) (w WholeConfig, found bool, err error) {
	obj, err := store.Get(ctx, platform.KindConfiguration, platform.HeadName)
	if fault.Is(err, fault.NotFound) {
		return WholeConfig{}, false, nil
	}
	if err != nil {
		return WholeConfig{}, false, err
	}
	w, err = ParseHead(obj)
	return w, err == nil, err
}

// ParseHead returns the configuration in a head object.
func ParseHead(obj platform.Object) (WholeConfig, error) {
	h, err := config.ParseHead(obj.Spec)
	if err != nil {
		return WholeConfig{}, err
	}
	return WholeConfig{Version: h.Version, Hash: h.Hash, Configuration: h.Configuration}, nil
}

// maxPeersPerRound is the maximum number of peers tried in one round. The next round continues with the peers after
// these.
const maxPeersPerRound = 8

// askPeers asks the known peers for their configuration until enough have answered. One is asked even if the platform
// has been read, because a platform that was restored to an older state has an older version than the nodes.
func (s *Syncer) askPeers(ctx context.Context) {
	peers := s.peers()
	for range min(maxPeersPerRound, len(peers)) {
		addr := peers[s.quorum.nextPeer%len(peers)]
		s.quorum.nextPeer++
		if s.quorum.answeredPeers[addr] {
			continue
		}
		var reply ConfigReply
		if err := s.call(ctx, peerTimeout, addr, MethodConfig, &ConfigArgs{Config: s.acceptor.State()}, &reply); err != nil {
			continue
		}
		if !reply.Update.Empty() {
			s.accept(reply.Update, addr)
		}
		s.countAnswer(addr, reply.Config)
		if len(s.quorum.answeredPeers) > 0 && s.quorum.reached(len(peers)) {
			return
		}
	}
}

// countAnswer counts the peer at addr towards the quorum if this node's version is at least that of the peer. A peer
// without a configuration is not counted, because it is itself starting and knows nothing about the newest version.
func (s *Syncer) countAnswer(addr string, c ConfigState) {
	if c.Hash != "" && s.acceptor.State().Version >= c.Version {
		s.quorum.answeredPeers[addr] = true
	}
}

// peers returns the control addresses of all other known nodes: seeds, relays and members.
func (s *Syncer) peers() []string {
	own := s.settings.Instance.ControlAddress
	seen := map[string]bool{own: true, "": true}
	var out []string
	add := func(addr string) {
		if !seen[addr] {
			seen[addr] = true
			out = append(out, addr)
		}
	}
	for _, addr := range s.settings.Seeds {
		add(addr)
	}
	for _, r := range s.Relays() {
		add(r.Address)
	}
	records, _ := s.table.All(func(membership.Instance) bool { return true })
	for _, r := range records {
		if !r.Gone {
			add(r.Instance.ControlAddress)
		}
	}
	return out
}

// updateReadiness marks the node as ready if the quorum is reached and a configuration is in force.
func (s *Syncer) updateReadiness() {
	if s.ready.Load() {
		return
	}
	if !s.quorum.reached(len(s.peers())) {
		s.metrics.Counter("sync.start_waiting").Inc(1)
		e := event.SyncWaiting
		e.Write(e.Log(&s.log).Int("answered", len(s.quorum.answeredPeers)).Int("peers", len(s.peers())))
		return
	}
	s.quorumReached.Store(true)
	if s.acceptor.Current() == nil {
		return
	}
	s.ready.Store(true)
	e := event.SyncReady
	e.Write(e.Log(&s.log).Bool("platform", s.quorum.platformRead).Int("answered", len(s.quorum.answeredPeers)).
		Uint64("version", uint64(s.acceptor.State().Version)))
}
