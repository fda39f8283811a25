package admission

import (
	"math"
	"time"
)

const (
	// creditWindow bounds the share that a rank without waiting work saves up; more of it is lent for good.
	creditWindow = 250 * time.Millisecond
	// usualWindow is the time over which the usual use of slots is averaged.
	usualWindow = time.Second
	// overdueAfter is when a rank that is owed goes before more urgent ranks that are owed less; otherwise those use up
	// the shares together.
	overdueAfter = creditWindow / 2
	// minDebt is the lowest bound on the debt of a rank whose service time is not yet known.
	minDebt = time.Millisecond
	// shareMargin makes up for slot time that a rank misses while it waits for a slot to come free. The guarantee is a
	// lower bound; exact accounts stay below it half of the time. It is smaller where the shares add up to nearly 1.
	shareMargin = 1.05
	// catchUpSlots is how many slots over its share a rank with credit may hold.
	catchUpSlots = 1
)

// account tracks one rank's slot time against its share, in slot seconds. Credit grows by the share of the limit and
// falls by the slots in use. The debt is bounded by one service time on each slot that the share allows the rank to
// hold: less would forgive slot time that it took as its share, more would make a rank that borrowed lent slots wait
// longer for its guarantee.
type account struct {
	share float64
	// margin multiplies the share in the account.
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

// owed reports whether the rank has used less than its share. One slot more than the share lets it catch up after a
// pause; the bound keeps saved credit from becoming a burst over the share.
func (a *account) owed(limit float64) bool {
	return a.credit > 0 && float64(a.inUse) < a.entitledSlots(limit)
}

// behind is for how long the rank has missed all of its share, in seconds.
func (a *account) behind(limit float64) float64 { return a.credit / (a.share * limit) }

// entitledSlots is how many slots the rank may take as its share.
func (a *account) entitledSlots(limit float64) float64 {
	return math.Ceil(a.share*limit) + catchUpSlots
}

// cleanShares turns any values into shares from 0 to 1 that add up to at most 1, and returns the margin that they leave.
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
