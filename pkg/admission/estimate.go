package admission

import "time"

const (
	// maxPolicyAverages bounds the memory for averages, of which a configuration may need thousands.
	maxPolicyAverages = 10_000
	// averageWeight is the weight of a new sample; the average follows a change within about ten samples.
	averageWeight = 0.125
	// refusalDecay lowers an estimate that has caused a refusal. Refused requests give no new samples, so an estimate
	// that is too high would otherwise refuse the requests of its policy forever.
	refusalDecay = 0.98
)

// average is an exponential moving average of the service time and of its mean deviation, in seconds.
type average struct{ mean, deviation float64 }

func (a *average) add(serviceTime time.Duration) {
	sample := serviceTime.Seconds()
	if a.mean == 0 {
		a.mean, a.deviation = sample, sample/4
		return
	}
	diff := sample - a.mean
	a.mean += averageWeight * diff
	a.deviation += averageWeight * (max(diff, -diff) - a.deviation)
}

// estimates holds an average for each policy, one for each rank, which is used for policies without samples, and one for
// all requests.
type estimates struct {
	deviations float64
	policies   map[string]*average
	ranks      [Ranks]average
	all        average
}

func (e *estimates) add(req Request, serviceTime time.Duration) {
	if serviceTime <= 0 {
		return
	}
	e.ranks[req.Rank].add(serviceTime)
	e.all.add(serviceTime)
	a := e.policies[req.Policy]
	if a == nil {
		if len(e.policies) >= maxPolicyAverages {
			// Withdrawn policies are not removed one by one; the averages of those in use are rebuilt within a few
			// samples.
			clear(e.policies)
		}
		a = new(average)
		e.policies[req.Policy] = a
	}
	a.add(serviceTime)
}

func (e *estimates) lookup(req Request) *average {
	if a := e.policies[req.Policy]; a != nil {
		return a
	}
	return &e.ranks[req.Rank]
}

// serviceTime returns a high estimate of the service time of req.
func (e *estimates) serviceTime(req Request) time.Duration {
	a := e.lookup(req)
	return seconds(a.mean + e.deviations*a.deviation)
}

// cannotFinish reports whether req could not finish in time even if it started now, and lowers the estimate if so. It
// uses the mean without the deviations: a request that may be late is a better use of a free slot than none.
func (e *estimates) cannotFinish(now time.Time, req Request) bool {
	a := e.lookup(req)
	if req.Deadline.IsZero() || now.Add(seconds(a.mean)).Before(req.Deadline) {
		return false
	}
	if now.Before(req.Deadline) {
		a.mean *= refusalDecay
		a.deviation *= refusalDecay
	}
	return true
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
