package admission

import (
	"math"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
)

// waiting is work in a rank's queue.
type waiting struct {
	ticket Ticket
	work   Request
}

// Queue gives slots by rank: a rank that waits and has used less than its guaranteed share goes first, the most
// urgent of them before the others; then the most urgent waiting rank. Work that can no longer finish in time is
// refused before it takes a slot.
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

// New returns an empty queue.
func New(s Settings) *Queue {
	s = s.withDefaults()
	q := &Queue{settings: s, limit: newSlotLimit(s.Slots, s.ColdSlots, s.WarmStart)}
	q.limit.exact = s.ExactSlots
	q.estimates = estimates{deviations: s.Deviations, policies: make(map[string]*average)}
	q.SetShares(time.Time{}, s.Shares)
	return q
}

// Offer asks for a slot.
func (q *Queue) Offer(now time.Time, w Request) Decision {
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
		// Other ranks that wait could not use the slot, unless the headroom has run out since: every call that frees one
		// hands it out at once.
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

// Done returns the slot of work that ran and hands it on.
func (q *Queue) Done(now time.Time, w Request, r Result) []Notice {
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
		q.estimates.add(w, r.ServiceTime)
	}
	q.dispatch(now)
	return q.notices
}

// Cancel removes waiting work.
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

// Expire refuses all waiting work that can no longer finish in time.
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

// LatestStart returns the last instant at which w can start and is expected to finish in time.
func (q *Queue) LatestStart(w Request) time.Time {
	if w.Deadline.IsZero() {
		return w.Deadline
	}
	w.Rank = clampRank(w.Rank)
	return w.Deadline.Add(-q.estimates.service(w))
}

// SetSlots changes the announced slots. With none, all waiting work is refused.
func (q *Queue) SetSlots(now time.Time, n int) []Notice {
	q.notices = q.notices[:0]
	q.limit.announce(n)
	if q.limit.announced == 0 {
		q.refuseAll(metric.RefusedNotReady)
	}
	q.dispatch(now)
	return q.notices
}

// SetShares changes the guaranteed shares. Values outside 0 to 1 are clamped, and a sum over 1 is scaled down.
func (q *Queue) SetShares(now time.Time, shares map[int]float64) {
	clean, margin := cleanShares(shares)
	for r, s := range clean {
		a := q.account(now, r)
		a.share, a.margin = s, margin
	}
}

// Load returns the use of the slots.
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

// dispatch hands free slots to waiting work.
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

// next returns the rank that gets the next slot: of those that are overdue the one furthest behind, else the most urgent
// of those that are owed a slot, else the most urgent of those that wait.
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

// forgiveCommon lowers the credit of all waiting ranks together when all of them are overdue. Slots cannot make up for
// that, only the differences matter, and credit at its bound would lose them.
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
func (q *Queue) expired(now time.Time, w Request) bool {
	return !w.Deadline.IsZero() && !now.Before(q.LatestStart(w))
}

// tooLate reports whether w cannot finish in time behind the work that waits before it.
func (q *Queue) tooLate(now time.Time, w Request) bool {
	return !w.Deadline.IsZero() && !now.Add(q.waitOf(w)).Before(q.LatestStart(w))
}

// waitOf estimates how long new work waits. Work with a target overtakes the work of its rank in a backlog, so that only
// more urgent ranks are ahead of it.
func (q *Queue) waitOf(w Request) time.Duration {
	if w.Target.IsZero() {
		return q.wait(w.Rank)
	}
	if w.Rank == 0 {
		return 0
	}
	return q.wait(w.Rank - 1)
}

// wait estimates how long new work of the rank waits: behind all work of its and more urgent ranks on all slots, or
// behind its own rank on its share, whichever is shorter. The estimate is low when more urgent work arrives later;
// Expire refuses what it lets in wrongly, before that work takes a slot.
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

func (q *Queue) refuse(reason metric.Refusal, w Request) Decision {
	return Decision{Verdict: Refuse, Refusal: q.refusal(reason, w)}
}

// refusal tells when to come back: when the backlog is worked off as it is now, but not before a part of the time that the
// target allows. A caller that comes back at once meets the same backlog and uses up its tries.
func (q *Queue) refusal(reason metric.Refusal, w Request) Refusal {
	return Refusal{reason, retryAfter(max(q.wait(Ranks-1), returnTime(w)))}
}

// returnTime is the shortest time after which refused work comes back.
func returnTime(w Request) time.Duration {
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

// returnPart of the time that a target allows is when refused work may come back.
const returnPart = 2

// Bounds of Refusal.RetryAfter: shorter ones repeat the refusal, longer ones leave slots idle after a flood.
const (
	minRetryAfter = 10 * time.Millisecond
	maxRetryAfter = time.Second
)

func retryAfter(wait time.Duration) time.Duration {
	return min(max(wait, minRetryAfter), maxRetryAfter)
}
