package proxy

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/monsoonlatch/monsoonlatch/pkg/balance"
	"github.com/monsoonlatch/monsoonlatch/pkg/clock"
	"github.com/monsoonlatch/monsoonlatch/pkg/hedge"
	"github.com/monsoonlatch/monsoonlatch/pkg/idempotency"
	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
	"github.com/monsoonlatch/monsoonlatch/pkg/retry"
	"github.com/monsoonlatch/monsoonlatch/pkg/upstream"
)

// script is what the fake peers do with the first request of a call and with the second one, in the order in which they arrive.
type script []struct {
	status int // 0: no response
	after  time.Duration
}

// hedgeFixture is an ingress whose two peers are played over pipes, on virtual time.
type hedgeFixture struct {
	*Ingress
	mesh
	script  script
	servers sync.WaitGroup

	mu       sync.Mutex
	arrived  int
	attempts []string
	// cut counts the requests whose connection was closed before their response was due.
	cut int
}

const usualTime = 100 * time.Millisecond

func newHedgeFixture(t *testing.T, share float64, s script) *hedgeFixture {
	f := &hedgeFixture{script: s, mesh: mesh{t: t, snap: newMesh(t).snap}}
	for _, id := range []membership.InstanceID{"i1", "i2"} {
		f.nodes = append(f.nodes, &node{own: membership.Instance{ID: id, Service: "desk", AvailabilityZone: "a", Slots: 20, Incarnation: 1,
			State: membership.StateReady, PeerAddress: string(id)}})
	}
	planner := hedge.New(hedge.Settings{Share: share})
	for range 200 {
		planner.Observe(hedge.Kind{Service: "desk", Policy: "urgent"}, usualTime)
	}
	for range 100 {
		planner.Delay(hedge.Kind{Service: "desk", Policy: "urgent"}) // Saves up second requests.
	}
	f.Ingress = NewIngress(IngressSettings{Self: "i0", Source: &f.mesh, View: &f.mesh, Calls: NewCalls(), Picker: balance.New(balance.Settings{AvailabilityZone: "a"}),
		Peers: upstream.NewPool(upstream.Settings{Dial: f.dial}), Retry: retry.NewBudgets(retry.Settings{}), Metrics: metric.NewSet(),
		Clock: clock.System{}, Log: zerolog.Nop(), Hedge: planner, DisableAttemptTimeout: true})
	return f
}

func (f *hedgeFixture) dial(context.Context, string) (net.Conn, error) {
	near, far := net.Pipe()
	f.servers.Go(func() { f.serve(far) })
	return near, nil
}

// serve plays a peer on one connection.
func (f *hedgeFixture) serve(conn net.Conn) {
	defer conn.Close()
	br := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		f.mu.Lock()
		step, n := f.script[f.arrived], f.arrived
		f.arrived++
		f.attempts = append(f.attempts, r.Header.Get(HeaderAttempt))
		f.mu.Unlock()
		_ = conn.SetReadDeadline(time.Now().Add(step.after))
		if _, err := br.Peek(1); step.status == 0 || err != nil && !isTimeout(err) {
			f.mu.Lock()
			f.cut++
			f.mu.Unlock()
			return
		}
		_ = conn.SetReadDeadline(time.Time{})
		body := fmt.Sprintf("answer %d", n+1)
		fmt.Fprintf(conn, "HTTP/1.1 %d %s\r\n%s: %s\r\n%s: backend\r\n%s: answered\r\nContent-Length: %d\r\n\r\n%s", step.status, http.StatusText(step.status),
			HeaderRequestID, r.Header.Get(HeaderRequestID), HeaderOrigin, HeaderOutcome, len(body), body)
	}
}

func isTimeout(err error) bool {
	ne, ok := err.(net.Error)
	return ok && ne.Timeout()
}

// call sends a request of a caller, who leaves after leaveAfter unless that is zero, and waits until all requests have ended.
func (f *hedgeFixture) call(path string, leaveAfter time.Duration) *httptest.ResponseRecorder {
	ctx, leave := context.WithCancel(f.t.Context())
	if leaveAfter > 0 {
		time.AfterFunc(leaveAfter, leave)
	}
	rec := httptest.NewRecorder()
	f.ServeHTTP(rec, httptest.NewRequestWithContext(ctx, http.MethodGet, path, nil))
	leave() // As the server of net/http does after the handler.
	synctest.Wait()
	f.Peers.CloseIdle()
	f.servers.Wait()
	return rec
}

