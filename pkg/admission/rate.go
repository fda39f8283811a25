package admission

import (
	"math"
	"time"
)

// rateBurst is the time without any request whose tokens can be saved up.
const rateBurst = 250 * time.Millisecond

// rateLimit is a token bucket that limits the requests that start per second.
type rateLimit struct {
	// perSecond is the limit; zero means none.
	perSecond float64
	tokens    float64
	updated   time.Time
}

// set changes the limit. A limit that did not exist before starts with an empty bucket, since the backend server already
// has more requests than it wants.
func (r *rateLimit) set(now time.Time, perSecond float64) {
	if r.perSecond == 0 {
		r.tokens, r.updated = 0, now
	}
	r.advance(now)
	r.perSecond = max(perSecond, 0)
	r.tokens = min(r.tokens, r.capacity())
}

// capacity is the number of tokens that can be saved up.
func (r *rateLimit) capacity() float64 { return max(1, r.perSecond*rateBurst.Seconds()) }

func (r *rateLimit) advance(now time.Time) {
	if dt := now.Sub(r.updated).Seconds(); dt > 0 {
		r.tokens = min(r.tokens+dt*r.perSecond, r.capacity())
		r.updated = now
	}
}

// available reports whether a request may start now.
func (r *rateLimit) available(now time.Time) bool { return r.wait(now, 1) == 0 }

// take uses the token of a request that starts.
func (r *rateLimit) take(now time.Time) {
	if r.perSecond > 0 {
		r.advance(now)
		r.tokens--
	}
}

// wait returns the time until the given number of requests may have started.
func (r *rateLimit) wait(now time.Time, requests int) time.Duration {
	if r.perSecond == 0 {
		return 0
	}
	r.advance(now)
	missing := float64(requests) - r.tokens
	if missing <= 0 {
		return 0
	}
	// Rounded up, so that the tokens are there when the time has passed.
	return time.Duration(math.Ceil(missing / r.perSecond * float64(time.Second)))
}
