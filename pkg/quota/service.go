package quota

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/monsoonlatch/monsoonlatch/pkg/clock"
	"github.com/monsoonlatch/monsoonlatch/pkg/event"
	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
	"github.com/monsoonlatch/monsoonlatch/pkg/rpcwire"
)

const (
	// maxWait is the longest time that a request waits for a token: one silent node and the answer of the next one.
	maxWait = 2 * silentAfter
	// transferWait is the longest time for which requests that found no token wait for tokens from other zones. A round
	// trip between zones takes a few milliseconds; with it, a home still answers within silentAfter.
	transferWait = 30 * time.Millisecond
	// probePeriod is the interval between probes of nodes that do not answer.
	probePeriod = 250 * time.Millisecond
	// expirePeriod is the interval between searches for idle state.
	expirePeriod = 10 * time.Second
	// transferQueueSize is the capacity of the queue of tenants that need tokens from other zones, and maxTransfers the
	// number of calls to other zones at the same time.
	transferQueueSize, maxTransfers = 64, 16
	// contactProbes is the number of nodes that an isolated home probes.
	contactProbes = 2
	// maxSilent is the number of silent nodes after which a node takes itself for cut off.
	maxSilent = 2
	// refusalLogPeriod is the interval between log lines about refusals of one tenant.
	refusalLogPeriod = time.Second
	// startRetryAfter is the time after which a caller is asked to come back while the nodes are not known yet.
	startRetryAfter = 250 * time.Millisecond
	// retrySpread is the largest random part that is added to a time to come back, as a share of it.
	retrySpread = 0.5
)

// View is the membership as known to the node; directory.State implements it.
type View interface {
	All() []membership.Instance
	Subscribe() <-chan struct{}
}

// Settings configures a Service. All fields are required unless noted; Log may be the zero value.
type Settings struct {
	Self             membership.InstanceID
	AvailabilityZone string
	View             View
	// Complete, if set, reports whether the nodes of the mesh have been read since the start. Until then, or until the
	// view contains another node, the node neither grants nor admits, since it cannot know its part of the allowance.
	Complete func() bool
	Caller   rpcwire.Caller
	// Version, if set, returns the version of the configuration in force.
	Version func() uint64
	// Enabled, if set, reports whether the configuration has tenants. Without them the node tells nobody that it has started.
	Enabled func() bool
	Terms   Terms
	Clock   clock.Clock
	Metrics *metric.Set
	Log     zerolog.Logger
	// Random, if set, returns random numbers in [0, 1).
	Random func() float64
}

// Service decides whether requests of tenants are within their quotas. Run and RunTransfers must be running.
type Service struct {
	Settings
	topology atomic.Pointer[Topology]
	complete atomic.Bool
	changes  <-chan struct{}
	// shortage holds the tenants that need tokens from other zones. When it is full a tenant is dropped; its next
	// request puts it in again.
	shortage chan string
	// transferSlots limits the calls to other zones. When it is full the tenant asks again after the usual interval.
	transferSlots chan struct{}
	counters      counters

	// mu guards the fields below. It is never held during a call.
	mu       sync.Mutex
	ledger   *Ledger
	accounts map[string]*entry
	health   *Health
	contact  Contact
	// joined holds the nodes of the zone that have told that they joined and may be missing in the view.
	joined map[membership.InstanceID]joinedNode
}

// joinedNode is a node that counts as a member until the given time.
type joinedNode struct {
	address string
	until   time.Time
}

// joinedTime is the time for which a node that has told that it joined counts as a member. A change of the membership
// reaches all nodes sooner.
const joinedTime = 5 * time.Second

// entry is the state of a tenant at a node that its requests enter.
type entry struct {
	*Account
	topology *Topology
	ranked   []Node
	// fetch is the call to the home in progress; nil if there is none. waiting is the number of requests waiting for it.
	fetch   *fetch
	waiting int
	logged  time.Time
}

