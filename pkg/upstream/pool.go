package upstream

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/clock"
)

// Defaults of Settings.
const (
	// DefaultMaxNonIdempotentIdle is short because an idle connection can stop working without being closed, and a
	// non-idempotent request cannot be sent again on another one.
	DefaultMaxNonIdempotentIdle = time.Second
	// DefaultIdleTimeout is shorter than the idle timeout of the servers, so that the client closes the connection first.
	DefaultIdleTimeout     = 30 * time.Second
	DefaultDialTimeout     = time.Second
	DefaultMaxBufferedBody = 64 << 10
	// DefaultMaxIdleConnsPerHost is the maximum number of idle connections to one address.
	DefaultMaxIdleConnsPerHost = 64
)

// Settings of a Pool. Zero values mean the defaults.
type Settings struct {
	// MaxNonIdempotentIdle is the maximum time since the last response on a connection that carries a non-idempotent
	// request.
	MaxNonIdempotentIdle time.Duration
	IdleTimeout          time.Duration
	DialTimeout          time.Duration
	// MaxBufferedBody is the size in bytes up to which a response body is read completely before the response is
	// returned.
	MaxBufferedBody int
	// MaxKnownBody replaces MaxBufferedBody for a response whose length is known, if it is larger.
	MaxKnownBody        int
	MaxIdleConnsPerHost int
	// MaxConnsPerHost is the maximum number of connections to one address; 0 means no limit.
	MaxConnsPerHost int
	Clock           clock.Clock
	// Dial opens a connection; nil means TCP.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
}

func orDefault[T comparable](v, def T) T {
	var zero T
	if v == zero {
		return def
	}
	return v
}

func (s Settings) withDefaults() Settings {
	s.MaxNonIdempotentIdle = orDefault(s.MaxNonIdempotentIdle, DefaultMaxNonIdempotentIdle)
	s.IdleTimeout = orDefault(s.IdleTimeout, DefaultIdleTimeout)
	s.DialTimeout = orDefault(s.DialTimeout, DefaultDialTimeout)
	s.MaxBufferedBody = orDefault(s.MaxBufferedBody, DefaultMaxBufferedBody)
	s.MaxIdleConnsPerHost = orDefault(s.MaxIdleConnsPerHost, DefaultMaxIdleConnsPerHost)
	if s.Clock == nil {
		s.Clock = clock.System{}
	}
	if s.Dial == nil {
		var d net.Dialer
		s.Dial = func(ctx context.Context, addr string) (net.Conn, error) { return d.DialContext(ctx, "tcp", addr) }
	}
	return s
}

// Pool manages connections by address. It is safe for concurrent use.
type Pool struct {
	settings        Settings
	mu              sync.RWMutex
	hosts           map[string]*host
	maxConnsPerHost int
}

// host holds the connections to one address. Idle connections are ordered by the time of their last response, the
// oldest first. open counts idle connections and those in use.
type host struct {
	pool *Pool
	addr string
	mu   sync.Mutex
	idle []*conn
	open int
}

// NewPool returns an empty pool.
func NewPool(s Settings) *Pool {
	s = s.withDefaults()
	return &Pool{settings: s, hosts: make(map[string]*host), maxConnsPerHost: s.MaxConnsPerHost}
}

// SetMaxConnsPerHost changes the maximum number of connections to one address. It does not close existing connections.
func (p *Pool) SetMaxConnsPerHost(n int) {
	p.mu.Lock()
	p.maxConnsPerHost = n
	p.mu.Unlock()
}

// Run periodically closes connections that have been idle for too long. When ctx ends, it closes all idle connections.
func (p *Pool) Run(ctx context.Context) {
	tick := time.NewTicker(p.settings.IdleTimeout / 4)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			p.CloseExpired(p.settings.Clock.Now())
		case <-ctx.Done():
			p.CloseIdle()
			return
		}
	}
}

