package rpcwire

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/monsoonlatch/monsoonlatch/pkg/fault"
	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
)

// Text is exported because net/rpc accepts exported types only.
type Text struct{ S string }

var loopback = []netip.Prefix{netip.MustParsePrefix("127.0.0.0/8")}

func testServer(t *testing.T, s ServerSettings) (*Server, *metric.Set) {
	set := metric.NewSet()
	srv := NewServer(s, zerolog.Nop(), set)
	Handle(srv, "T.Echo", func(_ context.Context, a, r *Text) error { *r = *a; return nil })
	Handle(srv, "T.Panic", func(context.Context, *Text, *Text) error { panic("broken handler") })
	Handle(srv, "T.Refuse", func(context.Context, *Text, *Text) error { return fault.New(fault.Stale, "t", "old", "ask again") })
	Handle(srv, "T.Hang", func(ctx context.Context, _, _ *Text) error { <-ctx.Done(); return ctx.Err() })
	t.Cleanup(func() { _ = srv.Stop(context.Background()) })
	return srv, set
}

func startServer(t *testing.T, s ServerSettings) (*Server, *metric.Set) {
	srv, set := testServer(t, s)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv.Serve(ln)
	return srv, set
}

func newPool(t *testing.T, s PoolSettings) (*Pool, *metric.Set) {
	set := metric.NewSet()
	p := NewPool(s, set)
	t.Cleanup(p.Close)
	return p, set
}

func call(p *Pool, d time.Duration, addr, method, arg string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	var reply Text
	err := p.Call(ctx, addr, method, &Text{arg}, &reply)
	return reply.S, err
}

const longTimeout = 20 * time.Second

// Guards against a panic or an error of a handler that ends the process, closes the connection or loses its error kind.
func TestHandlerErrors(t *testing.T) {
	srv, set := startServer(t, ServerSettings{Networks: loopback})
	p, pset := newPool(t, PoolSettings{})
	if _, err := call(p, longTimeout, srv.Addr(), "T.Panic", ""); !fault.Is(err, fault.Internal) {
		t.Errorf("panic: error %v, want kind internal", err)
	}
	if _, err := call(p, longTimeout, srv.Addr(), "T.Refuse", ""); !fault.Is(err, fault.Stale) {
		t.Errorf("handler error: error %v, want kind stale", err)
	}
	if _, err := call(p, longTimeout, srv.Addr(), "T.Missing", ""); err == nil {
		t.Error("call of an unknown method succeeded")
	}
	if got, err := call(p, longTimeout, srv.Addr(), "T.Echo", "x"); err != nil || got != "x" {
		t.Errorf("echo after errors: %q, %v", got, err)
	}
	if n := pset.Snapshot()["control.client.dials"]; n != 1 {
		t.Errorf("%d dials, want 1", n)
	}
	if n := set.Snapshot()["control.server.panics"]; n != 1 {
		t.Errorf("%d panics counted, want 1", n)
	}
	if in, out := set.Snapshot()["control.server.bytes_in"], pset.Snapshot()["control.client.bytes_out"]; in == 0 || in != out {
		t.Errorf("server counted %d bytes in, client %d out", in, out)
	}
}

// Guards against a connection from a network that is not allowed reaching a handler.
func TestForbiddenNetwork(t *testing.T) {
	srv, set := startServer(t, ServerSettings{Networks: []netip.Prefix{netip.MustParsePrefix("10.0.0.0/8")}})
	p, _ := newPool(t, PoolSettings{})
	if _, err := call(p, longTimeout, srv.Addr(), "T.Echo", "x"); !fault.Is(err, fault.Unavailable) {
		t.Errorf("error %v, want unavailable", err)
	}
	if n := set.Snapshot()["refused.forbidden"]; n != 1 {
		t.Errorf("%d refusals counted, want 1", n)
	}
}

