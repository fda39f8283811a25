// Package lease decides what a contender for a lease object does next, from what it last read and its own clock. It
// does no I/O and compares no clocks of different machines: a lease has lapsed when the contender has not seen the
// object change for the lease duration.
package lease

import (
	"fmt"
	"time"
)

// Defaults of a lease.
const (
	DefaultDuration = 15 * time.Second
	DefaultRenew    = 5 * time.Second
	// retryPause is the time between attempts while the platform does not answer.
	retryPause = time.Second
)

// Slots is the number of leases in each availability zone.
const Slots = 2

// Name returns the name of the lease object of a slot.
func Name(zone string, slot uint8) string { return fmt.Sprintf("%s-%d", zone, slot) }

// ParseName is the inverse of Name.
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
	// Renewed counts renewals, so that each one changes the object.
	Renewed uint64 `json:"renewed"`
}

// Action is what the contender does next.
type Action uint8

// Actions of a contender.
const (
	// Wait until Step.At, then ask again.
	Wait Action = iota
	// Read the object.
	Read
	// Create the object with Step.Lease.
	Create
	// Update the object with Step.Lease if its version is still Step.Version.
	Update
)

// Step is one decision.
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
	// Conflict: another writer was first.
	Conflict
	// Unknown: no answer came; the write may have taken effect.
	Unknown
)

// Contender tries to take and keep one lease. It is not safe for concurrent use.
type Contender struct {
	self     Lease
	duration time.Duration
	renew    time.Duration

	holding   bool
	known     bool // the fields below reflect a read
	exists    bool
	version   string
	current   Lease
	changedAt time.Time
	renewedAt time.Time
	wroteAt   time.Time // when the last write was sent
	reread    bool      // the object was read as this node's own since the last write
	confirm   bool      // the object was read again after the duration passed
	pauseTo   time.Time
}

// New returns a contender that has read nothing.
func New(self Lease, duration, renew time.Duration) *Contender {
	return &Contender{self: self, duration: duration, renew: renew}
}

// Holding reports whether the contender holds the lease as far as it knows. A holder goes on while the platform does
// not answer, since nobody can take the lease then and a second holder does no harm.
func (c *Contender) Holding() bool { return c.holding }

// Fresh reports whether the lease was renewed less than its duration ago.
func (c *Contender) Fresh(now time.Time) bool { return c.holding && now.Sub(c.renewedAt) < c.duration }

// Other returns the lease of another holder that the contender has last read.
func (c *Contender) Other() (Lease, bool) {
	return c.current, c.known && c.exists && !c.mine()
}

// Next returns what to do now.
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
		// The holder was paused or cut off: another node may hold the lease now. If the read shows that none does, the
		// update decides.
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
		// An earlier process of this node held the lease.
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

// SawAbsent takes the result of a read that found no object. A holder goes on until it reads another holder.
func (c *Contender) SawAbsent() {
	c.known, c.exists, c.confirm = true, false, false
	c.current, c.version = Lease{}, ""
}

// Saw takes the object as read. A holder that reads another holder steps down.
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
	// The answer of a write may have been lost; the object shows that it took effect. The lease counts from when the
	// write was sent, since others may have seen the change then.
	if !c.holding || renewedByMe {
		c.renewedAt = c.wroteAt
	}
	c.holding, c.reread = true, true
}

// Wrote takes the result of a write. began is when the write was sent; the lease counts from there.
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

// Failed takes a read that got no answer.
func (c *Contender) Failed(now time.Time) {
	c.known = false
	c.pauseTo = now.Add(retryPause)
}
