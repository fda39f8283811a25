package main

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/rs/zerolog"

	"github.com/monsoonlatch/monsoonlatch/pkg/admin"
	"github.com/monsoonlatch/monsoonlatch/pkg/admission"
	"github.com/monsoonlatch/monsoonlatch/pkg/announce"
	"github.com/monsoonlatch/monsoonlatch/pkg/balance"
	"github.com/monsoonlatch/monsoonlatch/pkg/clock"
	"github.com/monsoonlatch/monsoonlatch/pkg/config"
	"github.com/monsoonlatch/monsoonlatch/pkg/event"
	"github.com/monsoonlatch/monsoonlatch/pkg/idempotency"
	"github.com/monsoonlatch/monsoonlatch/pkg/kernel"
	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
	"github.com/monsoonlatch/monsoonlatch/pkg/network"
	"github.com/monsoonlatch/monsoonlatch/pkg/platform"
	"github.com/monsoonlatch/monsoonlatch/pkg/proxy"
	"github.com/monsoonlatch/monsoonlatch/pkg/relay"
	"github.com/monsoonlatch/monsoonlatch/pkg/retry"
	"github.com/monsoonlatch/monsoonlatch/pkg/rpcwire"
	"github.com/monsoonlatch/monsoonlatch/pkg/syncer"
	"github.com/monsoonlatch/monsoonlatch/pkg/upstream"
)

// platformBurst lets a relay read head, leases and statuses at once when it takes up its duty.
const platformBurst = 20

// node is the kernel with its services.
type node struct {
	settings *Settings
	log      zerolog.Logger
	clock    clock.Clock
	metrics  *metric.Set
	kernel   *kernel.Kernel

	peers, operators network.Set
	dial             func(ctx context.Context, addr string) (net.Conn, error)
	store            platform.Store
	caller           *rpcwire.Pool
	control          *rpcwire.Server
	syncer           *syncer.Syncer
	relay            *relay.Relay
	keys             *idempotency.Node
	announce         *announce.Service
	gate             *admission.Gate
	egress           *proxy.Egress
	ingress          *proxy.Ingress
}

func newNode(s *Settings, log zerolog.Logger) (*node, error) {
	n := &node{settings: s, log: log, clock: clock.System{}, metrics: metric.NewSet(), kernel: kernel.New()}
	metric.WatchProcess(n.metrics)
	var err error
	if n.peers, err = network.Parse(s.PeerNetworks); err != nil {
		return nil, err
	}
	if n.operators, err = network.Parse(s.OperatorNetworks); err != nil {
		return nil, err
	}
	n.dial = dialFrom(netip.MustParseAddrPort(s.Peers).Addr())
	if err := n.buildControl(); err != nil {
		return nil, err
	}
	n.buildDataPath()
	return n, n.register()
}

// dialFrom opens connections from the VM's own address, so that peers can recognise the source on a VM with several.
func dialFrom(source netip.Addr) func(ctx context.Context, addr string) (net.Conn, error) {
	d := &net.Dialer{}
	if !source.IsUnspecified() {
		d.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(source, 0))
	}
	return func(ctx context.Context, addr string) (net.Conn, error) { return d.DialContext(ctx, "tcp", addr) }
}

func (n *node) instance() membership.Instance {
	s := n.settings
	return membership.Instance{
		ID: membership.InstanceID(s.ID), Service: s.Service, AvailabilityZone: s.AvailabilityZone, Region: s.Region,
		PeerAddress: orElse(s.AdvertisePeers, s.Peers), ControlAddress: orElse(s.AdvertiseControl, s.Control),
		Slots: s.Slots, Incarnation: uint64(n.clock.Now().UnixMilli()), Sequence: 1,
	}
}

func orElse(v, other string) string {
	if v == "" {
		return other
	}
	return v
}

// buildControl makes what distributes configuration and membership.
func (n *node) buildControl() error {
	s := n.settings
	client, err := platform.NewClient(platform.Settings{BaseURL: s.Platform, Token: s.PlatformToken, CallTimeout: s.PlatformTimeout})
	if err != nil {
		return err
	}
	n.store = platform.Limit(platform.Observe(client, &n.log, n.metrics), s.PlatformCallRate, platformBurst, n.metrics)
	n.caller = rpcwire.NewPool(rpcwire.PoolSettings{Dial: n.dial}, n.metrics)
	n.control = rpcwire.NewServer(rpcwire.ServerSettings{Address: s.Control, Networks: n.peers}, n.log, n.metrics)
	n.syncer = syncer.New(syncer.Settings{Instance: n.instance(), Seeds: s.Seeds, PlatformTimeout: s.PlatformTimeout},
		n.store, n.caller, n.clock, n.log, n.metrics)
	n.relay = relay.New(relay.Settings{PlatformTimeout: s.PlatformTimeout},
		n.syncer, n.store, n.caller, n.clock, n.log, n.metrics)
	n.keys = idempotency.New(idempotency.Options{
		Self: n.claimant, Service: s.Service, View: n.syncer, Caller: n.caller, Store: n.store, Clock: n.clock,
		Metrics: n.metrics, Log: n.log, Slack: s.MembershipLag,
	})
	n.syncer.Register(n.control)
	n.relay.Register(n.control)
	handleKeys(n.control, n.keys.Keys())
	return nil
}

func (n *node) claimant() idempotency.Claimant {
	self := n.syncer.Self()
	return idempotency.Claimant{ID: self.ID, Incarnation: self.Incarnation}
}

