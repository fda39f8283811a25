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
	links  map[string]*link
	closed bool
	stop   chan struct{}
	wg     sync.WaitGroup
}

// link is the connection to one address. The channel ready is closed when dialing has succeeded or failed.
type link struct {
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
	p := &Pool{settings: settings.withDefaults(), metrics: set, links: make(map[string]*link), stop: make(chan struct{}),
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
	links := p.links
	p.links = make(map[string]*link)
	p.mu.Unlock()
	close(p.stop)
	for _, l := range links {
		go func() { <-l.ready; l.close() }()
	}
	p.wg.Wait()
}

// Call implements Caller.
func (p *Pool) Call(ctx context.Context, addr, method string, args, reply any) error {
	if _, ok := ctx.Deadline(); !ok {
		return fault.New(fault.Internal, method, "called without a deadline", "give the context a deadline")
	}
	l, err := p.link(ctx, addr)
	if err != nil {
		return unavailable(method, addr, err)
	}
	l.addInFlight(1)
	defer l.addInFlight(-1)
	return p.do(ctx, l, method, args, reply)
}

// do makes one call on the connection. It receives the response in a separate value, because net/rpc may still decode
// into that value after the context has ended.
func (p *Pool) do(ctx context.Context, l *link, method string, args, reply any) error {
	answer := reflect.New(reflect.TypeOf(reply).Elem())
	select {
	case l.writeLock <- struct{}{}:
	case <-ctx.Done():
		return p.abandon(ctx, l, method)
	}
	l.conn.callDeadline, _ = ctx.Deadline()
	call := l.client.Go(method, args, answer.Interface(), make(chan *rpc.Call, 1))
	<-l.writeLock
	select {
	case <-call.Done:
	case <-ctx.Done():
		return p.abandon(ctx, l, method)
	}
	if call.Error == nil {
		reflect.ValueOf(reply).Elem().Set(answer.Elem())
		return nil
	}
	var remote rpc.ServerError
	if errors.As(call.Error, &remote) {
		return decodeError(method, string(remote))
	}
	p.drop(l)
	if fault.Is(call.Error, fault.Limited) {
		return call.Error
	}
	return unavailable(method, l.addr, call.Error)
}

// abandon returns the error of a call whose context has ended. A missed deadline closes the connection. A cancelled
// call leaves it open for other calls.
func (p *Pool) abandon(ctx context.Context, l *link, method string) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		p.metrics.Counter("control.client.deadline_missed").Inc(1)
		p.drop(l)
	}
	return unavailable(method, l.addr, ctx.Err())
}

func unavailable(method, addr string, err error) error {
	return fault.Wrap(fault.Unavailable, method+" at "+addr, err, "check that the peer runs and that the network path is open")
}

// link returns the open connection to addr, or dials. Concurrent callers share one dial.
func (p *Pool) link(ctx context.Context, addr string) (*link, error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, net.ErrClosed
	}
	l := p.links[addr]
	if l == nil || l.isClosed() {
		l = &link{addr: addr, ready: make(chan struct{}), writeLock: make(chan struct{}, 1), lastUsed: time.Now()}
		p.links[addr] = l
		go p.dial(l)
	}
	p.mu.Unlock()
	select {
	case <-l.ready:
		return l, l.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (p *Pool) dial(l *link) {
	defer close(l.ready)
	ctx, cancel := context.WithTimeout(context.Background(), p.settings.DialTimeout)
	defer cancel()
	conn, err := p.settings.Dial(ctx, l.addr)
	if err != nil {
		l.err = err
		p.remove(l)
		return
	}
	p.metrics.Counter("control.client.dials").Inc(1)
	l.conn = newFrameConn(conn, p.settings.MaxFrame, p.settings.WriteTimeout, 0, p.counters)
	l.client = rpc.NewClientWithCodec(&clientCodec{frameConn: l.conn})
}

func (p *Pool) remove(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.links[l.addr] == l {
		delete(p.links, l.addr)
	}
}

// drop closes a connection and removes it from the pool.
func (p *Pool) drop(l *link) {
	p.remove(l)
	l.close()
}

// isClosed reports whether dialing failed or the connection is known to be closed. The reader of net/rpc notices that
// first.
func (l *link) isClosed() bool {
	select {
	case <-l.ready:
		return l.err != nil || l.conn.broken.Load()
	default:
		return false
	}
}

func (l *link) close() {
	if l.client != nil {
		// The connection is closed first, because Client.Close waits for a write in progress.
		l.conn.close()
		l.client.Close()
	}
}

// addInFlight adds n to the calls in progress: 1 when a call starts and -1 when it ends.
func (l *link) addInFlight(n int) {
	l.mu.Lock()
	l.lastUsed = time.Now()
	l.inFlight += n
	l.mu.Unlock()
}
