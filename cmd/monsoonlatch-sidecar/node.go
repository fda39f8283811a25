package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"github.com/monsoonlatch/monsoonlatch/internal/parts"
	"github.com/monsoonlatch/monsoonlatch/pkg/admin"
	"github.com/monsoonlatch/monsoonlatch/pkg/admission"
	"github.com/monsoonlatch/monsoonlatch/pkg/announce"
	"github.com/monsoonlatch/monsoonlatch/pkg/balance"
	"github.com/monsoonlatch/monsoonlatch/pkg/clock"
	"github.com/monsoonlatch/monsoonlatch/pkg/directory"
	"github.com/monsoonlatch/monsoonlatch/pkg/era"
	"github.com/monsoonlatch/monsoonlatch/pkg/event"
	"github.com/monsoonlatch/monsoonlatch/pkg/hedge"
	"github.com/monsoonlatch/monsoonlatch/pkg/intake"
	"github.com/monsoonlatch/monsoonlatch/pkg/kernel"
	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
	"github.com/monsoonlatch/monsoonlatch/pkg/network"
	"github.com/monsoonlatch/monsoonlatch/pkg/proxy"
	"github.com/monsoonlatch/monsoonlatch/pkg/quota"
	"github.com/monsoonlatch/monsoonlatch/pkg/retry"
	"github.com/monsoonlatch/monsoonlatch/pkg/rollout"
	"github.com/monsoonlatch/monsoonlatch/pkg/rpcwire"
	"github.com/monsoonlatch/monsoonlatch/pkg/upstream"
	"github.com/monsoonlatch/monsoonlatch/platform"
)

const (
	// peerDialTimeout limits the time to connect to another node, which is a few milliseconds away. A VM that does not
	// respond in time is down or unreachable, and the call is sent to another node.
	peerDialTimeout = 250 * time.Millisecond
	// peerAckTimeout is the time without a TCP acknowledgement after which a connection to another node fails. A lost
	// packet is retransmitted after 200 ms, so that a single loss does not break the connection.
	peerAckTimeout = 500 * time.Millisecond
	// backendIdleTimeout is shorter than the idle timeout of backend servers, 10 s, so that the node closes the
	// connection first.
	backendIdleTimeout = 5 * time.Second
	// slowStartTime is the time in which a new instance reaches its full share of calls; a backend server is slow for
	// that long after its start.
	slowStartTime = 3 * time.Second
	// maxMissedHeartbeats is the number of heartbeat intervals without a heartbeat after which the backend server is
	// considered lost. A heartbeat may arrive seconds late. A crash is detected at once, because a crashed backend
	// server refuses connections.
	maxMissedHeartbeats = 6
	// zonePreference is the amount, as a fraction of its slots, by which the load of an instance in another zone must
	// be lower for a call to leave the zone, since traffic between zones is expensive.
	zonePreference = 0.3
	// lateZonePreference replaces zonePreference for a call that would miss its target in the other zone too.
	lateZonePreference = 1.0
	// maxTargetWait is the fraction of the time to its target, less its service time, that a call may wait at one instance
	// while the deployment has tenants; docs/design/admission-fairness.md compares it with others.
	maxTargetWait = 0.25
	// completionSlots is the number of slots up to which instances are chosen by expected completion, and from which the
	// loads of instances are exchanged between nodes.
	completionSlots = 8
	// bodyMemoryDivisor is the divisor that yields the memory for request bodies from the memory limit of the process.
	// The socket buffers of the operating system may hold the same amount again.
	bodyMemoryDivisor = 4
	// readAheadDivisor is the divisor that yields the memory for responses that their receivers take slowly from the memory
	// limit of the process. Beyond it, such a receiver holds a slot of the backend server until its deadline.
	readAheadDivisor = 16
	// connectionsPerSlot limits the connections to the backend server; the limit is far below the number that it
	// accepts.
	connectionsPerSlot = 2
	// drainTimeDivisor is the divisor that yields, from the platform's drain time, how long a draining backend server
	// still accepts new requests. The rest of the drain time is for requests that are already on their way to it.
	drainTimeDivisor = 2
)

