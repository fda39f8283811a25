package directory

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/monsoonlatch/monsoonlatch/pkg/clock"
	"github.com/monsoonlatch/monsoonlatch/pkg/config"
	"github.com/monsoonlatch/monsoonlatch/pkg/era"
	"github.com/monsoonlatch/monsoonlatch/pkg/event"
	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
	"github.com/monsoonlatch/monsoonlatch/pkg/rollout"
	"github.com/monsoonlatch/monsoonlatch/pkg/rpcwire"
)

// RPC methods between nodes.
const (
	methodPull  = "Directory.Pull"
	methodOffer = "Directory.Offer"
	methodKnown = "Directory.Known"
)

const (
	// peerCallTimeout is the timeout for a call to another node.
	peerCallTimeout = 500 * time.Millisecond
	// maxStoreSilence is how long the store may not respond before a watcher pulls from other nodes. It is longer than
	// a configuration watch, so that a working store responds in time even without changes.
	maxStoreSilence = 1500 * time.Millisecond
	// pullPeriod is the interval between pulls from a distributor. Together with the 1 s of a watcher's configuration
	// watch it stays below 2 s, the maximum apply time of a configuration.
	pullPeriod = 700 * time.Millisecond
	// firstPullDelay is the delay before the first pull after a start. It is short because the initial listing may be
	// seconds old.
	firstPullDelay = 200 * time.Millisecond
	// maxPullAttempts is the number of nodes tried in one period when some do not answer.
	maxPullAttempts = 2
	// forwardQueueSize is the capacity of the queue of changes to forward.
	forwardQueueSize = 16
	// maxMissedPulls is the number of pulls that may go unanswered before a node watches the store itself.
	maxMissedPulls = 2
)

// PullReply holds what the requesting node lacks. Version is zero if the requester's configuration is up to date;
// otherwise either Changes or the full Configuration is set.
type PullReply struct {
	Version       config.Version
	Changes       []config.Delta
	Configuration config.Configuration
	Records       []membership.Instance
	// Differs is set in the reply to a digest without Records when the checksums of the records differ.
	Differs bool
	// Heard is set when the store has recently answered the replying node. Fresh is set when Heard is, or when the
	// replying node is not a watcher and has recently pulled from a node whose reply had Heard set. Freshness passes
	// over one such hop only; otherwise nodes without access to the store could keep each other from watching it.
	Heard, Fresh bool
	// Confirmed is set if the store has confirmed the replying node's configuration, ConfirmedAge ago, as the newest one.
	// Unlike Fresh it passes over any number of nodes, since the age only grows on the way.
	Confirmed    bool
	ConfirmedAge time.Duration
	// Format is configurationFormat of the replying node.
	Format int
	// Era is the latest era of the store that the replying node knows; zero if it knows none.
	Era era.Number
	// Plans holds the plans for roll-outs if those of the requesting node differ. RolloutsKnown answers Digest.RolloutsUnknown.
	Plans         []rollout.Plan
	RolloutsKnown bool
}

// configurationFormat increases when nodes that do not know a new part of the configuration would drop it silently. A node
// takes no configuration from a node with a lower format: one without tenants would be served without their keys. Format
// 1 has tenants.
const configurationFormat = 1

// ConfirmationDelay is the time that a confirmation by the store takes at most to reach a node through two others.
const ConfirmationDelay = 2*pullPeriod + peerCallTimeout

// OfferArgs carries changed records and the version of the configuration in force at the sending node, whose control
// address is From. Silent is set when the sending node is a watcher that the store does not answer: the receiving node
// then pulls at once, and watches the store itself if it gets no fresh reply.
type OfferArgs struct {
	Records []membership.Instance
	Version config.Version
	From    string
	Silent  bool
	// Plans are changed plans for roll-outs.
	Plans []rollout.Plan
	// Era is the latest era of the store that the sending node knows; zero if it knows none.
	Era era.Number
}

// OfferReply is the empty reply to an offer.
type OfferReply struct{}

