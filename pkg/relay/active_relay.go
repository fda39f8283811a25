package relay

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"github.com/monsoonlatch/monsoonlatch/pkg/clock"
	"github.com/monsoonlatch/monsoonlatch/pkg/config"
	"github.com/monsoonlatch/monsoonlatch/pkg/event"
	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
	"github.com/monsoonlatch/monsoonlatch/pkg/syncer"
)

// activeRelay is the state of a node while it is a relay, from acquiring the lease to giving it up.
type activeRelay struct {
	*Relay
	selfInfo    syncer.RelayInfo
	started     time.Time
	acceptor    *syncer.Acceptor
	table       *membership.Table
	changes     *broadcast
	fullLimiter *rate.Limiter

	// initialSyncDone is set when this relay has completed its initial synchronisation: a relay that had completed its
	// own has answered an exchange, or none has within the time limit. authoritative is set when an instance that is not
	// in the table has certainly departed.
	initialSyncDone atomic.Bool
	authoritative   atomic.Bool

	// confirmRequests queues requests to read the head. When it is full, the node that asks is told that the head was not
	// read, and asks others.
	confirmRequests chan chan bool
	// catchUpSource queues at most one node or relay that has a newer configuration. When it is full, a catch-up is due
	// anyway.
	catchUpSource chan configSource
	// exchangeTrigger signals that there are changes to push. It holds one value: when it is full, a round is due anyway.
	exchangeTrigger chan struct{}
	// statusTrigger signals that the status has changed. It holds one value: when it is full, a write is due anyway.
	statusTrigger chan struct{}

	acceptMu sync.Mutex // serialises acceptUpdate
	deltas   deltaChain // guarded by mu

	mu                 sync.Mutex
	directory          relayDirectory
	contacts           zoneContacts
	polls              *pollTracker
	exchanges          map[string]*zoneExchange
	lastSiblingContact time.Time // the sibling is the other relay of the own zone
}

// startGracePeriod is how long a new relay counts no missed polls. Nodes may be polling relays of other zones, and
// these learn of the new relay within the longest interval between two reads of the lease objects.
const startGracePeriod = leaseListPeriod * 3 / 2

func newActiveRelay(r *Relay, slot uint8) *activeRelay {
	now, self := r.clock.Now(), r.self()
	a := &activeRelay{
		Relay: r, started: now,
		selfInfo: syncer.RelayInfo{
			Zone: self.AvailabilityZone, Slot: slot, Node: self.ID, Address: self.ControlAddress,
		},
		acceptor:        syncer.NewAcceptor(),
		table:           membership.NewTable(r.clock, rand.Uint64(), syncer.TombstoneRetention(nil)),
		changes:         newBroadcast(),
		fullLimiter:     rate.NewLimiter(rate.Limit(r.settings.FullResponseRate), r.settings.FullResponseBurst),
		confirmRequests: make(chan chan bool, 256), catchUpSource: make(chan configSource, 1),
		exchangeTrigger: make(chan struct{}, 1), statusTrigger: make(chan struct{}, 1),
		directory: make(relayDirectory), contacts: newZoneContacts(self.AvailabilityZone),
		polls: newPollTracker(now.Add(startGracePeriod)), exchanges: make(map[string]*zoneExchange),
	}
	for _, other := range r.node.Relays() {
		if other.Zone != a.selfInfo.Zone || other.Slot != slot {
			a.directory.recordContact(now, other)
		}
	}
	a.directory.recordContact(now, a.selfInfo)
	r.node.AddRelays([]syncer.RelayInfo{a.selfInfo})
	a.loadFromNode()
	return a
}

// loadFromNode copies the membership and the configuration of the own node; the first exchange adds the rest.
func (a *activeRelay) loadFromNode() {
	records, _ := a.node.Table().All(func(membership.Instance) bool { return true })
	a.table.Merge(records...)
	if c := a.node.Current(); c != nil {
		a.acceptUpdate(syncer.ConfigUpdate{
			Whole: &syncer.WholeConfig{Version: c.Version, Hash: c.Hash, Configuration: c.Configuration},
		}, "own node")
	}
}

func (a *activeRelay) run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, f := range []func(context.Context){
		a.watchLoop, a.confirmLoop, a.catchUpLoop, a.exchangeLoop, a.leaseListLoop, a.statusLoop, a.membershipLoop,
		a.changeLoop,
	} {
		wg.Go(func() { f(ctx) })
	}
	wg.Wait()
}

