package strict

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// endingConn is a connection whose peer responds early and then ends it. A pending write gets the report of that before the
// reader finds the end of the stream, and returns after it.
type endingConn struct {
	net.Conn
	response *strings.Reader
	// report is the error that the write gets.
	report error
	// writing is closed by the first write, ended by the read that finds the end, and closed by Close or an expired deadline.
	writing, ended, closed          chan struct{}
	writingOnce, endOnce, closeOnce sync.Once
}

func newEndingConn(response string, report error) *endingConn {
	return &endingConn{response: strings.NewReader(response), report: report, writing: make(chan struct{}), ended: make(chan struct{}), closed: make(chan struct{})}
}

func (c *endingConn) Write(p []byte) (int, error) {
	c.writingOnce.Do(func() { close(c.writing) })
	select {
	case <-c.ended:
		return 0, &net.OpError{Op: "write", Err: c.report}
	case <-c.closed:
		return 0, os.ErrDeadlineExceeded
	}
}

func (c *endingConn) Read(p []byte) (int, error) {
	<-c.writing
	n, err := c.response.Read(p)
	if err == io.EOF {
		c.endOnce.Do(func() { close(c.ended) })
	}
	return n, err
}

func (c *endingConn) Close() error                     { c.closeOnce.Do(func() { close(c.closed) }); return nil }
func (c *endingConn) SetDeadline(time.Time) error      { return nil }
func (c *endingConn) SetReadDeadline(time.Time) error  { return nil }
func (c *endingConn) SetWriteDeadline(time.Time) error { return nil }

// Guards against a response without a length whose connection was reset while the request was still being written, and that
// counts as whole, and against losing one that was whole before the reset.
func TestEarlyResponseWhoseConnectionIsReset(t *testing.T) {
	for _, c := range []struct {
		report error
		whole  bool
	}{{syscall.ECONNRESET, false}, {syscall.ETIMEDOUT, false}, {syscall.EPIPE, true}} {
		for range 50 {
			transport := NewTransport(&http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) {
				return newEndingConn("HTTP/1.1 200 OK\r\n\r\npart", c.report), nil
			}})
			req, err := http.NewRequest(http.MethodPut, "http://store.example/objects/a", bytes.NewReader(make([]byte, 1<<20)))
			if err != nil {
				t.Fatal(err)
			}
			resp, err := transport.RoundTrip(req)
			if err != nil {
				if c.whole {
					t.Errorf("write fails with %v: %v", c.report, err)
				}
				continue
			}
			body, err := io.ReadAll(resp.Body)
			resp.Body.Close()
			if string(body) != "part" || (err == nil) != c.whole {
				t.Errorf("write fails with %v: read %q and error %v, want whole %v", c.report, body, err, c.whole)
			}
		}
	}
}
