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

// duty is the work of one relay from taking the lease to giving it up.
type duty struct {
	*Relay
	info     syncer.RelayInfo
	started  time.Time
	acceptor *syncer.Acceptor
	table    *membership.Table
	changes  *broadcast
	full     *rate.Limiter

	// synchronised: the duty has exchanged with the relays that it can reach. authoritative: what its table lacks has
	// departed.
	synchronised  atomic.Bool
	authoritative atomic.Bool

	// confirms holds nodes that wait for a read of the head. When it is full, a node is told that the head was not
	// read and asks others.
	confirms chan chan bool
	// behind holds one node or relay with a newer configuration. When it is full, a catch-up is under way.
	behind chan source
	// exchangeNow holds one value: there are changes to push. When it is full, a round is due anyway.
	exchangeNow chan struct{}
	// statusNow holds one value: the status has changed. When it is full, a write is due anyway.
	statusNow chan struct{}

	acceptMu sync.Mutex
	chain    chain // guarded by mu

	mu        sync.Mutex
	directory directory
	reach     reach
	polls     *polls
	targets   map[string]*target
	siblingAt time.Time
}

// takeUpGrace is how long after its start a relay counts no missed polls: relays of other zones, which the nodes may
// poll, learn of it within the longest time between two reads of the lease objects.
const takeUpGrace = listPeriod * 3 / 2

func newDuty(r *Relay, slot uint8) *duty {
	now, me := r.clock.Now(), r.self()
	d := &duty{
		Relay: r, started: now,
		info:     syncer.RelayInfo{Zone: me.AvailabilityZone, Slot: slot, Node: me.ID, Address: me.ControlAddress},
		acceptor: syncer.NewAcceptor(),
		table:    membership.NewTable(r.clock, rand.Uint64(), syncer.Window(nil)),
		changes:  newBroadcast(), full: rate.NewLimiter(rate.Limit(r.settings.FullRate), r.settings.FullBurst),
		confirms: make(chan chan bool, 256), behind: make(chan source, 1),
		exchangeNow: make(chan struct{}, 1), statusNow: make(chan struct{}, 1),
		directory: make(directory), reach: newReach(me.AvailabilityZone),
		polls: newPolls(now.Add(takeUpGrace)), targets: make(map[string]*target),
	}
	for _, other := range r.node.Relays() {
		if other.Zone != d.info.Zone || other.Slot != slot {
			d.directory.contact(now, other)
		}
	}
	d.directory.contact(now, d.info)
	r.node.AddRelays([]syncer.RelayInfo{d.info})
	d.seed()
	return d
}

// seed begins with what the node itself has; the first exchange completes it.
func (d *duty) seed() {
	records, _ := d.node.Table().All(func(membership.Instance) bool { return true })
	d.table.Merge(records...)
	if c := d.node.Current(); c != nil {
		d.accept(syncer.ConfigUpdate{Whole: &syncer.WholeConfig{Version: c.Version, Hash: c.Hash, Configuration: c.Configuration}}, "own node")
	}
}

func (d *duty) run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, f := range []func(context.Context){
		d.watchLoop, d.confirmLoop, d.catchUpLoop, d.exchangeLoop, d.listLoop, d.statusLoop, d.judgeLoop, d.changeLoop,
	} {
		wg.Go(func() { f(ctx) })
	}
	wg.Wait()
}

// changeLoop wakes polls and exchanges after changes of the membership.
func (d *duty) changeLoop(ctx context.Context) {
	changed := d.table.Subscribe()
	for {
		select {
		case <-ctx.Done():
			return
		case <-changed:
			d.changes.fire()
			poke(d.exchangeNow)
		}
	}
}

// poke puts a value into a channel that holds one.
func poke(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// accept offers an update, extends the chain of deltas and wakes the polls.
func (d *duty) accept(u syncer.ConfigUpdate, from string) syncer.Verdict {
	d.acceptMu.Lock()
	defer d.acceptMu.Unlock()
	before := d.acceptor.Current()
	v, err := d.acceptor.Update(u)
	syncer.LogVerdict(&d.log, d.metrics, v, err, from, d.acceptor.State())
	if v != syncer.Accepted {
		return v
	}
	after := d.acceptor.Current()
	d.table.SetRetention(syncer.Window(after))
	if before != nil {
		delta := config.NewDelta(before.Version, before.Configuration, after.Version, after.Hash, after.Configuration)
		d.mu.Lock()
		d.chain = d.chain.add(delta, before.Hash)
		d.mu.Unlock()
	}
	d.changes.fire()
	return v
}

// update returns what brings a node or relay from the given state to this relay's configuration. allowWhole is asked
// only if deltas do not.
func (d *duty) update(have syncer.ConfigState, needWhole bool, allowWhole func() bool) (u syncer.ConfigUpdate, putOff bool) {
	cur := d.acceptor.Current()
	if cur == nil || have.Refused >= cur.Version && have.Refused > 0 || have.Hash != "" && have.Version >= cur.Version {
		return u, false
	}
	if !needWhole && have.Hash != "" {
		d.mu.Lock()
		deltas, ok := d.chain.from(have.Version, string(have.Hash))
		d.mu.Unlock()
		if ok {
			return syncer.ConfigUpdate{Deltas: deltas}, false
		}
	}
	if !allowWhole() {
		return u, true
	}
	d.metrics.Counter("relay.whole_sent").Inc(1)
	return syncer.ConfigUpdate{Whole: &syncer.WholeConfig{Version: cur.Version, Hash: cur.Hash, Configuration: cur.Configuration}}, false
}

// source is a node, or a relay, that has a newer configuration.
type source struct {
	address string
	relay   bool
	version config.Version
}

// newer asks the sender of a higher version for its configuration: a zone that is cut off from the platform, or a
// relay that has just started, takes the newest version from where it is.
func (d *duty) newer(c syncer.ConfigState, addr string, relay bool) {
	if addr == "" || c.Version <= d.acceptor.State().Version {
		return
	}
	select {
	case d.behind <- source{addr, relay, c.Version}:
	default:
	}
}

// catchUpPause is the time that the relay's own watch has to bring the version first, which it does in milliseconds
// unless the zone is cut off from the platform.
const catchUpPause = time.Second

func (d *duty) catchUpLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case from := <-d.behind:
			if clock.Sleep(ctx, catchUpPause) && from.version > d.acceptor.State().Version {
				d.catchUp(ctx, from)
			}
		}
	}
}