// Names by which the components of the node find each other.
const (
	nameMetrics        = "metrics"
	nameRPCPool        = "caller"
	nameControl        = "control" // as returned by rpcwire.Server.Name
	nameDirectoryState = "state"
	nameFollower       = "follower"
	nameStore          = "store"
	nameEras           = "eras"
	namePeers          = "peers"
	namePublisher      = "publisher"
	nameGate           = "gate"
	nameBackendPool    = "backend"
	nameAnnounce       = "own"
	nameCalls          = "calls"
	nameBodyBudget     = "bodies"
	nameHealth         = "health"
	nameEgress         = "egress"
	nameIngress        = "ingress"
	nameQuota          = "quota"
	nameReadiness      = "readiness"
	nameEndCalls       = "endCalls"
	nameRolloutTable   = "rollout-table"
	nameRollouts       = "rollouts"
	nameReloader       = "reload"
	nameKeyRules       = "keyRules"
	nameIntake         = "intake" // as returned by intake.Budget.Name
)

// Names of the metrics of the store's eras.
const (
	gaugeStoreEra      = "store.era"
	countStoreRestores = "store.restores"
	countOddEras       = "store.odd_eras"
)

// oddEraPeriod is the least time between two log lines about answers of the store that name an odd era.
const oddEraPeriod = time.Minute

// builder assembles the node. Each component finds the components that it needs by name.
type builder struct {
	*kernel.Builder
	settings *Settings
	vm       platform.VMSettings
	clock    clock.Clock
	log      zerolog.Logger
	// callLog is the rate-limited logger for lines about single calls.
	callLog zerolog.Logger
	// onOwnChange, if set, is called with the record of the instance beside this node when it changes. It is set before the
	// services start.
	onOwnChange func(membership.Instance)
}

// builders lists the build functions in the order in which they run. Services start in this order and stop in reverse:
// the drainer first, the control server last.
var builders = []func(*builder){buildIntake, buildControl, buildDirectory, buildBackend, buildRollouts, buildEgress, buildQuota, buildIngress, buildBackgroundTasks, buildListeners, buildLifecycle}

// newNode builds all components. It returns the first error.
func newNode(s *Settings, vm platform.VMSettings, log zerolog.Logger, metrics *metric.Set) (*kernel.Kernel, error) {
	b := &builder{Builder: kernel.NewBuilder(), settings: s, vm: vm, clock: clock.System{}, log: log, callLog: callLogger(log, metrics)}
	b.Provide(nameMetrics, metrics)
	for _, build := range builders {
		if build(b); b.Err != nil {
			return nil, b.Err
		}
	}
	return b.Kernel, nil
}

// find returns a component by name, or the zero value after an error.
func find[T any](b *builder, name string) T { return kernel.Component[T](b.Builder, name) }

func (b *builder) metrics() *metric.Set { return find[*metric.Set](b, nameMetrics) }

func (b *builder) self() membership.InstanceID { return membership.InstanceID(b.vm.Node) }

func (b *builder) controlPort() string { return strconv.Itoa(b.vm.FirstPort) }

func (b *builder) controlAddress() string { return net.JoinHostPort(b.vm.IP.String(), b.controlPort()) }

// listenAddress returns the address that the node listens on, given the address at which others reach it.
func (b *builder) listenAddress(addr string) string {
	if b.settings.Bind == "" {
		return addr
	}
	_, port, err := net.SplitHostPort(addr)
	b.RecordError(err)
	return net.JoinHostPort(b.settings.Bind, port)
}

// dialPeer opens a connection to another node.
func (b *builder) dialPeer(ctx context.Context, addr string) (net.Conn, error) {
	d := network.Dialer(peerDialTimeout, peerAckTimeout)
	if b.settings.Bind != "" {
		d.LocalAddr = &net.TCPAddr{IP: net.ParseIP(b.settings.Bind)}
	}
	return d.DialContext(ctx, "tcp", addr)
}

