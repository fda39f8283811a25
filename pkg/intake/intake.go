// Package intake bounds what clients can make a process hold before their requests are admitted: request heads, bytes
// that wait in the receive buffers of sockets, answers that nobody reads, and connections. One Budget is shared by all
// listeners of a process. Over a bound, the largest or longest unfinished request is closed or refused; a request that a
// handler works on is closed only if its client has stopped to read or to be read.
package intake

import (
	"context"
	"net"
	"runtime/debug"
	"runtime/metrics"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/monsoonlatch/monsoonlatch/pkg/config"
	"github.com/monsoonlatch/monsoonlatch/pkg/event"
	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
)

const (
	// DefaultMemory is the memory of the VM if the settings name none: that of the smallest VM.
	DefaultMemory = 184 << 20
	// DefaultHeaderBytes and DefaultHeaderTimeout limit a request head if the configuration doesn't.
	DefaultHeaderBytes   = 1 << 20
	DefaultHeaderTimeout = 15 * time.Second

	// headDivisor yields the memory for unfinished heads from that of the VM, and again that for the heads of requests
	// that handlers work on.
	headDivisor = 8
	// unreadDivisor yields the memory for bytes in the receive buffers of connections that nobody reads at present.
	unreadDivisor = 8
	// connectionDivisor yields the memory for connections, of which each takes connectionBytes: two goroutine stacks, two
	// buffers of net/http, and what its head may hold without a charge.
	connectionDivisor = 4
	connectionBytes   = 24 << 10
	// descriptorParts and memoryParts split the descriptors and the memory for connections among the listeners: those of a
	// node have one class for callers, two for other nodes and two local ones. The parts of the descriptors that no class takes are for the connections to backend
	// servers, other nodes and the store, and for files.
	descriptorParts = 16
	memoryParts     = 16
	// nodeConnectionFactor divides connectionBytes for connections from other nodes: most of them are idle and hold a stack
	// and a buffer only. At 296 nodes, each with two connections to a node, a bound for full ones would close idle
	// connections all the time.
	nodeConnectionFactor = 2
	// nodeHeadBytes is room for the headers of the mesh.
	nodeHeadBytes = 64 << 10
	// minConnections is the smallest bound of a class.
	minConnections = 8

	// byteCost is the memory that a byte of a head takes: the reader's buffer, the parsed strings and a copy.
	byteCost = 3
	// fieldCost is the memory that a field of a head takes beside its bytes: an entry of the map with its growth, the
	// slice of values and garbage. Measured: 115 bytes for each of 2,700 fields with short names.
	fieldCost = 256
	// freeBytes and freeFields are held by a head without a charge, so that ordinary requests touch no shared counter.
	freeBytes  = 4096
	freeFields = 64
	// readAhead is the size of the reader of net/http, which may read that much beyond a head.
	readAhead = 4096

	// receiveBuffer is the size of the receive buffer of a connection, the initial size under Linux. Without it the
	// kernel lets the buffer grow to megabytes for a client that sends faster than it is read.
	receiveBuffer = 64 << 10
	// longBodyBuffer is the receive buffer while a long body is read, so that a distant client can fill its link.
	longBodyBuffer = 1 << 20
	// longBodyCost is what it takes in the kernel, which doubles the size.
	longBodyCost = 2 * longBodyBuffer
	// longBodyDivisor yields the memory for buffers of that size.
	longBodyDivisor = 16

	// tick is the period of the checks of all connections.
	tick = 250 * time.Millisecond
	// timeoutMargin is added to the header timeout, so that a client that just meets it is served.
	timeoutMargin = time.Second
	// writeTimeout is how long a client may take nothing of its answer.
	writeTimeout = 15 * time.Second
	// bodyTimeout and bodyRate bound the time in which a body must be complete, where the server has no read timeout: a
	// sender gets bodyTimeout and the time that its bytes take at bodyRate bytes a tick.
	bodyTimeout = 15 * time.Second
	bodyRate    = 16 << 10
	// maxWrite is the size of the pieces in which answers are written, so that writeTimeout applies to each piece.
	maxWrite = 64 << 10
	// idleTimeout is how long a connection may wait without a byte of a request. It is longer than that of the server,
	// which closes the connection first.
	idleTimeout = 3 * time.Minute
	// displaceAfter is the time after which a waiting connection may be closed in favour of a new one.
	displaceAfter = 500 * time.Millisecond
	// calmTime is the time without any refusal after which unused memory is returned to the operating system.
	calmTime = 3 * time.Second
	// releasePeriod is the shortest time between two of these returns, each of which collects all garbage.
	releasePeriod = 10 * time.Second
	// releasesAfterCrowd is the number of returns after refusals: pools keep their objects for one more collection.
	releasesAfterCrowd = 2
	// releaseDivisor yields, from the memory of the VM, the growth that is worth a return.
	releaseDivisor = 16
	// logPeriod is the shortest time between two log events of the same kind.
	logPeriod = 10 * time.Second
)

