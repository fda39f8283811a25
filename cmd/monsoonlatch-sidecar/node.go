package main

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"github.com/monsoonlatch/monsoonlatch/internal/parts"
	"github.com/monsoonlatch/monsoonlatch/pkg/admission"
	"github.com/monsoonlatch/monsoonlatch/pkg/announce"
	"github.com/monsoonlatch/monsoonlatch/pkg/balance"
	"github.com/monsoonlatch/monsoonlatch/pkg/clock"
	"github.com/monsoonlatch/monsoonlatch/pkg/directory"
	"github.com/monsoonlatch/monsoonlatch/pkg/kernel"
	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
	"github.com/monsoonlatch/monsoonlatch/pkg/network"
	"github.com/monsoonlatch/monsoonlatch/pkg/proxy"
	"github.com/monsoonlatch/monsoonlatch/pkg/retry"
	"github.com/monsoonlatch/monsoonlatch/pkg/rpcwire"
	"github.com/monsoonlatch/monsoonlatch/pkg/upstream"
	"github.com/monsoonlatch/monsoonlatch/platform"
)

const (
	// peerDialTimeout bounds a new connection to another node, a few milliseconds away. A VM that does not answer is
	// down or cut off, and the call goes elsewhere.
	peerDialTimeout = 250 * time.Millisecond
	// peerSilence ends a connection to another node that acknowledges nothing. A lost packet is sent again after 200 ms, so
	// that one loss in a row does no harm.
	peerSilence = 500 * time.Millisecond
	// backendIdle is shorter than the idle timeout of backend servers, 10 s.
	backendIdle = 5 * time.Second
	// slowStart is how long a backend server is slow after its start.
	slowStart = 3 * time.Second
	// heartbeatsMissed is how many heartbeats may be missing before a backend server counts as gone. A heartbeat may
	// arrive seconds late; one that has crashed refuses connections, which is seen at once.
	heartbeatsMissed = 6
	// stayInZone is by how much the load of an instance in another zone must be lower, as a fraction of its slots, for a
	// call to leave the zone: bytes between zones are dear.
	stayInZone = 0.3
	// bodyPart of the VM's memory for the process may hold request bodies; the kernel's buffers hold as much again.
	bodyPart = 4
	// connectionsPerSlot bounds the connections to the backend server, far below the number that it accepts.
	connectionsPerSlot = 2
	// drainPart is the part of the drain time in which a leaving backend server still takes new work; the rest is for
	// requests on their way to it.
	drainPart = 2
)

// Names under which the parts of the node find each other.
const (
	nameMetrics   = "metrics"
	nameCaller    = "caller"
	nameControl   = "control" // the name that the server of rpcwire gives itself
	nameState     = "state"
	nameFollower  = "follower"
	namePeers     = "peers"
	namePublisher = "publisher"
	nameGate      = "gate"
	nameBackend   = "backend"
	nameOwn       = "own"
	nameCalls     = "calls"
	nameBodies    = "bodies"
	nameEgress    = "egress"
	nameIngress   = "ingress"
	nameReady     = "readiness"
	nameReload    = "reload"
)

// builder puts the node together. Each part finds the parts that it needs by name.
type builder struct {
	*kernel.Builder
	settings *Settings
	vm       platform.Machine
	now      clock.Clock
	log      zerolog.Logger
	// calls is the logger for lines about single calls.
	calls zerolog.Logger
}

// builders run in this order. Services start in the same order and stop in the reverse one: the drainer first, the
// control server last.
var builders = []func(*builder){buildControl, buildDirectory, buildBackend, buildEgress, buildIngress, buildDuties, buildListeners, buildLifecycle}

// newNode builds all parts. It reports the first error.
func newNode(s *Settings, vm platform.Machine, log zerolog.Logger, metrics *metric.Set) (*kernel.Kernel, error) {
	b := &builder{Builder: kernel.NewBuilder(), settings: s, vm: vm, now: clock.System{}, log: log, calls: forCalls(log, metrics)}
	b.Provide(nameMetrics, metrics)
	for _, build := range builders {
		if build(b); b.Err != nil {
			return nil, b.Err
		}
	}
	return b.Kernel, nil
}

// find returns a part by name, or the zero value after an error.
func find[T any](b *builder, name string) T { return kernel.Part[T](b.Builder, name) }

func (b *builder) metrics() *metric.Set { return find[*metric.Set](b, nameMetrics) }

func (b *builder) self() membership.InstanceID { return membership.InstanceID(b.vm.Node) }

func (b *builder) controlPort() string { return strconv.Itoa(b.vm.FirstPort) }

func (b *builder) controlAddress() string { return net.JoinHostPort(b.vm.IP.String(), b.controlPort()) }

// bound returns where the node listens, given the address that others use.
func (b *builder) bound(addr string) string {
	if b.settings.Bind == "" {
		return addr
	}
	_, port, err := net.SplitHostPort(addr)
	b.Fail(err)
	return net.JoinHostPort(b.settings.Bind, port)
}

