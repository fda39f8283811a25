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
	DefaultDuration      = 15 * time.Second
	DefaultRenewInterval = 5 * time.Second
	// retryDelay is the delay between attempts while the platform does not respond.
	retryDelay = time.Second
)

// SlotsPerZone is the number of leases in each availability zone.
const SlotsPerZone = 2

// Name returns the name of the lease object of a slot.
func Name(zone string, slot uint8) string { return fmt.Sprintf("%s-%d", zone, slot) }

// ParseName splits the name of a lease object into its availability zone and slot; ok is false for any other name.
func ParseName(name string) (zone string, slot uint8, ok bool) {
	i := len(name) - 2
	if i < 1 || name[i] != '-' || name[i+1] < '0' || name[i+1] >= '0'+SlotsPerZone {
		return "", 0, false
	}
	return name[:i], name[i+1] - '0', true
}

// Lease is the content of a lease object. Holder is the ID of the node that holds the lease, Address its control
// address.
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
	self          Lease
	duration      time.Duration
	renewInterval time.Duration

	holding               bool
	stateKnown            bool // exists, version and current reflect the object as last read or written
	exists                bool
	version               string
	current               Lease
	changeSeenAt          time.Time
	renewedAt             time.Time
	writeSentAt           time.Time // when the last write was sent
	ownershipRead         bool      // a read since the last write showed this node as the holder
	takeoverReadRequested bool      // the read that must precede taking over an expired lease was requested
	retryAt               time.Time
}

// New returns a contender that has not read the lease object yet. A holder renews the lease every renewInterval.
func New(self Lease, duration, renewInterval time.Duration) *Contender {
	return &Contender{self: self, duration: duration, renewInterval: renewInterval}
}

// Holding reports whether the contender considers itself the holder. It remains the holder while the platform does not
// respond: no other node can acquire the lease then, and a second holder does no harm.
func (c *Contender) Holding() bool { return c.holding }

// HoldsUnexpired reports whether the contender is the holder and has renewed the lease within the lease duration.
func (c *Contender) HoldsUnexpired(now time.Time) bool {
	return c.holding && now.Sub(c.renewedAt) < c.duration
}

// OtherHolder returns the lease of another holder and reports whether the last read showed one.
func (c *Contender) OtherHolder() (Lease, bool) {
	return c.current, c.stateKnown && c.exists && !c.heldBySelf()
}

// Next returns the next operation to perform.
func (c *Contender) Next(now time.Time) Step {
	switch {
	case now.Before(c.retryAt):
		return Step{Action: Wait, At: c.retryAt}
	case !c.stateKnown:
		return Step{Action: Read}
	case !c.exists:
		return Step{Action: Create, Lease: c.nextLease()}
	case c.holding:
		return c.nextAsHolder(now)
	default:
		return c.nextAsContender(now)
	}
}

func (c *Contender) nextAsHolder(now time.Time) Step {
	switch {
	case !c.HoldsUnexpired(now) && !c.ownershipRead:
		// The holder was paused or partitioned: another node may hold the lease now. If the read shows no other holder,
		// the conditional update decides.
		c.stateKnown = false
		return Step{Action: Read}
	case now.Sub(c.renewedAt) >= c.renewInterval:
		return Step{Action: Update, Version: c.version, Lease: c.nextLease()}
	default:
		return Step{Action: Wait, At: c.renewedAt.Add(c.renewInterval)}
	}
}

func (c *Contender) nextAsContender(now time.Time) Step {
	expires := c.changeSeenAt.Add(c.duration)
	switch {
	case c.current.Holder == c.self.Holder:
		// An earlier process of this node held the lease, so there is no need to wait until it expires.
		return Step{Action: Update, Version: c.version, Lease: c.nextLease()}
	case now.Before(expires):
		return Step{Action: Wait, At: expires}
	case !c.takeoverReadRequested:
		c.takeoverReadRequested = true
		return Step{Action: Read}
	default:
		return Step{Action: Update, Version: c.version, Lease: c.nextLease()}
	}
}

func (c *Contender) nextLease() Lease {
	l := c.self
	l.Renewed = c.current.Renewed + 1
	return l
}

func (c *Contender) heldBySelf() bool {
	return c.current.Holder == c.self.Holder && c.current.Incarnation == c.self.Incarnation
}

// ObserveAbsent handles a read that found no object. A holder remains the holder until a read shows another one.
func (c *Contender) ObserveAbsent() {
	c.stateKnown, c.exists, c.takeoverReadRequested = true, false, false
	c.current, c.version = Lease{}, ""
}

// ObserveRead handles a read that returned the object. A holder steps down if the object names another holder.
func (c *Contender) ObserveRead(now time.Time, version string, l Lease) {
	if !c.exists || version != c.version {
		c.changeSeenAt, c.takeoverReadRequested = now, false
	}
	renewedBySelf := l.Renewed > c.current.Renewed
	c.stateKnown, c.exists, c.version, c.current = true, true, version, l
	if !c.heldBySelf() {
		c.holding = false
		return
	}
	// The response to a write may have been lost, but the object shows that the write took effect. The lease duration
	// starts when the write was sent, since other contenders may have seen the change from then on.
	if !c.holding || renewedBySelf {
		c.renewedAt = c.writeSentAt
	}
	c.holding, c.ownershipRead = true, true
}

// ObserveWrite handles the result of a write that was sent at sentAt; the lease duration starts then.
func (c *Contender) ObserveWrite(sentAt, now time.Time, outcome Outcome, version string, l Lease) {
	c.writeSentAt, c.ownershipRead = sentAt, false
	switch outcome {
	case Done:
		c.stateKnown, c.exists, c.holding, c.takeoverReadRequested = true, true, true, false
		c.version, c.current = version, l
		c.renewedAt, c.changeSeenAt = sentAt, sentAt
	case Conflict:
		c.stateKnown = false
	case Unknown:
		c.stateKnown = false
		c.retryAt = now.Add(retryDelay)
	}
}

// ObserveReadFailure handles a read that got no response.
func (c *Contender) ObserveReadFailure(now time.Time) {
	c.stateKnown = false
	c.retryAt = now.Add(retryDelay)
}
