package relay

import (
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
	"github.com/monsoonlatch/monsoonlatch/pkg/syncer"
)

const (
	// directoryTTL is how long a relay counts as live after it was last seen. It is longer than a lease.
	directoryTTL = 20 * time.Second
	// unreachableAfter is how long a zone must be without contact to count as unreachable.
	unreachableAfter = 30 * time.Second
)

type slotKey struct {
	zone string
	slot uint8
}

// directoryEntry describes the last known holder of one slot.
type directoryEntry struct {
	relay        syncer.RelayInfo
	lastSeen     time.Time
	leaseVersion string // version of the lease object
}

// relayDirectory tracks which relays are live. It does no I/O and is not safe for concurrent use.
type relayDirectory map[slotKey]directoryEntry

// recordLease records a lease object that was read and reports whether it names a new holder. The holder counts as seen
// whenever the object has changed or is read for the first time.
func (d relayDirectory) recordLease(now time.Time, info syncer.RelayInfo, version string) bool {
	k := slotKey{info.Zone, info.Slot}
	e, ok := d[k]
	if ok && e.leaseVersion == version {
		return false
	}
	d[k] = directoryEntry{relay: info, lastSeen: now, leaseVersion: version}
	return e.relay != info
}

// recordContact records that a relay was seen, from a message by it or about it.
func (d relayDirectory) recordContact(now time.Time, info syncer.RelayInfo) {
	k := slotKey{info.Zone, info.Slot}
	e := d[k]
	e.relay, e.lastSeen = info, now
	d[k] = e
}

// live returns the live relays in sorted order.
func (d relayDirectory) live(now time.Time) []syncer.RelayInfo {
	var out []syncer.RelayInfo
	for _, e := range d {
		if now.Sub(e.lastSeen) < directoryTTL {
			out = append(out, e.relay)
		}
	}
	syncer.SortRelays(out)
	return out
}

// zoneContacts tracks which zones can be reached. It does no I/O and is not safe for concurrent use.
type zoneContacts struct {
	ownZone     string
	lastContact map[string]time.Time
	// firstListed is when a zone first appeared in the membership. For a zone that was never in contact, unreachableAfter
	// counts from there.
	firstListed map[string]time.Time
}

func newZoneContacts(ownZone string) zoneContacts {
	return zoneContacts{ownZone: ownZone, lastContact: make(map[string]time.Time), firstListed: make(map[string]time.Time)}
}

// majorityInContact reports whether more than half of all zones, the own one included, were in contact within
// membership.MaxSilence. Any two relays with such a majority have a zone in common, so changes reach both.
func (c *zoneContacts) majorityInContact(now time.Time, zones []string) bool {
	inContact, total := 1, 1
	for _, z := range zones {
		if z == c.ownZone {
			continue
		}
		total++
		if at, ok := c.lastContact[z]; ok && now.Sub(at) <= membership.MaxSilence {
			inContact++
		}
	}
	return 2*inContact > total
}

// recordContact records a contact with a node or relay of the zone.
func (c *zoneContacts) recordContact(now time.Time, zone string) { c.lastContact[zone] = now }

// unreachable returns those of the given zones that have had no contact for unreachableAfter.
func (c *zoneContacts) unreachable(now time.Time, zones []string) []string {
	var out []string
	for _, z := range zones {
		if _, ok := c.firstListed[z]; !ok {
			c.firstListed[z] = now
		}
		at, ok := c.lastContact[z]
		if !ok {
			at = c.firstListed[z]
		}
		if z != c.ownZone && now.Sub(at) > unreachableAfter {
			out = append(out, z)
		}
	}
	return out
}
