package quota

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/monsoonlatch/monsoonlatch/pkg/clock"
	"github.com/monsoonlatch/monsoonlatch/pkg/fault"
	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
)

// testTerms are the bounds that the users' pages state.
var testTerms = Terms{Window: 5 * time.Second, Overshoot: 0.1, Slack: 20}

// mesh simulates nodes in zones. It runs in a synctest bubble, so that its time is virtual. Calls between nodes can be
// lost, late, doubled or cut off.
type mesh struct {
	// enabled is that of the settings of nodes that start; nil means always.
	enabled func() bool
	nodes   []*meshNode
	byIP    map[string]*meshNode

	mu  sync.Mutex
	rng *rand.Rand
	// loss, late and doubled are probabilities for each call.
	loss, late, doubled float64
	cutZone             map[string]bool
	cutNode             map[*meshNode]bool
	calls, crossZone    int
	stopped             bool
	// admitted and asked are the times of admitted and of all requests by tenant.
	admitted, asked map[string][]time.Time
}

type meshNode struct {
	mesh    *mesh
	record  membership.Instance
	service *Service
	cancel  context.CancelFunc
	// stalled is set while the VM does not answer, though its process has not ended.
	stalled bool
}

// meshView is the directory of one node.
type meshView struct {
	mu      sync.Mutex
	records map[membership.InstanceID]membership.Instance
	changed chan struct{}
}

func (v *meshView) All() (out []membership.Instance) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, in := range v.records {
		out = append(out, in)
	}
	return out
}

func (v *meshView) Subscribe() <-chan struct{} { return v.changed }

func (v *meshView) set(in membership.Instance) {
	v.mu.Lock()
	if v.records[in.ID].Sequence <= in.Sequence {
		v.records[in.ID] = in
	}
	v.mu.Unlock()
	select {
	case v.changed <- struct{}{}:
	default:
	}
}

// newMesh starts the given number of nodes in each zone. All know each other.
func newMesh(seed uint64, zones, perZone int) *mesh {
	m := &mesh{rng: rand.New(rand.NewPCG(seed, 1)), byIP: make(map[string]*meshNode), cutZone: make(map[string]bool),
		cutNode: make(map[*meshNode]bool), admitted: make(map[string][]time.Time), asked: make(map[string][]time.Time)}
	for i := range zones * perZone {
		id := fmt.Sprintf("node-%d", i)
		n := &meshNode{mesh: m, record: membership.Instance{ID: membership.InstanceID(id), AvailabilityZone: fmt.Sprintf("zone-%d", i%zones),
			ControlAddress: id + ":1", State: membership.StateReady}}
		m.nodes = append(m.nodes, n)
		m.byIP[n.record.ControlAddress] = n
	}
	for _, n := range m.nodes {
		n.start()
	}
	return m
}

// start starts the node's process. The directory is complete at once, like that of a node that has read the store.
func (n *meshNode) start() {
	view := &meshView{records: make(map[membership.InstanceID]membership.Instance), changed: make(chan struct{}, 1)}
	n.mesh.mu.Lock()
	for _, o := range n.mesh.nodes {
		view.records[o.record.ID] = o.record
	}
	n.mesh.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	s := New(Settings{Self: n.record.ID, AvailabilityZone: n.record.AvailabilityZone, View: view, Caller: n, Terms: testTerms, Clock: clock.System{},
		Metrics: metric.NewSet(), Log: zerolog.Nop(), Random: n.mesh.random, Enabled: n.mesh.enabled}, nil)
	n.mesh.mu.Lock()
	n.service, n.cancel = s, cancel
	n.mesh.mu.Unlock()
	go s.Run(ctx)
	go s.RunTransfers(ctx)
}

// kill ends the node's process.
func (n *meshNode) kill() {
	n.mesh.mu.Lock()
	defer n.mesh.mu.Unlock()
	if n.service != nil {
		n.cancel()
		n.service = nil
	}
}

// running returns the node's service, or nil if the process has ended.
func (n *meshNode) running() *Service {
	n.mesh.mu.Lock()
	defer n.mesh.mu.Unlock()
	return n.service
}

// announce changes the node's record. The other nodes learn of it within a second.
func (n *meshNode) announce(state membership.State) {
	n.mesh.mu.Lock()
	n.record.State = state
	n.record.Sequence++
	record := n.record
	n.mesh.mu.Unlock()
	for _, o := range n.mesh.nodes {
		delay := time.Duration(n.mesh.random() * float64(time.Second))
		if o == n {
			delay = 0
		}
		time.AfterFunc(delay, func() {
			if s := o.running(); s != nil {
				s.View.(*meshView).set(record)
			}
		})
	}
}

func (m *mesh) random() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.rng.Float64()
}

// route decides about a call: its delay each way, and what happens to it.
func (m *mesh) route(from, to *meshNode) (delay time.Duration, cut, lost, doubled bool, target *Service) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls++
	delay = 100 * time.Microsecond
	if from.record.AvailabilityZone != to.record.AvailabilityZone {
		m.crossZone++
		delay = 500 * time.Microsecond
		cut = m.cutZone[from.record.AvailabilityZone] || m.cutZone[to.record.AvailabilityZone]
	}
	cut = cut || from != to && (m.cutNode[from] || m.cutNode[to] || to.stalled)
	if m.rng.Float64() < m.late {
		delay += time.Duration(m.rng.Float64() * float64(250*time.Millisecond))
	}
	return delay, cut, m.rng.Float64() < m.loss, m.rng.Float64() < m.doubled, to.service
}

