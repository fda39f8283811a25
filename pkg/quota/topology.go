package quota

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
)

// Node is a node that may be the home of tenants.
type Node struct {
	ID membership.InstanceID
	// Address is the control address.
	Address string
	hash    uint64
}

// Topology holds the nodes of the mesh by availability zone, as one node knows them. It is immutable.
type Topology struct {
	self  membership.InstanceID
	zone  string
	zones map[string][]Node
	// names are the names of the zones in order.
	names []string
	// parts is the number of zones between which an allowance is divided.
	parts int
	// shrinkAt is the time at which parts may fall to the number of zones; zero if both are equal.
	shrinkAt time.Time
}

// shrinkDelay is the time for which the number of parts stays after a zone has lost its last node. It is longer than a
// window, so that what the zone admitted in the same window is not granted again, and covers the time that a change takes
// to reach all nodes.
const shrinkDelay = 10 * time.Second

// NewTopology builds the topology from the records of instances. The previous topology, or nil, delays a fall in the number
// of parts.
func NewTopology(now time.Time, self membership.InstanceID, zone string, records []membership.Instance, previous *Topology) *Topology {
	t := &Topology{self: self, zone: zone, zones: make(map[string][]Node)}
	for i := range records {
		in := &records[i]
		if in.State != membership.StateDeparted && in.ControlAddress != "" {
			t.zones[in.AvailabilityZone] = append(t.zones[in.AvailabilityZone],
				Node{ID: in.ID, Address: in.ControlAddress, hash: xxhash.Sum64String(string(in.ID))})
		}
	}
	for _, nodes := range t.zones {
		slices.SortFunc(nodes, func(a, b Node) int { return cmp.Compare(a.ID, b.ID) })
	}
	t.names = slices.Sorted(maps.Keys(t.zones))
	t.parts = max(1, len(t.names))
	if previous != nil && t.parts < previous.parts {
		t.shrinkAt = previous.shrinkAt
		if t.shrinkAt.IsZero() {
			t.shrinkAt = now.Add(shrinkDelay)
		}
		if now.Before(t.shrinkAt) {
			t.parts = previous.parts
		} else {
			t.shrinkAt = time.Time{}
		}
	}
	return t
}

// sameHomes reports whether the node's own zone and the number of parts are as in the other topology.
func (t *Topology) sameHomes(o *Topology) bool {
	return t.parts == o.parts && slices.Equal(t.zones[t.zone], o.zones[o.zone])
}

// mayGain reports whether the node may have become the home of more tenants than in the other topology, or its zone may
// have got a greater part: the node itself has joined, another node of the zone has left or has a new address, or the number
// of parts has fallen. Another node that joins only takes tenants away.
func (t *Topology) mayGain(o *Topology) bool {
	return t.parts < o.parts || t.member() && !o.member() ||
		slices.ContainsFunc(o.own(), func(n Node) bool { return !slices.Contains(t.own(), n) })
}

// known reports whether the topology names any other node than this one.
func (t *Topology) known() bool {
	for _, nodes := range t.zones {
		for _, n := range nodes {
			if n.ID != t.self {
				return true
			}
		}
	}
	return false
}

// contains reports whether a node is in the node's own zone.
func (t *Topology) contains(id membership.InstanceID) bool {
	return slices.ContainsFunc(t.own(), func(n Node) bool { return n.ID == id })
}

// member reports whether the node itself is a member.
func (t *Topology) member() bool { return t.contains(t.self) }

// own returns the nodes of the node's own zone. The caller must not modify the slice.
func (t *Topology) own() []Node { return t.zones[t.zone] }

// others returns the names of the other zones.
func (t *Topology) others() []string {
	return slices.DeleteFunc(slices.Clone(t.names), func(z string) bool { return z == t.zone })
}

// weight is the weight of a node for a tenant in rendezvous hashing.
func weight(tenant, node uint64) uint64 {
	// The finaliser of SplitMix64; a plain xor of two hashes would order the nodes in related ways for different tenants.
	x := tenant ^ node
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// maxCandidates is the number of nodes that are tried for one tenant.
const maxCandidates = 5

// Ranked returns the first nodes of the own zone for a tenant, in the order in which they become its home.
func (t *Topology) Ranked(tenant string) []Node {
	nodes := t.zones[t.zone]
	h := xxhash.Sum64String(tenant)
	var weights [maxCandidates]uint64
	out := make([]Node, 0, maxCandidates)
	for _, n := range nodes {
		w := weight(h, n.hash)
		if len(out) == maxCandidates {
			if w <= weights[maxCandidates-1] {
				continue
			}
			out = out[:maxCandidates-1]
		}
		i := len(out)
		out = append(out, n)
		for ; i > 0 && w > weights[i-1]; i-- {
			out[i], weights[i] = out[i-1], weights[i-1]
		}
		out[i], weights[i] = n, w
	}
	return out
}

// Home returns the home of a tenant in a zone.
func (t *Topology) Home(zone, tenant string) (home Node, ok bool) {
	h := xxhash.Sum64String(tenant)
	var best uint64
	for _, n := range t.zones[zone] {
		if w := weight(h, n.hash); !ok || w > best {
			home, best, ok = n, w, true
		}
	}
	return home, ok
}

// IsHome reports whether this node is the home of a tenant in its zone.
func (t *Topology) IsHome(tenant string) bool {
	home, ok := t.Home(t.zone, tenant)
	return ok && home.ID == t.self
}
