package intake

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
	"github.com/monsoonlatch/monsoonlatch/pkg/network"
)

const testMemory = 64 << 20

// testServer is an HTTP server with a budget. Its checks run only when a test calls them.
type testServer struct {
	t       *testing.T
	budget  *Budget
	class   *Class
	address string
	runs    atomic.Int64
	// block, if set, makes handlers wait until it is closed.
	block chan struct{}
}

func newTestServer(t *testing.T, s Settings) *testServer {
	t.Helper()
	s.Metrics = metric.NewSet()
	ts := &testServer{t: t, budget: New(s)}
	ts.class = ts.budget.Callers()
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ts.runs.Add(1)
		_, _ = io.Copy(io.Discard, r.Body) // A broken body is the business of the test.
		if ts.block != nil {
			<-ts.block
		}
	})}
	ts.class.Protect(srv, nil)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ts.address = ln.Addr().String()
	go func() { _ = srv.Serve(ts.class.Listener(ln)) }() // Returns when the test ends.
	t.Cleanup(func() { srv.Close() })
	return ts
}

// client is a connection to a testServer.
type client struct {
	net.Conn
	t *testing.T
	r *bufio.Reader
}

func (ts *testServer) dial() *client {
	ts.t.Helper()
	c, err := net.Dial("tcp", ts.address)
	if err != nil {
		ts.t.Fatal(err)
	}
	ts.t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(time.Minute)) // Fails only if the connection is closed.
	return &client{c, ts.t, bufio.NewReader(c)}
}

func (c *client) send(s string) { _, _ = io.WriteString(c, s) } // Tests check what comes back.

// status returns the status of the next answer, or 0 if the connection is closed without one.
func (c *client) status() int {
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	return resp.StatusCode
}

// await waits until ok returns true.
func await(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(time.Minute); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for %s", what)
		}
	}
}

// advance runs the periodic checks until the given time has passed in ticks.
func (ts *testServer) advance(d time.Duration) {
	for range ticks(d) + 1 {
		ts.budget.check(time.Now())
	}
}

func fields(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "%x:\r\n", i)
	}
	return b.String()
}

const start = "GET / HTTP/1.1\r\nHost: a\r\n"

// Guards against a budget that closes an ordinary request in place of the one that exceeds it, or that never gets back
// what a closed connection held.
func TestLargestUnfinishedHeadIsClosed(t *testing.T) {
	ts := newTestServer(t, Settings{Memory: testMemory})
	ordinary := ts.dial()
	ordinary.send(start)
	var crowd []*client
	perHead := headCost(16<<10, 2500)
	for range 2 * testMemory / headDivisor / perHead {
		c := ts.dial()
		c.send(start + fields(2500))
		crowd = append(crowd, c)
	}
	await(t, "a refusal", func() bool { return ts.budget.refused[headMemory].Load() > 0 })
	ordinary.send("\r\n")
	if got := ordinary.status(); got != http.StatusOK {
		t.Errorf("ordinary request: status %d, want 200", got)
	}
	for _, c := range crowd {
		c.Close()
	}
	await(t, "the release of all charges", func() bool { return ts.budget.reading.Load() == 0 && ts.class.count.Load() == 1 })
}

