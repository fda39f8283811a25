package relay

import (
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
	"github.com/monsoonlatch/monsoonlatch/pkg/syncer"
)

// pollAgeUnit is the unit in which relays send poll ages to each other.
const pollAgeUnit = 100 * time.Millisecond

// nodePoll is what a relay knows about the last poll of a node, of its own zone or of another one.
type nodePoll struct {
	instance membership.Instance
	config   syncer.ConfigState
	lastPoll time.Time
	// polledHere is set if the node last polled this relay, and not another relay that reported the poll.
	polledHere bool
}

// pollTracker tracks when nodes last polled. It does no I/O and is not safe for concurrent use.
type pollTracker struct {
	// countFrom is the time from which missed polls count: the end of the grace period after the relay's start, or of a
	// pause.
	countFrom time.Time
	nodes     map[membership.InstanceID]*nodePoll
}

func newPollTracker(countFrom time.Time) *pollTracker {
	return &pollTracker{countFrom: countFrom, nodes: make(map[membership.InstanceID]*nodePoll)}
}

// recordPoll records a poll of this relay and reports whether the status of the node has changed.
func (p *pollTracker) recordPoll(now time.Time, i membership.Instance, c syncer.ConfigState) bool {
	old, ok := p.nodes[i.ID]
	p.nodes[i.ID] = &nodePoll{instance: i, config: c, lastPoll: now, polledHere: true}
	return !ok || !old.polledHere || old.config != c || old.instance.State != i.State
}

// lastRecord returns the membership record that a node sent in its last poll of this relay, or nil if there is none.
func (p *pollTracker) lastRecord(id membership.InstanceID) *membership.Instance {
	e, ok := p.nodes[id]
	if !ok || e.instance.Incarnation == 0 {
		return nil
	}
	i := e.instance
	return &i
}

// recordReportedPoll records a poll that another relay received the given time ago.
func (p *pollTracker) recordReportedPoll(now time.Time, id membership.InstanceID, age time.Duration) {
	at := now.Add(-age)
	e, ok := p.nodes[id]
	if !ok {
		p.nodes[id] = &nodePoll{instance: membership.Instance{ID: id}, lastPoll: at}
	} else if at.After(e.lastPoll) {
		e.lastPoll, e.polledHere = at, false
	}
}

// ages returns the ages of the last polls of this relay by the nodes that filter selects, to be sent to another relay.
func (p *pollTracker) ages(now time.Time, filter func(membership.Instance) bool) []syncer.PollAge {
	var out []syncer.PollAge
	for id, e := range p.nodes {
		if age := now.Sub(e.lastPoll); e.polledHere && age < syncer.DepartureTimeout && filter(e.instance) {
			out = append(out, syncer.PollAge{ID: id, Tenths: uint16(age / pollAgeUnit)})
		}
	}
	return out
}

// overdue returns the members that have not polled any relay for DepartureTimeout. If the polls of other relays may not
// be known (allPollsKnown is false), it considers only the nodes that last polled this relay; the others may poll
// another relay.
func (p *pollTracker) overdue(now time.Time, members []membership.Record, allPollsKnown bool) []membership.Instance {
	var out []membership.Instance
	for _, r := range members {
		last := now.Add(-r.JoinedAge)
		eligible := allPollsKnown
		if e, ok := p.nodes[r.Instance.ID]; ok {
			last, eligible = later(last, e.lastPoll), eligible || e.polledHere
		}
		if eligible && now.Sub(later(last, p.countFrom)) > syncer.DepartureTimeout {
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

// forget removes the nodes that have not polled for longer than retention.
func (p *pollTracker) forget(now time.Time, retention time.Duration) {
	for id, e := range p.nodes {
		if now.Sub(e.lastPoll) > retention {
			delete(p.nodes, id)
		}
	}
}
