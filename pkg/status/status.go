// Package status defines the objects in which relays report the nodes of their availability zone, and derives from them
// at which nodes a configuration version is in force. It does no I/O. The head object is the platform's object that
// holds the current configuration.
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
	// CutOffPollAge is the age of a node's last poll above which the node counts as cut off: three missed polls.
	CutOffPollAge = 10 * time.Second
	// StaleObjectAge is the age above which a status object is too old to tell anything about its nodes. Relays write
	// it every 10 s; the remaining 20 s allow for a platform outage of some seconds and for clock differences between
	// VMs.
	StaleObjectAge = 30 * time.Second
)

// ZoneStatus is the content of the object zonestatuses/ZONE-SLOT, in which a relay reports the nodes that poll it.
type ZoneStatus struct {
	Zone string `json:"zone"`
	// Slot is the relay's slot in its zone, "0" or "1".
	Slot string `json:"slot"`
	// Relay is the instance ID of the node that acts as the relay and writes the object.
	Relay     string         `json:"relay"`
	WrittenAt time.Time      `json:"writtenAt"`
	Version   config.Version `json:"version"`
	Nodes     []NodeStatus   `json:"nodes"`
}

// NodeStatus is the report of a relay on one node.
type NodeStatus struct {
	ID      string         `json:"id"`
	Service string         `json:"service"`
	Version config.Version `json:"version"`
	Hash    string         `json:"hash"`
	// State is the announced state of the instance, in the form that StateName returns.
	State string `json:"state"`
	// LastPollAgeMillis is the age of the node's last poll at WrittenAt.
	LastPollAgeMillis int64 `json:"lastPollAgeMillis"`
}

// Values of NodeStatus.State.
const (
	StateStarting = "starting"
	StateReady    = "ready"
	StateDraining = "draining"
	StateDeparted = "departed"
)

// StateName returns the value of NodeStatus.State for a membership state.
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

// ObjectName returns the name of the status object that the relay with this slot writes.
func ObjectName(zone, slot string) string { return zone + "-" + slot }

// Parse decodes the content of a status object.
func Parse(name string, spec []byte) (ZoneStatus, error) {
	var z ZoneStatus
	if err := json.Unmarshal(spec, &z); err != nil {
		return ZoneStatus{}, fault.Wrap(fault.Invalid, "status object "+name, err,
			"delete the object; its relay creates it again")
	}
	return z, nil
}

// Node is the latest report on a node.
type Node struct {
	Zone string `json:"zone"`
	NodeStatus
	// Rollout tells whether the requested version is in force at the node.
	Rollout RolloutStatus `json:"place"`
	// LastPoll is the time of the node's last poll according to the clock of its relay.
	LastPoll time.Time `json:"lastPoll"`
	// stale is true if the status object is too old to tell anything about the node.
	stale bool
}

// RolloutStatus tells whether a version is in force at a node.
type RolloutStatus string

// Values of RolloutStatus.
const (
	// InForce means that the node serves the version or a later one.
	InForce RolloutStatus = "in force"
	// Lagging means that the node polls its relay but serves an older version, or none yet.
	Lagging RolloutStatus = "lagging"
	// Diverged means that the node serves a configuration that is not in the history of the head object: a version
	// above that of the head object, or the same version with another hash. This happens when the platform was
	// restored to an older state.
	Diverged RolloutStatus = "diverged"
	// CutOff means that there is no recent report on the node.
	CutOff RolloutStatus = "cut off"
)

// Nodes returns the nodes that have not departed, ordered by zone and ID. If several relays report a node, the report
// with the latest poll counts.
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

// Target is the requested version, together with the version and hash of the head object, which is read after the
// status objects.
type Target struct {
	Version     config.Version
	HeadVersion config.Version
	HeadHash    string
}

// Classify returns the nodes that have not departed and sets the Rollout of each with regard to the target.
func Classify(t Target, zones []ZoneStatus, now time.Time) []Node {
	nodes := Nodes(zones, now)
	for i := range nodes {
		nodes[i].Rollout = nodes[i].rolloutStatus(t)
	}
	return nodes
}

func (n Node) rolloutStatus(t Target) RolloutStatus {
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

// Tally holds the number of nodes for each RolloutStatus.
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
		switch n.Rollout {
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

// Everywhere reports whether the version is in force at all nodes. It returns false if there are no nodes: without a
// report, the version is not known to be in force anywhere.
func (t Tally) Everywhere() bool { return t.InForce > 0 && t == Tally{InForce: t.InForce} }

// HighestVersion returns the highest version that is reported for any relay or node.
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
