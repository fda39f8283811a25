package main

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/fault"
	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
	"github.com/monsoonlatch/monsoonlatch/pkg/network"
)

// Settings are the node's command-line flags. Each has an environment variable of the same name with the prefix
// MONSOONLATCH_.
type Settings struct {
	ID               string `required:"" env:"MONSOONLATCH_ID" help:"Name of this instance, unique in the mesh."`
	Service          string `required:"" env:"MONSOONLATCH_SERVICE" help:"Service of the backend server beside this node."`
	AvailabilityZone string `required:"" env:"MONSOONLATCH_AVAILABILITY_ZONE" help:"Availability zone of this VM."`
	Region           string `env:"MONSOONLATCH_REGION" default:"local" help:"Region of this VM."`

	Callers          string `env:"MONSOONLATCH_CALLERS" default:"127.0.0.1:8080" help:"Listen address for callers (HTTP)."`
	Peers            string `env:"MONSOONLATCH_PEERS" default:"127.0.0.1:8081" help:"Listen address for other nodes' calls (HTTP); announced to them."`
	Control          string `env:"MONSOONLATCH_CONTROL" default:"127.0.0.1:8082" help:"Listen address for control messages (net/rpc); announced to other nodes."`
	AdvertisePeers   string `env:"MONSOONLATCH_ADVERTISE_PEERS" help:"Address under which other nodes reach --peers, if it differs."`
	AdvertiseControl string `env:"MONSOONLATCH_ADVERTISE_CONTROL" help:"Address under which other nodes reach --control, if it differs."`
	Admin            string `env:"MONSOONLATCH_ADMIN" default:"127.0.0.1:8083" help:"Listen address for announcements, metrics and state (HTTP)."`

	BackendServer string `required:"" env:"MONSOONLATCH_BACKEND_SERVER" help:"Address of the backend server on this VM."`
	Slots         int    `env:"MONSOONLATCH_SLOTS" default:"20" help:"Upper bound on requests in progress at the backend server."`

	Platform         string        `required:"" env:"MONSOONLATCH_PLATFORM" help:"URL of the platform's object API."`
	PlatformToken    string        `env:"MONSOONLATCH_PLATFORM_TOKEN" help:"Bearer token for the platform."`
	PlatformCallRate float64       `env:"MONSOONLATCH_PLATFORM_CALL_RATE" default:"10" help:"Calls a second that this node may make to the platform."`
	PlatformTimeout  time.Duration `env:"MONSOONLATCH_PLATFORM_TIMEOUT" default:"2s" help:"Deadline of one platform call."`
	Seeds            []string      `env:"MONSOONLATCH_SEEDS" help:"Control addresses of a few nodes to start from, best from several availability zones."`
	PeerNetworks     []string      `env:"MONSOONLATCH_PEER_NETWORKS" default:"127.0.0.0/8" help:"Networks of the mesh's VMs (CIDR)."`
	OperatorNetworks []string      `env:"MONSOONLATCH_OPERATOR_NETWORKS" default:"127.0.0.0/8" help:"Networks that may read metrics and state (CIDR)."`
	StopGrace        time.Duration `env:"MONSOONLATCH_STOP_GRACE" default:"30s" help:"Longest time that a graceful stop may take."`
	MembershipLag    time.Duration `env:"MONSOONLATCH_MEMBERSHIP_LAG" default:"30s" help:"Bound on the time in which a membership change reaches every node. Requests with an idempotency key are refused while all instances of their service are younger."`
	Admission        string        `env:"MONSOONLATCH_ADMISSION" enum:"ranked,fifo" default:"ranked" help:"Admission policy; fifo is the baseline for measurements."`
	Choice           string        `env:"MONSOONLATCH_CHOICE" enum:"two-choices,random" default:"two-choices" help:"Choice of instance; random is the baseline for measurements."`
	Retries          string        `env:"MONSOONLATCH_RETRIES" enum:"budget,unlimited" default:"budget" help:"Retry policy; unlimited is the baseline for measurements."`
	LogLevel         string        `env:"MONSOONLATCH_LOG_LEVEL" enum:"debug,info,warn,error" default:"info" help:"Lowest level that is logged."`
}

