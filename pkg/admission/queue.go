package admission

import (
	"math"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
)

// waiting is a queued request.
type waiting struct {
	ticket Ticket
	work   Work
}

// Queue assigns slots by rank: first to the ranks that have requests waiting and have used less than their guaranteed
// share, the most urgent first; then to the most urgent rank with requests waiting. A request that can no longer finish
// in time is refused before it takes a slot.
type Queue struct {
	settings  Settings
	limit     slotLimit
	estimates estimates
	accounts  [Ranks]account
	queues    [Ranks][]waiting
	queued    int
	inUse     int
	lastTop   time.Time
	lastID    Ticket
	notices   []Notice
}

var _ Discipline = (*Queue)(nil)

// New returns an empty Queue.
func New(s Settings) *Queue {
	s = s.withDefaults()
	q := &Queue{settings: s, limit: newSlotLimit(s.Slots, s.ColdSlots, s.Warm)}
	q.limit.exact = s.Exact
	q.estimates = estimates{deviations: s.Deviations, policies: make(map[string]*average)}
	q.SetShares(time.Time{}, s.Shares)
	return q
}

// Offer asks for a slot for a request.
func (q *Queue) Offer(now time.Time, w Work) Decision {
	w.Rank = clampRank(w.Rank)
	if w.Rank < q.settings.HeadroomRanks {
		q.lastTop = now
	}
	switch {
	case q.limit.announced == 0:
		return q.refuse(metric.RefusedNotReady, w)
	case q.estimates.tooSlow(now, w):
		return q.refuse(metric.RefusedDeadline, w)
	case len(q.queues[w.Rank]) == 0 && q.mayStart(now, w.Rank):
		// Requests waiting in other ranks cannot use this slot: each call that frees a slot assigns it at once. The
		// exception is a slot that became available when the headroom expired.
		q.start(now, w.Rank)
		return Decision{Verdict: Run}
	case q.tooLate(now, w):
		return q.refuse(metric.RefusedDeadline, w)
	}
	displaced, ok := q.makeRoom(now, w)
	if !ok {
		return q.refuse(metric.RefusedQueueFull, w)
	}
	q.lastID++
	q.queues[w.Rank] = append(q.queues[w.Rank], waiting{q.lastID, w})
	q.queued++
	return Decision{Verdict: Wait, Ticket: q.lastID, Displaced: displaced}
}

// Done releases the slot of a request that has ended and assigns it to the next one.
func (q *Queue) Done(now time.Time, w Work, r Result) []Notice {
	w.Rank = clampRank(w.Rank)
	q.notices = q.notices[:0]
	a := q.account(now, w.Rank)
	if a.inUse == 0 {
		return nil
	}
	q.limit.observe(r, q.inUse)
	a.inUse--
	q.inUse--
	if r.Served {
		q.estimates.add(w, r.Took)
	}
	q.dispatch(now)
	return q.notices
}

// Cancel removes a waiting request and reports whether it was still waiting.
func (q *Queue) Cancel(_ time.Time, t Ticket) bool {
	for r := range q.queues {
		for i, e := range q.queues[r] {
			if e.ticket == t {
				q.remove(r, i)
				return true
			}
		}
	}
	return false
}

// Expire refuses all waiting requests that can no longer finish in time.
func (q *Queue) Expire(now time.Time) []Notice {
	q.notices = q.notices[:0]
	for r := range q.queues {
		for i := 0; i < len(q.queues[r]); {
			if e := q.queues[r][i]; q.expired(now, e.work) {
				q.remove(r, i)
				q.notices = append(q.notices, Notice{e.ticket, q.refusal(metric.RefusedDeadline, e.work)})
				continue
			}
			i++
		}
	}
	return q.notices
}

// LatestStart returns the latest time at which w can start and is still expected to finish in time.
func (q *Queue) LatestStart(w Work) time.Time {
	if w.Deadline.IsZero() {
		return w.Deadline
	}
	w.Rank = clampRank(w.Rank)
	return w.Deadline.Add(-q.estimates.service(w))
}

// SetSlots sets the number of announced slots. If there are none, all waiting requests are refused.
func (q *Queue) SetSlots(now time.Time, n int) []Notice {
	q.notices = q.notices[:0]
	q.limit.announce(n)
	if q.limit.announced == 0 {
		q.refuseAll(metric.RefusedNotReady)
	}
	q.dispatch(now)
	return q.notices
}

// SetShares sets the guaranteed shares. Values outside 0 to 1 are clamped, and shares that add up to more than 1 are
// scaled down.
func (q *Queue) SetShares(now time.Time, shares map[int]float64) {
	clean, margin := cleanShares(shares)
	for r, s := range clean {
		a := q.account(now, r)
		a.share, a.margin = s, margin
	}
}

// Load returns the current use of the slots.
func (q *Queue) Load() Load { return Load{q.inUse, q.limit.slots(), q.queued} }

func (q *Queue) account(now time.Time, rank int) *account {
	a := &q.accounts[rank]
	a.advance(now, q.limit.limit, q.estimates.ranks[rank].mean)
	return a
}

func (q *Queue) start(now time.Time, rank int) {
	q.account(now, rank).inUse++
	q.inUse++
}

