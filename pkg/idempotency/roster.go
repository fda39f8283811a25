package idempotency

import (
	"slices"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
)

// Standing tells whether a member holds or can hold the record of a claimed key.
type Standing uint8

// Standings of a member.
const (
	// StandingReachable: the member is live and can be asked for a claim.
	StandingReachable Standing = iota
	// StandingHeld: the member has granted the claim or accepted the record.
	StandingHeld
	// StandingHandedOver: the member departed after it had handed over its records to the pairs that follow without it.
	StandingHandedOver
	// StandingUnreachable: the member is not known to have departed, but did not grant the claim or cannot be reached.
	StandingUnreachable
	// StandingLost: the member departed without handing over its records.
	StandingLost
)

// presence tells whether an instance was a member of the service at one moment.
type presence uint8

const (
	absent presence = iota
	// possible: some nodes may have seen the member and others not, since a change reaches nodes up to Slack later.
	possible
	certain
)

// news is the time at which this node learned of a membership change.
type news struct {
	learned time.Time
	// undated is set if the change may have happened any time before, not only within Slack before learned.
	undated bool
}

// happened tells whether the change had happened by at. Unless n is undated, the change was learned at most slack after
// it happened.
func (n news) happened(at time.Time, slack time.Duration) presence {
	switch {
	case !n.learned.After(at):
		return certain
	case n.undated || !n.learned.After(at.Add(slack)):
		return possible
	}
	return absent
}

type member struct {
	instance membership.Instance
	hash     uint64
	standing Standing
	// home is set if the member can be chosen as a home now.
	home bool
	// joined and departed are the times at which this node learned of the changes; departed is zero for a live member.
	joined, departed news
}

// epoch is the presence of all members, by index, during a period in which none of them changes.
type epoch []presence

// Roster is the membership of one service over Timing.Memory, prepared for computing the plans of many keys. It is
// immutable.
type Roster struct {
	members []member
	epochs  []epoch
	// settled is set if some member was certain Slack ago. Without one, the plan of a run now and that of a later run may
	// have no pair in common.
	settled bool
	builtAt time.Time
	// since is when the membership became complete.
	since time.Time
}

// Timing holds the durations that plans depend on.
type Timing struct {
	// Window is the time within which a key must not run twice.
	Window time.Duration
	// Slack is the longest time that a membership change takes to reach every node whose membership counts as complete.
	// It is also the longest time from a claim to the run.
	Slack time.Duration
	// Settle is how long an instance must have been a member before it is chosen as a home.
	Settle time.Duration
	// Reuse is how long a roster is used after it was built.
	Reuse time.Duration
}

// Memory returns how long after a departure plans still depend on it. An earlier run within Window was planned up to
// Slack before it ran, with a roster up to Reuse old, and for the membership from Slack before that.
func (t Timing) Memory() time.Duration { return t.Window + 2*t.Slack + t.Reuse }

// NewRoster returns the membership that spans describe at now, from the view of self. since is when the membership
// became complete.
func NewRoster(spans []membership.Span, self Claimant, since, now time.Time, t Timing) *Roster {
	from, to := now.Add(-t.Memory()), now.Add(t.Reuse-t.Slack)
	r := &Roster{builtAt: now, since: since, members: make([]member, 0, len(spans))}
	for _, s := range spans {
		if s.Departed.IsZero() || s.Departed.After(from) {
			r.members = append(r.members, newMember(s, self, since, t.Settle))
		}
	}
	r.chooseHomes(now.Add(-t.Settle))
	r.buildEpochs(from, to, t.Slack)
	r.settled = slices.Contains(r.presenceAt(now.Add(-t.Slack), t.Slack), certain)
	return r
}

