package main

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/directory"
)

// readHookListener accepts connections that call hook after each read that returned data.
type readHookListener struct {
	net.Listener
	hook func()
}

type readHookConn struct {
	net.Conn
	hook func()
}

func (l readHookListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &readHookConn{c, l.hook}, err
}

func (c *readHookConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.hook()
	}
	return n, err
}

// startIdleTestServer starts an HTTP server whose connections are tracked by an idleConnCloser and that calls hook
// after each read.
func startIdleTestServer(t *testing.T, hook func(*idleConnCloser)) (*idleConnCloser, *http.Client, string) {
	closer := newIdleConnCloser(directory.NewState())
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // The requests of these tests have no body.
	}))
	srv.Listener = readHookListener{srv.Listener, func() { hook(closer) }}
	srv.Config.ConnState = closer.track
	srv.Start()
	t.Cleanup(srv.Close)
	return closer, &http.Client{Transport: &http.Transport{}}, srv.URL
}

// Guards against a request that is aborted because the idle timeout of its connection passes while it is being read.
func TestIdleLimitCutsNoRequest(t *testing.T) {
	var expireNow atomic.Bool
	_, client, url := startIdleTestServer(t, func(c *idleConnCloser) {
		if expireNow.Load() {
			c.closeIdle(time.Now().Add(time.Hour))
		}
	})
	for i := range 3 {
		expireNow.Store(i > 0)
		resp, err := client.Post(url, "text/plain", http.NoBody)
		if err != nil {
			t.Fatalf("request %d: %v", i, err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
}

// Guards against idle connections that are never closed and hold memory.
func TestIdleConnectionsAreClosed(t *testing.T) {
	closer, _, url := startIdleTestServer(t, func(*idleConnCloser) {})
	conn, err := net.Dial("tcp", url[len("http://"):])
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	reader := bufio.NewReader(conn)
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	for waiting := true; waiting; time.Sleep(time.Millisecond) {
		closer.mu.Lock()
		waiting = len(closer.idleSince) == 0
		closer.mu.Unlock()
	}
	closer.closeIdle(time.Now().Add(defaultIdleTimeout))
	closer.mu.Lock()
	remaining := len(closer.idleSince)
	closer.mu.Unlock()
	if remaining != 1 {
		t.Fatal("a connection was closed before its idle timeout")
	}
	closer.closeIdle(time.Now().Add(defaultIdleTimeout + 2*idleTimeoutMargin))
	if err := conn.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := reader.ReadByte(); err != io.EOF {
		t.Errorf("error %v from an idle connection, want io.EOF", err)
	}
}