// fetch is one attempt to get tokens. The fields are set before done is closed.
type fetch struct {
	done chan struct{}
	// lone is set when no node granted or refused.
	lone bool
}

// counters are the metrics of a Service.
type counters struct {
	granted, refused, timedOut, starting, gone, silent, notHome, standIn, cautious, lone, expired, transfers, given, received metrics.Counter
}

// New returns a service and registers its RPC methods with the server.
func New(settings Settings, server *rpcwire.Server) *Service {
	if settings.Random == nil {
		settings.Random = rand.Float64
	}
	if settings.Version == nil {
		settings.Version = func() uint64 { return 0 }
	}
	count := settings.Metrics.Counter
	s := &Service{Settings: settings, changes: settings.View.Subscribe(), shortage: make(chan string, transferQueueSize),
		transferSlots: make(chan struct{}, maxTransfers), ledger: NewLedger(settings.Clock.Now(), settings.Terms),
		accounts: make(map[string]*entry), health: NewHealth(), joined: make(map[membership.InstanceID]joinedNode),
		counters: counters{granted: count("quota.granted"), refused: count("quota.refused"), timedOut: count("quota.timed_out"),
			starting: count("quota.starting"), gone: count("quota.home_gone"), silent: count("quota.home_silent"),
			notHome: count("quota.not_home"), standIn: count("quota.stand_in"), cautious: count("quota.stand_in_cautious"),
			lone: count("quota.lone"), expired: count("quota.tokens_expired"), transfers: count("quota.transfers"),
			given: count("quota.tokens_given"), received: count("quota.tokens_received")}}
	s.contact.Heard(settings.Clock.Now())
	s.topology.Store(NewTopology(settings.Clock.Now(), s.Self, s.AvailabilityZone, nil, nil))
	s.follow(settings.Clock.Now())
	if server != nil {
		rpcwire.HandleFunc(server, methodGrant, s.HandleGrant)
		rpcwire.HandleFunc(server, methodProbe, s.HandleProbe)
		rpcwire.HandleFunc(server, methodTransfer, s.HandleTransfer)
	}
	return s
}

// Run follows the membership, probes nodes that do not answer and drops idle state until ctx ends.
func (s *Service) Run(ctx context.Context) {
	announced := s.enabled()
	if announced {
		s.announce(s.topology.Load())
	}
	probe, expire := time.NewTicker(probePeriod), time.NewTicker(expirePeriod)
	defer probe.Stop()
	defer expire.Stop()
	for {
		select {
		case <-s.changes:
			s.follow(s.Clock.Now())
		case <-probe.C:
			now := s.Clock.Now()
			if s.mustFollow(now) {
				s.follow(now)
			}
			if !announced && s.enabled() {
				announced = true
				s.announce(s.topology.Load())
			}
			s.probe(now)
		case <-expire.C:
			s.expire(s.Clock.Now())
		case <-ctx.Done():
			return
		}
	}
}

func (s *Service) enabled() bool { return s.Enabled == nil || s.Enabled() }

// follow adopts the current membership.
func (s *Service) follow(now time.Time) {
	records := s.View.All()
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.topology.Load()
	t := NewTopology(now, s.Self, s.AvailabilityZone, s.addJoined(now, records), old)
	if !t.sameHomes(old) {
		s.ledger.Follow(now, t, old)
	}
	s.topology.Store(t)
	if t.member() && !old.member() && s.enabled() {
		go s.announce(t)
	}
}

// mustFollow reports whether the topology changes with time only.
func (s *Service) mustFollow(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, j := range s.joined {
		if !now.Before(j.until) {
			return true
		}
	}
	return !s.topology.Load().shrinkAt.IsZero()
}