// buildIntake creates the budget for requests that have not been admitted, which all listeners share.
func buildIntake(b *builder) {
	state := directory.NewState()
	b.Provide(nameDirectoryState, state)
	b.Register(intake.New(intake.Settings{Memory: b.vm.MemoryBytes, Descriptors: b.vm.Descriptors, Metrics: b.metrics(), Log: b.log,
		Limits: func() intake.Limits { return intake.LimitsOf(state.Current()) }}))
}

// buildControl creates the server and the connection pool for RPC calls between nodes.
func buildControl(b *builder) {
	anyNetwork, err := network.Parse([]string{"0.0.0.0/0"})
	b.RecordError(err)
	budget := find[*intake.Budget](b, nameIntake)
	if b.Err != nil {
		return
	}
	server := rpcwire.NewServer(rpcwire.ServerSettings{Address: b.listenAddress(b.controlAddress()), Networks: anyNetwork, Class: budget.Nodes()}, b.log, b.metrics())
	b.Provide(nameRPCPool, rpcwire.NewPool(rpcwire.PoolSettings{Dial: b.dialPeer, DialTimeout: peerDialTimeout}, b.metrics()))
	b.Register(server)
}

// buildDirectory creates the components that watch the store, synchronise with other nodes, and publish this
// node's instance record.
func buildDirectory(b *builder) {
	eras := era.NewTracker()
	oddEraLog := b.log.Sample(&zerolog.BurstSampler{Burst: 1, Period: oddEraPeriod})
	store, state := platform.NewStore(b.vm.StoreAddress, eras), find[*directory.State](b, nameDirectoryState)
	follower := &directory.Follower{State: state, Store: store, Schema: platform.Schema{}, Eras: eras, Self: b.self(), Clock: b.clock, Log: b.log,
		Metrics: b.metrics()}
	follower.SetApplyBound(b.vm.Bounds.Apply)
	server := find[*rpcwire.Server](b, nameControl)
	if b.Err != nil {
		return
	}
	peers := directory.NewPeers(&directory.Peers{State: state, Caller: find[*rpcwire.Pool](b, nameRPCPool), Control: b.controlAddress(),
		ControlPort: b.controlPort(), Self: b.self(), AvailabilityZone: b.vm.AvailabilityZone, Eras: eras, Log: b.log, Metrics: b.metrics(), StoreSilence: follower.StoreSilence}, server)
	store.OnOddEra = func(named string, known era.Number) {
		b.metrics().Counter(countOddEras).Inc(1)
		event.StoreEraOdd.Write(event.StoreEraOdd.Log(&oddEraLog).Str("named", fmt.Sprintf("%.64s", named)).Uint64("era", uint64(known)))
	}
	eras.OnRaise = func(before, now era.Number) {
		event.StoreRestored.Write(event.StoreRestored.Log(&b.log).Uint64("era_before", uint64(before)).Uint64("era", uint64(now)))
		b.metrics().Gauge(gaugeStoreEra).Update(int64(now))
		b.metrics().Counter(countStoreRestores).Inc(1)
		peers.Forward(nil) // Tells it to the nodes that this one serves.
	}
	publisher := directory.NewPublisher(state, store, eras, b.log, peers.Offer)
	follower.CanSkipWatch, follower.OnChange, follower.OnStoreLost = peers.CanSkipWatch, peers.Forward, func() { peers.Forward(nil) }
	follower.OnWatchTimeout = peers.RequestPullFromAny
	b.Provide(nameRolloutTable, rollout.NewTable(b.vm.Bounds.ExposeShare > 0))
	b.Provide(nameStore, store)
	b.Provide(nameEras, eras)
	b.Provide(nameFollower, follower)
	b.Provide(namePeers, peers)
	b.Provide(namePublisher, publisher)
}

