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
	// DefaultSlack covers a missed poll (10 s) at the node and a missed exchange (10 s) at each of two relays.
	DefaultSlack = 30 * time.Second
	// DefaultSettle is the default of Options.Settle.
	DefaultSettle = 3 * time.Second
	// DefaultClaimTimeout bounds one call to a holder.
	DefaultClaimTimeout = 500 * time.Millisecond
	// DefaultPlatformRate limits a node's platform claims per second. When 1 of 34 instances of a service crashes, 2/34 of
	// the keys need platform claims; they are spread over all homes.
	DefaultPlatformRate rate.Limit = 5
	// DefaultPlatformBurst allows for many waiting requests that claim at the same time.
	DefaultPlatformBurst = 20
	// rosterReuse is how long a roster is used while the membership does not change.
	rosterReuse = time.Second
	// outboxSize bounds the queue of outcomes and withdrawals for holders. When it is full, they are dropped: the record
	// stays running at the holder, and a later claimant reads its state from this node.
	outboxSize = 1024
	// outboxWorkers is above 1 so that one unresponsive holder does not delay the messages to others.
	outboxWorkers = 4
	// defaultWait is the time limit of a request without a deadline.
	defaultWait = 30 * time.Second
)

// Options configures a Node. Self, Service, View, Caller and Store are required.
type Options struct {
	// Self returns the node's identity. Its incarnation increases when the node announces itself again.
	Self    func() Claimant
	Service string
	View    membership.HistoryView
	Caller  rpcwire.Caller
	Store   platform.Store
	Clock   clock.Clock
	Metrics *metric.Set
	Log     zerolog.Logger
	// MaxWindow is the longest window of a request. View must keep departures for Memory.
	MaxWindow time.Duration
	// Slack and Settle are described at Timing.
	Slack         time.Duration
	Settle        time.Duration
	ClaimTimeout  time.Duration
	PlatformRate  rate.Limit
	PlatformBurst int
	MaxRecords    int
	// Pause returns a random delay before the next attempt when an attempt met the claim of another claimant. Both
	// claimants wait for a random time, so that one of them goes first.
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

// phase decides which requests and claims a node accepts.
type phase uint8

const (
	phaseOpen phase = iota
	// phaseDraining: no new requests and no claims; records of other draining nodes are still accepted.
	phaseDraining
	// phaseClosed: hand-overs from other nodes are refused as well.
	phaseClosed
)

// Node is the Guard of one node. It also holds records for other nodes, and is a service that the kernel starts and
// stops.
type Node struct {
	o        Options
	rosters  rosterCache
	platform *platformClaims
	outbox   chan delivery
	stop     context.CancelFunc
	workers  sync.WaitGroup
	// sending counts deliveries that are queued or in progress.
	sending atomic.Int64

	mu    sync.Mutex // guards the fields below
	table *Table
	// flights holds, for each key with an attempt in progress, the channel that closes when the attempt ends.
	flights map[Key]chan struct{}
	// attempt is the number of the latest attempt.
	attempt uint64
	phase   phase
	// handed holds the state in which each record was handed over.
	handed map[Key]State
}

var _ Guard = (*Node)(nil)

// New returns a node that accepts calls at once. Its messages to other holders stay queued until Start.
func New(o Options) *Node {
	o.setDefaults()
	return &Node{
		o: o, outbox: make(chan delivery, outboxSize), flights: make(map[Key]chan struct{}), handed: make(map[Key]State),
		table:    NewTable(o.Clock.Now(), o.MaxRecords, MaxAnswersBytes),
		platform: newPlatformClaims(&o),
		rosters:  rosterCache{view: o.View, changed: o.View.Subscribe(), byService: make(map[rosterKey]*Roster)},
	}
}

// Name returns the name of the service in the kernel.
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

// Stop ends the goroutines. For a planned stop, call HandOver first.
func (n *Node) Stop(context.Context) error {
	n.stop()
	n.workers.Wait()
	return nil
}

func (n *Node) timing(window time.Duration) Timing {
	return Timing{Window: window, Slack: n.o.Slack, Settle: n.o.Settle, Reuse: rosterReuse}
}

// Memory returns how long the view's history must keep departures.
func (n *Node) Memory() time.Duration { return n.timing(n.o.MaxWindow).Memory() }

func (n *Node) roster(service string, window time.Duration) *Roster {
	return n.rosters.get(service, n.o.Self(), n.o.Clock.Now(), n.timing(window))
}

// Home returns the instance that a keyed request must go to.
func (n *Node) Home(service, key string) (membership.Instance, bool) {
	return n.roster(service, n.o.MaxWindow).Home(NewKey(service, key))
}

// Do implements Guard.
func (n *Node) Do(ctx context.Context, req Request, run func(context.Context) Result) Result {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, defaultWait)
		defer cancel()
	}
	res := n.do(ctx, req, run)
	if res.Reason != "" && res.Outcome != OutcomeAnswered {
		n.o.Metrics.Refused(res.Reason)
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
		n.o.Metrics.Retried(metric.RetryKeyClaimRace)
		if !clock.Sleep(ctx, n.o.Pause()) {
			return running()
		}
	}
}

// admit checks whether this node may attempt the request now, and sets the attempt's claimant, start time and roster.
// If it reports false, the result is the refusal.
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

// enter starts the only attempt on a key. If one is in progress, mine is false and done closes when that attempt ends.
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

// leave ends the attempt on a key that enter started.
func (n *Node) leave(key Key, done chan struct{}) {
	n.mu.Lock()
	delete(n.flights, key)
	n.mu.Unlock()
	close(done)
}

// withTable calls f with the current time and the table under the node's lock.
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