// buildDataPath makes what takes calls.
func (n *node) buildDataPath() {
	s := n.settings
	n.gate = admission.NewGate(n.discipline(), n.clock)
	n.announce = announce.New(announce.Settings{
		Instance: n.syncer.Self(), Backend: netip.MustParseAddrPort(s.BackendServer).Addr(), Clock: n.clock, Log: n.log,
		OnChange: n.backendChanged,
	})
	calls := proxy.NewCalls()
	backend := upstream.NewPool(upstream.Settings{Clock: n.clock, MaxOpen: s.Slots})
	peers := upstream.NewPool(upstream.Settings{Clock: n.clock, Dial: n.dial})
	n.egress = proxy.NewEgress(proxy.EgressSettings{
		Own: n.announce, Gate: gate{n.gate}, Guard: n.keys, Backend: backend, Calls: calls, Metrics: n.metrics,
		Clock: n.clock, Log: n.log,
	})
	n.ingress = proxy.NewIngress(proxy.IngressSettings{
		Self: membership.InstanceID(s.ID), Source: n.syncer, View: n.syncer, Guard: n.keys, Egress: n.egress, Peers: peers,
		Calls: calls, Picker: balance.New(balance.Settings{AvailabilityZone: s.AvailabilityZone, Random: s.Choice == "random"}),
		Retry: retry.New(retry.Settings{Unlimited: s.Retries == "unlimited"}), Metrics: n.metrics, Clock: n.clock, Log: n.log,
	})
}

func (n *node) discipline() admission.Discipline {
	settings := admission.Settings{Slots: n.settings.Slots}
	if n.settings.Admission == "fifo" {
		return admission.NewFIFO(settings)
	}
	return admission.New(settings)
}

// backendChanged passes the backend server's announcement on to admission and to the other nodes.
func (n *node) backendChanged(i membership.Instance) {
	i.Slots = min(i.Slots, n.settings.Slots)
	if i.State == membership.StateReady {
		n.gate.SetSlots(i.Slots)
	}
	n.syncer.SetLocal(i)
}

// register adds the services in the order in which they start. The drainer stops first, control last.
func (n *node) register() error {
	s := n.settings
	peers := &network.Listener{Allowed: n.peers, Refused: n.sourceRefused}
	services := []kernel.Service{
		n.control, n.syncer, n.relay, n.keys,
		admin.New(admin.Settings{
			Listen: s.Admin, Operators: n.operators, State: n.state, Ready: n.ready, Announce: n.announce, Metrics: n.metrics, Log: n.log,
		}),
		newListener("peers", s.Peers, peers, n.egress, n.announce.Run, n.log),
		newListener("callers", s.Callers, nil, n.ingress, n.runIngress, n.log),
		&drainer{syncer: n.syncer, ingress: n.ingress, egress: n.egress, keys: n.keys, log: n.log},
	}
	for _, svc := range services {
		if err := n.kernel.Register(svc); err != nil {
			return err
		}
	}
	return nil
}

func (n *node) sourceRefused(remote string) {
	n.metrics.Refused(metric.RefusedForbidden)
	event.SourceRefused.Write(event.SourceRefused.Log(&n.log).Str("remote", remote))
}

// runIngress keeps the ingress and the admission shares in step with membership and configuration.
func (n *node) runIngress(ctx context.Context) {
	go n.followShares(ctx)
	n.ingress.Run(ctx)
}

// sharesPeriod bounds how long a changed guaranteed share waits to take effect.
const sharesPeriod = time.Second

func (n *node) followShares(ctx context.Context) {
	tick := time.NewTicker(sharesPeriod)
	defer tick.Stop()
	var seen config.Version
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if snap := n.syncer.Current(); snap != nil && snap.Version != seen {
			seen = snap.Version
			n.gate.SetShares(sharesOf(snap))
		}
	}
}

// sharesOf gives each rank the largest share of its policies.
func sharesOf(snap *config.Snapshot) map[int]float64 {
	shares := make(map[int]float64)
	for _, p := range snap.Configuration.Policies {
		shares[p.Rank] = max(shares[p.Rank], p.GuaranteedShare)
	}
	return shares
}

func (n *node) ready() bool { return n.syncer.Ready() && n.kernel.State() == kernel.StateRunning }

func (n *node) state() admin.State {
	self := n.syncer.Self()
	st := admin.State{
		ID: string(self.ID), Service: self.Service, AvailabilityZone: self.AvailabilityZone,
		Lifecycle: n.kernel.State(), BackendServer: self.State.String(),
	}
	if snap := n.syncer.Current(); snap != nil {
		st.Version, st.Hash = uint64(snap.Version), snap.Hash
	}
	_, st.Relay = n.relay.Holds()
	since, complete := n.syncer.Synchronised()
	st.MembershipSettled = complete && n.clock.Now().Sub(since) > max(n.settings.MembershipLag, idempotency.DefaultSettle)
	return st
}

// run starts the services and stops them gracefully on a signal.
func (n *node) run(log zerolog.Logger, grace time.Duration) error {
	proxy.TuneRuntime()
	ctx, cancel := untilStopped()
	defer cancel()
	event.NodeStarted.Write(event.NodeStarted.Log(&log).Str("service", n.settings.Service).Str("zone", n.settings.AvailabilityZone))
	err := n.kernel.Run(ctx, grace)
	n.caller.Close()
	if err != nil {
		return err
	}
	event.NodeStopped.Write(event.NodeStopped.Log(&log))
	return nil
}