// buildBackend creates the components for the local backend server: its admission gate, the connections to it, and the
// service that accepts its announcements and derives this node's instance record from them.
func buildBackend(b *builder) {
	gate := admission.NewGate(admission.New(admission.Settings{WarmStart: true, ExactSlots: true, MaxTargetWait: maxTargetWait, WaitLimitNeedsTenants: true}), b.clock)
	backendPool := upstream.NewPool(upstream.Settings{Clock: b.clock, IdleTimeout: backendIdleTimeout})
	publisher, follower, peers := find[*directory.Publisher](b, namePublisher), find[*directory.Follower](b, nameFollower), find[*directory.Peers](b, namePeers)
	health := &healthChecker{source: find[*directory.State](b, nameDirectoryState), backend: backendPool}
	if b.Err != nil {
		return
	}
	b.Provide(nameGate, gate)
	b.Provide(nameBackendPool, backendPool)
	b.Provide(nameHealth, health)
	recall := &directory.Recall{Publisher: publisher, Peers: peers, InstancesListed: follower.InstancesListed, Log: b.log}
	announcer := announce.New(announce.Settings{
		Instance: membership.Instance{ID: b.self(), Service: b.vm.Service, AvailabilityZone: b.vm.AvailabilityZone, Region: b.vm.Region,
			PeerAddress: b.vm.Peers.String(), ControlAddress: b.controlAddress(), Link: b.vm.LinkMbps, Incarnation: uint64(b.clock.Now().UnixMilli()), Sequence: 1},
		Backend: b.vm.Backend.Addr(), Timeout: maxMissedHeartbeats * b.vm.Heartbeat, Clock: b.clock, Log: b.log, DrainTime: b.vm.Bounds.Drain / drainTimeDivisor,
		AcceptsWork: health.acceptsWork, Recall: recall.Run, AwaitStored: publisher.AwaitStored,
		OnChange: func(instance membership.Instance) {
			if instance.State == membership.StateReady {
				gate.SetSlots(instance.Slots)
				backendPool.SetMaxConnsPerHost(connectionsPerSlot * instance.Slots)
			}
			if b.onOwnChange != nil {
				b.onOwnChange(instance)
			}
			publisher.Set(instance)
		},
	})
	b.Provide(nameAnnounce, announcer)
	peers.OnOwnRecord = func(known membership.Instance) {
		announcer.ObserveOwn(known)
		instance, _ := announcer.Instance()
		removed := known.State == membership.StateDeparted && known.Incarnation == instance.Incarnation && known.Sequence > instance.Sequence
		if removed || known.Incarnation > instance.Incarnation {
			announcer.RaiseIncarnationAbove(known.Incarnation)
		}
	}
	publisher.OnRead = peers.OnOwnRecord
	publisher.OnLost = func() {
		instance, _ := announcer.Instance()
		announcer.RaiseIncarnationAbove(instance.Incarnation)
	}
	follower.OnOwnRecord = func(stored membership.Instance, read era.Number) {
		publisher.ObserveStored(stored, read)
		peers.OnOwnRecord(stored)
	}
	follower.OnOwnRecordRemoved = func(read era.Number) {
		publisher.ObserveRemoved(read)
		publisher.OnLost()
	}
	follower.OnOwnRecordMissing = publisher.ObserveMissing
}