// Peers exchanges configuration and instance records with other nodes.
type Peers struct {
	State  *State
	Caller rpcwire.Caller
	// Control is this node's control address; ControlPort is its port, which is the same on all nodes.
	Control     string
	ControlPort string
	Self        membership.InstanceID
	// AvailabilityZone is this node's availability zone.
	AvailabilityZone string
	// Eras knows the latest era of the store. All messages tell it, so that a node that does not read the store itself learns of a
	// restore too.
	Eras    *era.Tracker
	Log     zerolog.Logger
	Metrics *metric.Set
	// OnOwnRecord, if set, is called with this node's own record as received from another node.
	OnOwnRecord func(membership.Instance)
	// StoreSilence returns the time since the store last answered.
	StoreSilence func() time.Duration

	// pullRequests holds the control address to pull from next, or an empty string for a watcher or else any node.
	pullRequests chan string
	forwardQueue chan []membership.Instance
	// requestFull makes the next pull request the full configuration; it is set after received deltas could not be
	// applied.
	requestFull atomic.Bool
	// freshnessStart is the time from which the absence of fresh replies is measured: that of the last fresh reply,
	// or the last time at which CanSkipWatch found this node to be a watcher.
	freshnessStart clock.EventTime
	// lastDirectReply is the time of the last reply from a node that the store itself had recently answered.
	lastDirectReply clock.EventTime
	// noFreshReply is set when the last round of pulls gave no fresh reply.
	noFreshReply atomic.Bool
	// rollouts is nil where no roll-outs are in force.
	rollouts *Rollouts
	server   *rpcwire.Server
}

// NewPeers initialises p and registers its RPC methods with the server.
func NewPeers(p *Peers, server *rpcwire.Server) *Peers {
	p.pullRequests = make(chan string, 1)
	p.forwardQueue = make(chan []membership.Instance, forwardQueueSize)
	rpcwire.HandleFunc(server, methodPull, p.handlePull)
	rpcwire.HandleFunc(server, methodOffer, p.handleOffer)
	rpcwire.HandleFunc(server, methodKnown, p.handleKnown)
	p.server = server
	return p
}

// attach lets plans for roll-outs pass with the other messages. It must be called before the server starts.
func (p *Peers) attach(r *Rollouts) {
	p.rollouts = r
	if p.server != nil {
		rpcwire.HandleFunc(p.server, methodReport, r.handleReport)
	}
}

// handlePull serves a pull request from another node.
func (p *Peers) handlePull(args *Digest, reply *PullReply) error {
	p.observeEra(args.Era)
	reply.Era = p.Eras.Latest()
	reply.Heard = p.StoreSilence() <= maxStoreSilence
	// A watcher that the store does not answer must not derive freshness from another node's reply: that node may be
	// watching the store in place of the watcher, and would stop its watch on getting a fresh reply.
	reply.Fresh = reply.Heard || !p.State.topology().isWatcher(p.Self) && p.lastDirectReply.Age(time.Now()) <= maxStoreSilence
	reply.Format = configurationFormat
	if age := p.State.ConfigurationAge(); age < math.MaxInt64 {
		reply.Confirmed, reply.ConfirmedAge = true, age
	}
	if args.Records == nil {
		reply.Differs = args.Sum != p.State.Digest().Sum
	} else {
		reply.Records = p.State.Missing(*args)
	}
	if snap := p.State.Current(); snap != nil && snap.Version > args.Version {
		reply.Version = snap.Version
		if changes, ok := p.State.DeltasSince(args.Version); ok {
			reply.Version, reply.Changes = changes[len(changes)-1].To, changes
		} else {
			reply.Configuration = snap.Configuration
		}
	}
	if r := p.rollouts; r != nil {
		reply.RolloutsKnown = args.RolloutsUnknown && r.Table.Known()
		if args.PlanSum != r.Table.Sum() {
			reply.Plans = r.Table.All()
		}
	}
	return nil
}

func (p *Peers) handleOffer(args *OfferArgs, _ *OfferReply) error {
	p.observeEra(args.Era)
	if n := p.mergeOthers(args.Records); n > 0 {
		event.RecordsFromPeer.Write(event.RecordsFromPeer.Log(&p.Log).Int("records", n))
		p.Forward(args.Records)
	}
	if p.rollouts != nil {
		p.rollouts.receive(args.Plans)
	}
	if args.Version > p.State.Version() || args.Silent {
		p.RequestPull(args.From)
	}
	return nil
}

// observeEra takes in the era that another node has told.
func (p *Peers) observeEra(told era.Number) {
	if told != 0 {
		p.Eras.Observe(told)
	}
}

// mergeOthers stores newer valid records of other instances and returns their number. Only this node itself changes its own
// record, so that a received one is passed to OnOwnRecord.
func (p *Peers) mergeOthers(records []membership.Instance) int {
	others := make([]membership.Instance, 0, len(records))
	for _, in := range records {
		if err := in.Validate(); err != nil {
			event.RecordRefused.Write(event.RecordRefused.Log(&p.Log).Err(err).Str("instance", fmt.Sprintf("%.64s", in.ID)))
			continue
		}
		if in.ID != p.Self {
			others = append(others, in)
		} else if p.OnOwnRecord != nil {
			p.OnOwnRecord(in)
		}
	}
	return p.State.Merge(others...)
}

