package idempotency

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"github.com/monsoonlatch/monsoonlatch/pkg/clock"
	"github.com/monsoonlatch/monsoonlatch/pkg/config"
	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
	"github.com/monsoonlatch/monsoonlatch/pkg/platform"
	"github.com/monsoonlatch/monsoonlatch/pkg/rpcwire"
)

// Defaults of Options.
const (
	// DefaultSlack covers a missed poll of 10 s at the node and a missed exchange of 10 s at each of two relays.
	DefaultSlack = 30 * time.Second
	// DefaultSettle is the settling time of a new instance.
	DefaultSettle = 3 * time.Second
	// DefaultClaimTimeout bounds one call to a holder.
	DefaultClaimTimeout = 500 * time.Millisecond
	// DefaultPlatformRate is the number of platform claims per second of a node. The crash of one instance of 34 moves
	// 2/34 of a service's keys to platform claims, spread over all homes.
	DefaultPlatformRate rate.Limit = 5
	// DefaultPlatformBurst lets a herd of waiting requests through at once.
	DefaultPlatformBurst = 20
	// rosterReuse spaces the preparation of rosters while the membership does not change.
	rosterReuse = time.Second
	// outboxSize bounds outcomes and withdrawals on their way to holders. When it is full, they are dropped: the holder
	// keeps the record running, and a later claimant asks this node.
	outboxSize = 1024
	// outboxWorkers keeps one silent holder from delaying the outcomes for others.
	outboxWorkers = 4
	// defaultWait bounds a request without a deadline.
	defaultWait = 30 * time.Second
)

// Options configures a Node. Self, Service, View, Caller and Store are required.
type Options struct {
	// Self returns the node's identity; its incarnation rises when the node announces itself again.
	Self    func() Claimant
	Service string
	View    membership.HistoryView
	Caller  rpcwire.Caller
	Store   platform.Store
	Clock   clock.Clock
	Metrics *metric.Set
	Log     zerolog.Logger
	// MaxWindow is the longest window of a request; the history must reach back for Memory.
	MaxWindow     time.Duration
	Slack         time.Duration
	Settle        time.Duration
	ClaimTimeout  time.Duration
	PlatformRate  rate.Limit
	PlatformBurst int
	MaxRecords    int
	// Pause draws the delay before another attempt after one that met another claim. Both claimants draw, so that one
	// goes first.
	Pause func() time.Duration
}

func (o *Options) setDefaults() {
	if o.Clock == nil {
		o.Clock = clock.System{}
	}
	if o.Metrics == nil {
		o.Metrics = metric.NewSet()
	}
	setDefault(&o.MaxWindow, config.DefaultIdempotencyWindow)
	setDefault(&o.Slack, DefaultSlack)
	setDefault(&o.Settle, DefaultSettle)
	setDefault(&o.ClaimTimeout, DefaultClaimTimeout)
	setDefault(&o.PlatformRate, DefaultPlatformRate)
	setDefault(&o.PlatformBurst, DefaultPlatformBurst)
	setDefault(&o.MaxRecords, MaxRecords)
	if o.Pause == nil {
		o.Pause = func() time.Duration { return minPause + rand.N(maxPause-minPause) }
	}
}

func setDefault[T comparable](p *T, value T) {
	var zero T
	if *p == zero {
		*p = value
	}
}

// phase is the part of the node's life that decides what it grants.
type phase uint8

const (
	phaseOpen phase = iota
	// phaseDraining: no new work and no claims; records of other leaving nodes are still taken.
	phaseDraining
	phaseClosed
)

// Node is the Guard of one node, the holder of other nodes' records, and a service of the kernel.
type Node struct {
	o        Options
	rosters  rosterCache
	platform *platformClaims
	outbox   chan delivery
	stop     context.CancelFunc
	workers  sync.WaitGroup
	// sending counts deliveries that are queued or under way.
	sending atomic.Int64

	mu      sync.Mutex // guards the fields below
	table   *Table
	flights map[Key]chan struct{}
	attempt uint64
	phase   phase
	// handed holds the state in which each record was handed over.
	handed map[Key]State
}

var _ Guard = (*Node)(nil)

// New returns a node that is ready for calls. Start sends outcomes to other holders.
func New(o Options) *Node {
	o.setDefaults()
	return &Node{
		o: o, outbox: make(chan delivery, outboxSize), flights: make(map[Key]chan struct{}), handed: make(map[Key]State),
		table:    NewTable(o.Clock.Now(), o.MaxRecords, MaxAnswersBytes),
		platform: newPlatformClaims(&o),
		rosters:  rosterCache{view: o.View, changed: o.View.Subscribe(), byService: make(map[rosterKey]*Roster)},
	}
}

