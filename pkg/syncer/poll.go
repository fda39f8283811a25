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
	// attempts within DepartureTimeout.
	backoffBase = 500 * time.Millisecond
	backoffCap  = 4 * time.Second
	// repairMismatches is the number of consecutive polls with a digest mismatch after which the node requests all
	// records. A single mismatch can come from a tombstone that expires at that moment.
	repairMismatches = 3
	// pollsPerMove is the average number of polls after which a node moves from a working relay to its preferred one.
	// The nodes of a zone thus move to a new relay over about 30 s and not all at the same time.
	pollsPerMove = 10
)

func (s *Syncer) run(ctx context.Context) {
	for ctx.Err() == nil {
		if !s.ready.Load() {
			s.tryStart(ctx)
		} else {
			s.pollOnce(ctx)
		}
	}
}

// tryStart makes one attempt to get ready: it polls a relay and asks the platform and peers for the newest
// configuration.
func (s *Syncer) tryStart(ctx context.Context) {
	s.session.deferred = false
	polled := s.pollOnce(ctx)
	if s.session.deferred {
		return // the relay answers later; asking the platform instead would bypass the relay's rate limit
	}
	if !s.quorum.platformRead {
		s.readPlatform(ctx)
	}
	if !s.quorum.platformRead || len(s.quorum.answeredPeers) == 0 {
		s.askPeers(ctx)
	}
	s.updateReadiness()
	if !s.ready.Load() && polled {
		clock.Sleep(ctx, backoffBase+s.settings.Jitter(backoffBase))
	}
}

// pollOnce polls a relay once, after looking for one if necessary, and reports whether the poll succeeded.
func (s *Syncer) pollOnce(ctx context.Context) bool {
	if err := s.pollLimiter.Wait(ctx); err != nil {
		return false
	}
	relay, ok := s.chooseRelay(ctx)
	if !ok {
		s.backOff(ctx)
		return false
	}
	if err := s.poll(ctx, relay); err != nil {
		s.relayFailed(ctx, relay, err)
		return false
	}
	return true
}

// chooseRelay returns the relay to poll: the current one or the best candidate. It returns false if none is known.
func (s *Syncer) chooseRelay(ctx context.Context) (RelayInfo, bool) {
	best, usable := s.bestRelay()
	cur := s.session.relay
	if !s.session.lastPollFailed && cur.Address != "" && (!usable || best == cur || !s.shouldMove(cur, best)) {
		return cur, true
	}
	if !usable {
		s.discoverRelays(ctx)
		best, _ = s.bestRelay()
	}
	if best.Address == "" {
		return best, false
	}
	s.selectRelay(best)
	return best, true
}

// shouldMove decides whether to leave a working relay for the preferred one: always if only the preferred one is in the
// node's zone, otherwise with a probability of 1/pollsPerMove.
func (s *Syncer) shouldMove(cur, best RelayInfo) bool {
	zone := s.settings.Instance.AvailabilityZone
	if cur.Zone != zone && best.Zone == zone {
		return true
	}
	return s.settings.Jitter(pollsPerMove) == 0
}

// bestRelay returns the preferred candidate and reports whether it is usable, that is, has not failed recently.
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

// selectRelay sets r as the relay to poll. It does not change the node's own record, so that the digests of nodes and
// relay agree immediately when many nodes switch relays together; relays tell each other which node polls where.
func (s *Syncer) selectRelay(r RelayInfo) {
	s.session.lastPollFailed = false
	if s.session.relay == r {
		return
	}
	s.session.relay, s.session.mark, s.session.digestMismatches = r, membership.Mark{}, 0
	s.session.sentSelf = membership.Instance{}
	e := event.SyncRelay
	e.Write(e.Log(&s.log).Str("zone", r.Zone).Uint8("slot", r.Slot).Str("address", r.Address))
}

func (s *Syncer) relayFailed(ctx context.Context, r RelayInfo, err error) {
	if ctx.Err() != nil {
		return
	}
	e := event.SyncRelayLost
	e.Write(e.Log(&s.log).Err(err).Str("address", r.Address))
	s.session.lastPollFailed, s.session.sentSelf = true, membership.Instance{}
	s.mu.Lock()
	s.relays.recordFailure(r.Address, s.clock.Now())
	s.mu.Unlock()
	s.backOff(ctx)
}

// backOff counts a failure and waits a random time that grows with the number of consecutive failures.
func (s *Syncer) backOff(ctx context.Context) {
	s.session.consecutiveFailures++
	s.metrics.CountRetry(metric.RetryControlCall)
	clock.Sleep(ctx, s.settings.Jitter(maxBackoff(s.session.consecutiveFailures)))
}