// CloseExpired closes connections that have been idle for longer than Settings.IdleTimeout.
func (p *Pool) CloseExpired(now time.Time) { p.closeBefore(now.Add(-p.settings.IdleTimeout)) }

// CloseIdle closes all idle connections.
func (p *Pool) CloseIdle() { p.closeBefore(p.settings.Clock.Now().Add(p.settings.IdleTimeout)) }

func (p *Pool) closeBefore(limit time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, h := range p.hosts {
		if h.closeBefore(limit) {
			delete(p.hosts, addr)
		}
	}
}

// closeBefore closes the idle connections whose last response arrived before limit. It reports whether the host has no
// connection left.
func (h *host) closeBefore(limit time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for n < len(h.idle) && h.idle[n].lastResponseAt.Before(limit) {
		h.idle[n].Close()
		n++
	}
	h.idle = append(h.idle[:0], h.idle[n:]...)
	h.open -= n
	return h.open == 0
}

// host returns the host for addr and the maximum number of connections to it.
func (p *Pool) host(addr string) (*host, int) {
	p.mu.RLock()
	h, max := p.hosts[addr], p.maxConnsPerHost
	p.mu.RUnlock()
	if h != nil {
		return h, max
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if h = p.hosts[addr]; h == nil {
		h = &host{pool: p, addr: addr}
		p.hosts[addr] = h
	}
	return h, p.maxConnsPerHost
}

// takeIdle returns a pooled connection that is suitable for the exchange, or nil.
func (h *host) takeIdle(ctx context.Context, ex *Exchange, now time.Time) *conn {
	for {
		c := h.popIdle(now, ex.Idempotent)
		if c == nil || (c.startExchange(ctx, ex) == nil && c.usable()) {
			return c
		}
		h.discard(c)
	}
}

// popIdle removes the most recently used idle connection from the pool, or returns nil if even that one has been idle
// for too long. A non-idempotent request needs a connection with a response within Settings.MaxNonIdempotentIdle.
func (h *host) popIdle(now time.Time, idempotent bool) *conn {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := len(h.idle) - 1
	if n < 0 {
		return nil
	}
	c := h.idle[n]
	age := now.Sub(c.lastResponseAt)
	if age > h.pool.settings.IdleTimeout || (!idempotent && age > h.pool.settings.MaxNonIdempotentIdle) {
		return nil
	}
	h.idle[n] = nil
	h.idle = h.idle[:n]
	return c
}

// dial opens a connection. If the limit is reached, the connection that has been idle longest is closed first.
func (h *host) dial(ctx context.Context, max int) (*conn, error) {
	if !h.reserve(max) {
		return nil, errConnectionLimit
	}
	ctx, cancel := context.WithTimeout(ctx, h.pool.settings.DialTimeout)
	defer cancel()
	nc, err := h.pool.settings.Dial(ctx, h.addr)
	if err != nil {
		h.mu.Lock()
		h.open--
		h.mu.Unlock()
		return nil, err
	}
	return newConn(nc, h), nil
}

// reserve counts a new connection, closing an idle one if necessary. It returns false if all of max connections are in
// use.
func (h *host) reserve(max int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if max > 0 && h.open >= max {
		if len(h.idle) == 0 {
			return false
		}
		h.idle[0].Close()
		h.idle = append(h.idle[:0], h.idle[1:]...)
		h.open--
	}
	h.open++
	return true
}

// discard closes a connection that is in use.
func (h *host) discard(c *conn) {
	c.detachBuffers()
	c.Close()
	h.mu.Lock()
	h.open--
	h.mu.Unlock()
}

// release returns a connection to the pool after a complete response. It closes the connection instead if unexpected
// data follows the response or the pool is full.
func (h *host) release(c *conn, now time.Time) {
	if c.br.Buffered() > 0 {
		h.discard(c)
		return
	}
	c.detachBuffers()
	c.lastResponseAt = now
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.idle) >= h.pool.settings.MaxIdleConnsPerHost {
		c.Close()
		h.open--
		return
	}
	h.idle = append(h.idle, c)
}
