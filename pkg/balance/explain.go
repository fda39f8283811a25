package balance

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
)

// Reason is why an instance is passed over for a request.
type Reason uint8

// Reasons for which an instance is passed over.
const (
	// Eligible: the instance may be chosen.
	Eligible Reason = iota
	// NotReady: the instance has not announced itself as ready, or leaves.
	NotReady
	// TriedBefore: an earlier attempt of the request went to the instance.
	TriedBefore
	// Ejected: the instance is avoided for a time after consecutive failures.
	Ejected
	// Unreachable: the instance is avoided for a time after a connection to it has failed.
	Unreachable
	// OnProbation: the instance has one request in flight that shows whether it works again.
	OnProbation
	// ZoneCutOff: the availability zone of the instance counts as cut off.
	ZoneCutOff
	// QueueFull: the instance has refused a request a moment ago because its queue was full.
	QueueFull
	// NotAllowed: Request.Allow leaves the instance out.
	NotAllowed
)

var reasonNames = [...]string{Eligible: "", NotReady: "not_ready", TriedBefore: "tried_before", Ejected: "ejected", Unreachable: "unreachable", OnProbation: "on_probation", ZoneCutOff: "zone_cut_off", QueueFull: "queue_full", NotAllowed: "not_allowed"}

// String returns the name of the reason, which is empty for Eligible.
func (r Reason) String() string { return reasonNames[r] }

// policyKind is the way in which an instance is chosen among those that may be chosen.
type policyKind uint8

const (
	byRandom policyKind = iota
	byLoad
	byExpectedCompletion
)

var policyNames = [...]string{byRandom: "random", byLoad: "load", byExpectedCompletion: "completion"}

// Candidate is an instance with what decides whether a request is sent to it.
type Candidate struct {
	Instance membership.Instance
	// Reason is why the instance is not chosen; Eligible means that it may be.
	Reason Reason
	// LastResort is set if the instance may be chosen only because no other one can take the request; Avoided then tells why it
	// would otherwise be passed over.
	LastResort bool
	Avoided    Reason
	// InFlight is the number of requests of this node at the instance.
	InFlight int
	// Reported is the load that the instance has reported, or nil if no report is fresh, and ReportAge its age.
	Reported  *Load
	ReportAge time.Duration
	// Score is the load with one more request, as a fraction of the capacity.
	Score float64
	// Completion is the time after which the instance is expected to have answered, and Cost that by which instances of a zone
	// are compared. Both are zero unless the choice is by expected completion and the instance may be chosen.
	Completion, Cost time.Duration
}

// Explanation tells how a request would be decided on.
type Explanation struct {
	// Policy is "random", "load" or "completion".
	Policy string
	// Candidates lists all instances of the service, in the order in which they are preferred; those that are passed over come
	// last. The choice among the preferred ones is partly random.
	Candidates []Candidate
}

// Snapshot is an independent copy of what a Picker knows of one service. Its use changes nothing in the Picker. It is not
// safe for concurrent use.
type Snapshot struct{ picker *Picker }

// Snapshot copies what decides on requests of one route of a service. The random source of the copy is its own.
func (p *Picker) Snapshot(name, routeName string) *Snapshot {
	settings := p.settings
	settings.RandomSource = rand.NewPCG(rand.Uint64(), rand.Uint64())
	out := New(settings)
	for zone, z := range p.zones {
		copied := *z
		copied.silent = maps.Clone(z.silent)
		out.zones[zone] = &copied
	}
	if s := p.known[name]; s != nil {
		copied := *s
		copied.routes = make(map[string]*route)
		if rt := s.routes[routeName]; rt != nil {
			known := *rt
			copied.routes[routeName] = &known
		}
		out.known[name] = &copied
	}
	list, ok := p.services[name]
	if !ok {
		return &Snapshot{out}
	}
	copies := make([]instance, len(list))
	out.services[name] = make([]*instance, len(list))
	for i, in := range list {
		copies[i] = *in
		copies[i].routeTimes = slices.Clone(in.routeTimes)
		out.services[name][i], out.byID[in.record.ID] = &copies[i], &copies[i]
	}
	return &Snapshot{out}
}

// Update sets the instances of a service that the Picker does not know yet.
func (s *Snapshot) Update(now time.Time, service string, records []membership.Instance) {
	s.picker.Update(now, service, records)
}

// Learn takes over reports like Picker.Learn.
func (s *Snapshot) Learn(now time.Time, news []News) { s.picker.Learn(now, news) }

// Choose makes the decision of Picker.PickRelated without counting a request in flight.
func (s *Snapshot) Choose(now time.Time, r Request) (membership.Instance, Relation, error) {
	in, relation := s.picker.decide(now, &r)
	if in == nil {
		return membership.Instance{}, relation, ErrNoInstance
	}
	return in.record, relation, nil
}

// Explain tells how Choose decides. It uses the same filters, estimates and comparison of zones; where Choose draws random
// instances, it takes the best of all.
func (s *Snapshot) Explain(now time.Time, r Request) Explanation {
	p := s.picker
	policy := p.policyFor(r.Service)
	e := explainer{Picker: p, now: now, r: &r, policy: policy}
	e.filter()
	e.rank()
	out := Explanation{Policy: policyNames[policy], Candidates: make([]Candidate, 0, len(e.ranked))}
	for _, x := range e.ranked {
		out.Candidates = append(out.Candidates, e.describe(x))
	}
	return out
}

