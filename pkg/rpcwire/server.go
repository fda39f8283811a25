package rpcwire

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"runtime/debug"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/monsoonlatch/monsoonlatch/pkg/event"
	"github.com/monsoonlatch/monsoonlatch/pkg/fault"
	"github.com/monsoonlatch/monsoonlatch/pkg/intake"
	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
	"github.com/monsoonlatch/monsoonlatch/pkg/network"
)

// ServerSettings configures a server and the limits for its peers. Zero values mean the defaults.
type ServerSettings struct {
	// Address is the address that Start listens on.
	Address string
	// Networks are the networks that may connect. An empty list allows none.
	Networks network.Set
	// MaxFrame limits the size of a frame in bytes.
	MaxFrame     int
	WriteTimeout time.Duration
	// ReadTimeout is how long the server waits for the next request before it closes a connection. Clients probe idle
	// connections more often.
	ReadTimeout time.Duration
	// CallLimit limits the run time of one call.
	CallLimit time.Duration
	// MaxCalls limits the calls in progress on one connection. Further requests are not read until a call ends.
	MaxCalls int
	// MaxConnections limits the open connections. Further ones are closed at once.
	MaxConnections int
	// Class bounds the connections and the memory of unfinished frames; nil means no bound.
	Class *intake.Class
}

func (s ServerSettings) withDefaults() ServerSettings {
	setDefault(&s.MaxFrame, DefaultMaxFrame)
	setDefault(&s.WriteTimeout, DefaultWriteTimeout)
	setDefault(&s.ReadTimeout, time.Minute)
	setDefault(&s.CallLimit, 30*time.Second)
	setDefault(&s.MaxCalls, 256)
	setDefault(&s.MaxConnections, 4096)
	return s
}

func setDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

// Server answers net/rpc calls of other nodes.
type Server struct {
	settings ServerSettings
	log      zerolog.Logger
	metrics  *metric.Set
	rpc      *rpc.Server
	handlers map[string]func(ctx context.Context, args, reply any) error
	counters byteCounters

	ctx    context.Context
	cancel context.CancelFunc
	mu     sync.Mutex
	ln     net.Listener
	conns  map[net.Conn]struct{}
	wg     sync.WaitGroup
}

// pingMethod is registered on each server. Pools call it to probe connections.
const pingMethod = "Wire.Ping"

// Ping is the argument and the response of a liveness probe. net/rpc accepts exported types only.
type Ping struct{ N uint8 }

// NewServer returns a server without handlers.
func NewServer(settings ServerSettings, log zerolog.Logger, set *metric.Set) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{
		settings: settings.withDefaults(), log: log, metrics: set, rpc: rpc.NewServer(),
		handlers: make(map[string]func(context.Context, any, any) error), ctx: ctx, cancel: cancel,
		conns:    make(map[net.Conn]struct{}),
		counters: newByteCounters(set, "server"),
	}
	Handle(s, pingMethod, func(_ context.Context, args *Ping, reply *Ping) error { *reply = *args; return nil })
	return s
}

// Name implements kernel.Service.
func (s *Server) Name() string { return "control" }

// Start listens on the configured address and serves connections.
func (s *Server) Start(context.Context) error {
	ln, err := net.Listen("tcp", s.settings.Address)
	if err != nil {
		return fault.Wrap(fault.Unavailable, "listen for control calls", err, "free the address or configure another one")
	}
	s.Serve(s.settings.Class.FrameListener(ln))
	return nil
}

// Serve accepts connections from ln until Stop. It returns at once.
func (s *Server) Serve(ln net.Listener) {
	s.mu.Lock()
	s.ln = ln
	s.mu.Unlock()
	s.wg.Go(func() { s.accept(ln) })
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ln.Addr().String()
}

// Stop closes the listener and all connections and waits for the calls in progress.
func (s *Server) Stop(ctx context.Context) error {
	s.cancel()
	s.mu.Lock()
	if s.ln != nil {
		s.ln.Close()
	}
	for c := range s.conns {
		c.Close()
	}
	s.mu.Unlock()
	done := make(chan struct{})
	go func() { s.wg.Wait(); close(done) }()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return fault.Wrap(fault.Unavailable, "stop the control server", ctx.Err(), "allow a longer grace period")
	}
}

// Dispatch calls a handler within the same process, without a connection.
func (s *Server) Dispatch(ctx context.Context, method string, args, reply any) error {
	h, ok := s.handlers[method]
	if !ok {
		return fault.New(fault.NotFound, method, "unknown method", "check that both nodes run the same release")
	}
	return h(ctx, args, reply)
}

// acceptRetryDelay is the wait after a failed accept. Without it, a lasting failure, such as no free file descriptors,
// would occupy a whole processor.
const acceptRetryDelay = 50 * time.Millisecond

func (s *Server) accept(ln net.Listener) {
	for {
		conn, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) || s.ctx.Err() != nil {
			return
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		if !s.admit(conn) {
			conn.Close()
			continue
		}
		s.wg.Go(func() { s.serve(conn) })
	}
}

// admit records the connection, or returns false if its network or the number of connections does not allow it.
func (s *Server) admit(conn net.Conn) bool {
	if !s.settings.Networks.Contains(conn.RemoteAddr().String()) {
		s.metrics.CountRefusal(metric.RefusedForbidden)
		e := event.ControlRefused
		e.Write(e.Log(&s.log).Str("remote", conn.RemoteAddr().String()))
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx.Err() != nil {
		return false
	}
	if len(s.conns) >= s.settings.MaxConnections {
		s.metrics.Counter("control.server.connections_refused").Inc(1)
		return false
	}
	s.conns[conn] = struct{}{}
	return true
}

func (s *Server) serve(conn net.Conn) {
	f := newFrameConn(conn, s.settings.MaxFrame, s.settings.WriteTimeout, s.settings.ReadTimeout, s.counters)
	s.rpc.ServeCodec(newServerCodec(f, s.settings.MaxCalls))
	s.mu.Lock()
	delete(s.conns, conn)
	s.mu.Unlock()
}

func (s *Server) recordPanic(method string, p any) {
	s.metrics.Counter("control.server.panics").Inc(1)
	e := event.ControlPanic
	e.Write(e.Log(&s.log).Str("method", method).Interface("panic", p).Bytes("stack", debug.Stack()))
}