// Limits are the limits of the configuration in force. For a zero value the default applies.
type Limits struct {
	HeaderBytes   int
	HeaderTimeout time.Duration
}

// LimitsOf returns the limits of a snapshot, which is nil before the first configuration.
func LimitsOf(snap *config.Snapshot) Limits {
	if snap == nil {
		return Limits{}
	}
	l := snap.Configuration.Limits
	return Limits{HeaderBytes: l.MaxHeaderBytes, HeaderTimeout: l.HeaderTimeout.Std()}
}

// Settings configures a Budget. Metrics is required.
type Settings struct {
	// Memory and Descriptors are those of the VM; 0 means DefaultMemory and the limit of the process.
	Memory      int64
	Descriptors int
	// Limits returns the limits in force; nil means the defaults.
	Limits  func() Limits
	Metrics *metric.Set
	Log     zerolog.Logger
}

// Budget is the bound for a process. It is a kernel service.
type Budget struct {
	settings Settings
	// reading is the memory of unfinished heads and frames, serving that of large heads that handlers work on, longBodies
	// that of enlarged receive buffers.
	reading, serving, longBodies atomic.Int64
	// headerBytes and now (in ticks) are renewed with each tick, so that connections need no lock and no clock.
	headerBytes, now atomic.Int64
	refused          [len(kinds)]atomic.Int64

	mu    sync.Mutex
	conns map[*Conn]struct{}

	cancel  context.CancelFunc
	done    chan struct{}
	logged  [len(kinds)]time.Time
	counted [len(kinds)]int64
	// lastRefusal, lastRelease, releases (those due after a crowd) and resident belong to the release of unused memory.
	releases                 int
	lastRefusal, lastRelease time.Time
	resident                 int64
	sample                   []metrics.Sample
}

// kind is the kind of a refusal.
type kind int

const (
	headTooLarge kind = iota
	headTimeout
	headMemory
	connections
	answerUnread
	requestUnread
	bodyTimedOut
)

// kinds gives the event of each kind, and either its reason or, for connections that are closed without an answer, its
// counter.
var kinds = [...]struct {
	reason  metric.Refusal
	counter string
	event   event.Event
}{
	headTooLarge:  {metric.RefusedHeadTooLarge, "", event.HeadTooLarge},
	headTimeout:   {metric.RefusedHeadTimeout, "", event.HeadTimeout},
	headMemory:    {metric.RefusedHeadMemory, "", event.HeadMemory},
	connections:   {"", "closed.connections", event.ConnectionsExceeded},
	answerUnread:  {"", "closed.answer_unread", event.AnswerUnread},
	requestUnread: {"", "closed.request_unread", event.RequestUnread},
	bodyTimedOut:  {"", "closed.body_timeout", event.BodyTimeout},
}

// New returns a budget.
func New(s Settings) *Budget {
	if s.Memory <= 0 {
		s.Memory = DefaultMemory
	}
	if s.Descriptors <= 0 {
		s.Descriptors = processDescriptors()
	}
	if s.Limits == nil {
		s.Limits = func() Limits { return Limits{} }
	}
	b := &Budget{settings: s, conns: make(map[*Conn]struct{}), done: make(chan struct{}),
		sample: []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}}
	for _, k := range kinds {
		if k.counter != "" {
			s.Metrics.Counter(k.counter) // Registers it, so that the metrics list it from the start.
		}
	}
	b.now.Store(1)
	b.headerBytes.Store(DefaultHeaderBytes)
	b.resident = b.residentBytes()
	return b
}

// defaultDescriptors is used if the limit of the process cannot be read.
const defaultDescriptors = 1024

