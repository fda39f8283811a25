package idempotency

import (
	"slices"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
)

// HolderStatus tells whether a member holds or can hold the record of a claimed key.
type HolderStatus uint8

// Statuses of a member.
const (
	// HolderReachable: the member is live and can be asked for a claim.
	HolderReachable HolderStatus = iota
	// HolderHasRecord: the member has granted the claim or accepted the record.
	HolderHasRecord
	// HolderHandedOver: the member departed after it had handed over its records to the pairs that follow without it.
	HolderHandedOver
	// HolderUnreachable: the member is not known to have departed, but did not grant the claim or cannot be reached.
	HolderUnreachable
	// HolderRecordsLost: the member departed without handing over its records.
	HolderRecordsLost
)

// presence tells whether an instance was a member of the service, or a change had happened, at one moment.
type presence uint8

const (
	absent presence = iota
	// possible: some nodes may have seen the member and others not, since a change reaches nodes up to MaxMembershipLag
	// later.
	possible
	certain
)

// observedChange is the time at which this node learned of a membership change.
type observedChange struct {
	learnedAt time.Time
	// ageUnknown is set if the change may have happened any time before, not only within MaxMembershipLag before
	// learnedAt.
	ageUnknown bool
}

// happenedBy returns certain if the change had happened by at, absent if it had not, and possible if this is not known.
// Unless ageUnknown is set, the change was learned at most maxLag after it happened.
func (c observedChange) happenedBy(at time.Time, maxLag time.Duration) presence {
	switch {
	case !c.learnedAt.After(at):
		return certain
	case c.ageUnknown || !c.learnedAt.After(at.Add(maxLag)):
		return possible
	}
	return absent
}

type member struct {
	instance membership.Instance
	hash     uint64
	status   HolderStatus
	// homeCandidate is set if the member can be chosen as a home now.
	homeCandidate bool
	// joined and departed are the times at which this node learned of the changes; departed is zero for a live member.
	joined, departed observedChange
}

// presenceSet is the presence of all members, by index, during a period in which none of them changes.
type presenceSet []presence

// MembershipHistory is the membership of one service over Timing.HistoryRetention, prepared for computing the plans of
// many keys. It is immutable.
type MembershipHistory struct {
	members      []member
	presenceSets []presenceSet
	// hasCertainMember is set if the presence of some member MaxMembershipLag ago is certain. Without one, the plan of a
	// run now and that of a later run may have no pair in common.
	hasCertainMember bool
	builtAt          time.Time
	// completeSince is the time since which the membership has been complete.
	completeSince time.Time
}

// Timing holds the durations that plans depend on.
type Timing struct {
	// Window is the time within which a key must not run twice.
	Window time.Duration
	// MaxMembershipLag is the longest time that a membership change takes to reach every node whose membership counts as
	// complete. It is also the longest time from a claim to the run.
	MaxMembershipLag time.Duration
	// SettlingTime is how long an instance must have been a member before it is chosen as a home.
	SettlingTime time.Duration
	// MaxAge is how long a membership history is used after it was built.
	MaxAge time.Duration
}

// HistoryRetention returns how long after a departure plans still depend on it. An earlier run within Window was
// planned up to MaxMembershipLag before it ran, with a membership history up to MaxAge old, and for the membership from
// MaxMembershipLag before that.
func (t Timing) HistoryRetention() time.Duration { return t.Window + 2*t.MaxMembershipLag + t.MaxAge }

// NewMembershipHistory returns the membership that spans describe at now, from the view of self. The membership has
// been complete since the given time.
func NewMembershipHistory(spans []membership.Span, self Claimant, since, now time.Time, t Timing) *MembershipHistory {
	from, to := now.Add(-t.HistoryRetention()), now.Add(t.MaxAge-t.MaxMembershipLag)
	h := &MembershipHistory{builtAt: now, completeSince: since, members: make([]member, 0, len(spans))}
	for _, s := range spans {
		if s.Departed.IsZero() || s.Departed.After(from) {
			h.members = append(h.members, newMember(s, self, since, t.SettlingTime))
		}
	}
	h.chooseHomes(now.Add(-t.SettlingTime))
	h.buildPresenceSets(from, to, t.MaxMembershipLag)
	h.hasCertainMember = slices.Contains(h.presenceAt(now.Add(-t.MaxMembershipLag), t.MaxMembershipLag), certain)
	return h
}

