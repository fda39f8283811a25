package proxy

import (
	"sync"
	"time"
)

// limitHold is how long a limit stays in force after the last response that named it, while other responses name none.
// Responses on several connections may be read in another order than they were sent.
const limitHold = 500 * time.Millisecond

// advice is what the responses of the local backend server say about the work that it takes.
type advice struct {
	mu sync.Mutex
	// limit is the number of requests per second that the backend server takes from all nodes together; zero means that
	// it names no limit. namedAt is the time of the last response that named one.
	limit   float64
	namedAt time.Time
	leaving bool
}

// observe takes the advice of one response. It calls setRate with a changed limit before the advice of another response is
// taken, since the calls of two responses could otherwise overtake each other and leave the older limit in force. It returns
// the limit in force, and whether the limit or the announcement that the backend server leaves has changed with this
// response.
func (a *advice) observe(now time.Time, v Verdict, setRate func(perSecond float64)) (limit float64, limitChanged, leavingChanged bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	before := a.limit
	switch {
	case v.RateLimit > 0:
		a.limit, a.namedAt = v.RateLimit, now
	case now.Sub(a.namedAt) > limitHold:
		a.limit = 0
	}
	leavingChanged = v.Leaving != a.leaving
	a.leaving = v.Leaving
	if a.limit != before {
		setRate(a.limit)
	}
	return a.limit, a.limit != before, leavingChanged
}
