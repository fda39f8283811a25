package syncer

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"github.com/monsoonlatch/monsoonlatch/pkg/clock"
	"github.com/monsoonlatch/monsoonlatch/pkg/config"
	"github.com/monsoonlatch/monsoonlatch/pkg/event"
	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
	"github.com/monsoonlatch/monsoonlatch/pkg/platform"
	"github.com/monsoonlatch/monsoonlatch/pkg/rpcwire"
)

// Settings of a syncer. Zero durations mean the defaults.
type Settings struct {
	// Instance is the node's own record: ID, service, zone, region and addresses.
	Instance membership.Instance
	// Seeds are control addresses of nodes to ask for relays.
	Seeds []string
	// PlatformTimeout bounds a read of the platform at start.
	PlatformTimeout time.Duration
	// StartSpread spreads the direct reads of the platform when many nodes start at the same time and no relay
	// answers: 2,100 nodes with two reads each over 3 s make 1,400 of the two thousand reads a second that the platform
	// takes.
	StartSpread time.Duration
	// PollRate bounds polls a second, so that a stream of changes does not exceed the node's control bytes.
	PollRate float64
	// Jitter returns a random duration in [0, d); nil means a random source seeded by the runtime.
	Jitter func(d time.Duration) time.Duration
}

func (s Settings) withDefaults() Settings {
	if s.PlatformTimeout == 0 {
		s.PlatformTimeout = 2 * time.Second
	}
	if s.StartSpread == 0 {
		s.StartSpread = 3 * time.Second
	}
	if s.PollRate == 0 {
		s.PollRate = 2
	}
	if s.Jitter == nil {
		s.Jitter = Jitter
	}
	return s
}

// Jitter returns a random duration in [0, d).
func Jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return rand.N(d)
}

// Syncer keeps a node's configuration and membership in step with the mesh. It implements kernel.Service,
// config.Source and membership.HistoryView.
type Syncer struct {
	settings Settings
	store    platform.Store
	caller   rpcwire.Caller
	clock    clock.Clock
	log      zerolog.Logger
	metrics  *metric.Set
	acceptor *Acceptor
	table    *membership.Table
	polls    *rate.Limiter
	asked    atomic.Bool
	ready    atomic.Bool

	// urgent holds one value: the own record has changed. When it is full, the pending announcement reads the latest
	// record anyway.
	urgent chan struct{}

	mu       sync.Mutex
	self     membership.Instance
	departed bool
	relays   relayList
	fetch    map[string]bool // services newly subscribed to, until their records arrive

	// The fields below belong to the poll loop.
	link   link
	quorum quorum

	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// link is the state of the node at the relay that it polls.
type link struct {
	relay      RelayInfo
	lost       bool // the last poll failed
	putOff     bool // the last poll was answered with a retry-after
	mark       membership.Mark
	needWhole  bool
	sent       membership.Instance // the own record that the relay has
	push       bool                // the relay may lack records that the node has
	mismatches int
	failures   int
}

// New returns a syncer that has not started.
func New(settings Settings, store platform.Store, caller rpcwire.Caller, c clock.Clock, log zerolog.Logger, set *metric.Set) *Syncer {
	settings = settings.withDefaults()
	s := &Syncer{
		settings: settings, store: store, caller: caller, clock: c, log: log, metrics: set,
		acceptor: NewAcceptor(),
		table:    membership.NewTable(c, rand.Uint64(), Window(nil)),
		polls:    rate.NewLimiter(rate.Limit(settings.PollRate), 4),
		urgent:   make(chan struct{}, 1),
		self:     settings.Instance,
		fetch:    make(map[string]bool),
		quorum:   quorum{answered: make(map[string]bool)},
	}
	if s.self.Incarnation == 0 {
		s.self.Incarnation = uint64(c.Now().UnixMilli())
	}
	s.self.Sequence = max(s.self.Sequence, 1)
	s.table.Put(s.self)
	return s
}

// Name returns the syncer's name in the kernel.
func (s *Syncer) Name() string { return "syncer" }

// Start begins to synchronise and returns at once; Ready tells when the node may take calls.
func (s *Syncer) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.wg.Go(func() { s.run(ctx) })
	s.wg.Go(func() { s.announceLoop(ctx) })
	s.wg.Go(func() { s.expireLoop(ctx) })
	return nil
}

// Stop ends the work. Depart comes before it in a planned stop.
func (s *Syncer) Stop(context.Context) error {
	if s.cancel != nil {
		s.cancel()
	}
	s.wg.Wait()
	return nil
}

// Ready reports whether the node has learned the newest configuration that it can learn of and serves it.
func (s *Syncer) Ready() bool { return s.Current() != nil }

// Asked reports whether the node has asked the platform or enough peers for the newest configuration; there may be
// none yet.
func (s *Syncer) Asked() bool { return s.asked.Load() }

