package main

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/rs/zerolog"

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
	// drainPart is the part of the drain time in which a leaving backend server still takes new work; the rest is for
	// requests on their way to it.
	drainPart = 2
)

// node is the parts that the lifecycle needs beyond the kernel.
type node struct {
	kernel *kernel.Kernel
	caller *rpcwire.Pool
	reload *reloader
}

// newNode puts the node together.
func newNode(s *Settings, vm platform.Machine, log zerolog.Logger, metrics *metric.Set) (*node, error) {
	var now clock.Clock = clock.System{}
	callLog := forCalls(log, metrics)
	peerDial := network.Dialer(peerDialTimeout, peerSilence)
	dial := func(ctx context.Context, addr string) (net.Conn, error) {
		return peerDial.DialContext(ctx, "tcp", addr)
	}
	caller := rpcwire.NewPool(rpcwire.PoolSettings{Dial: dial, DialTimeout: peerDialTimeout}, metrics)
	everyNode, err := network.Parse([]string{"0.0.0.0/0"})
	if err != nil {
		return nil, err
	}
	controlPort := strconv.Itoa(vm.FirstPort)
	control := rpcwire.NewServer(rpcwire.ServerSettings{Address: net.JoinHostPort(vm.IP.String(), controlPort), Networks: everyNode}, log, metrics)

	store := platform.NewStore(vm.Store)
	state := directory.NewState()
	follower := &directory.Follower{State: state, Store: store, Schema: platform.Schema{}, Self: membership.InstanceID(vm.Node),
		Clock: now, Log: log, Metrics: metrics}
	follower.SetApply(vm.Bounds.Apply)
	peers := directory.NewPeers(&directory.Peers{State: state, Caller: caller, Control: net.JoinHostPort(vm.IP.String(), controlPort), ControlPort: controlPort,
		Self: membership.InstanceID(vm.Node), Log: log, Metrics: metrics, Silence: follower.Silence}, control)
	follower.Trusting, follower.OnChange = peers.Trusting, peers.PassOn
	publisher := directory.NewPublisher(state, store, log, peers.Offer)
	follower.OnOwnRecord = publisher.Stored

	gate := admission.NewGate(admission.New(admission.Settings{Warm: true, Exact: true}), now)
	backend := upstream.NewPool(upstream.Settings{Clock: now, Idle: backendIdle})
	own := announce.New(announce.Settings{
		Instance: membership.Instance{ID: membership.InstanceID(vm.Node), Service: vm.Service, AvailabilityZone: vm.AvailabilityZone,
			Region: vm.Region, PeerAddress: vm.Peers.String(), ControlAddress: net.JoinHostPort(vm.IP.String(), controlPort),
			Incarnation: uint64(now.Now().UnixMilli()), Sequence: 1},
		Backend: vm.Backend.Addr(), Timeout: heartbeatsMissed * vm.Heartbeat, Clock: now, Log: log, DrainTime: vm.Bounds.Drain / drainPart,
		OnChange: func(in membership.Instance) {
			if in.State == membership.StateReady {
				gate.SetSlots(in.Slots)
				backend.SetMaxOpen(2 * in.Slots)
			}
			publisher.Set(in)
		},
	})
	calls, bodies := proxy.NewCalls(), proxy.NewBodyBudget(vm.MemoryBytes/bodyPart)
	dialect := platform.Dialect{}
	egress := proxy.NewEgress(proxy.EgressSettings{Own: own, Gate: slots{gate}, Backend: backend, Calls: calls, Metrics: metrics,
		Clock: now, Log: callLog, Dialect: dialect, Source: state, OnNewer: peers.Ask, Bodies: bodies})
	peerPool := upstream.NewPool(upstream.Settings{Clock: now, Dial: dial, DialTimeout: peerDialTimeout})
	ingress := proxy.NewIngress(proxy.IngressSettings{Self: membership.InstanceID(vm.Node), Source: state, View: state, Egress: egress,
		Calls: calls, Peers: peerPool, Picker: balance.New(balance.Settings{AvailabilityZone: vm.AvailabilityZone, SlowStart: slowStart, Stay: stayInZone}),
		Retry: retry.NewBudgets(retrySettings(vm.Bounds)), Metrics: metrics, Clock: now, Log: callLog, Dialect: dialect,
		Caller: vm.Service, Steadfast: true, OnNewer: peers.Ask, Bodies: bodies})

	idle := newIdleConns(state)
	callers := proxy.NewServer(ingress)
	callers.ConnState = idle.track
	ready := &readiness{source: state, listed: follower.Listed}
	d := &drainer{ready: ready, ingress: ingress, egress: egress, publisher: publisher, grace: vm.Bounds.Grace, log: log}
	reload := &reloader{path: s.File, current: vm, log: log, apply: func(b platform.Bounds) {
		own.SetDrainTime(b.Drain / drainPart)
		follower.SetApply(b.Apply)
	}}
	n := &node{kernel: kernel.New(), caller: caller, reload: reload}
	services := []kernel.Service{
		control,
		newTasks("directory", follower.Run, peers.Run, peers.RunPassOn, publisher.Run, own.Run, ingress.Run, peerPool.Run, backend.Run, idle.run),
		newListener("peers", vm.Peers.String(), proxy.NewPeerServer(egress), log),
		newListener("announcements", vm.Announcements.String(), plainServer(&platform.Announcements{Receiver: own, Backend: vm.Backend.String()}), log),
		newListener("callers", vm.Callers.String(), callers, log),
		newListener("ready", vm.Ready.String(), plainServer(ready), log),
		newListener("metrics", s.Metrics, plainServer(http.HandlerFunc(metrics.Text)), log),
		d,
	}
	for _, svc := range services {
		if err := n.kernel.Register(svc); err != nil {
			return nil, err
		}
	}
	return n, nil
}

// retrySettings gives each node a part of the mesh's retry budget. The ratio is halved, since calls of a repeated run
// count as repeats too. The number of nodes is not known; the bursts of a dozen stay within the slack.
func retrySettings(b platform.Bounds) retry.Settings {
	return retry.Settings{Ratio: b.RetryRatio / 2, Burst: 4, Floor: 0.1, FloorBurst: 1, Moves: maxMoves, ByRequest: true}
}

// maxMoves is how often a call that no backend server has seen goes on to another node: all instances of a service of
// the usual size are asked before a caller is refused.
const maxMoves = 4

// readHeaderTimeout bounds a request's header on the listeners for the platform and operators.
const readHeaderTimeout = 3 * time.Second

func plainServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
}

// slots makes an admission gate usable by the egress; proxy and admission do not know each other.
type slots struct{ *admission.Gate }

func (g slots) Acquire(ctx context.Context, w proxy.Work) (func(served, shed bool, took time.Duration), *proxy.Refusal) {
	release, refusal := g.Gate.Acquire(ctx, admission.Work{Rank: w.Rank, Policy: w.Policy, Arrived: w.Arrived, Deadline: w.Deadline,
		Target: w.Target})
	if refusal != nil {
		return nil, &proxy.Refusal{Reason: refusal.Reason, RetryAfter: refusal.RetryAfter}
	}
	return release, nil
}

func (g slots) Load() proxy.Load { return proxy.Load(g.Gate.Load()) }