// addJoined returns the records with those of nodes that have told that they joined, and forgets the expired ones. The
// caller holds mu.
func (s *Service) addJoined(now time.Time, records []membership.Instance) []membership.Instance {
	for id, j := range s.joined {
		switch i := slices.IndexFunc(records, func(in membership.Instance) bool { return in.ID == id }); {
		case !now.Before(j.until):
			delete(s.joined, id)
		case i < 0:
			records = append(records, membership.Instance{ID: id, AvailabilityZone: s.AvailabilityZone, ControlAddress: j.address})
		case records[i].State == membership.StateDeparted:
			records[i].State = membership.StateStarting
		}
	}
	return records
}

// announce tells the other nodes of the zone that this one has started or joined. Otherwise a node whose directory is
// behind would grant beside this one as the home, or stand in for it until its next probe.
func (s *Service) announce(t *Topology) {
	own := t.own()
	i := slices.IndexFunc(own, func(n Node) bool { return n.ID == s.Self })
	if i < 0 {
		return
	}
	args := &ProbeArgs{From: s.Self, Joined: own[i].Address}
	var wg sync.WaitGroup
	for _, n := range own {
		if n.ID != s.Self {
			wg.Go(func() { call[ProbeReply](s, n, methodProbe, args, nil) })
		}
	}
	wg.Wait()
}

// isComplete reports whether the nodes of the mesh are known.
func (s *Service) isComplete(t *Topology) bool {
	if s.complete.Load() {
		return true
	}
	if s.Complete == nil || s.Complete() || t.known() {
		s.complete.Store(true)
		return true
	}
	return false
}

func (s *Service) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.Expire(now)
	for tenant, e := range s.accounts {
		if e.idle(now) && e.fetch == nil && e.waiting == 0 {
			delete(s.accounts, tenant)
		}
	}
}

// entry returns the entry of a tenant, or nil if there are too many. The caller holds mu.
func (s *Service) entry(t *Topology, tenant string) *entry {
	e := s.accounts[tenant]
	if e == nil {
		if len(s.accounts) >= maxTenants {
			return nil
		}
		e = &entry{Account: NewAccount(s.Terms)}
		s.accounts[tenant] = e
	}
	if e.topology != t {
		e.topology, e.ranked = t, t.Ranked(tenant)
	}
	return e
}

// Admit decides whether a request of a tenant is within its quota. If not, retryAfter is the time after which the caller
// may send it again. It waits for an answer of the tenant's home if the node holds no token.
func (s *Service) Admit(ctx context.Context, l Limit, now time.Time) (ok bool, retryAfter time.Duration) {
	if l.Rate <= 0 {
		return true, 0
	}
	t := s.topology.Load()
	if !s.isComplete(t) {
		s.counters.starting.Inc(1)
		return false, s.spread(startRetryAfter)
	}
	s.mu.Lock()
	e := s.entry(t, l.Tenant)
	if e == nil {
		s.mu.Unlock()
		return s.refuse(nil, l.Tenant, now, time.Second)
	}
	e.used = now
	if len(e.ranked) > 0 && e.ranked[0].ID == s.Self && !s.contact.Isolated() {
		s.contact.Granted(now)
		g := s.take(now, t, RoleHome, Ask{Limit: l, Version: s.Version(), Need: 1, Arrived: 1})
		if g.Tokens > 0 {
			s.counters.granted.Inc(1)
			return true, 0
		}
		return s.refuse(e, l.Tenant, now, g.Wait)
	}
	e.Arrive(now)
	verdict := e.Decide(now)
	if verdict == Admit && e.fetch == nil && e.Ahead(now) > 0 {
		s.startFetch(now, t, e, l)
	}
	if verdict == Fetch {
		verdict = s.await(ctx, t, e, l, now)
		now = s.Clock.Now()
	}
	if verdict == Admit {
		s.mu.Unlock()
		s.counters.granted.Inc(1)
		return true, 0
	}
	wait := e.RetryAfter(now)
	s.mu.Unlock()
	return s.refuse(e, l.Tenant, now, wait)
}

