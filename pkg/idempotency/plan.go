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

// score is the rendezvous hash of a key and a member. The member with the highest score comes first.
func score(key Key, memberHash uint64) uint64 {
	var b [16]byte
	copy(b[:8], key[:8])
	binary.LittleEndian.PutUint64(b[8:], memberHash)
	return xxhash.Sum64(b[:])
}

// noMember is the second holder of a pair if the service has only one instance.
const noMember = -1

// pair is the two holders of a key at one moment, by their index in the roster.
type pair struct{ home, second int }

// Plan lists the pairs of holders at which a run of one key must be claimed.
type Plan struct {
	roster *Roster
	pairs  []pair
	// seen is the set of pairs, if there are more than maxListedPairs of them.
	seen map[pair]bool
}

// maxListedPairs is the number of pairs up to which searching the slice is faster than a map.
const maxListedPairs = 16

// Plan returns every pair that some node may have taken for the holders of the key during the window.
func (r *Roster) Plan(key Key) Plan {
	order := r.order(key)
	p := Plan{roster: r, pairs: make([]pair, 0, 4)}
	for _, e := range r.epochs {
		p.addEpoch(order, e)
	}
	return p
}

// order returns the members, by index, in rendezvous order for the key.
func (r *Roster) order(key Key) []int {
	type ranked struct {
		score uint64
		index int
	}
	all := make([]ranked, len(r.members))
	for i := range r.members {
		all[i] = ranked{score(key, r.members[i].hash), i}
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

// addEpoch adds the pairs that result from all certain members together with any subset of the possible members.
func (p *Plan) addEpoch(order []int, e epoch) {
	for i, h := range order {
		if e[h] == absent {
			continue
		}
		p.addSeconds(h, order[i+1:], e)
		if e[h] == certain {
			return
		}
	}
}

// addSeconds adds the pairs of a home with each member that may be its second holder: the next member in another
// availability zone or, if all members may be in one zone, the next in the same zone.
func (p *Plan) addSeconds(h int, rest []int, e epoch) {
	home := &p.roster.members[h].instance
	for _, sameZone := range []bool{false, true} {
		for _, j := range rest {
			other := &p.roster.members[j].instance
			if e[j] == absent || other.ID == home.ID || (other.AvailabilityZone == home.AvailabilityZone) != sameZone {
				continue
			}
			p.add(pair{h, j})
			if e[j] == certain {
				return
			}
		}
	}
	p.add(pair{h, noMember})
}

func (p *Plan) add(q pair) {
	if p.seen == nil && len(p.pairs) < maxListedPairs {
		if !slices.Contains(p.pairs, q) {
			p.pairs = append(p.pairs, q)
		}
		return
	}
	if p.seen == nil {
		p.seen = make(map[pair]bool)
		for _, old := range p.pairs {
			p.seen[old] = true
		}
	}
	if !p.seen[q] {
		p.seen[q] = true
		p.pairs = append(p.pairs, q)
	}
}

// Holders returns the members, by index, at which a claim must be tried.
func (p *Plan) Holders() []int {
	var out []int
	add := func(i int) {
		if i != noMember && p.roster.members[i].standing == StandingReachable && !slices.Contains(out, i) {
			out = append(out, i)
		}
	}
	for _, q := range p.pairs {
		add(q.home)
		add(q.second)
	}
	return out
}

// Verdict is what the claims at the holders of a plan allow.
type Verdict uint8

// Verdicts, from the best to the worst.
const (
	// VerdictRun: the claims suffice.
	VerdictRun Verdict = iota
	// VerdictPlatform: a claim on the platform is needed as well.
	VerdictPlatform
	// VerdictUnavailable: too few holders granted the claim; the request must not run now.
	VerdictUnavailable
	// VerdictLost: a record of an earlier run may have been lost; the outcome is unknown.
	VerdictLost
)

// Judge returns the verdict for the standing of each member after the claims. For each pair, two of the home, the
// second holder and the platform must hold the claim. A member that handed over counts as holding it, because the plan
// also contains the pairs without it.
func (p *Plan) Judge(standing func(index int) Standing) Verdict {
	worst := VerdictRun
	for _, q := range p.pairs {
		worst = max(worst, judgePair(q, standing))
	}
	if !p.roster.settled {
		worst = max(worst, VerdictUnavailable)
	}
	return worst
}

func judgePair(q pair, standing func(int) Standing) Verdict {
	home, second := standing(q.home), StandingLost
	if q.second != noMember {
		second = standing(q.second)
	}
	homeHeld, secondHeld := home == StandingHeld || home == StandingHandedOver,
		second == StandingHeld || second == StandingHandedOver
	switch {
	case homeHeld && (secondHeld || q.second == noMember):
		return VerdictRun
	case homeHeld || secondHeld:
		return VerdictPlatform
	case home == StandingLost && second == StandingLost:
		return VerdictLost
	}
	return VerdictUnavailable
}

// standing returns what is known of a member before any claim.
func (p *Plan) standing(i int) Standing { return p.roster.members[i].standing }

// best returns the verdict for the case that every reachable holder grants the claim.
func (p *Plan) best() Verdict {
	return p.Judge(func(i int) Standing {
		if s := p.standing(i); s != StandingReachable {
			return s
		}
		return StandingHeld
	})
}
