package balance

import (
	"math"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
)

// Choice by expected completion. Two random choices by load suit instances with many slots. With few slots, instances of
// different speed and loads that are reported a second ago, they leave requests in a queue beside an idle slot.

const (
	// DefaultSpread is the default of Completion.Spread.
	DefaultSpread = 0.3
	// DefaultSample is the default of Completion.Sample.
	DefaultSample = 6
	// DefaultGainPerKB is the default of Completion.GainPerKB.
	DefaultGainPerKB = 20 * time.Millisecond
	// headBytes is what the heads of a request and of its response between two nodes take together.
	headBytes = 900
	// maxRoutes bounds the routes of a service whose requests are observed one by one; requests of further routes are
	// treated by their rank. The table has an entry for each instance.
	maxRoutes = 32
	// routeWeight is the inverse of the weight of one response in the average of the response sizes of a route.
	routeWeight = 32
	// freeLoad is the load from which a request is expected to delay others, and loadCost the part of its service time by
	// which it does so for each full load beyond that. Without them requests queue at a fast instance beside idle slow ones.
	freeLoad = 0.8
	loadCost = 2
	// failingRate is the error rate of the best instance of the own zone from which a request leaves the zone. It is so high
	// because a failure that hits all zones is seen first where most requests go.
	failingRate = 0.7
	// recentPicks is the number of picks that are remembered for each instance. A report is newer than the others.
	recentPicks = 8
	// minSpread is the least difference between expected completions that counts. The way between two nodes varies by more
	// than a millisecond.
	minSpread = 3 * time.Millisecond
	// exploreAfter is the time without an answer from an instance after which its service times count as unknown. Otherwise
	// an instance that was slow once would never be tried again.
	exploreAfter = 3 * time.Second
	// unknownServiceTime is the service time that is assumed while a service has not answered any request.
	unknownServiceTime = 50 * time.Millisecond
)

// Completion configures the choice by expected completion.
type Completion struct {
	// MaxSlots turns the choice on for services whose instances all have at most so many slots; zero turns it off. An
	// instance with many slots has a free one nearly always, whatever the reports miss.
	MaxSlots int
	// Spread is the fraction of the shortest service time by which an expected completion may exceed the best one. The
	// choice among these is random, because several senders know the same reports.
	Spread float64
	// Sample is the number of random instances of a zone among which the choice is made, a negative
	// value means all. Senders with the same reports draw different ones, so that not all of them send to one idle instance.
	Sample int
	// GainPerKB is the time that a caller must gain for each kilobyte that is moved to another availability zone and back.
	GainPerKB time.Duration
}

func (c Completion) withDefaults() Completion {
	if c.Spread == 0 {
		c.Spread = DefaultSpread
	}
	if c.Sample == 0 {
		c.Sample = DefaultSample
	}
	if c.GainPerKB == 0 {
		c.GainPerKB = DefaultGainPerKB
	}
	return c
}

// Relation is the reason for which a request was sent where it was.
type Relation uint8

// Relations of a chosen instance to the zone of the sender.
const (
	// InZone: the instance is in the zone of the sender.
	InZone Relation = iota
	// LeftForTarget: the own zone is expected to miss the latency target of the request, the other one to meet it.
	LeftForTarget
	// LeftForDeadline: the own zone is expected to miss the deadline of the request.
	LeftForDeadline
	// LeftForErrors: the best instance of the own zone fails nearly all requests.
	LeftForErrors
	// LeftForLoad: the other instance is less loaded; only without the choice by expected completion.
	LeftForLoad
	// LeftWithoutInstance: no instance of the own zone can take the request.
	LeftWithoutInstance
)

// Relations holds the names of all relations.
var Relations = [...]string{InZone: "in_zone", LeftForTarget: "target", LeftForDeadline: "deadline", LeftForErrors: "errors", LeftForLoad: "load", LeftWithoutInstance: "no_instance"}

// route is what is known of the requests of one route, over all instances.
type route struct {
	index int
	// bytes is the moving average of the sizes of requests and responses without their heads.
	bytes float64
	// time is the moving average of the service time.
	time time.Duration
}

// service is what is known of the requests of one service.
type service struct {
	routes map[string]*route
	// compact reports that all instances have at most Completion.MaxSlots slots.
	compact bool
	// zoneLoad is the average load of the own zone's instances with fresh reports, as a fraction of their slots; usualLoad
	// is its moving average over usualTime, updated at usualAt.
	zoneLoad, usualLoad float64
	usualAt             time.Time
}

func (p *Picker) service(name string) *service {
	s := p.known[name]
	if s == nil {
		s = &service{routes: make(map[string]*route)}
		p.known[name] = s
	}
	return s
}

