// Package membership holds the records of instances and merges them. An instance is a backend server together with
// the node beside it. The package does no I/O.
package membership

import "time"

// InstanceID names an instance; it is unique in the mesh and survives restarts of its node.
type InstanceID string

// State is the state that an instance announces.
type State uint8

// States of an instance.
const (
	// StateStarting: the backend server has not announced itself as ready.
	StateStarting State = iota
	// StateReady: the instance takes new work.
	StateReady
	// StateDraining: the instance finishes its work and takes no new work.
	StateDraining
	// StateDeparted: the instance is gone; the record is a tombstone.
	StateDeparted
)

var stateNames = [...]string{"starting", "ready", "draining", "departed"}

func (s State) String() string {
	if int(s) >= len(stateNames) {
		return "invalid"
	}
	return stateNames[s]
}

// Instance is the announced record of one instance. The instance's node owns it and raises Sequence with every
// change; a restart raises Incarnation.
type Instance struct {
	ID               InstanceID
	Service          string
	AvailabilityZone string
	Region           string
	// PeerAddress takes requests from other nodes.
	PeerAddress string
	// ControlAddress takes net/rpc calls.
	ControlAddress string
	// BackendID names the backend server's present start, where it has a name of its own; a restart may change it.
	BackendID string
	Slots     int
	// Link is the bandwidth of the VM's link in Mbit/s; 0 if it is not known.
	Link        int
	Incarnation uint64
	Sequence    uint64
	State       State
	// HandedOver states that a departed instance passed on its idempotency records.
	HandedOver bool
}

// View is the membership that one node knows.
type View interface {
	// Instances returns the instances of a service that have not departed, ordered by ID. The caller must not
	// change the slice.
	Instances(service string) []Instance
	// Subscribe returns a channel that receives a value after changes; it holds one value and drops more.
	Subscribe() <-chan struct{}
}

// Span is the time during which one incarnation of an instance was a member, as one node has learned it.
type Span struct {
	Instance Instance
	// Joined and Departed are readings of the local clock; Departed is zero for a live member.
	Joined   time.Time
	Departed time.Time
	// Unreachable states that the instance's availability zone cannot be reached.
	Unreachable bool
}

// HistoryView adds to View the members of the recent past.
type HistoryView interface {
	View
	// History returns the spans of a service that ended less than the idempotency window ago or go on, ordered by
	// instance ID and incarnation. The caller must not change the slice.
	History(service string) []Span
	// Synchronised reports since when the membership has been complete; false if it is not yet.
	Synchronised() (since time.Time, ok bool)
}
