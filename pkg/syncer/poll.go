package syncer

import (
	"context"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/clock"
	"github.com/monsoonlatch/monsoonlatch/pkg/event"
	"github.com/monsoonlatch/monsoonlatch/pkg/fault"
	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
)

const (
	// backoffBase and backoffCap bound the random wait before the next relay is tried. The cap leaves time for two
	// tries before a relay counts MissedPolls.
	backoffBase = 500 * time.Millisecond
	backoffCap  = 4 * time.Second
	// repairAfter is how many polls in a row must end with another digest than the relay's before all records are
	// requested; a single difference can come from a tombstone whose window ends.
	repairAfter = 3
	// moveChance is one in so many polls at which a node returns to the relay that its hash prefers, so that the
	// nodes of a zone spread over a new relay within some 30 s and not at once.
	moveChance = 10
)

func (s *Syncer) run(ctx context.Context) {
	for ctx.Err() == nil {
		if !s.ready.Load() {
			s.start(ctx)
		} else {
			s.step(ctx)
		}
	}
}

// start is one round of a node that is not ready.
func (s *Syncer) start(ctx context.Context) {
	s.link.putOff = false
	polled := s.step(ctx)
	if s.link.putOff {
		return // the relay answers later; asking the platform instead would defeat its limit
	}
	if !s.quorum.platform {
		s.askPlatform(ctx)
	}
	if !s.quorum.platform || len(s.quorum.answered) == 0 {
		s.askPeers(ctx)
	}
	s.settle()
	if !s.ready.Load() && polled {
		clock.Sleep(ctx, backoffBase+s.settings.Jitter(backoffBase))
	}
}

// step polls a relay once, or looks for one.
func (s *Syncer) step(ctx context.Context) bool {
	if err := s.polls.Wait(ctx); err != nil {
		return false
	}
	relay, ok := s.choose(ctx)
	if !ok {
		s.lost(ctx)
		return false
	}
	if err := s.poll(ctx, relay); err != nil {
		s.relayFailed(ctx, relay, err)
		return false
	}
	return true
}

// choose returns the relay to poll: the current one, or the best candidate.
func (s *Syncer) choose(ctx context.Context) (RelayInfo, bool) {
	best, usable := s.bestRelay()
	cur := s.link.relay
	if !s.link.lost && cur.Address != "" && (!usable || best == cur || !s.moves(cur, best)) {
		return cur, true
	}
	if !usable {
		s.discover(ctx)
		best, _ = s.bestRelay()
	}
	if best.Address == "" {
		return best, false
	}
	s.attach(best)
	return best, true
}

// moves decides whether to leave a working relay for the preferred one.
func (s *Syncer) moves(cur, best RelayInfo) bool {
	zone := s.settings.Instance.AvailabilityZone
	if cur.Zone != zone && best.Zone == zone {
		return true
	}
	return s.settings.Jitter(moveChance) == 0
}

// bestRelay returns the first candidate and whether it has not failed recently.
func (s *Syncer) bestRelay() (RelayInfo, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	c := s.relays.candidates(now, s.self.ID, s.settings.Instance.AvailabilityZone)
	if len(c) == 0 {
		return RelayInfo{}, false
	}
	return c[0], s.relays.usable(c[0], now)
}

// attach turns to a relay. The own record stays as it is, so that the digests of node and relay agree at once when a
// herd of nodes turns to another relay; which node polls where travels between relays.
func (s *Syncer) attach(r RelayInfo) {
	s.link.lost = false
	if s.link.relay == r {
		return
	}
	s.link.relay, s.link.mark, s.link.mismatches = r, membership.Mark{}, 0
	s.link.sent = membership.Instance{}
	e := event.SyncRelay
	e.Write(e.Log(&s.log).Str("zone", r.Zone).Uint8("slot", r.Slot).Str("address", r.Address))
}

func (s *Syncer) relayFailed(ctx context.Context, r RelayInfo, err error) {
	if ctx.Err() != nil {
		return
	}
	e := event.SyncRelayLost
	e.Write(e.Log(&s.log).Err(err).Str("address", r.Address))
	s.link.lost, s.link.sent = true, membership.Instance{}
	s.mu.Lock()
	s.relays.failed(r.Address, s.clock.Now())
	s.mu.Unlock()
	s.lost(ctx)
}

// lost waits a random time that grows with the failures in a row.
func (s *Syncer) lost(ctx context.Context) {
	s.link.failures++
	s.metrics.CountRetry(metric.RetryControlCall)
	clock.Sleep(ctx, s.settings.Jitter(backoff(s.link.failures)))
}

// backoff returns the upper bound of the wait after n failures in a row.
func backoff(n int) time.Duration {
	return min(backoffBase<<min(n-1, 10), backoffCap)
}

// discover asks other nodes for relays, in random order, until one of the node's zone is known.
func (s *Syncer) discover(ctx context.Context) {
	const most = 3
	for i, addr := range s.shuffled(s.peers()) {
		if i == most || ctx.Err() != nil {
			return
		}
		args, reply := &PeersArgs{Zone: s.settings.Instance.AvailabilityZone, Config: s.acceptor.State()}, PeersReply{}
		if err := s.call(ctx, peerTimeout, addr, MethodPeers, args, &reply); err != nil {
			continue
		}
		s.AddRelays(reply.Relays)
		if best, usable := s.bestRelay(); usable && best.Zone == args.Zone {
			return
		}
	}
}

