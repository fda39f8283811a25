package admission

import (
	"math"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
)

type queuedRequest struct {
	ticket  Ticket
	request Request
	// tenant is nil for a request without a tenant.
	tenant *tenant
	// cost is the service time in seconds that was estimated when the request was queued; zero without tenants.
	cost float64
}

// Queue assigns slots by rank: first to the ranks that have requests waiting and have used less than their guaranteed
// share, the most urgent first; then to the most urgent rank with requests waiting. Within a rank, tenants share the slots
// equally. A request that can no longer finish in time is refused before it takes a slot.
type Queue struct {
	settings  Settings
	limit     slotLimit
	rate      rateLimit
	estimates estimates
	accounts  [Ranks]account
	queues    [Ranks][]queuedRequest
	tenants   tenants
	served    served
	returns   returns
	// displacedByShare and moved count the waiting requests that were refused for the share of their tenant, and because
	// the backend server was slow.
	displacedByShare, moved uint64
	pace                    pace
	queued                  int
	inUse                   int
	lastTopRankTime         time.Time
	lastTicket              Ticket
	notices                 []Notice
}

var _ Discipline = (*Queue)(nil)

// New returns an empty Queue.
func New(s Settings) *Queue {
	s = s.withDefaults()
	q := &Queue{settings: s, limit: newSlotLimit(s.Slots, s.ColdSlots, s.WarmStart)}
	q.limit.exactSlots = s.ExactSlots
	q.estimates = estimates{deviations: s.Deviations, policies: make(map[string]*average)}
	q.SetShares(time.Time{}, s.Shares)
	return q
}

// Offer asks for a slot for a request.
func (q *Queue) Offer(now time.Time, req Request) Decision {
	req.Rank = clampRank(req.Rank)
	if req.Rank < q.settings.HeadroomRanks {
		q.lastTopRankTime = now
	}
	t := q.tenants.find(now, req.Tenant)
	q.countAsked(now, req, t)
	switch {
	case q.limit.announced == 0:
		return q.refuse(now, metric.RefusedNotReady, req)
	case q.estimates.cannotFinish(now, req):
		return q.refuse(now, metric.RefusedDeadline, req)
	case len(q.queues[req.Rank]) == 0 && q.mayStart(now, req.Rank):
		// Requests waiting in other ranks cannot use this slot: each call that frees a slot assigns it at once. The
		// exception is a slot that became available when the headroom expired.
		q.start(now, req, t)
		return Decision{Verdict: Run}
	case q.shouldMove(now, req, q.queued):
		return q.refuse(now, metric.RefusedBackendSlow, req)
	case q.cannotFinishAfterWait(now, req, t):
		return q.refuse(now, metric.RefusedDeadline, req)
	}
	displaced, byTenant, ok := q.findPlace(now, req, t)
	if !ok && !q.rate.available(now) {
		return q.refuse(now, metric.RefusedRateLimited, req)
	}
	if !ok && q.overShare(req.Rank, t) {
		return q.refuse(now, metric.RefusedTenantShare, req)
	}
	if !ok {
		return q.refuse(now, metric.RefusedQueueFull, req)
	}
	q.lastTicket++
	q.add(queuedRequest{ticket: q.lastTicket, request: req, tenant: t})
	d := Decision{Verdict: Wait, Ticket: q.lastTicket, Displaced: displaced.ticket}
	if d.Displaced != 0 {
		d.DisplacedRefusal = q.displacement(now, displaced.request, byTenant)
	}
	return d
}

