package membership

import (
	"fmt"
	"net/netip"
)

// Limits of the fields of a record. Records come from the store and from other nodes, where another writer may have left
// any number; a number beyond its limit must not become a capacity, a bandwidth or the order of records.
const (
	// MaxSlots is the largest accepted number of slots.
	MaxSlots = 10_000
	// MaxLinkMbps is the largest accepted bandwidth, 1 Tbit/s.
	MaxLinkMbps = 1_000_000
	// maxCounter limits Incarnation and Sequence: an incarnation is a time in milliseconds, and both must be able to rise.
	maxCounter = 1 << 53
	// maxNameBytes limits IDs and names. It is far longer than the names of services that operators choose.
	maxNameBytes = 4 << 10
)

// Validate returns an error that names the first field out of its range.
func (in *Instance) Validate() error {
	for _, text := range [...]string{string(in.ID), in.Service, in.AvailabilityZone, in.Region, in.BackendID, in.Version} {
		if len(text) > maxNameBytes {
			return fmt.Errorf("a name of %d bytes is longer than %d", len(text), maxNameBytes)
		}
	}
	switch {
	case in.ID == "" || in.Service == "":
		return fmt.Errorf("id or service is missing")
	case int(in.State) >= len(stateNames):
		return fmt.Errorf("unknown state %d", in.State)
	case in.Incarnation == 0 || in.Incarnation > maxCounter || in.Sequence > maxCounter:
		return fmt.Errorf("incarnation %d or sequence %d is out of range", in.Incarnation, in.Sequence)
	case in.BackendStarted < 0 || in.BackendStarted > maxCounter:
		return fmt.Errorf("start time %d of the backend server is out of range", in.BackendStarted)
	case in.Slots < 0 || in.Slots > MaxSlots:
		return fmt.Errorf("number of slots %d is out of range", in.Slots)
	case in.Link < 0 || in.Link > MaxLinkMbps:
		return fmt.Errorf("link of %d Mbit/s is out of range", in.Link)
	case !validAddress(in.PeerAddress):
		return fmt.Errorf("invalid peers address %.64q", in.PeerAddress)
	case in.ControlAddress != "" && !validAddress(in.ControlAddress):
		return fmt.Errorf("invalid control address %.64q", in.ControlAddress)
	}
	return nil
}

// validAddress reports whether s is an IP address of one host with a port.
func validAddress(s string) bool {
	a, err := netip.ParseAddrPort(s)
	return err == nil && a.Port() != 0 && !a.Addr().IsUnspecified() && !a.Addr().IsMulticast()
}
