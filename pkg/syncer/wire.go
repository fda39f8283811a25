// Package syncer is the node's side of configuration distribution: it finds relays, long-polls one of them for
// configuration and membership, validates and applies configurations, and announces the node's own instance.
package syncer

import (
	"encoding/hex"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/config"
	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
)

// RPC methods. Every node serves the Control methods; a node serves the Relay methods only while it is a relay.
const (
	MethodPeers    = "Control.Peers"
	MethodConfig   = "Control.Config"
	MethodSync     = "Relay.Sync"
	MethodAnnounce = "Relay.Announce"
	MethodExchange = "Relay.Exchange"
)

const (
	// PollHoldTime is how long a relay holds a long poll open when nothing changes.
	PollHoldTime = 3 * time.Second
	// PollTimeout is the timeout of a poll, after which the node tries another relay.
	PollTimeout = PollHoldTime + 2*time.Second
	// DepartureTimeout is the time without a poll after which a relay records an instance as departed. It allows for
	// three missed polls.
	DepartureTimeout = 10 * time.Second
)

// RelayInfo identifies a relay and its control address.
type RelayInfo struct {
	Zone    string
	Slot    uint8
	Node    membership.InstanceID
	Address string
}

// Hash is the hexadecimal hash of a configuration. It is sent in binary, at half the size.
type Hash string

// GobEncode implements gob.GobEncoder.
func (h Hash) GobEncode() ([]byte, error) { return hex.DecodeString(string(h)) }

// GobDecode implements gob.GobDecoder.
func (h *Hash) GobDecode(b []byte) error {
	*h = Hash(hex.EncodeToString(b))
	return nil
}

// ConfigState identifies the configuration that the sender of a message has in force.
type ConfigState struct {
	Version config.Version
	// Hash is empty in a reply to a sender that has the same version and hash.
	Hash Hash
	// Refused is a version that the sender rejected as invalid; it is not sent to it again.
	Refused config.Version
}

// ConfigUpdate carries a newer configuration, either as consecutive deltas or whole.
type ConfigUpdate struct {
	Deltas []config.Delta
	Whole  *WholeConfig
}

// Empty reports whether the update carries nothing.
func (u ConfigUpdate) Empty() bool { return u.Whole == nil && len(u.Deltas) == 0 }

// WholeConfig is a configuration with its version and hash.
type WholeConfig struct {
	Version       config.Version
	Hash          string
	Configuration config.Configuration
}

// SyncArgs is a node's poll.
type SyncArgs struct {
	Node membership.InstanceID
	// Instance is the node's own record; nil means that it is unchanged since the last poll that this relay answered.
	Instance *membership.Instance
	Config   ConfigState
	// NeedWhole asks for the whole configuration, because the deltas sent before did not apply.
	NeedWhole bool
	// Mark is the position in the relay's change log up to which the node has applied changes. The zero value asks for
	// all records unless Digest matches.
	Mark   membership.Mark
	Digest uint64
	// Fetch names newly subscribed services, of which the node needs all records.
	Fetch []string
	// Relays is the digest of the node's relay list.
	Relays uint64
	// Push carries all records of the node to a relay that is not authoritative and whose digest keeps differing.
	Push []membership.Record
	// Confirm asks the relay to read the head from the platform before it replies. Set by a starting node.
	Confirm bool
	// NoWait asks for an immediate reply instead of a long poll.
	NoWait bool
}

// SyncReply answers a poll.
type SyncReply struct {
	Config ConfigState
	Update ConfigUpdate
	// Resend asks the node to send its own record again, because the relay does not have it.
	Resend bool
	// Records are those that changed since the mark. With Complete they are all records that the relay has for the
	// node's subscription.
	Records  []membership.Record
	Complete bool
	Mark     membership.Mark
	Digest   uint64
	// Synchronised states that the relay's membership table is complete: the relay has exchanged records with the
	// relays that it can reach, and these cover most zones.
	Synchronised bool
	// Authoritative states that an instance for which the relay has no record has departed.
	Authoritative bool
	// Relays is the relay list; it is sent, with RelaysSent, only if its digest differs from that of the node's list.
	Relays     []RelayInfo
	RelaysSent bool
	// Unreachable lists the availability zones that the relay cannot reach.
	Unreachable []string
	// Confirmed states that the relay read the head from the platform after the poll arrived.
	Confirmed bool
	// RetryAfter is set when the relay's rate limit on full responses deferred this one.
	RetryAfter time.Duration
}

// AnnounceArgs sends a change of the node's own instance without waiting for the next poll.
type AnnounceArgs struct {
	Instance membership.Instance
	Config   ConfigState
}

// AnnounceReply returns the record that the relay now has of the instance.
type AnnounceReply struct {
	Instance membership.Instance
	Config   ConfigState
}

// PeersArgs asks any node for the relays that it knows.
type PeersArgs struct {
	Zone   string
	Config ConfigState
}

// PeersReply lists the known relays of all zones.
type PeersReply struct {
	Relays []RelayInfo
	Config ConfigState
}

// ConfigArgs asks any node for its configuration.
type ConfigArgs struct {
	Config ConfigState
}

// ConfigReply carries the whole configuration if it is newer than the caller's or the caller has none.
type ConfigReply struct {
	Config ConfigState
	Update ConfigUpdate
}

// PollAge is how long ago a node last polled a relay, in tenths of a second.
type PollAge struct {
	ID     membership.InstanceID
	Tenths uint16
}

// ExchangeArgs is the request of a periodic exchange between two relays.
type ExchangeArgs struct {
	From   RelayInfo
	Config ConfigState
	Digest uint64
	// Relays is the digest of the relays that the sender knows in the receiver's zone.
	Relays  uint64
	Records []membership.Record
	// Zones asks for all records of these zones, whose digests differ.
	Zones []string
	// All asks for all records. Set by a relay that has not completed its initial synchronisation.
	All bool
	// Polls tells the receiver when nodes of its zone last polled the sender.
	Polls []PollAge
}

// ExchangeReply answers an exchange. ZoneDigests is set if the digests of the whole tables differ.
type ExchangeReply struct {
	Config      ConfigState
	Update      ConfigUpdate
	Digest      uint64
	ZoneDigests map[string]uint64
	Records     []membership.Record
	// Synchronised states that the sender has completed its initial synchronisation.
	Synchronised bool
	// Authoritative states that an instance for which the sender has no record has departed.
	Authoritative bool
	Polls         []PollAge
	// Relays lists the relays of the sender's zone; it is empty and RelaysSame is set if the caller's digest of them
	// matches.
	Relays     []RelayInfo
	RelaysSame bool
}