// await waits until a token arrives, the request is refused, or maxWait has passed. The caller holds mu, which await
// releases while it waits.
func (s *Service) await(ctx context.Context, t *Topology, e *entry, l Limit, now time.Time) Verdict {
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	e.waiting++
	defer func() { e.waiting-- }()
	for {
		f := e.fetch
		if f == nil {
			f = s.startFetch(now, t, e, l)
		}
		s.mu.Unlock()
		expired := false
		select {
		case <-f.done:
		case <-timer.C:
			expired = true
		case <-ctx.Done():
			expired = true
		}
		s.mu.Lock()
		now = s.Clock.Now()
		if verdict := e.Decide(now); verdict != Fetch {
			return verdict
		}
		switch {
		case expired:
			s.counters.timedOut.Inc(1)
			return Refuse
		case f.lone:
			return s.lone(now, t, e, l)
		}
	}
}

// lone decides about a request while no node grants or refuses. The caller holds mu.
func (s *Service) lone(now time.Time, t *Topology, e *entry, l Limit) Verdict {
	ok, wait := e.Lone(now, l, t.parts, len(t.own()))
	if ok {
		s.counters.lone.Inc(1)
		return Admit
	}
	e.retryAt, e.spacing = now.Add(wait), 0
	return Refuse
}

// refuse counts and logs a refusal and returns the values for Admit.
func (s *Service) refuse(e *entry, tenant string, now time.Time, wait time.Duration) (bool, time.Duration) {
	s.counters.refused.Inc(1)
	wait = s.spread(wait)
	log := false
	if e != nil {
		s.mu.Lock()
		if log = now.Sub(e.logged) >= refusalLogPeriod; log {
			e.logged = now
		}
		s.mu.Unlock()
	}
	if log {
		event.QuotaRefused.Write(event.QuotaRefused.Log(&s.Log).Str("tenant", tenant).Dur("retry_after_ms", wait))
	}
	return false, wait
}

// spread limits a time to come back and adds a random part to it, so that callers do not return together.
func (s *Service) spread(d time.Duration) time.Duration {
	d = min(max(d, minRetryAfter), maxRetryAfter)
	return d + time.Duration(retrySpread*s.Random()*float64(d))
}

// take grants tokens from the ledger. If there are too few and a request to other zones is due, it makes that request and
// waits for the answers for transferWait at most. The caller holds mu, which take releases.
func (s *Service) take(now time.Time, t *Topology, role Role, ask Ask) Grant {
	g := s.ledger.Draw(now, role, ask)
	if g.Tokens < ask.Need && g.Short {
		requests := s.ledger.Requests(now, ask.Limit.Tenant, t.others(), true)
		s.mu.Unlock()
		s.awaitTransfers(s.startTransfers(context.Background(), t, requests))
		s.mu.Lock()
		now = s.Clock.Now()
		// A node that is no longer the home must not make a new bucket of a home.
		if current := s.topology.Load(); current == t || role == RoleHome && current.IsHome(ask.Limit.Tenant) {
			more := s.ledger.Draw(now, role, Ask{Limit: ask.Limit, Version: ask.Version, Need: ask.Need - g.Tokens})
			g.Tokens, g.Short, g.LimitChanged = g.Tokens+more.Tokens, more.Short, g.LimitChanged || more.LimitChanged
		}
	}
	g = s.ledger.Book(now, ask, g)
	s.mu.Unlock()
	if g.LimitChanged {
		event.QuotaLimitChanged.Write(event.QuotaLimitChanged.Log(&s.Log).Str("tenant", ask.Limit.Tenant).Float64("rate", ask.Limit.Rate).Float64("burst", ask.Limit.Burst))
	}
	if g.Short {
		select {
		case s.shortage <- ask.Limit.Tenant:
		default:
		}
	}
	return g
}

// startFetch starts a call for tokens. The caller holds mu.
func (s *Service) startFetch(now time.Time, t *Topology, e *entry, l Limit) *fetch {
	f := &fetch{done: make(chan struct{})}
	e.fetch = f
	ask := e.Ask(now, e.waiting, l, s.Version())
	go s.runFetch(t, e, f, ask)
	return f
}

