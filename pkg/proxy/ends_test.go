package proxy

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/monsoonlatch/monsoonlatch/internal/standin/backend"
	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
	"github.com/monsoonlatch/monsoonlatch/pkg/upstream"
)

// brokenConn is a connection that fails at once where a real one would fail later. It accepts accept bytes; a write of more
// fails with writeErr. Reads return the response and then readErr.
type brokenConn struct {
	net.Conn
	accept   int
	writeErr error
	response io.Reader
	readErr  error
}

func (c *brokenConn) Write(p []byte) (int, error) {
	n := min(c.accept, len(p))
	if c.accept == allButOne {
		n = len(p) - 1 // A short request is written at once.
	}
	c.accept -= n
	if n < len(p) {
		return n, &net.OpError{Op: "write", Net: "tcp", Err: c.writeErr}
	}
	return n, nil
}

func (c *brokenConn) Read(p []byte) (int, error) {
	if c.response != nil {
		if n, err := c.response.Read(p); err == nil {
			return n, nil
		}
	}
	if c.readErr == io.EOF {
		return 0, io.EOF
	}
	return 0, &net.OpError{Op: "read", Net: "tcp", Err: c.readErr}
}

func (c *brokenConn) Close() error                     { return nil }
func (c *brokenConn) SetDeadline(time.Time) error      { return nil }
func (c *brokenConn) SetReadDeadline(time.Time) error  { return nil }
func (c *brokenConn) SetWriteDeadline(time.Time) error { return nil }

const (
	// all is more than any request of these tests is long.
	all = 1 << 30
	// allButOne makes a brokenConn accept all bytes of a request but the last one.
	allButOne = -1
)

// lateOnce is a clock whose first reading is past the deadline of any request.
type lateOnce struct{ readings atomic.Int32 }

func (c *lateOnce) Now() time.Time {
	if c.readings.Add(1) == 1 {
		return time.Now().Add(time.Hour)
	}
	return time.Now()
}

// end is one way in which a call ends without an answer. The functions are called for the node beside the instance, or for the
// one that the request enters, after both are set up.
type end struct {
	name string
	// toNode and toServer open the first connection to another node and to the backend server.
	toNode, toServer func() (net.Conn, error)
	beside, sender   func(*node)
	long             bool
	// alone is set if the call can't be tried elsewhere, since there is no instance in the first place.
	alone bool
}

func broken(accept int, writeErr, readErr error) func() (net.Conn, error) {
	return func() (net.Conn, error) {
		return &brokenConn{accept: accept, writeErr: writeErr, readErr: readErr}, nil
	}
}

func notOpened(err error) func() (net.Conn, error) {
	return func() (net.Conn, error) { return nil, &net.OpError{Op: "dial", Net: "tcp", Err: err} }
}

// poolWithFirst returns a pool whose first connection is opened by first; the others are real.
func poolWithFirst(first func() (net.Conn, error)) *upstream.Pool {
	var dials atomic.Int32
	return upstream.NewPool(upstream.Settings{MaxConnsPerHost: 1, Dial: func(ctx context.Context, addr string) (net.Conn, error) {
		if dials.Add(1) == 1 {
			return first()
		}
		return new(net.Dialer).DialContext(ctx, "tcp", addr)
	}})
}

// occupy makes a pool use up its one connection to an address.
func occupy(pool *upstream.Pool, addr string) {
	res := pool.Do(context.Background(), addr, &upstream.Exchange{Request: (&call{method: http.MethodGet, url: &url.URL{Path: "/"}, host: "desk"}).request(http.Header{})})
	if res.Response == nil || res.Response.Remainder == nil {
		panic(fmt.Sprintf("the connection is not in use: %+v", res))
	}
}

func endlessResponse() (net.Conn, error) {
	return &brokenConn{accept: all, response: io.MultiReader(strings.NewReader("HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n"),
		bytes.NewReader(make([]byte, 200000)))}, nil
}

func refuseAdmission(reason metric.Refusal) func(*node) {
	return func(n *node) { n.gate.refusal = &AdmissionRefusal{Reason: reason, RetryAfter: time.Second} }
}