// Call implements rpcwire.Caller.
func (n *meshNode) Call(ctx context.Context, addr, method string, args, reply any) error {
	to := n.mesh.byIP[addr]
	delay, cut, lost, doubled, target := n.mesh.route(n, to)
	lostReply := lost && n.mesh.random() < 0.5
	if cut || lost && !lostReply {
		<-ctx.Done()
		return fault.Wrap(fault.Unavailable, method, ctx.Err(), "")
	}
	time.Sleep(delay)
	if target == nil {
		return fault.Wrap(fault.Unavailable, method, syscall.ECONNREFUSED, "")
	}
	if doubled {
		go func() {
			time.Sleep(delay)
			dispatch(target, method, args, nil)
		}()
	}
	dispatch(target, method, args, reply)
	if n.mesh.running(to) != target {
		return fault.Wrap(fault.Unavailable, method, io.ErrUnexpectedEOF, "")
	}
	time.Sleep(delay)
	if ctx.Err() != nil || lostReply {
		<-ctx.Done()
		return fault.Wrap(fault.Unavailable, method, ctx.Err(), "")
	}
	return nil
}

func (m *mesh) running(n *meshNode) *Service { return n.running() }

// dispatch calls a handler; a nil reply is dropped.
func dispatch(s *Service, method string, args, reply any) {
	switch a := args.(type) {
	case *GrantArgs:
		r, _ := reply.(*GrantReply)
		_ = s.HandleGrant(a, orNew(r))
	case *ProbeArgs:
		r, _ := reply.(*ProbeReply)
		_ = s.HandleProbe(a, orNew(r))
	case *TransferArgs:
		r, _ := reply.(*TransferReply)
		_ = s.HandleTransfer(a, orNew(r))
	default:
		panic(method)
	}
}

func orNew[T any](p *T) *T {
	if p == nil {
		return new(T)
	}
	return p
}

// request sends one request of a tenant to a node.
func (m *mesh) request(n *meshNode, l Limit) {
	s := n.running()
	if s == nil {
		return
	}
	m.mu.Lock()
	m.asked[l.Tenant] = append(m.asked[l.Tenant], time.Now())
	m.mu.Unlock()
	go func() {
		ok, _ := s.Admit(context.Background(), l, time.Now())
		if ok {
			m.mu.Lock()
			m.admitted[l.Tenant] = append(m.admitted[l.Tenant], time.Now())
			m.mu.Unlock()
		}
	}()
}

// load sends requests of a tenant at random times with the given mean rate for a time. pick chooses the node.
func (m *mesh) load(wg *sync.WaitGroup, l Limit, rate float64, d time.Duration, pick func(random float64) *meshNode) {
	wg.Go(func() {
		end := time.Now().Add(d)
		for {
			gap := seconds(-math.Log(1-m.random()) / rate)
			if time.Now().Add(gap).After(end) {
				time.Sleep(time.Until(end))
				return
			}
			time.Sleep(gap)
			m.request(pick(m.random()), l)
		}
	})
}

// any chooses each node equally often.
func (m *mesh) any(random float64) *meshNode { return m.nodes[int(random*float64(len(m.nodes)))] }

// stop ends all processes and waits for the calls in progress.
func (m *mesh) stop() {
	m.mu.Lock()
	m.stopped = true
	m.mu.Unlock()
	time.Sleep(2 * callTimeout)
	for _, n := range m.nodes {
		n.kill()
	}
	time.Sleep(2 * callTimeout)
	synctest.Wait()
}

// excess returns the greatest number of admitted requests in a window and the number that the quota permits.
func (m *mesh) excess(l Limit) (worst int, permitted float64) {
	times := m.admitted[l.Tenant]
	slices.SortFunc(times, func(a, b time.Time) int { return a.Compare(b) })
	first := 0
	for i := range times {
		for times[i].Sub(times[first]) > testTerms.Window {
			first++
		}
		worst = max(worst, i-first+1)
	}
	return worst, (l.Rate*testTerms.Window.Seconds()+l.Burst)*(1+testTerms.Overshoot) + testTerms.Slack
}

// checkQuota fails if more was admitted in a window than permitted.
func (m *mesh) checkQuota(t *testing.T, l Limit) {
	t.Helper()
	if worst, permitted := m.excess(l); float64(worst) > permitted {
		t.Errorf("tenant %s: %d requests admitted in a window, %.0f permitted", l.Tenant, worst, permitted)
	}
}

// between returns the number of times between two others.
func between(times []time.Time, from, to time.Time) (n int) {
	for _, t := range times {
		if t.After(from) && t.Before(to) {
			n++
		}
	}
	return n
}

// home returns the home of a tenant in a zone.
func (m *mesh) home(zone, tenant string) *meshNode {
	node, _ := m.nodes[0].service.topology.Load().Home(zone, tenant)
	return m.byIP[node.Address]
}
