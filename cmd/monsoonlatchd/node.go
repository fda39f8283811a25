package main

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"time"

	"github.com/rs/zerolog"

	"github.com/monsoonlatch/monsoonlatch/pkg/clock"
	"github.com/monsoonlatch/monsoonlatch/pkg/event"
	"github.com/monsoonlatch/monsoonlatch/pkg/intake"
	"github.com/monsoonlatch/monsoonlatch/pkg/kernel"
	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
	"github.com/monsoonlatch/monsoonlatch/pkg/network"
	"github.com/monsoonlatch/monsoonlatch/pkg/proxy"
	"github.com/monsoonlatch/monsoonlatch/pkg/rpcwire"
	"github.com/monsoonlatch/monsoonlatch/pkg/syncer"
)

// Names by which the components of the node find each other. The name of a kernel service is the one that its Name
// method returns.
const (
	nameClock        = "clock"
	nameMetrics      = "metrics"
	nameDial         = "dial"
	namePeerNetworks = "peer-networks"
	namePlatform     = "platform"
	nameRPCPool      = "caller"
	nameControl      = "control"
	nameSyncer       = "syncer"
	nameRelay        = "relay"
	nameIdempotency  = "idempotency"
	nameGate         = "gate"
	nameAnnounce     = "announce"
	nameCalls        = "calls"
	nameEgress       = "egress"
	nameIngress      = "ingress"
	nameIntake       = "intake"
)

// dialFunc opens a connection to another node.
type dialFunc func(ctx context.Context, addr string) (net.Conn, error)

// builder assembles the node. Each component finds the components that it needs by name.
type builder struct {
	*kernel.Builder
	settings *Settings
	log      zerolog.Logger
}

// builders lists the build functions in the order in which they run. Services start in this order and stop in reverse:
// the drainer first, the control server last.
var builders = []func(*builder){
	buildCommon, buildIntake, buildPlatform, buildControl, buildSyncer, buildRelay, buildIdempotency,
	buildAnnounce, buildEgress, buildIngress, buildAdmin, buildDrainer,
}

// newNode builds all components. It returns the first error.
func newNode(s *Settings, log zerolog.Logger) (*kernel.Kernel, error) {
	b := &builder{Builder: kernel.NewBuilder(), settings: s, log: log}
	for _, build := range builders {
		if build(b); b.Err != nil {
			return nil, b.Err
		}
	}
	return b.Kernel, nil
}

// find returns a component by name, or the zero value after an error.
func find[T any](b *builder, name string) T { return kernel.Component[T](b.Builder, name) }

// networks parses a list of networks that Settings.check has accepted.
func (b *builder) networks(blocks []string) network.Set {
	set, err := network.Parse(blocks)
	b.RecordError(err)
	return set
}

// buildCommon provides the components that need no others.
func buildCommon(b *builder) {
	metrics := metric.NewSet()
	metric.WatchProcess(metrics)
	b.Provide(nameClock, clock.System{})
	b.Provide(nameMetrics, metrics)
	b.Provide(namePeerNetworks, b.networks(b.settings.PeerNetworks))
	b.Provide(nameDial, newDialFunc(netip.MustParseAddrPort(b.settings.Peers).Addr()))
}

// buildIntake creates the budget for requests that have not been admitted, which all listeners share. The syncer, which
// has the limits of the configuration, is built later.
func buildIntake(b *builder) {
	b.Register(intake.New(intake.Settings{Metrics: find[*metric.Set](b, nameMetrics), Log: b.log, Limits: func() intake.Limits {
		nodeSyncer, err := kernel.Find[*syncer.Syncer](b.Kernel, nameSyncer)
		if err != nil {
			return intake.Limits{}
		}
		return intake.LimitsOf(nodeSyncer.Current())
	}}))
}

// newDialFunc returns a function that opens connections from the given address of the VM, so that other nodes can
// recognise the source if the VM has several addresses.
func newDialFunc(source netip.Addr) dialFunc {
	dialer := &net.Dialer{}
	if !source.IsUnspecified() {
		dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(source, 0))
	}
	return func(ctx context.Context, addr string) (net.Conn, error) { return dialer.DialContext(ctx, "tcp", addr) }
}

// runNode starts the services, waits for SIGTERM or SIGINT, and stops the services within the grace period.
func runNode(k *kernel.Kernel, s *Settings, log zerolog.Logger) error {
	proxy.DefaultTuning.Apply()
	ctx, cancel := signalContext()
	defer cancel()
	event.NodeStarted.Write(event.NodeStarted.Log(&log).Str("service", s.Service).Str("zone", s.AvailabilityZone))
	err := errors.Join(k.Run(ctx, s.StopGrace), closeRPCPool(k))
	if err != nil {
		return err
	}
	event.NodeStopped.Write(event.NodeStopped.Log(&log))
	return nil
}

// closeRPCPool closes the connections to other nodes. It is called last, since services use the connections until they
// have stopped.
func closeRPCPool(k *kernel.Kernel) error {
	pool, err := kernel.Find[*rpcwire.Pool](k, nameRPCPool)
	if err == nil {
		pool.Close()
	}
	return err
}

// backgroundTask is a task that runs in the background of a listener until the listener stops.
type backgroundTask func(ctx context.Context)

// runPeriodically calls f once in each period until ctx ends.
func runPeriodically(period time.Duration, f func()) backgroundTask {
	return func(ctx context.Context) {
		tick := time.NewTicker(period)
		defer tick.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
				f()
			}
		}
	}
}
