package admission

import (
	"math"
	"time"
)

// mayStart reports whether a request of the rank may take a slot.
func (q *Queue) mayStart(now time.Time, rank int) bool {
	if q.inUse >= q.limit.slots() || !q.rate.available(now) {
		return false
	}
	if rank >= q.settings.HeadroomRanks && q.headroomReached(now) {
		return false
	}
	if float64(q.inUseFrom(rank)) < max(q.limit.limit-q.reserve(now, rank), 1) {
		return true
	}
	// The reserve limits the slots that a rank borrows, not those that it takes as its share or because it lags.
	return q.account(now, rank).belowShare(q.limit.limit) || q.rankLags(rank)
}

// inUseFrom is the number of slots in use by the rank and all less urgent ones.
func (q *Queue) inUseFrom(rank int) int {
	inUse := 0
	for _, a := range q.accounts[rank:] {
		inUse += a.inUse
	}
	return inUse
}

// minSlotReturns is how many lent slots must become free within the service time of a more urgent rank for the slots of
// that rank to be lent.
const minSlotReturns = 2

// reserve is the number of slots that are not lent to the rank because its requests are slow. On average, one lent slot
// becomes free every service time divided by the limit. If that takes more than half of the service time of a more
// urgent rank, the slots that the more urgent rank uses on average, and some more for its bursts, are not lent.
func (q *Queue) reserve(now time.Time, rank int) float64 {
	if q.settings.Reserve < 0 {
		return 0
	}
	returnInterval := q.estimates.ranks[rank].mean / q.limit.limit
	var averageInUse float64
	for r := range rank {
		if mean := q.estimates.ranks[r].mean; mean > 0 && mean < minSlotReturns*returnInterval {
			averageInUse += q.account(now, r).averageInUse
		}
	}
	return averageInUse + q.settings.Reserve*math.Sqrt(averageInUse)
}

// headroomHoldTime is how long the headroom stays reserved after the last request of a top rank. Without this limit, an
// overload without urgent requests would leave the headroom unused.
const headroomHoldTime = time.Second

// headroomReached reports whether the ranks below the top ranks use all slots but the headroom.
func (q *Queue) headroomReached(now time.Time) bool {
	headroom := int(q.settings.Headroom * q.limit.limit)
	if headroom == 0 || now.Sub(q.lastTopRankTime) > headroomHoldTime {
		return false
	}
	return q.inUseFrom(q.settings.HeadroomRanks) >= max(q.limit.slots()-headroom, 1)
}