func (s *Syncer) shuffled(list []string) []string {
	for i := len(list) - 1; i > 0; i-- {
		j := int(s.settings.Jitter(time.Duration(i + 1)))
		list[i], list[j] = list[j], list[i]
	}
	return list
}

func (s *Syncer) poll(ctx context.Context, r RelayInfo) error {
	args := s.pollArgs()
	sent := s.link.sent
	if args.Instance != nil {
		sent = *args.Instance
	}
	var reply SyncReply
	if err := s.call(ctx, PollDeadline, r.Address, MethodSync, args, &reply); err != nil {
		return err
	}
	s.link.failures, s.link.sent = 0, sent
	if reply.Resend {
		s.link.sent = membership.Instance{}
		return nil
	}
	if reply.Config.Hash == "" && reply.Config.Version == args.Config.Version {
		reply.Config.Hash = args.Config.Hash
	}
	s.take(args, &reply, r)
	if reply.RetryAfter > 0 {
		s.metrics.CountRefusal(metric.RefusedSyncLimited)
		s.link.putOff = true
		clock.Sleep(ctx, reply.RetryAfter+s.settings.Jitter(reply.RetryAfter))
	}
	return nil
}

func (s *Syncer) pollArgs() *SyncArgs {
	self := s.Self()
	args := &SyncArgs{
		Node: self.ID, Instance: &self, Config: s.acceptor.State(), NeedWhole: s.link.needWhole, Mark: s.link.mark,
		Digest: s.digest(), Confirm: !s.quorum.platform && !s.ready.Load(), NoWait: !s.ready.Load(),
		Fetch: s.pendingFetch(),
	}
	if s.link.sent == self {
		args.Instance = nil
	}
	if s.link.push {
		args.Push, _ = s.table.All(func(membership.Instance) bool { return true })
	}
	s.mu.Lock()
	args.Relays = RelaysDigest(s.relays.all)
	s.mu.Unlock()
	return args
}

func (s *Syncer) digest() uint64 {
	return s.table.Digest(Subscription(s.acceptor.Current(), s.settings.Instance.Service))
}

// take applies an answer.
func (s *Syncer) take(args *SyncArgs, reply *SyncReply, r RelayInfo) {
	if !reply.Update.Empty() {
		s.accept(reply.Update, r.Address)
	}
	if reply.Confirmed && s.acceptor.State().Version >= reply.Config.Version {
		s.quorum.platform = true
	}
	s.answered(r.Address, reply.Config)
	s.takeRecords(args, reply)
	s.mu.Lock()
	if reply.RelaysSent {
		s.relays.set(reply.Relays)
	}
	s.relays.answered(r.Address, s.clock.Now())
	s.mu.Unlock()
	s.table.SetUnreachable(reply.Unreachable)
	var told []membership.Instance
	for _, rec := range reply.Records {
		if rec.Instance.ID == args.Node {
			told = append(told, rec.Instance)
		}
	}
	s.checkSelf(told...)
}

func (s *Syncer) takeRecords(args *SyncArgs, reply *SyncReply) {
	if reply.RetryAfter > 0 {
		return
	}
	wants := Subscription(s.acceptor.Current(), s.settings.Instance.Service)
	sameConfig := s.acceptor.State().Version == reply.Config.Version
	if reply.Complete && reply.Authoritative && sameConfig {
		s.table.Replace(reply.Records, func(i membership.Instance) bool { return wants(i.Service) })
	} else {
		s.table.Merge(reply.Records...)
	}
	if sameConfig {
		// A relay with another configuration may not have selected all services that were asked for.
		s.fetched(args.Fetch)
	}
	if sameConfig && (reply.Complete || s.digest() == reply.Digest) {
		s.fetched(s.pendingFetch())
	}
	s.link.mark, s.link.push = reply.Mark, false
	if reply.Synchronised {
		s.table.SetSynchronised(true)
	}
	s.compareDigest(reply)
}

// compareDigest asks for all records when the tables stay different. The digests can be compared only when both
// sides select services by the same configuration.
func (s *Syncer) compareDigest(reply *SyncReply) {
	if reply.Config.Version != s.acceptor.State().Version || s.digest() == reply.Digest {
		s.link.mismatches = 0
		return
	}
	s.link.mismatches++
	if s.link.mismatches >= repairAfter {
		s.metrics.Counter("sync.repairs").Inc(1)
		s.link.mark, s.link.mismatches = membership.Mark{}, 0
		s.link.push = !reply.Authoritative
	}
}

// call makes a control call with a deadline.
func (s *Syncer) call(ctx context.Context, d time.Duration, addr, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	err := s.caller.Call(ctx, addr, method, args, reply)
	if err != nil && fault.Is(err, fault.Forbidden) {
		s.metrics.CountRefusal(metric.RefusedForbidden)
	}
	return err
}