// setCompact notes whether the choice by expected completion applies to the service.
func (s *service) setCompact(list []*instance, maxSlots int) {
	s.compact = maxSlots > 0
	for _, in := range list {
		s.compact = s.compact && in.record.Slots <= maxSlots
	}
}

// observeRoute notes the size and the service time of an answered request.
func (p *Picker) observeRoute(in *instance, o Observation) {
	if o.Route == "" || p.settings.Completion.MaxSlots == 0 {
		return
	}
	s := p.service(in.record.Service)
	r := s.routes[o.Route]
	if r == nil {
		if len(s.routes) >= maxRoutes {
			return
		}
		r = &route{index: len(s.routes), bytes: float64(o.Bytes)}
		s.routes[o.Route] = r
	}
	r.bytes += (float64(o.Bytes) - r.bytes) / routeWeight
	if o.RouteTime <= 0 {
		return
	}
	if r.time == 0 {
		r.time = o.RouteTime
	}
	r.time += (o.RouteTime - r.time) / routeWeight
	if r.index >= len(in.routeTimes) {
		in.routeTimes = append(in.routeTimes, make([]time.Duration, r.index+1-len(in.routeTimes))...)
	}
	in.routeTimes[r.index] = o.RouteTime
}

// candidate is an instance that may be chosen, with the time after which it is expected to have answered.
type candidate struct {
	in         *instance
	load       float64
	service    time.Duration
	completion time.Duration
	// cost is the service time with the delay that the request causes to others, longer if the instance fails requests. It
	// decides between the instances of a zone. Errors do not count in completion: those of other zones are hardly known.
	cost time.Duration
}

// choice collects what is considered for one request. The slices are reused.
type choice struct {
	own, other []*instance
	candidates []candidate
}

// byCompletion chooses the instance that is expected to answer first, or one that is nearly as good. A request stays in its
// zone if it meets its target there, or its deadline if no zone meets the target. Beyond that, it leaves if the time that
// its caller gains is in proportion to the bytes that are moved.
func (p *Picker) byCompletion(now time.Time, list []*instance, s *service, r *Request) (*instance, Relation) {
	rt := s.routes[r.Route]
	s.updateLoad(now, list, p.settings.AvailabilityZone)
	p.collect(now, list, r)
	own, ok := p.nearBest(now, p.choice.own, rt, r, s.zoneLoad)
	if ok && own.meetsTarget(r) {
		return own.in, InZone
	}
	other, otherOK := p.nearBest(now, p.choice.other, rt, r, s.usualLoad)
	return p.betterCompletion(own, ok, other, otherOK, rt, r)
}

// betterCompletion decides between the candidates of the own zone and of the others, if there are any.
func (p *Picker) betterCompletion(own candidate, ok bool, other candidate, otherOK bool, rt *route, r *Request) (*instance, Relation) {
	switch {
	case !ok && otherOK:
		return other.in, LeftWithoutInstance
	case !ok:
		return nil, InZone
	case !otherOK:
		return own.in, InZone
	case own.in.errorRate >= failingRate && other.in.errorRate < failingRate/2:
		return other.in, LeftForErrors
	}
	gain := own.completion - other.completion
	if float64(gain) < float64(p.settings.Completion.GainPerKB)*rt.kilobytes(r.Bytes) {
		return own.in, InZone
	}
	switch {
	case r.TargetLeft > 0 && other.completion <= targetTime(r):
		return other.in, LeftForTarget
	case r.DeadlineLeft > 0 && own.completion > r.DeadlineLeft && other.completion <= r.DeadlineLeft:
		return other.in, LeftForDeadline
	case r.TargetLeft == 0:
		return other.in, LeftForLoad
	}
	return own.in, InZone
}

// targetTime returns the part of the time left until the target that an expected completion may take.
func targetTime(r *Request) time.Duration {
	return time.Duration(targetMargin * float64(r.TargetLeft))
}

// meetsTarget reports whether a request need not leave the zone of the candidate, its own one.
func (c candidate) meetsTarget(r *Request) bool {
	return c.in.errorRate < failingRate && c.completion <= targetTime(r)
}

// kilobytes returns the traffic that a request of the route causes between two nodes. A route without an answered request
// counts with the heads and the request only.
func (r *route) kilobytes(requestBytes int) float64 {
	n := headBytes + float64(requestBytes)
	if r != nil {
		n += r.bytes
	}
	return n / 1024
}

// collect fills p.choice with the usable instances.
func (p *Picker) collect(now time.Time, list []*instance, r *Request) {
	c, retry := &p.choice, len(r.Exclude) > 0
	c.own, c.other = c.own[:0], c.other[:0]
	for _, in := range list {
		if own := p.inOwnZone(in); p.suitability(now, in, r, own, retry || !own) != Eligible {
			continue
		} else if own {
			c.own = append(c.own, in)
		} else {
			c.other = append(c.other, in)
		}
	}
}

