package admission

import (
	"math"
	"time"
)

const (
	// creditWindow limits the credit that a rank without waiting requests saves up; slot time beyond it is lent and not
	// made up for later.
	creditWindow = 250 * time.Millisecond
	// averageInUseWindow is the time over which the slots in use are averaged.
	averageInUseWindow = time.Second
	// starvationLag is the lag from which a rank counts as starved and goes before more urgent ranks that lag less;
	// otherwise those could use up the shares of all ranks together.
	starvationLag = creditWindow / 2
	// minDebtServiceTime is the shortest service time that is used to limit the debt, for a rank whose service time is
	// not yet known.
	minDebtServiceTime = time.Millisecond
	// shareMargin makes up for the slot time that a rank misses while it waits for a slot to become free. The guarantee
	// is a lower limit; without the margin, the slot time would be below it half of the time. The margin is smaller if
	// the shares add up to nearly 1.
	shareMargin = 1.05
	// catchUpSlots is the number of slots above its share that a rank with credit may hold.
	catchUpSlots = 1
)

// account tracks the slot time of one rank against its share, in slot-seconds. Credit grows with the rank's share of
// the limit and falls with the slots that it uses. Negative credit is debt. The debt is limited to one service time on
// each slot that the share allows the rank to hold: a lower limit would forgive slot time that the rank took as its
// share, and a higher one would make a rank that has borrowed slots wait longer for its guaranteed share.
type account struct {
	share float64
	// margin is the factor on the share when credit is computed.
	margin float64
	credit float64
	inUse  int
	// averageInUse is the moving average of the slots in use.
	averageInUse float64
	updated      time.Time
}

// advance updates the credit and the average use to now.
func (a *account) advance(now time.Time, limit, serviceTime float64) {
	dt := now.Sub(a.updated).Seconds()
	if dt <= 0 {
		return
	}
	a.updated = now
	a.averageInUse += (float64(a.inUse) - a.averageInUse) * dt / (dt + averageInUseWindow.Seconds())
	entitled := a.share * limit
	a.credit += (entitled*a.margin - float64(a.inUse)) * dt
	a.credit = min(a.credit, entitled*creditWindow.Seconds())
	a.credit = max(a.credit, -max(serviceTime, minDebtServiceTime.Seconds())*a.entitledSlots(limit))
}

// belowShare reports whether the rank has used less than its share. A rank may hold one slot more than its share to
// catch up after a pause; this limit keeps saved credit from turning into a burst above the share.
func (a *account) belowShare(limit float64) bool {
	return a.credit > 0 && float64(a.inUse) < a.entitledSlots(limit)
}

// lag returns the credit in seconds of the rank's share: 1 means that the rank has got none of its share for one
// second.
func (a *account) lag(limit float64) float64 { return a.credit / (a.share * limit) }

// entitledSlots is the number of slots that the rank may hold as its share.
func (a *account) entitledSlots(limit float64) float64 {
	return math.Ceil(a.share*limit) + catchUpSlots
}

// normalizeShares turns arbitrary values into shares from 0 to 1 that add up to at most 1, and returns the margin that
// these shares allow.
func normalizeShares(shares map[int]float64) (normalized [Ranks]float64, margin float64) {
	var sum float64
	for r, s := range shares {
		if r < 0 || r >= Ranks || math.IsNaN(s) {
			continue
		}
		normalized[r] = min(max(s, 0), 1)
	}
	for _, s := range normalized {
		sum += s
	}
	if sum > 1 {
		for r := range normalized {
			normalized[r] /= sum
		}
	}
	return normalized, min(shareMargin, max(1/sum, 1))
}