// explained is an instance with its place in the order of preference.
type explained struct {
	in       *instance
	reason   Reason
	last     bool
	avoided  Reason
	estimate candidate
	// group is 0 for the instances of the preferred zones, 1 for the other eligible ones and 2 for those passed over.
	group int
}

type explainer struct {
	*Picker
	now    time.Time
	r      *Request
	policy policyKind
	ranked []explained
}

// filter finds the reason for each instance that is passed over.
func (e *explainer) filter() {
	retry := len(e.r.Exclude) > 0
	list := e.services[e.r.Service]
	reason := func(in *instance, avoidFull bool) Reason {
		switch {
		case e.r.Allow != nil && !e.r.Allow(&in.record):
			return NotAllowed
		case e.policy == byRandom:
			return in.readiness(e.r.Exclude)
		}
		return e.suitability(e.now, in, e.r, e.inOwnZone(in), avoidFull)
	}
	ownUsable := slices.ContainsFunc(list, func(in *instance) bool { return e.inOwnZone(in) && reason(in, retry) == Eligible })
	eligible := false
	for _, in := range list {
		avoidFull := retry || !e.inOwnZone(in) && (ownUsable || e.policy == byExpectedCompletion)
		x := explained{in: in, reason: reason(in, avoidFull)}
		eligible = eligible || x.reason == Eligible
		e.ranked = append(e.ranked, x)
	}
	if eligible || retry {
		return
	}
	for i := range e.ranked {
		if x := &e.ranked[i]; x.reason != NotAllowed && x.in.ready(nil) {
			x.last, x.avoided, x.reason = true, x.reason, Eligible
		}
	}
}

// rank sorts the instances by preference.
func (e *explainer) rank() {
	var own, other []*instance
	for _, x := range e.ranked {
		if x.reason != Eligible || x.last {
			continue
		}
		if e.inOwnZone(x.in) {
			own = append(own, x.in)
		} else {
			other = append(other, x.in)
		}
	}
	stays := true
	estimates := make(map[*instance]candidate)
	switch e.policy {
	case byLoad:
		stays = e.staysByLoad(own, other)
	case byExpectedCompletion:
		stays = e.staysByCompletion(own, other, estimates)
	}
	for i := range e.ranked {
		x := &e.ranked[i]
		x.estimate = estimates[x.in]
		switch {
		case x.reason != Eligible:
			x.group = 2
		case !x.last && e.policy != byRandom && e.inOwnZone(x.in) != stays:
			x.group = 1
		}
	}
	slices.SortStableFunc(e.ranked, func(a, b explained) int {
		return cmp.Or(cmp.Compare(a.group, b.group), cmp.Compare(a.estimate.cost, b.estimate.cost),
			cmp.Compare(a.in.score(e.now, e.settings.SlowStart), b.in.score(e.now, e.settings.SlowStart)),
			cmp.Compare(a.in.latency, b.in.latency), cmp.Compare(a.in.record.ID, b.in.record.ID))
	})
}

// staysByLoad reports whether the least loaded instance of the own zone is preferred to that of the others.
func (e *explainer) staysByLoad(own, other []*instance) bool {
	least := func(list []*instance) (best *instance) {
		for _, in := range list {
			best = e.lessLoaded(e.now, best, in)
		}
		return best
	}
	a, b := least(own), least(other)
	if a != nil && e.answersInTime(e.now, a, e.r) {
		return true
	}
	best := e.betterZone(e.now, a, b, e.r)
	return best == nil || e.inOwnZone(best)
}

// staysByCompletion estimates the completions and reports whether the best instance of the own zone is preferred to that of
// the others.
func (e *explainer) staysByCompletion(own, other []*instance, estimates map[*instance]candidate) bool {
	s := e.known[e.r.Service]
	rt := s.routes[e.r.Route]
	s.updateLoad(e.now, e.services[e.r.Service], e.settings.AvailabilityZone)
	best := func(list []*instance, assumed float64) (candidate, bool) {
		if len(list) == 0 {
			return candidate{}, false
		}
		candidates, i := e.estimate(e.now, list, rt, e.r, assumed)
		for _, c := range candidates {
			estimates[c.in] = c
		}
		return candidates[i], true
	}
	a, ok := best(own, s.zoneLoad)
	b, otherOK := best(other, s.usualLoad)
	if ok && a.meetsTarget(e.r) {
		return true
	}
	in, _ := e.betterCompletion(a, ok, b, otherOK, rt, e.r)
	return in == nil || e.inOwnZone(in)
}

// describe returns the candidate that operators see.
func (e *explainer) describe(x explained) Candidate {
	c := Candidate{Instance: x.in.record, Reason: x.reason, LastResort: x.last, Avoided: x.avoided, InFlight: x.in.inFlight,
		Score: x.in.score(e.now, e.settings.SlowStart), Completion: x.estimate.completion, Cost: x.estimate.cost}
	if age := e.now.Sub(x.in.reportedAt); age < maxLoadAge {
		load := x.in.reported
		c.Reported, c.ReportAge = &load, max(age, 0)
	}
	return c
}