// Name is the name of the service in the kernel.
func (n *Node) Name() string { return "idempotency" }

// Start starts the goroutines that deliver outcomes and delete platform claims.
func (n *Node) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	for range outboxWorkers {
		n.workers.Go(func() { n.deliver(ctx) })
	}
	n.workers.Go(func() { n.platform.cleanUp(ctx) })
	return nil
}

// Stop ends the goroutines. HandOver comes before it.
func (n *Node) Stop(context.Context) error {
	n.stop()
	n.workers.Wait()
	return nil
}

func (n *Node) timing(window time.Duration) Timing {
	return Timing{Window: window, Slack: n.o.Slack, Settle: n.o.Settle, Reuse: rosterReuse}
}

// Memory is how long the view's history must keep departures.
func (n *Node) Memory() time.Duration { return n.timing(n.o.MaxWindow).Memory() }

func (n *Node) roster(service string, window time.Duration) *Roster {
	return n.rosters.get(service, n.o.Self(), n.o.Clock.Now(), n.timing(window))
}

// Home returns the instance that a keyed request must go to.
func (n *Node) Home(service, key string) (membership.Instance, bool) {
	return n.roster(service, n.o.MaxWindow).Home(NewKey(service, key))
}

// Do runs the work at most once for the key. It is called at the home.
func (n *Node) Do(ctx context.Context, req Request, run func(context.Context) Result) Result {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, defaultWait)
		defer cancel()
	}
	res := n.do(ctx, req, run)
	if res.Reason != "" && res.Outcome != OutcomeAnswered {
		n.o.Metrics.CountRefusal(res.Reason)
	}
	return res
}

func (n *Node) do(ctx context.Context, req Request, run func(context.Context) Result) Result {
	a := &attempt{node: n, ctx: ctx, run: run}
	a.claim = Claim{Key: NewKey(req.Service, req.Key), Digest: Digest(req.Digest[:16]), Keep: req.Window + 2*n.o.Slack}
	for {
		if res, ok := n.admit(req, a); !ok {
			return res
		}
		done, mine := n.enter(a.claim.Key)
		if !mine {
			select {
			case <-done:
				continue
			case <-ctx.Done():
				return running()
			}
		}
		res, again := a.lead(done)
		if !again {
			return res
		}
		n.o.Metrics.CountRetry(metric.RetryKeyClaimRace)
		if !clock.Sleep(ctx, n.o.Pause()) {
			return running()
		}
	}
}

// admit checks what must hold before a key is looked at, and gives the attempt its roster.
func (n *Node) admit(req Request, a *attempt) (Result, bool) {
	if req.Service != n.o.Service {
		return notRun(metric.RefusedWrongService), false
	}
	if req.Key == "" || req.Window <= 0 || req.Window > n.o.MaxWindow {
		return notRun(metric.RefusedMalformed), false
	}
	n.mu.Lock()
	open := n.phase == phaseOpen
	n.mu.Unlock()
	if !open {
		return notRun(metric.RefusedDraining), false
	}
	now := n.o.Clock.Now()
	if since, ok := n.o.View.Synchronised(); !ok || now.Sub(since) < n.o.Settle {
		return notRun(metric.RefusedNotReady), false
	}
	a.claim.Claimant, a.claimedAt = n.o.Self(), now
	a.roster = n.roster(req.Service, req.Window)
	if home, ok := a.roster.Home(a.claim.Key); !ok || home.ID != a.claim.Claimant.ID {
		return notRun(metric.RefusedKeyNotHome), false
	}
	return Result{}, true
}

// enter makes the caller the leader of a key, or returns the channel that closes when the present leader is done.
func (n *Node) enter(key Key) (done chan struct{}, mine bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if done, ok := n.flights[key]; ok {
		return done, false
	}
	done = make(chan struct{})
	n.flights[key] = done
	return done, true
}

func (n *Node) leave(key Key, done chan struct{}) {
	n.mu.Lock()
	delete(n.flights, key)
	n.mu.Unlock()
	close(done)
}

// withTable calls f with the table and the present time under the node's lock.
func withTable[T any](n *Node, f func(now time.Time, t *Table) T) T {
	n.mu.Lock()
	defer n.mu.Unlock()
	return f(n.o.Clock.Now(), n.table)
}

// Bounds of the default Pause.
const (
	minPause = 5 * time.Millisecond
	maxPause = 50 * time.Millisecond
)

func notRun(reason metric.Refusal) Result { return Result{Outcome: OutcomeNotRun, Reason: reason} }

func unknown(reason metric.Refusal) Result { return Result{Outcome: OutcomeUnknown, Reason: reason} }

func running() Result { return unknown(metric.RefusedKeyRunning) }

var errIncomplete = errors.New("some records have too few holders")
