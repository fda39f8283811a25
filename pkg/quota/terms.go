// Package quota holds tenants to a rate and a burst of requests over all nodes together. Each availability zone has a
// part of the allowance, and in each zone one node, the home, keeps the token bucket of a tenant. Other nodes take tokens
// from it. docs/design/quota.md describes the protocol and what it does when a part of the mesh fails.
//
// Ledger, Account, Health, Topology and Contact decide without I/O, with the time passed in; Service makes the calls.
package quota

import (
	"math"
	"time"
)

// Limit is the quota of a tenant over all nodes together. A Rate of zero means no limit.
type Limit struct {
	Tenant string
	// Rate is in requests per second, Burst in requests.
	Rate, Burst float64
}

// Terms are the bounds that the operators set for the excess over the quotas: in any window a tenant may get
// (rate x Window + burst) x (1 + Overshoot) + Slack requests.
type Terms struct {
	Window    time.Duration
	Overshoot float64
	Slack     float64
}

const (
	// maxHold is the longest time for which tokens taken from a home can be used. Tokens granted before a window and
	// used in it add to the window's sum.
	maxHold = 300 * time.Millisecond
	// minHold is the lower limit of both times. A shorter one would not outlast the call that brings the tokens.
	minHold = 100 * time.Millisecond
	// maxExchangeSpan is the demand, as a time, that a transfer of tokens between zones covers.
	maxExchangeSpan = 400 * time.Millisecond
	// holdShare and spanShare limit these times to a share of overshoot x window, the time by which the rate may be
	// exceeded in a window.
	holdShare, spanShare = 0.6, 0.8
	// reserveShare is the share of the slack that the buckets store beyond the burst, so that a low rate is not lost to
	// requests that come in pairs. The rest is for failures.
	reserveShare = 0.5
)

// shift is the time by which the rate may be exceeded in a window.
func (t Terms) shift() time.Duration {
	return time.Duration(t.Overshoot * float64(t.Window))
}

// hold returns the time for which tokens taken from a home can be used.
func (t Terms) hold() time.Duration {
	return max(minHold, min(maxHold, time.Duration(holdShare*float64(t.shift()))))
}

// exchangeSpan returns the time that a transfer between zones covers, which is also the interval between transfers.
func (t Terms) exchangeSpan() time.Duration {
	return max(minHold, min(maxExchangeSpan, time.Duration(spanShare*float64(t.shift()))))
}

// reserve returns the tokens that all zones together may store beyond the burst.
func (t Terms) reserve() float64 { return reserveShare * max(0, t.Slack) }

// meter estimates a rate of events per second as a moving average with exponential weights.
type meter struct {
	value float64
	at    time.Time
}

// meterTime is the time constant of a meter. Demand that moves to another node or zone is seen within about this time.
const meterTime = 500 * time.Millisecond

func (m *meter) add(now time.Time, events float64) {
	m.value = m.rate(now) + events/meterTime.Seconds()
	m.at = now
}

func (m *meter) rate(now time.Time) float64 {
	dt := now.Sub(m.at)
	if m.value == 0 || dt <= 0 {
		return m.value
	}
	return m.value * math.Exp(-dt.Seconds()/meterTime.Seconds())
}

// seconds converts a number of seconds to a duration without overflow.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, 1e6) * float64(time.Second))
}
