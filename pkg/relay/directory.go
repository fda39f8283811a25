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

// listing describes the last known holder of one slot.
type listing struct {
	info    syncer.RelayInfo
	seen    time.Time
	version string // of the lease object
}

// directory tracks which relays are live. It does no I/O and is not safe for concurrent use.
type directory map[slotKey]listing

// lease records a lease object that was read and reports whether it names a new holder. The holder counts as seen
// whenever the object has changed or is read for the first time.
func (d directory) lease(now time.Time, info syncer.RelayInfo, version string) bool {
	k := slotKey{info.Zone, info.Slot}
	e, ok := d[k]
	if ok && e.version == version {
		return false
	}
	d[k] = listing{info: info, seen: now, version: version}
	return e.info != info
}

// contact records that a relay was seen, from a message by it or about it.
func (d directory) contact(now time.Time, info syncer.RelayInfo) {
	k := slotKey{info.Zone, info.Slot}
	e := d[k]
	e.info, e.seen = info, now
	d[k] = e
}

// alive returns the live relays in sorted order.
func (d directory) alive(now time.Time) []syncer.RelayInfo {
	var out []syncer.RelayInfo
	for _, e := range d {
		if now.Sub(e.seen) < directoryTTL {
			out = append(out, e.info)
		}
	}
	syncer.SortRelays(out)
	return out
}

// reach tracks which zones can be reached. It does no I/O and is not safe for concurrent use.
type reach struct {
	own     string
	contact map[string]time.Time
	// named is when a zone first appeared in the membership. For a zone that was never in contact, unreachableAfter counts
	// from there.
	named map[string]time.Time
}

func newReach(own string) reach {
	return reach{own: own, contact: make(map[string]time.Time), named: make(map[string]time.Time)}
}

// most reports whether more than half of all zones, the own one included, were in contact within membership.MaxSilence.
// Any two relays with such a majority have a zone in common, so changes reach both.
func (r *reach) most(now time.Time, zones []string) bool {
	near, all := 1, 1
	for _, z := range zones {
		if z == r.own {
			continue
		}
		all++
		if at, ok := r.contact[z]; ok && now.Sub(at) <= membership.MaxSilence {
			near++
		}
	}
	return 2*near > all
}

// seen records a contact with a node or relay of the zone.
func (r *reach) seen(now time.Time, zone string) { r.contact[zone] = now }

// unreachable returns those of the given zones that have had no contact for unreachableAfter.
func (r *reach) unreachable(now time.Time, zones []string) []string {
	var out []string
	for _, z := range zones {
		if _, ok := r.named[z]; !ok {
			r.named[z] = now
		}
		at, ok := r.contact[z]
		if !ok {
			at = r.named[z]
		}
		if z != r.own && now.Sub(at) > unreachableAfter {
			out = append(out, z)
		}
	}
	return out
}
