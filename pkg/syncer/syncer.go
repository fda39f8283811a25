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

// Settings configures a syncer. Zero values select the defaults.
type Settings struct {
	// Instance is the node's own record: ID, service, zone, region and addresses.
	Instance membership.Instance
	// Seeds are control addresses of nodes to ask for relays.
	Seeds []string
	// PlatformTimeout bounds a read of the platform at start.
	PlatformTimeout time.Duration
	// StartSpread is the period over which nodes that start together spread their direct reads of the platform when no
	// relay answers: 2,100 nodes with two reads each over 3 s make 1,400 reads a second, of the 2,000 that the platform
	// can serve.
	StartSpread time.Duration
	// PollRate is the maximum number of polls a second. It keeps a stream of changes within the node's bandwidth
	// budget for control traffic.
	PollRate float64
	// Jitter returns a random duration in [0, d); nil means the package function Jitter.
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

// Syncer keeps a node's configuration and membership up to date with the mesh. It implements kernel.Service,
// config.Source and membership.HistoryView.
type Syncer struct {
	settings      Settings
	store         platform.Store
	caller        rpcwire.Caller
	clock         clock.Clock
	log           zerolog.Logger
	metrics       *metric.Set
	acceptor      *Acceptor
	table         *membership.Table
	pollLimiter   *rate.Limiter
	quorumReached atomic.Bool
	ready         atomic.Bool

	// announceNow wakes the announce loop after a change of the node's own record. One buffered value is enough: the
	// pending announcement reads the latest record when it is sent.
	announceNow chan struct{}

	mu           sync.Mutex
	self         membership.Instance
	departed     bool
	relays       relayList
	fetchPending map[string]bool // subscribed services; true until their records have arrived

	// Only the poll loop uses the two fields below.
	session relaySession
	quorum  quorum

	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// relaySession is the node's session with the relay that it polls.
type relaySession struct {
	relay               RelayInfo
	lastPollFailed      bool
	deferred            bool // the relay deferred its answer to the last poll with RetryAfter
	mark                membership.Mark
	needWhole           bool
	sentSelf            membership.Instance // the node's own record as the relay has it
	pushRecords         bool                // send all records with the next poll, because the relay may lack some
	digestMismatches    int
	consecutiveFailures int
}

// New returns a syncer that has not been started.
func New(settings Settings, store platform.Store, caller rpcwire.Caller, c clock.Clock, log zerolog.Logger, set *metric.Set) *Syncer {
	settings = settings.withDefaults()
	s := &Syncer{
		settings: settings, store: store, caller: caller, clock: c, log: log, metrics: set,
		acceptor:     NewAcceptor(),
		table:        membership.NewTable(c, rand.Uint64(), TombstoneRetention(nil)),
		pollLimiter:  rate.NewLimiter(rate.Limit(settings.PollRate), 4),
		announceNow:  make(chan struct{}, 1),
		self:         settings.Instance,
		fetchPending: make(map[string]bool),
		quorum:       quorum{answeredPeers: make(map[string]bool)},
	}
	if s.self.Incarnation == 0 {
		s.self.Incarnation = uint64(c.Now().UnixMilli())
	}
	s.self.Sequence = max(s.self.Sequence, 1)
	s.table.Put(s.self)
	return s
}

// Name implements kernel.Service.
func (s *Syncer) Name() string { return "syncer" }

// Start begins to synchronise and returns immediately; Ready reports when the node may serve requests.
func (s *Syncer) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.wg.Go(func() { s.run(ctx) })
	s.wg.Go(func() { s.announceLoop(ctx) })
	s.wg.Go(func() { s.expireLoop(ctx) })
	return nil
}

// Stop ends all loops and waits for them. In a planned stop, Depart is called first.
func (s *Syncer) Stop(context.Context) error {
	if s.cancel != nil {
		s.cancel()
	}
	s.wg.Wait()
	return nil
}

// Ready reports whether the node serves a configuration and has asked enough sources for the newest one.
func (s *Syncer) Ready() bool { return s.Current() != nil }

// QuorumReached reports whether the platform or enough peers have answered the node's question for the newest
// configuration. It is true even if no configuration exists yet.
func (s *Syncer) QuorumReached() bool { return s.quorumReached.Load() }

// Current implements config.Source. It returns nil until the node is ready, so that a restarted node does not serve
// an older configuration than before the restart while it still asks for the newest one.
func (s *Syncer) Current() *config.Snapshot {
	if !s.ready.Load() {
		return nil
	}
	return s.acceptor.Current()
}

// Acceptor returns the acceptor that holds the node's configuration.
func (s *Syncer) Acceptor() *Acceptor { return s.acceptor }

// Table returns the node's membership table.
func (s *Syncer) Table() *membership.Table { return s.table }

// Instances implements membership.View.
func (s *Syncer) Instances(service string) []membership.Instance { return s.table.Instances(service) }

// Subscribe implements membership.View.
func (s *Syncer) Subscribe() <-chan struct{} { return s.table.Subscribe() }

// History implements membership.HistoryView.
func (s *Syncer) History(service string) []membership.Span { return s.table.History(service) }

// CompleteSince implements membership.HistoryView.
func (s *Syncer) CompleteSince() (time.Time, bool) { return s.table.CompleteSince() }

// expirePeriod is the interval at which expired tombstones are removed.
const expirePeriod = 5 * time.Second

func (s *Syncer) expireLoop(ctx context.Context) {
	for clock.Sleep(ctx, expirePeriod) {
		s.table.Expire()
	}
}

// accept passes an update to the acceptor, logs the verdict and updates subscriptions and needWhole accordingly.
func (s *Syncer) accept(u ConfigUpdate, from string) Verdict {
	v, err := s.acceptor.Update(u)
	LogVerdict(&s.log, s.metrics, v, err, from, s.acceptor.State())
	switch v {
	case Accepted:
		s.updateSubscriptions()
		s.session.needWhole = false
	case Mismatch:
		s.session.needWhole = true
	case Invalid, Conflicting, Older:
		s.session.needWhole = false
	}
	return v
}

// LogVerdict logs the event for a verdict and counts it. It does nothing for Unchanged.
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

// updateSubscriptions follows a new configuration: it drops the records of services that the node can no longer call
// and marks those of newly callable services to be fetched.
func (s *Syncer) updateSubscriptions() {
	snapshot := s.acceptor.Current()
	wants := Subscription(snapshot, s.settings.Instance.Service)
	s.table.SetRetention(TombstoneRetention(snapshot))
	s.table.RetainServices(wants)
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.fetchPending, func(name string, _ bool) bool { return !wants(name) })
	for name := range snapshot.Configuration.Services {
		if _, known := s.fetchPending[name]; !known && wants(name) {
			s.fetchPending[name] = true
		}
	}
}

