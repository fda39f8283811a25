package directory

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/monsoonlatch/monsoonlatch/pkg/clock"
	"github.com/monsoonlatch/monsoonlatch/pkg/era"
	"github.com/monsoonlatch/monsoonlatch/pkg/fault"
	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
	"github.com/monsoonlatch/monsoonlatch/pkg/platform"
	"github.com/monsoonlatch/monsoonlatch/pkg/rollout"
)

// testRolloutSchema writes orders and statuses as JSON of the Go types.
type testRolloutSchema struct{}

func (testRolloutSchema) RolloutKind() platform.ObjectKind { return "test-rollouts" }

func (testRolloutSchema) Rollout(obj platform.Object) rollout.Object {
	out := rollout.Object{Name: obj.Name, Created: "1", Removed: obj.Deleting}
	out.At.Era = obj.Era
	out.At.Revision, _ = strconv.ParseUint(obj.Version, 10, 64)
	if out.Err = json.Unmarshal(obj.Spec, &out.Order); out.Err == nil {
		out.Err = out.Order.Validate(obj.Name)
	}
	var s rollout.Status
	if json.Unmarshal(obj.Status, &s) == nil && s.Order != "" {
		out.Status = &s
	}
	return out
}

func (testRolloutSchema) RolloutStatus(s rollout.Status) ([]byte, error) { return json.Marshal(s) }

// rolloutStore adds revisions and statuses to a memoryStore, for one object.
type rolloutStore struct {
	*nodeStore
	shared *rolloutObject
}

type rolloutObject struct {
	mu     sync.Mutex
	object platform.Object
}

func (s *rolloutStore) Get(ctx context.Context, kind platform.ObjectKind, name string) (platform.Object, error) {
	if kind != (testRolloutSchema{}).RolloutKind() {
		return s.memoryStore.Get(ctx, kind, name)
	}
	s.shared.mu.Lock()
	defer s.shared.mu.Unlock()
	if s.shared.object.Name != name {
		return platform.Object{}, fault.New(fault.NotFound, "get", name, "")
	}
	return s.shared.object, nil
}

func (s *rolloutStore) List(ctx context.Context, kind platform.ObjectKind, allowStale bool) (Listing, error) {
	l, err := s.memoryStore.List(ctx, kind, allowStale)
	for i := range l.Objects {
		l.Objects[i] = s.current(l.Objects[i])
	}
	return l, err
}

func (s *rolloutStore) Watch(ctx context.Context, kind platform.ObjectKind, after era.Position, wait time.Duration) (Changes, error) {
	c, err := s.nodeStore.Watch(ctx, kind, after, wait)
	for i := range c.Changes {
		c.Changes[i].Object = s.current(c.Changes[i].Object)
	}
	return c, err
}

// current returns an order as it is now.
func (s *rolloutStore) current(o platform.Object) platform.Object {
	if o.Kind != (testRolloutSchema{}).RolloutKind() {
		return o
	}
	s.shared.mu.Lock()
	defer s.shared.mu.Unlock()
	return s.shared.object
}

// lose removes the object, as a restore does.
func (o *rolloutObject) lose() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.object = platform.Object{}
}

// order writes an order on behalf of an operator.
func (s *rolloutStore) order(spec string) {
	s.shared.mu.Lock()
	defer s.shared.mu.Unlock()
	s.put(platform.Object{Kind: testRolloutSchema{}.RolloutKind(), Name: "desk", Spec: []byte(spec), Status: s.shared.object.Status})
}

func (s *rolloutStore) put(o platform.Object) {
	s.memoryStore.set(o.Kind, o.Name, string(o.Spec))
	s.memoryStore.update(func(m *memoryStore) { o.Version, o.Era = strconv.FormatUint(m.revision, 10), m.era })
	s.shared.object = o
}

