// Package balance chooses the instance that a request is sent to. It does no I/O; the time and the random source are
// passed in. A Picker is not safe for concurrent use.
package balance

import (
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/config"
	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
)

// Defaults of Settings.
const (
	// DefaultSlowStart is the time in which a cold instance reaches its full share of requests.
	DefaultSlowStart = 10 * time.Second
	// minSlowStartFactor is the factor on the capacity of a cold instance at the beginning of the slow start.
	minSlowStartFactor = 0.1
	// DefaultSpilloverLoad is the load from which other availability zones are considered for a request without a latency
	// target. It applies to the less loaded of two random instances of the own zone. Below it a request stays in the zone,
	// which avoids the latency between zones.
	DefaultSpilloverLoad = 0.8
	// targetMargin is the part of the time left until the latency target that the expected response time may take; the
	// rest is for the variation of service times.
	targetMargin = 0.5
	// DefaultFailureThreshold is the number of consecutive failures that eject an instance. An instance that cannot be
	// reached is avoided after one failed connection, for the same time.
	DefaultFailureThreshold = 5
	// DefaultBaseEjection is the length of the first ejection; each further one is twice as long, up to MaxEjection.
	DefaultBaseEjection = 2 * time.Second
	MaxEjection         = 30 * time.Second
	// maxLoadAge is how long a reported load is used. An older report says little in an overload that builds up within a
	// second.
	maxLoadAge = time.Second
)

// ErrNoInstance is returned when no instance can take the request.
var ErrNoInstance = errors.New("balance: no instance of the service can take the request")

// Settings configure a Picker. Zero values mean the defaults.
type Settings struct {
	AvailabilityZone string
	SlowStart        time.Duration
	SpilloverLoad    float64
	// ZonePreference is the amount, as a fraction of the capacity, by which the load of an instance in another zone must
	// be lower for a request to leave its zone. When all zones are full, leaving the zone only adds latency.
	ZonePreference float64
	// LateZonePreference replaces ZonePreference for a request that is expected to miss its latency target in the other
	// zone as well: leaving the zone gains its caller little.
	LateZonePreference float64
	FailureThreshold   int
	BaseEjection       time.Duration
	// Completion configures the choice by expected completion; its zero value turns it off.
	Completion Completion
	// Self is the instance on the same VM, if any: answers of it are not transferred between VMs.
	Self membership.InstanceID
	// Random chooses a random ready instance, whatever its load, zone or failures, as a baseline for comparison.
	Random       bool
	RandomSource rand.Source
}

// Request describes the request that an instance is chosen for.
type Request struct {
	Service string
	// Rank is the priority rank. Requests of one rank have similar service times.
	Rank int
	// TargetLeft is the time left until the latency target, negative if it has been missed; zero means that the request
	// has no target.
	TargetLeft time.Duration
	// DeadlineLeft is the time left until the deadline; zero means that it is not known.
	DeadlineLeft time.Duration
	// Route tells requests of one rank apart whose service times or response sizes differ; it may be empty.
	Route string
	// Bytes is the size of the request body.
	Bytes int
	// Exclude lists the instances that were tried before.
	Exclude []membership.InstanceID
	// Allow, if set, limits the choice to the instances for which it returns true.
	Allow func(*membership.Instance) bool
}

// Event is what an attempt showed about the instance.
type Event uint8

// Events of an attempt.
const (
	// EventAnswered: the instance responded with a status below 500.
	EventAnswered Event = iota
	// EventRefused: the node beside the instance refused the request, or all connections that may be opened to it were
	// in use. This is usually due to load and does not count as a failure.
	EventRefused
	// EventFailed: the instance broke the connection, responded too late or sent an invalid response.
	EventFailed
	// EventUnreachable: no connection could be opened, the connection timed out without acknowledged data, or the
	// instance does not accept requests, for example because it is draining.
	EventUnreachable
	// EventAbandoned: the caller went away; this says nothing about the instance.
	EventAbandoned
	// EventErrored: the instance responded with a status of 500 or above, or its backend server rejected the request
	// because of its load. An error of the instance cannot be told from one of a service that it calls, so the instance
	// gets fewer requests than instances with fewer errors, but is not ejected.
	EventErrored
)