// SubscriptionsLoaded reports whether the node has the records of its own service and of all services that it may call.
// Until then a request may be refused with no_instance although the service has instances.
func (s *Syncer) SubscriptionsLoaded() bool {
	c := s.Current()
	if c == nil {
		return false
	}
	wants := Subscription(c, s.settings.Instance.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	for name := range c.Configuration.Services {
		if pending, known := s.fetchPending[name]; wants(name) && (!known || pending) {
			return false
		}
	}
	return true
}

// servicesToFetch returns the subscribed services whose records have not arrived yet, sorted by name.
func (s *Syncer) servicesToFetch() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for name, pending := range s.fetchPending {
		if pending {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

func (s *Syncer) markFetched(names []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range names {
		if _, ok := s.fetchPending[n]; ok {
			s.fetchPending[n] = false
		}
	}
}

// Subscription returns a predicate that selects the services whose instances a node of service own needs to know: own
// itself and the services that own may call.
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

// TombstoneRetention returns how long tombstones are kept: the longest idempotency window of any policy, twice
// membership.MaxLag and 1 s. A node that looks for earlier runs of a key needs the membership history of that time.
func TombstoneRetention(c *config.Snapshot) time.Duration {
	return longestIdempotencyWindow(c) + 2*membership.MaxLag + time.Second
}

func longestIdempotencyWindow(c *config.Snapshot) time.Duration {
	w := config.DefaultIdempotencyWindow
	if c == nil {
		return w
	}
	for _, p := range c.Configuration.Policies {
		w = max(w, p.IdempotencyWindow.Std())
	}
	return w
}