// runFetch asks the nodes of the zone in their order until one grants or refuses.
func (s *Service) runFetch(t *Topology, e *entry, f *fetch, ask Ask) {
	g, sent, ok := s.askNodes(t, e, ask)
	s.mu.Lock()
	defer s.mu.Unlock()
	if ok {
		s.receive(e, sent, ask, g)
	}
	f.lone = !ok
	e.fetch = nil
	close(f.done)
}

// receive adds granted tokens to an account. The caller holds mu.
func (s *Service) receive(e *entry, sent time.Time, ask Ask, g Grant) {
	s.counters.expired.Inc(int64(e.Receive(s.Clock.Now(), sent, ask, g)))
}

// askNodes returns the answer to an Ask and the time at which it was sent; ok is false if no node granted or refused.
func (s *Service) askNodes(t *Topology, e *entry, ask Ask) (g Grant, sent time.Time, ok bool) {
	tenant := ask.Limit.Tenant
	var skipped []membership.InstanceID
	silent, redirects := 0, 0
	s.mu.Lock()
	ranked, isolated := slices.Clone(e.ranked), s.contact.Isolated()
	s.mu.Unlock()
	for i := 0; i < len(ranked) && silent < maxSilent; i++ {
		n := ranked[i]
		var reply GrantReply
		sent = s.Clock.Now()
		if n.ID == s.Self {
			if isolated {
				break
			}
			reply = s.grant(t, ask, skipped)
		} else {
			c := s.condition(n.ID)
			if c == Unknown {
				sentAt := sent // The answer may come after sent holds the time of the call to the next node.
				late := func(r GrantReply) {
					if !r.NotHome {
						s.mu.Lock()
						s.receive(e, sentAt, ask, r.Grant)
						s.mu.Unlock()
					}
				}
				reply, c = call(s, n, methodGrant, &GrantArgs{Ask: ask, From: s.Self, Skipped: skipped}, late)
			}
			if c != Unknown {
				if c == Silent {
					silent++
				}
				skipped = append(slices.Clip(skipped), n.ID)
				continue
			}
		}
		if !reply.NotHome {
			return reply.Grant, sent, true
		}
		s.counters.notHome.Inc(1)
		if reply.Home != "" && reply.Home != s.Self && redirects < maxSilent {
			// The directories differ, or this node's record of a failed call is out of date.
			redirects++
			s.heard(reply.Home)
			skipped = slices.DeleteFunc(slices.Clone(skipped), func(id membership.InstanceID) bool { return id == reply.Home })
			ranked = slices.Insert(ranked, i+1, Node{ID: reply.Home, Address: reply.HomeAddress})
			if reply.Home != n.ID {
				skipped = append(skipped, n.ID)
			}
			continue
		}
		skipped = append(slices.Clip(skipped), n.ID)
	}
	event.QuotaLone.Write(event.QuotaLone.Log(&s.Log).Str("tenant", tenant).Int("silent", silent))
	return Grant{}, sent, false
}

// condition returns what is known about a node.
func (s *Service) condition(id membership.InstanceID) Condition {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.health.Get(s.Clock.Now(), id)
}

// heard records a message from a node of the own zone.
func (s *Service) heard(id membership.InstanceID) {
	s.mu.Lock()
	back, joined := s.health.Clear(id), s.contact.Heard(s.Clock.Now())
	s.mu.Unlock()
	if back {
		event.QuotaHomeBack.Write(event.QuotaHomeBack.Log(&s.Log).Str("peer", string(id)))
	}
	if joined {
		event.QuotaRejoined.Write(event.QuotaRejoined.Log(&s.Log).Str("peer", string(id)))
	}
}