// Guards against a caller that gets the slower of two responses, two responses or none, against a request that goes on after the
// other one has been answered, and against second requests where they are not allowed.
func TestSecondRequest(t *testing.T) {
	const soon, late = usualTime / 2, 10 * usualTime
	for name, c := range map[string]struct {
		path       string
		share      float64
		script     script
		leaveAfter time.Duration
		status     int
		body       string
		requests   int
		cut        int
		counters   map[metric.Hedge]int64
	}{
		"the first response is slow": {path: "/lookups", share: 0.1, script: script{{200, late}, {200, soon}}, status: 200, body: "answer 2",
			requests: 2, cut: 1, counters: map[metric.Hedge]int64{metric.HedgeSent: 1, metric.HedgeWon: 1}},
		"the first response arrives while the second request runs": {path: "/lookups", share: 0.1, script: script{{200, 2 * usualTime}, {200, late}},
			status: 200, body: "answer 1", requests: 2, cut: 1, counters: map[metric.Hedge]int64{metric.HedgeSent: 1, metric.HedgeLost: 1}},
		"the first response is in time": {path: "/lookups", share: 0.1, script: script{{200, soon}}, status: 200, body: "answer 1", requests: 1},
		"the second request fails, the first is answered": {path: "/lookups", share: 0.1, script: script{{200, late}, {500, soon}}, status: 200,
			body: "answer 1", requests: 2, counters: map[metric.Hedge]int64{metric.HedgeSent: 1}},
		"the first request fails, the second is answered": {path: "/lookups", share: 0.1, script: script{{500, 2 * usualTime}, {200, late}}, status: 200,
			body: "answer 2", requests: 2, counters: map[metric.Hedge]int64{metric.HedgeSent: 1, metric.HedgeWon: 1}},
		"both fail": {path: "/lookups", share: 0.1, script: script{{500, late}, {500, late}}, status: 500, body: "answer 1", requests: 2,
			counters: map[metric.Hedge]int64{metric.HedgeSent: 1, metric.HedgeFailed: 1}},
		"the caller leaves while both run": {path: "/lookups", share: 0.1, script: script{{200, late}, {200, late}}, leaveAfter: 3 * usualTime,
			status: 502, requests: 2, cut: 2, counters: map[metric.Hedge]int64{metric.HedgeSent: 1, metric.HedgeFailed: 1}},
		"the budget is spent": {path: "/lookups", share: 1e-6, script: script{{200, late}}, status: 200, body: "answer 1", requests: 1,
			counters: map[metric.Hedge]int64{metric.HedgeDeniedBudget: 1}},
		"second requests are off": {path: "/lookups", script: script{{200, late}}, status: 200, body: "answer 1", requests: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newHedgeFixture(t, c.share, c.script)
				rec := f.call(c.path, c.leaveAfter)
				if rec.Code != c.status || c.body != "" && rec.Body.String() != c.body {
					t.Errorf("status %d, body %q, want %d, %q", rec.Code, rec.Body, c.status, c.body)
				}
				if f.arrived != c.requests || f.cut != c.cut {
					t.Errorf("%d requests (attempts %q), %d cut off, want %d and %d", f.arrived, f.attempts, f.cut, c.requests, c.cut)
				}
				for _, h := range metric.Hedges {
					if got := f.Metrics.Snapshot()["hedge."+string(h)]; got != c.counters[h] {
						t.Errorf("counter %s is %d, want %d", h, got, c.counters[h])
					}
				}
			})
		})
	}
}

// Guards against an instance that hangs and goes on attracting requests because second requests answer for it.
func TestOvertakenInstanceCountsAsFailed(t *testing.T) {
	for event, rep := range map[balance.Event]*reply{
		balance.EventFailed:    {outcome: idempotency.OutcomeUnknown, failure: upstream.FailCancelled, overtaken: true},
		balance.EventAbandoned: {outcome: idempotency.OutcomeUnknown, failure: upstream.FailCancelled},
		balance.EventAnswered:  {outcome: idempotency.OutcomeAnswered, status: 200, overtaken: true},
	} {
		if got := classify(rep); got != event {
			t.Errorf("%+v: event %d, want %d", rep, got, event)
		}
	}
	synctest.Test(t, func(t *testing.T) {
		f := newHedgeFixture(t, 0.1, script{{200, 10 * usualTime}})
		ctx, cancel := context.WithCancelCause(t.Context())
		time.AfterFunc(usualTime, func() { cancel(errOvertaken) })
		c := &call{id: "a", method: http.MethodGet, url: &url.URL{Path: "/"}, header: http.Header{}, service: "desk", idempotent: true,
			deadline: time.Now().Add(time.Minute)}
		if rep := f.attempt(ctx, c, f.nodes[0].own); !rep.overtaken {
			t.Errorf("%+v does not tell that it was overtaken", rep)
		}
		f.Peers.CloseIdle()
		f.servers.Wait()
	})
}

// Guards against repeating what must not be repeated, and against repeats that multiply in a chain of calls.
func TestNoSecondRequest(t *testing.T) {
	in := &Ingress{IngressSettings: IngressSettings{Hedge: hedge.New(hedge.Settings{Share: 0.1})}}
	allowed := call{idempotent: true, maxRetries: 1}
	if !in.mayHedge(&allowed) {
		t.Fatal("no second request for a first attempt that may be repeated")
	}
	for name, change := range map[string]func(c *call){
		"not idempotent":         func(c *call) { c.idempotent = false },
		"nested in a retry":      func(c *call) { c.retried = true },
		"a retry itself":         func(c *call) { c.attempt = 1 },
		"the policy allows none": func(c *call) { c.maxRetries = 0 },
	} {
		c := allowed
		if change(&c); in.mayHedge(&c) {
			t.Errorf("%s: a second request is allowed", name)
		}
	}
}
