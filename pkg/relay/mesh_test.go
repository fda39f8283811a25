package relay

import (
	"bytes"
	"context"
	"encoding/gob"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/monsoonlatch/monsoonlatch/pkg/clock"
	"github.com/monsoonlatch/monsoonlatch/pkg/config"
	"github.com/monsoonlatch/monsoonlatch/pkg/fault"
	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
	"github.com/monsoonlatch/monsoonlatch/pkg/platform"
	"github.com/monsoonlatch/monsoonlatch/pkg/rpcwire"
	"github.com/monsoonlatch/monsoonlatch/pkg/syncer"
)

// configuration has n services called s0, s1, ... and one named after the serial number, which changes the hash.
func configuration(n, serial int) config.Configuration {
	c := config.Configuration{Services: map[string]config.Service{}}
	name := fmt.Sprint("serial", serial)
	c.Services[name] = config.Service{Name: name}
	for i := range n {
		name := fmt.Sprint("s", i)
		c.Services[name] = config.Service{Name: name}
	}
	return c
}

// mesh is a set of nodes with one platform, connected in memory. Its network can be cut between any two nodes.
type mesh struct {
	t     testing.TB
	store *memStore
	mu    sync.Mutex
	nodes map[string]*node
	// cut, if set, reports whether calls between two nodes get no reply, lost whether a call of the method gets none.
	cut  func(from, to *node) bool
	lost func(method string) bool
	// tamper, if set, changes a reply on its way.
	tamper  func(method string, reply any)
	calls   map[string]int
	version config.Version
	rng     *rand.Rand
}

// node is a node of a mesh. Its address is its name.
type node struct {
	mesh   *mesh
	zone   string
	addr   string
	server *rpcwire.Server
	sync   *syncer.Syncer
	relay  *Relay
	store  *platformLink
	set    *metric.Set
	up     bool
}

// platformLink is a node's own path to the platform.
type platformLink struct {
	platform.Store
	mu   sync.Mutex
	down bool
}

func newMesh(t testing.TB, seed uint64) *mesh {
	return &mesh{
		t: t, store: newMemStore(), nodes: make(map[string]*node), calls: make(map[string]int),
		rng: rand.New(rand.NewPCG(seed, 1)),
	}
}

// jitter returns a random duration below d.
func (m *mesh) jitter(d time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Duration(m.rng.Int64N(int64(max(d, 1))))
}

// publish writes the next version to the head.
func (m *mesh) publish(c config.Configuration) {
	m.version++
	m.writeHead(m.version, c)
}

// headSpec returns the head in the form in which the platform stores it.
func (m *mesh) headSpec(v config.Version, c config.Configuration) []byte {
	h, _ := c.Hash()
	spec, err := json.Marshal(config.Head{Version: v, Hash: h, Configuration: c})
	if err != nil {
		m.t.Fatal(err)
	}
	return spec
}

// writeHead replaces the head on the platform. A lower version than before simulates a restore from a backup.
func (m *mesh) writeHead(v config.Version, c config.Configuration) {
	spec := m.headSpec(v, c)
	o := platform.Object{Kind: platform.KindConfiguration, Name: platform.HeadName, Spec: spec}
	if _, err := m.store.write("test", o, func(platform.Object, bool) bool { return true }); err != nil {
		m.t.Fatal(err)
	}
}

// add creates a node. It replaces a node of the same name, as a restart does.
func (m *mesh) add(name, zone, service string, seeds ...string) *node {
	n := &node{mesh: m, zone: zone, addr: name, set: metric.NewSet(), store: &platformLink{Store: m.store}}
	n.server = rpcwire.NewServer(rpcwire.ServerSettings{
		Networks: []netip.Prefix{netip.MustParsePrefix("127.0.0.0/8")},
	}, zerolog.Nop(), n.set)
	i := membership.Instance{
		ID: membership.InstanceID(name), Service: service, AvailabilityZone: zone, ControlAddress: name,
		State: membership.StateReady,
	}
	n.sync = syncer.New(
		syncer.Settings{Instance: i, Seeds: seeds, Jitter: m.jitter}, n.store, n, clock.System{}, zerolog.Nop(), n.set)
	n.relay = New(Settings{Jitter: m.jitter}, n.sync, n.store, n, clock.System{}, zerolog.Nop(), n.set)
	n.sync.Register(n.server)
	n.relay.Register(n.server)
	m.mu.Lock()
	m.nodes[name] = n
	m.mu.Unlock()
	return n
}

func (n *node) start() *node {
	n.mesh.mu.Lock()
	n.up = true
	n.mesh.mu.Unlock()
	_ = n.sync.Start(context.Background())
	_ = n.relay.Start(context.Background())
	return n
}