// dialPeer opens a connection to another node.
func (b *builder) dialPeer(ctx context.Context, addr string) (net.Conn, error) {
	d := network.Dialer(peerDialTimeout, peerSilence)
	if b.settings.Bind != "" {
		d.LocalAddr = &net.TCPAddr{IP: net.ParseIP(b.settings.Bind)}
	}
	return d.DialContext(ctx, "tcp", addr)
}

// buildControl makes both ends of the calls between nodes.
func buildControl(b *builder) {
	all, err := network.Parse([]string{"0.0.0.0/0"})
	b.Fail(err)
	server := rpcwire.NewServer(rpcwire.ServerSettings{Address: b.bound(b.controlAddress()), Networks: all}, b.log, b.metrics())
	b.Provide(nameCaller, rpcwire.NewPool(rpcwire.PoolSettings{Dial: b.dialPeer, DialTimeout: peerDialTimeout}, b.metrics()))
	b.Register(server)
}

// buildDirectory makes what follows the store and other nodes, and publishes the own record.
func buildDirectory(b *builder) {
	store, state := platform.NewStore(b.vm.Store), directory.NewState()
	follower := &directory.Follower{State: state, Store: store, Schema: platform.Schema{}, Self: b.self(), Clock: b.now, Log: b.log,
		Metrics: b.metrics()}
	follower.SetApply(b.vm.Bounds.Apply)
	server := find[*rpcwire.Server](b, nameControl)
	if b.Err != nil {
		return
	}
	peers := directory.NewPeers(&directory.Peers{State: state, Caller: find[*rpcwire.Pool](b, nameCaller), Control: b.controlAddress(),
		ControlPort: b.controlPort(), Self: b.self(), AvailabilityZone: b.vm.AvailabilityZone, Log: b.log, Metrics: b.metrics(), Silence: follower.Silence}, server)
	publisher := directory.NewPublisher(state, store, b.log, peers.Offer)
	follower.Trusting, follower.OnChange, follower.OnLost = peers.Trusting, peers.PassOn, func() { peers.PassOn(nil) }
	b.Provide(nameState, state)
	b.Provide(nameFollower, follower)
	b.Provide(namePeers, peers)
	b.Provide(namePublisher, publisher)
}

// buildBackend makes what the node knows of its backend server, its slots and the connections to it.
func buildBackend(b *builder) {
	gate := admission.NewGate(admission.New(admission.Settings{WarmStart: true, ExactSlots: true}), b.now)
	backend := upstream.NewPool(upstream.Settings{Clock: b.now, Idle: backendIdle})
	publisher, follower, peers := find[*directory.Publisher](b, namePublisher), find[*directory.Follower](b, nameFollower), find[*directory.Peers](b, namePeers)
	if b.Err != nil {
		return
	}
	b.Provide(nameGate, gate)
	b.Provide(nameBackend, backend)
	own := announce.New(announce.Settings{
		Instance: membership.Instance{ID: b.self(), Service: b.vm.Service, AvailabilityZone: b.vm.AvailabilityZone, Region: b.vm.Region,
			PeerAddress: b.vm.Peers.String(), ControlAddress: b.controlAddress(), Link: b.vm.Link, Incarnation: uint64(b.now.Now().UnixMilli()), Sequence: 1},
		Backend: b.vm.Backend.Addr(), Timeout: heartbeatsMissed * b.vm.Heartbeat, Clock: b.now, Log: b.log, DrainTime: b.vm.Bounds.Drain / drainPart,
		OnChange: func(in membership.Instance) {
			if in.State == membership.StateReady {
				gate.SetSlots(in.Slots)
				backend.SetMaxOpen(connectionsPerSlot * in.Slots)
			}
			publisher.Set(in)
		},
	})
	b.Provide(nameOwn, own)
	peers.OnOwnRecord = func(known membership.Instance) {
		in, _ := own.Own()
		removed := known.State == membership.StateDeparted && known.Incarnation == in.Incarnation && known.Sequence > in.Sequence
		if removed || known.Incarnation > in.Incarnation {
			own.Outlive(known.Incarnation)
		}
	}
	follower.OnOwnRecord = func(stored membership.Instance) {
		publisher.Stored(stored)
		peers.OnOwnRecord(stored)
	}
	follower.OnOwnRemoved = func() {
		publisher.Removed()
		in, _ := own.Own()
		own.Outlive(in.Incarnation)
	}
}

// buildEgress makes the part that hands calls to the backend server.
func buildEgress(b *builder) {
	calls, bodies := proxy.NewCalls(), proxy.NewBodyBudget(b.vm.MemoryBytes/bodyPart)
	b.Provide(nameCalls, calls)
	b.Provide(nameBodies, bodies)
	b.Provide(nameEgress, proxy.NewEgress(proxy.EgressSettings{Own: find[*announce.Service](b, nameOwn),
		Gate: parts.Gate{Gate: find[*admission.Gate](b, nameGate), PassTargets: true}, Backend: find[*upstream.Pool](b, nameBackend), Calls: calls,
		Metrics: b.metrics(), Clock: b.now, Log: b.calls, Dialect: platform.Dialect{}, Source: find[*directory.State](b, nameState),
		OnNewer: find[*directory.Peers](b, namePeers).Ask, Bodies: bodies}))
}

