// Package balance chooses the instance that a request goes to. It is pure: the time and the random source are passed
// in. A Picker is not safe for concurrent use.
package balance

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
)

// Defaults of Settings.
const (
	// DefaultSlowStart is how long the share of a cold instance rises to the full one.
	DefaultSlowStart = 10 * time.Second
	// minWarmth is the share of a cold instance at first.
	minWarmth = 0.1
	// DefaultSpill is the load of the better of two instances of the own availability zone above which other zones are
	// considered. Below it a call stays in the zone, which saves the way between zones.
	DefaultSpill = 0.8
	// DefaultFailures in a row eject an instance; one that cannot be reached is passed over at once, for as long.
	DefaultFailures = 5
	// DefaultEjection is the length of the first ejection; each further one is twice as long up to MaxEjection.
	DefaultEjection = 2 * time.Second
	MaxEjection     = 30 * time.Second
	// loadAge is how long a reported load counts. Older reports say little under floods that build up in a second.
	loadAge = time.Second
)

// ErrNoInstance is returned when no instance can take the request.
var ErrNoInstance = errors.New("balance: no instance of the service can take work")

// Settings of a Picker. Zero values stand for the defaults.
type Settings struct {
	AvailabilityZone string
	SlowStart        time.Duration
	Spill            float64
	// ZonePreference is by how much the load of an instance of another zone must be lower, as a fraction of its capacity, for a call
	// to leave the zone. When all zones are full, going elsewhere only costs the way.
	ZonePreference float64
	Failures       int
	Ejection       time.Duration
	// Random is the baseline: one random ready instance, whatever its load, zone or failures.
	Random bool
	Source rand.Source
}

// Event is what an attempt at an instance showed.
type Event uint8

// Events of an attempt.
const (
	// EventAnswered: the instance answered.
	EventAnswered Event = iota
	// EventRefused: the instance refused because of its load; this is no failure.
	EventRefused
	// EventFailed: the instance broke the connection, answered too late or with rubbish.
	EventFailed
	// EventUnreachable: no connection could be opened.
	EventUnreachable
	// EventAbandoned: the caller went away; it says nothing about the instance.
	EventAbandoned
	// EventErrored: the instance answered with an error, or refused the request itself. Its own fault cannot be told from
	// that of a call it has made, so that it gets less work than instances with fewer errors but is not ejected.
	EventErrored
)

// Load is what an egress reports about itself in its answers.
type Load struct {
	InUse  int
	Limit  int
	Queued int
}

// Observation ends an attempt.
type Observation struct {
	Event   Event
	Latency time.Duration
	// Load is nil if the answer carried none.
	Load *Load
}

// Picker chooses instances by what one ingress observes.
type Picker struct {
	set      Settings
	rng      *rand.Rand
	services map[string][]*instance
	byID     map[membership.InstanceID]*instance
}

// New returns a Picker without instances.
func New(s Settings) *Picker {
	if s.SlowStart == 0 {
		s.SlowStart = DefaultSlowStart
	}
	if s.Spill == 0 {
		s.Spill = DefaultSpill
	}
	if s.Failures == 0 {
		s.Failures = DefaultFailures
	}
	if s.Ejection == 0 {
		s.Ejection = DefaultEjection
	}
	if s.Source == nil {
		s.Source = rand.NewPCG(rand.Uint64(), rand.Uint64())
	}
	return &Picker{
		set: s, rng: rand.New(s.Source),
		services: make(map[string][]*instance),
		byID:     make(map[membership.InstanceID]*instance),
	}
}

// Update sets the instances of a service. An instance that is ready for the first time, or again after a restart,
// starts slowly; those of the first Update of a service do not, since they have been running before.
func (p *Picker) Update(now time.Time, service string, records []membership.Instance) {
	old, known := p.services[service]
	list := make([]*instance, 0, len(records))
	for _, rec := range records {
		in := p.byID[rec.ID]
		if in == nil {
			in = &instance{}
			p.byID[rec.ID] = in
		}
		in.update(now, rec, known)
		list = append(list, in)
	}
	p.services[service] = list
	for _, in := range old {
		if !contains(records, in.rec.ID) {
			delete(p.byID, in.rec.ID)
		}
	}
}

