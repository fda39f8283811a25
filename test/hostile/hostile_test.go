package hostile

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

const requestLine = "POST / HTTP/1.1\r\nHost: desk.test\r\n"

// endless returns a client that sends start and then block again and again until the node closes the connection.
func endless(start string, block func(i int) string) func(net.Conn, time.Time) {
	return func(c net.Conn, end time.Time) {
		if _, err := io.WriteString(c, start); err != nil {
			return
		}
		for i := 0; time.Now().Before(end); i++ {
			if _, err := io.WriteString(c, block(i)); err != nil {
				return
			}
		}
	}
}

func repeated(s string) func(int) string {
	block := strings.Repeat(s, 8<<10/len(s))
	return func(int) string { return block }
}

// tinyFields returns 1,000 header fields with different names of a few bytes.
func tinyFields(i int) string {
	var b strings.Builder
	for j := range 1000 {
		fmt.Fprintf(&b, "%x:\n", i*1000+j)
	}
	return b.String()
}

// hold keeps the connection open without another byte until the node closes it.
func hold(c net.Conn) { _, _ = io.Copy(io.Discard, c) }

// slowly returns a client that sends the start of a request, then a byte at a time.
func slowly(start string) func(net.Conn, time.Time) {
	return func(c net.Conn, end time.Time) {
		if _, err := io.WriteString(c, start); err != nil {
			return
		}
		for time.Now().Before(end) {
			if _, err := c.Write([]byte("x")); err != nil {
				return
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// unfinished returns a client that sends the start of a request and then waits.
func unfinished(start string) func(net.Conn, time.Time) {
	return func(c net.Conn, _ time.Time) {
		if _, err := io.WriteString(c, start); err == nil {
			hold(c)
		}
	}
}

// headOfTinyFields is a request head of 16 KiB, the limit of the configuration, that consists of tiny fields.
func headOfTinyFields(path string) string {
	var b bytes.Buffer
	fmt.Fprintf(&b, "GET %s HTTP/1.1\r\nHost: desk.test\r\nX-Attempt-Id: 1\r\nX-Deadline-Ms: 5000\r\n", path)
	for i := 0; b.Len() < 16<<10-16; i++ {
		fmt.Fprintf(&b, "%x:\r\n", i)
	}
	return b.String() + "\r\n"
}

const chunkedHead = requestLine + "X-Deadline-Ms: 5000\r\nTransfer-Encoding: chunked\r\n\r\n"

var kinds = map[string]func(net.Conn, time.Time){
	"tiny fields":            endless(requestLine, tinyFields),
	"tiny fields in limits":  unfinished(strings.TrimSuffix(headOfTinyFields("/"), "\r\n")),
	"endless field":          endless(requestLine+"A: ", repeated("a")),
	"endless request line":   endless("GET /", repeated("a")),
	"endless spaces":         endless("", repeated(" ")),
	"endless equal fields":   endless(requestLine, repeated("Abc: def\r\n")),
	"endless empty lines":    endless("", repeated("\r\n")),
	"endless trailers":       endless(chunkedHead+"1\r\nx\r\n0\r\n", repeated("Abc: def\r\n")),
	"chunk extensions":       endless(chunkedHead+"1;", repeated("a")),
	"tiny chunks":            endless(chunkedHead, repeated("1;a=b\r\nx\r\n")),
	"endless bodies":         endless(chunkedHead, repeated("400\r\n"+strings.Repeat("x", 1024)+"\r\n")),
	"slow bodies":            slowly(requestLine + "X-Deadline-Ms: 5000\r\nContent-Length: 1000000\r\n\r\n"),
	"answers never read":     endless("", repeated("GET /long HTTP/1.1\r\nHost: desk.test\r\nX-Deadline-Ms: 5000\r\n\r\n")),
	"pipelined requests":     endless("", repeated("GET / HTTP/1.1\r\nHost: desk.test\r\nX-Deadline-Ms: 5000\r\n\r\n")),
	"pipelined large heads":  endless("", func(int) string { return headOfTinyFields("/") }),
	"silent connections":     unfinished(""),
	"announced frames":       unfinished("\x00\x3f\xff\xff"),
	"frames without end":     endless("\x00\x3f\xff\xff", repeated("x")),
	"slow frames":            slowly("\x00\x3f\xff\xff"),
	"frames above the limit": endless("\x7f\xff\xff\xff", repeated("x")),
}

var httpKinds = []string{"tiny fields", "endless field", "endless equal fields", "endless bodies", "answers never read", "pipelined large heads"}

// covered lists the kinds of crowds for each listener of the sidecar.
var covered = []struct {
	listener string
	kinds    []string
}{
	{"callers", append([]string{"tiny fields in limits", "endless spaces", "chunk extensions", "tiny chunks", "slow bodies", "pipelined requests", "silent connections",
		"endless request line", "endless empty lines", "endless trailers"}, httpKinds...)},
	{"peers", httpKinds},
	{"announcements", httpKinds},
	{"operators", httpKinds},
	{"ready", httpKinds},
	{"control", []string{"announced frames", "frames without end", "slow frames", "frames above the limit"}},
}

// Guards against clients whose unfinished or unread requests take the node more memory than its VM has.
func TestSidecarOutlivesCrowds(t *testing.T) {
	for _, c := range covered {
		for _, kind := range c.kinds {
			t.Run(c.listener+"/"+strings.ReplaceAll(kind, " ", "_"), func(t *testing.T) {
				startSettled(t, maxFds).endure(c.listener, crowdSize, memoryMb<<10, maxFds, kinds[kind])
			})
		}
	}
}

// Guards against the same for monsoonlatchd, whose crowds are as large as those that ended a process.
func TestDaemonOutlivesCrowds(t *testing.T) {
	const crowd = 150
	for _, c := range []struct{ listener, kind string }{{"callers", "tiny fields"}, {"callers", "endless field"}, {"callers", "endless empty lines"},
		{"peers", "tiny fields"}, {"operators", "endless equal fields"}, {"control", "frames without end"}} {
		t.Run(c.listener+"/"+strings.ReplaceAll(c.kind, " ", "_"), func(t *testing.T) {
			startDaemon(t).endure(c.listener, crowd, daemonMemoryMb<<10, maxFds, kinds[c.kind])
		})
	}
}

// Guards against clients that hold all connections of the listener for announcements with bodies that never arrive, so
// that the backend server counts as lost.
func TestAnnouncementsFindRoom(t *testing.T) {
	n := startSettled(t, fewFds)
	n.endure("announcements", 2*fewFds, memoryMb<<10, fewFds, unfinished("POST /rpc?call=instances.heartbeat&of=x HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\n"))
}

// Guards against a node without a configuration that has no limits yet.
func TestSidecarOutlivesCrowdsBeforeItsConfiguration(t *testing.T) {
	for _, kind := range []string{"tiny fields", "endless field", "endless bodies"} {
		t.Run(strings.ReplaceAll(kind, " ", "_"), func(t *testing.T) {
			n := startSidecar(t, maxFds)
			if !n.eventually(func() bool { return n.ordinary() == http.StatusServiceUnavailable }) {
				t.Fatal("the node does not answer before its configuration")
			}
			time.AfterFunc(crowdTime+time.Second, n.publish)
			n.endure("callers", crowdSize, memoryMb<<10, maxFds, kinds[kind])
		})
	}
}

// Guards against a crowd that takes the descriptors which the node needs for the store, other nodes and its backend
// server.
func TestSidecarKeepsDescriptors(t *testing.T) {
	for _, c := range []struct{ listener, kind string }{{"callers", "silent connections"}, {"callers", "tiny fields in limits"},
		{"peers", "silent connections"}, {"operators", "silent connections"}, {"control", "silent connections"}} {
		t.Run(c.listener+"/"+strings.ReplaceAll(c.kind, " ", "_"), func(t *testing.T) {
			startSettled(t, fewFds).endure(c.listener, 2*fewFds, memoryMb<<10, fewFds, kinds[c.kind])
		})
	}
}

// Guards against limits that refuse a client which stays inside those of the configuration.
func TestRequestsInsideTheLimitsAreServed(t *testing.T) {
	n := startSettled(t, maxFds)
	n.mustServe("head of tiny fields", headOfTinyFields("/"), "")
	// The pause is below headerTimeoutMs of the configuration.
	n.mustServe("slow head", requestLine+"X-Attempt-Id: 1\r\n", "X-Deadline-Ms: 5000\r\nContent-Length: 0\r\n\r\n")
	body := strings.Repeat("x", 4<<20)
	n.mustServe("body of 4 MiB", fmt.Sprintf("%sX-Attempt-Id: 1\r\nX-Deadline-Ms: 9000\r\nContent-Length: %d\r\n\r\n", requestLine, len(body)), body)
}

// mustServe sends one request in two parts with a pause between them, and checks that it is answered with 200.
func (n *node) mustServe(what, first, second string) {
	n.t.Helper()
	c, err := net.Dial("tcp", n.address("callers"))
	if err != nil {
		n.t.Fatal(err)
	}
	defer c.Close()
	_, err = io.WriteString(c, first)
	if err == nil && second != "" {
		time.Sleep(1500 * time.Millisecond)
		_, err = io.WriteString(c, second)
	}
	if err != nil {
		n.t.Errorf("%s: %v", what, err)
		return
	}
	_ = c.SetReadDeadline(time.Now().Add(waitTimeout)) // Fails only if the connection is closed.
	status := make([]byte, len("HTTP/1.1 200"))
	if _, err := io.ReadFull(c, status); err != nil || string(status) != "HTTP/1.1 200" {
		n.t.Errorf("%s: answer %q, error %v, want status 200", what, status, err)
	}
}