// changeLoop wakes waiting polls and triggers an exchange after membership changes.
func (a *activeRelay) changeLoop(ctx context.Context) {
	changed := a.table.Subscribe()
	for {
		select {
		case <-ctx.Done():
			return
		case <-changed:
			a.changes.fire()
			notify(a.exchangeTrigger)
		}
	}
}

// notify sends a signal to a channel of capacity one. It does not block: a signal that is already pending is enough.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// acceptUpdate applies a configuration update. If it is accepted, acceptUpdate extends the delta chain and wakes
// waiting polls.
func (a *activeRelay) acceptUpdate(update syncer.ConfigUpdate, from string) syncer.Verdict {
	a.acceptMu.Lock()
	defer a.acceptMu.Unlock()
	before := a.acceptor.Current()
	verdict, err := a.acceptor.Update(update)
	syncer.LogVerdict(&a.log, a.metrics, verdict, err, from, a.acceptor.State())
	if verdict != syncer.Accepted {
		return verdict
	}
	after := a.acceptor.Current()
	a.table.SetRetention(syncer.TombstoneRetention(after))
	if before != nil {
		delta := config.NewDelta(before.Version, before.Configuration, after.Version, after.Hash, after.Configuration)
		a.mu.Lock()
		a.deltas = a.deltas.add(delta, before.Hash)
		a.mu.Unlock()
	}
	a.changes.fire()
	return verdict
}

// updateFor returns the update that takes a node or relay from the given state to this relay's configuration. It calls
// allowWhole only if deltas cannot do that; deferred states that allowWhole did not allow the whole configuration.
func (a *activeRelay) updateFor(have syncer.ConfigState, needWhole bool, allowWhole func() bool) (
	update syncer.ConfigUpdate, deferred bool) {
	current := a.acceptor.Current()
	if current == nil || have.Refused >= current.Version && have.Refused > 0 ||
		have.Hash != "" && have.Version >= current.Version {
		return update, false
	}
	if !needWhole && have.Hash != "" {
		a.mu.Lock()
		deltas, ok := a.deltas.from(have.Version, string(have.Hash))
		a.mu.Unlock()
		if ok {
			return syncer.ConfigUpdate{Deltas: deltas}, false
		}
	}
	if !allowWhole() {
		return update, true
	}
	a.metrics.Counter("relay.whole_sent").Inc(1)
	return syncer.ConfigUpdate{
		Whole: &syncer.WholeConfig{Version: current.Version, Hash: current.Hash, Configuration: current.Configuration},
	}, false
}

// configSource is a node or relay that has a newer configuration.
type configSource struct {
	address string
	isRelay bool
	version config.Version
}

// scheduleCatchUp schedules a catch-up if the sender of a message has a higher configuration version. In this way a
// zone that is cut off from the platform, or a relay that has just started, gets the latest version from another node
// or relay.
func (a *activeRelay) scheduleCatchUp(state syncer.ConfigState, addr string, isRelay bool) {
	if addr == "" || state.Version <= a.acceptor.State().Version {
		return
	}
	select {
	case a.catchUpSource <- configSource{addr, isRelay, state.Version}:
	default:
	}
}

// catchUpDelay is how long a catch-up waits for the relay's own watch to deliver the version, which takes milliseconds
// unless the zone is cut off from the platform.
const catchUpDelay = time.Second

func (a *activeRelay) catchUpLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case from := <-a.catchUpSource:
			if clock.Sleep(ctx, catchUpDelay) && from.version > a.acceptor.State().Version {
				a.catchUp(ctx, from)
			}
		}
	}
}

// catchUp fetches the newer configuration: deltas or the whole from a relay, the whole from a node.
func (a *activeRelay) catchUp(ctx context.Context, from configSource) {
	a.metrics.Counter("relay.catch_ups").Inc(1)
	var update syncer.ConfigUpdate
	var err error
	if from.isRelay {
		args, reply := &syncer.ExchangeArgs{
			From: a.selfInfo, Config: a.acceptor.State(), Digest: a.table.Digest(allServices),
		}, syncer.ExchangeReply{}
		err = a.call(ctx, from.address, syncer.MethodExchange, args, &reply)
		update = reply.Update
	} else {
		var reply syncer.ConfigReply
		err = a.call(ctx, from.address, syncer.MethodConfig, &syncer.ConfigArgs{Config: a.acceptor.State()}, &reply)
		update = reply.Update
	}
	if err == nil && !update.Empty() {
		a.acceptUpdate(update, from.address)
	}
}

