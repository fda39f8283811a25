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

// PoolSettings bound the connections of a pool. Zero values mean the defaults.
type PoolSettings struct {
	MaxFrame     int
	WriteTimeout time.Duration
	DialTimeout  time.Duration
	// ProbeInterval is how long a connection may receive nothing before it is probed.
	ProbeInterval time.Duration
	// ProbeTimeout closes a connection whose probe is not answered in time.
	ProbeTimeout time.Duration
	// IdleTimeout closes a connection that no call has used for so long.
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

// link is the connection to one address. ready is closed when the dial has ended.
type link struct {
	addr   string
	ready  chan struct{}
	err    error
	client *rpc.Client
	frames *frames
	// writing is taken for each write, so that callers wait for a slow write no longer than their own deadlines.
	writing chan struct{}

	mu       sync.Mutex
	lastUsed time.Time
	inFlight int
	probing  bool
}

// NewPool returns an empty pool and starts its probes; Close ends them.
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
	l.use(1)
	defer l.use(-1)
	return p.do(ctx, l, method, args, reply)
}

// do waits for the answer in a value of its own: net/rpc may still decode into it after the context has ended.
func (p *Pool) do(ctx context.Context, l *link, method string, args, reply any) error {
	answer := reflect.New(reflect.TypeOf(reply).Elem())
	select {
	case l.writing <- struct{}{}:
	case <-ctx.Done():
		return p.missed(ctx, l, method)
	}
	l.frames.callDeadline, _ = ctx.Deadline()
	call := l.client.Go(method, args, answer.Interface(), make(chan *rpc.Call, 1))
	<-l.writing
	select {
	case <-call.Done:
	case <-ctx.Done():
		return p.missed(ctx, l, method)
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

// missed ends a call whose context has ended. The connection of a call that missed its deadline is closed; that of a
// cancelled call stays open for others.
func (p *Pool) missed(ctx context.Context, l *link, method string) error {
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
	if l == nil || l.dead() {
		l = &link{addr: addr, ready: make(chan struct{}), writing: make(chan struct{}, 1), lastUsed: time.Now()}
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
	l.frames = newFrames(conn, p.settings.MaxFrame, p.settings.WriteTimeout, 0, p.counters)
	l.client = rpc.NewClientWithCodec(&clientCodec{frames: l.frames})
}

func (p *Pool) remove(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.links[l.addr] == l {
		delete(p.links, l.addr)
	}
}

// drop closes a connection that must not be used again.
func (p *Pool) drop(l *link) {
	p.remove(l)
	l.close()
}

// dead reports whether the connection is known to be closed; the reader of net/rpc learns of it first.
func (l *link) dead() bool {
	select {
	case <-l.ready:
		return l.err != nil || l.frames.broken.Load()
	default:
		return false
	}
}

func (l *link) close() {
	if l.client != nil {
		// The connection is closed first: Client.Close would wait for a write in progress.
		l.frames.close()
		l.client.Close()
	}
}

// use counts a call that begins (1) or ends (-1).
func (l *link) use(n int) {
	l.mu.Lock()
	l.lastUsed = time.Now()
	l.inFlight += n
	l.mu.Unlock()
}