// dispatch assigns free slots to waiting requests.
func (q *Queue) dispatch(now time.Time) {
	for q.queued > 0 {
		rank, ok := q.next(now)
		if !ok {
			return
		}
		e := q.remove(rank, q.choose(now, rank))
		if q.expired(now, e.work) {
			q.notices = append(q.notices, Notice{e.ticket, q.refusal(metric.RefusedDeadline, e.work)})
			continue
		}
		q.start(now, rank)
		q.notices = append(q.notices, Notice{Ticket: e.ticket})
	}
}

// next returns the rank that gets the next slot: the starved rank that lags furthest behind its share, else the most
// urgent rank below its share, else the most urgent rank with requests waiting.
func (q *Queue) next(now time.Time) (int, bool) {
	const none = -1
	q.forgiveCommon(now)
	overdue, owed, any := none, none, none
	var furthest float64
	for r := range q.queues {
		if len(q.queues[r]) == 0 || !q.mayStart(now, r) {
			continue
		}
		if any == none {
			any = r
		}
		a := q.account(now, r)
		if !a.owed(q.limit.limit) {
			continue
		}
		if owed == none {
			owed = r
		}
		if behind := a.behind(q.limit.limit); behind >= overdueAfter.Seconds() && behind > furthest {
			overdue, furthest = r, behind
		}
	}
	switch {
	case overdue != none:
		return overdue, true
	case owed != none:
		return owed, true
	}
	return any, any != none
}

// forgiveCommon subtracts the smallest lag of the waiting ranks from all of them when all are starved. No assignment of
// slots can make up for a lag that all have in common. Only the differences matter, and they would be lost when the
// credits reach their upper bound.
func (q *Queue) forgiveCommon(now time.Time) {
	least := math.Inf(1)
	for r := range q.queues {
		if a := &q.accounts[r]; a.share > 0 && len(q.queues[r]) > 0 {
			least = min(least, q.account(now, r).behind(q.limit.limit))
		}
	}
	if least < overdueAfter.Seconds() || math.IsInf(least, 1) {
		return
	}
	for r := range q.queues {
		if a := &q.accounts[r]; len(q.queues[r]) > 0 {
			a.credit -= least * a.share * q.limit.limit
		}
	}
}

func (q *Queue) remove(rank, i int) waiting {
	list := q.queues[rank]
	e := list[i]
	copy(list[i:], list[i+1:])
	list[len(list)-1] = waiting{}
	q.queues[rank] = list[:len(list)-1]
	q.queued--
	return e
}

// expired reports whether w cannot finish in time if it starts now.
func (q *Queue) expired(now time.Time, w Work) bool {
	return !w.Deadline.IsZero() && !now.Before(q.LatestStart(w))
}

// tooLate reports whether w cannot finish in time after it has waited for the requests that are queued before it.
func (q *Queue) tooLate(now time.Time, w Work) bool {
	return !w.Deadline.IsZero() && !now.Add(q.waitOf(w)).Before(q.LatestStart(w))
}

// waitOf estimates how long a new request waits. In a backlog, a request with a target overtakes the others of its
// rank, so that only more urgent ranks are ahead of it.
func (q *Queue) waitOf(w Work) time.Duration {
	if w.Target.IsZero() {
		return q.wait(w.Rank)
	}
	if w.Rank == 0 {
		return 0
	}
	return q.wait(w.Rank - 1)
}

// wait estimates how long a new request of the rank waits: for all queued requests of this rank and more urgent ones to
// run on all slots, or for those of its own rank to run on its share, whichever is shorter. The estimate is too low if
// more urgent requests arrive later; Expire then refuses the request before it takes a slot.
func (q *Queue) wait(rank int) time.Duration {
	limit := max(q.limit.limit, 1)
	var ahead float64
	for r := 0; r <= rank; r++ {
		ahead += float64(len(q.queues[r])) * q.estimates.ranks[r].mean
	}
	wait := ahead / limit
	if share := q.accounts[rank].share * limit; share > 0 {
		own := float64(len(q.queues[rank])) * q.estimates.ranks[rank].mean / share
		wait = min(wait, own)
	}
	return seconds(wait)
}

func (q *Queue) refuse(reason metric.Refusal, w Work) Decision {
	return Decision{Verdict: Refuse, Refusal: q.refusal(reason, w)}
}

// refusal sets RetryAfter to the time until the current backlog has been worked off, but not below returnTime. A caller
// that retries at once meets the same backlog and uses up its attempts.
func (q *Queue) refusal(reason metric.Refusal, w Work) Refusal {
	return Refusal{reason, retryAfter(max(q.wait(Ranks-1), returnTime(w)))}
}

// returnTime is the minimum time after which a refused request may be retried.
func returnTime(w Work) time.Duration {
	if w.Target.IsZero() {
		return 0
	}
	return w.Target.Sub(w.Arrived) / returnPart
}

func (q *Queue) refuseAll(reason metric.Refusal) {
	for r := range q.queues {
		for len(q.queues[r]) > 0 {
			q.notices = append(q.notices, Notice{q.remove(r, 0).ticket, Refusal{Reason: reason}})
		}
	}
}

// returnPart divides the time that a target allows into the minimum time before a retry.
const returnPart = 2

// Limits of Refusal.RetryAfter: with a shorter time the retry is refused as well, with a longer one slots stay idle
// after an overload.
const (
	minRetryAfter = 10 * time.Millisecond
	maxRetryAfter = time.Second
)

func retryAfter(wait time.Duration) time.Duration {
	return min(max(wait, minRetryAfter), maxRetryAfter)
}
