package relay

import (
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
	"github.com/monsoonlatch/monsoonlatch/pkg/syncer"
)

// tenth is the unit in which relays send poll ages to each other.
const tenth = 100 * time.Millisecond

// poller is what a relay knows about the last poll of a node, of its own zone or of another one.
type poller struct {
	instance membership.Instance
	config   syncer.ConfigState
	at       time.Time
	// own is set if the node last polled this relay, and not another relay that reported the poll.
	own bool
}

// polls tracks when nodes last polled. It does no I/O and is not safe for concurrent use.
type polls struct {
	// floor is the time from which missed polls count: the end of the grace period after the relay's start, or of a pause.
	floor time.Time
	nodes map[membership.InstanceID]*poller
}

func newPolls(now time.Time) *polls {
	return &polls{floor: now, nodes: make(map[membership.InstanceID]*poller)}
}

// polled records a poll of this relay and reports whether the status of the node has changed.
func (p *polls) polled(now time.Time, i membership.Instance, c syncer.ConfigState) bool {
	old, ok := p.nodes[i.ID]
	p.nodes[i.ID] = &poller{instance: i, config: c, at: now, own: true}
	return !ok || !old.own || old.config != c || old.instance.State != i.State
}

// record returns the membership record that a node sent in its last poll of this relay, or nil if there is none.
func (p *polls) record(id membership.InstanceID) *membership.Instance {
	e, ok := p.nodes[id]
	if !ok || e.instance.Incarnation == 0 {
		return nil
	}
	i := e.instance
	return &i
}

// reported records a poll that another relay received the given time ago.
func (p *polls) reported(now time.Time, id membership.InstanceID, age time.Duration) {
	at := now.Add(-age)
	e, ok := p.nodes[id]
	if !ok {
		p.nodes[id] = &poller{instance: membership.Instance{ID: id}, at: at}
	} else if at.After(e.at) {
		e.at, e.own = at, false
	}
}

// ages returns the ages of the last polls of this relay by the nodes that selects accepts, to be sent to another relay.
func (p *polls) ages(now time.Time, selects func(membership.Instance) bool) []syncer.PollAge {
	var out []syncer.PollAge
	for id, e := range p.nodes {
		if age := now.Sub(e.at); e.own && age < syncer.MissedPolls && selects(e.instance) {
			out = append(out, syncer.PollAge{ID: id, Tenths: uint16(age / tenth)})
		}
	}
	return out
}

// overdue returns the members that have not polled any relay for MissedPolls. If the polls of the sibling are not known
// (otherHeard is false), it considers only the nodes that last polled this relay; the others may poll the sibling.
func (p *polls) overdue(now time.Time, members []membership.Record, otherHeard bool) []membership.Instance {
	var out []membership.Instance
	for _, r := range members {
		last := now.Add(-r.JoinedAge)
		own := otherHeard
		if e, ok := p.nodes[r.Instance.ID]; ok {
			last, own = later(last, e.at), own || e.own
		}
		if own && now.Sub(later(last, p.floor)) > syncer.MissedPolls {
			out = append(out, r.Instance)
		}
	}
	return out
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// forget removes the nodes that have not polled for longer than keep.
func (p *polls) forget(now time.Time, keep time.Duration) {
	for id, e := range p.nodes {
		if now.Sub(e.at) > keep {
			delete(p.nodes, id)
		}
	}
}