// buildRollouts creates the components that take part in roll-outs. Where the platform orders none, nothing is created, so that
// nothing is watched, sent or counted.
func buildRollouts(b *builder) {
	bounds := b.vm.Bounds
	if bounds.ExposeShare == 0 {
		return
	}
	table, announcer, follower := find[*rollout.Table](b, nameRolloutTable), find[*announce.BackendTracker](b, nameAnnounce), find[*directory.Follower](b, nameFollower)
	peers, store := find[*directory.Peers](b, namePeers), find[*platform.Store](b, nameStore)
	if b.Err != nil {
		return
	}
	local := rollout.NewLocal(&rollout.Local{Table: table, Service: b.vm.Service, GrantTime: directory.GrantTime(bounds.Rollback),
		Version: func() (string, int64) {
			in, _ := announcer.Instance()
			return in.Version, in.BackendStarted
		}})
	rollouts := directory.NewRollouts(&directory.Rollouts{Table: table, Local: local, Peers: peers, Store: store, Schema: platform.RolloutSchema{},
		Settings: rollout.Settings{ExposeShare: bounds.ExposeShare, ExposeSlack: bounds.ExposeSlack, RollbackTime: bounds.Rollback},
		Clock:    b.clock, Log: b.log, Metrics: b.metrics()})
	follower.OnRollouts, follower.RolloutKind = rollouts.ObserveChanges, platform.RolloutSchema{}.RolloutKind()
	b.onOwnChange = rollouts.ObserveOwn
	b.Provide(nameRollouts, rollouts)
	b.Register(newBackgroundTasks("rollout-duties", rollouts.RunDecider, rollouts.RunWrites, rollouts.RunForward, rollouts.RunReporter, rollouts.RunReads, rollouts.RunForget))
}

// versionGate returns the gate of the egress during roll-outs, or nil if there are none.
func versionGate(b *builder) proxy.VersionGate {
	if b.vm.Bounds.ExposeShare == 0 {
		return nil
	}
	if rollouts := find[*directory.Rollouts](b, nameRollouts); rollouts != nil {
		return rollouts.Local
	}
	return nil
}

// versionChooser returns the chooser of the ingress during roll-outs, or nil if there are none.
func versionChooser(b *builder) proxy.VersionChooser {
	if b.vm.Bounds.ExposeShare == 0 {
		return nil
	}
	return find[*rollout.Table](b, nameRolloutTable)
}

// buildEgress creates the egress, which passes calls to the local backend server.
func buildEgress(b *builder) {
	calls, bodies := proxy.NewCalls(), proxy.NewBodyBudget(b.vm.MemoryBytes/bodyMemoryDivisor)
	b.Provide(nameCalls, calls)
	b.Provide(nameBodyBudget, bodies)
	egress := proxy.NewEgress(proxy.EgressSettings{Local: find[*announce.BackendTracker](b, nameAnnounce),
		Gate: parts.Gate{Gate: find[*admission.Gate](b, nameGate), PassTargets: true}, Backend: find[*upstream.Pool](b, nameBackendPool), Calls: calls,
		Metrics: b.metrics(), Clock: b.clock, Log: b.callLog, Dialect: platform.Dialect{}, Source: find[*directory.State](b, nameDirectoryState),
		OnNewerVersion: find[*directory.Peers](b, namePeers).RequestPull, Bodies: bodies, ReadAhead: proxy.NewBodyBudget(b.vm.MemoryBytes / readAheadDivisor),
		Versions: versionGate(b), Cold: find[*announce.BackendTracker](b, nameAnnounce).Cold})
	find[*healthChecker](b, nameHealth).onResponse = egress.TakeAdvice
	b.Provide(nameEgress, egress)
}

// buildQuota creates the service that holds tenants to their quotas over all nodes.
func buildQuota(b *builder) {
	state, bounds := find[*directory.State](b, nameDirectoryState), b.vm.Bounds
	pool, server, follower := find[*rpcwire.Pool](b, nameRPCPool), find[*rpcwire.Server](b, nameControl), find[*directory.Follower](b, nameFollower)
	if b.Err != nil {
		return
	}
	b.Provide(nameQuota, quota.New(quota.Settings{Self: b.self(), AvailabilityZone: b.vm.AvailabilityZone, View: state, Complete: follower.InstancesListed,
		Caller: pool, Version: func() uint64 { return uint64(state.Version()) },
		Enabled: func() bool { snap := state.Current(); return snap != nil && snap.HasTenants() }, Clock: b.clock, Metrics: b.metrics(), Log: b.callLog,
		Terms: quota.Terms{Window: bounds.QuotaWindow, Overshoot: bounds.QuotaOvershoot, Slack: bounds.QuotaSlack}}, server))
}