// RequestPull requests a pull from a node that serves a newer configuration, given by its control address or IP
// address. It does not block: while a request is pending, further ones are dropped, since every message from a newer
// node triggers another.
func (p *Peers) RequestPull(addr string) {
	if _, _, err := net.SplitHostPort(addr); err != nil {
		addr = net.JoinHostPort(addr, p.ControlPort)
	}
	p.queuePull(addr)
}

// RequestPullFromAny requests a pull without waiting for the next periodic one, for a node that has just noticed that the
// store does not answer it. It does not block: while a request is pending, further ones are dropped.
func (p *Peers) RequestPullFromAny() { p.queuePull("") }

func (p *Peers) queuePull(addr string) {
	select {
	case p.pullRequests <- addr:
	default:
	}
}

// Run makes the requested and the periodic pulls until ctx ends.
func (p *Peers) Run(ctx context.Context) {
	tick := time.NewTicker(pullPeriod)
	defer tick.Stop()
	first := time.After(firstPullDelay)
	for {
		select {
		case addr := <-p.pullRequests:
			if addr == "" {
				addr = p.otherWatcher()
			}
			if addr == "" || !p.pullFrom(ctx, addr) {
				p.pullFromAny(ctx)
			}
		case <-first:
			p.pullFromAny(ctx)
		case <-tick.C:
			p.pullFromAny(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// pullFromAny tries up to maxPullAttempts nodes until one gives a fresh reply. If none does, this node watches the
// store itself.
func (p *Peers) pullFromAny(ctx context.Context) {
	for attempt := range maxPullAttempts {
		if addr, ok := p.pullTarget(attempt); !ok || p.pullFrom(ctx, addr) {
			return
		}
	}
	p.noFreshReply.Store(true)
}

// CanSkipWatch reports whether this node need not watch the store, since it receives fresh replies from other nodes. A
// node that has just started, or was a watcher until now, allows the first reply as much time as any later one.
func (p *Peers) CanSkipWatch() bool {
	isWatcher := p.State.topology().isWatcher(p.Self)
	if isWatcher || p.freshnessStart.IsZero() {
		p.freshnessStart.Set(time.Now())
	}
	return !isWatcher && !p.noFreshReply.Load() && p.freshnessStart.Age(time.Now()) < maxMissedPulls*pullPeriod+peerCallTimeout
}

// otherWatcher returns the control address of a random other watcher, or an empty string if there is none. A node that has no
// store of its own may itself wait for this one.
func (p *Peers) otherWatcher() string {
	var addrs []string
	for _, in := range p.State.topology().watchers() {
		if in.ID != p.Self {
			addrs = append(addrs, in.ControlAddress)
		}
	}
	if len(addrs) == 0 {
		return ""
	}
	return addrs[rand.IntN(len(addrs))]
}

// pullTarget returns the control address of the node to pull from: the assigned distributor at the first attempt,
// then a random distributor. A watcher does not pull while the store answers. While it does not, a watcher and a node
// without fresh replies pull from any node, since the distributors may have lost the store too.
func (p *Peers) pullTarget(attempt int) (string, bool) {
	t := p.State.topology()
	candidates := t.distributors
	switch isWatcher := t.isWatcher(p.Self); {
	case p.StoreSilence() > maxStoreSilence && (isWatcher || !p.CanSkipWatch()):
		candidates = t.nodes
	case isWatcher:
		return "", false
	case attempt == 0:
		if i := t.distributorIndex(p.Self, p.AvailabilityZone); i >= 0 {
			return t.distributors[i].ControlAddress, true
		}
	}
	var addrs []string
	for _, in := range candidates {
		if in.ID != p.Self {
			addrs = append(addrs, in.ControlAddress)
		}
	}
	if len(addrs) == 0 {
		return "", false
	}
	return addrs[rand.IntN(len(addrs))], true
}

// pullFrom fetches from a node what this one lacks and reports whether the reply is fresh.
func (p *Peers) pullFrom(ctx context.Context, addr string) bool {
	reply, ok := p.pullOnce(ctx, addr, p.State.Digest())
	if ok && reply.Differs {
		reply, ok = p.pullOnce(ctx, addr, p.State.FullDigest())
	}
	return ok && reply.Fresh
}

func (p *Peers) pullOnce(ctx context.Context, addr string, digest Digest) (reply PullReply, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	start := time.Now()
	digest.Era = p.Eras.Latest()
	if p.requestFull.Swap(false) {
		digest.Version = 0
	}
	if p.rollouts != nil {
		digest.PlanSum, digest.RolloutsUnknown = p.rollouts.Table.Sum(), !p.rollouts.Table.Known()
	}
	if err := p.Caller.Call(ctx, addr, methodPull, digest, &reply); err != nil {
		p.Metrics.CountRetry(metric.RetryControlCall)
		event.PeerNotHeard.Write(event.PeerNotHeard.Log(&p.Log).Err(err).Str("peer", addr))
		return reply, false
	}
	p.observeEra(reply.Era)
	if reply.Version != 0 && reply.Format < configurationFormat {
		event.PeerFormatOld.Write(event.PeerFormatOld.Log(&p.Log).Str("peer", addr).Uint64("version", uint64(reply.Version)).Int("format", reply.Format))
		reply.Version, reply.Heard, reply.Fresh, reply.Confirmed = 0, false, false, false
	}
	if reply.Heard {
		p.lastDirectReply.Set(time.Now())
	}
	if reply.Fresh {
		p.noFreshReply.Store(false)
		p.freshnessStart.Set(time.Now())
	}
	if n := p.mergeOthers(reply.Records); n > 0 {
		event.RecordsFromPeer.Write(event.RecordsFromPeer.Log(&p.Log).Int("records", n).Str("peer", addr))
		p.Forward(reply.Records)
	}
	if p.rollouts != nil {
		p.rollouts.receive(reply.Plans)
		if reply.RolloutsKnown {
			p.rollouts.Table.SetKnown()
		}
	}
	if reply.Version == 0 {
		p.confirm(reply, start)
		return reply, true
	}
	if err := p.applyReply(reply, addr); err != nil {
		event.ConfigInvalid.Write(event.ConfigInvalid.Log(&p.Log).Err(err).Uint64("version", uint64(reply.Version)).Str("peer", addr))
		p.requestFull.Store(true)
		return reply, true
	}
	p.confirm(reply, start)
	p.Forward(nil)
	return reply, true
}

// confirm takes over the confirmation in a reply whose configuration, if any, has been applied. The call began at start.
func (p *Peers) confirm(reply PullReply, start time.Time) {
	if reply.Confirmed && reply.ConfirmedAge >= 0 && p.State.Version() >= reply.Version {
		p.State.confirm(start.Add(-reply.ConfirmedAge))
	}
}

func (p *Peers) applyReply(reply PullReply, addr string) error {
	if len(reply.Changes) == 0 {
		return p.State.validateAndAccept(&p.Log, reply.Version, reply.Configuration, nil, addr)
	}
	snap := p.State.Current()
	if snap == nil || snap.Version != reply.Changes[0].From {
		return nil // A newer configuration arrived in the meantime from the store or another node.
	}
	cfg, err := config.ApplyAll(snap.Configuration, reply.Changes)
	if err != nil {
		return err
	}
	return p.State.validateAndAccept(&p.Log, reply.Version, cfg, reply.Changes, addr)
}

// Offer sends a record to all other known nodes that have not departed.
func (p *Peers) Offer(ctx context.Context, in membership.Instance) {
	var targets []membership.Instance
	for _, other := range p.State.All() {
		if other.ID != in.ID && other.State != membership.StateDeparted {
			targets = append(targets, other)
		}
	}
	p.sendOffer(ctx, targets, OfferArgs{Records: []membership.Instance{in}})
}

// sendOffer sends an offer to the given nodes and waits until all calls have completed or timed out.
func (p *Peers) sendOffer(ctx context.Context, targets []membership.Instance, args OfferArgs) {
	args.Era = p.Eras.Latest()
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, other := range targets {
		wg.Go(func() {
			var reply OfferReply
			if err := p.Caller.Call(ctx, other.ControlAddress, methodOffer, args, &reply); err != nil {
				p.Metrics.CountRetry(metric.RetryControlCall)
			}
		})
	}
	wg.Wait()
}

// Forward queues changed records for the nodes that this one serves; nil announces only the configuration version. It
// does not block: when the queue is full the change is dropped, and the nodes fetch it with their next pull.
func (p *Peers) Forward(records []membership.Instance) {
	select {
	case p.forwardQueue <- records:
	default:
	}
}

// RunForward forwards queued changes until ctx ends. All queued changes go in one message.
func (p *Peers) RunForward(ctx context.Context) {
	for {
		select {
		case records := <-p.forwardQueue:
			records = slices.Clip(records) // The slice may be the caller's; Clip makes append copy it.
			for more := true; more; {
				select {
				case queued := <-p.forwardQueue:
					records = append(records, queued...)
				default:
					more = false
				}
			}
			t := p.State.topology()
			if targets := t.downstream(p.Self); len(targets) > 0 {
				p.sendOffer(ctx, targets, OfferArgs{Records: records, Version: p.State.Version(), From: p.Control,
					Silent: p.StoreSilence() > maxStoreSilence && t.isWatcher(p.Self)})
			}
		case <-ctx.Done():
			return
		}
	}
}