// Done releases the slot of a request that has ended and assigns it to the next one.
func (q *Queue) Done(now time.Time, req Request, r Result) []Notice {
	req.Rank = clampRank(req.Rank)
	q.notices = q.notices[:0]
	a := q.account(now, req.Rank)
	if a.inUse == 0 {
		return nil
	}
	q.limit.observe(r, q.inUse)
	a.inUse--
	q.inUse--
	if q.settings.MoveWhenSlow {
		q.pace.end(now, req.Rank, r, a.inUse)
	}
	if t := q.tenants.lookup(req.Tenant); t != nil {
		t.advance(now)
		t.end(r.ServiceTime)
	}
	if r.Served {
		q.estimates.add(req, r.ServiceTime)
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
			if e := q.queues[r][i]; q.expired(now, e.request) {
				q.remove(r, i)
				q.notices = append(q.notices, Notice{Ticket: e.ticket, Refusal: q.refusal(now, metric.RefusedDeadline, e.request)})
				continue
			}
			i++
		}
	}
	return q.notices
}

// LatestStart returns the latest time at which req can start and is still expected to finish in time.
func (q *Queue) LatestStart(req Request) time.Time {
	if req.Deadline.IsZero() {
		return req.Deadline
	}
	req.Rank = clampRank(req.Rank)
	return req.Deadline.Add(-q.estimates.serviceTime(req))
}

// SetSlots sets the number of announced slots. If there are none, all waiting requests are refused.
func (q *Queue) SetSlots(now time.Time, n int) []Notice {
	q.notices = q.notices[:0]
	q.limit.setAnnounced(n)
	if q.limit.announced == 0 {
		q.refuseAll(metric.RefusedNotReady)
	}
	q.dispatch(now)
	return q.notices
}

// SetShares sets the guaranteed shares. Values outside 0 to 1 are clamped, and shares that add up to more than 1 are
// scaled down.
func (q *Queue) SetShares(now time.Time, shares map[int]float64) {
	normalized, margin := normalizeShares(shares)
	for r, s := range normalized {
		a := q.account(now, r)
		a.share, a.margin = s, margin
	}
}

// Load returns the current use of the slots.
func (q *Queue) Load() Load { return Load{q.inUse, int(math.Ceil(q.usableSlots())), q.queued} }

// SetRate limits the requests that start per second; zero means no limit.
func (q *Queue) SetRate(now time.Time, perSecond float64) []Notice {
	q.notices = q.notices[:0]
	q.rate.set(now, perSecond)
	q.dispatch(now)
	return q.notices
}

// Wake starts the waiting requests that the rate limit allows by now, and refuses those that should move to another
// instance.
func (q *Queue) Wake(now time.Time) []Notice {
	q.notices = q.notices[:0]
	q.dispatch(now)
	q.moveWaiting(now)
	return q.notices
}

// NextWake returns how long after now the rate limit lets a waiting request start, or the backend server counts as slow
// so that waiting requests should move, whichever is sooner. It returns false if none waits for either.
func (q *Queue) NextWake(now time.Time) (time.Duration, bool) {
	if q.queued == 0 {
		return 0, false
	}
	after, ok := q.nextSlow(now)
	if q.rate.available(now) {
		return after, ok
	}
	if wait := q.rate.wait(now, 1); !ok || wait < after {
		return wait, true
	}
	return after, true
}

// usableSlots is the number of slots that requests can use at the same time. Under a rate limit, that is the number that
// start during the mean service time.
func (q *Queue) usableSlots() float64 {
	slots, mean := float64(q.limit.slots()), q.estimates.all.mean
	if q.rate.perSecond == 0 || mean == 0 || slots == 0 {
		return slots
	}
	return min(max(q.rate.perSecond*mean, 1), slots)
}

// account returns the account of a rank, updated to now.
func (q *Queue) account(now time.Time, rank int) *account {
	a := &q.accounts[rank]
	a.advance(now, q.limit.limit, q.estimates.ranks[rank].mean)
	return a
}

func (q *Queue) start(now time.Time, req Request, t *tenant) {
	q.account(now, req.Rank).inUse++
	q.inUse++
	q.rate.take(now)
	if q.settings.MoveWhenSlow {
		q.pace.start(now, req.Rank)
	}
	if t != nil {
		t.advance(now)
		t.start(q.estimates.lookup(req).mean)
	}
	q.countStarted(now, req.Rank)
}

