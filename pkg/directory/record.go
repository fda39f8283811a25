package directory

import (
	"encoding/json"
	"fmt"

	"github.com/monsoonlatch/monsoonlatch/pkg/era"
	"github.com/monsoonlatch/monsoonlatch/pkg/fault"
	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
	"github.com/monsoonlatch/monsoonlatch/pkg/platform"
)

// record is the JSON spec of an instance's object in the store.
type record struct {
	Service string `json:"service"`
	Zone    string `json:"availabilityZone"`
	Region  string `json:"region,omitempty"`
	Peers   string `json:"peers"`
	Control string `json:"control"`
	Backend string `json:"backend,omitempty"`
	// Started is the start time of the backend server in Unix milliseconds.
	Started int64 `json:"backendStarted,omitempty"`
	Leaving bool  `json:"backendLeaving,omitempty"`
	// Version is missing in records of earlier builds.
	Version     string `json:"version,omitempty"`
	Slots       int    `json:"slots"`
	Link        int    `json:"linkMbps,omitempty"`
	Incarnation uint64 `json:"incarnation"`
	Sequence    uint64 `json:"sequence"`
	State       string `json:"state"`
	// Era is the latest era of the store in which the node knew what was acknowledged to its backend server; see Publisher.vouchedEra.
	// It is missing in records of earlier builds.
	Era *era.Number `json:"storeEra,omitempty"`
}

var stateByName = map[string]membership.State{
	membership.StateStarting.String(): membership.StateStarting, membership.StateReady.String(): membership.StateReady,
	membership.StateDraining.String(): membership.StateDraining, membership.StateDeparted.String(): membership.StateDeparted,
}

// encodeRecord encodes an instance record that holds all that was acknowledged up to the given era of the store.
func encodeRecord(instance membership.Instance, vouched era.Number) ([]byte, error) {
	return json.Marshal(record{Era: &vouched, Service: instance.Service, Zone: instance.AvailabilityZone, Region: instance.Region, Peers: instance.PeerAddress,
		Control: instance.ControlAddress, Backend: instance.BackendID, Started: instance.BackendStarted, Leaving: instance.BackendLeaving, Version: instance.Version, Slots: instance.Slots, Link: instance.Link, Incarnation: instance.Incarnation,
		Sequence: instance.Sequence, State: instance.State.String()})
}

// vouchedEraOf returns the era of the store up to which a record holds all that was acknowledged, and false if it does not tell that.
func vouchedEraOf(obj platform.Object) (era.Number, bool) {
	var r record
	if json.Unmarshal(obj.Spec, &r) != nil || r.Era == nil {
		return 0, false
	}
	return *r.Era, true
}

// decodeRecord decodes an instance record. It returns an error for a record that another program has written or
// corrupted, since such a record does not describe a usable instance.
func decodeRecord(obj platform.Object) (membership.Instance, error) {
	invalid := func(detail string) (membership.Instance, error) {
		return membership.Instance{}, fault.New(fault.Invalid, fmt.Sprintf("instance %.64s", obj.Name), detail, "delete the object; the node that owns it writes it again")
	}
	var r record
	if err := json.Unmarshal(obj.Spec, &r); err != nil {
		return invalid(err.Error())
	}
	state, ok := stateByName[r.State]
	if !ok {
		return invalid(fmt.Sprintf("unknown state %.64q", r.State))
	}
	in := membership.Instance{ID: membership.InstanceID(obj.Name), Service: r.Service, AvailabilityZone: r.Zone,
		Region: r.Region, PeerAddress: r.Peers, ControlAddress: r.Control, BackendID: r.Backend, BackendStarted: r.Started, BackendLeaving: r.Leaving, Version: r.Version, Slots: r.Slots, Link: r.Link,
		Incarnation: r.Incarnation, Sequence: r.Sequence, State: state}
	if err := in.Validate(); err != nil {
		return invalid(err.Error())
	}
	return in, nil
}
