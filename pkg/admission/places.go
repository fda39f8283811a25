package admission

import (
	"math"
	"time"
)

// capacity is the maximum number of waiting requests. Under a rate limit it is smaller, so that a request that would wait
// for long is refused and can go to another instance.
func (q *Queue) capacity() int {
	slots := float64(q.limit.announced)
	if q.rate.perSecond > 0 {
		slots = q.usableSlots()
	}
	return int(math.Ceil(q.settings.QueueFactor * slots))
}

// sharePlaces is the number of places in the queue that the share of a rank guarantees.
func (q *Queue) sharePlaces(rank int) int {
	return int(math.Ceil(q.accounts[rank].share * float64(q.capacity())))
}

// ownPlaces is the number of places that a rank with a share keeps as long as this takes no places that the
// shares of other ranks guarantee. In an overload, a rank with a small share and few places has no request waiting for
// a time between two arrivals, and its slot goes to other ranks.
func (q *Queue) ownPlaces(rank int) int {
	if q.accounts[rank].share == 0 {
		if q.rankLags(rank) {
			return laggingPlaces
		}
		return 0
	}
	minPlaces := min(q.settings.MinPlaces, q.capacity()/minPlacesDivisor)
	return max(q.sharePlaces(rank), minPlaces)
}

// minPlacesDivisor divides the capacity of the queue; MinPlaces gives one rank at most the result.
const minPlacesDivisor = 5

// findPlace finds a place in the queue for a request. If requests wait too long already, only one of a tenant that holds
// more of its rank gives way; byTenant reports that. In a full queue, a request that can meet its target replaces the
// oldest one of its rank that cannot. Otherwise the request replaces the newest one of the least urgent rank that has
// more waiting than its places; this may be a more urgent rank only if the rank of the request has places left. A
// request within the places that its share guarantees, or the only one of its rank, may also take places that other
// ranks have through MinPlaces alone. At last, such a tenant gives way as well.
func (q *Queue) findPlace(now time.Time, req Request, own *tenant) (displaced queuedRequest, byTenant, ok bool) {
	rank := req.Rank
	if q.waitsTooLong(now, req) {
		e, ok := q.displaceTenant(now, req, own)
		return e, true, ok
	}
	if q.queued < q.capacity() {
		return queuedRequest{}, false, true
	}
	if e, ok := q.displaceLate(now, req); ok {
		return e, false, true
	}
	queued := len(q.queues[rank])
	if e, ok := q.displace(now, rank, queued < q.ownPlaces(rank), q.ownPlaces); ok {
		return e, false, true
	}
	if queued < max(q.sharePlaces(rank), 1) {
		if e, ok := q.displace(now, rank, queued < q.sharePlaces(rank), q.sharePlaces); ok {
			return e, false, true
		}
	}
	e, ok := q.displaceTenant(now, req, own)
	return e, true, ok
}

// displace removes the newest request of the least urgent rank that has more waiting than its places. The rank that the
// place is for never loses one itself, and a more urgent rank does only if entitled is set.
func (q *Queue) displace(now time.Time, rank int, entitled bool, places func(int) int) (queuedRequest, bool) {
	for r := Ranks - 1; r >= 0; r-- {
		if r == rank || (r < rank && !entitled) || len(q.queues[r]) <= places(r) {
			continue
		}
		return q.remove(r, q.newestToDisplace(now, r)), true
	}
	return queuedRequest{}, false
}

// waitsTooLong reports whether so many requests of this rank and more urgent ones wait that another one should rather be
// refused: it can start earlier at another instance, or when its caller returns. Late requests of its rank are not ahead
// of it. If it is late itself, it may wait: an answer is worth less, but a return is too late as well.
func (q *Queue) waitsTooLong(now time.Time, req Request) bool {
	if q.settings.MaxTargetWait == 0 || q.settings.WaitLimitNeedsTenants && !q.tenants.active() || req.Target.IsZero() || !q.onTime(now, req) {
		return false
	}
	ahead := 0
	for _, e := range q.queues[req.Rank] {
		if q.onTime(now, e.request) {
			ahead++
		}
	}
	if ahead == 0 {
		return false
	}
	left := req.Target.Sub(now) - seconds(q.estimates.lookup(req).mean)
	return float64(q.wait(now, req.Rank, ahead)) > float64(left)*q.settings.MaxTargetWait
}
