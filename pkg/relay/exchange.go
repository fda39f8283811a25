package relay

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/monsoonlatch/monsoonlatch/pkg/clock"
	"github.com/monsoonlatch/monsoonlatch/pkg/config"
	"github.com/monsoonlatch/monsoonlatch/pkg/event"
	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
	"github.com/monsoonlatch/monsoonlatch/pkg/syncer"
)

const (
	// exchangePause is the shortest time between two rounds.
	exchangePause = time.Second
	// digestPeriod is the longest time between two exchanges with a zone.
	digestPeriod = 5 * time.Second
	// siblingPeriod is the longest time between two exchanges with the other relay of the zone. Each tells the other
	// which nodes poll it; a poll is thus at most PollTime + siblingPeriod old, which is less than MissedPolls.
	siblingPeriod = 3 * time.Second
	// retryCap bounds the time between tries of a zone that does not answer.
	retryCap = 8 * time.Second
)

// target is the state of the exchange with one zone, or with the other relay of the own zone.
type target struct {
	address string
	// failed is the relay that did not answer last; the other one of its zone is tried instead.
	failed string
	// busy is set while an exchange is under way, so that a silent zone does not hold up the others.
	busy     bool
	failures int
	retryAt  time.Time
	mark     membership.Mark
	at       time.Time
	// version is the configuration that the zone's relay had at the last exchange.
	version config.Version
	// differs holds the digests of zones that differed at the last exchange. Records are exchanged only when the same
	// two digests differ twice, because a change may have been under way.
	differs map[string][2]uint64
}

func (d *duty) exchangeLoop(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.exchangeNow:
		case <-timer.C:
		}
		d.round(ctx, &wg)
		if !clock.Sleep(ctx, exchangePause) {
			return
		}
		timer.Reset(exchangePause)
	}
}

// round exchanges with one relay of each other zone and with the other relay of the own zone, where it is due.
func (d *duty) round(ctx context.Context, wg *sync.WaitGroup) {
	now := d.clock.Now()
	targets, waiting := d.choose(now)
	for _, r := range targets {
		wg.Go(func() {
			defer d.done(r.Zone)
			d.exchange(ctx, r)
		})
	}
	// Without an answer for a while there is nobody to synchronise with: a mesh that starts, or a zone cut off.
	age := now.Sub(d.started)
	if !waiting && age > d.settings.ColdSettle || age > 3*d.settings.ColdSettle {
		d.synchronised.Store(true)
	}
}

func (d *duty) done(zone string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.target(zone).busy = false
}

// choose returns the relays to exchange with now, and whether any exchange is under way.
func (d *duty) choose(now time.Time) (out []syncer.RelayInfo, waiting bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	byZone := make(map[string][]syncer.RelayInfo)
	for _, r := range d.directory.alive(now) {
		if r.Address != d.info.Address {
			byZone[r.Zone] = append(byZone[r.Zone], r)
		}
	}
	for zone, relays := range byZone {
		t := d.target(zone)
		if !t.busy && !now.Before(t.retryAt) && d.due(now, zone, t) {
			out = append(out, pick(relays, t, d.info.Slot))
			t.busy = true
		}
		waiting = waiting || t.busy
	}
	return out, waiting
}

func (d *duty) target(zone string) *target {
	t, ok := d.targets[zone]
	if !ok {
		t = &target{differs: make(map[string][2]uint64)}
		d.targets[zone] = t
	}
	return t
}

// pick returns the relay used before, or the one with this relay's slot, so that relays pair up evenly. A relay that
// failed is picked only if there is no other.
func pick(relays []syncer.RelayInfo, t *target, slot uint8) syncer.RelayInfo {
	slices.SortStableFunc(relays, func(a, b syncer.RelayInfo) int {
		return cmp.Or(order(a.Address != t.failed, b.Address != t.failed), order(a.Address == t.address, b.Address == t.address),
			order(a.Slot == slot, b.Slot == slot))
	})
	return relays[0]
}