func (s *rolloutStore) PutStatus(_ context.Context, _ platform.ObjectKind, _ string, at era.Position, status []byte) (platform.Object, error) {
	s.nodeStore.mu.Lock()
	down := s.nodeStore.down
	s.nodeStore.mu.Unlock()
	if down {
		return platform.Object{}, errStoreDown
	}
	s.shared.mu.Lock()
	defer s.shared.mu.Unlock()
	o := s.shared.object
	if o.Era != at.Era || o.Version != strconv.FormatUint(at.Revision, 10) {
		return o, fault.New(fault.Conflict, "status", "changed", "")
	}
	o.Status = status
	s.put(o)
	return s.shared.object, nil
}

// rolloutNode is a node of a mesh in which roll-outs are in force.
type rolloutNode struct {
	*Rollouts
	store  *rolloutStore
	record membership.Instance
	tasks  []func(context.Context)
}

func (n *rolloutNode) start(ctx context.Context, wg *sync.WaitGroup) {
	for _, task := range n.tasks {
		wg.Go(func() { task(ctx) })
	}
}

// Call passes reports and the messages of fakeCaller.
type rolloutCaller struct {
	*fakeCaller
	mu    sync.Mutex
	nodes map[string]*rolloutNode
	cut   map[string]bool
}

func (c *rolloutCaller) Call(ctx context.Context, addr, method string, args, reply any) error {
	c.mu.Lock()
	n, cut := c.nodes[addr], c.cut[addr]
	c.mu.Unlock()
	if cut || n == nil {
		return fault.New(fault.Unavailable, "call", "cut off", "")
	}
	if method == methodReport {
		report := args.(rollout.Report)
		return n.handleReport(&report, reply.(*rollout.Reply))
	}
	return c.fakeCaller.Call(ctx, addr, method, args, reply)
}

// startRolloutMesh starts old instances of the service desk and new ones, each with its node, but leaves the start of the last
// nodes, late of them, to the test.
func startRolloutMesh(t *testing.T, ctx context.Context, wg *sync.WaitGroup, m *memoryStore, old, young, late int) (*rolloutCaller, []*rolloutNode) {
	t.Helper()
	c := &rolloutCaller{fakeCaller: &fakeCaller{peers: make(map[string]*Peers)}, nodes: make(map[string]*rolloutNode), cut: make(map[string]bool)}
	shared := &rolloutObject{}
	var nodes []*rolloutNode
	for i := range old + young {
		addr := fmt.Sprintf("10.0.0.%d:81", i+1)
		in := instance(fmt.Sprintf("%c%02d", 'a'+i%4, i), 1, 1, membership.StateReady)
		in.ControlAddress, in.Version, in.BackendStarted = addr, "v1", 1
		if i >= old {
			in.Version = "v2"
		} else {
			in.Link = 100 // The watchers are among the old instances.
		}
		putRecord(t, m, in)
		store := &rolloutStore{&nodeStore{memoryStore: m}, shared}
		p := newPeer(c.fakeCaller, string(in.ID), addr, 0)
		p.Caller = c
		table := rollout.NewTable(true)
		local := rollout.NewLocal(&rollout.Local{Table: table, Service: "desk", GrantTime: GrantTime(5 * time.Second), Version: func() (string, int64) { return in.Version, in.BackendStarted }})
		r := NewRollouts(&Rollouts{Table: table, Local: local, Settings: rollout.Settings{ExposeShare: 0.1, ExposeSlack: 50, RollbackTime: 5 * time.Second}, Peers: p,
			Store: store, Schema: testRolloutSchema{}, Clock: clock.System{}, Log: zerolog.Nop(), Metrics: metric.NewSet()})
		f := &Follower{State: p.State, Store: store, Schema: versionSchema{}, Eras: p.Eras, Self: in.ID, Clock: clock.System{}, Log: zerolog.Nop(), Metrics: p.Metrics,
			CanSkipWatch: p.CanSkipWatch, OnChange: p.Forward, OnStoreLost: func() { p.Forward(nil) }, OnRollouts: r.ObserveChanges, RolloutKind: testRolloutSchema{}.RolloutKind()}
		f.SetApplyBound(2 * time.Second)
		p.StoreSilence, p.AvailabilityZone = f.StoreSilence, in.AvailabilityZone
		p.State.Merge(in)
		n := &rolloutNode{r, store, in, []func(context.Context){f.Run, p.Run, p.RunForward, r.RunDecider, r.RunWrites, r.RunForward, r.RunReporter, r.RunReads, r.RunForget}}
		c.nodes[addr] = n
		nodes = append(nodes, n)
	}
	// The maps of the callers are not changed any more.
	for _, n := range nodes[:len(nodes)-late] {
		n.start(ctx, wg)
	}
	return c, nodes
}

