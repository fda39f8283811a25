package relay

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	standin "github.com/monsoonlatch/monsoonlatch/internal/standin/platform"
	"github.com/monsoonlatch/monsoonlatch/pkg/clock"
	"github.com/monsoonlatch/monsoonlatch/pkg/config"
	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
	"github.com/monsoonlatch/monsoonlatch/pkg/platform"
	"github.com/monsoonlatch/monsoonlatch/pkg/rpcwire"
	"github.com/monsoonlatch/monsoonlatch/pkg/syncer"
)

// benchMesh runs the RPC servers, syncers and relays of many nodes in this process, connected over loopback, and the
// platform stand-in.
type benchMesh struct {
	b       *testing.B
	zones   int
	server  *standin.Server
	store   platform.Store
	nodes   []*benchNode
	version config.Version
}

// benchNode holds the RPC server and connections, the syncer and the relay of one node.
type benchNode struct {
	pool   *rpcwire.Pool
	server *rpcwire.Server
	sync   *syncer.Syncer
	relay  *Relay
	set    *metric.Set
}

// benchConfiguration has 61 services, as the design assumes, and routes of about 200 bytes each.
func benchConfiguration(routes, serial int) config.Configuration {
	c := config.Configuration{
		Services: map[string]config.Service{}, Policies: map[string]config.Policy{}, Routes: map[string]config.Route{},
	}
	for i := range 61 {
		name := fmt.Sprintf("service-%02d", i)
		c.Services[name] = config.Service{Name: name}
	}
	c.Policies["urgent"] = config.Policy{
		Name: "urgent", Target: config.Duration(time.Second), Deadline: config.Duration(3 * time.Second),
		GuaranteedShare: 0.5,
	}
	for i := range routes {
		name := fmt.Sprintf("county-capsule-registry-route-%05d", i)
		c.Routes[name] = config.Route{
			Name: name, PathPrefix: fmt.Sprintf("/registry/%05d/entries", i), Methods: []string{"GET", "POST"},
			Service: fmt.Sprintf("service-%02d", i%61), Policy: "urgent", Idempotent: i%7 == serial%7 && i < 7,
		}
	}
	return c
}

func newBenchMesh(b *testing.B, n, zones int) *benchMesh {
	f := &benchMesh{b: b, zones: zones, server: standin.NewServer()}
	web := httptest.NewServer(f.server)
	b.Cleanup(web.Close)
	client, err := platform.NewClient(platform.Settings{BaseURL: web.URL})
	if err != nil {
		b.Fatal(err)
	}
	f.store = client
	f.publish()
	var seeds []string
	for i := range n {
		c := f.add(i, seeds)
		if i < max(zones, 2) {
			seeds = append(seeds, c.server.Addr())
		}
	}
	b.Cleanup(f.stop)
	return f
}

func (f *benchMesh) add(i int, seeds []string) *benchNode {
	c := &benchNode{set: metric.NewSet()}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.b.Fatal(err)
	}
	c.server = rpcwire.NewServer(rpcwire.ServerSettings{
		Networks: []netip.Prefix{netip.MustParsePrefix("127.0.0.0/8")},
	}, zerolog.Nop(), c.set)
	c.pool = rpcwire.NewPool(rpcwire.PoolSettings{}, c.set)
	inst := membership.Instance{
		ID: membership.InstanceID(fmt.Sprintf("node-%04d", i)), Service: fmt.Sprintf("service-%02d", i%61),
		AvailabilityZone: fmt.Sprintf("zone-%d", i%f.zones), Region: "region", PeerAddress: ln.Addr().String(),
		ControlAddress: ln.Addr().String(), Slots: 20, State: membership.StateReady,
	}
	c.sync = syncer.New(
		syncer.Settings{Instance: inst, Seeds: seeds}, f.store, c.pool, clock.System{}, zerolog.Nop(), c.set)
	c.relay = New(Settings{}, c.sync, f.store, c.pool, clock.System{}, zerolog.Nop(), c.set)
	c.sync.Register(c.server)
	c.relay.Register(c.server)
	c.server.Serve(ln)
	_ = c.sync.Start(context.Background())
	_ = c.relay.Start(context.Background())
	f.nodes = append(f.nodes, c)
	return c
}

func (f *benchMesh) stop() {
	for _, c := range f.nodes {
		_ = c.relay.Stop(context.Background())
		_ = c.sync.Stop(context.Background())
		c.pool.Close()
		_ = c.server.Stop(context.Background())
	}
}