// add appends a request to the queue of its rank.
func (q *Queue) add(e queuedRequest) {
	rank := e.request.Rank
	if q.tenants.active() {
		e.cost = q.estimates.lookup(e.request).mean
	}
	if t := e.tenant; t != nil {
		t.waiting++
		t.queued[rank]++
		t.queuedCost[rank] += e.cost
	}
	q.queues[rank] = append(q.queues[rank], e)
	q.queued++
}

// dispatch assigns free slots to waiting requests.
func (q *Queue) dispatch(now time.Time) {
	for q.queued > 0 {
		rank, ok := q.nextRank(now)
		if !ok {
			return
		}
		e := q.remove(rank, q.selectWaiting(now, rank))
		if q.expired(now, e.request) {
			q.notices = append(q.notices, Notice{Ticket: e.ticket, Refusal: q.refusal(now, metric.RefusedDeadline, e.request)})
			continue
		}
		q.start(now, e.request, e.tenant)
		q.notices = append(q.notices, Notice{Ticket: e.ticket, Started: now})
	}
}

// nextRank returns the rank that gets the next slot: the starved rank that lags furthest behind its share, else the
// most urgent rank that lags behind the service of all ranks, else the most urgent rank below its share, else the most
// urgent rank with requests waiting.
func (q *Queue) nextRank(now time.Time) (int, bool) {
	const none = -1
	q.subtractCommonLag(now)
	starved, lagging, belowShare, mostUrgent := none, none, none, none
	var greatestLag float64
	for r := range q.queues {
		if len(q.queues[r]) == 0 || !q.mayStart(now, r) {
			continue
		}
		if mostUrgent == none {
			mostUrgent = r
		}
		if lagging == none && q.rankLags(r) {
			lagging = r
		}
		a := q.account(now, r)
		if !a.belowShare(q.limit.limit) {
			continue
		}
		if belowShare == none {
			belowShare = r
		}
		if lag := a.lag(q.limit.limit); lag >= starvationLag.Seconds() && lag > greatestLag {
			starved, greatestLag = r, lag
		}
	}
	switch {
	case starved != none:
		return starved, true
	case lagging != none:
		return lagging, true
	case belowShare != none:
		return belowShare, true
	}
	return mostUrgent, mostUrgent != none
}

// subtractCommonLag subtracts the smallest lag of the waiting ranks from all of them when all are starved. No
// assignment of slots can make up for a lag that all have in common. Only the differences matter, and they would be
// lost when the credits reach their upper bound.
func (q *Queue) subtractCommonLag(now time.Time) {
	smallestLag := math.Inf(1)
	for r := range q.queues {
		if a := &q.accounts[r]; a.share > 0 && len(q.queues[r]) > 0 {
			smallestLag = min(smallestLag, q.account(now, r).lag(q.limit.limit))
		}
	}
	if smallestLag < starvationLag.Seconds() || math.IsInf(smallestLag, 1) {
		return
	}
	for r := range q.queues {
		if a := &q.accounts[r]; len(q.queues[r]) > 0 {
			a.credit -= smallestLag * a.share * q.limit.limit
		}
	}
}

func (q *Queue) remove(rank, i int) queuedRequest {
	list := q.queues[rank]
	e := list[i]
	copy(list[i:], list[i+1:])
	list[len(list)-1] = queuedRequest{}
	q.queues[rank] = list[:len(list)-1]
	q.queued--
	if t := e.tenant; t != nil {
		t.waiting--
		t.queued[rank]--
		t.queuedCost[rank] -= e.cost
		if t.queued[rank] == 0 {
			t.queuedCost[rank] = 0 // removes rounding errors
		}
	}
	return e
}

// expired reports whether req cannot finish in time if it starts now.
func (q *Queue) expired(now time.Time, req Request) bool {
	return !req.Deadline.IsZero() && !now.Before(q.LatestStart(req))
}