// failed records a failed call to a node, unless its answer has arrived meanwhile, and reports whether it did.
func (s *Service) failed(n Node, c Condition, answered *atomic.Bool) bool {
	now := s.Clock.Now()
	s.mu.Lock()
	if answered.Load() {
		s.mu.Unlock()
		return false
	}
	changed := s.health.Set(now, n, c)
	joined := c == Gone && s.contact.Heard(now) // The refusal came over the network.
	s.mu.Unlock()
	if c == Gone {
		s.counters.gone.Inc(1)
	} else {
		s.counters.silent.Inc(1)
	}
	if changed {
		event.QuotaHomeLost.Write(event.QuotaHomeLost.Log(&s.Log).Str("peer", string(n.ID)).Bool("process_ended", c == Gone))
	}
	if joined {
		event.QuotaRejoined.Write(event.QuotaRejoined.Log(&s.Log).Str("peer", string(n.ID)))
	}
	return true
}

// grant answers an Ask as the home or as a stand-in.
func (s *Service) grant(t *Topology, ask Ask, skipped []membership.InstanceID) GrantReply {
	if !s.isComplete(t) || ask.Limit.Rate <= 0 {
		return GrantReply{NotHome: true}
	}
	role, redirect := s.role(t, ask.Limit.Tenant, skipped)
	if redirect != nil {
		return *redirect
	}
	s.mu.Lock()
	g := s.take(s.Clock.Now(), t, role, ask)
	switch role {
	case RoleStandIn:
		s.counters.standIn.Inc(1)
	case RoleCautious:
		s.counters.cautious.Inc(1)
	}
	return GrantReply{Grant: g}
}

// role returns the role in which this node grants tokens of a tenant, or the answer to send if it does not. As a stand-in
// it checks itself that the nodes before it do not grant: the asking node may have lost the link to them only.
func (s *Service) role(t *Topology, tenant string, skipped []membership.InstanceID) (Role, *GrantReply) {
	role := RoleHome
	for _, n := range t.Ranked(tenant) {
		if n.ID == s.Self {
			return role, nil
		}
		notHome := &GrantReply{NotHome: true, Home: n.ID, HomeAddress: n.Address}
		if !slices.Contains(skipped, n.ID) {
			return 0, notHome
		}
		if role == RoleHome {
			role = RoleStandIn
		}
		c := s.condition(n.ID)
		if c == Unknown {
			var reply ProbeReply
			reply, c = call[ProbeReply](s, n, methodProbe, &ProbeArgs{Tenant: tenant, From: s.Self}, nil)
			if c == Unknown && reply.Home {
				return 0, notHome
			}
		}
		if c == Silent {
			role = RoleCautious
		}
	}
	return 0, &GrantReply{NotHome: true}
}

// HandleGrant serves a request for tokens from another node.
func (s *Service) HandleGrant(args *GrantArgs, reply *GrantReply) error {
	s.heard(args.From)
	*reply = s.grant(s.topology.Load(), args.Ask, args.Skipped)
	return nil
}

// HandleProbe serves a probe from another node.
func (s *Service) HandleProbe(args *ProbeArgs, reply *ProbeReply) error {
	s.heard(args.From)
	if args.Joined != "" {
		now := s.Clock.Now()
		s.mu.Lock()
		known := s.topology.Load().contains(args.From)
		s.joined[args.From] = joinedNode{args.Joined, now.Add(joinedTime)}
		s.mu.Unlock()
		if !known {
			s.follow(now)
		}
	}
	t := s.topology.Load()
	reply.Home = args.Tenant != "" && s.isComplete(t) && t.IsHome(args.Tenant)
	return nil
}

// HandleTransfer serves a request for tokens from another zone.
func (s *Service) HandleTransfer(args *TransferArgs, reply *TransferReply) error {
	t := s.topology.Load()
	if !s.isComplete(t) || !t.IsHome(args.Limit.Tenant) || args.Limit.Rate <= 0 {
		return nil
	}
	s.mu.Lock()
	if !s.contact.Isolated() {
		reply.Given = s.ledger.Give(s.Clock.Now(), args.Version, args.Limit, args.Want)
	}
	s.mu.Unlock()
	s.counters.given.Inc(int64(reply.Given))
	return nil
}

