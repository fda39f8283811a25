package idempotency

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
)

// Key is the digest of a service and an idempotency key. The callers' own keys are neither stored nor sent to other
// nodes.
type Key [16]byte

// NewKey returns the Key for a caller's key.
func NewKey(service, key string) Key {
	h := sha256.New()
	h.Write([]byte(service))
	h.Write([]byte{0})
	h.Write([]byte(key))
	var k Key
	copy(k[:], h.Sum(nil))
	return k
}

// String returns the name of the key's claim object on the platform.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

func hashID(id membership.InstanceID) uint64 { return xxhash.Sum64String(string(id)) }

// rendezvousScore is the rendezvous hash of a key and a member. The member with the highest score comes first.
func rendezvousScore(key Key, memberHash uint64) uint64 {
	var b [16]byte
	copy(b[:8], key[:8])
	binary.LittleEndian.PutUint64(b[8:], memberHash)
	return xxhash.Sum64(b[:])
}

// noSecond is the second holder of a pair if the service has only one instance.
const noSecond = -1

// pair is the two holders of a key at one moment, by their index in the membership history.
type pair struct{ home, second int }

// Plan lists the pairs of holders at which a run of one key must be claimed.
type Plan struct {
	history *MembershipHistory
	pairs   []pair
	// pairSet is the set of pairs, if there are more than maxListedPairs of them.
	pairSet map[pair]bool
}

// maxListedPairs is the number of pairs up to which searching the slice is faster than a map.
const maxListedPairs = 16

// Plan returns every pair that some node may have taken for the holders of the key during the window.
func (h *MembershipHistory) Plan(key Key) Plan {
	order := h.rendezvousOrder(key)
	p := Plan{history: h, pairs: make([]pair, 0, 4)}
	for _, e := range h.presenceSets {
		p.addPresenceSet(order, e)
	}
	return p
}

// rendezvousOrder returns the members, by index, in rendezvous order for the key.
func (h *MembershipHistory) rendezvousOrder(key Key) []int {
	type ranked struct {
		score uint64
		index int
	}
	all := make([]ranked, len(h.members))
	for i := range h.members {
		all[i] = ranked{rendezvousScore(key, h.members[i].hash), i}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.index, b.index))
	})
	order := make([]int, len(all))
	for i, a := range all {
		order[i] = a.index
	}
	return order
}

// addPresenceSet adds the pairs that result from all certain members together with any subset of the possible members.
func (p *Plan) addPresenceSet(order []int, e presenceSet) {
	for i, h := range order {
		if e[h] == absent {
			continue
		}
		p.addPairsOfHome(h, order[i+1:], e)
		if e[h] == certain {
			return
		}
	}
}

// addPairsOfHome adds the pairs of a home with each member that may be its second holder: the next member in another
// availability zone or, if all members may be in one zone, the next in the same zone.
func (p *Plan) addPairsOfHome(h int, rest []int, e presenceSet) {
	home := &p.history.members[h].instance
	for _, sameZone := range []bool{false, true} {
		for _, j := range rest {
			other := &p.history.members[j].instance
			if e[j] == absent || other.ID == home.ID || (other.AvailabilityZone == home.AvailabilityZone) != sameZone {
				continue
			}
			p.add(pair{h, j})
			if e[j] == certain {
				return
			}
		}
	}
	p.add(pair{h, noSecond})
}

func (p *Plan) add(q pair) {
	if p.pairSet == nil && len(p.pairs) < maxListedPairs {
		if !slices.Contains(p.pairs, q) {
			p.pairs = append(p.pairs, q)
		}
		return
	}
	if p.pairSet == nil {
		p.pairSet = make(map[pair]bool)
		for _, old := range p.pairs {
			p.pairSet[old] = true
		}
	}
	if !p.pairSet[q] {
		p.pairSet[q] = true
		p.pairs = append(p.pairs, q)
	}
}

// Holders returns the members, by index, at which a claim must be tried.
func (p *Plan) Holders() []int {
	var out []int
	add := func(i int) {
		if i != noSecond && p.history.members[i].status == HolderReachable && !slices.Contains(out, i) {
			out = append(out, i)
		}
	}
	for _, q := range p.pairs {
		add(q.home)
		add(q.second)
	}
	return out
}

// Decision is what the claims at the holders of a plan allow.
type Decision uint8

// Decisions, from the best to the worst.
const (
	// DecisionRun: the claims suffice.
	DecisionRun Decision = iota
	// DecisionNeedsPlatform: a claim on the platform is needed as well.
	DecisionNeedsPlatform
	// DecisionUnavailable: too few holders granted the claim; the request must not run now.
	DecisionUnavailable
	// DecisionRecordLost: a record of an earlier run may have been lost; the outcome is unknown.
	DecisionRecordLost
)

// Evaluate returns the decision for the status of each member after the claims. For each pair, two of the home, the
// second holder and the platform must hold the claim. A member that handed over counts as holding it, because the plan
// also contains the pairs without it.
func (p *Plan) Evaluate(status func(index int) HolderStatus) Decision {
	worst := DecisionRun
	for _, q := range p.pairs {
		worst = max(worst, evaluatePair(q, status))
	}
	if !p.history.hasCertainMember {
		worst = max(worst, DecisionUnavailable)
	}
	return worst
}

func evaluatePair(q pair, status func(int) HolderStatus) Decision {
	home, second := status(q.home), HolderRecordsLost
	if q.second != noSecond {
		second = status(q.second)
	}
	homeHeld, secondHeld := home == HolderHasRecord || home == HolderHandedOver,
		second == HolderHasRecord || second == HolderHandedOver
	switch {
	case homeHeld && (secondHeld || q.second == noSecond):
		return DecisionRun
	case homeHeld || secondHeld:
		return DecisionNeedsPlatform
	case home == HolderRecordsLost && second == HolderRecordsLost:
		return DecisionRecordLost
	}
	return DecisionUnavailable
}

// initialStatus returns what is known of a member before any claim.
func (p *Plan) initialStatus(i int) HolderStatus { return p.history.members[i].status }

// bestDecision returns the decision for the case that every reachable holder grants the claim.
func (p *Plan) bestDecision() Decision {
	return p.Evaluate(func(i int) HolderStatus {
		if s := p.initialStatus(i); s != HolderReachable {
			return s
		}
		return HolderHasRecord
	})
}
