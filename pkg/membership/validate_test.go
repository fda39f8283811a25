package membership

import (
	"math"
	"strings"
	"testing"
)

// Guards against a record of another writer whose numbers or addresses are out of range and that becomes a capacity, the
// fastest link, an address to dial, or an incarnation above which the owner cannot raise its own.
func TestValidate(t *testing.T) {
	sound := Instance{ID: "a", Service: "desk", AvailabilityZone: "z", PeerAddress: "10.0.0.1:80", ControlAddress: "10.0.0.1:81", Slots: 6, Link: 1000,
		Incarnation: 1781194982017, Sequence: 2, State: StateReady}
	if err := sound.Validate(); err != nil {
		t.Fatal(err)
	}
	for name, change := range map[string]func(*Instance){
		"no id":                  func(in *Instance) { in.ID = "" },
		"no service":             func(in *Instance) { in.Service = "" },
		"long id":                func(in *Instance) { in.ID = InstanceID(strings.Repeat("x", 1<<20)) },
		"unknown state":          func(in *Instance) { in.State = 200 },
		"no incarnation":         func(in *Instance) { in.Incarnation = 0 },
		"largest incarnation":    func(in *Instance) { in.Incarnation = math.MaxUint64 },
		"largest sequence":       func(in *Instance) { in.Sequence = math.MaxUint64 },
		"negative start":         func(in *Instance) { in.BackendStarted = -1 },
		"start out of range":     func(in *Instance) { in.BackendStarted = math.MaxInt64 },
		"negative slots":         func(in *Instance) { in.Slots = -1 },
		"huge slots":             func(in *Instance) { in.Slots = math.MaxInt },
		"negative link":          func(in *Instance) { in.Link = -1 },
		"huge link":              func(in *Instance) { in.Link = math.MaxInt },
		"port 0":                 func(in *Instance) { in.PeerAddress = "10.0.0.1:0" },
		"port 70000":             func(in *Instance) { in.PeerAddress = "10.0.0.1:70000" },
		"host name":              func(in *Instance) { in.PeerAddress = "desk:80" },
		"no address":             func(in *Instance) { in.PeerAddress = "" },
		"control port 70000":     func(in *Instance) { in.ControlAddress = "10.0.0.1:70000" },
		"control port 0":         func(in *Instance) { in.ControlAddress = "10.0.0.1:0" },
		"control on any address": func(in *Instance) { in.ControlAddress = "0.0.0.0:81" },
	} {
		in := sound
		change(&in)
		if in.Validate() == nil {
			t.Errorf("%s: the record counts as sound", name)
		}
	}
}