func newMember(s membership.Span, self Claimant, since time.Time, settlingTime time.Duration) member {
	m := member{instance: s.Instance, hash: hashID(s.Instance.ID)}
	isSelf := s.Instance.ID == self.ID && s.Instance.Incarnation == self.Incarnation
	departed := !s.Departed.IsZero() || s.Instance.State == membership.StateDeparted
	switch {
	case isSelf && !departed:
		m.status = HolderHasRecord
	case departed && s.Instance.HandedOver:
		m.status = HolderHandedOver
	case departed:
		m.status = HolderRecordsLost
	case s.Unreachable:
		m.status = HolderUnreachable
	}
	m.homeCandidate = m.status <= HolderHasRecord && s.Instance.State == membership.StateReady
	// A change that the node learns of while it synchronises happened at an unknown earlier time, unless the relay sent
	// its age, which puts learnedAt before since.
	ageUnknown := func(learned time.Time) bool {
		return !isSelf && !learned.Before(since) && !learned.After(since.Add(settlingTime))
	}
	m.joined = observedChange{s.Joined, ageUnknown(s.Joined)}
	m.departed = observedChange{s.Departed, ageUnknown(s.Departed)}
	return m
}

// chooseHomes excludes members that joined after joinedBy from the homes, unless there are no others.
func (h *MembershipHistory) chooseHomes(joinedBy time.Time) {
	settled := func(m member) bool { return m.homeCandidate && !m.joined.learnedAt.After(joinedBy) }
	if !slices.ContainsFunc(h.members, settled) {
		return
	}
	for i := range h.members {
		h.members[i].homeCandidate = settled(h.members[i])
	}
}

// buildPresenceSets sets presenceSets to the presence sets between the times from and to, in order of time and without
// consecutive duplicates.
func (h *MembershipHistory) buildPresenceSets(from, to time.Time, maxLag time.Duration) {
	moments := []time.Time{from, to}
	for _, m := range h.members {
		for _, n := range []observedChange{m.joined, m.departed} {
			for _, at := range []time.Time{n.learnedAt, n.learnedAt.Add(-maxLag)} {
				if at.After(from) && at.Before(to) {
					moments = append(moments, at)
				}
			}
		}
	}
	slices.SortFunc(moments, time.Time.Compare)
	for _, at := range moments {
		e := h.presenceAt(at, maxLag)
		if n := len(h.presenceSets); n == 0 || !slices.Equal(h.presenceSets[n-1], e) {
			h.presenceSets = append(h.presenceSets, e)
		}
	}
}

// presenceAt returns the presence of all members at a moment. Members that handed over are never certain: plans must
// also contain the pairs without them.
func (h *MembershipHistory) presenceAt(at time.Time, maxLag time.Duration) presenceSet {
	e := make(presenceSet, len(h.members))
	for i, m := range h.members {
		joined, departed := m.joined.happenedBy(at, maxLag), absent
		if !m.departed.learnedAt.IsZero() {
			departed = m.departed.happenedBy(at, maxLag)
		}
		switch {
		case joined == absent || departed == certain:
		case joined == possible || departed == possible || m.status == HolderHandedOver:
			e[i] = possible
		default:
			e[i] = certain
		}
	}
	return e
}

// Home returns the member to which requests with the key go: the first home candidate in rendezvous order. Load and
// health do not matter.
func (h *MembershipHistory) Home(key Key) (membership.Instance, bool) {
	best, bestScore := -1, uint64(0)
	for i := range h.members {
		if !h.members[i].homeCandidate {
			continue
		}
		if s := rendezvousScore(key, h.members[i].hash); best < 0 || s > bestScore {
			best, bestScore = i, s
		}
	}
	if best < 0 {
		return membership.Instance{}, false
	}
	return h.members[best].instance, true
}

// Departed reports whether the claimant's incarnation is known to have departed or to have been replaced.
func (h *MembershipHistory) Departed(c Claimant) bool {
	for _, m := range h.members {
		if m.instance.ID != c.ID {
			continue
		}
		if m.instance.Incarnation > c.Incarnation {
			return true
		}
		if m.instance.Incarnation == c.Incarnation {
			return m.status == HolderRecordsLost || m.status == HolderHandedOver
		}
	}
	return false
}

// FindLive returns the live and reachable member with the claimant's ID and incarnation.
func (h *MembershipHistory) FindLive(c Claimant) (membership.Instance, bool) {
	for _, m := range h.members {
		if m.instance.ID == c.ID && m.instance.Incarnation == c.Incarnation && m.status <= HolderHasRecord {
			return m.instance, true
		}
	}
	return membership.Instance{}, false
}