// Limits of settings.
const (
	maxSlots     = 10_000
	maxSeeds     = 32
	maxNameBytes = 128
	// minStopGrace is longer than refusalTime, so that time remains for the work in progress.
	minStopGrace = 5 * time.Second
	// minMembershipLag is the shortest interval between two exchanges of relays, which applies after a change.
	minMembershipLag = time.Second
)

// check returns one line for each invalid setting, with the flag and the remedy.
func (s *Settings) check() []string {
	var problems []string
	add := func(flag, detail, remedy string) {
		problems = append(problems, fault.New(fault.Invalid, "--"+flag, detail, remedy).Error())
	}
	for flag, v := range map[string]string{"id": s.ID, "service": s.Service, "availability-zone": s.AvailabilityZone, "region": s.Region} {
		if !validName(v) {
			add(flag, fmt.Sprintf("%q is not a valid name", v), "use 1 to 128 letters, digits, dots, dashes or underscores")
		}
	}
	for flag, v := range map[string]string{"callers": s.Callers, "peers": s.Peers, "control": s.Control, "admin": s.Admin, "backend-server": s.BackendServer,
		"advertise-peers": valueOrDefault(s.AdvertisePeers, s.Peers), "advertise-control": valueOrDefault(s.AdvertiseControl, s.Control)} {
		if _, err := netip.ParseAddrPort(v); err != nil {
			add(flag, fmt.Sprintf("%q is not an IP address with a port", v), "give an IP address and a port, such as 10.0.0.7:8080")
		}
	}
	if s.Slots < 1 || s.Slots > maxSlots {
		add("slots", fmt.Sprintf("%d is out of range", s.Slots), fmt.Sprintf("give 1 to %d", maxSlots))
	}
	if !strings.HasPrefix(s.Platform, "http://") && !strings.HasPrefix(s.Platform, "https://") {
		add("platform", fmt.Sprintf("%q is not an HTTP URL", s.Platform), "give a URL such as http://10.0.0.2:7000")
	}
	if s.PlatformCallRate <= 0 {
		add("platform-call-rate", "the rate must be positive", "give a number such as 10")
	}
	if s.PlatformTimeout <= 0 {
		add("platform-timeout", "the deadline must be positive", "give a duration such as 2s")
	}
	if s.MembershipLag < minMembershipLag || s.MembershipLag > membership.MaxLag {
		add("membership-lag", s.MembershipLag.String()+" is out of range", "give 1s to 1m; 30s covers a missed poll and a missed exchange")
	}
	if len(s.Seeds) > maxSeeds {
		add("seeds", fmt.Sprintf("%d addresses are too many", len(s.Seeds)), fmt.Sprintf("give at most %d", maxSeeds))
	}
	for _, seed := range s.Seeds {
		if _, err := netip.ParseAddrPort(seed); err != nil {
			add("seeds", fmt.Sprintf("%q is not an IP address with a port", seed), "give each control address as IP address and port, such as 10.0.0.7:8082")
		}
	}
	if s.StopGrace < minStopGrace {
		add("stop-grace", s.StopGrace.String()+" is too short to finish requests in progress", "give at least 5s")
	}
	if _, err := network.Parse(s.PeerNetworks); err != nil {
		add("peer-networks", err.Error(), "correct the list")
	}
	if _, err := network.Parse(s.OperatorNetworks); err != nil {
		add("operator-networks", err.Error(), "correct the list")
	}
	return problems
}

func validName(v string) bool {
	if v == "" || len(v) > maxNameBytes {
		return false
	}
	return strings.IndexFunc(v, func(r rune) bool {
		return !(r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || strings.ContainsRune("._-", r))
	}) < 0
}