// order sorts true before false.
func order(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

// due reports whether the zone needs an exchange: records to push, nodes of the zone that poll here, a configuration
// that the zone may lack because it is cut off from the platform, or time.
func (d *duty) due(now time.Time, zone string, t *target) bool {
	period := digestPeriod
	if zone == d.info.Zone {
		period = siblingPeriod
	} else if len(d.polls.ages(now, inZone(zone))) > 0 {
		period = exchangePause
	}
	if now.Sub(t.at) >= period || d.acceptor.State().Version > t.version {
		return true
	}
	records, _ := d.table.ChangesSince(t.mark, d.pushed(zone))
	return len(records) > 0
}

// pushed selects the records that a zone gets from this relay: those of this zone, and all for the own zone.
func (d *duty) pushed(zone string) func(membership.Instance) bool {
	if zone == d.info.Zone {
		return func(membership.Instance) bool { return true }
	}
	return inZone(d.info.Zone)
}

func inZone(zone string) func(membership.Instance) bool {
	return func(i membership.Instance) bool { return i.AvailabilityZone == zone }
}

// exchange is one exchange, with a second call if records must be repaired.
func (d *duty) exchange(ctx context.Context, r syncer.RelayInfo) {
	args, mark := d.exchangeArgs(r)
	var reply syncer.ExchangeReply
	if err := d.call(ctx, r.Address, syncer.MethodExchange, args, &reply); err != nil {
		d.exchangeFailed(ctx, r, err)
		return
	}
	d.takeExchange(r, &reply)
	d.mu.Lock()
	t := d.target(r.Zone)
	t.address, t.failed, t.failures, t.mark, t.at = r.Address, "", 0, mark, d.clock.Now()
	t.version = max(reply.Config.Version, args.Config.Version)
	zones := t.repair(d.table.ZoneDigests(), reply.ZoneDigests)
	d.mu.Unlock()
	if len(zones) > 0 {
		d.repair(ctx, r, zones)
	}
}

func (d *duty) exchangeArgs(r syncer.RelayInfo) (*syncer.ExchangeArgs, membership.Mark) {
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	args := &syncer.ExchangeArgs{From: d.info, Config: d.acceptor.State(), All: !d.synchronised.Load(), Polls: d.polls.ages(now, inZone(r.Zone))}
	t := d.target(r.Zone)
	selects := d.pushed(r.Zone)
	if t.mark == (membership.Mark{}) {
		// The first exchange carries what only this zone knows; other zones send the rest themselves.
		selects = inZone(d.info.Zone)
	}
	var mark membership.Mark
	args.Records, mark = d.table.ChangesSince(t.mark, selects)
	args.Digest = d.table.Digest(everything)
	args.Relays = syncer.RelaysDigest(d.known(r.Zone, now))
	return args, mark
}

func everything(string) bool { return true }

func (d *duty) exchangeFailed(ctx context.Context, r syncer.RelayInfo, err error) {
	if ctx.Err() != nil {
		return
	}
	d.metrics.Counter("relay.exchange_failed").Inc(1)
	d.mu.Lock()
	defer d.mu.Unlock()
	t := d.target(r.Zone)
	t.address, t.failed = "", r.Address
	t.failures++
	t.retryAt = d.clock.Now().Add(d.settings.Jitter(min(exchangePause<<min(t.failures, 10), retryCap)))
	if t.failures == 1 {
		logWith(&d.log, event.RelayExchangeFailed, func(e *zerolog.Event) { e.Err(err).Str("zone", r.Zone).Uint8("slot", r.Slot) })
	}
}

// takeExchange applies what another relay has sent.
func (d *duty) takeExchange(r syncer.RelayInfo, reply *syncer.ExchangeReply) {
	d.table.Merge(reply.Records...)
	if !reply.Update.Empty() {
		d.accept(reply.Update, r.Address)
	}
	d.heard(r, reply.Polls)
	d.heardRelays(r.Zone, reply)
	if reply.Synchronised {
		d.synchronised.Store(true)
	}
	if reply.Authoritative && len(reply.Records) > 0 && !d.authoritative.Load() {
		d.authoritative.Store(d.table.Digest(everything) == reply.Digest)
	}
}

// heardRelays takes what a relay tells about the relays of its zone as signs of life.
func (d *duty) heardRelays(zone string, reply *syncer.ExchangeReply) {
	if zone == d.info.Zone {
		return
	}
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	relays := reply.Relays
	if reply.RelaysSame {
		relays = d.known(zone, now)
	}
	for _, r := range relays {
		if r.Zone == zone {
			d.directory.contact(now, r)
		}
	}
}

// known returns the relays of a zone that show signs of life. The lock is held.
func (d *duty) known(zone string, now time.Time) []syncer.RelayInfo {
	return slices.DeleteFunc(d.directory.alive(now), func(r syncer.RelayInfo) bool { return r.Zone != zone })
}

// heard notes a sign of life of a relay and what it tells about polls.
func (d *duty) heard(from syncer.RelayInfo, ages []syncer.PollAge) {
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.directory.contact(now, from)
	d.reach.seen(now, from.Zone)
	d.target(from.Zone).retryAt = time.Time{}
	if from.Zone == d.info.Zone && from.Address != d.info.Address {
		d.siblingAt = now
	}
	for _, p := range ages {
		d.polls.reported(now, p.ID, time.Duration(p.Tenths)*tenth)
	}
}

// repair returns the zones whose digests differ as they did at the last exchange.
func (t *target) repair(mine, theirs map[string]uint64) []string {
	before := t.differs
	t.differs = make(map[string][2]uint64)
	if theirs == nil {
		return nil
	}
	all := maps.Clone(mine)
	maps.Copy(all, theirs)
	var out []string
	for zone := range all {
		pair := [2]uint64{mine[zone], theirs[zone]}
		if pair[0] == pair[1] {
			continue
		}
		if before[zone] == pair {
			out = append(out, zone)
		} else {
			t.differs[zone] = pair
		}
	}
	slices.Sort(out)
	return out
}

// repair exchanges all records of zones whose digests differ.
func (d *duty) repair(ctx context.Context, r syncer.RelayInfo, zones []string) {
	d.metrics.Counter("relay.repairs").Inc(1)
	records, _ := d.table.All(func(i membership.Instance) bool { return slices.Contains(zones, i.AvailabilityZone) })
	args := &syncer.ExchangeArgs{From: d.info, Config: d.acceptor.State(), Digest: d.table.Digest(everything), Records: records, Zones: zones}
	var reply syncer.ExchangeReply
	if err := d.call(ctx, r.Address, syncer.MethodExchange, args, &reply); err != nil {
		d.exchangeFailed(ctx, r, err)
		return
	}
	d.takeExchange(r, &reply)
}

func (d *duty) serveExchange(_ context.Context, args *syncer.ExchangeArgs, reply *syncer.ExchangeReply) error {
	d.table.Merge(args.Records...)
	d.heard(args.From, args.Polls)
	d.newer(args.Config, args.From.Address, true)
	reply.Config = d.state(args.Config)
	if relays := d.zoneRelays(); syncer.RelaysDigest(relays) != args.Relays {
		reply.Relays = relays
	} else {
		reply.RelaysSame = true
	}
	reply.Update, _ = d.update(args.Config, false, func() bool { return true })
	reply.Synchronised, reply.Authoritative = d.synchronised.Load(), d.authoritative.Load()
	switch {
	case args.All:
		reply.Records, _ = d.table.All(func(membership.Instance) bool { return true })
	case len(args.Zones) > 0:
		reply.Records, _ = d.table.All(func(i membership.Instance) bool { return slices.Contains(args.Zones, i.AvailabilityZone) })
	}
	reply.Digest = d.table.Digest(everything)
	if reply.Digest != args.Digest && len(args.Zones) == 0 {
		reply.ZoneDigests = d.table.ZoneDigests()
	}
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	reply.Polls = d.polls.ages(now, inZone(args.From.Zone))
	// The exchange serves both sides, so that only one of two relays needs to begin the next one.
	t := d.target(args.From.Zone)
	t.at = now
	t.version = max(t.version, args.Config.Version)
	return nil
}

func (d *duty) zoneRelays() []syncer.RelayInfo {
	return slices.DeleteFunc(d.relays(), func(r syncer.RelayInfo) bool { return r.Zone != d.info.Zone })
}
