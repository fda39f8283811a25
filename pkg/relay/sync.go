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

// batchTime is how long a relay gathers changes of the membership before it answers polls, so that a herd of
// announcements does not cause one answer to each node for each of them.
const batchTime = 100 * time.Millisecond

// Register adds the relay's methods. A node without the duty answers them with NotFound.
func (r *Relay) Register(server *rpcwire.Server) {
	rpcwire.Handle(server, syncer.MethodSync, withDuty(r, (*duty).serveSync))
	rpcwire.Handle(server, syncer.MethodAnnounce, withDuty(r, (*duty).serveAnnounce))
	rpcwire.Handle(server, syncer.MethodExchange, withDuty(r, (*duty).serveExchange))
}

func withDuty[A, R any](r *Relay, h func(*duty, context.Context, *A, *R) error) rpcwire.Handler[A, R] {
	return func(ctx context.Context, args *A, reply *R) error {
		d := r.duty.Load()
		if d == nil {
			return fault.New(fault.NotFound, "relay", "this node is not a relay", "ask Control.Peers for the relays")
		}
		return h(d, ctx, args, reply)
	}
}

func (d *duty) serveSync(ctx context.Context, args *syncer.SyncArgs, reply *syncer.SyncReply) error {
	if !d.polled(args) {
		reply.Resend = true
		return nil
	}
	allow := d.once()
	if args.Confirm {
		// A node that starts needs a complete answer; the platform is read only if it gets one.
		if args.Config.Hash == "" && !allow() {
			return d.putOff(args, reply)
		}
		reply.Confirmed = d.confirm(ctx)
	}
	timer := time.NewTimer(syncer.PollTime)
	defer timer.Stop()
	for {
		changed := d.changes.wait()
		if d.answer(args, reply, allow) || args.NoWait {
			return d.finish(args, reply)
		}
		select {
		case <-changed:
			if d.acceptor.State().Version <= args.Config.Version && !clock.Sleep(ctx, batchTime) {
				return ctx.Err()
			}
		case <-timer.C:
			return d.finish(args, reply)
		case <-ctx.Done():
			return ctx.Err()
		}
		if d.duty.Load() != d {
			return fault.New(fault.NotFound, "relay", "this node has given up the relay duty", "poll another relay")
		}
	}
}

// once returns a function that takes a token for complete answers at its first call. One token covers the whole
// configuration and all records of one answer.
func (d *duty) once() func() bool {
	granted := false
	return func() bool {
		granted = granted || d.full.Allow()
		return granted
	}
}

func (d *duty) putOff(args *syncer.SyncArgs, reply *syncer.SyncReply) error {
	reply.RetryAfter = d.retryAfter()
	d.metrics.Counter("relay.full_put_off").Inc(1)
	return d.finish(args, reply)
}

// polled notes the poll and takes the node's record; false means that the node must send its record.
func (d *duty) polled(args *syncer.SyncArgs) bool {
	now := d.clock.Now()
	d.mu.Lock()
	if args.Instance == nil {
		args.Instance = d.polls.record(args.Node)
	}
	if args.Instance == nil {
		d.mu.Unlock()
		return false
	}
	i := *args.Instance
	changed := d.polls.polled(now, i, args.Config)
	d.reach.seen(now, i.AvailabilityZone)
	d.mu.Unlock()
	d.takeOwn(i)
	d.table.Merge(args.Push...)
	d.newer(args.Config, i.ControlAddress, false)
	if changed {
		poke(d.statusNow)
	}
	return true
}

// takeOwn takes a node's own record, unless its incarnation is recorded as departed: other nodes may have acted on
// the departure, so the node must come back with a higher incarnation. It learns of it from the answer.
func (d *duty) takeOwn(i membership.Instance) bool {
	if _, departed := d.departedSelf(i); departed {
		return false
	}
	return d.table.Put(i)
}

// departedSelf returns the departed record of a node that is not leaving by itself.
func (d *duty) departedSelf(i membership.Instance) (membership.Instance, bool) {
	known, ok := d.table.Get(i.ID)
	return known, ok && known.State == membership.StateDeparted && known.Incarnation == i.Incarnation && i.State != membership.StateDeparted
}

