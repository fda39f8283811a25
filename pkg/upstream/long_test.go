package upstream

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/idempotency"
)

// slowWriter delays each write by delay, as a writer does whose goroutine is not scheduled at once, and counts the bytes that
// are written.
type slowWriter struct {
	net.Conn
	delay   time.Duration
	written *atomic.Int64
}

func (c slowWriter) Write(p []byte) (int, error) {
	time.Sleep(c.delay)
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	return n, err
}

// newLongPost returns a request whose body does not fit into the write buffer.
func newLongPost(id string, size int) *Exchange {
	ex := newPost(id, "")
	ex.Request.Body, ex.Request.ContentLength = io.NopCloser(bytes.NewReader(make([]byte, size))), int64(size)
	ex.Deadline = time.Now().Add(5 * time.Second)
	return ex
}

// Guards against reporting a long request as not run while its writer still sends it. A faulty server sends bytes that belong
// to no response; they arrive before the first byte of the request is written, or after it.
func TestLongRequestIsNotRunOnlyIfNoByteFollows(t *testing.T) {
	for name, delay := range map[string]time.Duration{"before the first byte": 20 * time.Millisecond, "while it is sent": 0} {
		t.Run(name, func(t *testing.T) {
			var written atomic.Int64
			pool := NewPool(Settings{Dial: func(ctx context.Context, _ string) (net.Conn, error) {
				near, far := net.Pipe()
				t.Cleanup(func() { near.Close(); far.Close() })
				go io.WriteString(far, "and more bytes, which belong to no answer\r\n\r\n") //nolint:errcheck // the test fails without them
				go io.Copy(io.Discard, far)                                                 //nolint:errcheck // ends with the pipe
				return slowWriter{Conn: near, delay: delay, written: &written}, nil
			}})
			for range 50 {
				written.Store(0)
				res := pool.Do(t.Context(), "desk", newLongPost("a", 64<<10))
				time.Sleep(2 * delay) // A writer that goes on has sent its next part by then.
				sent := written.Load()
				want := idempotency.OutcomeUnknown
				if sent == 0 {
					want = idempotency.OutcomeNotRun
				}
				if res.Response != nil || res.Outcome != want {
					t.Fatalf("%d bytes of the request were sent: %+v, want outcome %d", sent, res, want)
				}
			}
		})
	}
}

// Guards against a long request that cannot be encoded and holds its caller until the deadline, since no response follows.
func TestLongRequestThatCannotBeEncodedFailsAtOnce(t *testing.T) {
	addr := serve(t, func(int, *http.Request, net.Conn) {})
	pool := NewPool(Settings{})
	defer pool.CloseIdle()
	ex := newLongPost("a", 64<<10)
	ex.Request.URL.RawQuery = "line\nbreak"
	ex.Deadline = time.Now().Add(time.Hour)
	done := make(chan Result, 1)
	go func() { done <- pool.Do(t.Context(), addr, ex) }()
	select {
	case res := <-done:
		if res.Failure != FailRequest || res.Outcome != idempotency.OutcomeNotRun {
			t.Errorf("%+v, want failure request with outcome not run", res)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("the exchange goes on")
	}
}

// Guards against a connection that fails while a body is written and that counts as a request that cannot be encoded: the
// response that the server may have sent before would not be read.
func TestFailedWriteOfABodyIsAFailedWrite(t *testing.T) {
	for name, size := range map[string]int{"short": 1000, "long": 64 << 10} {
		pool := NewPool(Settings{Dial: func(context.Context, string) (net.Conn, error) {
			near, far := net.Pipe()
			t.Cleanup(func() { near.Close(); far.Close() })
			time.AfterFunc(50*time.Millisecond, func() { io.WriteString(far, rawResponse("a", "early")) }) //nolint:errcheck // the test fails without it
			return &failingConn{Conn: near, limit: size / 2}, nil
		}})
		ex := newLongPost("a", size)
		ex.EchoHeader = "X-Id"
		switch res := pool.Do(t.Context(), "desk", ex); name {
		case "short":
			if res.Failure != FailWrite || res.Outcome != idempotency.OutcomeUnknown {
				t.Errorf("%+v, want failure write with an unknown outcome", res)
			}
		case "long":
			if res.Response == nil || string(res.Response.Body) != "early" {
				t.Errorf("%+v, want the response that was sent before", res)
			}
		}
	}
}

// Guards against another request being sent where the rest of a long body is due: a server answers before it has read the
// body, keeps the connection and reads on later. Writing the body fails, is stopped, or ends just before or after the answer.
func TestConnectionOfAnUnfinishedBodyIsNotUsedAgain(t *testing.T) {
	const size = 64 << 20
	for name, c := range map[string]struct {
		// answerAt is when the server answers, and deadline when the exchange ends.
		answerAt, deadline time.Duration
		length             int
	}{
		"answer at the deadline":       {250 * time.Millisecond, 300 * time.Millisecond, 2},
		"answer long before":           {0, 5 * time.Second, 2},
		"streamed answer at the end":   {250 * time.Millisecond, 300 * time.Millisecond, 200 << 10},
		"streamed answer, long before": {0, 5 * time.Second, 200 << 10},
	} {
		t.Run(name, func(t *testing.T) {
			foreign := make(chan []byte, 1)
			addr := serve(t, func(_ int, r *http.Request, conn net.Conn) {
				if r.ContentLength < size {
					_, _ = io.WriteString(conn, rawResponse(r.Header.Get("X-Id"), "own"))
					return
				}
				_ = conn.(*net.TCPConn).SetReadBuffer(64 << 10) // The test holds with any size below that of the body.
				time.Sleep(c.answerAt)
				_, _ = io.WriteString(conn, rawResponse("long", string(make([]byte, c.length))))
				time.Sleep(200 * time.Millisecond)
				body, _ := io.ReadAll(r.Body)
				if i := bytes.IndexFunc(body, func(b rune) bool { return b != 'd' }); i >= 0 {
					foreign <- body[i:min(len(body), i+200)]
				}
				close(foreign)
			})
			pool := NewPool(Settings{})
			defer pool.CloseIdle()
			ex := newGet("long")
			ex.Request.Method, ex.Request.ContentLength = http.MethodPost, size
			ex.Request.Body = io.NopCloser(bytes.NewReader(bytes.Repeat([]byte("d"), size)))
			ex.Deadline = time.Now().Add(c.deadline)
			res := pool.Do(t.Context(), addr, ex)
			if res.Response == nil {
				t.Fatalf("%+v, want the early answer", res)
			}
			if r := res.Response.Remainder; r != nil {
				if _, err := io.Copy(io.Discard, r); err != nil {
					t.Log(err) // At the deadline, the rest of the answer may be late.
				}
				r.Close()
			}
			for range 3 {
				if next := pool.Do(t.Context(), addr, newGet("next")); next.Response == nil {
					t.Errorf("%+v, want a response to the next request", next)
				}
			}
			if bytes, ok := <-foreign; ok {
				t.Errorf("the body is continued with %q", bytes)
			}
		})
	}
}