// buildIngress creates the ingress, which accepts callers' requests.
func buildIngress(b *builder) {
	state, rules := find[*directory.State](b, nameDirectoryState), &keyRules{}
	rules.set(b.vm.Bounds)
	b.Provide(nameKeyRules, rules)
	b.Provide(nameIngress, proxy.NewIngress(proxy.IngressSettings{Self: b.self(), Source: state, View: state,
		Egress: find[*proxy.Egress](b, nameEgress), Calls: find[*proxy.Calls](b, nameCalls),
		Peers: upstream.NewPool(upstream.Settings{Clock: b.clock, Dial: b.dialPeer, DialTimeout: peerDialTimeout}),
		Picker: balance.New(balance.Settings{AvailabilityZone: b.vm.AvailabilityZone, SlowStart: slowStartTime, ZonePreference: zonePreference, LateZonePreference: lateZonePreference,
			Self: b.self(), Completion: balance.Completion{MaxSlots: completionSlots}}),
		Retry: retry.NewBudgets(retrySettings(b.vm.Bounds)), NodeCount: state.NodeCount, Versions: versionChooser(b), Metrics: b.metrics(), Clock: b.clock, Log: b.callLog, Dialect: platform.Dialect{},
		Caller: b.vm.Service, DisableAttemptTimeout: true, OnNewerVersion: find[*directory.Peers](b, namePeers).RequestPull, Bodies: find[*proxy.BodyBudget](b, nameBodyBudget),
		Quota: tenantQuota{find[*quota.Service](b, nameQuota)}, KeyRules: rules.current, ConfigurationAge: state.ConfigurationAge,
		Hedge: hedge.New(hedge.Settings{Share: b.settings.HedgeShare})}))
}

// buildBackgroundTasks creates the service that runs the background tasks that belong to no listener.
func buildBackgroundTasks(b *builder) {
	follower, peers, ingress := find[*directory.Follower](b, nameFollower), find[*directory.Peers](b, namePeers), find[*proxy.Ingress](b, nameIngress)
	quotas := find[*quota.Service](b, nameQuota)
	if b.Err != nil {
		return
	}
	cleaner := &directory.Cleaner{State: find[*directory.State](b, nameDirectoryState), Store: find[*platform.Store](b, nameStore), Eras: find[*era.Tracker](b, nameEras),
		Self: b.self(), Clock: b.clock, Log: b.log}
	restorer := &directory.Restorer{State: find[*directory.State](b, nameDirectoryState), Store: find[*platform.Store](b, nameStore), Eras: find[*era.Tracker](b, nameEras),
		Self: b.self(), Log: b.log}
	b.Register(newBackgroundTasks("duties", cleaner.Run, restorer.Run, follower.Run, peers.Run, peers.RunForward, find[*directory.Publisher](b, namePublisher).Run,
		find[*announce.BackendTracker](b, nameAnnounce).Run, ingress.Run, ingress.Peers.Run, quotas.Run, quotas.RunTransfers, find[*upstream.Pool](b, nameBackendPool).Run))
}