// answer fills in what the node lacks and reports whether there is anything.
func (d *duty) answer(args *syncer.SyncArgs, reply *syncer.SyncReply, allow func() bool) bool {
	var putOff bool
	reply.Update, putOff = d.update(args.Config, args.NeedWhole, allow)
	if putOff || !d.records(args, reply, allow) {
		reply.RetryAfter = d.retryAfter()
		d.metrics.Counter("relay.full_put_off").Inc(1)
	}
	if own, departed := d.departedSelf(*args.Instance); departed {
		reply.Records = append(reply.Records, membership.Record{Instance: own, Gone: true})
	}
	relays := d.relays()
	if syncer.RelaysDigest(relays) != args.Relays {
		reply.Relays, reply.RelaysSent = relays, true
	}
	return !reply.Update.Empty() || len(reply.Records) > 0 || reply.Complete || reply.RetryAfter > 0 || reply.RelaysSent
}

// records fills in the membership; false means that a complete answer is put off.
func (d *duty) records(args *syncer.SyncArgs, reply *syncer.SyncReply, allow func() bool) bool {
	wants := syncer.Subscription(d.acceptor.Current(), args.Instance.Service)
	keep := func(i membership.Instance) bool { return wants(i.Service) && i != *args.Instance }
	reply.Mark = d.table.Mark()
	if args.Mark.Epoch != reply.Mark.Epoch && d.table.Digest(wants) == args.Digest {
		// The node comes from another relay and lacks nothing: only later changes are sent.
		args.Mark = reply.Mark
	}
	if args.Mark.Epoch == reply.Mark.Epoch {
		reply.Records, reply.Mark = d.table.ChangesSince(args.Mark, keep)
		reply.Records = append(reply.Records, d.fetch(args.Fetch, wants)...)
		return true
	}
	if !allow() {
		return false
	}
	d.metrics.Counter("relay.full_sent").Inc(1)
	reply.Records, reply.Mark = d.table.All(func(i membership.Instance) bool { return wants(i.Service) })
	reply.Complete, reply.Authoritative = true, d.authoritative.Load()
	return true
}

func (d *duty) fetch(services []string, wants func(string) bool) []membership.Record {
	if len(services) == 0 {
		return nil
	}
	out, _ := d.table.All(func(i membership.Instance) bool { return wants(i.Service) && slices.Contains(services, i.Service) })
	return out
}

// retryAfter is the time after which the limit on complete answers allows one more; the node adds jitter.
func (d *duty) retryAfter() time.Duration {
	return time.Duration(float64(time.Second) * float64(d.settings.FullBurst) / d.settings.FullRate)
}

func (d *duty) finish(args *syncer.SyncArgs, reply *syncer.SyncReply) error {
	wants := syncer.Subscription(d.acceptor.Current(), args.Instance.Service)
	reply.Config, reply.Digest = d.state(args.Config), d.table.Digest(wants)
	_, reply.Synchronised = d.table.Synchronised()
	reply.Authoritative = d.authoritative.Load()
	reply.Unreachable = d.table.Unreachable()
	return nil
}

// state returns what an answer says about the relay's configuration.
func (d *duty) state(asker syncer.ConfigState) syncer.ConfigState {
	s := d.acceptor.State()
	if s.Version == asker.Version && s.Hash == asker.Hash {
		s.Hash = ""
	}
	return s
}

func (d *duty) relays() []syncer.RelayInfo {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	d.directory.contact(now, d.info)
	return d.directory.alive(now)
}

func (d *duty) serveAnnounce(_ context.Context, args *syncer.AnnounceArgs, reply *syncer.AnnounceReply) error {
	now := d.clock.Now()
	d.mu.Lock()
	changed := d.polls.polled(now, args.Instance, args.Config)
	d.mu.Unlock()
	if d.takeOwn(args.Instance) || changed {
		poke(d.statusNow)
	}
	reply.Instance, _ = d.table.Get(args.Instance.ID)
	reply.Config = d.acceptor.State()
	return nil
}