func newMember(s membership.Span, self Claimant, since time.Time, settle time.Duration) member {
	m := member{instance: s.Instance, hash: hashID(s.Instance.ID)}
	own := s.Instance.ID == self.ID && s.Instance.Incarnation == self.Incarnation
	departed := !s.Departed.IsZero() || s.Instance.State == membership.StateDeparted
	switch {
	case own && !departed:
		m.standing = StandingHeld
	case departed && s.Instance.HandedOver:
		m.standing = StandingHandedOver
	case departed:
		m.standing = StandingLost
	case s.Unreachable:
		m.standing = StandingUnreachable
	}
	m.home = m.standing <= StandingHeld && s.Instance.State == membership.StateReady
	// A change that the node learns of while it synchronises happened at an unknown earlier time, unless the relay sent
	// its age, which puts learned before since.
	undated := func(learned time.Time) bool {
		return !own && !learned.Before(since) && !learned.After(since.Add(settle))
	}
	m.joined = news{s.Joined, undated(s.Joined)}
	m.departed = news{s.Departed, undated(s.Departed)}
	return m
}

// chooseHomes excludes members that joined after settled from the homes, unless there are no others.
func (r *Roster) chooseHomes(settled time.Time) {
	old := func(m member) bool { return m.home && !m.joined.learned.After(settled) }
	if !slices.ContainsFunc(r.members, old) {
		return
	}
	for i := range r.members {
		r.members[i].home = old(r.members[i])
	}
}

// buildEpochs sets epochs to the distinct presences from time from to time to.
func (r *Roster) buildEpochs(from, to time.Time, slack time.Duration) {
	moments := []time.Time{from, to}
	for _, m := range r.members {
		for _, n := range []news{m.joined, m.departed} {
			for _, at := range []time.Time{n.learned, n.learned.Add(-slack)} {
				if at.After(from) && at.Before(to) {
					moments = append(moments, at)
				}
			}
		}
	}
	slices.SortFunc(moments, time.Time.Compare)
	for _, at := range moments {
		e := r.presenceAt(at, slack)
		if n := len(r.epochs); n == 0 || !slices.Equal(r.epochs[n-1], e) {
			r.epochs = append(r.epochs, e)
		}
	}
}

// presenceAt returns the presence of all members at a moment. Members that handed over are never certain: plans must
// also contain the pairs without them.
func (r *Roster) presenceAt(at time.Time, slack time.Duration) epoch {
	e := make(epoch, len(r.members))
	for i, m := range r.members {
		joined, gone := m.joined.happened(at, slack), absent
		if !m.departed.learned.IsZero() {
			gone = m.departed.happened(at, slack)
		}
		switch {
		case joined == absent || gone == certain:
		case joined == possible || gone == possible || m.standing == StandingHandedOver:
			e[i] = possible
		default:
			e[i] = certain
		}
	}
	return e
}

// Home returns the member to which requests with the key go: the first in rendezvous order that is ready. Load and
// health do not matter.
func (r *Roster) Home(key Key) (membership.Instance, bool) {
	best, bestScore := -1, uint64(0)
	for i := range r.members {
		if !r.members[i].home {
			continue
		}
		if s := score(key, r.members[i].hash); best < 0 || s > bestScore {
			best, bestScore = i, s
		}
	}
	if best < 0 {
		return membership.Instance{}, false
	}
	return r.members[best].instance, true
}

// Departed reports whether the claimant's incarnation is known to have departed or to have been replaced.
func (r *Roster) Departed(c Claimant) bool {
	for _, m := range r.members {
		if m.instance.ID != c.ID {
			continue
		}
		if m.instance.Incarnation > c.Incarnation {
			return true
		}
		if m.instance.Incarnation == c.Incarnation {
			return m.standing == StandingLost || m.standing == StandingHandedOver
		}
	}
	return false
}

// Find returns the live and reachable member with the claimant's ID and incarnation.
func (r *Roster) Find(c Claimant) (membership.Instance, bool) {
	for _, m := range r.members {
		if m.instance.ID == c.ID && m.instance.Incarnation == c.Incarnation && m.standing <= StandingHeld {
			return m.instance, true
		}
	}
	return membership.Instance{}, false
}