func processDescriptors() int {
	var r syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &r); err != nil || r.Cur == 0 {
		return defaultDescriptors
	}
	return int(min(r.Cur, 1<<20))
}

// Class is a group of listeners with a bound on their connections, so that a crowd at one group does not lock out the
// clients of another. Each call of Callers, Nodes and Local returns a new class.
type Class struct {
	budget *Budget
	limit  int
	// extraHead is what a head may have beyond the limit of the configuration, in bytes.
	extraHead int64
	count     atomic.Int64
}

// Callers returns a class for the listener for callers.
func (b *Budget) Callers() *Class { return b.class(6, 6) }

// Nodes returns a class for one of the listeners for other nodes, which add headers of their own to a caller's head.
func (b *Budget) Nodes() *Class {
	cl := b.class(2, 4*nodeConnectionFactor)
	cl.extraHead = nodeHeadBytes
	return cl
}

// Local returns a class for listeners for the backend server, the platform or operators.
func (b *Budget) Local() *Class { return b.class(1, 1) }

func (b *Budget) class(descriptors, memory int64) *Class {
	limit := min(int64(b.settings.Descriptors)*descriptors/descriptorParts,
		b.settings.Memory/connectionDivisor/connectionBytes*memory/memoryParts)
	return &Class{budget: b, limit: int(max(limit, minConnections))}
}

// Name implements kernel.Service.
func (b *Budget) Name() string { return "intake" }

// Start starts the periodic checks.
func (b *Budget) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	b.cancel = cancel
	go b.run(ctx)
	return nil
}

// Stop ends the periodic checks.
func (b *Budget) Stop(context.Context) error {
	b.cancel()
	<-b.done
	return nil
}

func (b *Budget) run(ctx context.Context) {
	defer close(b.done)
	t := time.NewTicker(tick)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			b.check(now)
		}
	}
}

// ticks converts a time to a number of ticks, rounded up.
func ticks(d time.Duration) int64 { return int64((d + tick - 1) / tick) }

// check closes the connections that exceed a time or the bound on unread bytes, writes the log events that are due, and
// returns unused memory.
func (b *Budget) check(now time.Time) {
	n := b.now.Add(1)
	limits := b.settings.Limits()
	if limits.HeaderBytes <= 0 {
		limits.HeaderBytes = DefaultHeaderBytes
	}
	if limits.HeaderTimeout <= 0 {
		limits.HeaderTimeout = DefaultHeaderTimeout
	}
	b.headerBytes.Store(int64(limits.HeaderBytes))
	b.mu.Lock()
	conns := make([]*Conn, 0, len(b.conns))
	for c := range b.conns {
		conns = append(conns, c)
	}
	b.mu.Unlock()
	headTicks := ticks(limits.HeaderTimeout + timeoutMargin)
	for _, c := range conns {
		w := c.writing.Load()
		switch {
		case w > 0 && n-w > ticks(writeTimeout):
			c.cut(answerUnread)
		case c.bodyLate(n):
			c.cut(bodyTimedOut)
		case c.framed || c.phase.Load() != phaseHead:
		case c.started.Load() && n-c.since.Load() > headTicks:
			c.refuseHead(headTimeout, "408 Request Timeout")
		case !c.started.Load() && n-c.since.Load() > ticks(idleTimeout):
			c.evict(headTimeout)
		}
	}
	b.checkUnread(conns, n)
	b.writeEvents(now)
	b.releaseMemory(now)
}

// checkUnread closes the connections with the most unread bytes that nobody reads at present, while all of them together
// exceed the bound.
func (b *Budget) checkUnread(conns []*Conn, now int64) {
	sum, sizes := int64(0), make(map[*Conn]int64)
	for _, c := range conns {
		if now-c.lastRead.Load() < 2 || c.phase.Load() == phaseHead && !c.framed {
			continue
		}
		if size := c.unread(); size > 0 {
			sizes[c] = size
			sum += size
		}
	}
	for sum > b.settings.Memory/unreadDivisor {
		var largest *Conn
		for c, size := range sizes {
			if largest == nil || size > sizes[largest] {
				largest = c
			}
		}
		if largest == nil {
			return
		}
		sum -= sizes[largest]
		delete(sizes, largest)
		largest.cut(requestUnread)
	}
}