// catchUp takes deltas from a relay, or the whole configuration from a node.
func (d *duty) catchUp(ctx context.Context, from source) {
	d.metrics.Counter("relay.catch_ups").Inc(1)
	var update syncer.ConfigUpdate
	var err error
	if from.relay {
		args, reply := &syncer.ExchangeArgs{From: d.info, Config: d.acceptor.State(), Digest: d.table.Digest(everything)}, syncer.ExchangeReply{}
		err = d.call(ctx, from.address, syncer.MethodExchange, args, &reply)
		update = reply.Update
	} else {
		var reply syncer.ConfigReply
		err = d.call(ctx, from.address, syncer.MethodConfig, &syncer.ConfigArgs{Config: d.acceptor.State()}, &reply)
		update = reply.Update
	}
	if err == nil && !update.Empty() {
		d.accept(update, from.address)
	}
}

// callTimeout bounds a call to another relay or node.
const callTimeout = 2 * time.Second

func (d *duty) call(ctx context.Context, addr, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return d.caller.Call(ctx, addr, method, args, reply)
}

const (
	judgePeriod = time.Second
	// pauseLimit is the longest delay of judgePeriod that still counts as running. After a longer one, polls may have
	// been missed because this relay was paused.
	pauseLimit = 3 * time.Second
)

// judgeLoop records departures, and takes note of pauses of this relay.
func (d *duty) judgeLoop(ctx context.Context) {
	before := d.clock.Now()
	for clock.Sleep(ctx, judgePeriod) {
		now := d.clock.Now()
		d.judge(now, now.Sub(before))
		before = now
	}
}

func (d *duty) judge(now time.Time, elapsed time.Duration) {
	d.table.Expire()
	if age := now.Sub(d.started); age > syncer.Window(d.acceptor.Current()) {
		d.authoritative.Store(true)
	}
	members, _ := d.table.All(func(i membership.Instance) bool { return i.AvailabilityZone == d.info.Zone })
	members = slices.DeleteFunc(members, func(r membership.Record) bool { return r.Gone })
	d.mu.Lock()
	if elapsed > pauseLimit {
		d.polls.floor = now
		logWith(&d.log, event.RelayPaused, func(e *zerolog.Event) { e.Dur("elapsed", elapsed) })
	}
	d.polls.forget(now, config.DefaultIdempotencyWindow)
	named := d.zones()
	zones := d.reach.unreachable(now, named)
	complete := d.synchronised.Load() && d.reach.most(now, named)
	overdue := d.polls.overdue(now, members, d.mayJudge(now, complete))
	d.mu.Unlock()
	d.table.SetSynchronised(complete)
	for _, i := range overdue {
		d.depart(i)
	}
	d.setUnreachable(zones)
}

// mayJudge reports whether a node that has not polled here has not polled elsewhere either: the polls at the other
// relay of the zone are known, or there is no other and this relay has not been cut off. A relay that was cut off does
// not know its successor, which its nodes poll. The lock is held.
func (d *duty) mayJudge(now time.Time, complete bool) bool {
	for _, r := range d.directory.alive(now) {
		if r.Zone == d.info.Zone && r.Address != d.info.Address {
			return now.Sub(d.siblingAt) < 2*siblingPeriod
		}
	}
	return complete || now.Sub(time.Unix(0, d.renewed.Load())) <= d.settings.LeaseDuration
}

func (d *duty) zones() []string {
	var out []string
	for z := range d.table.ZoneDigests() {
		out = append(out, z)
	}
	return out
}

func (d *duty) depart(i membership.Instance) {
	i.State, i.HandedOver = membership.StateDeparted, false
	if d.table.Put(i) {
		d.metrics.Counter("relay.departures").Inc(1)
		logWith(&d.log, event.RelayDeparture, func(e *zerolog.Event) {
			e.Str("instance", string(i.ID)).Str("service", i.Service).Uint64("incarnation", i.Incarnation)
		})
		poke(d.statusNow)
	}
}

func (d *duty) setUnreachable(zones []string) {
	before := d.table.Unreachable()
	d.table.SetUnreachable(zones)
	for _, z := range zones {
		if !slices.Contains(before, z) {
			logWith(&d.log, event.ZoneUnreachable, func(e *zerolog.Event) { e.Str("zone", z) })
		}
	}
	for _, z := range before {
		if !slices.Contains(zones, z) {
			logWith(&d.log, event.ZoneReachable, func(e *zerolog.Event) { e.Str("zone", z) })
		}
	}
}