// Load is the load of an instance as its egress reports it in a response.
type Load struct {
	InUse  int
	Limit  int
	Queued int
	// Waiting is the number of waiting requests by rank, if ByRank is set.
	Waiting [config.MaxRank + 1]int
	ByRank  bool
	// SlotTime is the average time that a request has used a slot lately; zero if unknown.
	SlotTime time.Duration
	// LinkWait is the time that the VM's link needs for the responses that are on their way to other nodes.
	LinkWait time.Duration
}

// Observation is the result of an attempt.
type Observation struct {
	Event Event
	// Full is set if the node beside the instance refused the request because too many others wait.
	Full bool
	// Silent is set if the host of the instance gave no sign of life during the attempt.
	Silent bool
	// Rank is the rank of the request.
	Rank    int
	Latency time.Duration
	// Route and Bytes are the route of the request, and the size of its body and of that of the response.
	Route string
	Bytes int64
	// RouteTime is the average time that requests of the route have used a slot of the instance lately; zero if unknown.
	RouteTime time.Duration
	// Load is nil if the response reported none.
	Load *Load
}

// Picker chooses instances based on what one ingress observes.
type Picker struct {
	settings Settings
	rng      *rand.Rand
	services map[string][]*instance
	byID     map[membership.InstanceID]*instance
	zones    map[string]*zoneState
	known    map[string]*service
	choice   choice
	// updates counts the calls of Update.
	updates uint64
}

// New returns a Picker without instances.
func New(s Settings) *Picker {
	if s.SlowStart == 0 {
		s.SlowStart = DefaultSlowStart
	}
	if s.SpilloverLoad == 0 {
		s.SpilloverLoad = DefaultSpilloverLoad
	}
	if s.FailureThreshold == 0 {
		s.FailureThreshold = DefaultFailureThreshold
	}
	if s.BaseEjection == 0 {
		s.BaseEjection = DefaultBaseEjection
	}
	if s.RandomSource == nil {
		s.RandomSource = rand.NewPCG(rand.Uint64(), rand.Uint64())
	}
	s.Completion = s.Completion.withDefaults()
	return &Picker{
		known:    make(map[string]*service),
		settings: s, rng: rand.New(s.RandomSource),
		services: make(map[string][]*instance),
		byID:     make(map[membership.InstanceID]*instance),
		zones:    make(map[string]*zoneState),
	}
}

// Update sets the instances of a service. An instance that becomes ready or has restarted begins with a slow start.
// Instances in the first Update of a service do not, since they have been running before.
func (p *Picker) Update(now time.Time, service string, records []membership.Instance) {
	old, known := p.services[service]
	list := make([]*instance, 0, len(records))
	p.updates++
	for i := range records {
		rec := &records[i]
		in := p.byID[rec.ID]
		if in == nil {
			in = &instance{}
			p.byID[rec.ID] = in
		}
		in.update(now, *rec, known)
		in.listedBy = p.updates
		list = append(list, in)
	}
	p.services[service] = list
	p.service(service).setCompact(list, p.settings.Completion.MaxSlots)
	for _, in := range old {
		if in.listedBy != p.updates {
			delete(p.byID, in.record.ID)
		}
	}
}

// HasService reports whether Update has been called for the service.
func (p *Picker) HasService(service string) bool { return p.services[service] != nil }

// Services returns the services that Update has been called for.
func (p *Picker) Services() []string {
	out := make([]string, 0, len(p.services))
	for s := range p.services {
		out = append(out, s)
	}
	return out
}

