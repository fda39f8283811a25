package balance

import (
	"slices"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/config"
	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
)

// instance is the state of one instance as the ingress sees it.
type instance struct {
	record membership.Instance
	// listedBy is the number of the Update that last listed the instance.
	listedBy   uint64
	readySince time.Time
	inFlight   int
	// reported is the load in the last response that reported one, reportedAt the time of that response, and
	// inFlightAtReport the number of requests that this ingress had in flight at that time.
	reported         Load
	reportedAt       time.Time
	inFlightAtReport int
	// latency is the moving average of the latency of successful attempts.
	latency time.Duration
	// serviceTimes holds for each rank the moving average of the response time that the instance needs without a queue.
	serviceTimes [config.MaxRank + 1]time.Duration
	// routeTimes holds for each route of the service the service time that the instance has reported; zero if unknown.
	routeTimes []time.Duration
	// answeredAt is the time of the last answer.
	answeredAt time.Time
	// picks holds the times of the last picks.
	picks    [recentPicks]time.Time
	nextPick int
	// fullAt holds for each rank the time at which a request of the rank was last refused because the queue was full.
	fullAt [config.MaxRank + 1]time.Time
	// errorRate is the moving average of the fraction of EventErrored among the attempts that ended with EventErrored or
	// EventAnswered.
	errorRate float64

	failures     int
	ejections    int
	ejectedUntil time.Time
	// unreachableUntil is the time until which an instance that could not be reached is avoided.
	unreachableUntil time.Time
}

func (in *instance) update(now time.Time, rec membership.Instance, slowStart bool) {
	restarted := in.record.Incarnation != 0 && rec.Incarnation != in.record.Incarnation
	if restarted {
		in.failures, in.ejections, in.errorRate = 0, 0, 0
		in.ejectedUntil, in.unreachableUntil = time.Time{}, time.Time{}
		in.reportedAt = time.Time{}
		in.serviceTimes, in.routeTimes = [config.MaxRank + 1]time.Duration{}, nil
	}
	if rec.State == membership.StateReady && (in.record.State != membership.StateReady || restarted) {
		in.readySince = time.Time{}
		if slowStart {
			in.readySince = now
		}
	}
	in.record = rec
}

// readiness returns why the instance can take no request at all, or Eligible.
func (in *instance) readiness(exclude []membership.InstanceID) Reason {
	switch {
	case in.record.State != membership.StateReady:
		return NotReady
	case slices.Contains(exclude, in.record.ID):
		return TriedBefore
	}
	return Eligible
}

func (in *instance) ready(exclude []membership.InstanceID) bool {
	return in.readiness(exclude) == Eligible
}

// usability returns why the instance may not be chosen, or Eligible. After it was ejected or unreachable, it gets one request
// at a time until it responds to one, because further requests would wait for the same failure.
func (in *instance) usability(now time.Time, exclude []membership.InstanceID) Reason {
	if r := in.readiness(exclude); r != Eligible {
		return r
	}
	switch {
	case in.ejectedUntil.After(now):
		return Ejected
	case in.unreachableUntil.After(now):
		return Unreachable
	case in.ejections > 0 && in.inFlight > 0:
		return OnProbation
	}
	return Eligible
}

// slowStartFactor is the factor on the capacity that rises from minSlowStartFactor to 1 during the slow start.
func (in *instance) slowStartFactor(now time.Time, slowStart time.Duration) float64 {
	age := now.Sub(in.readySince)
	if in.readySince.IsZero() || age >= slowStart {
		return 1
	}
	return max(minSlowStartFactor, float64(age)/float64(slowStart))
}

// score is the load with one more request, as a fraction of the capacity.
func (in *instance) score(now time.Time, slowStart time.Duration) float64 {
	load, capacity := in.inFlight, in.record.Slots
	if now.Sub(in.reportedAt) < maxLoadAge {
		load = max(load, in.reported.InUse+in.reported.Queued+in.inFlight-in.inFlightAtReport)
		if in.reported.Limit > 0 {
			capacity = in.reported.Limit
		}
	}
	return float64(load+1) / (float64(max(1, capacity)) * in.slowStartFactor(now, slowStart) * in.healthFactor())
}

