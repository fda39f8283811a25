package directory

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
)

// A few nodes, the sentinels, watch the store and pass changes on; the others ask a sentinel now and then and watch the
// store themselves only when none answers. Calls to the store then do not grow with the fleet. Which nodes are sentinels
// follows from the membership that each node has; nodes that disagree for a while only make some calls more.

// sentinelCount is the number of sentinels: two may be lost or cut off at once.
const sentinelCount = 3

// sentinels chooses the sentinels among the instances: the first of each availability zone in the order of a hash of
// their names, zone by zone, so that a lost zone leaves some.
func sentinels(all []membership.Instance) []membership.Instance {
	live := make([]membership.Instance, 0, len(all))
	for _, in := range all {
		if in.State == membership.StateReady && in.ControlAddress != "" {
			live = append(live, in)
		}
	}
	slices.SortFunc(live, func(a, b membership.Instance) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(string(a.ID)), xxhash.Sum64String(string(b.ID))), cmp.Compare(a.ID, b.ID))
	})
	chosen := make([]membership.Instance, 0, sentinelCount)
	for len(chosen) < min(sentinelCount, len(live)) {
		zones := make(map[string]bool)
		for _, in := range live {
			if len(chosen) == sentinelCount {
				break
			}
			if !zones[in.AvailabilityZone] && !contains(chosen, in.ID) {
				zones[in.AvailabilityZone] = true
				chosen = append(chosen, in)
			}
		}
	}
	return chosen
}

// charges returns the nodes that a sentinel passes changes on to: all others are divided among the sentinels.
func charges(all []membership.Instance, self membership.InstanceID) []membership.Instance {
	watching := sentinels(all)
	at := slices.IndexFunc(watching, func(in membership.Instance) bool { return in.ID == self })
	if at < 0 {
		return nil
	}
	var out []membership.Instance
	for _, in := range all {
		if in.ID == self || in.State == membership.StateDeparted || in.ControlAddress == "" {
			continue
		}
		if xxhash.Sum64String(string(in.ID))%uint64(len(watching)) == uint64(at) {
			out = append(out, in)
		}
	}
	return out
}

func contains(list []membership.Instance, id membership.InstanceID) bool {
	return slices.ContainsFunc(list, func(in membership.Instance) bool { return in.ID == id })
}
