package platform

import (
	"context"
	"net"
	"net/http"
	"sync"
)

// MemoryServer serves a Server over in-memory connections, which also work in a testing/synctest bubble.
type MemoryServer struct {
	server   *http.Server
	listener *memoryListener
	wg       sync.WaitGroup
}

// ServeInMemory starts serving over in-memory connections. Use Dial as the dial function of a client, and call Close at
// the end.
func (s *Server) ServeInMemory() *MemoryServer {
	m := &MemoryServer{
		server:   &http.Server{Handler: s},
		listener: &memoryListener{conns: make(chan net.Conn), closed: make(chan struct{})},
	}
	m.wg.Go(func() { _ = m.server.Serve(m.listener) })
	return m
}

// Dial opens a connection to the server.
func (m *MemoryServer) Dial(ctx context.Context, _, _ string) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case m.listener.conns <- server:
		return client, nil
	case <-m.listener.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Close stops the server and closes its connections.
func (m *MemoryServer) Close() {
	_ = m.server.Close()
	m.wg.Wait()
}

// memoryListener accepts the server ends of the connections. conns is unbuffered, so Dial blocks until Accept.
type memoryListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memoryListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *memoryListener) Addr() net.Addr { return memoryAddress{} }

type memoryAddress struct{}

func (memoryAddress) Network() string { return "memory" }

func (memoryAddress) String() string { return "memory" }
