package admission

import (
	"math"
	"time"
)

const (
	// creditWindow limits the credit that a rank without waiting requests saves up; slot time beyond it is lent for
	// good.
	creditWindow = 250 * time.Millisecond
	// usualWindow is the time over which the slots in use are averaged.
	usualWindow = time.Second
	// overdueAfter is the lag from which a rank goes before more urgent ranks that lag less; otherwise those could use
	// up the shares of all ranks together.
	overdueAfter = creditWindow / 2
	// minDebt is the lower limit of the service time in the limit of the debt, for a rank whose service time is not yet
	// known.
	minDebt = time.Millisecond
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
	// usual is the moving average of the slots in use.
	usual   float64
	updated time.Time
}

func (a *account) advance(now time.Time, limit, serviceTime float64) {
	dt := now.Sub(a.updated).Seconds()
	if dt <= 0 {
		return
	}
	a.updated = now
	a.usual += (float64(a.inUse) - a.usual) * dt / (dt + usualWindow.Seconds())
	entitled := a.share * limit
	a.credit += (entitled*a.margin - float64(a.inUse)) * dt
	a.credit = min(a.credit, entitled*creditWindow.Seconds())
	a.credit = max(a.credit, -max(serviceTime, minDebt.Seconds())*a.entitledSlots(limit))
}

// owed reports whether the rank has used less than its share. A rank may hold one slot more than its share to catch up
// after a pause; this limit keeps saved credit from turning into a burst above the share.
func (a *account) owed(limit float64) bool {
	return a.credit > 0 && float64(a.inUse) < a.entitledSlots(limit)
}

// behind returns the credit as the time, in seconds, for which the rank has had none of its share.
func (a *account) behind(limit float64) float64 { return a.credit / (a.share * limit) }

// entitledSlots is the number of slots that the rank may hold as its share.
func (a *account) entitledSlots(limit float64) float64 {
	return math.Ceil(a.share*limit) + catchUpSlots
}

// cleanShares turns arbitrary values into shares from 0 to 1 that add up to at most 1, and returns the margin that
// these shares allow.
func cleanShares(shares map[int]float64) (out [Ranks]float64, margin float64) {
	var sum float64
	for r, s := range shares {
		if r < 0 || r >= Ranks || math.IsNaN(s) {
			continue
		}
		out[r] = min(max(s, 0), 1)
	}
	for _, s := range out {
		sum += s
	}
	if sum > 1 {
		for r := range out {
			out[r] /= sum
		}
	}
	return out, min(shareMargin, max(1/sum, 1))
}
