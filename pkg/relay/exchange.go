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
	// minExchangeInterval is the shortest interval between two exchange rounds.
	minExchangeInterval = time.Second
	// exchangeInterval is the longest interval between two exchanges with another zone.
	exchangeInterval = 5 * time.Second
	// siblingInterval is the longest interval between two exchanges with the sibling, which is the other relay of the own
	// zone. Each tells the other which nodes poll it, so the last poll that a relay knows of is at most
	// PollHoldTime + siblingInterval old, which is less than DepartureTimeout.
	siblingInterval = 3 * time.Second
	// maxExchangeBackoff is the longest backoff before another attempt to reach a zone that does not answer.
	maxExchangeBackoff = 8 * time.Second
)

// zoneExchange is the state of the exchanges with one other zone, or with the sibling if the zone is the own one.
type zoneExchange struct {
	lastAddress string
	// failedAddress is the address of the relay that failed to answer last; the other relay of its zone is preferred.
	failedAddress string
	// inFlight is set while an exchange is in flight. The round does not wait for it, so a zone that does not answer does
	// not delay the others.
	inFlight     bool
	failures     int
	retryAt      time.Time
	pushedMark   membership.Mark // changes of this relay's table up to here have been sent
	lastExchange time.Time
	// peerVersion is the configuration version that the zone's relay had at the last exchange.
	peerVersion config.Version
	// mismatches holds, per zone, the digests of this relay and of the other one if they differed at the last exchange.
	// All records of a zone are exchanged only when the same two digests are seen twice, because a single mismatch may be
	// due to a change that is still propagating.
	mismatches map[string][2]uint64
}

func (a *activeRelay) exchangeLoop(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.exchangeTrigger:
		case <-timer.C:
		}
		a.exchangeRound(ctx, &wg)
		if !clock.Sleep(ctx, minExchangeInterval) {
			return
		}
		timer.Reset(minExchangeInterval)
	}
}

// exchangeRound starts the exchanges that are due: with one relay of each other zone, and with the sibling.
func (a *activeRelay) exchangeRound(ctx context.Context, wg *sync.WaitGroup) {
	now := a.clock.Now()
	relays, inFlight := a.selectRelays(now)
	for _, r := range relays {
		wg.Go(func() {
			defer a.exchangeDone(r.Zone)
			a.exchange(ctx, r)
		})
	}
	// If no relay answers for a while, there is none to synchronise with: the mesh is starting, or this zone is cut off.
	age := now.Sub(a.started)
	if !inFlight && age > a.settings.InitialSyncTimeout || age > 3*a.settings.InitialSyncTimeout {
		a.initialSyncDone.Store(true)
	}
}

func (a *activeRelay) exchangeDone(zone string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.exchangeState(zone).inFlight = false
}

// selectRelays returns the relays to exchange with now, and reports whether any exchange is in flight.
func (a *activeRelay) selectRelays(now time.Time) (out []syncer.RelayInfo, inFlight bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	byZone := make(map[string][]syncer.RelayInfo)
	for _, r := range a.directory.live(now) {
		if r.Address != a.selfInfo.Address {
			byZone[r.Zone] = append(byZone[r.Zone], r)
		}
	}
	for zone, relays := range byZone {
		e := a.exchangeState(zone)
		if !e.inFlight && !now.Before(e.retryAt) && a.exchangeDue(now, zone, e) {
			out = append(out, pickRelay(relays, e, a.selfInfo.Slot))
			e.inFlight = true
		}
		inFlight = inFlight || e.inFlight
	}
	return out, inFlight
}

// exchangeState returns the exchange state of a zone and creates it if there is none. The caller must hold mu.
func (a *activeRelay) exchangeState(zone string) *zoneExchange {
	e, ok := a.exchanges[zone]
	if !ok {
		e = &zoneExchange{mismatches: make(map[string][2]uint64)}
		a.exchanges[zone] = e
	}
	return e
}

// pickRelay returns the relay that answered the last exchange, or else the one in the same slot as this relay, which
// spreads the exchanges evenly over the relays. A relay that has failed is returned only if there is no other.
func pickRelay(relays []syncer.RelayInfo, e *zoneExchange, slot uint8) syncer.RelayInfo {
	slices.SortStableFunc(relays, func(a, b syncer.RelayInfo) int {
		return cmp.Or(trueFirst(a.Address != e.failedAddress, b.Address != e.failedAddress),
			trueFirst(a.Address == e.lastAddress, b.Address == e.lastAddress),
			trueFirst(a.Slot == slot, b.Slot == slot))
	})
	return relays[0]
}