// probe checks nodes that do not answer and, if nothing was heard from the zone, the contact to it.
func (s *Service) probe(now time.Time) {
	own := s.topology.Load().own()
	s.mu.Lock()
	nodes, mustProbe := s.health.Probes(now), s.contact.MustProbe(now)
	s.mu.Unlock()
	args := &ProbeArgs{From: s.Self}
	var wg sync.WaitGroup
	for _, n := range nodes {
		wg.Go(func() { call[ProbeReply](s, n, methodProbe, args, nil) })
	}
	others := slices.DeleteFunc(slices.Clone(own), func(n Node) bool { return n.ID == s.Self })
	var answered atomic.Bool
	if mustProbe && len(others) > 0 {
		for range min(contactProbes, len(others)) {
			i := min(len(others)-1, int(s.Random()*float64(len(others))))
			n := others[i]
			others = slices.Delete(others, i, i+1)
			wg.Go(func() {
				if _, c := call[ProbeReply](s, n, methodProbe, args, nil); c != Silent {
					answered.Store(true)
				}
			})
		}
	} else {
		answered.Store(true)
	}
	wg.Wait()
	if answered.Load() {
		return
	}
	s.mu.Lock()
	changed := s.contact.Fail()
	s.mu.Unlock()
	if changed {
		event.QuotaIsolated.Write(event.QuotaIsolated.Log(&s.Log))
	}
}

// RunTransfers requests tokens from other zones until ctx ends.
func (s *Service) RunTransfers(ctx context.Context) {
	for {
		select {
		case tenant := <-s.shortage:
			now, t := s.Clock.Now(), s.topology.Load()
			s.mu.Lock()
			requests := s.ledger.Requests(now, tenant, t.others(), false)
			s.mu.Unlock()
			s.startTransfers(ctx, t, requests)
		case <-ctx.Done():
			return
		}
	}
}

// startTransfers starts calls to the homes in other zones, as far as transferSlots permits. The channel gets a value at the end
// of each, for the returned number of calls.
func (s *Service) startTransfers(ctx context.Context, t *Topology, requests []Request) (done <-chan struct{}, started int) {
	ended := make(chan struct{}, len(requests))
	for _, r := range requests {
		home, ok := t.Home(r.Zone, r.Limit.Tenant)
		if !ok {
			continue
		}
		select {
		case s.transferSlots <- struct{}{}:
			started++
			go func() {
				s.transfer(ctx, home, r)
				<-s.transferSlots
				ended <- struct{}{}
			}()
		default:
		}
	}
	return ended, started
}

// awaitTransfers waits until the given number of calls have ended, for transferWait at most.
func (s *Service) awaitTransfers(done <-chan struct{}, started int) {
	timer := time.NewTimer(transferWait)
	defer timer.Stop()
	for range started {
		select {
		case <-done:
		case <-timer.C:
			return
		}
	}
}

// transfer requests tokens from the home in another zone.
func (s *Service) transfer(ctx context.Context, home Node, r Request) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	s.counters.transfers.Inc(1)
	sent := s.Clock.Now()
	var reply TransferReply
	if err := s.Caller.Call(ctx, home.Address, methodTransfer, &TransferArgs{Limit: r.Limit, Version: r.Version, Want: r.Want}, &reply); err != nil {
		event.QuotaTransferFailed.Write(event.QuotaTransferFailed.Log(&s.Log).Err(err).Str("zone", r.Zone).Str("peer", string(home.ID)))
		reply.Given = 0
	}
	s.mu.Lock()
	accepted := s.ledger.Receive(s.Clock.Now(), sent, r.Limit.Tenant, reply.Given)
	s.mu.Unlock()
	s.counters.received.Inc(int64(accepted))
}
