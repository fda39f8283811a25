// Package forwarder provides a TCP forwarder for tests that can close or delay the connections through it or discard
// their bytes.
package forwarder

import (
	"net"
	"sync"
	"time"
)

// Mode tells what the forwarder does with connections and their bytes.
type Mode int

// Modes of a forwarder.
const (
	// Pass forwards bytes in both directions.
	Pass Mode = iota
	// Cut closes open connections, and new ones as soon as they are accepted.
	Cut
	// Silent discards all further bytes of the connections that are open when the mode is set, without closing them. It
	// forwards the bytes of new connections.
	Silent
	// Blackhole accepts new connections and discards the bytes of all connections.
	Blackhole
)

const bufferBytes = 32 << 10

// Forwarder forwards connections from its own address to a target address.
type Forwarder struct {
	listener net.Listener
	target   string

	mu   sync.Mutex
	mode Mode
	// sourceModes overrides the mode for connections from single IP addresses.
	sourceModes map[string]Mode
	delay       time.Duration
	links       map[*link]struct{}
}

// link is one forwarded connection.
type link struct {
	client, server net.Conn
	source         string
	// discard states that the bytes of both directions are discarded. Once set, it stays set.
	discard bool
}

// New starts a forwarder on a free loopback port.
func New(target string) (*Forwarder, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f := &Forwarder{listener: l, target: target, sourceModes: make(map[string]Mode), links: make(map[*link]struct{})}
	go f.acceptConnections()
	return f, nil
}

// Addr returns the address on which the forwarder listens.
func (f *Forwarder) Addr() string { return f.listener.Addr().String() }

// Close stops listening and closes all connections.
func (f *Forwarder) Close() {
	_ = f.listener.Close()
	f.SetMode(Cut)
}

// SetDelay delays each forwarded chunk of bytes by d.
func (f *Forwarder) SetDelay(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay = d
}

// SetMode changes the mode for all open and new connections. A connection whose bytes are already discarded is not
// forwarded again.
func (f *Forwarder) SetMode(m Mode) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.mode = m
	clear(f.sourceModes)
	for l := range f.links {
		l.setMode(m)
	}
}

// SetSourceMode changes the mode for open and new connections from one IP address until the next call of SetMode.
func (f *Forwarder) SetSourceMode(source string, m Mode) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sourceModes[source] = m
	for l := range f.links {
		if l.source == source {
			l.setMode(m)
		}
	}
}

// modeOf returns the mode for a source IP address. The caller must hold f.mu.
func (f *Forwarder) modeOf(source string) Mode {
	if m, ok := f.sourceModes[source]; ok {
		return m
	}
	return f.mode
}

func (l *link) setMode(m Mode) {
	switch m {
	case Cut:
		l.close()
	case Silent, Blackhole:
		l.discard = true
	}
}

func (l *link) close() {
	_ = l.client.Close()
	if l.server != nil {
		_ = l.server.Close()
	}
}

func (f *Forwarder) acceptConnections() {
	for {
		c, err := f.listener.Accept()
		if err != nil {
			return
		}
		go f.handle(c)
	}
}

func (f *Forwarder) handle(client net.Conn) {
	source, _, _ := net.SplitHostPort(client.RemoteAddr().String())
	f.mu.Lock()
	mode := f.modeOf(source)
	f.mu.Unlock()
	if mode == Cut {
		_ = client.Close()
		return
	}
	server, err := net.Dial("tcp", f.target)
	if err != nil {
		_ = client.Close()
		return
	}
	l := &link{client: client, server: server, source: source, discard: mode == Blackhole}
	f.mu.Lock()
	if f.modeOf(source) == Cut {
		// The mode has changed since the connection was accepted.
		l.close()
	}
	f.links[l] = struct{}{}
	f.mu.Unlock()
	var directions sync.WaitGroup
	directions.Add(2)
	go func() { defer directions.Done(); f.copy(l, server, client) }()
	go func() { defer directions.Done(); f.copy(l, client, server) }()
	directions.Wait()
	f.mu.Lock()
	delete(f.links, l)
	f.mu.Unlock()
}

// copy forwards bytes in one direction. It keeps reading from a link whose bytes are discarded, so that the sender's
// writes succeed.
func (f *Forwarder) copy(l *link, dst, src net.Conn) {
	defer l.close()
	buf := make([]byte, bufferBytes)
	for {
		n, err := src.Read(buf)
		if n > 0 && !f.forward(l, dst, buf[:n]) {
			return
		}
		if err != nil {
			return
		}
	}
}

func (f *Forwarder) forward(l *link, dst net.Conn, chunk []byte) bool {
	f.mu.Lock()
	discard, delay := l.discard, f.delay
	f.mu.Unlock()
	if discard {
		return true
	}
	if delay > 0 {
		time.Sleep(delay)
	}
	_, err := dst.Write(chunk)
	return err == nil
}