// trueFirst compares two booleans and sorts true before false.
func trueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

// exchangeDue reports whether an exchange with the zone is due: its interval has passed (a short one while nodes of
// that zone poll this relay), there are records to push, or the zone may lack the latest configuration because it is
// cut off from the platform.
func (a *activeRelay) exchangeDue(now time.Time, zone string, e *zoneExchange) bool {
	period := exchangeInterval
	if zone == a.selfInfo.Zone {
		period = siblingInterval
	} else if len(a.polls.ages(now, inZone(zone))) > 0 {
		period = minExchangeInterval
	}
	if now.Sub(e.lastExchange) >= period || a.acceptor.State().Version > e.peerVersion {
		return true
	}
	records, _ := a.table.ChangesSince(e.pushedMark, a.pushFilter(zone))
	return len(records) > 0
}

// pushFilter returns a filter for the records that this relay pushes to a zone: all records to the sibling, and those
// of the own zone to other zones.
func (a *activeRelay) pushFilter(zone string) func(membership.Instance) bool {
	if zone == a.selfInfo.Zone {
		return func(membership.Instance) bool { return true }
	}
	return inZone(a.selfInfo.Zone)
}

func inZone(zone string) func(membership.Instance) bool {
	return func(i membership.Instance) bool { return i.AvailabilityZone == zone }
}

// exchange performs one exchange with a relay, and a second call if the membership of some zones needs repair.
func (a *activeRelay) exchange(ctx context.Context, r syncer.RelayInfo) {
	args, mark := a.exchangeArgs(r)
	var reply syncer.ExchangeReply
	if err := a.call(ctx, r.Address, syncer.MethodExchange, args, &reply); err != nil {
		a.exchangeFailed(ctx, r, err)
		return
	}
	a.applyExchange(r, &reply)
	a.mu.Lock()
	e := a.exchangeState(r.Zone)
	e.lastAddress, e.failedAddress, e.failures, e.pushedMark, e.lastExchange = r.Address, "", 0, mark, a.clock.Now()
	e.peerVersion = max(reply.Config.Version, args.Config.Version)
	zones := e.zonesToRepair(a.table.ZoneDigests(), reply.ZoneDigests)
	a.mu.Unlock()
	if len(zones) > 0 {
		a.repairZones(ctx, r, zones)
	}
}

func (a *activeRelay) exchangeArgs(r syncer.RelayInfo) (*syncer.ExchangeArgs, membership.Mark) {
	now := a.clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	args := &syncer.ExchangeArgs{
		From: a.selfInfo, Config: a.acceptor.State(), All: !a.initialSyncDone.Load(),
		Polls: a.polls.ages(now, inZone(r.Zone)),
	}
	e := a.exchangeState(r.Zone)
	filter := a.pushFilter(r.Zone)
	if e.pushedMark == (membership.Mark{}) {
		// The first exchange carries the records of the own zone only; other zones send theirs themselves.
		filter = inZone(a.selfInfo.Zone)
	}
	var mark membership.Mark
	args.Records, mark = a.table.ChangesSince(e.pushedMark, filter)
	args.Digest = a.table.Digest(allServices)
	args.Relays = syncer.RelaysDigest(a.liveZoneRelays(r.Zone, now))
	return args, mark
}

func allServices(string) bool { return true }

func (a *activeRelay) exchangeFailed(ctx context.Context, r syncer.RelayInfo, err error) {
	if ctx.Err() != nil {
		return
	}
	a.metrics.Counter("relay.exchange_failed").Inc(1)
	a.mu.Lock()
	defer a.mu.Unlock()
	state := a.exchangeState(r.Zone)
	state.lastAddress, state.failedAddress = "", r.Address
	state.failures++
	state.retryAt = a.clock.Now().Add(
		a.settings.Jitter(min(minExchangeInterval<<min(state.failures, 10), maxExchangeBackoff)))
	if state.failures == 1 {
		logWith(&a.log, event.RelayExchangeFailed, func(e *zerolog.Event) {
			e.Err(err).Str("zone", r.Zone).Uint8("slot", r.Slot)
		})
	}
}

// applyExchange applies the reply of another relay.
func (a *activeRelay) applyExchange(r syncer.RelayInfo, reply *syncer.ExchangeReply) {
	a.table.Merge(reply.Records...)
	if !reply.Update.Empty() {
		a.acceptUpdate(reply.Update, r.Address)
	}
	a.recordContact(r, reply.Polls)
	a.recordRelays(r.Zone, reply)
	if reply.Synchronised {
		a.initialSyncDone.Store(true)
	}
	if reply.Authoritative && len(reply.Records) > 0 && !a.authoritative.Load() {
		a.authoritative.Store(a.table.Digest(allServices) == reply.Digest)
	}
}