// kill stops the node without a departure and without releasing its lease.
func (n *node) kill() {
	n.mesh.mu.Lock()
	n.up = false
	n.mesh.mu.Unlock()
	n.store.setDown(true) // prevents the release of the lease
	_ = n.relay.Stop(context.Background())
	_ = n.sync.Stop(context.Background())
	_ = n.server.Stop(context.Background())
}

func (m *mesh) stop() {
	for _, n := range m.nodes {
		if n.up {
			n.kill()
		}
	}
}

// Call implements rpcwire.Caller. Arguments and replies are copied through gob, as on the wire.
func (n *node) Call(ctx context.Context, addr, method string, args, reply any) error {
	m := n.mesh
	m.mu.Lock()
	to := m.nodes[addr]
	m.calls[method]++
	lost := m.lost != nil && m.lost(method)
	silent := lost || to != nil && m.cut != nil && (m.cut(n, to) || m.cut(to, n))
	up := to != nil && to.up
	m.mu.Unlock()
	if silent {
		<-ctx.Done()
		return fault.Wrap(fault.Unavailable, method, ctx.Err(), "")
	}
	if !up {
		return fault.New(fault.Unavailable, method, "connection refused", "")
	}
	in, out := newOfType(args), newOfType(reply)
	copyGob(args, in)
	if err := to.server.Dispatch(ctx, method, in, out); err != nil {
		return fault.Wrap(fault.KindOf(err), method, err, "")
	}
	m.mu.Lock()
	if m.tamper != nil {
		m.tamper(method, out)
	}
	m.mu.Unlock()
	copyGob(out, reply)
	return nil
}

// setCut sets the rule that says which nodes cannot reach each other; nil heals the network.
func (m *mesh) setCut(cut func(a, b *node) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cut = cut
}

func (m *mesh) callCount(method string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.calls[method]
}

// setLost sets the rule that says calls of which methods get no reply; nil ends the loss.
func (m *mesh) setLost(lost func(string) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lost = lost
}

// counterSum returns the sum of a counter over all nodes.
func (m *mesh) counterSum(name string) (sum int64) {
	for _, n := range m.nodes {
		sum += n.set.Snapshot()[name]
	}
	return sum
}

// copyGob copies a value by encoding it in gob.
func copyGob(from, to any) {
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(from); err != nil {
		panic(err)
	}
	if err := gob.NewDecoder(&b).Decode(to); err != nil {
		panic(err)
	}
}

func (l *platformLink) setDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

func (l *platformLink) unavailable() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return fault.New(fault.Unavailable, "platform", "cut off", "")
	}
	return nil
}

// viaLink makes a platform call, or fails if the node is cut off from the platform.
func viaLink[T any](l *platformLink, call func() (T, error)) (T, error) {
	if err := l.unavailable(); err != nil {
		var none T
		return none, err
	}
	return call()
}

func (l *platformLink) Get(ctx context.Context, k platform.ObjectKind, name string) (platform.Object, error) {
	return viaLink(l, func() (platform.Object, error) { return l.Store.Get(ctx, k, name) })
}

func (l *platformLink) List(ctx context.Context, k platform.ObjectKind) ([]platform.Object, error) {
	return viaLink(l, func() ([]platform.Object, error) { return l.Store.List(ctx, k) })
}

func (l *platformLink) Create(ctx context.Context, o platform.Object) (platform.Object, error) {
	return viaLink(l, func() (platform.Object, error) { return l.Store.Create(ctx, o) })
}

func (l *platformLink) Update(ctx context.Context, o platform.Object) (platform.Object, error) {
	return viaLink(l, func() (platform.Object, error) { return l.Store.Update(ctx, o) })
}

func (l *platformLink) Delete(ctx context.Context, k platform.ObjectKind, name, version string) error {
	_, err := viaLink(l, func() (bool, error) { return true, l.Store.Delete(ctx, k, name, version) })
	return err
}

func (l *platformLink) Watch(ctx context.Context, k platform.ObjectKind, name, version string,
	h func(platform.Object) error) error {
	checked := func(o platform.Object) error {
		if err := l.unavailable(); err != nil {
			return err
		}
		return h(o)
	}
	_, err := viaLink(l, func() (bool, error) { return true, l.Store.Watch(ctx, k, name, version, checked) })
	return err
}

// versions returns the lowest and the highest version that running nodes serve; a node without one counts as 0.
func (m *mesh) versions() (low, high config.Version) {
	low = ^config.Version(0)
	for _, n := range m.nodes {
		if !n.up {
			continue
		}
		v := config.Version(0)
		if c := n.sync.Current(); c != nil {
			v = c.Version
		}
		low, high = min(low, v), max(high, v)
	}
	return low, high
}

// relays returns the running relays of a zone.
func (m *mesh) relays(zone string) (out []*node) {
	for _, n := range m.nodes {
		if _, ok := n.relay.HeldSlot(); ok && n.zone == zone && n.up {
			out = append(out, n)
		}
	}
	return out
}
