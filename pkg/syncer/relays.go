package syncer

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
)

// avoidDuration is how long a relay that failed is ranked last. It is shorter than DepartureTimeout, so that a node
// returns to a relay of its own zone before that relay records the node as departed.
const avoidDuration = 5 * time.Second

// listedTTL is how long a relay counts as live after a relay that answered a poll has listed it.
const listedTTL = 20 * time.Second

// relayList holds the relays that a node knows. It is not safe for concurrent use.
type relayList struct {
	all        []RelayInfo
	avoidUntil map[string]time.Time
	// listedAt maps the address of a relay to the time at which a relay that answered last listed it. Relays learned of
	// from other sources are tried but not counted as live, because they may have stopped long ago.
	listedAt map[string]time.Time
}

// set replaces the list with the one that a relay has sent.
func (l *relayList) set(relays []RelayInfo) {
	l.all = slices.Clone(relays)
	SortRelays(l.all)
}

// recordSuccess records that the relay at address has answered, and with it that all listed relays are live: the
// node's list now equals that relay's.
func (l *relayList) recordSuccess(address string, now time.Time) {
	delete(l.avoidUntil, address)
	l.listedAt = make(map[string]time.Time, len(l.all))
	for _, r := range l.all {
		l.listedAt[r.Address] = now
	}
}

// add merges relays learned from another node. Each replaces the relay with the same zone and slot.
func (l *relayList) add(relays []RelayInfo) {
	for _, r := range relays {
		i := slices.IndexFunc(l.all, func(o RelayInfo) bool { return o.Zone == r.Zone && o.Slot == r.Slot })
		if i < 0 {
			l.all = append(l.all, r)
		} else if l.all[i].Address != r.Address {
			l.all[i] = r
		}
	}
	SortRelays(l.all)
}

func (l *relayList) recordFailure(address string, now time.Time) {
	if l.avoidUntil == nil {
		l.avoidUntil = make(map[string]time.Time)
	}
	l.avoidUntil[address] = now.Add(avoidDuration)
	delete(l.listedAt, address)
}

func (l *relayList) usable(r RelayInfo, now time.Time) bool { return l.avoidedUntil(r, now).IsZero() }

// avoidedUntil returns the end of the time in which r is ranked last, or the zero time if r is usable.
func (l *relayList) avoidedUntil(r RelayInfo, now time.Time) time.Time {
	if until := l.avoidUntil[r.Address]; now.Before(until) {
		return until
	}
	return time.Time{}
}

// candidates returns the relays in the order in which a node tries them: usable relays before recently failed ones, and
// among the usable ones those of the node's zone first. Ties are ordered by a hash of node and relay, so that the nodes
// of a zone spread over its relays.
func (l *relayList) candidates(now time.Time, node membership.InstanceID, zone string) []RelayInfo {
	out := slices.Clone(l.all)
	slices.SortStableFunc(out, func(a, b RelayInfo) int {
		return cmp.Or(l.avoidedUntil(a, now).Compare(l.avoidedUntil(b, now)),
			cmp.Compare(zoneOrder(a, zone), zoneOrder(b, zone)), cmp.Compare(relayHash(node, a), relayHash(node, b)))
	})
	return out
}

func zoneOrder(r RelayInfo, zone string) int {
	if r.Zone == zone {
		return 0
	}
	return 1
}

func relayHash(node membership.InstanceID, r RelayInfo) uint64 {
	return xxhash.Sum64String(string(node) + "|" + r.Address)
}

// countLive returns the number of relays of a zone that count as live.
func (l *relayList) countLive(now time.Time, zone string) int {
	n := 0
	for _, r := range l.all {
		at, ok := l.listedAt[r.Address]
		if ok && r.Zone == zone && now.Sub(at) < listedTTL {
			n++
		}
	}
	return n
}

// SortRelays orders relays by zone and slot.
func SortRelays(rs []RelayInfo) {
	slices.SortFunc(rs, func(a, b RelayInfo) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Slot, b.Slot), cmp.Compare(a.Address, b.Address))
	})
}

// RelaysDigest returns the digest of a sorted list of relays.
func RelaysDigest(rs []RelayInfo) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, r := range rs {
		_, _ = d.WriteString(r.Zone + "|" + string(rune('0'+r.Slot)) + "|" + r.Address + "|" + string(r.Node) + "\n")
	}
	return d.Sum64()
}

// LiveZoneRelays returns the number of relays of the node's own zone that count as live.
func (s *Syncer) LiveZoneRelays() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.relays.countLive(s.clock.Now(), s.settings.Instance.AvailabilityZone)
}

// Relays returns all relays that the node knows.
func (s *Syncer) Relays() []RelayInfo {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.relays.all)
}

// AddRelays adds relays learned from other sources than a polled relay. They are tried but not counted as live.
func (s *Syncer) AddRelays(rs []RelayInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.relays.add(rs)
}
