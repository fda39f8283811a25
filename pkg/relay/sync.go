package relay

import (
	"context"
	"slices"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/clock"
	"github.com/monsoonlatch/monsoonlatch/pkg/fault"
	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
	"github.com/monsoonlatch/monsoonlatch/pkg/rpcwire"
	"github.com/monsoonlatch/monsoonlatch/pkg/syncer"
)

// membershipBatchDelay is how long a relay collects membership changes before it answers waiting polls, so that a burst
// of announcements does not cost one response per node and announcement.
const membershipBatchDelay = 100 * time.Millisecond

// Register registers the relay's RPC methods. They return NotFound while the node is not a relay.
func (r *Relay) Register(server *rpcwire.Server) {
	rpcwire.Handle(server, syncer.MethodSync, whileActive(r, (*activeRelay).serveSync))
	rpcwire.Handle(server, syncer.MethodAnnounce, whileActive(r, (*activeRelay).serveAnnounce))
	rpcwire.Handle(server, syncer.MethodExchange, whileActive(r, (*activeRelay).serveExchange))
}

// whileActive wraps a handler so that it returns NotFound while the node is not a relay.
func whileActive[A, R any](r *Relay, h func(*activeRelay, context.Context, *A, *R) error) rpcwire.Handler[A, R] {
	return func(ctx context.Context, args *A, reply *R) error {
		a := r.active.Load()
		if a == nil {
			return fault.New(fault.NotFound, "relay", "this node is not a relay", "ask Control.Peers for the relays")
		}
		return h(a, ctx, args, reply)
	}
}

func (a *activeRelay) serveSync(ctx context.Context, args *syncer.SyncArgs, reply *syncer.SyncReply) error {
	if !a.recordPoll(args) {
		reply.Resend = true
		return nil
	}
	allow := a.newFullAllowance()
	if args.Confirm {
		// A starting node needs a full response. The platform is read only if the limit allows that response.
		if args.Config.Hash == "" && !allow() {
			return a.deferFull(args, reply)
		}
		reply.Confirmed = a.requestConfirm(ctx)
	}
	timer := time.NewTimer(syncer.PollHoldTime)
	defer timer.Stop()
	for {
		changed := a.changes.wait()
		if a.fillReply(args, reply, allow) || args.NoWait {
			return a.finishReply(args, reply)
		}
		select {
		case <-changed:
			if a.acceptor.State().Version <= args.Config.Version && !clock.Sleep(ctx, membershipBatchDelay) {
				return ctx.Err()
			}
		case <-timer.C:
			return a.finishReply(args, reply)
		case <-ctx.Done():
			return ctx.Err()
		}
		if a.active.Load() != a {
			return fault.New(fault.NotFound, "relay", "this node is no longer a relay", "poll another relay")
		}
	}
}

// newFullAllowance returns a function that reports whether one response may be a full one. It takes at most one token
// from the limit on full responses; that token covers both the whole configuration and all membership records of the
// response.
func (a *activeRelay) newFullAllowance() func() bool {
	granted := false
	return func() bool {
		granted = granted || a.fullLimiter.Allow()
		return granted
	}
}

func (a *activeRelay) deferFull(args *syncer.SyncArgs, reply *syncer.SyncReply) error {
	reply.RetryAfter = a.retryAfter()
	a.metrics.Counter("relay.full_put_off").Inc(1)
	return a.finishReply(args, reply)
}

// recordPoll records a poll and merges the membership records in it. It returns false if the relay does not know the
// node's own record and the node must send it.
func (a *activeRelay) recordPoll(args *syncer.SyncArgs) bool {
	now := a.clock.Now()
	a.mu.Lock()
	if args.Instance == nil {
		args.Instance = a.polls.lastRecord(args.Node)
	}
	if args.Instance == nil {
		a.mu.Unlock()
		return false
	}
	instance := *args.Instance
	changed := a.polls.recordPoll(now, instance, args.Config)
	a.contacts.recordContact(now, instance.AvailabilityZone)
	a.mu.Unlock()
	a.mergeOwnRecord(instance)
	a.table.Merge(args.Push...)
	a.scheduleCatchUp(args.Config, instance.ControlAddress, false)
	if changed {
		notify(a.statusTrigger)
	}
	return true
}

// mergeOwnRecord merges the record that a node sent about itself, unless that incarnation is recorded as departed.
// Other nodes may have acted on the departure, so the node must rejoin with a higher incarnation; the response tells it
// so.
func (a *activeRelay) mergeOwnRecord(i membership.Instance) bool {
	if _, departed := a.departedRecord(i); departed {
		return false
	}
	return a.table.Put(i)
}

