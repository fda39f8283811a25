package relay

import (
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
	"github.com/monsoonlatch/monsoonlatch/pkg/syncer"
)

// tenth is the unit of poll ages between relays.
const tenth = 100 * time.Millisecond

// poller is what a relay knows about one node of its zone, or of another zone that polls here.
type poller struct {
	instance membership.Instance
	config   syncer.ConfigState
	at       time.Time
	// own is set if the last poll came to this relay, not to another one that reported it.
	own bool
}

// polls records when nodes polled. It is pure and not safe for concurrent use.
type polls struct {
	// floor is the earliest time from which missed polls count: the start of the duty or the end of a pause.
	floor time.Time
	nodes map[membership.InstanceID]*poller
}

func newPolls(now time.Time) *polls {
	return &polls{floor: now, nodes: make(map[membership.InstanceID]*poller)}
}

// polled notes a poll at this relay and reports whether the node's state has changed.
func (p *polls) polled(now time.Time, i membership.Instance, c syncer.ConfigState) bool {
	old, ok := p.nodes[i.ID]
	p.nodes[i.ID] = &poller{instance: i, config: c, at: now, own: true}
	return !ok || !old.own || old.config != c || old.instance.State != i.State
}

// record returns the record of a node as it last polled here, or nil.
func (p *polls) record(id membership.InstanceID) *membership.Instance {
	e, ok := p.nodes[id]
	if !ok || e.instance.Incarnation == 0 {
		return nil
	}
	i := e.instance
	return &i
}

// reported notes a poll at another relay, age ago.
func (p *polls) reported(now time.Time, id membership.InstanceID, age time.Duration) {
	at := now.Add(-age)
	e, ok := p.nodes[id]
	if !ok {
		p.nodes[id] = &poller{instance: membership.Instance{ID: id}, at: at}
	} else if at.After(e.at) {
		e.at, e.own = at, false
	}
}

// ages returns the polls at this relay that select selects, for another relay.
func (p *polls) ages(now time.Time, selects func(membership.Instance) bool) []syncer.PollAge {
	var out []syncer.PollAge
	for id, e := range p.nodes {
		if age := now.Sub(e.at); e.own && age < syncer.DepartureTimeout && selects(e.instance) {
			out = append(out, syncer.PollAge{ID: id, Tenths: uint16(age / tenth)})
		}
	}
	return out
}

// overdue returns the members that have not polled any relay for DepartureTimeout. Without contact to the other relay
// of the zone, only nodes that last polled here are judged: the others may poll there.
func (p *polls) overdue(now time.Time, members []membership.Record, otherHeard bool) []membership.Instance {
	var out []membership.Instance
	for _, r := range members {
		last := now.Add(-r.JoinedAge)
		own := otherHeard
		if e, ok := p.nodes[r.Instance.ID]; ok {
			last, own = later(last, e.at), own || e.own
		}
		if own && now.Sub(later(last, p.floor)) > syncer.DepartureTimeout {
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

// forget drops nodes that have not polled for longer than keep.
func (p *polls) forget(now time.Time, keep time.Duration) {
	for id, e := range p.nodes {
		if now.Sub(e.at) > keep {
			delete(p.nodes, id)
		}
	}
}
