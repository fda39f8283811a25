package rpcwire

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"reflect"
	"sync"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/fault"
	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
)

// PoolSettings configures a pool. Zero values mean the defaults.
type PoolSettings struct {
	// MaxFrame limits the size of a frame in bytes.
	MaxFrame     int
	WriteTimeout time.Duration
	DialTimeout  time.Duration
	// ProbeInterval is the time without received data after which a connection is probed.
	ProbeInterval time.Duration
	// ProbeTimeout is the time after which an unanswered probe closes the connection.
	ProbeTimeout time.Duration
	// IdleTimeout is the time without calls after which a connection is closed.
	IdleTimeout time.Duration
	// Dial opens a connection; nil means TCP.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
}

func (s PoolSettings) withDefaults() PoolSettings {
	setDefault(&s.MaxFrame, DefaultMaxFrame)
	setDefault(&s.WriteTimeout, DefaultWriteTimeout)
	setDefault(&s.DialTimeout, time.Second)
	setDefault(&s.ProbeInterval, 5*time.Second)
	setDefault(&s.ProbeTimeout, time.Second)
	setDefault(&s.IdleTimeout, 30*time.Second)
	if s.Dial == nil {
		s.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
			var d net.Dialer
			return d.DialContext(ctx, "tcp", addr)
		}
	}
	return s
}

// Pool keeps one connection for each address and implements Caller. Calls to one address share the connection.
type Pool struct {
	settings PoolSettings
	metrics  *metric.Set
	counters byteCounters

	mu     sync.Mutex
	conns  map[string]*pooledConn
	closed bool
	stop   chan struct{}
	wg     sync.WaitGroup
}

// pooledConn is the connection to one address. The channel ready is closed when dialing has succeeded or failed.
type pooledConn struct {
	addr   string
	ready  chan struct{}
	err    error
	client *rpc.Client
	conn   *frameConn
	// writeLock is the lock for writes. It is a channel so that callers can stop waiting for it at their own deadlines.
	writeLock chan struct{}

	mu       sync.Mutex
	lastUsed time.Time
	inFlight int
	probing  bool
}

// NewPool returns an empty pool and starts its probe loop; Close ends it.
func NewPool(settings PoolSettings, set *metric.Set) *Pool {
	p := &Pool{settings: settings.withDefaults(), metrics: set, conns: make(map[string]*pooledConn), stop: make(chan struct{}),
		counters: newByteCounters(set, "client")}
	p.wg.Go(p.probeLoop)
	return p
}

// Close closes all connections; calls in progress fail.
func (p *Pool) Close() {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return
	}
	p.closed = true
	conns := p.conns
	p.conns = make(map[string]*pooledConn)
	p.mu.Unlock()
	close(p.stop)
	for _, c := range conns {
		go func() { <-c.ready; c.close() }()
	}
	p.wg.Wait()
}

// Call implements Caller.
func (p *Pool) Call(ctx context.Context, addr, method string, args, reply any) error {
	if _, ok := ctx.Deadline(); !ok {
		return fault.New(fault.Internal, method, "called without a deadline", "give the context a deadline")
	}
	c, err := p.connect(ctx, addr)
	if err != nil {
		return unavailable(method, addr, err)
	}
	c.addInFlight(1)
	defer c.addInFlight(-1)
	return p.do(ctx, c, method, args, reply)
}

// do makes one call on the connection. It receives the response in a separate value, because net/rpc may still decode
// into that value after the context has ended.
func (p *Pool) do(ctx context.Context, c *pooledConn, method string, args, reply any) error {
	received := reflect.New(reflect.TypeOf(reply).Elem())
	select {
	case c.writeLock <- struct{}{}:
	case <-ctx.Done():
		return p.abandon(ctx, c, method)
	}
	c.conn.callDeadline, _ = ctx.Deadline()
	call := c.client.Go(method, args, received.Interface(), make(chan *rpc.Call, 1))
	<-c.writeLock
	select {
	case <-call.Done:
	case <-ctx.Done():
		return p.abandon(ctx, c, method)
	}
	if call.Error == nil {
		reflect.ValueOf(reply).Elem().Set(received.Elem())
		return nil
	}
	var remote rpc.ServerError
	if errors.As(call.Error, &remote) {
		return decodeError(method, string(remote))
	}
	p.drop(c)
	if fault.Is(call.Error, fault.Limited) {
		return call.Error
	}
	return unavailable(method, c.addr, call.Error)
}

// abandon returns the error of a call whose context has ended. A missed deadline closes the connection. A cancelled
// call leaves it open for other calls.
func (p *Pool) abandon(ctx context.Context, c *pooledConn, method string) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		p.metrics.Counter("control.client.deadline_missed").Inc(1)
		p.drop(c)
	}
	return unavailable(method, c.addr, ctx.Err())
}

func unavailable(method, addr string, err error) error {
	return fault.Wrap(fault.Unavailable, method+" at "+addr, err, "check that the peer runs and that the network path is open")
}

// connect returns the open connection to addr, or dials. Concurrent callers share one dial.
func (p *Pool) connect(ctx context.Context, addr string) (*pooledConn, error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, net.ErrClosed
	}
	c := p.conns[addr]
	if c == nil || c.isClosed() {
		c = &pooledConn{addr: addr, ready: make(chan struct{}), writeLock: make(chan struct{}, 1), lastUsed: time.Now()}
		p.conns[addr] = c
		go p.dial(c)
	}
	p.mu.Unlock()
	select {
	case <-c.ready:
		return c, c.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (p *Pool) dial(c *pooledConn) {
	defer close(c.ready)
	ctx, cancel := context.WithTimeout(context.Background(), p.settings.DialTimeout)
	defer cancel()
	conn, err := p.settings.Dial(ctx, c.addr)
	if err != nil {
		c.err = err
		p.remove(c)
		return
	}
	p.metrics.Counter("control.client.dials").Inc(1)
	c.conn = newFrameConn(conn, p.settings.MaxFrame, p.settings.WriteTimeout, 0, p.counters)
	c.client = rpc.NewClientWithCodec(&clientCodec{frameConn: c.conn})
}

func (p *Pool) remove(c *pooledConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns[c.addr] == c {
		delete(p.conns, c.addr)
	}
}

// drop closes a connection and removes it from the pool.
func (p *Pool) drop(c *pooledConn) {
	p.remove(c)
	c.close()
}

// isClosed reports whether dialing failed or the connection is known to be closed. The reader of net/rpc notices that
// first.
func (c *pooledConn) isClosed() bool {
	select {
	case <-c.ready:
		return c.err != nil || c.conn.broken.Load()
	default:
		return false
	}
}

func (c *pooledConn) close() {
	if c.client != nil {
		// The connection is closed first, because Client.Close waits for a write in progress.
		c.conn.close()
		c.client.Close()
	}
}

// addInFlight adds n to the calls in progress: 1 when a call starts and -1 when it ends.
func (c *pooledConn) addInFlight(n int) {
	c.mu.Lock()
	c.lastUsed = time.Now()
	c.inFlight += n
	c.mu.Unlock()
}
