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
	"github.com/monsoonlatch/monsoonlatch/pkg/kernel"
	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
	"github.com/monsoonlatch/monsoonlatch/pkg/network"
	"github.com/monsoonlatch/monsoonlatch/pkg/proxy"
	"github.com/monsoonlatch/monsoonlatch/pkg/rpcwire"
)

// Names under which the parts of the node find each other. Services of packages have the name that they give
// themselves.
const (
	nameClock       = "clock"
	nameMetrics     = "metrics"
	nameDial        = "dial"
	namePeers       = "peer-networks"
	namePlatform    = "platform"
	nameCaller      = "caller"
	nameControl     = "control"
	nameSyncer      = "syncer"
	nameRelay       = "relay"
	nameIdempotency = "idempotency"
	nameGate        = "gate"
	nameAnnounce    = "announce"
	nameCalls       = "calls"
	nameEgress      = "egress"
	nameIngress     = "ingress"
)

// dialFunc opens a connection to another node.
type dialFunc func(ctx context.Context, addr string) (net.Conn, error)

// builder puts the node together. Each part finds the parts that it needs by name.
type builder struct {
	*kernel.Builder
	settings *Settings
	log      zerolog.Logger
}

// builders run in this order. Services start in the same order and stop in the reverse one: the drainer first, the
// control server last.
var builders = []func(*builder){
	buildBasics, buildPlatform, buildControl, buildSyncer, buildRelay, buildIdempotency,
	buildAnnounce, buildEgress, buildIngress, buildAdmin, buildDrainer,
}

// newNode builds all parts. It reports the first error.
func newNode(s *Settings, log zerolog.Logger) (*kernel.Kernel, error) {
	b := &builder{Builder: kernel.NewBuilder(), settings: s, log: log}
	for _, build := range builders {
		if build(b); b.Err != nil {
			return nil, b.Err
		}
	}
	return b.Kernel, nil
}

// find returns a part by name, or the zero value after an error.
func find[T any](b *builder, name string) T { return kernel.Component[T](b.Builder, name) }

// networks parses a list that the check of the settings has accepted.
func (b *builder) networks(blocks []string) network.Set {
	set, err := network.Parse(blocks)
	b.RecordError(err)
	return set
}

func buildBasics(b *builder) {
	metrics := metric.NewSet()
	metric.WatchProcess(metrics)
	b.Provide(nameClock, clock.System{})
	b.Provide(nameMetrics, metrics)
	b.Provide(namePeers, b.networks(b.settings.PeerNetworks))
	b.Provide(nameDial, dialFrom(netip.MustParseAddrPort(b.settings.Peers).Addr()))
}

// dialFrom opens connections from the VM's own address, so that peers can recognise the source on a VM with several.
func dialFrom(source netip.Addr) dialFunc {
	d := &net.Dialer{}
	if !source.IsUnspecified() {
		d.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(source, 0))
	}
	return func(ctx context.Context, addr string) (net.Conn, error) { return d.DialContext(ctx, "tcp", addr) }
}

// runNode starts the services, waits for a signal, and stops them within the grace period.
func runNode(k *kernel.Kernel, s *Settings, log zerolog.Logger) error {
	proxy.DefaultTuning.Apply()
	ctx, cancel := untilStopped()
	defer cancel()
	event.NodeStarted.Write(event.NodeStarted.Log(&log).Str("service", s.Service).Str("zone", s.AvailabilityZone))
	err := errors.Join(k.Run(ctx, s.StopGrace), closeCaller(k))
	if err != nil {
		return err
	}
	event.NodeStopped.Write(event.NodeStopped.Log(&log))
	return nil
}

// closeCaller closes the connections to other nodes, which all services use until the last one has stopped.
func closeCaller(k *kernel.Kernel) error {
	caller, err := kernel.Find[*rpcwire.Pool](k, nameCaller)
	if err == nil {
		caller.Close()
	}
	return err
}

// background is a duty that runs beside a listener until the listener stops.
type background func(ctx context.Context)

// every calls f once in each period until ctx ends.
func every(period time.Duration, f func()) background {
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
