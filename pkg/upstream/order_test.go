package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/idempotency"
)

// longBody is the size in bytes of the long request's body.
const longBody = 64 << 10

// longServer plays the server side of the connection that carries the long request.
type longServer struct {
	t    *testing.T
	conn net.Conn
	body io.Reader
}

// read reads n bytes of the body of the long request.
func (s *longServer) read(n int64) {
	if _, err := io.CopyN(io.Discard, s.body, n); err != nil {
		s.t.Errorf("the body ends before its byte %d: %v", n, err)
	}
}

func (s *longServer) answer(body string) { _, _ = io.WriteString(s.conn, rawResponse("long", body)) }

// Guards against another request being sent where the rest of a long body is due, and against a wrong outcome of the long
// request, for each order in which the response arrives, the writer ends or fails, the deadline passes, the caller leaves, and
// the pool closes its idle connections. The connection is used again only if the whole request was written.
func TestConnectionAfterEachOrderOfEvents(t *testing.T) {
	const deadline = time.Second
	streamed := strings.Repeat("r", 2*DefaultMaxBufferedBody)
	for name, c := range map[string]struct {
		serve func(s *longServer)
		// leaveAt and stopAt are when the caller leaves and when the pool closes its idle connections; zero means never.
		leaveAt, stopAt time.Duration
		// writable is the number of bytes after which writes fail; zero means that they don't.
		writable int
		reused   bool
		answered bool
		failure  Failure
	}{
		"the writer ends, then the response arrives": {reused: true, answered: true,
			serve: func(s *longServer) { s.read(longBody); s.answer("short") }},
		"the response arrives, then the writer ends soon": {reused: true, answered: true,
			serve: func(s *longServer) {
				s.read(longBody / 2)
				s.answer("short")
				time.Sleep(writerGrace / 2)
				s.read(longBody / 2)
			}},
		"the response arrives, the writer is blocked for long": {answered: true,
			serve: func(s *longServer) { s.read(longBody / 2); s.answer("short"); time.Sleep(deadline / 2) }},
		"the response arrives, then the deadline passes": {answered: true,
			serve: func(s *longServer) {
				s.read(longBody / 2)
				time.Sleep(deadline - writerGrace/2)
				s.answer("short")
				time.Sleep(deadline)
			}},
		"the response arrives, then the writer fails": {answered: true,
			serve: func(s *longServer) { s.read(longBody / 2); s.answer("short"); _ = s.conn.Close() }},
		"the response arrives, then the caller leaves": {answered: true, leaveAt: writerGrace,
			serve: func(s *longServer) {
				s.read(longBody / 2)
				time.Sleep(writerGrace / 2)
				s.answer("short")
				time.Sleep(deadline)
			}},
		"a streamed response begins, then the writer ends soon": {reused: true, answered: true,
			serve: func(s *longServer) {
				s.read(longBody / 2)
				go s.answer(streamed)
				time.Sleep(writerGrace / 2)
				s.read(longBody / 2)
			}},
		"a streamed response begins, the writer is blocked for long": {answered: true,
			serve: func(s *longServer) { s.read(longBody / 2); s.answer(streamed); time.Sleep(deadline / 2) }},
		"the writer fails, no response until the deadline": {failure: FailWrite, writable: longBody / 2,
			serve: func(*longServer) {}},
		"the writer ends, no response until the deadline": {failure: FailDeadline,
			serve: func(s *longServer) { s.read(longBody); time.Sleep(2 * deadline) }},
		"the writer is blocked, no response until the deadline": {failure: FailDeadline,
			serve: func(s *longServer) { s.read(longBody / 2); time.Sleep(2 * deadline) }},
		"the caller leaves while the body is written": {failure: FailCancelled, leaveAt: deadline / 2,
			serve: func(s *longServer) { s.read(longBody / 2); time.Sleep(2 * deadline) }},
		"the caller leaves after the body is written": {failure: FailCancelled, leaveAt: deadline / 2,
			serve: func(s *longServer) { s.read(longBody); time.Sleep(2 * deadline) }},
		"the pool closes idle connections while the body is written": {reused: true, answered: true, stopAt: deadline / 4,
			serve: func(s *longServer) {
				s.read(longBody / 2)
				time.Sleep(deadline / 2)
				s.read(longBody / 2)
				s.answer("short")
			}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				dials := 0
				var servers sync.WaitGroup
				pool := NewPool(Settings{Dial: func(context.Context, string) (net.Conn, error) {
					near, far := net.Pipe()
					dials++
					first := dials == 1
					if first && c.writable > 0 {
						near = &failingConn{Conn: near, limit: c.writable}
					}
					servers.Go(func() {
						defer far.Close()
						if !first {
							serveShort(t, bufio.NewReader(far), far)
							return
						}
						br := bufio.NewReader(far)
						r, err := http.ReadRequest(br)
						if c.writable > 0 {
							return // failingConn passes no byte on.
						}
						if err != nil {
							t.Errorf("the long request does not arrive: %v", err)
							return
						}
						c.serve(&longServer{t: t, conn: far, body: r.Body})
						if c.reused {
							serveShort(t, br, far)
							return
						}
						if rest, _ := io.ReadAll(r.Body); strings.Trim(string(rest), "d") != "" {
							t.Errorf("the body is continued with %.80q", strings.TrimLeft(string(rest), "d"))
						}
					})
					return near, nil
				}})
				ctx, leave := context.WithCancel(t.Context())
				defer leave()
				if c.leaveAt > 0 {
					time.AfterFunc(c.leaveAt, leave)
				}
				if c.stopAt > 0 {
					time.AfterFunc(c.stopAt, pool.CloseIdle)
				}
				ex := newGet("long")
				ex.Request.Method, ex.Request.ContentLength = http.MethodPost, longBody
				ex.Request.Body = io.NopCloser(strings.NewReader(strings.Repeat("d", longBody)))
				ex.Deadline = time.Now().Add(deadline)
				res := pool.Do(ctx, "desk", ex)
				if c.answered != (res.Response != nil) || res.Failure != c.failure {
					t.Errorf("%+v, want answered %v, failure %v", res, c.answered, c.failure)
				}
				if !c.answered && res.Outcome != idempotency.OutcomeUnknown {
					t.Errorf("outcome %d of a request of which a part was sent", res.Outcome)
				}
				if c.answered && res.Response.Remainder != nil {
					_, _ = io.Copy(io.Discard, res.Response.Remainder)
					_ = res.Response.Remainder.Close()
				}
				if next := pool.Do(t.Context(), "desk", newGet("next")); next.Response == nil {
					t.Errorf("%+v, want a response to the next request", next)
				}
				if reused := dials == 1; reused != c.reused {
					t.Errorf("the connection is used again: %v, want %v", reused, c.reused)
				}
				pool.CloseIdle()
				servers.Wait()
			})
		})
	}
}

// serveShort answers requests without a body until the connection ends.
func serveShort(t *testing.T, br *bufio.Reader, conn net.Conn) {
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if id := r.Header.Get("X-Id"); id != "next" {
			t.Errorf("request %q, want the next one", id)
		}
		_, _ = io.WriteString(conn, rawResponse(r.Header.Get("X-Id"), "short"))
	}
}
