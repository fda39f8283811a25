package proxy

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/monsoonlatch/monsoonlatch/internal/standin/backend"
	"github.com/monsoonlatch/monsoonlatch/pkg/balance"
	"github.com/monsoonlatch/monsoonlatch/pkg/clock"
	"github.com/monsoonlatch/monsoonlatch/pkg/config"
	"github.com/monsoonlatch/monsoonlatch/pkg/idempotency"
	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
	"github.com/monsoonlatch/monsoonlatch/pkg/retry"
	"github.com/monsoonlatch/monsoonlatch/pkg/upstream"
)

// fifoGate is a Gate that ignores ranks.
type fifoGate struct {
	slots chan struct{}
	// refusal, if set, is returned for all work.
	refusal *AdmissionRefusal
	mu      sync.Mutex
	ranks   []int
	// requests holds all requests for a slot.
	requests []AdmissionRequest
}

func (g *fifoGate) Acquire(ctx context.Context, req AdmissionRequest) (func(bool, bool, time.Duration), *AdmissionRefusal) {
	g.mu.Lock()
	g.ranks = append(g.ranks, req.Rank)
	g.requests = append(g.requests, req)
	g.mu.Unlock()
	if g.refusal != nil {
		return nil, g.refusal
	}
	t := time.NewTimer(time.Until(req.Deadline))
	defer t.Stop()
	select {
	case g.slots <- struct{}{}:
		return func(bool, bool, time.Duration) { <-g.slots }, nil
	case <-t.C:
		return nil, &AdmissionRefusal{Reason: metric.RefusedDeadline, RetryAfter: 1500 * time.Millisecond}
	case <-ctx.Done():
		return nil, &AdmissionRefusal{Reason: metric.RefusedCallerGone}
	}
}

func (g *fifoGate) SetRate(float64) {}

func (g *fifoGate) Load() Load { return Load{InUse: len(g.slots), Limit: cap(g.slots)} }

// sharedGuard is an idempotency guard that all nodes of a test share in memory.
type sharedGuard struct {
	m       *mesh
	mu      sync.Mutex
	results map[string]idempotency.Result
}

func (g *sharedGuard) Home(service, _ string) (membership.Instance, bool) {
	for _, in := range g.m.Instances(service) {
		if in.State == membership.StateReady {
			return in, true
		}
	}
	return membership.Instance{}, false
}

func (g *sharedGuard) Do(ctx context.Context, req idempotency.Request, run func(context.Context) idempotency.Result) idempotency.Result {
	g.mu.Lock()
	defer g.mu.Unlock()
	if res, ok := g.results[req.Key]; ok {
		res.Replayed = true
		return res
	}
	res := run(context.WithoutCancel(ctx))
	if res.Outcome != idempotency.OutcomeNotRun {
		g.results[req.Key] = res
	}
	return res
}

func (g *sharedGuard) HandOver(context.Context) error { return nil }

// node is a node of a mesh, with its backend stand-in and its listeners for callers and peers.
type node struct {
	id      membership.InstanceID
	own     membership.Instance
	addr    string
	standin *backend.Server
	gate    *fifoGate
	in      *Ingress
	eg      *Egress
	callers *httptest.Server
	peers   *httptest.Server
	web     *httptest.Server
	metrics *metric.Set
	mu      sync.Mutex
}

// Instance implements LocalInstance.
func (n *node) Instance() (membership.Instance, string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.own, n.addr
}

// Admits implements LocalInstance.
func (n *node) Admits(time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.own.State == membership.StateReady
}

// LeavingFor implements LocalInstance.
func (n *node) LeavingFor(time.Time) time.Duration { return 0 }

// ResponseSaysLeaving implements LocalInstance.
func (n *node) ResponseSaysLeaving() { n.setState(membership.StateDraining) }

// Misdirected implements LocalInstance.
func (n *node) Misdirected(string) {}

func (n *node) setState(s membership.State) {
	n.mu.Lock()
	n.own.State = s
	n.mu.Unlock()
}

// mesh is a set of nodes on the loopback interface, each with its own backend stand-in.
type mesh struct {
	t     testing.TB
	nodes []*node
	snap  *config.Snapshot
}

func (m *mesh) Current() *config.Snapshot { return m.snap }

func (m *mesh) Instances(service string) []membership.Instance {
	var out []membership.Instance
	for _, n := range m.nodes {
		if in, _ := n.Instance(); in.Service == service {
			out = append(out, in)
		}
	}
	return out
}

func (m *mesh) Subscribe() <-chan struct{} { return nil }

