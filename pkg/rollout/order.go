// Package rollout decides how the traffic of a service moves to a new version of its software, and whether it stays there.
// It does no I/O: objects of the store, reports of nodes and clock readings come in; plans for the nodes, allowances for the
// instances of the new version and writes of the status go out. docs/design/rollout.md states the protocol.
package rollout

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/monsoonlatch/monsoonlatch/pkg/era"
	"github.com/monsoonlatch/monsoonlatch/pkg/fault"
)

// Limits of the fields of an order. An order beyond them is refused: its fields come from outside the mesh.
const (
	// MaxVersionBytes limits the name of a version.
	MaxVersionBytes = 256
	// MaxDuration limits the time of a roll-out.
	MaxDuration = 30 * 24 * time.Hour
	// maxBarred limits the list of versions that get no requests; the oldest is dropped.
	maxBarred = 16
)

// Order asks for the traffic of a service to be moved to the instances of a version within a duration.
type Order struct {
	Service  string
	Target   string
	Duration time.Duration
}

// Validate returns an error that names the field to correct. name is the name of the object that holds the order.
func (o Order) Validate(name string) error {
	invalid := func(detail string) error {
		return fault.New(fault.Invalid, fmt.Sprintf("roll-out %.64q", name), detail, "write the order again with the field corrected, or delete it")
	}
	switch {
	case o.Service == "" || o.Service != name:
		return invalid(fmt.Sprintf("the service %.64q is not the name of the object", o.Service))
	case o.Target == "" || len(o.Target) > MaxVersionBytes:
		return invalid("the version is missing or too long")
	case o.Duration <= 0 || o.Duration > MaxDuration:
		return invalid(fmt.Sprintf("the duration %v is not between 0 and %v", o.Duration, MaxDuration))
	}
	return nil
}

// OrderID identifies one order. Orders that follow each other in one object differ, since a write that changes nothing is no
// new order, and an object that was removed and created again has another time of creation.
type OrderID string

// ID returns the identity of the order in an object that was created at the given revision or time.
func (o Order) ID(created string) OrderID {
	h := xxhash.New()
	for _, part := range []string{created, o.Service, o.Target, strconv.FormatInt(int64(o.Duration), 10)} {
		_, _ = h.WriteString(strconv.Itoa(len(part)) + ":" + part) // Writing to a hash does not fail.
	}
	return OrderID(strconv.FormatUint(h.Sum64(), 16))
}

// Spec returns what identifies an order that is written again after a restore of the store: all but the time of its creation.
func (o Order) Spec() OrderID { return o.ID("") }

// Phase is a step in the life of an order.
type Phase uint8

// Phases of an order, in the order in which they follow each other; PhaseRolledBack may follow each of the first four.
const (
	// PhasePending: no node has taken up the order yet. The new version gets no requests.
	PhasePending Phase = iota
	// PhaseTrial: the new version gets requests within the bound of its exposure, and is compared with the old one.
	PhaseTrial
	// PhaseShifting: the new version was found good; its share rises.
	PhaseShifting
	// PhaseClosing: the old version gets no new requests; those in flight there end.
	PhaseClosing
	// PhaseCompleted: no request is at or on its way to the old version, which may stop.
	PhaseCompleted
	// PhaseRolledBack: the new version gets no requests.
	PhaseRolledBack
)

var phaseNames = [...]string{"pending", "trial", "shifting", "closing", "completed", "rolled_back"}

func (p Phase) String() string {
	if int(p) >= len(phaseNames) {
		return "invalid"
	}
	return phaseNames[p]
}

// ParsePhase returns the phase with the given name.
func ParsePhase(name string) (Phase, bool) {
	i := slices.Index(phaseNames[:], name)
	return Phase(max(0, i)), i >= 0
}

// Ended reports whether the order has been decided for good.
func (p Phase) Ended() bool { return p == PhaseCompleted || p == PhaseRolledBack }

// Status is what the store holds about the progress of an order. It outlasts all nodes.
type Status struct {
	Order  OrderID
	Target string
	Phase  Phase
	// Granted is the number of requests that instances of the new version have been allowed to take during the trial, by all
	// deciders together. It never falls: a decider grants only what it has added here before.
	Granted uint64
	// Requests is the number of requests to the service since the order that were reported when the status was written.
	Requests uint64
	// StartedMillis and DecidedMillis are the times of day at which the order was taken up and decided, in Unix milliseconds.
	StartedMillis, DecidedMillis int64
	// Barred lists other versions that get no requests: those of earlier orders that were not completed.
	Barred []string
	// Reason tells why the order was decided as it was.
	Reason string
}

// withProgress returns the status with the progress of the same order that was known before the store came back from a copy. The
// progress that was acknowledged then binds on: what was granted is used, and an end has been acted upon.
func (s Status) withProgress(known Status) Status {
	if !s.Phase.Ended() && known.Phase > s.Phase {
		s.Phase, s.DecidedMillis, s.Reason = known.Phase, known.DecidedMillis, known.Reason
	}
	s.Granted, s.Requests = max(s.Granted, known.Granted), max(s.Requests, known.Requests)
	if s.StartedMillis == 0 {
		s.StartedMillis = known.StartedMillis
	}
	s.Barred = bar(s.Barred, s.Target, known.Barred...)
	return s
}

// Object is an order as read from the store.
type Object struct {
	// Name is the name of the object, which is that of the service.
	Name string
	// At is the position of the object's last change. For an object that the store has kept since an earlier era, the era is that in
	// which it was read.
	At      era.Position
	Created string
	Order   Order
	// Err is set if the object holds no valid order.
	Err error
	// Removed is set if the object was removed or is about to be.
	Removed bool
	// Status is nil if the object has none that this mesh has written.
	Status *Status
}

// ID returns the identity of the object's order.
func (o *Object) ID() OrderID { return o.Order.ID(o.Created) }

// usable reports whether the object holds an order to carry out.
func (o *Object) usable() bool { return o.Err == nil && !o.Removed }

// status returns the status of the object's present order: that of an earlier order only bars its version.
func (o *Object) status() Status {
	id := o.ID()
	if o.Status != nil && o.Status.Order == id {
		return *o.Status
	}
	s := Status{Order: id, Target: o.Order.Target}
	if o.Status != nil {
		s.Barred = bar(s.Barred, o.Order.Target, o.Status.Barred...)
		if o.Status.Phase != PhaseCompleted {
			s.Barred = bar(s.Barred, o.Order.Target, o.Status.Target)
		}
	}
	return s
}

// bar returns the list with versions added, without target, each version once and in the order of their names. When the list
// is full, versions that were barred before are kept.
func bar(list []string, target string, versions ...string) []string {
	out := slices.DeleteFunc(slices.Clone(list), func(v string) bool { return v == target })
	for _, v := range versions {
		if v != target && v != "" && len(v) <= MaxVersionBytes && !slices.Contains(out, v) {
			out = append(out, v)
		}
	}
	out = out[max(0, len(out)-maxBarred):]
	slices.Sort(out)
	return out
}
