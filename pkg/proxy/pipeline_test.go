package proxy

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

	"github.com/monsoonlatch/monsoonlatch/internal/standin/backend"
)

// pipe opens a connection to the node's listener for callers. The connection is closed when the test ends.
func (n *node) pipe(t *testing.T) (net.Conn, *bufio.Reader) {
	conn, err := net.Dial("tcp", n.callers.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn, bufio.NewReader(conn)
}

// pipelined returns a request for a connection on which others follow before it is answered.
func pipelined(method, path, body string, headers ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: x\r\n", method, path)
	for i := 0; i < len(headers); i += 2 {
		fmt.Fprintf(&b, "%s: %s\r\n", headers[i], headers[i+1])
	}
	if method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	return b.String() + "\r\n" + body
}

// readAnswer reads the next response of a connection.
func readAnswer(r *bufio.Reader) answer {
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: string(b), err: err, closes: resp.Close}
}

// Guards against responses to pipelined requests that come in another order than the requests, over one hop and over two, and
// against one that is lost: the earlier requests take longer.
func TestPipelinedAnswersComeInOrder(t *testing.T) {
	m := newMesh(t, "desk", "office")
	for _, n := range m.nodes {
		conn, answers := n.pipe(t)
		var all strings.Builder
		const requests = 20
		for i := range requests {
			all.WriteString(pipelined("GET", fmt.Sprintf("/lookups/%d", i), "", backend.HeaderServiceTime, fmt.Sprintf("%dms", 2*(requests-i))))
		}
		if _, err := io.WriteString(conn, all.String()); err != nil {
			t.Fatal(err)
		}
		for i := range requests {
			a := readAnswer(answers)
			if a.status != 200 || a.body != fmt.Sprintf("ran GET /lookups/%d %s", i, a.header.Get(HeaderRequestID)) {
				t.Fatalf("response %d: %+v", i, a)
			}
		}
	}
}

// Guards against a request that may run only once and is started before the request ahead of it on its connection is
// answered: if that answer ends the connection, the client sends the request again.
func TestPipelinedRequestWaitsForTheOneAhead(t *testing.T) {
	m := newMesh(t, "desk", "office")
	for i, n := range m.nodes {
		conn, answers := n.pipe(t)
		fmt.Fprint(conn, pipelined("GET", "/lookups", "", backend.HeaderFault, string(backend.FaultLate)),
			pipelined("POST", "/deposits", "one"), pipelined("GET", "/lookups/last", ""))
		waitUntil(func() bool { return m.nodes[0].standin.Counts().Total == 2*i+1 })
		time.Sleep(50 * time.Millisecond) // A request that does not wait would run meanwhile.
		if total := m.nodes[1].standin.Counts().Total; total != i {
			t.Errorf("via node %d: %d deposits ran before the request ahead was answered, want %d", i, total, i)
		}
		m.nodes[0].standin.ReleaseLate()
		for _, want := range []string{"ran GET /lookups ", "ran POST /deposits ", "ran GET /lookups/last "} {
			if a := readAnswer(answers); a.status != 200 || !strings.HasPrefix(a.body, want) {
				t.Errorf("via node %d: response %+v, want one that begins with %q", i, a, want)
			}
		}
		if total := m.nodes[1].standin.Counts().Total; total != i+1 {
			t.Errorf("via node %d: the deposit ran %d times, want once", i, total-i)
		}
	}
}

// Guards against a request that runs behind a response that ends its connection: its client counts it as not read and sends
// it again.
func TestNothingRunsBehindAClosingAnswer(t *testing.T) {
	key := []string{"Authorization", "Bearer " + acmeKey}
	for name, c := range map[string]struct {
		first   string
		prepare func(*node)
		status  int
	}{
		"the client asks for it":         {pipelined("GET", "/lookups", "", append(key, "Connection", "close")...), nil, 200},
		"refusal with an unread body":    {pipelined("POST", "/lookups", "body"), nil, 401},
		"body beyond the limit":          {pipelined("POST", "/lookups", strings.Repeat("x", DefaultMaxBodyBytes+1), key...), nil, 413},
		"no route":                       {pipelined("GET", "/none", "", key...), nil, 404},
		"the node stops":                 {pipelined("GET", "/lookups", "", key...), func(n *node) { n.in.BeginShutdown(time.Now().Add(time.Hour)) }, 200},
		"the node drains":                {pipelined("GET", "/lookups", "", key...), func(n *node) { n.in.BeginDrain() }, 503},
		"cut response":                   {pipelined("GET", "/lookups", "", append(key, backend.HeaderBytes, "300000", backend.HeaderFault, string(backend.FaultCutLength))...), nil, 200},
		"request that cannot be read":    {"GET /lookups HTTP/1.1\r\nBad Header: 1\r\n\r\n", nil, 400},
		"length that is given two times": {"POST /lookups HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", nil, 400},
	} {
		m := newMesh(t, "desk", "office")
		m.setTenants(acme())
		n := m.nodes[1]
		if c.prepare != nil {
			c.prepare(n)
		}
		conn, answers := n.pipe(t)
		go fmt.Fprint(conn, c.first, strings.Repeat(pipelined("POST", "/deposits", "one", key...), 3))
		a := readAnswer(answers)
		if a.status != c.status || !a.closes && a.err == nil {
			t.Errorf("%s: response %+v, want status %d and the end of the connection", name, a, c.status)
		}
		if rest, _ := io.ReadAll(answers); len(rest) != 0 && a.err == nil {
			t.Errorf("%s: %d more bytes came: %.100q", name, len(rest), rest)
		}
		if total := n.standin.Counts().Total; total != 0 {
			t.Errorf("%s: %d deposits ran behind the response", name, total)
		}
	}
}