// buildIngress makes the part that takes callers' requests.
func buildIngress(b *builder) {
	state := find[*directory.State](b, nameState)
	b.Provide(nameIngress, proxy.NewIngress(proxy.IngressSettings{Self: b.self(), Source: state, View: state,
		Egress: find[*proxy.Egress](b, nameEgress), Calls: find[*proxy.Calls](b, nameCalls),
		Peers:  upstream.NewPool(upstream.Settings{Clock: b.now, Dial: b.dialPeer, DialTimeout: peerDialTimeout}),
		Picker: balance.New(balance.Settings{AvailabilityZone: b.vm.AvailabilityZone, SlowStart: slowStart, ZonePreference: stayInZone}),
		Retry:  retry.NewBudgets(retrySettings(b.vm.Bounds)), Metrics: b.metrics(), Clock: b.now, Log: b.calls, Dialect: platform.Dialect{},
		Caller: b.vm.Service, Steadfast: true, OnNewer: find[*directory.Peers](b, namePeers).Ask, Bodies: find[*proxy.BodyBudget](b, nameBodies)}))
}

// buildDuties makes the service of all that runs beside the listeners.
func buildDuties(b *builder) {
	follower, peers, ingress := find[*directory.Follower](b, nameFollower), find[*directory.Peers](b, namePeers), find[*proxy.Ingress](b, nameIngress)
	if b.Err != nil {
		return
	}
	b.Register(newTasks("duties", follower.Run, peers.Run, peers.RunPassOn, find[*directory.Publisher](b, namePublisher).Run,
		find[*announce.Service](b, nameOwn).Run, ingress.Run, ingress.Peers.Run, find[*upstream.Pool](b, nameBackend).Run))
}

// buildListeners makes the services of all addresses.
func buildListeners(b *builder) {
	state, own, ingress := find[*directory.State](b, nameState), find[*announce.Service](b, nameOwn), find[*proxy.Ingress](b, nameIngress)
	ready := &readiness{source: state, listed: find[*directory.Follower](b, nameFollower).Listed}
	b.Provide(nameReady, ready)
	idle := newIdleConns(state)
	callers := proxy.NewServer(ingress)
	callers.ConnState = idle.track
	listen := func(name, address string, s *http.Server, duties ...func(context.Context)) {
		b.Register(parts.NewListener(name, b.bound(address), nil, s, b.log, duties...))
	}
	listen("inbound", b.vm.Peers.String(), proxy.NewPeerServer(find[*proxy.Egress](b, nameEgress)))
	listen("announcements", b.vm.Announcements.String(), plainServer(&platform.Announcements{Receiver: own, Backend: b.vm.Backend.String()}))
	listen("callers", b.vm.Callers.String(), callers, idle.run)
	listen("ready", b.vm.Ready.String(), plainServer(ready))
	b.Register(parts.NewListener("operators", b.settings.Metrics, nil, plainServer(http.HandlerFunc(b.metrics().Text)), b.log))
}

// buildLifecycle makes the reload of the settings and the graceful stop.
func buildLifecycle(b *builder) {
	own, follower := find[*announce.Service](b, nameOwn), find[*directory.Follower](b, nameFollower)
	b.Provide(nameReload, &reloader{path: b.settings.File, current: b.vm, log: b.log, apply: func(bounds platform.Bounds) {
		own.SetDrainTime(bounds.Drain / drainPart)
		follower.SetApply(bounds.Apply)
	}})
	b.Register(&drainer{ready: find[*readiness](b, nameReady), ingress: find[*proxy.Ingress](b, nameIngress),
		egress: find[*proxy.Egress](b, nameEgress), publisher: find[*directory.Publisher](b, namePublisher), log: b.log})
}

// retrySettings gives each node a part of the mesh's retry budget. The ratio is halved, since calls of a repeated run
// count as repeats too. The number of nodes is not known; the bursts of a dozen stay within the slack.
func retrySettings(b platform.Bounds) retry.Settings {
	return retry.Settings{Ratio: b.RetryRatio / 2, Burst: 4, Floor: 0.1, FloorBurst: 1, FreeReroutes: maxMoves, BudgetPerRequest: true, MinRemaining: minRemaining}
}

// minRemaining is the time below which another attempt can hardly end: the way to another zone and back, and the shortest
// service time.
const minRemaining = 20 * time.Millisecond

// maxMoves is how often a call that no backend server has seen goes on to another node: all instances of a service of
// the usual size are asked before a caller is refused.
const maxMoves = 4

// readHeaderTimeout bounds a request's header on the listeners for the platform and operators.
const readHeaderTimeout = 3 * time.Second

func plainServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
}
