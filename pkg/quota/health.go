package quota

import (
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
)

// Condition is what a node knows about another one.
type Condition uint8

const (
	// Unknown: nothing speaks against the node.
	Unknown Condition = iota
	// Gone: the node's address refused a connection, so that the process has ended.
	Gone
	// Silent: the node did not answer in time, which proves nothing.
	Silent
)

// forgetHealth is the time without use after which a node is no longer probed and counts as Unknown.
const forgetHealth = 5 * time.Second

// Health records the nodes that do not answer, for all tenants, so that a dead home delays one request and not all.
type Health struct {
	nodes map[membership.InstanceID]*condition
}

type condition struct {
	Node
	Condition
	used time.Time
}

// NewHealth returns a Health in which all nodes are Unknown.
func NewHealth() *Health { return &Health{nodes: make(map[membership.InstanceID]*condition)} }

// Set records a failed call to a node and reports whether the condition is new.
func (h *Health) Set(now time.Time, n Node, c Condition) (changed bool) {
	known, ok := h.nodes[n.ID]
	changed = !ok || known.Condition != c
	h.nodes[n.ID] = &condition{Node: n, Condition: c, used: now}
	return changed
}

// Clear records that a node answers and reports whether it did not before.
func (h *Health) Clear(id membership.InstanceID) (changed bool) {
	_, changed = h.nodes[id]
	delete(h.nodes, id)
	return changed
}

// Get returns the condition of a node.
func (h *Health) Get(now time.Time, id membership.InstanceID) Condition {
	if len(h.nodes) == 0 {
		return Unknown
	}
	c, ok := h.nodes[id]
	if !ok {
		return Unknown
	}
	c.used = now
	return c.Condition
}

// Probes returns the nodes to probe now and forgets those that nobody has asked for in a while.
func (h *Health) Probes(now time.Time) (out []Node) {
	for id, c := range h.nodes {
		if now.Sub(c.used) > forgetHealth {
			delete(h.nodes, id)
			continue
		}
		out = append(out, c.Node)
	}
	return out
}

const (
	// contactTime is the time without a message from another node of the zone after which a home probes some.
	contactTime = 500 * time.Millisecond
	// grantingTime is the time after its last grant for which a home watches its contact to the zone.
	grantingTime = 2 * time.Second
)

// Contact records whether a home is in contact with the other nodes of its zone. A home that is cut off from them must not
// grant at the full rate, because another node stands in for it.
type Contact struct {
	heard, granted time.Time
	isolated       bool
}

// Heard records a message from another node of the zone and reports whether the node counted as isolated.
func (c *Contact) Heard(now time.Time) (changed bool) {
	changed = c.isolated
	c.heard, c.isolated = now, false
	return changed
}

// Granted records that the node has granted a token as a home to itself.
func (c *Contact) Granted(now time.Time) { c.granted = now }

// Isolated reports whether the node is cut off.
func (c *Contact) Isolated() bool { return c.isolated }

// MustProbe reports whether the contact must be checked now.
func (c *Contact) MustProbe(now time.Time) bool {
	return c.isolated || now.Sub(c.granted) <= grantingTime && now.Sub(c.heard) > contactTime
}

// Fail records that no probe was answered and reports whether the node did not count as isolated before.
func (c *Contact) Fail() (changed bool) {
	changed = !c.isolated
	c.isolated = true
	return changed
}