// recordRelays marks the relays of another zone as live if the reply lists them.
func (a *activeRelay) recordRelays(zone string, reply *syncer.ExchangeReply) {
	if zone == a.selfInfo.Zone {
		return
	}
	now := a.clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	relays := reply.Relays
	if reply.RelaysSame {
		relays = a.liveZoneRelays(zone, now)
	}
	for _, r := range relays {
		if r.Zone == zone {
			a.directory.recordContact(now, r)
		}
	}
}

// liveZoneRelays returns the live relays of a zone. The caller must hold mu.
func (a *activeRelay) liveZoneRelays(zone string, now time.Time) []syncer.RelayInfo {
	return slices.DeleteFunc(a.directory.live(now), func(r syncer.RelayInfo) bool { return r.Zone != zone })
}

// recordContact records a contact with a relay and the poll ages that it reports.
func (a *activeRelay) recordContact(from syncer.RelayInfo, ages []syncer.PollAge) {
	now := a.clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.directory.recordContact(now, from)
	a.contacts.recordContact(now, from.Zone)
	a.exchangeState(from.Zone).retryAt = time.Time{}
	if from.Zone == a.selfInfo.Zone && from.Address != a.selfInfo.Address {
		a.lastSiblingContact = now
	}
	for _, p := range ages {
		a.polls.recordReportedPoll(now, p.ID, time.Duration(p.Tenths)*pollAgeUnit)
	}
}

// zonesToRepair returns the zones whose digests differ in the same way as at the last exchange, and keeps the other
// mismatches for the next one.
func (e *zoneExchange) zonesToRepair(mine, theirs map[string]uint64) []string {
	before := e.mismatches
	e.mismatches = make(map[string][2]uint64)
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
			e.mismatches[zone] = pair
		}
	}
	slices.Sort(out)
	return out
}

// repairZones exchanges all records of the given zones with a relay.
func (a *activeRelay) repairZones(ctx context.Context, r syncer.RelayInfo, zones []string) {
	a.metrics.Counter("relay.repairs").Inc(1)
	records, _ := a.table.All(func(i membership.Instance) bool { return slices.Contains(zones, i.AvailabilityZone) })
	args := &syncer.ExchangeArgs{
		From: a.selfInfo, Config: a.acceptor.State(), Digest: a.table.Digest(allServices), Records: records, Zones: zones,
	}
	var reply syncer.ExchangeReply
	if err := a.call(ctx, r.Address, syncer.MethodExchange, args, &reply); err != nil {
		a.exchangeFailed(ctx, r, err)
		return
	}
	a.applyExchange(r, &reply)
}

func (a *activeRelay) serveExchange(_ context.Context, args *syncer.ExchangeArgs, reply *syncer.ExchangeReply) error {
	a.table.Merge(args.Records...)
	a.recordContact(args.From, args.Polls)
	a.scheduleCatchUp(args.Config, args.From.Address, true)
	reply.Config = a.configState(args.Config)
	if relays := a.ownZoneRelays(); syncer.RelaysDigest(relays) != args.Relays {
		reply.Relays = relays
	} else {
		reply.RelaysSame = true
	}
	reply.Update, _ = a.updateFor(args.Config, false, func() bool { return true })
	reply.Synchronised, reply.Authoritative = a.initialSyncDone.Load(), a.authoritative.Load()
	switch {
	case args.All:
		reply.Records, _ = a.table.All(func(membership.Instance) bool { return true })
	case len(args.Zones) > 0:
		reply.Records, _ = a.table.All(func(i membership.Instance) bool {
			return slices.Contains(args.Zones, i.AvailabilityZone)
		})
	}
	reply.Digest = a.table.Digest(allServices)
	if reply.Digest != args.Digest && len(args.Zones) == 0 {
		reply.ZoneDigests = a.table.ZoneDigests()
	}
	now := a.clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	reply.Polls = a.polls.ages(now, inZone(args.From.Zone))
	// An exchange updates both relays, so the one that answers need not start another within the interval.
	e := a.exchangeState(args.From.Zone)
	e.lastExchange = now
	e.peerVersion = max(e.peerVersion, args.Config.Version)
	return nil
}

func (a *activeRelay) ownZoneRelays() []syncer.RelayInfo {
	return slices.DeleteFunc(a.liveRelays(), func(r syncer.RelayInfo) bool { return r.Zone != a.selfInfo.Zone })
}
