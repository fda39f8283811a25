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
	// DefaultMaxMembershipLag covers a missed poll (10 s) at the node and a missed exchange (10 s) at each of two relays.
	DefaultMaxMembershipLag = 30 * time.Second
	// DefaultSettlingTime is how long an instance must have been a member before it is chosen as a home.
	DefaultSettlingTime = 3 * time.Second
	// DefaultClaimTimeout bounds one call to a holder.
	DefaultClaimTimeout = 500 * time.Millisecond
	// DefaultPlatformRate limits a node's platform claims per second. When 1 of 34 instances of a service crashes, 2/34 of
	// the keys need platform claims; they are spread over all homes.
	DefaultPlatformRate rate.Limit = 5
	// DefaultPlatformBurst allows for many waiting requests that claim at the same time.
	DefaultPlatformBurst = 20
	// historyMaxAge is how long a membership history is used while the membership does not change.
	historyMaxAge = time.Second
	// outboxSize bounds the queue of outcomes and withdrawals for holders. When it is full, they are dropped: the record
	// stays running at the holder, and a later claimant reads its state from this node.
	outboxSize = 1024
	// outboxWorkers is above 1 so that one unresponsive holder does not delay the messages to others.
	outboxWorkers = 4
	// defaultRequestTimeout is the time limit of a request without a deadline.
	defaultRequestTimeout = 30 * time.Second
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
	// MaxWindow is the longest window of a request. View must keep departures for HistoryRetention.
	MaxWindow time.Duration
	// MaxMembershipLag and SettlingTime are described at Timing.
	MaxMembershipLag time.Duration
	SettlingTime     time.Duration
	ClaimTimeout     time.Duration
	PlatformRate     rate.Limit
	PlatformBurst    int
	MaxRecords       int
	// RetryDelay returns a random delay before the next attempt when an attempt met the claim of another claimant. Both
	// claimants wait for a random time, so that one of them goes first.
	RetryDelay func() time.Duration
}

func (o *Options) setDefaults() {
	if o.Clock == nil {
		o.Clock = clock.System{}
	}
	if o.Metrics == nil {
		o.Metrics = metric.NewSet()
	}
	setDefault(&o.MaxWindow, config.DefaultIdempotencyWindow)
	setDefault(&o.MaxMembershipLag, DefaultMaxMembershipLag)
	setDefault(&o.SettlingTime, DefaultSettlingTime)
	setDefault(&o.ClaimTimeout, DefaultClaimTimeout)
	setDefault(&o.PlatformRate, DefaultPlatformRate)
	setDefault(&o.PlatformBurst, DefaultPlatformBurst)
	setDefault(&o.MaxRecords, MaxRecords)
	if o.RetryDelay == nil {
		o.RetryDelay = func() time.Duration { return minRetryDelay + rand.N(maxRetryDelay-minRetryDelay) }
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

// Node is the Guard of one node. It also holds records for other nodes. It implements kernel.Service.
type Node struct {
	opts      Options
	histories historyCache
	platform  *platformClaims
	outbox    chan delivery
	stop      context.CancelFunc
	workers   sync.WaitGroup
	// pendingDeliveries counts deliveries that are queued or in progress.
	pendingDeliveries atomic.Int64

	mu    sync.Mutex // guards the fields below
	table *Table
	// inProgress holds, for each key with an attempt in progress, the channel that closes when the attempt ends.
	inProgress map[Key]chan struct{}
	// lastAttempt is the number of the latest attempt.
	lastAttempt uint64
	phase       phase
	// handedOver holds the state in which each record was handed over.
	handedOver map[Key]State
}

var _ Guard = (*Node)(nil)

// New returns a node that accepts calls at once. Its messages to other holders stay queued until Start.
func New(o Options) *Node {
	o.setDefaults()
	return &Node{
		opts: o, outbox: make(chan delivery, outboxSize), inProgress: make(map[Key]chan struct{}),
		handedOver: make(map[Key]State),
		table:      NewTable(o.Clock.Now(), o.MaxRecords, MaxTotalAnswerBytes),
		platform:   newPlatformClaims(&o),
		histories:  historyCache{view: o.View, changed: o.View.Subscribe(), entries: make(map[historyKey]*MembershipHistory)},
	}
}

// Name implements kernel.Service.
func (n *Node) Name() string { return "idempotency" }

// Start starts the goroutines that deliver outcomes and delete platform claims.
func (n *Node) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	for range outboxWorkers {
		n.workers.Go(func() { n.deliver(ctx) })
	}
	n.workers.Go(func() { n.platform.deleteDueClaims(ctx) })
	return nil
}

// Stop ends the goroutines. For a planned stop, call HandOver first.
func (n *Node) Stop(context.Context) error {
	n.stop()
	n.workers.Wait()
	return nil
}

func (n *Node) timing(window time.Duration) Timing {
	return Timing{
		Window: window, MaxMembershipLag: n.opts.MaxMembershipLag, SettlingTime: n.opts.SettlingTime, MaxAge: historyMaxAge,
	}
}

// HistoryRetention returns how long the view's history must keep departures.
func (n *Node) HistoryRetention() time.Duration { return n.timing(n.opts.MaxWindow).HistoryRetention() }

func (n *Node) membershipHistory(service string, window time.Duration) *MembershipHistory {
	return n.histories.get(service, n.opts.Self(), n.opts.Clock.Now(), n.timing(window))
}

// Home returns the instance that a keyed request must go to.
func (n *Node) Home(service, key string) (membership.Instance, bool) {
	return n.membershipHistory(service, n.opts.MaxWindow).Home(NewKey(service, key))
}

// Do implements Guard.
func (n *Node) Do(ctx context.Context, req Request, run func(context.Context) Result) Result {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, defaultRequestTimeout)
		defer cancel()
	}
	res := n.do(ctx, req, run)
	if res.Reason != "" && res.Outcome != OutcomeAnswered {
		n.opts.Metrics.CountRefusal(res.Reason)
	}
	return res
}