const (
	// errorRateWeight is the weight of one attempt in the error rate; the rate follows a change within about 20
	// attempts.
	errorRateWeight = 0.05
	// minHealthFactor keeps some requests going to an instance that responds only with errors, so that its recovery is
	// noticed.
	minHealthFactor = 0.05
)

// healthFactor is the factor by which errors reduce the capacity of an instance. It is the square of the success rate,
// because a failed request has held a slot and is then lost or sent again.
func (in *instance) healthFactor() float64 {
	return max(minHealthFactor, (1-in.errorRate)*(1-in.errorRate))
}

func (in *instance) updateErrorRate(o Observation) {
	switch o.Event {
	case EventAnswered:
		in.errorRate -= errorRateWeight * in.errorRate
	case EventErrored:
		in.errorRate += errorRateWeight * (1 - in.errorRate)
	}
}

func (in *instance) observe(now time.Time, o Observation) {
	in.inFlight = max(0, in.inFlight-1)
	if o.Load != nil {
		in.reported, in.reportedAt, in.inFlightAtReport = *o.Load, now, in.inFlight
	}
	in.updateErrorRate(o)
	if o.Full {
		in.fullAt[clampRank(o.Rank)] = now
	}
	if o.Event == EventErrored || o.Event == EventRefused {
		in.ejections = 0 // the instance can be reached
	}
	if o.Event != EventAnswered {
		return
	}
	in.failures, in.ejections = 0, 0
	in.answeredAt = now
	if in.latency == 0 {
		in.latency = o.Latency
	}
	in.latency += (o.Latency - in.latency) / 8
	in.addServiceTime(o)
}

// fullTime is how long an instance counts as full after a refusal. A full queue frees several places in that time.
const fullTime = 250 * time.Millisecond

// full reports whether the instance has recently refused a request of the rank, or of a more urgent one, because its queue
// was full.
func (in *instance) full(now time.Time, rank int) bool {
	for _, at := range in.fullAt[:clampRank(rank)+1] {
		if !at.IsZero() && now.Sub(at) < fullTime {
			return true
		}
	}
	return false
}

// serviceTimeDivisor is the inverse of the weight of one answer in the average of the service time.
const serviceTimeDivisor = 16

// addServiceTime adds an answer to the average of its rank. The response time of a loaded instance is divided by its
// load, as reported with the answer, since the time in the queue is part of it.
func (in *instance) addServiceTime(o Observation) {
	sample := o.Latency
	if o.Load != nil && o.Load.Limit > 0 {
		sample = time.Duration(float64(sample) / max(1, float64(o.Load.InUse+o.Load.Queued)/float64(o.Load.Limit)))
	}
	average := &in.serviceTimes[clampRank(o.Rank)]
	if *average == 0 {
		*average = sample
	}
	*average += (sample - *average) / serviceTimeDivisor
}

// serviceTime returns the time that the instance needs for a request of the rank without a queue, or zero if unknown.
func (in *instance) serviceTime(rank int) time.Duration { return in.serviceTimes[clampRank(rank)] }

func clampRank(rank int) int { return min(max(rank, 0), config.MaxRank) }

// countFailure counts consecutive failures and reports whether there are enough for an ejection.
func (in *instance) countFailure(e Event, limit int) bool {
	if e != EventFailed {
		return false
	}
	in.failures++
	return in.failures >= limit
}

func (in *instance) eject(now time.Time, base time.Duration) {
	in.ejectedUntil = now.Add(in.nextEjectionDuration(base))
	in.failures = 0
	in.readySince = in.ejectedUntil
}

func (in *instance) setUnreachable(now time.Time, base time.Duration) {
	if !in.unreachableUntil.After(now) {
		in.unreachableUntil = now.Add(in.nextEjectionDuration(base))
	}
}

// nextEjectionDuration counts an ejection and returns its length, which doubles with each consecutive one.
func (in *instance) nextEjectionDuration(base time.Duration) time.Duration {
	d := min(MaxEjection, base<<min(in.ejections, 8))
	in.ejections++
	return d
}
