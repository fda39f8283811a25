package upstream

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/idempotency"
)

// orderedConn fixes which side of an exchange notices first that the server has ended the connection: without it, the scheduler
// decides. The server waits for received before it ends the connection.
type orderedConn struct {
	net.Conn
	writerFirst bool
	// begun happens once more of the request has been written than the server reads, received once a part of the response has
	// been read, readerEnded and writerEnded when a read or a write has failed, and stopped when the writes get a deadline in the
	// past.
	begun, received, readerEnded, writerEnded, stopped event
	sent                                               int
}

// event is something that happens at most once.
type event struct{ flag atomic.Bool }

func (e *event) happen()        { e.flag.Store(true) }
func (e *event) happened() bool { return e.flag.Load() }

// await waits for one of the events. It gives up after the deadline of an exchange, so that a test that fails ends.
func await(events ...*event) {
	for start := time.Now(); time.Since(start) < 10*time.Second; time.Sleep(time.Millisecond) {
		if slices.ContainsFunc(events, (*event).happened) {
			return
		}
	}
}

func (c *orderedConn) Read(p []byte) (int, error) {
	await(&c.begun)
	if c.writerFirst && c.received.happened() {
		await(&c.writerEnded)
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.received.happen()
	}
	if err != nil {
		c.readerEnded.happen()
	}
	return n, err
}

func (c *orderedConn) Write(p []byte) (int, error) {
	if !c.writerFirst && c.begun.happened() {
		await(&c.readerEnded, &c.stopped)
	}
	n, err := c.Conn.Write(p)
	if c.sent += n; c.sent > 2*bufferSize {
		c.begun.happen()
	}
	if err != nil {
		c.writerEnded.happen()
	}
	return n, err
}

func (c *orderedConn) SetWriteDeadline(t time.Time) error {
	if !t.IsZero() && !t.After(time.Now()) {
		c.stopped.happen()
	}
	return c.Conn.SetWriteDeadline(t)
}

// endings are the ways in which a server ends a connection on which it has not read the whole request.
var endings = map[string]func(*net.TCPConn){
	"reset":              func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() },
	"closed, not read":   func(c *net.TCPConn) { _ = c.Close() },
	"closed, then reset": func(c *net.TCPConn) { _ = c.CloseWrite(); _ = c.SetLinger(0); _ = c.Close() },
}

// Guards against a response without a length that counts as whole although its connection was reset while the request was still
// being written: the kernel reports a reset once, so that the reader sees a normal end if the writer got the report. Guards also
// against losing early responses that are whole.
func TestEarlyResponseWhoseConnectionEnds(t *testing.T) {
	const size = 1 << 20
	body := strings.Repeat("b", 3000)
	for name, c := range map[string]struct {
		framing, body string
		// wholeAfterReset and wholeAfterClose state whether the response is whole if its connection is reset, and if it is closed
		// first.
		wholeAfterReset, wholeAfterClose bool
	}{
		"no length":          {"", body, false, true},
		"length":             {"Content-Length: 3000\r\n", body, true, true},
		"length, cut":        {"Content-Length: 3001\r\n", body, false, false},
		"chunks":             {"Transfer-Encoding: chunked\r\n", "bb8\r\n" + body + "\r\n0\r\n\r\n", true, true},
		"chunks, cut":        {"Transfer-Encoding: chunked\r\n", "bb8\r\n" + body + "\r\n", false, false},
		"chunks, cut at end": {"Transfer-Encoding: chunked\r\n", "bb8\r\n" + body + "\r\n0\r\n", false, false},
	} {
		for ending, end := range endings {
			for _, writerFirst := range []bool{true, false} {
				for _, buffered := range []int{DefaultMaxBufferedBody, 1000} {
					t.Run(fmt.Sprintf("%s, %s, writer first %v, %d bytes buffered", name, ending, writerFirst, buffered), func(t *testing.T) {
						t.Parallel()
						conn := make(chan *orderedConn, 1)
						addr := serve(t, func(_ int, _ *http.Request, nc net.Conn) {
							server := nc.(*net.TCPConn)
							_ = server.SetReadBuffer(16 << 10)
							_, _ = io.WriteString(server, "HTTP/1.1 200 OK\r\nX-Id: a\r\n"+c.framing+"\r\n"+c.body)
							await(&(<-conn).received)
							end(server)
						})
						pool := NewPool(Settings{MaxBufferedBody: buffered, Dial: func(ctx context.Context, addr string) (net.Conn, error) {
							nc, err := new(net.Dialer).DialContext(ctx, "tcp", addr)
							if err != nil {
								return nil, err
							}
							_ = nc.(*net.TCPConn).SetWriteBuffer(16 << 10) // The request must not fit into the buffers.
							ordered := &orderedConn{Conn: nc, writerFirst: writerFirst}
							conn <- ordered
							return ordered, nil
						}})
						ex := newGet("a")
						ex.Request.Method, ex.Request.ContentLength = http.MethodPost, size
						ex.Request.Body = io.NopCloser(bytes.NewReader(make([]byte, size)))
						got, err := readWhole(pool.Do(t.Context(), addr, ex))
						want := c.wholeAfterReset
						if ending == "closed, then reset" {
							want = c.wholeAfterClose
						}
						if want && (err != nil || got != body) {
							t.Errorf("got %d bytes and error %v, want the whole response", len(got), err)
						}
						if !want && err == nil {
							t.Errorf("%d bytes count as a whole response", len(got))
						}
					})
				}
			}
		}
	}
}

