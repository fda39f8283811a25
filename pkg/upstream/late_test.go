package upstream

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"testing"
	"time"
)

// serve starts a server that calls handle for each request. n counts the requests of a connection from 0; handle writes
// the response to c.
func serve(t *testing.T, handle func(n int, r *http.Request, c net.Conn)) (addr string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				br := bufio.NewReader(c)
				for n := 0; ; n++ {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					handle(n, r, c)
				}
			}()
		}
	}()
	return ln.Addr().String()
}

// newGet returns an idempotent request with an ID in the header X-Id. A response with this header must repeat the ID.
func newGet(id string) *Exchange {
	return &Exchange{RequestID: id, EchoHeader: "X-Id", SkipLateResponses: true, AllowUnframed: true, Idempotent: true, Deadline: time.Now().Add(5 * time.Second),
		Request: &http.Request{Method: http.MethodGet, URL: &url.URL{Path: "/"}, Host: "desk", Header: http.Header{"X-Id": {id}}}}
}

// rawResponse returns a complete response with the given ID, as sent on the connection.
func rawResponse(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// Guards against returning a late second response to an earlier request, which arrives where the response to the
// current request is expected: it must be skipped, and the request must get its own response.
func TestLateSecondAnswerIsSkipped(t *testing.T) {
	addr := serve(t, func(_ int, r *http.Request, c net.Conn) {
		id := r.Header.Get("X-Id")
		late := ""
		if id == "b" {
			late = rawResponse("a", "answer to a, again")
		}
		_, _ = io.WriteString(c, late+rawResponse(id, "answer to "+id))
	})
	pool := NewPool(Settings{})
	defer pool.CloseIdle()
	for _, id := range []string{"a", "b", "c"} {
		res := pool.Do(context.Background(), addr, newGet(id))
		if res.Response == nil || string(res.Response.Body) != "answer to "+id {
			t.Errorf("%s: got %+v, want its own response", id, res)
		}
	}
}

// Guards against rejecting a response without a length whose connection was closed normally, and against accepting one
// that was truncated by a connection reset.
func TestAnswerThatEndsWithItsConnection(t *testing.T) {
	addr := serve(t, func(_ int, r *http.Request, c net.Conn) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: "+r.Header.Get("X-Id")+"\r\n\r\nbody")
		if r.Header.Get("X-Id") == "reset" {
			time.Sleep(50 * time.Millisecond) // lets the client read the header first
			c.(*net.TCPConn).SetLinger(0)     //nolint:errcheck // the test fails if it has no effect
		}
		c.Close()
	})
	pool := NewPool(Settings{})
	defer pool.CloseIdle()
	if res := pool.Do(context.Background(), addr, newGet("whole")); res.Response == nil ||
		string(res.Response.Body) != "body" {
		t.Errorf("whole: got %+v, want the complete body", res)
	}
	if res := pool.Do(context.Background(), addr, newGet("reset")); res.Response != nil {
		t.Errorf("reset: got %+v, want no response", res.Response)
	}
}

// Guards against a hang or a misread request when a server responds before it has read a long body: the response must
// arrive at once, and the connection must not carry another request, which the server would read as the rest of the
// body.
func TestEarlyAnswerToALongBody(t *testing.T) {
	const size = 32 << 20
	stop := make(chan struct{})
	defer close(stop)
	addr := serve(t, func(n int, r *http.Request, c net.Conn) {
		if n > 0 {
			t.Error("the connection was used again")
			return
		}
		_, _ = io.WriteString(c, rawResponse(r.Header.Get("X-Id"), "early"))
		if r.ContentLength == size {
			<-stop
		}
	})
	pool := NewPool(Settings{})
	defer pool.CloseIdle()
	ex := newGet("long")
	ex.Request.Method, ex.Request.ContentLength, ex.Request.Body = http.MethodPut, size, io.NopCloser(bytes.NewReader(make([]byte, size)))
	start := time.Now()
	res := pool.Do(context.Background(), addr, ex)
	if res.Response == nil || string(res.Response.Body) != "early" || !time.Now().Before(ex.Deadline) {
		t.Fatalf("long: %+v after %v, want the early response before the deadline", res, time.Since(start))
	}
	if res = pool.Do(context.Background(), addr, newGet("next")); res.Response == nil {
		t.Errorf("next: got %+v, want a response", res)
	}
}