// Pick chooses an instance of the service that is not in exclude and counts a request in flight there. The caller must
// call Observe afterwards. Ejected and unreachable instances are chosen only on a first attempt and only if there is no
// other one, so that false failure detection cannot leave a service without instances. A retry is not sent to an
// ejected or unreachable instance, because it would only wait for a failure that is expected.
func (p *Picker) Pick(now time.Time, r Request) (membership.Instance, error) {
	in, _, err := p.PickRelated(now, r)
	return in, err
}

// PickRelated is like Pick. It also returns the relation of the instance to the own zone.
func (p *Picker) PickRelated(now time.Time, r Request) (membership.Instance, Relation, error) {
	in, relation := p.decide(now, &r)
	if in == nil {
		return membership.Instance{}, relation, ErrNoInstance
	}
	in.inFlight++
	in.notePick(now)
	p.notePicked(now, in)
	return in.record, relation, nil
}

// decide chooses an instance by the policy that applies to the service.
func (p *Picker) decide(now time.Time, r *Request) (*instance, Relation) {
	list := p.services[r.Service]
	if r.Allow != nil {
		list = slices.DeleteFunc(slices.Clone(list), func(i *instance) bool { return !r.Allow(&i.record) })
	}
	switch p.policyFor(r.Service) {
	case byRandom:
		return p.related(p.pickRandom(list, func(i *instance) bool { return i.ready(r.Exclude) }))
	case byLoad:
		return p.related(p.choose(now, list, r))
	}
	if in, relation := p.byCompletion(now, list, p.known[r.Service], r); in != nil {
		return in, relation
	}
	if len(r.Exclude) > 0 {
		return nil, InZone
	}
	return p.related(p.lastResort(list))
}

// policyFor returns the policy by which instances of a service are chosen.
func (p *Picker) policyFor(name string) policyKind {
	if p.settings.Random {
		return byRandom
	}
	if s := p.known[name]; s == nil || !s.compact {
		return byLoad
	}
	return byExpectedCompletion
}

// lastResort returns a random ready instance for a first attempt that no instance should get.
func (p *Picker) lastResort(list []*instance) *instance {
	return p.pickRandom(list, func(i *instance) bool { return i.ready(nil) })
}

// related adds the relation to an instance that was chosen by its load.
func (p *Picker) related(in *instance) (*instance, Relation) {
	if in == nil || in.record.AvailabilityZone == p.settings.AvailabilityZone {
		return in, InZone
	}
	return in, LeftForLoad
}

// Reserve counts a request in flight at an instance that was chosen by other means.
func (p *Picker) Reserve(id membership.InstanceID) {
	if in := p.byID[id]; in != nil {
		in.inFlight++
	}
}

// choose prefers the own zone as long as an instance there is expected to answer in time. Beyond that, a request leaves
// the zone only if that shortens its wait noticeably. A request that was refused is not sent on to an instance whose queue
// was full a moment ago: when all queues are full, that would only cost time and traffic, since no slot is idle.
func (p *Picker) choose(now time.Time, list []*instance, r *Request) *instance {
	retry := len(r.Exclude) > 0
	own := p.pickOfTwo(now, list, func(i *instance) bool { return p.inOwnZone(i) && p.suitability(now, i, r, true, retry) == Eligible })
	if own != nil && p.answersInTime(now, own, r) {
		return own
	}
	other := p.pickOfTwo(now, list, func(i *instance) bool {
		return !p.inOwnZone(i) && p.suitability(now, i, r, false, retry || own != nil) == Eligible
	})
	if best := p.betterZone(now, own, other, r); best != nil {
		return best
	}
	if retry {
		return nil
	}
	return p.lastResort(list)
}

// betterZone returns the instance of the own zone or that of another one; either may be nil.
func (p *Picker) betterZone(now time.Time, own, other *instance, r *Request) *instance {
	if own != nil && other != nil && own.score(now, p.settings.SlowStart) < other.score(now, p.settings.SlowStart)+p.zonePreference(now, other, r) {
		return own
	}
	return p.lessLoaded(now, own, other)
}