// readWhole returns the body of the response, or an error if there is no whole response.
func readWhole(res Result) (string, error) {
	if res.Response == nil {
		return "", res.Err
	}
	body := res.Response.Body
	if rest := res.Response.Remainder; rest != nil {
		defer rest.Close()
		more, err := io.ReadAll(rest)
		if err != nil {
			return "", err
		}
		body = append(body, more...)
	}
	return string(body), nil
}

// gatedConn holds back the second write of a request until the server has ended the connection.
type gatedConn struct {
	net.Conn
	ended *event
	sent  int
}

func (c *gatedConn) Write(p []byte) (int, error) {
	if c.sent > 0 {
		await(c.ended)
	}
	n, err := c.Conn.Write(p)
	c.sent += n
	return n, err
}

// Guards against losing a whole response or refusal that the server has sent before it ended the connection, when the rest of a
// short request can't be written any more, and against one that is not whole.
func TestResponseBeforeTheRestOfAShortRequest(t *testing.T) {
	for name, c := range map[string]struct {
		response                string
		wholeReset, wholeClosed bool
	}{
		"length":         {rawResponse("a", "early"), true, true},
		"length, cut":    {"HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 6\r\n\r\nearly", false, false},
		"refusal":        {"HTTP/1.1 503 Full\r\nX-Id: a\r\nMl-Not-Run: 1\r\nContent-Length: 5\r\n\r\nearly", true, true},
		"chunks":         {"HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nearly\r\n0\r\n\r\n", true, true},
		"no length":      {"HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\nearly", false, true},
		"another's":      {rawResponse("b", "early"), false, false},
		"no response":    {"", false, false},
		"interim only":   {"HTTP/1.1 102 Processing\r\n\r\n", false, false},
		"part of a head": {"HTTP/1.1 200 OK\r\nX-Id: a\r\n", false, false},
	} {
		for ending, end := range endings {
			if ending == "closed, not read" {
				continue // The server has read all that was sent.
			}
			t.Run(name+", "+ending, func(t *testing.T) {
				t.Parallel()
				var ended event
				addr := serve(t, func(_ int, r *http.Request, nc net.Conn) {
					if r.ContentLength < 1 {
						_, _ = io.WriteString(nc, rawResponse("next", "next"))
						return
					}
					_, _ = io.WriteString(nc, c.response)
					end(nc.(*net.TCPConn))
					ended.happen()
				})
				dials := 0
				pool := NewPool(Settings{Dial: func(ctx context.Context, addr string) (net.Conn, error) {
					dials++
					nc, err := new(net.Dialer).DialContext(ctx, "tcp", addr)
					return &gatedConn{Conn: nc, ended: &ended}, err
				}})
				ex := newGet("a")
				ex.RequireEcho, ex.Request.Method, ex.Request.ContentLength = true, http.MethodPost, bufferSize
				ex.Request.Body = io.NopCloser(bytes.NewReader(make([]byte, bufferSize)))
				res := pool.Do(t.Context(), addr, ex)
				got, err := readWhole(res)
				want := c.wholeReset
				if ending == "closed, then reset" {
					want = c.wholeClosed
				}
				if want && (err != nil || got != "early") {
					t.Errorf("got %q and error %v, want the whole response", got, err)
				}
				if !want && (err == nil || res.Outcome != idempotency.OutcomeUnknown) {
					t.Errorf("got %+v, want no response and an unknown outcome", res)
				}
				if next := pool.Do(t.Context(), addr, newGet("next")); next.Response == nil || dials != 2 {
					t.Errorf("next request: %+v after %d connections, want a response on the second one", next, dials)
				}
			})
		}
	}
}
