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

// watchedListener accepts connections that call hook after each read that returned data.
type watchedListener struct {
	net.Listener
	hook func()
}

type watchedConn struct {
	net.Conn
	hook func()
}

func (l watchedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &watchedConn{c, l.hook}, err
}

func (c *watchedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.hook()
	}
	return n, err
}

// idleServer starts an HTTP server whose connections are tracked by idleConns and that calls hook after each read.
func idleServer(t *testing.T, hook func(*idleConns)) (*idleConns, *http.Client, string) {
	idle := newIdleConns(directory.NewState())
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // The requests of these tests have no body.
	}))
	srv.Listener = watchedListener{srv.Listener, func() { hook(idle) }}
	srv.Config.ConnState = idle.track
	srv.Start()
	t.Cleanup(srv.Close)
	return idle, &http.Client{Transport: &http.Transport{}}, srv.URL
}

// Guards against a request that is aborted because the idle timeout of its connection passes while it is being read.
func TestIdleLimitCutsNoRequest(t *testing.T) {
	var late atomic.Bool
	_, client, url := idleServer(t, func(c *idleConns) {
		if late.Load() {
			c.closeIdle(time.Now().Add(time.Hour))
		}
	})
	for i := range 3 {
		late.Store(i > 0)
		resp, err := client.Post(url, "text/plain", http.NoBody)
		if err != nil {
			t.Fatalf("request %d: %v", i, err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
}

// Guards against idle connections that are never closed and hold memory.
func TestIdleConnectionsAreEnded(t *testing.T) {
	idle, _, url := idleServer(t, func(*idleConns) {})
	conn, err := net.Dial("tcp", url[len("http://"):])
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	in := bufio.NewReader(conn)
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	for waiting := true; waiting; time.Sleep(time.Millisecond) {
		idle.mu.Lock()
		waiting = len(idle.since) == 0
		idle.mu.Unlock()
	}
	idle.closeIdle(time.Now().Add(defaultIdle))
	idle.mu.Lock()
	kept := len(idle.since)
	idle.mu.Unlock()
	if kept != 1 {
		t.Fatal("a connection was closed before its idle timeout")
	}
	idle.closeIdle(time.Now().Add(defaultIdle + 2*idleSlack))
	if err := conn.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := in.ReadByte(); err != io.EOF {
		t.Errorf("error %v from an idle connection, want io.EOF", err)
	}
}