// serve plays requests to the nodes' instances for a duration; of those at the new version, one in failEvery fails.
func serve(nodes []*rolloutNode, d time.Duration, failEvery int) (total, exposed int) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for range 4 {
			total++
			ingress := nodes[total%len(nodes)]
			prefer, fallback := ingress.Table.Choose("desk", false)
			for _, allow := range []rollout.Filter{prefer, fallback} {
				if allow == nil && ingress.Table.Get("desk").Order != "" {
					continue
				}
				if n := firstFree(nodes, total, allow); n != nil {
					permit := n.Local.Enter(time.Now())
					if permit == nil {
						continue
					}
					permit.Sent()
					failed := false
					if n.record.Version == "v2" {
						exposed++
						failed = failEvery > 0 && exposed%failEvery == 0
					}
					permit.Ran(rollout.Sample{Route: "r", InUse: 1, Limit: 10, Failed: failed, Took: 30 * time.Millisecond})
					permit.Leave()
					break
				}
			}
		}
	}
	return total, exposed
}

func firstFree(nodes []*rolloutNode, from int, allow rollout.Filter) *rolloutNode {
	for i := range nodes {
		if n := nodes[(from*7+i)%len(nodes)]; allow == nil || allow(&n.record) {
			return n
		}
	}
	return nil
}

const testOrder = `{"Service":"desk","Target":"v2","Duration":16000000000}`

// Guards against an order that does not reach all nodes, or whose end they do not follow, when it passes through the watchers only;
// with the store down for the first watcher, and for all of them after the order was taken up.
func TestOrderReachesAllNodes(t *testing.T) {
	for _, c := range []struct {
		name      string
		failEvery int
		want      rollout.Phase
		fault     func(nodes []*rolloutNode, watchers []membership.Instance, store map[membership.InstanceID]*rolloutNode)
	}{
		{"good", 0, rollout.PhaseCompleted, nil},
		{"bad", 3, rollout.PhaseRolledBack, nil},
		{"good, the store fails for the first watcher", 0, rollout.PhaseCompleted, func(_ []*rolloutNode, w []membership.Instance, by map[membership.InstanceID]*rolloutNode) {
			by[w[0].ID].store.nodeStore.set(true, false)
		}},
		{"bad, the store fails for the first watcher", 3, rollout.PhaseRolledBack, func(_ []*rolloutNode, w []membership.Instance, by map[membership.InstanceID]*rolloutNode) {
			by[w[0].ID].store.nodeStore.set(true, false)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := newMemoryStore()
				m.set(testConfigurationKind, "main", "3")
				ctx, cancel := context.WithCancel(context.Background())
				var wg sync.WaitGroup
				defer func() { cancel(); wg.Wait() }()
				_, nodes := startRolloutMesh(t, ctx, &wg, m, 8, 4, 0)
				time.Sleep(5 * time.Second)
				by := make(map[membership.InstanceID]*rolloutNode)
				for _, n := range nodes {
					by[n.record.ID] = n
					if !n.Table.Known() || !n.Table.Empty() {
						t.Errorf("node %s: known %v, empty %v before the order", n.record.ID, n.Table.Known(), n.Table.Empty())
					}
				}
				if c.fault != nil {
					c.fault(nodes, nodes[0].Peers.State.topology().watchers(), by)
				}
				nodes[0].store.order(testOrder)
				time.Sleep(100 * time.Millisecond)
				for _, n := range nodes {
					if n.Table.Empty() && c.fault == nil {
						t.Errorf("node %s does not know the order after 0.1 s", n.record.ID)
					}
				}
				total, exposed := serve(nodes, 18*time.Second, c.failEvery)
				for _, n := range nodes {
					if p := n.Table.Get("desk"); p.Phase != c.want {
						t.Errorf("node %s is in phase %v, want %v", n.record.ID, p.Phase, c.want)
					}
				}
				if limit := 0.1*float64(total) + 50; c.failEvery > 0 && float64(exposed) > limit {
					t.Errorf("the bad version got %d of %d requests", exposed, total)
				}
			})
		})
	}
}