// departedRecord returns the relay's record of an instance and reports whether the relay has its incarnation as
// departed although the node itself does not say so.
func (a *activeRelay) departedRecord(i membership.Instance) (membership.Instance, bool) {
	known, ok := a.table.Get(i.ID)
	return known, ok && known.State == membership.StateDeparted && known.Incarnation == i.Incarnation &&
		i.State != membership.StateDeparted
}

// fillReply fills the reply with what the node lacks and reports whether there is anything to send.
func (a *activeRelay) fillReply(args *syncer.SyncArgs, reply *syncer.SyncReply, allow func() bool) bool {
	var deferred bool
	reply.Update, deferred = a.updateFor(args.Config, args.NeedWhole, allow)
	if deferred || !a.fillRecords(args, reply, allow) {
		reply.RetryAfter = a.retryAfter()
		a.metrics.Counter("relay.full_put_off").Inc(1)
	}
	if departure, departed := a.departedRecord(*args.Instance); departed {
		reply.Records = append(reply.Records, membership.Record{Instance: departure, Gone: true})
	}
	relays := a.liveRelays()
	if syncer.RelaysDigest(relays) != args.Relays {
		reply.Relays, reply.RelaysSent = relays, true
	}
	return !reply.Update.Empty() || len(reply.Records) > 0 || reply.Complete || reply.RetryAfter > 0 || reply.RelaysSent
}

// fillRecords fills in the membership records. It returns false if a full response is needed but the limit rejects it.
func (a *activeRelay) fillRecords(args *syncer.SyncArgs, reply *syncer.SyncReply, allow func() bool) bool {
	subscribed := syncer.Subscription(a.acceptor.Current(), args.Instance.Service)
	keep := func(i membership.Instance) bool { return subscribed(i.Service) && i != *args.Instance }
	reply.Mark = a.table.Mark()
	if args.Mark.Epoch != reply.Mark.Epoch && a.table.Digest(subscribed) == args.Digest {
		// The node polled another relay before and is up to date, so it needs later changes only.
		args.Mark = reply.Mark
	}
	if args.Mark.Epoch == reply.Mark.Epoch {
		reply.Records, reply.Mark = a.table.ChangesSince(args.Mark, keep)
		reply.Records = append(reply.Records, a.serviceRecords(args.Fetch, subscribed)...)
		return true
	}
	if !allow() {
		return false
	}
	a.metrics.Counter("relay.full_sent").Inc(1)
	reply.Records, reply.Mark = a.table.All(func(i membership.Instance) bool { return subscribed(i.Service) })
	reply.Complete, reply.Authoritative = true, a.authoritative.Load()
	return true
}

func (a *activeRelay) serviceRecords(services []string, subscribed func(string) bool) []membership.Record {
	if len(services) == 0 {
		return nil
	}
	out, _ := a.table.All(func(i membership.Instance) bool {
		return subscribed(i.Service) && slices.Contains(services, i.Service)
	})
	return out
}

// retryAfter is the time in which the limit on full responses refills from empty; the node adds jitter to it.
func (a *activeRelay) retryAfter() time.Duration {
	return time.Duration(float64(time.Second) * float64(a.settings.FullResponseBurst) / a.settings.FullResponseRate)
}

func (a *activeRelay) finishReply(args *syncer.SyncArgs, reply *syncer.SyncReply) error {
	subscribed := syncer.Subscription(a.acceptor.Current(), args.Instance.Service)
	reply.Config, reply.Digest = a.configState(args.Config), a.table.Digest(subscribed)
	_, reply.Synchronised = a.table.CompleteSince()
	reply.Authoritative = a.authoritative.Load()
	reply.Unreachable = a.table.Unreachable()
	return nil
}

// configState returns the relay's configuration state for a reply. The hash is left out if the node or relay that sent
// the request has the same version and hash.
func (a *activeRelay) configState(requester syncer.ConfigState) syncer.ConfigState {
	s := a.acceptor.State()
	if s.Version == requester.Version && s.Hash == requester.Hash {
		s.Hash = ""
	}
	return s
}

func (a *activeRelay) liveRelays() []syncer.RelayInfo {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	a.directory.recordContact(now, a.selfInfo)
	return a.directory.live(now)
}

func (a *activeRelay) serveAnnounce(_ context.Context, args *syncer.AnnounceArgs, reply *syncer.AnnounceReply) error {
	now := a.clock.Now()
	a.mu.Lock()
	changed := a.polls.recordPoll(now, args.Instance, args.Config)
	a.mu.Unlock()
	if a.mergeOwnRecord(args.Instance) || changed {
		notify(a.statusTrigger)
	}
	reply.Instance, _ = a.table.Get(args.Instance.ID)
	reply.Config = a.acceptor.State()
	return nil
}
