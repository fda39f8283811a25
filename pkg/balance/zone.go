package balance

import (
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
)

// When another availability zone is cut off, each of its instances falls silent by itself. Without a view of the whole
// zone, an ingress would send at least one request to each of them and wait half a second for its failure, again with each
// probe, and would come back to them one by one after the cut.

const (
	// silentInstances is the number of instances whose hosts must fall silent before their zone counts as cut off.
	silentInstances = 2
	// zoneProbeInterval is the time between two requests to a zone that counts as cut off.
	zoneProbeInterval = time.Second
)

// zoneState is what an ingress knows of the connection to another availability zone.
type zoneState struct {
	// heardAt is the time of the last sign of life from any host of the zone.
	heardAt time.Time
	// silent holds the instances whose hosts have been silent since then.
	silent map[membership.InstanceID]bool
	// nextProbe is the time from which one request may be sent to the zone while it counts as cut off.
	nextProbe time.Time
}

// cutOff reports whether the zone counts as cut off.
func (z *zoneState) cutOff() bool { return len(z.silent) >= silentInstances }

// mayTry reports whether a request may be sent to an instance of the zone.
func (p *Picker) mayTry(now time.Time, in *instance) bool {
	z := p.zones[in.record.AvailabilityZone]
	return z == nil || !z.cutOff() || !now.Before(z.nextProbe)
}

// notePicked keeps further requests from a zone that counts as cut off while this one probes it.
func (p *Picker) notePicked(now time.Time, in *instance) {
	if z := p.zones[in.record.AvailabilityZone]; z != nil && z.cutOff() {
		z.nextProbe = now.Add(zoneProbeInterval)
	}
}

// observeZone updates the state of the zone of an instance after an attempt. The own zone never counts as cut off.
func (p *Picker) observeZone(now time.Time, in *instance, o Observation) {
	zone := in.record.AvailabilityZone
	if zone == p.settings.AvailabilityZone || o.Event == EventAbandoned {
		return
	}
	z := p.zones[zone]
	if z == nil {
		z = &zoneState{silent: make(map[membership.InstanceID]bool)}
		p.zones[zone] = z
	}
	switch {
	case !o.Silent:
		if z.cutOff() {
			p.forgetUnreachable(zone)
		}
		z.heardAt = now
		clear(z.silent)
	case z.heardAt.Before(now.Add(-o.Latency)):
		// Nothing was heard from the zone during the attempt either.
		z.silent[in.record.ID] = true
		if z.cutOff() && z.nextProbe.Before(now) {
			z.nextProbe = now.Add(zoneProbeInterval)
		}
	}
}

// forgetUnreachable makes all instances of a zone that can be reached again available at once.
func (p *Picker) forgetUnreachable(zone string) {
	for _, in := range p.byID {
		if in.record.AvailabilityZone == zone {
			in.unreachableUntil, in.ejections = time.Time{}, 0
		}
	}
}