// Guards against calls of the store for orders beyond one listing at each node and the watches of the watchers.
func TestOrdersCostFewStoreCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemoryStore()
		m.set(testConfigurationKind, "main", "3")
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		defer func() { cancel(); wg.Wait() }()
		_, nodes := startRolloutMesh(t, ctx, &wg, m, 20, 0, 0)
		time.Sleep(10 * time.Second)
		calls := 0
		m.update(func(m *memoryStore) { calls, m.calls = m.calls, 0 })
		time.Sleep(time.Minute)
		// Each of the watchers watches the configuration each 0.75 to 1 s, the instances each 1.5 to 2 s, and the orders each 7.5 to 10 s.
		limit := watcherCount * int(time.Minute/(750*time.Millisecond)+time.Minute/(1500*time.Millisecond)+time.Minute/(7500*time.Millisecond)+3)
		if m.update(func(m *memoryStore) {}); m.calls > limit {
			t.Errorf("%d calls in a minute without orders, want at most %d (%d at the start)", m.calls, limit, calls)
		}
		for _, n := range nodes {
			if s := n.Metrics.Snapshot(); s[countReports] != 0 || s[countWrites] != 0 || s[countReportsTaken] != 0 {
				t.Errorf("node %s reports without an order: %v", n.record.ID, s)
			}
		}
	})
}

// Guards against an order that a listing from before it withdraws, while another node has already told of it.
func TestOldListingWithdrawsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var wg sync.WaitGroup
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, nodes := startRolloutMesh(t, ctx, &wg, newMemoryStore(), 1, 0, 0)
		wg.Wait()
		r := nodes[0]
		r.receive([]rollout.Plan{{Service: "desk", Order: "a", Target: "v2", Revision: 9, Phase: rollout.PhaseTrial}})
		r.ObserveChanges(nil, era.Position{Revision: 8}, true)
		if p := r.Table.Get("desk"); p.Withdrawn {
			t.Error("a listing at revision 8 has withdrawn an order of revision 9")
		}
		r.ObserveChanges(nil, era.Position{Revision: 10}, true)
		if p := r.Table.Get("desk"); !p.Withdrawn {
			t.Error("a listing at revision 10 has not withdrawn an order of revision 9 that is gone")
		}
	})
}

// Guards against a new version that gets requests as if nobody had ordered it, while the watches of all watchers hang: its node
// reads the order itself, and its reports make the watchers read it.
func TestNewVersionReadsItsOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemoryStore()
		m.set(testConfigurationKind, "main", "3")
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		defer func() { cancel(); wg.Wait() }()
		_, nodes := startRolloutMesh(t, ctx, &wg, m, 8, 2, 0)
		time.Sleep(3 * time.Second)
		for _, n := range nodes {
			n.store.nodeStore.set(false, true)
		}
		nodes[0].store.order(testOrder)
		young := nodes[9]
		young.ObserveOwn(young.record)
		if young.Local.Enter(time.Now()) != nil {
			t.Error("the instance gets a request before its node has read the order")
		}
		time.Sleep(50 * time.Millisecond)
		if p := young.Table.Get("desk"); p.Order == "" {
			t.Error("the node has not read the order")
		}
		// A decider may have granted some requests by now, as the node's report has made the watchers read the order.
		if p := young.Table.Get("desk"); p.Admits("v2", 1) == rollout.AdmitAll {
			t.Error("the instance gets requests without grants")
		}
		time.Sleep(3 * time.Second)
		for _, n := range nodes {
			if n.Table.Get("desk").Phase != rollout.PhaseTrial {
				t.Errorf("node %s is in phase %v", n.record.ID, n.Table.Get("desk").Phase)
			}
		}
	})
}