// Guards against a client that makes a node work on many requests at a time, or keep many, by pipelining without reading the
// responses.
func TestPipelineIsBounded(t *testing.T) {
	m := newMesh(t, "desk", "office")
	n := m.nodes[1]
	var busy, most, runs atomic.Int64
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer busy.Add(-1)
		if now := busy.Add(1); now > most.Load() {
			most.Store(now)
		}
		runs.Add(1)
		_, _ = w.Write(make([]byte, 32<<10))
	})}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go server.Serve(ln) //nolint:errcheck // ends with Close
	defer server.Close()
	m.nodes[0].addr = ln.Addr().String()
	conn, answers := n.pipe(t)
	const requests = 5000
	written := make(chan struct{})
	go func() {
		defer close(written)
		for range requests {
			if _, err := io.WriteString(conn, pipelined("GET", "/lookups", "")); err != nil {
				return
			}
		}
	}()
	// The node stops reading once the kernel's buffers for the responses are full.
	for last := int64(-1); last != runs.Load(); time.Sleep(200 * time.Millisecond) {
		last = runs.Load()
	}
	if got := runs.Load(); got == 0 || got > requests/2 {
		t.Errorf("%d of %d requests ran although no response was read, want a part that the buffers of the kernel hold", got, requests)
	}
	for i := range requests {
		if a := readAnswer(answers); a.status != 200 || len(a.body) != 32<<10 {
			t.Fatalf("response %d: status %d, %d bytes, error %v", i, a.status, len(a.body), a.err)
		}
	}
	<-written
	if most.Load() != 1 {
		t.Errorf("%d requests of one connection ran at a time, want 1", most.Load())
	}
}

// Guards against requests that run after their client has closed the connection, because earlier ones on it were still in
// progress, and against idempotent work that goes on for a client that has left while others of its requests wait.
func TestPipelineOfAClientThatLeft(t *testing.T) {
	for name, later := range map[string]bool{"sent at once": false, "sent while the first is in progress": true} {
		m := newMesh(t, "desk", "office")
		n := m.nodes[1]
		conn, _ := n.pipe(t)
		behind := pipelined("GET", "/lookups/behind", "") + pipelined("POST", "/deposits", "behind")
		first := pipelined("GET", "/lookups", "", backend.HeaderServiceTime, "8s")
		if later {
			fmt.Fprint(conn, first)
		} else {
			fmt.Fprint(conn, first, behind)
		}
		waitUntil(func() bool { return m.runs() == 1 })
		if later {
			fmt.Fprint(conn, behind)
			time.Sleep(20 * time.Millisecond)
		}
		conn.Close()
		start := time.Now()
		waitUntil(func() bool { return m.nodes[0].standin.Idle() || time.Since(start) > 5*time.Second })
		time.Sleep(50 * time.Millisecond) // A request behind would run now.
		if c := m.nodes[0].standin.Counts(); c.Cancelled != 1 {
			t.Errorf("%s: got counts %+v, want the first request cancelled", name, c)
		}
		if m.runs() != 1 {
			t.Errorf("%s: %d requests ran, want only the one that was in progress when the client left", name, m.runs())
		}
	}
}

// Guards against a request that runs after its client has closed the connection, behind one that runs to its end since it may
// not be cancelled.
func TestNothingRunsForAClientThatLeft(t *testing.T) {
	m := newMesh(t, "desk", "office")
	for _, n := range m.nodes {
		before, deposits := m.nodes[0].standin.Counts().Total, m.nodes[1].standin.Counts().Total
		conn, answers := n.pipe(t)
		fmt.Fprint(conn, pipelined("POST", "/deposits", "one", backend.HeaderServiceTime, "100ms"))
		waitUntil(func() bool { return m.nodes[1].standin.Counts().Total == deposits+1 })
		// More than the read buffer of net/http holds, so that it does not see the end of the connection.
		fmt.Fprint(conn, strings.Repeat(pipelined("GET", "/lookups/behind", ""), 300))
		// The end of the connection arrives, but the reset that follows a close is still on its way.
		if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
			t.Fatal(err)
		}
		_, _ = io.ReadAll(answers) // The node may reset the connection.
		if total := m.nodes[0].standin.Counts().Total; total != before {
			t.Errorf("%d requests ran for a client that had left", total-before)
		}
	}
}
