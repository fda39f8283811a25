package balance

import (
	"slices"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
)

// instance is what the ingress knows about one instance.
type instance struct {
	rec        membership.Instance
	readySince time.Time
	inFlight   int
	// reported is the load of the last answer, reportedAt its time and reportedOwn the requests in flight from here
	// at that time.
	reported    Load
	reportedAt  time.Time
	reportedOwn int
	latency     time.Duration
	// errors is the moving average of the share of attempts that ended with EventErrored.
	errors float64

	failures     int
	ejections    int
	ejectedUntil time.Time
	// unreachableUntil is until when an instance that could not be reached is passed over.
	unreachableUntil time.Time
}

func (in *instance) update(now time.Time, rec membership.Instance, slow bool) {
	restarted := in.rec.Incarnation != 0 && rec.Incarnation != in.rec.Incarnation
	if restarted {
		in.failures, in.ejections, in.errors = 0, 0, 0
		in.ejectedUntil, in.unreachableUntil = time.Time{}, time.Time{}
		in.reportedAt = time.Time{}
	}
	if rec.State == membership.StateReady && (in.rec.State != membership.StateReady || restarted) {
		in.readySince = time.Time{}
		if slow {
			in.readySince = now
		}
	}
	in.rec = rec
}

func (in *instance) ready(exclude []membership.InstanceID) bool {
	return in.rec.State == membership.StateReady && !slices.Contains(exclude, in.rec.ID)
}

// usable reports whether the instance may be chosen. After an ejection it gets one request at a time until one is
// answered: others would wait for the same failure.
func (in *instance) usable(now time.Time, exclude []membership.InstanceID) bool {
	return in.ready(exclude) && !in.ejectedUntil.After(now) && !in.unreachableUntil.After(now) && (in.ejections == 0 || in.inFlight == 0)
}

// warmth rises from minWarmth to 1 during the slow start.
func (in *instance) warmth(now time.Time, slowStart time.Duration) float64 {
	age := now.Sub(in.readySince)
	if in.readySince.IsZero() || age >= slowStart {
		return 1
	}
	return max(minWarmth, float64(age)/float64(slowStart))
}

// score is the load after one more request, as a fraction of the capacity.
func (in *instance) score(now time.Time, slowStart time.Duration) float64 {
	load, capacity := in.inFlight, in.rec.Slots
	if now.Sub(in.reportedAt) < loadAge {
		load = max(load, in.reported.InUse+in.reported.Queued+in.inFlight-in.reportedOwn)
		if in.reported.Limit > 0 {
			capacity = in.reported.Limit
		}
	}
	return float64(load+1) / (float64(max(1, capacity)) * in.warmth(now, slowStart) * in.soundness())
}

const (
	// errorWeight is the weight of one attempt in the average of errors; it follows a change within about 20 attempts.
	errorWeight = 0.05
	// minSoundness keeps some work at an instance with errors only, so that its recovery shows.
	minSoundness = 0.05
)

// soundness is the factor that errors leave of an instance's capacity. It falls with the square of the successes: a request
// that fails has held a slot and is lost or sent again.
func (in *instance) soundness() float64 {
	return max(minSoundness, (1-in.errors)*(1-in.errors))
}

func (in *instance) count(o Observation) {
	switch o.Event {
	case EventAnswered:
		in.errors -= errorWeight * in.errors
	case EventErrored:
		in.errors += errorWeight * (1 - in.errors)
	}
}

func (in *instance) observe(now time.Time, o Observation) {
	in.inFlight = max(0, in.inFlight-1)
	if o.Load != nil {
		in.reported, in.reportedAt, in.reportedOwn = *o.Load, now, in.inFlight
	}
	in.count(o)
	if o.Event == EventErrored || o.Event == EventRefused {
		in.ejections = 0 // It can be reached.
	}
	if o.Event != EventAnswered {
		return
	}
	in.failures, in.ejections = 0, 0
	if in.latency == 0 {
		in.latency = o.Latency
	}
	in.latency += (o.Latency - in.latency) / 8
}

// suspect counts failures in a row and reports whether they are enough for an ejection.
func (in *instance) suspect(e Event, limit int) bool {
	if e != EventFailed {
		return false
	}
	in.failures++
	return in.failures >= limit
}

func (in *instance) eject(now time.Time, length time.Duration) {
	in.ejectedUntil = now.Add(in.pause(length))
	in.failures = 0
	in.readySince = in.ejectedUntil
}

func (in *instance) setUnreachable(now time.Time, length time.Duration) {
	if !in.unreachableUntil.After(now) {
		in.unreachableUntil = now.Add(in.pause(length))
	}
}

// pause doubles with each ejection in a row.
func (in *instance) pause(length time.Duration) time.Duration {
	d := min(MaxEjection, length<<min(in.ejections, 8))
	in.ejections++
	return d
}