// Guards against a version that comes back at a node that starts while the store is silent: it learns the plan from another node, and
// takes nothing before.
func TestRestartedNodeLearnsThePlanFromOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemoryStore()
		m.set(testConfigurationKind, "main", "3")
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		defer func() { cancel(); wg.Wait() }()
		_, nodes := startRolloutMesh(t, ctx, &wg, m, 8, 2, 1)
		time.Sleep(3 * time.Second)
		for _, n := range nodes[:9] {
			n.receive([]rollout.Plan{{Service: "desk", Order: "a", Target: "v2", Revision: 9, Phase: rollout.PhaseRolledBack}})
		}
		restarted := nodes[9]
		table := restarted.Table
		for _, n := range nodes {
			if n == restarted {
				continue
			}
			restarted.Peers.State.Merge(n.record)
		}
		m.update(func(m *memoryStore) { m.down = true })
		restarted.start(ctx, &wg)
		if restarted.Local.Enter(time.Now()) != nil {
			t.Error("the instance gets a request before its node knows the orders")
		}
		time.Sleep(2 * pullPeriod)
		if !table.Known() || table.Get("desk").Phase != rollout.PhaseRolledBack {
			t.Errorf("known %v, plan %+v", table.Known(), table.Get("desk"))
		}
		if restarted.Local.Enter(time.Now()) != nil {
			t.Error("the version that was rolled back gets a request")
		}
	})
}

// Guards against a version that is lost on its way through the store, and against records of earlier builds, which have none.
func TestVersionInRecords(t *testing.T) {
	in := instance("a", 1, 1, membership.StateReady)
	in.Version = "v2"
	spec, err := encodeRecord(in, 0)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := decodeRecord(platform.Object{Name: "a", Spec: spec}); err != nil || got != in {
		t.Errorf("got %+v, error %v", got, err)
	}
	in.Version = ""
	if spec, err = encodeRecord(in, 0); err != nil {
		t.Fatal(err)
	}
	var fields map[string]any
	if err := json.Unmarshal(spec, &fields); err != nil {
		t.Fatal(err)
	}
	if _, ok := fields["version"]; ok {
		t.Error("a record without a version has the field")
	}
	if got, err := decodeRecord(platform.Object{Name: "a", Spec: spec}); err != nil || got != in {
		t.Errorf("got %+v, error %v", got, err)
	}
}

// Guards against an order that stays in effect for good although the store has lost it and nobody writes it again, and against one that
// is withdrawn before the operator can do so.
func TestOrderThatTheStoreHasLost(t *testing.T) {
	for _, again := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			m := newMemoryStore()
			m.update(func(m *memoryStore) { m.era = 1 })
			m.set(testConfigurationKind, "main", "3")
			ctx, cancel := context.WithCancel(context.Background())
			var wg sync.WaitGroup
			defer func() { cancel(); wg.Wait() }()
			_, nodes := startRolloutMesh(t, ctx, &wg, m, 8, 2, 0)
			for _, n := range nodes {
				n.Peers.Eras.Observe(1)
			}
			time.Sleep(5 * time.Second)
			before := m.copy()
			const order = `{"Service":"desk","Target":"v2","Duration":600000000000}`
			nodes[0].store.order(order)
			time.Sleep(5 * time.Second)
			nodes[0].store.shared.lose()
			m.restore(before)
			for _, n := range nodes {
				n.Peers.Eras.Observe(2)
			}
			check := func(withdrawn bool, phase rollout.Phase, when string) {
				t.Helper()
				for _, n := range nodes {
					if p := n.Table.Get("desk"); p.Withdrawn != withdrawn || p.Phase != phase {
						t.Errorf("written again %v, %s, node %s: withdrawn %v in phase %v, want %v in %v", again, when, n.record.ID, p.Withdrawn, p.Phase, withdrawn, phase)
					}
				}
			}
			time.Sleep(writeAgainTime / 2)
			check(false, rollout.PhaseTrial, "before the time is over")
			if again {
				nodes[0].store.order(order)
			}
			time.Sleep(writeAgainTime)
			check(!again, rollout.PhaseTrial, "after it")
		})
	}
}
