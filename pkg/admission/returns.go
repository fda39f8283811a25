package admission

import "time"

// returns tracks the slot time, by rank, of the refused requests that are expected to return.
type returns struct {
	pending [Ranks]float64
	updated time.Time
}

// advance takes the slot time that has passed since the last update off the pending returns, most urgent first.
func (r *returns) advance(now time.Time, slots float64) {
	dt := now.Sub(r.updated).Seconds()
	if dt <= 0 {
		return
	}
	r.updated = now
	free := dt * slots
	for i := range r.pending {
		used := min(free, r.pending[i])
		r.pending[i] -= used
		free -= used
	}
}

// honouredWaitDivisor divides the time that is left of a request; callers wait no longer than the result before they
// return, whatever they are told.
const honouredWaitDivisor = 3

// tenantRetryDelayDivisor replaces retryDelayDivisor for requests of tenants. Their queues are shorter, and callers count the
// time to their target from the first attempt: after half of it, there is too little left for many kinds of requests.
const tenantRetryDelayDivisor = 4

// spreadReturn returns the time after which a refused request should return: when the waiting requests of its rank and of
// more urgent ones have run, but not before a part of its target, and then after the requests that were told to return
// before it. Returns that do not fit into the time that callers wait start over at its beginning.
func (q *Queue) spreadReturn(now time.Time, req Request) time.Duration {
	after := max(q.rankWait(now, req.Rank), targetRetryDelay(req)*retryDelayDivisor/tenantRetryDelayDivisor)
	q.returns.advance(now, max(q.limit.limit, 1))
	var ahead float64
	for r := 0; r <= req.Rank; r++ {
		ahead += q.returns.pending[r]
	}
	q.returns.pending[req.Rank] += q.estimates.lookup(req).mean
	spread := seconds(ahead / max(q.limit.limit, 1))
	if req.Deadline.IsZero() {
		return after + spread
	}
	room := req.Deadline.Sub(now)/honouredWaitDivisor - after
	if room <= 0 {
		return after
	}
	return after + spread%room
}
