package quota

import (
	"math"
	"time"
)

const (
	// aheadTime is the demand, as a time, for which tokens are taken ahead.
	aheadTime = 200 * time.Millisecond
	// aheadLead is the demand, as a time, below which the held tokens are replenished.
	aheadLead = 50 * time.Millisecond
	// minAheadRate is the number of requests per second at one node from which tokens are taken ahead. Below it, most
	// tokens taken ahead would expire unused.
	minAheadRate = 20
	// maxBlock is the longest time for which a node refuses requests by the last answer of the home.
	maxBlock = 50 * time.Millisecond
	// minRetryAfter is the shortest time after which a refused caller is asked to come back.
	minRetryAfter = 50 * time.Millisecond
	// loneShare is the share of the zone's rate that all its nodes together admit while each reaches no other.
	loneShare = 0.5
	// loneMemory is the time after which the allowance of a lone node starts again at zero.
	loneMemory = time.Second
)

// Verdict is the decision about one request at the node that it enters.
type Verdict uint8

const (
	// Refuse: the tenant is over its quota.
	Refuse Verdict = iota
	// Admit: a token was used.
	Admit
	// Fetch: no token is held and the home must be asked.
	Fetch
)

// lot is a number of tokens that expire together.
type lot struct {
	tokens  int
	expires time.Time
}

// Account holds what a node knows about a tenant whose home is another node.
type Account struct {
	terms Terms
	lots  []lot
	held  int
	rate  meter
	used  time.Time
	// arrived and refused count the requests since the last Ask.
	arrived, refused int
	// blockedUntil is the time until which requests are refused without a call. The first refused caller is told to
	// come back at retryAt, each further one a spacing later.
	blockedUntil, retryAt time.Time
	spacing               time.Duration
	// nextAhead is the earliest time at which tokens are taken ahead again.
	nextAhead time.Time
	// lone and loneUpdated are the tokens of a node that reaches no other.
	lone        float64
	loneUpdated time.Time
}

// NewAccount returns an account without tokens.
func NewAccount(terms Terms) *Account { return &Account{terms: terms} }

// Arrive counts a request. It is called once for each request, before Decide.
func (a *Account) Arrive(now time.Time) {
	a.rate.add(now, 1)
	a.used = now
	a.arrived++
}

// expire drops lots whose time has passed and returns the number of tokens lost.
func (a *Account) expire(now time.Time) (lost int) {
	for len(a.lots) > 0 && !now.Before(a.lots[0].expires) {
		lost += a.lots[0].tokens
		a.held -= a.lots[0].tokens
		a.lots = a.lots[1:]
	}
	return lost
}

// Decide uses a held token for a request, refuses the request, or reports that the home must be asked.
func (a *Account) Decide(now time.Time) Verdict {
	a.expire(now)
	switch {
	case a.held > 0:
		a.held--
		if a.lots[0].tokens--; a.lots[0].tokens == 0 {
			a.lots = a.lots[1:]
		}
		return Admit
	case now.Before(a.blockedUntil):
		a.refused++
		return Refuse
	}
	return Fetch
}

// RetryAfter returns the time after which the caller that was just refused may come back.
func (a *Account) RetryAfter(now time.Time) time.Duration {
	d := a.retryAt.Sub(now)
	a.retryAt = a.retryAt.Add(a.spacing)
	return min(max(d, minRetryAfter), maxRetryAfter)
}

// Ahead returns the number of tokens to take ahead of demand now, or zero.
func (a *Account) Ahead(now time.Time) int {
	rate := a.rate.rate(now)
	if rate < minAheadRate || now.Before(a.nextAhead) || float64(a.held) >= rate*aheadLead.Seconds() {
		return 0
	}
	return max(0, int(math.Ceil(rate*min(aheadTime, a.terms.hold()).Seconds()))-a.held)
}

// Ask returns the request to the home for the given number of waiting requests. It resets the counts of requests.
func (a *Account) Ask(now time.Time, need int, limit Limit, version uint64) Ask {
	ask := Ask{Limit: limit, Version: version, Need: need, Ahead: a.Ahead(now), Arrived: a.arrived, Refused: a.refused}
	a.arrived, a.refused = 0, 0
	return ask
}

// Receive takes the answer to an Ask that was sent at the given time, and returns the number of tokens that had expired.
func (a *Account) Receive(now, sent time.Time, ask Ask, g Grant) (lost int) {
	if g.Tokens < ask.Need {
		a.blockedUntil = now.Add(min(g.Wait, maxBlock))
		// The callers refused at other nodes are told to come back in the same time.
		a.retryAt, a.spacing = now.Add(g.Wait), seconds(g.Spacing.Seconds()*max(1, g.Demand/max(1, a.rate.rate(now))))
	} else {
		a.blockedUntil = time.Time{}
	}
	if ask.Ahead > 0 && g.Tokens < ask.Need+ask.Ahead {
		a.nextAhead = now.Add(maxBlock)
	}
	expires := sent.Add(a.terms.hold())
	if g.Tokens <= 0 {
		return 0
	}
	if !now.Before(expires) {
		return g.Tokens
	}
	a.held += g.Tokens
	// Answers can arrive in another order than their requests were sent; lots are kept in the order of their ends.
	i := len(a.lots)
	for i > 0 && a.lots[i-1].expires.After(expires) {
		i--
	}
	a.lots = append(a.lots, lot{})
	copy(a.lots[i+1:], a.lots[i:])
	a.lots[i] = lot{g.Tokens, expires}
	return 0
}

// Lone decides about a request while the node reaches no other node of its zone, which has the given number of nodes. The
// allowance starts at zero, since the homes may have granted everything up to now.
func (a *Account) Lone(now time.Time, limit Limit, parts, nodes int) (ok bool, wait time.Duration) {
	rate := loneShare * limit.Rate / float64(parts) / float64(max(1, nodes))
	if now.Sub(a.loneUpdated) > loneMemory {
		a.lone = 0
	} else {
		a.lone = min(1, a.lone+rate*now.Sub(a.loneUpdated).Seconds())
	}
	a.loneUpdated = now
	if a.lone >= 1 {
		a.lone--
		return true, 0
	}
	// The home may answer again any time; the own allowance is far longer for low rates.
	return false, min(seconds((1-a.lone)/rate), time.Second)
}

// idle reports whether the account has not been used for idleTime.
func (a *Account) idle(now time.Time) bool { return now.Sub(a.used) >= idleTime }