// Guards against limits that refuse what the configuration allows, and against heads beyond them that run.
func TestHeadLimit(t *testing.T) {
	ts := newTestServer(t, Settings{Memory: testMemory, Limits: func() Limits { return Limits{HeaderBytes: 16 << 10} }})
	ts.advance(0)
	for _, c := range []struct {
		name, head string
		want       int
	}{
		{"within", start + "A: " + strings.Repeat("x", 16<<10-len(start)-len("A: \r\n\r\n")) + "\r\n\r\n", http.StatusOK},
		{"tiny fields within", start + fields(2600) + "\r\n", http.StatusOK},
		{"just beyond", start + "A: " + strings.Repeat("x", 17<<10) + "\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge},
		{"far beyond", start + "A: " + strings.Repeat("x", 30<<10) + "\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge},
	} {
		before := ts.runs.Load()
		conn := ts.dial()
		conn.send(c.head)
		if got := conn.status(); got != c.want {
			t.Errorf("%s: status %d, want %d", c.name, got, c.want)
		}
		if ran := ts.runs.Load() > before; ran != (c.want == http.StatusOK) {
			t.Errorf("%s: run: %v", c.name, ran)
		}
	}
}

// Guards against a head that is never finished, and against a 408 for a request that runs.
func TestHeadTimeout(t *testing.T) {
	ts := newTestServer(t, Settings{Memory: testMemory, Limits: func() Limits { return Limits{HeaderTimeout: 3 * time.Second} }})
	c := ts.dial()
	c.send(start)
	await(t, "the first byte", func() bool {
		ts.budget.mu.Lock()
		defer ts.budget.mu.Unlock()
		for conn := range ts.budget.conns {
			return conn.started.Load()
		}
		return false
	})
	ts.advance(3 * time.Second)
	c.send("X: y\r\n")
	ts.advance(timeoutMargin)
	if got := c.status(); got != http.StatusRequestTimeout {
		t.Errorf("status %d, want 408", got)
	}
	if n := ts.runs.Load(); n != 0 {
		t.Errorf("%d requests ran, want none", n)
	}
}

// Guards against large heads of waiting requests that take all memory, each of them within the limits.
func TestLargeHeadsOfRequestsInProgress(t *testing.T) {
	ts := newTestServer(t, Settings{Memory: testMemory})
	ts.block = make(chan struct{})
	head := start + fields(2600) + "\r\n"
	room := testMemory / headDivisor / headCost(int64(len(head)), 2600)
	for i := range room {
		ts.dial().send(head)
		await(t, "the request to run", func() bool { return ts.runs.Load() == i+1 })
	}
	for range 3 {
		c := ts.dial()
		c.send(head)
		if ts.budget.serving.Load()+headCost(int64(len(head)), 2600) > testMemory/headDivisor {
			if got := c.status(); got != http.StatusServiceUnavailable {
				t.Errorf("beyond the budget: status %d, want 503", got)
			}
		}
	}
	close(ts.block)
	await(t, "the release of all charges", func() bool { return ts.budget.serving.Load() == 0 })
}

// Guards against a crowd of silent connections that locks out a new client, and against one that closes a connection
// whose request is in progress.
func TestConnectionBound(t *testing.T) {
	ts := newTestServer(t, Settings{Memory: testMemory, Descriptors: 64})
	ts.block = make(chan struct{})
	busy := ts.dial()
	busy.send(start + "\r\n")
	await(t, "the request to run", func() bool { return ts.runs.Load() == 1 })
	for range ts.class.limit - 1 {
		ts.dial()
	}
	await(t, "the crowd", func() bool { return int(ts.class.count.Load()) == ts.class.limit })
	ts.advance(displaceAfter)
	late := ts.dial()
	late.send(start + "\r\n")
	await(t, "the new request to run", func() bool { return ts.runs.Load() == 2 })
	close(ts.block)
	for name, c := range map[string]*client{"busy": busy, "late": late} {
		if got := c.status(); got != http.StatusOK {
			t.Errorf("%s: status %d, want 200", name, got)
		}
	}
	if n := int(ts.class.count.Load()); n > ts.class.limit {
		t.Errorf("%d connections, want at most %d", n, ts.class.limit)
	}
}

// Guards against a body that is never finished and holds its connection for ever.
func TestUnfinishedBodyIsClosed(t *testing.T) {
	ts := newTestServer(t, Settings{Memory: testMemory})
	c := ts.dial()
	c.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nx")
	await(t, "the request to run", func() bool { return ts.runs.Load() == 1 })
	ts.advance(bodyTimeout - time.Second)
	if n := ts.class.count.Load(); n != 1 {
		t.Fatalf("%d connections before the timeout, want 1", n)
	}
	ts.advance(2 * time.Second)
	await(t, "the connection to close", func() bool { return ts.class.count.Load() == 0 })
}

// Guards against answers that are never read and hold their connections for ever.
func TestUnreadAnswerIsClosed(t *testing.T) {
	ts := newTestServer(t, Settings{Memory: testMemory})
	c := ts.dial()
	go func() {
		for range 1 << 20 {
			if _, err := io.WriteString(c, start+"\r\n"); err != nil {
				return
			}
		}
	}()
	blocked := func() bool {
		ts.budget.mu.Lock()
		defer ts.budget.mu.Unlock()
		for conn := range ts.budget.conns {
			w := conn.writing.Load()
			ts.budget.now.Add(1) // A later write has another tick.
			time.Sleep(20 * time.Millisecond)
			return w > 0 && conn.writing.Load() == w
		}
		return false
	}
	// A write that has waited for 20 ms may still go on, so the time passes again.
	await(t, "the connection to close", func() bool {
		if blocked() {
			ts.advance(writeTimeout + time.Second)
		}
		return ts.class.count.Load() == 0
	})
}

// BenchmarkRequest compares the time of a request with and without a budget.
func BenchmarkRequest(b *testing.B) {
	for _, bounded := range []bool{false, true} {
		b.Run(fmt.Sprintf("bounded=%v", bounded), func(b *testing.B) {
			srv := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			address := ln.Addr().String()
			if bounded {
				class := New(Settings{Metrics: metric.NewSet()}).Callers()
				class.Protect(srv, nil)
				ln = class.Listener(ln)
			}
			go func() { _ = srv.Serve(ln) }() // Returns when the benchmark ends.
			defer srv.Close()
			c, err := net.Dial("tcp", address)
			if err != nil {
				b.Fatal(err)
			}
			defer c.Close()
			r := bufio.NewReader(c)
			for b.Loop() {
				if _, err := io.WriteString(c, start+"A: b\r\nC: d\r\nE: f\r\n\r\n"); err != nil {
					b.Fatal(err)
				}
				resp, err := http.ReadResponse(r, nil)
				if err != nil {
					b.Fatal(err)
				}
				resp.Body.Close()
			}
		})
	}
}

// Guards against work that goes on for a client that has left: the check of the connection must see through the wrapper.
func TestClientThatLeftIsNoticed(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	bounded := New(Settings{Metrics: metric.NewSet()}).Callers().Listener(ln)
	near, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	far, err := bounded.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer far.Close()
	if network.PeerLeft(far) {
		t.Error("an open connection counts as closed")
	}
	near.Close()
	await(t, "the close", func() bool { return network.PeerLeft(far) })
}

// Guards against refusing, at the next node, a head that a caller's node has accepted: that node adds headers of the mesh.
func TestNodesHaveRoomForMeshHeaders(t *testing.T) {
	const limit = 16 << 10
	budget := New(Settings{Limits: func() Limits { return Limits{HeaderBytes: limit} }, Metrics: metric.NewSet()})
	budget.check(time.Now())
	for name, c := range map[string]struct {
		class *Class
		want  int
	}{"callers": {budget.Callers(), http.StatusRequestHeaderFieldsTooLarge}, "nodes": {budget.Nodes(), http.StatusOK}} {
		srv := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
		c.class.Protect(srv, nil)
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() { _ = srv.Serve(c.class.Listener(ln)) }() // Returns when the server is closed.
		t.Cleanup(func() { srv.Close() })
		req, err := http.NewRequest(http.MethodGet, "http://"+ln.Addr().String(), nil)
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("X-Long", strings.Repeat("x", limit))
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode != c.want {
			t.Errorf("%s: status %d for a head of the limit with some headers more, want %d", name, resp.StatusCode, c.want)
		}
	}
}
