package admission

import (
	"math"
	"time"
)

const (
	// creditWindow bounds the share that a rank without waiting work saves up; more of it is lent for good.
	creditWindow = 250 * time.Millisecond
	// minDebt is the lowest bound on the debt of a rank whose service time is not yet known.
	minDebt = time.Millisecond
)

// account tracks one rank's slot time against its share, in slot seconds. Credit grows by the share of the limit and
// falls by the slots in use. The debt is bounded by one service time, so that a rank that borrowed lent slots waits
// for its guarantee at most serviceTime / (share x limit).
type account struct {
	share   float64
	credit  float64
	inUse   int
	updated time.Time
}

func (a *account) advance(now time.Time, limit, serviceTime float64) {
	dt := now.Sub(a.updated).Seconds()
	if dt <= 0 {
		return
	}
	a.updated = now
	entitled := a.share * limit
	a.credit += (entitled - float64(a.inUse)) * dt
	a.credit = min(a.credit, entitled*creditWindow.Seconds())
	a.credit = max(a.credit, -max(serviceTime, minDebt.Seconds()))
}

// owed reports whether the rank has used less than its share. The bound on slots in use keeps saved credit from
// becoming a burst over the share.
func (a *account) owed(limit float64) bool {
	return a.credit > 0 && float64(a.inUse) < math.Ceil(a.share*limit)
}

// cleanShares turns any values into shares from 0 to 1 that add up to at most 1.
func cleanShares(shares map[int]float64) (out [Ranks]float64) {
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
	return out
}