// reserve charges c with n more bytes of unfinished heads. While the budget is exceeded, it closes the connection with the
// largest charge. It returns false if that is c.
func (b *Budget) reserve(c *Conn, n int64) bool {
	c.charge.Add(n)
	b.reading.Add(n)
	for b.reading.Load() > b.settings.Memory/headDivisor {
		largest := b.largest()
		if largest == nil || largest == c {
			c.evict(headMemory)
			return false
		}
		largest.evict(headMemory)
	}
	return true
}

// largest returns the connection whose unfinished head or frame has the largest charge; nil if there is none.
func (b *Budget) largest() *Conn {
	b.mu.Lock()
	defer b.mu.Unlock()
	var largest *Conn
	charge := int64(0)
	for c := range b.conns {
		if n := c.charge.Load(); n > charge && c.phase.Load() == phaseHead {
			largest, charge = c, n
		}
	}
	return largest
}

// refuse counts one refusal.
func (b *Budget) refuse(k kind) {
	if reason := kinds[k].reason; reason != "" {
		b.settings.Metrics.CountRefusal(reason)
	} else {
		b.settings.Metrics.Counter(kinds[k].counter).Inc(1)
	}
	b.refused[k].Add(1)
}

func (b *Budget) writeEvents(now time.Time) {
	for k := range kinds {
		n := b.refused[k].Load()
		if n == b.counted[k] {
			continue
		}
		b.lastRefusal, b.releases = now, releasesAfterCrowd
		if now.Sub(b.logged[k]) < logPeriod {
			continue
		}
		e := kinds[k].event
		e.Write(e.Log(&b.settings.Log).Int64("refused", n-b.counted[k]).Int64("head_bytes", b.reading.Load()))
		b.counted[k], b.logged[k] = n, now
	}
}

func (b *Budget) residentBytes() int64 {
	metrics.Read(b.sample)
	return int64(b.sample[0].Value.Uint64()) - int64(b.sample[1].Value.Uint64())
}

// releaseMemory returns unused memory to the operating system after a crowd. By itself the runtime collects garbage only
// when new memory is allocated, or after two minutes.
func (b *Budget) releaseMemory(now time.Time) {
	if b.lastRefusal.IsZero() || now.Sub(b.lastRefusal) < calmTime || now.Sub(b.lastRelease) < releasePeriod {
		return
	}
	resident := b.residentBytes()
	if b.releases == 0 && resident < b.resident+b.settings.Memory/releaseDivisor {
		b.resident = min(b.resident, resident)
		return
	}
	b.releases = max(b.releases-1, 0)
	debug.FreeOSMemory()
	b.lastRelease, b.resident = now, b.residentBytes()
}

// Listener returns a listener whose connections are bounded. A nil class bounds nothing.
func (cl *Class) Listener(ln net.Listener) net.Listener {
	if cl == nil {
		return ln
	}
	return &listener{Listener: ln, class: cl}
}

// FrameListener returns a listener for connections that carry frames instead of HTTP. Their users charge frames with
// Conn.Reserve, Conn.BeginCall and Conn.EndCall.
func (cl *Class) FrameListener(ln net.Listener) net.Listener {
	if cl == nil {
		return ln
	}
	return &listener{Listener: ln, class: cl, framed: true}
}

type listener struct {
	net.Listener
	class  *Class
	framed bool
}

// Accept returns the next connection. Over the bound it closes a waiting connection, or else the new one.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if int(l.class.count.Load()) >= l.class.limit && !l.class.displace() {
			l.class.budget.refuse(connections)
			_ = nc.Close() // Nothing has been read or written.
			continue
		}
		return l.class.newConn(nc, l.framed), nil
	}
}

// displace closes one waiting connection: the one that has waited longest for its first request, else the one that has
// been idle longest.
func (cl *Class) displace() bool {
	b := cl.budget
	b.mu.Lock()
	var longest *Conn
	rank := func(c *Conn) int64 {
		r := b.now.Load() - c.since.Load()
		if r < ticks(displaceAfter) {
			return 0
		}
		if !c.served.Load() {
			r += 1 << 32
		}
		return r
	}
	for c := range b.conns {
		if c.class == cl && c.phase.Load() == phaseHead && c.calls.Load() == 0 && (!c.served.Load() || !c.started.Load()) && rank(c) > 0 && (longest == nil || rank(c) > rank(longest)) {
			longest = c
		}
	}
	b.mu.Unlock()
	return longest != nil && longest.evict(connections)
}
