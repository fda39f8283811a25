package admission

import (
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
)

// A backend server that turns slow, or pauses, is noticed before any of its requests ends late: the running requests are
// on average older than requests should become at all. The estimates follow within a few requests, after which the
// server counts as slow no more, and deadlines and reported load decide what it gets.

// minSlowExcess is the time by which the mean age of the running requests must exceed what is usual. A node or backend
// server with a fraction of a core stands still for most of a scheduling period of 100 ms at times.
const minSlowExcess = 50 * time.Millisecond

// keptDivisor divides the slots; as many waiting requests stay when a backend server turns slow, so that its slots do
// not stay empty when it recovers.
const keptDivisor = 4

// pace tracks the ages of the running requests.
type pace struct {
	// reference is the time that starts counts from.
	reference time.Time
	// starts is the sum of the start times of the running requests by rank, in seconds after reference.
	starts [Ranks]float64
}

func (p *pace) start(now time.Time, rank int) {
	if p.reference.IsZero() {
		p.reference = now
	}
	p.starts[rank] += now.Sub(p.reference).Seconds()
}

// end removes a request; inUse is the number of requests of its rank that still run.
func (p *pace) end(now time.Time, rank int, r Result, inUse int) {
	started := r.Started
	if started.IsZero() {
		started = now.Add(-r.ServiceTime)
	}
	p.starts[rank] -= started.Sub(p.reference).Seconds()
	if inUse == 0 {
		p.starts[rank] = 0
	}
}

// slack returns how long the running requests can go on without an end until the backend server counts as slow; zero or
// less if it does already. It returns false if it cannot be told, or a slot is free.
func (q *Queue) slack(now time.Time) (time.Duration, bool) {
	if !q.settings.MoveWhenSlow || q.inUse == 0 || q.inUse < q.limit.slots() {
		return 0, false
	}
	at := now.Sub(q.pace.reference).Seconds()
	var room float64
	for r := range q.accounts {
		n := float64(q.accounts[r].inUse)
		if n == 0 {
			continue
		}
		a := q.estimates.ranks[r]
		if a.mean == 0 {
			return 0, false
		}
		room += n*(a.mean+q.estimates.deviations*a.deviation+minSlowExcess.Seconds()) - (n*at - q.pace.starts[r])
	}
	return seconds(room / float64(q.inUse)), true
}

func (q *Queue) slow(now time.Time) bool {
	room, ok := q.slack(now)
	return ok && room <= 0
}

// nextSlow returns the time until the backend server counts as slow unless a request ends before. It returns false if no
// waiting request would have to move then.
func (q *Queue) nextSlow(now time.Time) (time.Duration, bool) {
	if q.queued <= q.kept() {
		return 0, false
	}
	room, ok := q.slack(now)
	if !ok || room <= 0 {
		return 0, false
	}
	return max(room, time.Millisecond), true
}

// kept is the number of waiting requests that stay when the backend server turns slow.
func (q *Queue) kept() int { return max(q.limit.slots()/keptDivisor, 1) }

// shouldMove reports whether a request with the given number of others ahead should move to another instance: this
// one is slow, and another one that is not can still answer in time.
func (q *Queue) shouldMove(now time.Time, req Request, ahead int) bool {
	return q.settings.MoveWhenSlow && ahead >= q.kept() && !req.Target.IsZero() && q.onTime(now, req) && q.slow(now)
}

// moveWaiting refuses the waiting requests that should move to another instance, the most urgent excepted.
func (q *Queue) moveWaiting(now time.Time) {
	if q.queued <= q.kept() || !q.slow(now) {
		return
	}
	ahead := 0
	for r := range q.queues {
		for i := 0; i < len(q.queues[r]); {
			if !q.shouldMove(now, q.queues[r][i].request, ahead) {
				ahead++
				i++
				continue
			}
			e := q.remove(r, i)
			q.moved++
			q.notices = append(q.notices, Notice{Ticket: e.ticket, Refusal: q.refusal(now, metric.RefusedBackendSlow, e.request)})
		}
	}
}
