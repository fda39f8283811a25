package idempotency

import (
	"slices"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
)

// Standing is what a claimant can expect of a member as a holder of records.
type Standing uint8

// Standings of a member.
const (
	// StandingReachable: the member is live, a claim at it can be tried.
	StandingReachable Standing = iota
	// StandingHeld: the member has granted the claim.
	StandingHeld
	// StandingHandedOver: the member departed and gave its records to the pairs that follow without it.
	StandingHandedOver
	// StandingUnreachable: the member is not known to have departed, but holds no claim for the claimant.
	StandingUnreachable
	// StandingLost: the member departed with its records.
	StandingLost
)

// presence tells whether a member belonged to the service at one moment.
type presence uint8

const (
	absent presence = iota
	// possible: other nodes may have seen the member or not, since news travels for up to the slack.
	possible
	certain
)

// news is a change of the membership as this node has learned it.
type news struct {
	learned time.Time
	// undated states that the change may be much older than the news of it.
	undated bool
}

// happened tells whether the change had happened by at. Dated news lags behind by at most slack.
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
	// home states that the member may be chosen as a home now.
	home bool
	// joined and departed are when the changes were learned; departed is zero for a live member.
	joined, departed news
}

// epoch is a stretch of time in which the presence of all members, by index, is the same.
type epoch []presence

// Roster is the membership of one service over a window, prepared for the plans of many keys. It is immutable.
type Roster struct {
	members []member
	epochs  []epoch
	// settled states that a member is certain in the last epoch, so that runs of now share a pair with later runs.
	settled bool
	builtAt time.Time
	since   time.Time
}

// Timing holds the durations that the plan depends on.
type Timing struct {
	// Window is how long two runs of one key must be kept apart.
	Window time.Duration
	// Slack bounds the time from a change of the membership to its arrival at every node whose membership counts as
	// complete. It also bounds the time from a claim to the run.
	Slack time.Duration
	// Settle is how long an instance is a member before it is chosen as a home.
	Settle time.Duration
	// Reuse is how long a roster may be used after it was built.
	Reuse time.Duration
}

// Memory is how long a departure matters. An earlier run was planned up to Slack before it ran, with a roster up to
// Reuse old, for the membership of Slack before that.
func (t Timing) Memory() time.Duration { return t.Window + 2*t.Slack + t.Reuse }

// NewRoster prepares the membership that spans describe at now, as self sees it. since is when the membership became
// complete.
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
	// What a node learns as it synchronises is older than that, unless the relay told its age.
	undated := func(learned time.Time) bool {
		return !own && !learned.Before(since) && !learned.After(since.Add(settle))
	}
	m.joined = news{s.Joined, undated(s.Joined)}
	m.departed = news{s.Departed, undated(s.Departed)}
	return m
}

// chooseHomes leaves out members that joined after settled, unless there is no other.
func (r *Roster) chooseHomes(settled time.Time) {
	old := func(m member) bool { return m.home && !m.joined.learned.After(settled) }
	if !slices.ContainsFunc(r.members, old) {
		return
	}
	for i := range r.members {
		r.members[i].home = old(r.members[i])
	}
}

// buildEpochs lists the distinct presences at all moments from from to to.
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

// presenceAt tells who was a member at a moment. Members that handed over are never certain: plans must also hold for
// the set without them.
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

// Home returns the member that keyed requests of the key go to: the first in rendezvous order that is ready. Load
// and health have no say in it.
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

// Departed reports whether the claimant's incarnation is known to be over.
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

// Find returns the live member with the claimant's identity.
func (r *Roster) Find(c Claimant) (membership.Instance, bool) {
	for _, m := range r.members {
		if m.instance.ID == c.ID && m.instance.Incarnation == c.Incarnation && m.standing <= StandingHeld {
			return m.instance, true
		}
	}
	return membership.Instance{}, false
}