var ends = []end{
	{name: "no instance", beside: func(n *node) { n.setState(membership.StateStarting) }, alone: true},
	{name: "deadline before the send", sender: func(n *node) { n.in.Peers = upstream.NewPool(upstream.Settings{Clock: &lateOnce{}}) }},
	{name: "node: connection refused", toNode: notOpened(syscall.ECONNREFUSED)},
	{name: "node: connection not opened in time", toNode: notOpened(os.ErrDeadlineExceeded)},
	{name: "node: no free connection", sender: func(n *node) {
		n.in.Peers = poolWithFirst(endlessResponse)
		occupy(n.in.Peers, n.in.View.Instances("office")[0].PeerAddress)
	}},
	{name: "node: first write failed", toNode: broken(0, syscall.ECONNRESET, io.EOF)},
	{name: "node: write failed at the last byte", toNode: broken(allButOne, syscall.ECONNRESET, io.EOF)},
	{name: "node: long write failed", toNode: broken(9000, syscall.EPIPE, syscall.ECONNRESET), long: true},
	{name: "node: deadline while writing", toNode: broken(allButOne, os.ErrDeadlineExceeded, os.ErrDeadlineExceeded)},
	{name: "node: silent while writing", toNode: broken(allButOne, syscall.ETIMEDOUT, syscall.ETIMEDOUT)},
	{name: "node: closed after the request", toNode: broken(all, nil, io.EOF)},
	{name: "node: reset after the request", toNode: broken(all, nil, syscall.ECONNRESET)},
	{name: "node: silent after the request", toNode: broken(all, nil, syscall.ETIMEDOUT)},
	{name: "node: no answer until the deadline", toNode: broken(all, nil, os.ErrDeadlineExceeded)},
	{name: "node: answer without the request's ID", toNode: func() (net.Conn, error) {
		return &brokenConn{accept: all, response: strings.NewReader("HTTP/1.1 400 Bad Request\r\nConnection: close\r\n\r\n"), readErr: io.EOF}, nil
	}},
	{name: "queue full", beside: refuseAdmission(metric.RefusedQueueFull)},
	{name: "deadline in the queue", beside: refuseAdmission(metric.RefusedDeadline)},
	{name: "queue left at a stop", beside: refuseAdmission(metric.RefusedDraining)},
	{name: "instance left before the send", beside: func(n *node) {
		n.eg.Backend = upstream.NewPool(upstream.Settings{Dial: func(ctx context.Context, addr string) (net.Conn, error) {
			n.setState(membership.StateDraining)
			return new(net.Dialer).DialContext(ctx, "tcp", addr)
		}})
	}},
	{name: "server: connection refused", toServer: notOpened(syscall.ECONNREFUSED)},
	{name: "server: first write failed", toServer: broken(0, syscall.ECONNRESET, io.EOF)},
	{name: "server: write failed at the last byte", toServer: broken(allButOne, syscall.ECONNRESET, io.EOF)},
	{name: "server: closed after the request", toServer: broken(all, nil, io.EOF)},
	{name: "server: silent after the request", toServer: broken(all, nil, syscall.ETIMEDOUT)},
	{name: "server: no answer until the deadline", toServer: broken(all, nil, os.ErrDeadlineExceeded)},
	{name: "server: refused as not run", beside: func(n *node) { n.standin.InjectFaults(backend.FaultShed) }},
}

// breakFirst makes the first attempt of a call from sender to the instance beside a node end this way.
func (e *end) breakFirst(sender, beside *node) {
	if e.toNode != nil {
		sender.in.Peers = poolWithFirst(e.toNode)
	}
	if e.toServer != nil {
		beside.eg.Backend = poolWithFirst(e.toServer)
	}
	if e.beside != nil {
		e.beside(beside)
	}
	if e.sender != nil {
		e.sender(sender)
	}
}

// send sends an unsafe request.
func (e *end) send(n *node) answer {
	body := "deposit"
	if e.long {
		body = strings.Repeat("deposit ", 4<<10)
	}
	return n.call(context.Background(), http.MethodPost, "/deposits", body)
}

// Guards against a status that promises "not run" although a backend server may have run the request, against one that does not
// although no server can have it, and against an unsafe request that is sent to a second instance in the first case, or is not in
// the second. The expectations are the rows of docs/reasons.md.
func TestEndsOfACall(t *testing.T) {
	rows := endsRows(t)
	if len(rows) != len(ends) {
		t.Errorf("docs/reasons.md has %d ends, the test has %d", len(rows), len(ends))
	}
	for i := range ends {
		e := &ends[i]
		t.Run(e.name, func(t *testing.T) {
			row := rows[e.name]
			if len(row) != 7 {
				t.Fatalf("row %q in docs/reasons.md, want 7 cells", row)
			}
			outcome, reason, sentAgain := row[2], metric.Refusal(strings.Trim(row[3], "`")), row[6] == "yes"
			status, _ := strconv.Atoi(row[4])
			m := newMesh(t, "office", "desk")
			e.breakFirst(m.nodes[1], m.nodes[0])
			if a := e.send(m.nodes[1]); !a.refusedWith(status, outcome, reason) || m.runs() != 0 {
				t.Errorf("from another node: got %+v and %d runs, want status %d, %s, %s and none", a, m.runs(), status, outcome, reason)
			}
			if e.toNode == nil && e.sender == nil {
				m = newMesh(t, "office")
				e.breakFirst(m.nodes[0], m.nodes[0])
				if a := e.send(m.nodes[0]); !a.refusedWith(status, outcome, reason) || m.runs() != 0 {
					t.Errorf("beside the instance: got %+v and %d runs, want status %d, %s, %s and none", a, m.runs(), status, outcome, reason)
				}
			}
			if e.alone {
				return
			}
			m = newMesh(t, "office", "office", "desk")
			sender := m.nodes[2]
			e.send(sender)
			for range 18 {
				sender.in.selector.reserve("i1") // makes i1 look busy, so that the first attempt goes to i0
			}
			before := m.runs()
			e.breakFirst(sender, m.nodes[0])
			a := e.send(sender)
			if ran := m.runs() - before; sentAgain != (a.status == 200 && ran == 1) || !sentAgain && (ran != 0 || !a.refusedWith(status, outcome, reason)) {
				t.Errorf("with another instance: got %+v and %d runs, want the request to be sent again: %v", a, ran, sentAgain)
			}
		})
	}
}