// Current implements config.Source. It returns nil until the node is ready, so that a restarted node does not serve
// an older configuration than before while it still looks for the newest one.
func (s *Syncer) Current() *config.Snapshot {
	if !s.ready.Load() {
		return nil
	}
	return s.acceptor.Current()
}

// Config returns the acceptor of the node's configuration.
func (s *Syncer) Config() *Acceptor { return s.acceptor }

// Table returns the node's membership.
func (s *Syncer) Table() *membership.Table { return s.table }

// Instances implements membership.View.
func (s *Syncer) Instances(service string) []membership.Instance { return s.table.Instances(service) }

// Subscribe implements membership.View.
func (s *Syncer) Subscribe() <-chan struct{} { return s.table.Subscribe() }

// History implements membership.HistoryView.
func (s *Syncer) History(service string) []membership.Span { return s.table.History(service) }

// Synchronised implements membership.HistoryView.
func (s *Syncer) Synchronised() (time.Time, bool) { return s.table.Synchronised() }

// expirePeriod is how often tombstones are checked for the end of their window.
const expirePeriod = 5 * time.Second

func (s *Syncer) expireLoop(ctx context.Context) {
	for clock.Sleep(ctx, expirePeriod) {
		s.table.Expire()
	}
}

// accept offers an update to the acceptor and follows up on the result.
func (s *Syncer) accept(u ConfigUpdate, from string) Verdict {
	v, err := s.acceptor.Update(u)
	LogVerdict(&s.log, s.metrics, v, err, from, s.acceptor.State())
	switch v {
	case Accepted:
		s.subscribed()
		s.link.needWhole = false
	case Mismatch:
		s.link.needWhole = true
	case Invalid, Conflicting, Older:
		s.link.needWhole = false
	}
	return v
}

// LogVerdict writes the event that belongs to a verdict and counts it.
func LogVerdict(l *zerolog.Logger, set *metric.Set, v Verdict, err error, from string, state ConfigState) {
	e, name := event.ConfigAccepted, ""
	switch v {
	case Unchanged:
		return
	case Accepted:
		name = "accepted"
	case Older:
		e, name = event.ConfigOlder, "older"
	case Conflicting:
		e, name = event.ConfigConflict, "conflict"
	case Invalid:
		e, name = event.ConfigInvalid, "invalid"
	case Mismatch:
		e, name = event.ConfigMismatch, "mismatch"
	}
	set.Counter("config." + name).Inc(1)
	e.Write(e.Log(l).Err(err).Str("from", from).Uint64("version", uint64(state.Version)).Str("hash", string(state.Hash)))
}

// subscribed follows a new configuration: services that the node no longer calls are dropped, and the records of new
// ones are requested.
func (s *Syncer) subscribed() {
	snapshot := s.acceptor.Current()
	wants := Subscription(snapshot, s.settings.Instance.Service)
	s.table.SetRetention(Window(snapshot))
	s.table.RetainServices(wants)
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.fetch, func(name string, _ bool) bool { return !wants(name) })
	for name := range snapshot.Configuration.Services {
		if _, known := s.fetch[name]; !known && wants(name) {
			s.fetch[name] = true
		}
	}
}

// Subscribed reports whether the node has the records of all services that its routes can reach. Until then a call to a
// service that has instances may be refused for lack of one.
func (s *Syncer) Subscribed() bool {
	c := s.Current()
	if c == nil {
		return false
	}
	wants := Subscription(c, s.settings.Instance.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	for name := range c.Configuration.Services {
		if pending, known := s.fetch[name]; wants(name) && (!known || pending) {
			return false
		}
	}
	return true
}

// pendingFetch lists the services whose records are still to come.
func (s *Syncer) pendingFetch() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for name, pending := range s.fetch {
		if pending {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

func (s *Syncer) fetched(names []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range names {
		if _, ok := s.fetch[n]; ok {
			s.fetch[n] = false
		}
	}
}

// Subscription returns which services a node of the given service needs instances of: its own, and those that its
// routes can reach.
func Subscription(c *config.Snapshot, own string) func(service string) bool {
	return func(service string) bool {
		if service == own {
			return true
		}
		if c == nil {
			return false
		}
		sv, ok := c.Configuration.Services[service]
		return ok && (len(sv.CallableFrom) == 0 || slices.Contains(sv.CallableFrom, own))
	}
}

// Window returns how long tombstones are kept: the longest idempotency window of any policy, and what the plan of a key
// looks back beyond it.
func Window(c *config.Snapshot) time.Duration {
	return longestWindow(c) + 2*membership.MaxLag + time.Second
}

func longestWindow(c *config.Snapshot) time.Duration {
	w := config.DefaultIdempotencyWindow
	if c == nil {
		return w
	}
	for _, p := range c.Configuration.Policies {
		w = max(w, p.IdempotencyWindow.Std())
	}
	return w
}