// cannotFinishAfterWait reports whether req cannot finish in time after it has waited for the requests that are queued
// before it.
func (q *Queue) cannotFinishAfterWait(now time.Time, req Request, t *tenant) bool {
	return !req.Deadline.IsZero() && !now.Add(q.expectedWait(now, req, t)).Before(q.LatestStart(req))
}

// expectedWait estimates how long a new request waits. In a backlog, a request with a target overtakes the others of
// its rank, so that only more urgent ranks are ahead of it.
func (q *Queue) expectedWait(now time.Time, req Request, t *tenant) time.Duration {
	if req.Target.IsZero() {
		return q.wait(now, req.Rank, q.requestsAhead(req.Rank, t))
	}
	return q.rankWait(now, req.Rank-1)
}

// rankWait estimates how long a new request of the rank waits: for all queued requests of this rank and more urgent
// ones to run on all slots, or for those of its own rank to run on its share, whichever is shorter, and for the rate
// limit to let them and the new one start. The estimate is too low if more urgent requests arrive later; Expire then
// refuses the request before it takes a slot. Rank -1 stands for a request that no other one is ahead of.
func (q *Queue) rankWait(now time.Time, rank int) time.Duration {
	if rank < 0 {
		return q.rate.wait(now, 1)
	}
	return q.wait(now, rank, len(q.queues[rank]))
}

// wait is rankWait for a request that only ownAhead waiting requests of its rank start before.
func (q *Queue) wait(now time.Time, rank, ownAhead int) time.Duration {
	limit := max(q.limit.limit, 1)
	own := float64(ownAhead) * q.estimates.ranks[rank].mean
	var ahead float64
	requests := 1 + ownAhead
	for r := range rank {
		ahead += float64(len(q.queues[r])) * q.estimates.ranks[r].mean
		requests += len(q.queues[r])
	}
	wait := (ahead + own) / limit
	if share := q.accounts[rank].share * limit; share > 0 {
		wait = min(wait, own/share)
	}
	return max(seconds(wait), q.rate.wait(now, requests))
}

func (q *Queue) refuse(now time.Time, reason metric.Refusal, req Request) Decision {
	return Decision{Verdict: Refuse, Refusal: q.refusal(now, reason, req)}
}

// refusal sets RetryAfter to the time until the current backlog has been worked off, but not below targetRetryDelay. A
// caller that retries at once meets the same backlog and uses up its attempts. Requests of tenants are told different
// times, so that those refused together do not return together.
func (q *Queue) refusal(now time.Time, reason metric.Refusal, req Request) Refusal {
	if req.Tenant != "" {
		return Refusal{reason, clampRetryAfter(q.spreadReturn(now, req))}
	}
	return Refusal{reason, clampRetryAfter(max(q.rankWait(now, Ranks-1), targetRetryDelay(req)))}
}

// targetRetryDelay is the minimum time before a retry of a refused request that has a target.
func targetRetryDelay(req Request) time.Duration {
	if req.Target.IsZero() {
		return 0
	}
	return req.Target.Sub(req.Arrived) / retryDelayDivisor
}

func (q *Queue) refuseAll(reason metric.Refusal) {
	for r := range q.queues {
		for len(q.queues[r]) > 0 {
			q.notices = append(q.notices, Notice{Ticket: q.remove(r, 0).ticket, Refusal: Refusal{Reason: reason}})
		}
	}
}

// retryDelayDivisor divides the time that a target allows; the result is the minimum time before a retry.
const retryDelayDivisor = 2

// Limits of Refusal.RetryAfter: with a shorter time the retry is refused as well, with a longer one slots stay idle
// after an overload.
const (
	minRetryAfter = 10 * time.Millisecond
	maxRetryAfter = time.Second
)

func clampRetryAfter(wait time.Duration) time.Duration {
	return min(max(wait, minRetryAfter), maxRetryAfter)
}
