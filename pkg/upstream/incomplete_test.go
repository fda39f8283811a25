package upstream

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/idempotency"
)

// scriptedConn accepts accept bytes of a request, of which a write of more fails with writeErr. If reportLate is set, the write
// that reaches the limit accepts all its bytes and fails all the same. Reads return response and then readErr.
type scriptedConn struct {
	net.Conn
	accept     int
	writeErr   error
	reportLate bool
	response   *strings.Reader
	readErr    error
}

func (c *scriptedConn) Write(p []byte) (int, error) {
	n := min(c.accept, len(p))
	c.accept -= n
	switch {
	case n == len(p):
		return n, nil
	case c.reportLate:
		n = len(p)
	}
	return n, &net.OpError{Op: "write", Err: c.writeErr}
}

func (c *scriptedConn) Read(p []byte) (int, error) {
	if c.response.Len() > 0 {
		return c.response.Read(p)
	}
	return 0, &net.OpError{Op: "read", Err: c.readErr}
}

func (c *scriptedConn) Close() error                     { return nil }
func (c *scriptedConn) SetDeadline(time.Time) error      { return nil }
func (c *scriptedConn) SetReadDeadline(time.Time) error  { return nil }
func (c *scriptedConn) SetWriteDeadline(time.Time) error { return nil }

// Guards against "not run" for a request of which the server may have got the last byte, and, from a server that starts only on
// complete requests, against an unknown outcome of one whose last byte the kernel has not accepted. Requests of both lengths
// break at each place: before, in and after the head, at the last byte, and after it.
func TestOutcomeOfIncompleteRequests(t *testing.T) {
	for name, size := range map[string]int{"no body": 0, "short": 1000, "long": 20000} {
		length := encodedLength(t, size)
		for _, accept := range []int{0, 1, 50, length / 2, length - 1, length, length + 1} {
			for _, c := range []struct {
				writeErr, readErr error
				reportLate        bool
				response          string
			}{
				{writeErr: syscall.ECONNRESET, readErr: io.EOF},
				{writeErr: syscall.EPIPE, readErr: syscall.ECONNRESET},
				{writeErr: syscall.ETIMEDOUT, readErr: syscall.ETIMEDOUT},
				{writeErr: os.ErrDeadlineExceeded, readErr: os.ErrDeadlineExceeded},
				{writeErr: syscall.EPIPE, readErr: io.EOF, response: "HTTP/1.1 200 OK\r\nMl-Request-Id: a\r\nContent-Length: 9\r\n\r\nbr"},
				{writeErr: syscall.EPIPE, readErr: io.EOF, response: "HTTP/1.1 400 Bad Request\r\nConnection: close\r\n\r\n"},
				{writeErr: syscall.EPIPE, readErr: io.EOF, response: "no response\r\n\r\n"},
				{writeErr: syscall.ECONNRESET, readErr: io.EOF, reportLate: true},
			} {
				for _, startsWhenComplete := range []bool{false, true} {
					conn := &scriptedConn{accept: accept, writeErr: c.writeErr, readErr: c.readErr, reportLate: c.reportLate, response: strings.NewReader(c.response)}
					pool := NewPool(Settings{Dial: func(context.Context, string) (net.Conn, error) { return conn, nil }})
					ex := postOfSize(size)
					ex.StartsWhenComplete, ex.RequireEcho = startsWhenComplete, true
					res := pool.Do(t.Context(), "desk", ex)
					want := idempotency.OutcomeUnknown
					if accept == 0 && !c.reportLate || startsWhenComplete && accept < length && !c.reportLate {
						want = idempotency.OutcomeNotRun
					}
					// A late report of a write that is not the last one leaves the rest unsent, which need not be told.
					early := c.reportLate && size > bufferSize
					if res.Response != nil || res.Outcome != want && !early {
						t.Errorf("%s, %d of %d bytes accepted, %+v, starts when complete %v: got %+v, want outcome %d", name, accept, length, c, startsWhenComplete, res, want)
					}
				}
			}
		}
	}
}

func postOfSize(size int) *Exchange {
	r := &http.Request{Method: http.MethodPost, URL: &url.URL{Path: "/deposits"}, Host: "desk", Header: http.Header{HeaderRequestID: {"a"}},
		Body: http.NoBody, ContentLength: int64(size)}
	if size > 0 {
		r.Body = io.NopCloser(bytes.NewReader(make([]byte, size)))
	}
	return &Exchange{Request: r, RequestID: "a"}
}

func encodedLength(t *testing.T, size int) int {
	var b bytes.Buffer
	if err := postOfSize(size).Request.Write(&b); err != nil {
		t.Fatal(err)
	}
	return b.Len()
}

// Guards against "not run" for a request that the node itself has encoded wrongly, after a part of it was sent: the body is longer
// than the head says, so that the server may have taken the request for complete.
func TestWronglyEncodedRequestIsUnknown(t *testing.T) {
	conn := &scriptedConn{accept: 1 << 20, response: strings.NewReader(""), readErr: io.EOF}
	pool := NewPool(Settings{Dial: func(context.Context, string) (net.Conn, error) { return conn, nil }})
	ex := postOfSize(20000)
	ex.Request.ContentLength, ex.StartsWhenComplete = 10000, true
	if res := pool.Do(t.Context(), "desk", ex); res.Response != nil || res.Outcome != idempotency.OutcomeUnknown {
		t.Errorf("got %+v, want an unknown outcome", res)
	}
}
