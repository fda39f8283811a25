package relay

import (
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
	"github.com/monsoonlatch/monsoonlatch/pkg/syncer"
)

const (
	// directoryTTL is how long a relay stays listed without a sign of life: longer than a lease.
	directoryTTL = 20 * time.Second
	// unreachableAfter is the time without contact after which a zone counts as unreachable.
	unreachableAfter = 30 * time.Second
)

type slotKey struct {
	zone string
	slot uint8
}

// listing is what is known about the holder of one slot.
type listing struct {
	info    syncer.RelayInfo
	seen    time.Time
	version string // of the lease object
}

// directory lists the relays that show signs of life. It is pure and not safe for concurrent use.
type directory map[slotKey]listing

// lease takes a lease object as read and reports whether it names a new holder. A change of the object is a sign of
// life; its first sight is taken as one.
func (d directory) lease(now time.Time, info syncer.RelayInfo, version string) bool {
	k := slotKey{info.Zone, info.Slot}
	e, ok := d[k]
	if ok && e.version == version {
		return false
	}
	d[k] = listing{info: info, seen: now, version: version}
	return e.info != info
}

// contact takes a message from or about a relay as a sign of life.
func (d directory) contact(now time.Time, info syncer.RelayInfo) {
	k := slotKey{info.Zone, info.Slot}
	e := d[k]
	e.info, e.seen = info, now
	d[k] = e
}

// alive returns the listed relays in order.
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

// reach tells which zones can be reached. It is pure and not safe for concurrent use.
type reach struct {
	own     string
	contact map[string]time.Time
	// named is when a zone was first named. A zone without contact counts as unreachable only some time after it.
	named map[string]time.Time
}

func newReach(own string) reach {
	return reach{own: own, contact: make(map[string]time.Time), named: make(map[string]time.Time)}
}

// most reports whether more than half of all zones were in contact within membership.MaxSilence. Two relays for which
// that holds share a zone, so changes reach both.
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

// seen notes a message exchanged with a node of the zone.
func (r *reach) seen(now time.Time, zone string) { r.contact[zone] = now }

// unreachable returns the zones without contact for unreachableAfter.
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