const (
	// usualTime is the time constant of the usual load. It is longer than a burst, and shorter than a lasting overload.
	usualTime = 5 * time.Second
	// loadInterval is the time between two updates of the loads. They change in tens of milliseconds.
	loadInterval = 20 * time.Millisecond
)

// updateLoad updates the loads that are assumed for instances without a fresh report: for those of the own zone its present
// average, for those of other zones the usual one, since a burst in one zone says little about the others, and a lasting
// overload is mostly one of all.
func (s *service) updateLoad(now time.Time, list []*instance, zone string) {
	if now.Sub(s.usualAt) < loadInterval {
		return
	}
	used, slots := 0, 0
	for _, in := range list {
		if in.record.AvailabilityZone == zone && now.Sub(in.reportedAt) < maxLoadAge && in.reported.Limit > 0 {
			used += in.reported.InUse + in.reported.Queued
			slots += in.reported.Limit
		}
	}
	s.zoneLoad = float64(used) / float64(max(slots, 1))
	if s.usualAt.IsZero() {
		s.usualLoad, s.usualAt = s.zoneLoad, now
	}
	weight := 1 - math.Exp(-now.Sub(s.usualAt).Seconds()/usualTime.Seconds())
	s.usualLoad, s.usualAt = s.usualLoad+weight*(s.zoneLoad-s.usualLoad), now
}

// candidate estimates when the instance would have answered the request: its service time for requests of the route,
// longer while the instance is cold, the time until a slot is free, and the transfer of the answer. assumed is the load of
// an instance without a fresh report.
func (p *Picker) candidate(now time.Time, in *instance, rt *route, r *Request, serviceTime time.Duration, assumed float64) candidate {
	capacity := in.slowStartFactor(now, p.settings.SlowStart)
	wait, load := in.expectedWait(now, r.Rank, serviceTime, assumed)
	c := candidate{in: in, load: load, service: time.Duration(float64(serviceTime) / capacity)}
	c.completion = c.service + time.Duration(float64(wait)/capacity)
	c.cost = c.service + time.Duration(float64(c.service)*loadCost*max(0, load-freeLoad)/capacity)
	transfer := p.transferTime(now, in, rt)
	c.completion += transfer
	c.cost += transfer
	c.cost = time.Duration(float64(c.cost) / in.healthFactor())
	return c
}

// transferTime returns the time that the answer of an instance on another VM waits for the VM's link and uses it.
func (p *Picker) transferTime(now time.Time, in *instance, rt *route) time.Duration {
	if rt == nil || in.record.Link == 0 || in.record.ID == p.settings.Self {
		return 0
	}
	wait := max(0, in.reported.LinkWait-now.Sub(in.reportedAt))
	return wait + time.Duration(rt.bytes*8/float64(in.record.Link)*float64(time.Microsecond))
}

// routeTime returns the time that the instance needs for a request of the route without a queue, or zero if unknown.
func (in *instance) routeTime(now time.Time, rt *route, rank int) time.Duration {
	if in.inFlight == 0 && now.Sub(in.answeredAt) > exploreAfter {
		return 0
	}
	if rt != nil && rt.index < len(in.routeTimes) && in.routeTimes[rt.index] > 0 {
		return in.routeTimes[rt.index]
	}
	return in.serviceTime(rank)
}

// expectedWait returns the time until a slot is free for a request of the rank, behind the requests that go first.
func (in *instance) expectedWait(now time.Time, rank int, serviceTime time.Duration, assumed float64) (time.Duration, float64) {
	capacity, ahead := in.record.Slots, in.inFlight
	total := ahead
	if now.Sub(in.reportedAt) < maxLoadAge {
		since := in.pickedSince(in.reportedAt)
		total = max(ahead, in.reported.InUse+in.reported.Queued+since)
		ahead = max(ahead, in.reported.InUse+in.reported.ahead(rank)+since)
		if in.reported.Limit > 0 {
			capacity = in.reported.Limit
		}
		if in.reported.SlotTime > 0 {
			serviceTime = in.reported.SlotTime
		}
	} else {
		total = max(total, int(assumed*float64(capacity)))
		ahead = max(ahead, total)
	}
	capacity = max(capacity, 1)
	load := float64(total) / float64(capacity)
	if ahead < capacity {
		return 0, load
	}
	return serviceTime * time.Duration(ahead-capacity+1) / time.Duration(capacity), load
}

// ahead returns the number of waiting requests that a new one of the rank waits for.
func (l *Load) ahead(rank int) int {
	if !l.ByRank {
		return l.Queued
	}
	n := 0
	for _, w := range l.Waiting[:clampRank(rank)+1] {
		n += w
	}
	return n
}