func (n *Node) do(ctx context.Context, req Request, run func(context.Context) Result) Result {
	a := &attempt{node: n, ctx: ctx, run: run}
	a.claim = Claim{
		Key: NewKey(req.Service, req.Key), Digest: Digest(req.Digest[:16]), Keep: req.Window + 2*n.opts.MaxMembershipLag,
	}
	for {
		if res, ok := n.admit(req, a); !ok {
			return res
		}
		done, started := n.beginAttempt(a.claim.Key)
		if !started {
			select {
			case <-done:
				continue
			case <-ctx.Done():
				return keyRunning()
			}
		}
		res, retry := a.claimAndRun(done)
		if !retry {
			return res
		}
		n.opts.Metrics.CountRetry(metric.RetryKeyClaimRace)
		if !clock.Sleep(ctx, n.opts.RetryDelay()) {
			return keyRunning()
		}
	}
}

// admit checks whether this node may attempt the request now, and sets the attempt's claimant, start time and
// membership history. If it reports false, the result is the refusal.
func (n *Node) admit(req Request, a *attempt) (Result, bool) {
	if req.Service != n.opts.Service {
		return notRun(metric.RefusedWrongService), false
	}
	if req.Key == "" || req.Window <= 0 || req.Window > n.opts.MaxWindow {
		return notRun(metric.RefusedMalformed), false
	}
	n.mu.Lock()
	open := n.phase == phaseOpen
	n.mu.Unlock()
	if !open {
		return notRun(metric.RefusedDraining), false
	}
	now := n.opts.Clock.Now()
	if since, ok := n.opts.View.CompleteSince(); !ok || now.Sub(since) < n.opts.SettlingTime {
		return notRun(metric.RefusedNotReady), false
	}
	a.claim.Claimant, a.claimedAt = n.opts.Self(), now
	a.history = n.membershipHistory(req.Service, req.Window)
	if home, ok := a.history.Home(a.claim.Key); !ok || home.ID != a.claim.Claimant.ID {
		return notRun(metric.RefusedKeyNotHome), false
	}
	return Result{}, true
}

// beginAttempt starts the only attempt on a key. If one is in progress, started is false and done closes when that
// attempt ends.
func (n *Node) beginAttempt(key Key) (done chan struct{}, started bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if done, ok := n.inProgress[key]; ok {
		return done, false
	}
	done = make(chan struct{})
	n.inProgress[key] = done
	return done, true
}

// endAttempt ends the attempt on a key that beginAttempt started.
func (n *Node) endAttempt(key Key, done chan struct{}) {
	n.mu.Lock()
	delete(n.inProgress, key)
	n.mu.Unlock()
	close(done)
}

// withTable calls f with the current time and the table under the node's lock.
func withTable[T any](n *Node, f func(now time.Time, t *Table) T) T {
	n.mu.Lock()
	defer n.mu.Unlock()
	return f(n.opts.Clock.Now(), n.table)
}

// Bounds of the default RetryDelay.
const (
	minRetryDelay = 5 * time.Millisecond
	maxRetryDelay = 50 * time.Millisecond
)

func notRun(reason metric.Refusal) Result { return Result{Outcome: OutcomeNotRun, Reason: reason} }

func unknown(reason metric.Refusal) Result { return Result{Outcome: OutcomeUnknown, Reason: reason} }

func keyRunning() Result { return unknown(metric.RefusedKeyRunning) }

var errIncomplete = errors.New("some records have too few holders")
