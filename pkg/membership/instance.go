// Package membership stores and merges the records of instances. An instance is a backend server together with the
// node process beside it. The package does no I/O.
package membership

import "time"

// InstanceID identifies an instance. It is unique in the mesh and does not change when the node restarts.
type InstanceID string

// State is the lifecycle state that an instance announces.
type State uint8

// States of an instance.
const (
	// StateStarting: the backend server has not announced itself as ready.
	StateStarting State = iota
	// StateReady: the instance accepts new requests.
	StateReady
	// StateDraining: the instance completes running requests and accepts no new ones.
	StateDraining
	// StateDeparted: the instance has left the mesh; its record is a tombstone.
	StateDeparted
)

var stateNames = [...]string{"starting", "ready", "draining", "departed"}

func (s State) String() string {
	if int(s) >= len(stateNames) {
		return "invalid"
	}
	return stateNames[s]
}

// Instance is the announced state of one instance. The instance's node owns it and increments Sequence with every
// change; a restart raises Incarnation.
type Instance struct {
	ID               InstanceID
	Service          string
	AvailabilityZone string
	Region           string
	// PeerAddress is where the node accepts requests from other nodes.
	PeerAddress string
	// ControlAddress is where the node accepts net/rpc calls.
	ControlAddress string
	// BackendID identifies the current run of the backend server if the server announces an ID of its own; a restart
	// may change it.
	BackendID string
	// BackendStarted is the time of that start in Unix milliseconds; 0 if the server does not announce it.
	BackendStarted int64
	// BackendLeaving reports that this start of the backend server has announced that it leaves. It never gets new requests
	// again. A node that only stops itself announces StateDraining without it.
	BackendLeaving bool
	// Version is the version of the backend server's software; empty if the server announces none.
	Version string
	// Slots is the number of requests that the backend server runs at the same time.
	Slots int
	// Link is the bandwidth of the VM's network link in Mbit/s; 0 if unknown.
	Link        int
	Incarnation uint64
	Sequence    uint64
	State       State
	// HandedOver reports that a departed instance has transferred its idempotency records to other instances.
	HandedOver bool
}

// View is the membership as known to one node.
type View interface {
	// Instances returns the instances of a service that have not departed, ordered by ID. The caller must not modify
	// the slice.
	Instances(service string) []Instance
	// Subscribe returns a channel that receives a value after a change. It buffers one value: changes that occur
	// before the value is received are merged into it.
	Subscribe() <-chan struct{}
}

// Span is the period during which one incarnation of an instance was a member, as known to one node.
type Span struct {
	Instance Instance
	// Joined and Departed are times of the local clock; Departed is zero for a live member.
	Joined   time.Time
	Departed time.Time
	// Unreachable reports that the instance's availability zone cannot be reached.
	Unreachable bool
}

// HistoryView is a View that also covers recently departed members.
type HistoryView interface {
	View
	// History returns the spans of a service that are current or ended within the idempotency window, ordered by
	// instance ID and incarnation. The caller must not modify the slice.
	History(service string) []Span
	// CompleteSince returns the time since which the membership has been complete; ok is false if it is not complete
	// now.
	CompleteSince() (since time.Time, ok bool)
}