func (p *Picker) inOwnZone(in *instance) bool {
	return in.record.AvailabilityZone == p.settings.AvailabilityZone
}

// suitability returns why the instance may not be chosen for the request, or Eligible. own is set if it is in the own
// zone. avoidFull leaves out instances whose queue was full a moment ago.
func (p *Picker) suitability(now time.Time, in *instance, r *Request, own, avoidFull bool) Reason {
	if reason := in.usability(now, r.Exclude); reason != Eligible {
		return reason
	}
	switch {
	case !own && !p.mayTry(now, in):
		return ZoneCutOff
	case avoidFull && in.full(now, r.Rank):
		return QueueFull
	}
	return Eligible
}

// answersInTime reports whether the instance is expected to answer the request within targetMargin of the time left
// until its target. Without a target, or before the first answer to a request of the rank, the load decides.
func (p *Picker) answersInTime(now time.Time, in *instance, r *Request) bool {
	score := in.score(now, p.settings.SlowStart)
	service := in.serviceTime(r.Rank)
	if r.TargetLeft == 0 || service == 0 {
		return score < p.settings.SpilloverLoad
	}
	return max(score, 1)*float64(service) <= targetMargin*float64(r.TargetLeft)
}

func (p *Picker) zonePreference(now time.Time, other *instance, r *Request) float64 {
	if r.TargetLeft == 0 || p.answersInTime(now, other, r) {
		return p.settings.ZonePreference
	}
	return max(p.settings.ZonePreference, p.settings.LateZonePreference)
}

// pickRandom returns a random instance that passes the filter, or nil.
func (p *Picker) pickRandom(list []*instance, pass func(*instance) bool) *instance {
	var chosen *instance
	n := 0
	for _, in := range list {
		if !pass(in) {
			continue
		}
		n++
		if p.rng.IntN(n) == 0 {
			chosen = in
		}
	}
	return chosen
}

// pickOfTwo returns the less loaded of two different random instances that pass the filter, or nil.
func (p *Picker) pickOfTwo(now time.Time, list []*instance, pass func(*instance) bool) *instance {
	a := p.pickRandom(list, pass)
	if a == nil {
		return nil
	}
	b := p.pickRandom(list, func(in *instance) bool { return in != a && pass(in) })
	return p.lessLoaded(now, a, b)
}

// lessLoaded returns the instance with the lower score or, if the scores are equal, with the lower latency. Either
// instance may be nil.
func (p *Picker) lessLoaded(now time.Time, a, b *instance) *instance {
	switch {
	case b == nil:
		return a
	case a == nil:
		return b
	}
	sa, sb := a.score(now, p.settings.SlowStart), b.score(now, p.settings.SlowStart)
	if sb < sa || (sb == sa && b.latency < a.latency) {
		return b
	}
	return a
}

// Observe ends an attempt that Pick or Reserve has counted.
func (p *Picker) Observe(now time.Time, id membership.InstanceID, o Observation) {
	in := p.byID[id]
	if in == nil {
		return
	}
	in.observe(now, o)
	if o.Event == EventAnswered {
		p.observeRoute(in, o)
	}
	p.observeZone(now, in, o)
	if o.Event == EventUnreachable {
		in.setUnreachable(now, p.settings.BaseEjection)
		return
	}
	if in.countFailure(o.Event, p.settings.FailureThreshold) && p.mayEject(now, in) {
		in.eject(now, p.settings.BaseEjection)
	}
}

// mayEject limits ejections to half of the instances of a service, so that misleading health signals cannot leave it
// without instances. Unreachable instances do not count: avoiding them loses no capacity, and in a zone that is cut off
// from the others most instances are unreachable.
func (p *Picker) mayEject(now time.Time, in *instance) bool {
	list := p.services[in.record.Service]
	ejected := 1
	for _, other := range list {
		if other != in && other.ejectedUntil.After(now) {
			ejected++
		}
	}
	return !in.ejectedUntil.After(now) && 2*ejected <= len(list)
}