func contains(records []membership.Instance, id membership.InstanceID) bool {
	for i := range records {
		if records[i].ID == id {
			return true
		}
	}
	return false
}

// HasService reports whether Update has been called for the service.
func (p *Picker) HasService(service string) bool { return p.services[service] != nil }

// Services returns the services that Update was called for.
func (p *Picker) Services() []string {
	out := make([]string, 0, len(p.services))
	for s := range p.services {
		out = append(out, s)
	}
	return out
}

// Pick chooses an instance of the service outside exclude and counts a request in flight there. Observe must follow.
// Ejected and unreachable instances are chosen only for a first attempt and only if there is no other: a wrong suspicion
// must not empty a service. A call that others have refused would wait there for a failure that is known.
func (p *Picker) Pick(now time.Time, service string, exclude []membership.InstanceID) (membership.Instance, error) {
	var in *instance
	list := p.services[service]
	if p.set.Random {
		in = p.one(list, func(i *instance) bool { return i.ready(exclude) })
	} else {
		in = p.choose(now, list, exclude)
	}
	if in == nil {
		return membership.Instance{}, ErrNoInstance
	}
	in.inFlight++
	return in.rec, nil
}

// Reserve counts a request in flight at an instance that was chosen by other rules.
func (p *Picker) Reserve(id membership.InstanceID) {
	if in := p.byID[id]; in != nil {
		in.inFlight++
	}
}

func (p *Picker) choose(now time.Time, list []*instance, exclude []membership.InstanceID) *instance {
	own := p.two(now, list, func(i *instance) bool {
		return i.usable(now, exclude) && i.rec.AvailabilityZone == p.set.AvailabilityZone
	})
	if own != nil && own.score(now, p.set.SlowStart) < p.set.Spill {
		return own
	}
	other := p.two(now, list, func(i *instance) bool {
		return i.usable(now, exclude) && i.rec.AvailabilityZone != p.set.AvailabilityZone
	})
	if own != nil && other != nil && own.score(now, p.set.SlowStart) < other.score(now, p.set.SlowStart)+p.set.ZonePreference {
		return own
	}
	if best := p.less(now, own, other); best != nil {
		return best
	}
	if len(exclude) > 0 {
		return nil
	}
	return p.one(list, func(i *instance) bool { return i.ready(nil) })
}

// one returns a random instance among those that pass the filter.
func (p *Picker) one(list []*instance, pass func(*instance) bool) *instance {
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

// two returns the less loaded of two different random instances among those that pass the filter.
func (p *Picker) two(now time.Time, list []*instance, pass func(*instance) bool) *instance {
	a := p.one(list, pass)
	if a == nil {
		return nil
	}
	b := p.one(list, func(in *instance) bool { return in != a && pass(in) })
	return p.less(now, a, b)
}

// less returns the instance with the lower load, or the faster one of equally loaded ones; either may be nil.
func (p *Picker) less(now time.Time, a, b *instance) *instance {
	switch {
	case b == nil:
		return a
	case a == nil:
		return b
	}
	sa, sb := a.score(now, p.set.SlowStart), b.score(now, p.set.SlowStart)
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
	if o.Event == EventUnreachable {
		in.setUnreachable(now, p.set.Ejection)
		return
	}
	if in.suspect(o.Event, p.set.Failures) && p.mayEject(now, in) {
		in.eject(now, p.set.Ejection)
	}
}

// mayEject holds ejections to half of a service, so that misleading health never empties it. Instances that cannot be
// reached do not count: to pass them over loses nothing, and in a zone that is cut off from the others they are most.
func (p *Picker) mayEject(now time.Time, in *instance) bool {
	list := p.services[in.rec.Service]
	ejected := 1
	for _, other := range list {
		if other != in && other.ejectedUntil.After(now) {
			ejected++
		}
	}
	return !in.ejectedUntil.After(now) && 2*ejected <= len(list)
}