// publish writes the next version, which differs from the last one in about two routes.
func (f *benchMesh) publish() {
	f.version++
	m := &mesh{t: f.b, version: f.version}
	spec := m.headSpec(f.version, benchConfiguration(1000, int(f.version)))
	ctx := context.Background()
	o, err := f.store.Get(ctx, platform.KindConfiguration, platform.HeadName)
	if err != nil {
		_, err = f.store.Create(ctx, platform.Object{Kind: platform.KindConfiguration, Name: platform.HeadName, Spec: spec})
	} else {
		o.Spec = spec
		_, err = f.store.Update(ctx, o)
	}
	if err != nil {
		f.b.Fatal(err)
	}
}

// settle waits until each zone has its relays and each node knows all others.
func (f *benchMesh) settle() {
	for {
		relays, settled := 0, true
		for _, c := range f.nodes {
			if _, ok := c.relay.HeldSlot(); ok {
				relays++
			}
			settled = settled && c.sync.Ready() && c.sync.Table().Len() == len(f.nodes)
		}
		if settled && relays == RelaysPerZone*f.zones {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(10 * time.Second)
}

// usage is the resource consumption of all nodes since the start.
type usage struct {
	relayBytes, nodeBytes, platform float64
	cpu                             time.Duration
	at                              time.Time
}

func (f *benchMesh) usage() usage {
	u := usage{platform: float64(f.server.Counts().Total()), at: time.Now()}
	for _, c := range f.nodes {
		s := c.set.Snapshot()
		sum := float64(s["control.client.bytes_in"] + s["control.client.bytes_out"] +
			s["control.server.bytes_in"] + s["control.server.bytes_out"])
		if _, ok := c.relay.HeldSlot(); ok {
			u.relayBytes += sum
		} else {
			u.nodeBytes += sum
		}
	}
	var r syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	u.cpu = time.Duration(r.Utime.Nano() + r.Stime.Nano())
	return u
}

// report reports the consumption per node and second since before.
func (f *benchMesh) report(before usage, prefix string) {
	after := f.usage()
	s := after.at.Sub(before.at).Seconds()
	relays := float64(RelaysPerZone * f.zones)
	if nonRelays := float64(len(f.nodes)) - relays; nonRelays > 0 {
		f.b.ReportMetric((after.nodeBytes-before.nodeBytes)/s/nonRelays, prefix+"B/s/node")
	}
	f.b.ReportMetric((after.relayBytes-before.relayBytes)/s/relays, prefix+"B/s/relay")
	f.b.ReportMetric((after.cpu-before.cpu).Seconds()/s/float64(len(f.nodes))*100, prefix+"%core/node")
	f.b.ReportMetric((after.platform-before.platform)/s/relays, prefix+"platform-calls/s/relay")
}

// converge publishes a version and returns the time until every node serves it.
func (f *benchMesh) converge() time.Duration {
	begin := time.Now()
	f.publish()
	for _, c := range f.nodes {
		for c.sync.Current().Version < f.version {
			time.Sleep(time.Millisecond)
		}
	}
	return time.Since(begin)
}

const measureTime = 30 * time.Second

// BenchmarkMesh measures the cost of the distribution per node: when idle, at one configuration change a second, and at
// one membership change a second. The growth rates in docs/CAPACITY.md come from it. One zone of 131 nodes is a zone of
// the size that the design assumes, in which each relay serves 65 nodes.
func BenchmarkMesh(b *testing.B) {
	for _, c := range []struct{ n, zones int }{{8, 4}, {32, 4}, {128, 4}, {131, 1}} {
		n := c.n
		b.Run(fmt.Sprintf("nodes=%d,zones=%d", n, c.zones), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			f := newBenchMesh(b, n, c.zones)
			f.settle()
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n)/1024, "heapKB/node")
			b.ReportMetric(float64(after.StackInuse-before.StackInuse)/float64(n)/1024, "stackKB/node")
			u := f.usage()
			time.Sleep(measureTime)
			f.report(u, "idle-")
			u = f.usage()
			var times []time.Duration
			for range int(measureTime / time.Second) {
				d := f.converge()
				times = append(times, d)
				time.Sleep(max(0, time.Second-d))
			}
			f.report(u, "change-")
			slices.Sort(times)
			b.ReportMetric(float64(times[len(times)/2].Milliseconds()), "converge-p50-ms")
			b.ReportMetric(float64(times[len(times)-1].Milliseconds()), "converge-max-ms")
			u = f.usage()
			own := f.nodes[n-1].sync.Self()
			for i := range int(measureTime / time.Second) {
				own.Slots = 20 + i%2
				f.nodes[n-1].sync.UpdateSelf(own)
				time.Sleep(time.Second)
			}
			f.report(u, "member-")
		})
	}
}
