package admission

import (
	"math"
	"time"
)

const (
	// minServedRatio is the fraction of the service of all requests that each rank and each tenant keeps: of its requests,
	// at least this fraction of the part that starts of all requests. Strict ranks serve the least urgent rank not at all
	// in a long flood, and equal parts serve a large tenant far less often than small ones. The users' platform fails a
	// day on which a kind of request or a tenant is served less than a quarter as often as all; the margin is for what a
	// node cannot see, such as requests refused before they reach it.
	minServedRatio = 0.35
	// servedWindow is the time constant over which the fractions are taken. It is longer than the floods of a few seconds:
	// with 5 s, the least urgent rank counts as lagging during a burst of urgent requests that it can wait for.
	servedWindow = 20 * time.Second
	// maxLagRequests is the number of requests by which a rank or tenant may fall short before it lags. Without it, one
	// with few requests would lag as soon as the first one waits.
	maxLagRequests = 2
)

// servedFraction counts the requests asked for and started, decayed over servedWindow.
type servedFraction struct{ asked, started float64 }

func (f *servedFraction) decay(factor float64) {
	f.asked *= factor
	f.started *= factor
}

// served holds the fractions of all requests and of each rank.
type served struct {
	all     servedFraction
	ranks   [Ranks]servedFraction
	updated time.Time
}

func (s *served) advance(now time.Time) {
	dt := now.Sub(s.updated)
	if dt < minDecayTime {
		return
	}
	s.updated = now
	factor := math.Exp(-dt.Seconds() / servedWindow.Seconds())
	s.all.decay(factor)
	for r := range s.ranks {
		s.ranks[r].decay(factor)
	}
}

// countAsked counts a request, once for all instances that it is offered to: what is refused often is also offered often.
// Ranks are compared only while there are tenants: a deployment without them states its guarantees as shares.
func (q *Queue) countAsked(now time.Time, req Request, t *tenant) {
	if req.Moved || !q.tenants.active() {
		return
	}
	if t != nil {
		t.served.asked++
	}
	q.served.advance(now)
	q.served.all.asked++
	q.served.ranks[req.Rank].asked++
}

// countStarted counts a request that has got a slot.
func (q *Queue) countStarted(now time.Time, rank int) {
	if !q.tenants.active() {
		return
	}
	q.served.advance(now)
	q.served.all.started++
	q.served.ranks[rank].started++
}

// lags reports whether less than minServedRatio is started of the requests that f counts, compared with all.
func (q *Queue) lags(f servedFraction) bool {
	if !q.tenants.active() {
		return false
	}
	all := q.served.all
	return (f.started+maxLagRequests)*all.asked < minServedRatio*all.started*f.asked
}

// rankLags reports whether a rank lags.
func (q *Queue) rankLags(rank int) bool { return q.lags(q.served.ranks[rank]) }