// maxBackoff returns the upper bound of the wait after n consecutive failures.
func maxBackoff(n int) time.Duration {
	return min(backoffBase<<min(n-1, 10), backoffCap)
}

// discoverRelays asks up to three peers, in random order, for relays until a usable relay of the node's zone is known.
func (s *Syncer) discoverRelays(ctx context.Context) {
	const maxPeers = 3
	for i, addr := range s.shuffled(s.peers()) {
		if i == maxPeers || ctx.Err() != nil {
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
	sent := s.session.sentSelf
	if args.Instance != nil {
		sent = *args.Instance
	}
	var reply SyncReply
	if err := s.call(ctx, PollTimeout, r.Address, MethodSync, args, &reply); err != nil {
		return err
	}
	s.session.consecutiveFailures, s.session.sentSelf = 0, sent
	if reply.Resend {
		s.session.sentSelf = membership.Instance{}
		return nil
	}
	if reply.Config.Hash == "" && reply.Config.Version == args.Config.Version {
		reply.Config.Hash = args.Config.Hash
	}
	s.applyReply(args, &reply, r)
	if reply.RetryAfter > 0 {
		s.metrics.CountRefusal(metric.RefusedSyncLimited)
		s.session.deferred = true
		clock.Sleep(ctx, reply.RetryAfter+s.settings.Jitter(reply.RetryAfter))
	}
	return nil
}

func (s *Syncer) pollArgs() *SyncArgs {
	self := s.Self()
	args := &SyncArgs{
		Node: self.ID, Instance: &self, Config: s.acceptor.State(), NeedWhole: s.session.needWhole, Mark: s.session.mark,
		Digest: s.digest(), Confirm: !s.quorum.platformRead && !s.ready.Load(), NoWait: !s.ready.Load(),
		Fetch: s.servicesToFetch(),
	}
	if s.session.sentSelf == self {
		args.Instance = nil
	}
	if s.session.pushRecords {
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

// applyReply applies the reply to a poll: configuration, records, relay list and unreachable zones.
func (s *Syncer) applyReply(args *SyncArgs, reply *SyncReply, r RelayInfo) {
	if !reply.Update.Empty() {
		s.accept(reply.Update, r.Address)
	}
	if reply.Confirmed && s.acceptor.State().Version >= reply.Config.Version {
		s.quorum.platformRead = true
	}
	s.countAnswer(r.Address, reply.Config)
	s.applyRecords(args, reply)
	s.mu.Lock()
	if reply.RelaysSent {
		s.relays.set(reply.Relays)
	}
	s.relays.recordSuccess(r.Address, s.clock.Now())
	s.mu.Unlock()
	s.table.SetUnreachable(reply.Unreachable)
	var ownRecords []membership.Instance
	for _, rec := range reply.Records {
		if rec.Instance.ID == args.Node {
			ownRecords = append(ownRecords, rec.Instance)
		}
	}
	s.checkOwnRecord(ownRecords...)
}

func (s *Syncer) applyRecords(args *SyncArgs, reply *SyncReply) {
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
		// With another configuration, the relay may not have selected all services that were asked for.
		s.markFetched(args.Fetch)
	}
	if sameConfig && (reply.Complete || s.digest() == reply.Digest) {
		s.markFetched(s.servicesToFetch())
	}
	s.session.mark, s.session.pushRecords = reply.Mark, false
	if reply.Synchronised {
		s.table.SetComplete(true)
	}
	s.compareDigest(reply)
}

// compareDigest compares the node's digest with the relay's and requests all records after repairMismatches
// consecutive mismatches. Digests are comparable only if both sides select services by the same configuration.
func (s *Syncer) compareDigest(reply *SyncReply) {
	if reply.Config.Version != s.acceptor.State().Version || s.digest() == reply.Digest {
		s.session.digestMismatches = 0
		return
	}
	s.session.digestMismatches++
	if s.session.digestMismatches >= repairMismatches {
		s.metrics.Counter("sync.repairs").Inc(1)
		s.session.mark, s.session.digestMismatches = membership.Mark{}, 0
		s.session.pushRecords = !reply.Authoritative
	}
}

// call makes a control call with timeout d and counts refusals with fault.Forbidden.
func (s *Syncer) call(ctx context.Context, d time.Duration, addr, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	err := s.caller.Call(ctx, addr, method, args, reply)
	if err != nil && fault.Is(err, fault.Forbidden) {
		s.metrics.CountRefusal(metric.RefusedForbidden)
	}
	return err
}