// Guards against a frame that makes the server allocate the size in its header unchecked, or that stops the server.
func TestBadFrames(t *testing.T) {
	srv, _ := startServer(t, ServerSettings{Networks: loopback, MaxFrame: 1 << 10})
	for name, frame := range map[string][]byte{
		"oversized": binary.BigEndian.AppendUint32(nil, 1<<31),
		"garbage":   append(binary.BigEndian.AppendUint32(nil, 8), "\x07\xff\x82\x01garb"...),
		"empty":     binary.BigEndian.AppendUint32(nil, 0),
	} {
		c, err := net.Dial("tcp", srv.Addr())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := c.Write(frame); err != nil {
			t.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, c); err != nil && !errors.Is(err, io.EOF) && !strings.Contains(err.Error(), "reset") {
			t.Errorf("%s: %v", name, err)
		}
		c.Close()
	}
	p, _ := newPool(t, PoolSettings{})
	if _, err := call(p, longTimeout, srv.Addr(), "T.Echo", "x"); err != nil {
		t.Errorf("echo after bad frames: %v", err)
	}
	if _, err := call(p, longTimeout, srv.Addr(), "T.Echo", strings.Repeat("x", 2<<10)); !fault.Is(err, fault.Unavailable) {
		t.Errorf("frame over the server's limit: %v, want unavailable", err)
	}
	small, _ := newPool(t, PoolSettings{MaxFrame: 1 << 10})
	if _, err := call(small, longTimeout, srv.Addr(), "T.Echo", strings.Repeat("x", 2<<10)); !fault.Is(err, fault.Limited) {
		t.Errorf("frame over the client's limit: %v, want limited", err)
	}
}

// forwarder is a TCP proxy. silenceConnections makes the open connections carry no more data, while new ones work.
type forwarder struct {
	ln    net.Listener
	mu    sync.Mutex
	stops map[net.Conn]chan struct{}
}

func startForwarder(t *testing.T, to string) *forwarder {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &forwarder{ln: ln, stops: make(map[net.Conn]chan struct{})}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			a, err := ln.Accept()
			if err != nil {
				return
			}
			b, err := net.Dial("tcp", to)
			if err != nil {
				a.Close()
				continue
			}
			stop := make(chan struct{})
			f.mu.Lock()
			f.stops[a] = stop
			f.mu.Unlock()
			t.Cleanup(func() { a.Close(); b.Close() })
			go copyUntil(a, b, stop)
			go copyUntil(b, a, stop)
		}
	}()
	return f
}

// copyUntil copies data until stop is closed, then discards it.
func copyUntil(from, to net.Conn, stop chan struct{}) {
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		select {
		case <-stop:
		default:
			_, _ = to.Write(buf[:n])
		}
	}
}

func (f *forwarder) silenceConnections() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c, stop := range f.stops {
		close(stop)
		delete(f.stops, c)
	}
}

// Guards against a pool that keeps using a connection that has stopped carrying data while new ones work.
func TestSilentConnectionIsReplaced(t *testing.T) {
	srv, _ := startServer(t, ServerSettings{Networks: loopback})
	f := startForwarder(t, srv.Addr())
	p, set := newPool(t, PoolSettings{ProbeInterval: time.Hour})
	addr := f.ln.Addr().String()
	if _, err := call(p, longTimeout, addr, "T.Echo", "x"); err != nil {
		t.Fatal(err)
	}
	f.silenceConnections()
	if _, err := call(p, 50*time.Millisecond, addr, "T.Echo", "x"); !fault.Is(err, fault.Unavailable) {
		t.Fatalf("call on a silent connection: %v, want unavailable", err)
	}
	if _, err := call(p, longTimeout, addr, "T.Echo", "x"); err != nil {
		t.Fatalf("call after the silent connection was closed: %v", err)
	}
	if n := set.Snapshot()["control.client.dials"]; n != 2 {
		t.Errorf("%d dials, want 2", n)
	}
}