// notePick remembers the time of a pick.
func (in *instance) notePick(now time.Time) {
	in.picks[in.nextPick] = now
	in.nextPick = (in.nextPick + 1) % recentPicks
}

// pickedSince returns the number of requests that were sent to the instance after the given time, at most recentPicks.
func (in *instance) pickedSince(t time.Time) int {
	n := 0
	for _, at := range in.picks {
		if at.After(t) {
			n++
		}
	}
	return n
}

// nearBest returns the less loaded of two random instances whose cost is close to the best one in a random sample, and which
// have a free slot if that one has. It reports false if there are none. An instance whose service time is unknown counts with the shortest known one, so that it is tried.
func (p *Picker) nearBest(now time.Time, list []*instance, rt *route, r *Request, assumed float64) (candidate, bool) {
	if len(list) == 0 {
		return candidate{}, false
	}
	candidates, best := p.estimate(now, p.sample(list), rt, r, assumed)
	b := candidates[best]
	limit := p.spreadLimit(b)
	near := candidates[:0]
	for _, c := range candidates {
		if c.cost <= limit && (c.load < 1 || b.load >= 1) {
			near = append(near, c)
		}
	}
	first := p.rng.IntN(len(near))
	if len(near) == 1 {
		return near[first], true
	}
	second := (first + 1 + p.rng.IntN(len(near)-1)) % len(near)
	if near[second].load < near[first].load {
		return near[second], true
	}
	return near[first], true
}

// spreadLimit returns the cost up to which a candidate is as good as the best one.
func (p *Picker) spreadLimit(best candidate) time.Duration {
	return best.cost + max(minSpread, time.Duration(p.settings.Completion.Spread*float64(best.service)))
}

// estimate returns a candidate for each instance of the list, which must not be empty, and the index of the one with the least
// cost. The result is valid until the next call.
func (p *Picker) estimate(now time.Time, list []*instance, rt *route, r *Request, assumed float64) (candidates []candidate, best int) {
	shortest := time.Duration(math.MaxInt64)
	for _, in := range list {
		if t := in.routeTime(now, rt, r.Rank); t > 0 {
			shortest = min(shortest, t)
		}
	}
	switch {
	case shortest < math.MaxInt64:
	case rt != nil && rt.time > 0:
		shortest = rt.time
	default:
		shortest = unknownServiceTime
	}
	candidates = p.choice.candidates[:0]
	for i, in := range list {
		serviceTime := in.routeTime(now, rt, r.Rank)
		if serviceTime == 0 {
			serviceTime = shortest
		}
		candidates = append(candidates, p.candidate(now, in, rt, r, serviceTime, assumed))
		if candidates[i].cost < candidates[best].cost {
			best = i
		}
	}
	p.choice.candidates = candidates
	return candidates, best
}

// sample moves a random sample to the front of the list and returns it.
func (p *Picker) sample(list []*instance) []*instance {
	n := p.settings.Completion.Sample
	if n < 0 || n >= len(list) {
		return list
	}
	for i := range n {
		j := i + p.rng.IntN(len(list)-i)
		list[i], list[j] = list[j], list[i]
	}
	return list[:n]
}

// ExchangesNews reports whether the choice of instances uses reports that come by way of other nodes.
func (p *Picker) ExchangesNews() bool { return p.settings.Completion.MaxSlots > 0 }

// News is a report of an instance that reached the sender by way of another node.
type News struct {
	ID   membership.InstanceID
	Load Load
	Age  time.Duration
}

// Learn takes over reports that are newer than the known ones.
func (p *Picker) Learn(now time.Time, news []News) {
	for i := range news {
		in, at := p.byID[news[i].ID], now.Add(-news[i].Age)
		if in != nil && at.After(in.reportedAt) && news[i].Age < maxLoadAge {
			in.reported, in.reportedAt = news[i].Load, at
			in.inFlightAtReport = max(0, in.inFlight-in.pickedSince(at))
		}
	}
}

// Tell appends the newest reports of a service's instances to news, at most limit of them. Ages start at now.
func (p *Picker) Tell(now time.Time, name string, news []News, limit int) []News {
	list := p.services[name]
	if len(list) == 0 || !p.service(name).compact {
		return news
	}
	start := p.rng.IntN(len(list))
	for i := range list {
		in := list[(start+i)%len(list)]
		age := now.Sub(in.reportedAt)
		if age >= maxNewsAge {
			continue
		}
		if news = append(news, News{in.record.ID, in.reported, max(age, 0)}); len(news) == limit {
			break
		}
	}
	return news
}

// maxNewsAge is the age from which a report is not told to other nodes any more.
const maxNewsAge = 200 * time.Millisecond
