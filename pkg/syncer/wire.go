// Package syncer is the node's side of the distribution: it finds relays, polls one of them for configuration and
// membership, accepts configurations, and announces the node's own instance.
package syncer

import (
	"encoding/hex"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/config"
	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
)

// Control methods. Each node answers the first two; a node answers the others while it has the relay duty.
const (
	MethodPeers    = "Control.Peers"
	MethodConfig   = "Control.Config"
	MethodSync     = "Relay.Sync"
	MethodAnnounce = "Relay.Announce"
	MethodExchange = "Relay.Exchange"
)

const (
	// PollTime is how long a relay holds a poll when nothing changes.
	PollTime = 3 * time.Second
	// PollDeadline is when a node gives up on a poll and turns to another relay.
	PollDeadline = PollTime + 2*time.Second
	// MissedPolls is the time without a poll after which a relay records an instance as departed: three polls.
	MissedPolls = 10 * time.Second
)

// RelayInfo tells where a relay is.
type RelayInfo struct {
	Zone    string
	Slot    uint8
	Node    membership.InstanceID
	Address string
}

// Hash is the hexadecimal hash of a configuration. It travels in binary, which halves it.
type Hash string

// GobEncode implements gob.GobEncoder.
func (h Hash) GobEncode() ([]byte, error) { return hex.DecodeString(string(h)) }

// GobDecode implements gob.GobDecoder.
func (h *Hash) GobDecode(b []byte) error {
	*h = Hash(hex.EncodeToString(b))
	return nil
}

// ConfigState is the configuration that the sender of a message serves.
type ConfigState struct {
	Version config.Version
	// Hash is left out of an answer to a sender that has the same version and hash.
	Hash Hash
	// Refused is a higher version that the sender could not accept; it is not sent again.
	Refused config.Version
}

// ConfigUpdate brings the receiver to a newer configuration: by deltas in order, or whole.
type ConfigUpdate struct {
	Deltas []config.Delta
	Whole  *WholeConfig
}

// Empty reports whether the update changes nothing.
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
	// Instance is the node's own record; nil means that it is as in the last poll that this relay has answered.
	Instance *membership.Instance
	Config   ConfigState
	// NeedWhole asks for the whole configuration, after a delta led to another hash.
	NeedWhole bool
	// Mark is the position in the relay's changes up to which the node has taken them; zero asks for all records
	// unless Digest matches.
	Mark   membership.Mark
	Digest uint64
	// Fetch names services that the node has newly subscribed to and needs all records of.
	Fetch []string
	// Relays is the digest of the relay list that the node has.
	Relays uint64
	// Push carries the node's records to a relay that is not authoritative and has another digest.
	Push []membership.Record
	// Confirm asks the relay to read the head from the platform before it answers, for a node that starts.
	Confirm bool
	// NoWait asks for an answer at once.
	NoWait bool
}

// SyncReply answers a poll.
type SyncReply struct {
	Config ConfigState
	Update ConfigUpdate
	// Resend states that the relay does not have the node's own record.
	Resend bool
	// Records changed since the mark; with Complete they are all that the relay has for the node's subscription.
	Records  []membership.Record
	Complete bool
	Mark     membership.Mark
	Digest   uint64
	// Synchronised states that the relay's membership is complete: it has exchanged with the relays that it can reach,
	// and these are in most zones.
	Synchronised bool
	// Authoritative states that what the relay lacks has departed.
	Authoritative bool
	// Relays is set when the node's list differs.
	Relays      []RelayInfo
	RelaysSent  bool
	Unreachable []string
	// Confirmed states that the platform was read after the poll arrived.
	Confirmed bool
	// RetryAfter is set when the relay has put off a complete answer.
	RetryAfter time.Duration
}

// AnnounceArgs sends a change of the node's own instance at once.
type AnnounceArgs struct {
	Instance membership.Instance
	Config   ConfigState
}

// AnnounceReply returns what the relay now has about the instance.
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

// ConfigReply carries the whole configuration if it is newer than the asker's.
type ConfigReply struct {
	Config ConfigState
	Update ConfigUpdate
}

// PollAge is how long ago a node last polled a relay, in tenths of a second.
type PollAge struct {
	ID     membership.InstanceID
	Tenths uint16
}

// ExchangeArgs is what one relay sends to another.
type ExchangeArgs struct {
	From   RelayInfo
	Config ConfigState
	Digest uint64
	// Relays is the digest of what the sender knows of the receiver's zone.
	Relays  uint64
	Records []membership.Record
	// Zones asks for all records of these zones, whose digests differ.
	Zones []string
	// All asks for all records, for a relay that starts.
	All bool
	// Polls is sent to the other relay of the same zone.
	Polls []PollAge
}

// ExchangeReply answers an exchange. ZoneDigests is set when the total digests differ.
type ExchangeReply struct {
	Config       ConfigState
	Update       ConfigUpdate
	Digest       uint64
	ZoneDigests  map[string]uint64
	Records      []membership.Record
	Synchronised bool
	// Authoritative states that the sender's membership is complete.
	Authoritative bool
	Polls         []PollAge
	// Relays lists the relays of the sender's zone; RelaysSame states that the caller knows them.
	Relays     []RelayInfo
	RelaysSame bool
}
