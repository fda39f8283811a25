// Package status defines the objects in which relays report the nodes of their availability zone, and judges from
// them where a version is in force. It does no I/O.
package status

import (
	"cmp"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/config"
	"github.com/monsoonlatch/monsoonlatch/pkg/fault"
	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
)

const (
	// CutOffPollAge is the age of the last poll from which a node counts as cut off: three missed polls.
	CutOffPollAge = 10 * time.Second
	// StaleObjectAge is the age from which a status object says nothing about its nodes. Relays write every 10 s; the
	// rest allows for a platform outage of some seconds and for clocks that differ between VMs.
	StaleObjectAge = 30 * time.Second
)

// ZoneStatus is the object zonestatuses/ZONE-SLOT: what one relay knows of the nodes that poll it.
type ZoneStatus struct {
	Zone string `json:"zone"`
	// Slot is the relay's place in its zone, "0" or "1".
	Slot string `json:"slot"`
	// Relay is the instance ID of the node that writes the object.
	Relay     string         `json:"relay"`
	WrittenAt time.Time      `json:"writtenAt"`
	Version   config.Version `json:"version"`
	Nodes     []NodeStatus   `json:"nodes"`
}

// NodeStatus is what a relay knows of one node.
type NodeStatus struct {
	ID      string         `json:"id"`
	Service string         `json:"service"`
	Version config.Version `json:"version"`
	Hash    string         `json:"hash"`
	// State is the announced state of the instance, as StateName writes it.
	State string `json:"state"`
	// LastPollAgeMillis is the age of the node's last poll at WrittenAt.
	LastPollAgeMillis int64 `json:"lastPollAgeMillis"`
}

// Names of states in NodeStatus.
const (
	StateStarting = "starting"
	StateReady    = "ready"
	StateDraining = "draining"
	StateDeparted = "departed"
)

// StateName returns the name of a membership state for NodeStatus.
func StateName(s membership.State) string {
	switch s {
	case membership.StateStarting:
		return StateStarting
	case membership.StateReady:
		return StateReady
	case membership.StateDraining:
		return StateDraining
	case membership.StateDeparted:
		return StateDeparted
	}
	return "unknown"
}

// ObjectName returns the name of the status object of a relay.
func ObjectName(zone, slot string) string { return zone + "-" + slot }

// Parse reads the content of a status object.
func Parse(name string, spec []byte) (ZoneStatus, error) {
	var z ZoneStatus
	if err := json.Unmarshal(spec, &z); err != nil {
		return ZoneStatus{}, fault.Wrap(fault.Invalid, "status object "+name, err, "delete the object; its relay writes it anew")
	}
	return z, nil
}

// Node is a node with the zone that reported it.
type Node struct {
	Zone string `json:"zone"`
	NodeStatus
	// Place says whether the version that was asked for is in force at the node.
	Place Place `json:"place"`
	// LastPoll is when the node last polled, by the clock of its relay.
	LastPoll time.Time `json:"lastPoll"`
	// stale states that the status object is too old to say anything about the node.
	stale bool
}

// Place says whether a version is in force at a node.
type Place string

// Values of Place.
const (
	// InForce: the node serves the version or a later one.
	InForce Place = "in force"
	// Lagging: the node polls its relay and serves an older version.
	Lagging Place = "lagging"
	// Diverged: the node serves a configuration that the head does not know: a version above the head's, or the head's
	// version with another hash. The platform was restored to an older state.
	Diverged Place = "diverged"
	// CutOff: nothing recent is known of the node.
	CutOff Place = "cut off"
)

// Nodes returns the nodes that have not departed, ordered by zone and ID. A node that several relays report counts
// with its latest poll.
func Nodes(zones []ZoneStatus, now time.Time) []Node {
	latest := make(map[string]Node)
	for _, z := range zones {
		for _, n := range z.Nodes {
			node := Node{Zone: z.Zone, NodeStatus: n, stale: now.Sub(z.WrittenAt) > StaleObjectAge,
				LastPoll: z.WrittenAt.Add(-time.Duration(n.LastPollAgeMillis) * time.Millisecond)}
			if old, ok := latest[n.ID]; !ok || node.newerThan(old) {
				latest[n.ID] = node
			}
		}
	}
	out := make([]Node, 0, len(latest))
	for _, n := range latest {
		if n.State != StateDeparted {
			out = append(out, n)
		}
	}
	slices.SortFunc(out, func(a, b Node) int {
		return cmp.Or(strings.Compare(a.Zone, b.Zone), strings.Compare(a.ID, b.ID))
	})
	return out
}

func (n Node) newerThan(o Node) bool {
	if c := n.LastPoll.Compare(o.LastPoll); c != 0 {
		return c > 0
	}
	return cmp.Or(cmp.Compare(n.Version, o.Version), strings.Compare(n.Zone, o.Zone), strings.Compare(n.State, o.State)) > 0
}

// Target is the version that is asked for, and the head as it was read after the status objects.
type Target struct {
	Version     config.Version
	HeadVersion config.Version
	HeadHash    string
}

// Classify returns the nodes that have not departed, each with its place for the target.
func Classify(t Target, zones []ZoneStatus, now time.Time) []Node {
	nodes := Nodes(zones, now)
	for i := range nodes {
		nodes[i].Place = nodes[i].place(t)
	}
	return nodes
}

func (n Node) place(t Target) Place {
	switch {
	case n.stale || time.Duration(n.LastPollAgeMillis)*time.Millisecond > CutOffPollAge:
		return CutOff
	case n.Version == 0:
		return Lagging // The node has no configuration yet.
	case n.Version > t.HeadVersion || n.Version == t.HeadVersion && n.Hash != t.HeadHash:
		return Diverged
	case n.Version >= t.Version:
		return InForce
	}
	return Lagging
}

// Tally counts nodes by place.
type Tally struct {
	InForce  int `json:"inForce"`
	Lagging  int `json:"lagging"`
	Diverged int `json:"diverged"`
	CutOff   int `json:"cutOff"`
}

// Count returns the tally of classified nodes.
func Count(nodes []Node) Tally {
	var t Tally
	for _, n := range nodes {
		switch n.Place {
		case InForce:
			t.InForce++
		case Lagging:
			t.Lagging++
		case Diverged:
			t.Diverged++
		case CutOff:
			t.CutOff++
		}
	}
	return t
}

// Everywhere reports whether there is a node and all nodes have the version in force. Without a report from any node
// nothing is known to be in force.
func (t Tally) Everywhere() bool { return t.InForce > 0 && t == Tally{InForce: t.InForce} }

// HighestVersion returns the highest version that any relay or node reports.
func HighestVersion(zones []ZoneStatus) config.Version {
	var v config.Version
	for _, z := range zones {
		v = max(v, z.Version)
		for _, n := range z.Nodes {
			v = max(v, n.Version)
		}
	}
	return v
}
