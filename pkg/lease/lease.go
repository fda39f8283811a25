// Package lease implements the state machine of a contender for a lease object. The next action depends only on the
// results of earlier reads and writes and on the local clock. The package does no I/O and never compares clocks of
// different machines: a lease has expired when the contender has not seen the object change for the lease duration.
package lease

import (
	"fmt"
	"time"
)

// Default times of a lease.
const (
	DefaultDuration = 15 * time.Second
	DefaultRenew    = 5 * time.Second
	// retryPause is the delay between attempts while the platform does not respond.
	retryPause = time.Second
)

// Slots is the number of leases in each availability zone.
const Slots = 2

// Name returns the name of the lease object of a slot.
func Name(zone string, slot uint8) string { return fmt.Sprintf("%s-%d", zone, slot) }

// ParseName splits the name of a lease object into its availability zone and slot; ok is false for any other name.
func ParseName(name string) (zone string, slot uint8, ok bool) {
	i := len(name) - 2
	if i < 1 || name[i] != '-' || name[i+1] < '0' || name[i+1] >= '0'+Slots {
		return "", 0, false
	}
	return name[:i], name[i+1] - '0', true
}

// Lease is the content of a lease object.
type Lease struct {
	Holder      string `json:"holder"`
	Address     string `json:"address"`
	Incarnation uint64 `json:"incarnation"`
	// Renewed counts the renewals, so that each renewal changes the object.
	Renewed uint64 `json:"renewed"`
}

// Action is the kind of a Step.
type Action uint8

// Actions of a contender.
const (
	// Wait: do nothing until Step.At, then call Next again.
	Wait Action = iota
	// Read: read the object.
	Read
	// Create: create the object with the content Step.Lease.
	Create
	// Update: replace the content of the object with Step.Lease if its version is still Step.Version.
	Update
)

// Step is the next operation that a contender requests.
type Step struct {
	Action  Action
	At      time.Time
	Lease   Lease
	Version string
}

// Outcome is the result of a write.
type Outcome uint8

// Outcomes of a write.
const (
	// Done: the platform confirmed the write.
	Done Outcome = iota
	// Conflict: the platform rejected the write because another writer was first.
	Conflict
	// Unknown: no response arrived; the write may have taken effect.
	Unknown
)

// Contender tries to acquire and keep one lease. It is not safe for concurrent use.
type Contender struct {
	self     Lease
	duration time.Duration
	renew    time.Duration

	holding   bool
	known     bool // exists, version and current reflect the object as last read or written
	exists    bool
	version   string
	current   Lease
	changedAt time.Time
	renewedAt time.Time
	wroteAt   time.Time // when the last write was sent
	reread    bool      // a read since the last write showed this node as the holder
	confirm   bool      // the read that must precede taking over an expired lease was requested
	pauseTo   time.Time
}

// New returns a contender that has not read the lease object yet. The holder renews the lease every renew.
func New(self Lease, duration, renew time.Duration) *Contender {
	return &Contender{self: self, duration: duration, renew: renew}
}

// Holding reports whether the contender considers itself the holder. It remains the holder while the platform does not
// respond: no other node can acquire the lease then, and a second holder does no harm.
func (c *Contender) Holding() bool { return c.holding }

// Fresh reports whether the contender is the holder and has renewed the lease within the lease duration.
func (c *Contender) Fresh(now time.Time) bool { return c.holding && now.Sub(c.renewedAt) < c.duration }

// Other returns the lease of another holder and reports whether the last read showed one.
func (c *Contender) Other() (Lease, bool) {
	return c.current, c.known && c.exists && !c.mine()
}

// Next returns the next operation to perform.
func (c *Contender) Next(now time.Time) Step {
	switch {
	case now.Before(c.pauseTo):
		return Step{Action: Wait, At: c.pauseTo}
	case !c.known:
		return Step{Action: Read}
	case !c.exists:
		return Step{Action: Create, Lease: c.next()}
	case c.holding:
		return c.hold(now)
	default:
		return c.contend(now)
	}
}

func (c *Contender) hold(now time.Time) Step {
	switch {
	case !c.Fresh(now) && !c.reread:
		// The holder was paused or partitioned: another node may hold the lease now. If the read shows no other holder,
		// the conditional update decides.
		c.known = false
		return Step{Action: Read}
	case now.Sub(c.renewedAt) >= c.renew:
		return Step{Action: Update, Version: c.version, Lease: c.next()}
	default:
		return Step{Action: Wait, At: c.renewedAt.Add(c.renew)}
	}
}

func (c *Contender) contend(now time.Time) Step {
	lapses := c.changedAt.Add(c.duration)
	switch {
	case c.current.Holder == c.self.Holder:
		// An earlier process of this node held the lease, so there is no need to wait until it expires.
		return Step{Action: Update, Version: c.version, Lease: c.next()}
	case now.Before(lapses):
		return Step{Action: Wait, At: lapses}
	case !c.confirm:
		c.confirm = true
		return Step{Action: Read}
	default:
		return Step{Action: Update, Version: c.version, Lease: c.next()}
	}
}

func (c *Contender) next() Lease {
	l := c.self
	l.Renewed = c.current.Renewed + 1
	return l
}

func (c *Contender) mine() bool {
	return c.current.Holder == c.self.Holder && c.current.Incarnation == c.self.Incarnation
}

// SawAbsent handles a read that found no object. A holder remains the holder until a read shows another one.
func (c *Contender) SawAbsent() {
	c.known, c.exists, c.confirm = true, false, false
	c.current, c.version = Lease{}, ""
}

// Saw handles a read that returned the object. A holder steps down if the object names another holder.
func (c *Contender) Saw(now time.Time, version string, l Lease) {
	if !c.exists || version != c.version {
		c.changedAt, c.confirm = now, false
	}
	renewedByMe := l.Renewed > c.current.Renewed
	c.known, c.exists, c.version, c.current = true, true, version, l
	if !c.mine() {
		c.holding = false
		return
	}
	// The response to a write may have been lost, but the object shows that the write took effect. The lease duration
	// starts when the write was sent, since other contenders may have seen the change from then on.
	if !c.holding || renewedByMe {
		c.renewedAt = c.wroteAt
	}
	c.holding, c.reread = true, true
}

// Wrote handles the result of a write. began is when the write was sent; the lease duration starts then.
func (c *Contender) Wrote(began, now time.Time, outcome Outcome, version string, l Lease) {
	c.wroteAt, c.reread = began, false
	switch outcome {
	case Done:
		c.known, c.exists, c.holding, c.confirm = true, true, true, false
		c.version, c.current = version, l
		c.renewedAt, c.changedAt = began, began
	case Conflict:
		c.known = false
	case Unknown:
		c.known = false
		c.pauseTo = now.Add(retryPause)
	}
}

// Failed handles a read that got no response.
func (c *Contender) Failed(now time.Time) {
	c.known = false
	c.pauseTo = now.Add(retryPause)
}
