package upstream

import (
	"errors"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/idempotency"
)

// endlessServer accepts connections, reads one request on each, and then writes a start and a repeated part until the
// connection is closed. It returns its address and the number of bytes written.
func endlessServer(t *testing.T, start, repeated string) (string, *atomic.Int64) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	var written atomic.Int64
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				if _, err := conn.Read(make([]byte, bufferSize)); err != nil {
					return
				}
				block := strings.Repeat(repeated, 1+bufferSize/len(repeated))
				for data := start + block; ; data = block {
					n, err := io.WriteString(conn, data)
					written.Add(int64(n))
					if err != nil {
						return
					}
				}
			}()
		}
	}()
	return ln.Addr().String(), &written
}

// Guards against a response head, or the body of a response to another request, that never ends and fills the memory or
// holds a slot of the backend server until the deadline.
func TestEndlessHeadEndsTheExchange(t *testing.T) {
	const socketBuffers = 16 << 20
	for name, c := range map[string]struct {
		start, repeated string
		want            Failure
	}{
		"no line end":          {"", "x", FailMalformed},
		"status line":          {"HTTP/1.1 200 ", "x", FailMalformed},
		"header lines":         {"HTTP/1.1 200 OK\r\n", "X-More: of the same\r\n", FailMalformed},
		"one header line":      {"HTTP/1.1 200 OK\r\nX-More: ", "x", FailMalformed},
		"interim responses":    {"", "HTTP/1.1 102 Processing\r\n\r\n", FailMalformed},
		"body of a late one":   {"HTTP/1.1 200 OK\r\n" + HeaderRequestID + ": other\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nmore\r\n", FailMismatch},
		"chunk size of a body": {"HTTP/1.1 200 OK\r\n" + HeaderRequestID + ": a\r\nTransfer-Encoding: chunked\r\n\r\n", "0", FailCut},
	} {
		t.Run(name, func(t *testing.T) {
			addr, written := endlessServer(t, c.start, c.repeated)
			pool := NewPool(Settings{})
			defer pool.CloseIdle()
			ex := newPost("a", "")
			ex.SkipLateResponses, ex.AllowUnframed, ex.Deadline = true, true, time.Now().Add(time.Hour)
			done := make(chan Result, 1)
			go func() { done <- pool.Do(t.Context(), addr, ex) }()
			select {
			case res := <-done:
				if res.Response != nil || res.Failure != c.want || res.Outcome != idempotency.OutcomeUnknown {
					t.Errorf("%+v, want failure %v with an unknown outcome", res, c.want)
				}
			case <-time.After(10 * time.Second):
				t.Fatal("the exchange goes on")
			}
			if n := written.Load(); n > socketBuffers {
				t.Errorf("%d bytes were taken from the server", n)
			}
		})
	}
}

// Guards against a response body that never ends and that looks complete to the caller, or is read beyond the deadline.
func TestEndlessBodyEndsAtTheDeadline(t *testing.T) {
	for name, framing := range map[string]struct{ header, repeated string }{
		"unframed": {"", "more"},
		"chunked":  {"Transfer-Encoding: chunked\r\n", "4\r\nmore\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			addr, _ := endlessServer(t, "HTTP/1.1 200 OK\r\n"+HeaderRequestID+": a\r\n"+framing.header+"\r\n", framing.repeated)
			pool := NewPool(Settings{})
			defer pool.CloseIdle()
			ex := newPost("a", "")
			ex.AllowUnframed, ex.Deadline = true, time.Now().Add(300*time.Millisecond)
			res := pool.Do(t.Context(), addr, ex)
			if res.Response == nil || res.Response.Remainder == nil {
				t.Fatalf("%+v, want a response with a remainder", res)
			}
			_, err := io.Copy(io.Discard, res.Response.Remainder)
			var timeout net.Error
			if !errors.As(err, &timeout) || !timeout.Timeout() {
				t.Errorf("the body ended with %v, want a timeout", err)
			}
			if err := res.Response.Remainder.Close(); err != nil {
				t.Error(err)
			}
		})
	}
}