// newMesh starts one node for each of the given services. A service that is given twice has two instances.
func newMesh(t testing.TB, services ...string) *mesh {
	t.Helper()
	policy := func(name string, rank int, deadline time.Duration) config.Policy {
		return config.Policy{Name: name, Rank: rank, Target: config.Duration(20 * time.Millisecond), MaxRetries: 2, Deadline: config.Duration(deadline)}
	}
	route := func(name, service, policy string, idempotent bool) config.Route {
		return config.Route{Name: name, PathPrefix: "/" + name, Service: service, Policy: policy, Idempotent: idempotent}
	}
	snap, err := config.Build(3, "h", config.Configuration{
		Services: map[string]config.Service{"desk": {Name: "desk"}, "office": {Name: "office"}, "archive": {Name: "archive"}},
		Policies: map[string]config.Policy{"urgent": policy("urgent", 0, 10*time.Second), "later": policy("later", 5, 8*time.Second),
			"short": policy("short", 1, 5*time.Second), "brief": policy("brief", 1, time.Second)},
		Routes: map[string]config.Route{"lookups": route("lookups", "desk", "urgent", true), "listings": route("listings", "desk", "later", true),
			"deposits": route("deposits", "office", "urgent", false),
			"quick":    route("quick", "desk", "short", true), "brief": route("brief", "desk", "brief", true), "archive": route("archive", "archive", "urgent", true)},
	})
	if err != nil {
		t.Fatal(err)
	}
	m := &mesh{t: t, snap: snap}
	g := &sharedGuard{m: m, results: make(map[string]idempotency.Result)}
	for i, service := range services {
		m.nodes = append(m.nodes, m.newNode(i, service, g))
	}
	return m
}

func (m *mesh) newNode(i int, service string, g idempotency.Guard) *node {
	n := &node{id: membership.InstanceID(fmt.Sprint("i", i)), metrics: metric.NewSet(), gate: &fifoGate{slots: make(chan struct{}, 20)}}
	n.callers = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { n.in.ServeHTTP(w, r) }))
	n.callers.Config.ConnContext = NewServer(nil).ConnContext
	n.peers = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { n.eg.ServeHTTP(w, r) }))
	n.standin = backend.New(backend.Settings{Slots: 2 * MaxHops, NodeCallers: n.callers.Listener.Addr().String()})
	web := httptest.NewServer(n.standin)
	n.web = web
	n.addr = web.Listener.Addr().String()
	n.own = membership.Instance{ID: n.id, Service: service, AvailabilityZone: "a", Slots: 20, Incarnation: 1, Sequence: 1,
		State: membership.StateReady, PeerAddress: n.peers.Listener.Addr().String()}
	calls, pool := NewCalls(), upstream.NewPool(upstream.Settings{})
	n.eg = NewEgress(EgressSettings{Local: n, Gate: n.gate, Guard: g, Backend: upstream.NewPool(upstream.Settings{MaxConnsPerHost: 2 * MaxHops}),
		Calls: calls, Metrics: n.metrics, Clock: clock.System{}, Log: zerolog.Nop()})
	n.in = NewIngress(IngressSettings{Self: n.id, Source: m, View: m, Guard: g, Egress: n.eg, Peers: pool, Calls: calls,
		Picker: balance.New(balance.Settings{AvailabilityZone: "a"}), Retry: retry.NewBudgets(retry.Settings{}),
		Metrics: n.metrics, Clock: clock.System{}, Log: zerolog.Nop()})
	n.callers.Start()
	n.peers.Start()
	for _, s := range []*httptest.Server{web, n.peers, n.callers} {
		m.t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	}
	m.t.Cleanup(func() { n.standin.Close(); pool.CloseIdle(); n.eg.Backend.CloseIdle() })
	return n
}

// answer is the response that a caller receives.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
	// closes is set if the response ends its connection.
	closes bool
}

// call sends a request to the node's listener for callers. The headers are alternating names and values.
func (n *node) call(ctx context.Context, method, path, body string, headers ...string) answer {
	req, err := http.NewRequestWithContext(ctx, method, n.callers.URL+path, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := n.callers.Client().Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: string(b), err: err, closes: resp.Close}
}

func (n *node) get(path string, headers ...string) answer {
	return n.call(context.Background(), http.MethodGet, path, "", headers...)
}

func (n *node) post(path string, headers ...string) answer {
	return n.call(context.Background(), http.MethodPost, path, "deposit", headers...)
}

// refusedWith reports whether the response is a refusal by a node with the given status, outcome and reason.
func (a answer) refusedWith(status int, outcome string, reason metric.Refusal) bool {
	return a.err == nil && a.status == status && a.header.Get(HeaderOrigin) == originNode &&
		a.header.Get(HeaderOutcome) == outcome && a.header.Get(HeaderReason) == string(reason) &&
		strings.Contains(a.body, `"outcome":"`+outcome+`","reason":"`+string(reason)+`"`)
}

// runs returns the number of requests that all backend stand-ins have run.
func (m *mesh) runs() (total int) {
	for _, n := range m.nodes {
		total += n.standin.Counts().Total
	}
	return total
}

// waitUntil polls until the condition holds; only the timeout of the test ends it otherwise.
func waitUntil(cond func() bool) {
	for !cond() {
		time.Sleep(time.Millisecond)
	}
}