// pipeDialer returns a dial function that connects to the server through net.Pipe, which works in virtual time. If
// unresponsive returns true, nothing reads from the other end of the new connection.
func pipeDialer(srv *Server, unresponsive func() bool) func(context.Context, string) (net.Conn, error) {
	return func(context.Context, string) (net.Conn, error) {
		a, b := net.Pipe()
		if unresponsive() {
			return a, nil
		}
		srv.mu.Lock()
		srv.conns[b] = struct{}{}
		srv.mu.Unlock()
		srv.wg.Go(func() { srv.serve(b) })
		return a, nil
	}
}

// Guards against a write to a peer that has stopped reading blocking the calls of all callers forever.
func TestWriteToStalledPeerEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		srv, _ := testServer(t, ServerSettings{})
		unresponsive := true
		p, set := newPool(t, PoolSettings{Dial: pipeDialer(srv, func() bool { return unresponsive })})
		var wg sync.WaitGroup
		for range 3 {
			wg.Go(func() {
				if _, err := call(p, time.Minute, "a", "T.Echo", "x"); !fault.Is(err, fault.Unavailable) {
					t.Errorf("call to a peer that does not read: %v, want unavailable", err)
				}
			})
		}
		wg.Wait()
		unresponsive = false
		if _, err := call(p, time.Second, "a", "T.Echo", "x"); err != nil {
			t.Errorf("call on a new connection: %v", err)
		}
		if n := set.Snapshot()["control.client.dials"]; n > 4 {
			t.Errorf("%d dials, want at most one per call", n)
		}
	})
}

// Guards against an idle connection that has stopped carrying data, which only the next call would detect, and against
// an idle connection that is never closed.
func TestIdleConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		srv, _ := testServer(t, ServerSettings{})
		p, set := newPool(t, PoolSettings{Dial: pipeDialer(srv, func() bool { return false })})
		if _, err := call(p, time.Second, "a", "T.Echo", "x"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Second)
		if n := set.Snapshot()["control.client.probes"]; n == 0 {
			t.Error("an idle connection was not probed")
		}
		if n := set.Snapshot()["control.client.probes_failed"]; n != 0 {
			t.Errorf("%d probes of a working connection failed", n)
		}
		time.Sleep(20 * time.Second)
		if n := len(p.listConns()); n != 0 {
			t.Errorf("%d connections open after the idle timeout", n)
		}
		unresponsive, sset := newPool(t, PoolSettings{Dial: pipeDialer(srv, func() bool { return true }), WriteTimeout: time.Hour})
		go call(unresponsive, time.Hour, "a", "T.Echo", "x")
		time.Sleep(10 * time.Second)
		if n := sset.Snapshot()["control.client.probes_failed"]; n == 0 {
			t.Error("the probe of a silent connection did not fail")
		}
	})
}

// Guards against a cancelled call that closes the connection which other calls use, and against a missed deadline that
// does not close it.
func TestCancelAndDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		srv, _ := testServer(t, ServerSettings{CallLimit: 10 * time.Second})
		p, set := newPool(t, PoolSettings{Dial: pipeDialer(srv, func() bool { return false })})
		ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
		go func() { time.Sleep(time.Second); cancel() }()
		if err := p.Call(ctx, "a", "T.Hang", &Text{}, &Text{}); !errors.Is(err, context.Canceled) {
			t.Errorf("cancelled call: %v", err)
		}
		if _, err := call(p, time.Second, "a", "T.Echo", "x"); err != nil {
			t.Error(err)
		}
		if n := set.Snapshot()["control.client.dials"]; n != 1 {
			t.Errorf("%d dials after a cancelled call, want 1", n)
		}
		if _, err := call(p, time.Second, "a", "T.Hang", ""); !fault.Is(err, fault.Unavailable) {
			t.Errorf("missed deadline: %v, want unavailable", err)
		}
		if n := len(p.listConns()); n != 0 {
			t.Errorf("%d connections open after a missed deadline", n)
		}
		if err := p.Call(context.Background(), "a", "T.Echo", &Text{}, &Text{}); !fault.Is(err, fault.Internal) {
			t.Errorf("call without a deadline: %v, want internal", err)
		}
	})
}