// buildListeners creates a service for each address that the node listens on over HTTP.
func buildListeners(b *builder) {
	state, announcer, ingress := find[*directory.State](b, nameDirectoryState), find[*announce.BackendTracker](b, nameAnnounce), find[*proxy.Ingress](b, nameIngress)
	ready := &readiness{source: state, instancesListed: find[*directory.Follower](b, nameFollower).InstancesListed}
	b.Provide(nameReadiness, ready)
	idleCloser := newIdleConnCloser(state)
	callers := proxy.NewServer(ingress)
	callers.ConnState = idleCloser.track
	callContext, endCalls := context.WithCancel(context.Background())
	callers.BaseContext = func(net.Listener) context.Context { return callContext }
	b.Provide(nameEndCalls, endCalls)
	budget := find[*intake.Budget](b, nameIntake)
	if b.Err != nil {
		return
	}
	local := budget.Local()
	listen := func(name, address string, s *http.Server, class *intake.Class, refuse intake.Refuser, tasks ...func(context.Context)) {
		class.Protect(s, refuse)
		b.Register(parts.NewListener(name, address, nil, s, class, b.log, tasks...))
	}
	listen("inbound", b.listenAddress(b.vm.Peers.String()), proxy.NewPeerServer(find[*proxy.Egress](b, nameEgress)), budget.Nodes(), proxy.RefuseCall)
	listen("announcements", b.listenAddress(b.vm.Announcements.String()), newHTTPServer(&platform.Announcements{Receiver: announcer, Backend: b.vm.Backend.String()}), local, nil)
	listen("callers", b.listenAddress(b.vm.Callers.String()), callers, budget.Callers(), proxy.Refuser(platform.Dialect{}), idleCloser.run)
	listen("ready", b.listenAddress(b.vm.Ready.String()), newHTTPServer(ready), local, nil)
	operators := http.NewServeMux()
	operators.HandleFunc("/", b.metrics().ServeText)
	if b.vm.Bounds.ExposeShare > 0 {
		operators.Handle("GET /rollouts", find[*directory.Rollouts](b, nameRollouts))
	}
	operators.HandleFunc("POST /explain", ingress.ServeExplain)
	operators.Handle("GET /tenants", &admin.Tenants{Node: b.vm.Node, Gate: find[*admission.Gate](b, nameGate), Metrics: b.metrics()})
	listen("operators", b.settings.Metrics, newHTTPServer(operators), budget.Local(), nil)
}

// buildLifecycle creates the reloader of the settings and the drainer.
func buildLifecycle(b *builder) {
	announcer, follower, rules := find[*announce.BackendTracker](b, nameAnnounce), find[*directory.Follower](b, nameFollower), find[*keyRules](b, nameKeyRules)
	b.Provide(nameReloader, &reloader{path: b.settings.File, current: b.vm, log: b.log, apply: func(bounds platform.Bounds) {
		announcer.SetDrainTime(bounds.Drain / drainTimeDivisor)
		follower.SetApplyBound(bounds.Apply)
		rules.set(bounds)
	}})
	b.Register(&drainer{ready: find[*readiness](b, nameReadiness), ingress: find[*proxy.Ingress](b, nameIngress),
		egress: find[*proxy.Egress](b, nameEgress), announcer: announcer, log: b.log,
		gate: find[*admission.Gate](b, nameGate), endCalls: find[context.CancelFunc](b, nameEndCalls)})
}

// retrySettings derives the retry budget from the platform's limit, which applies to all nodes together. The ratio is
// halved, since the nested calls of a retried request count as retries too.
func retrySettings(b platform.Bounds) retry.Settings {
	return retry.Settings{Ratio: b.RetryRatio / 2, Burst: maxRetryBurst, Floor: 0.1, FloorBurst: 1, MeshBurst: b.RetrySlack, FreeReroutes: maxReroutes,
		BudgetPerRequest: true, MinRemaining: minRemaining}
}

// maxRetryBurst is the maximum number of retries that a node saves up for one service, however few nodes there are.
const maxRetryBurst = 4

// minRemaining is the time to the deadline below which another attempt is unlikely to finish: the round trip to another
// zone plus the shortest service time.
const minRemaining = 20 * time.Millisecond

// maxReroutes is the number of times that a call that has not reached a backend server is sent to another node. It
// allows a call to try all instances of a service of the usual size before the caller is refused.
const maxReroutes = 4

// readHeaderTimeout limits the time to read a request's header on the listeners for the platform and operators.
const readHeaderTimeout = 3 * time.Second

const (
	// localReadTimeout limits the time to read a whole request on these listeners, whose bodies are a few hundred bytes.
	// Without it, clients that never finish a body hold all connections that the listener may have.
	localReadTimeout = 5 * time.Second
	localIdleTimeout = 2 * time.Minute
)

func newHTTPServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: localReadTimeout, IdleTimeout: localIdleTimeout}
}