// callTimeout is the timeout of a call to another relay or node.
const callTimeout = 2 * time.Second

func (a *activeRelay) call(ctx context.Context, addr, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return a.caller.Call(ctx, addr, method, args, reply)
}

const (
	membershipCheckPeriod = time.Second
	// pauseThreshold is the longest time between two membership checks that still counts as normal. After a longer one,
	// polls may be missing because this relay itself was paused.
	pauseThreshold = 3 * time.Second
)

// membershipLoop checks the membership periodically and detects pauses of this relay.
func (a *activeRelay) membershipLoop(ctx context.Context) {
	before := a.clock.Now()
	for clock.Sleep(ctx, membershipCheckPeriod) {
		now := a.clock.Now()
		a.checkMembership(now, now.Sub(before))
		before = now
	}
}

// checkMembership drops expired records, records the departure of nodes that have missed their polls, and updates
// whether the membership is complete and which zones are unreachable.
func (a *activeRelay) checkMembership(now time.Time, elapsed time.Duration) {
	a.table.Expire()
	if age := now.Sub(a.started); age > syncer.TombstoneRetention(a.acceptor.Current()) {
		a.authoritative.Store(true)
	}
	members, _ := a.table.All(func(i membership.Instance) bool { return i.AvailabilityZone == a.selfInfo.Zone })
	members = slices.DeleteFunc(members, func(r membership.Record) bool { return r.Gone })
	a.mu.Lock()
	if elapsed > pauseThreshold {
		a.polls.countFrom = now
		logWith(&a.log, event.RelayPaused, func(e *zerolog.Event) { e.Dur("elapsed", elapsed) })
	}
	a.polls.forget(now, config.DefaultIdempotencyWindow)
	known := a.knownZones()
	unreachable := a.contacts.unreachable(now, known)
	complete := a.initialSyncDone.Load() && a.contacts.majorityInContact(now, known)
	overdue := a.polls.overdue(now, members, a.knowsAllPolls(now, complete))
	a.mu.Unlock()
	a.table.SetComplete(complete)
	for _, i := range overdue {
		a.recordDeparture(i)
	}
	a.setUnreachable(unreachable)
}

// knowsAllPolls reports whether a node that has not polled this relay cannot have polled another relay of the zone
// either. That holds if the sibling, the other relay of the zone, has reported its polls recently, or if there is no
// sibling and this relay has not been isolated: the nodes of an isolated relay may poll a successor that it does not
// know. The caller must hold mu.
func (a *activeRelay) knowsAllPolls(now time.Time, complete bool) bool {
	for _, r := range a.directory.live(now) {
		if r.Zone == a.selfInfo.Zone && r.Address != a.selfInfo.Address {
			return now.Sub(a.lastSiblingContact) < 2*siblingInterval
		}
	}
	return complete || now.Sub(time.Unix(0, a.leaseRenewedAt.Load())) <= a.settings.LeaseDuration
}

// knownZones returns the availability zones that have records in the membership table.
func (a *activeRelay) knownZones() []string {
	var out []string
	for z := range a.table.ZoneDigests() {
		out = append(out, z)
	}
	return out
}

// recordDeparture records that an instance has departed.
func (a *activeRelay) recordDeparture(i membership.Instance) {
	i.State, i.HandedOver = membership.StateDeparted, false
	if a.table.Put(i) {
		a.metrics.Counter("relay.departures").Inc(1)
		logWith(&a.log, event.RelayDeparture, func(e *zerolog.Event) {
			e.Str("instance", string(i.ID)).Str("service", i.Service).Uint64("incarnation", i.Incarnation)
		})
		notify(a.statusTrigger)
	}
}

func (a *activeRelay) setUnreachable(zones []string) {
	before := a.table.Unreachable()
	a.table.SetUnreachable(zones)
	for _, z := range zones {
		if !slices.Contains(before, z) {
			logWith(&a.log, event.ZoneUnreachable, func(e *zerolog.Event) { e.Str("zone", z) })
		}
	}
	for _, z := range before {
		if !slices.Contains(zones, z) {
			logWith(&a.log, event.ZoneReachable, func(e *zerolog.Event) { e.Str("zone", z) })
		}
	}
}