// endsRows returns the rows of the table of ends in docs/reasons.md by their names.
func endsRows(t *testing.T) map[string][]string {
	page, err := os.ReadFile("../../docs/reasons.md")
	if err != nil {
		t.Fatal(err)
	}
	_, section, _ := strings.Cut(string(page), "\n## Ends of a call\n")
	section, _, _ = strings.Cut(section, "\n## ")
	rows := make(map[string][]string)
	for line := range strings.Lines(section) {
		if strings.HasPrefix(line, "| `") {
			cells := strings.Split(strings.Trim(line, "| \n"), " | ")
			rows[strings.Trim(cells[0], "`")] = cells
		}
	}
	return rows
}

// Guards against an egress that hands on a request before it has read all of it: a node that could not write the last byte of a
// request reports it as not run.
func TestEgressStartsOnlyOnCompleteRequests(t *testing.T) {
	m := newMesh(t, "office")
	for name, body := range map[string]string{"body": "a deposit of 17", "no body": ""} {
		for _, method := range []string{http.MethodPost, http.MethodGet} {
			c := &call{method: method, url: &url.URL{Path: "/deposits"}, host: "desk", header: http.Header{}, id: "whole", service: "office",
				route: "deposits", deadline: time.Now().Add(time.Hour), body: []byte(body)}
			setCommonHeaders(c.header, c.outgoing(time.Now()))
			c.setPeerHeaders(c.header, time.Now())
			var request bytes.Buffer
			if err := c.request(c.header).Write(&request); err != nil {
				t.Fatal(err)
			}
			for n := range request.Len() + 1 {
				before := m.runs()
				conn, err := net.Dial("tcp", m.nodes[0].peers.Listener.Addr().String())
				if err != nil {
					t.Fatal(err)
				}
				_, _ = conn.Write(request.Bytes()[:n])
				if n == request.Len() {
					_, _ = http.ReadResponse(bufio.NewReader(conn), nil) // The number of runs shows whether there was one.
				} else {
					_ = conn.(*net.TCPConn).CloseWrite()
					_, _ = io.Copy(io.Discard, conn) // Ends when the egress has dealt with the request.
				}
				conn.Close()
				if ran := m.runs() - before; ran != 0 && n < request.Len() || ran != 1 && n == request.Len() {
					t.Errorf("%s, %s: %d runs after %d of %d bytes", method, name, ran, n, request.Len())
				}
			}
		}
	}
}

// Guards against a request that one node accepts and the next one refuses for the length of its header, in a form that does not
// show to which request it belongs, so that the outcome counts as unknown.
func TestLongestHeaderPassesBetweenNodes(t *testing.T) {
	m := newMesh(t, "office", "desk")
	serve := func(s *http.Server) *httptest.Server {
		server := httptest.NewUnstartedServer(nil)
		server.Config = s
		server.Start()
		t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
		return server
	}
	m.nodes[0].own.PeerAddress = serve(NewPeerServer(m.nodes[0].eg)).Listener.Addr().String()
	m.nodes[0].eg.Backend = poolWithFirst(func() (net.Conn, error) {
		return &brokenConn{accept: all, response: strings.NewReader("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"), readErr: io.EOF}, nil
	})
	m.nodes[1].callers = serve(NewServer(m.nodes[1].in))
	// net/http adds 4 KiB to the limit.
	if a := m.nodes[1].post("/deposits", "X-Long", strings.Repeat("x", maxHeaderBytes+3850)); a.status != 200 {
		t.Errorf("got %+v, want the response of the backend server", a)
	}
}
