package directory

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/monsoonlatch/monsoonlatch/pkg/clock"
	"github.com/monsoonlatch/monsoonlatch/pkg/config"
	"github.com/monsoonlatch/monsoonlatch/pkg/event"
	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
	"github.com/monsoonlatch/monsoonlatch/pkg/rpcwire"
)

// RPC methods between nodes.
const (
	methodPull  = "Directory.Pull"
	methodOffer = "Directory.Offer"
)

const (
	// peerTimeout is the timeout for a call to another node.
	peerTimeout = 500 * time.Millisecond
	// silenceLimit is how long the store may give no answer before a watcher pulls from other nodes. It is longer
	// than a configuration watch, so that a working store answers in time even without changes.
	silenceLimit = 1500 * time.Millisecond
	// pullPeriod is the interval between pulls from a distributor. Together with the 1 s of a watcher's configuration
	// watch it stays below 2 s, the maximum apply time of a configuration.
	pullPeriod = 700 * time.Millisecond
	// firstPull is the delay before the first pull after a start. It is short because the initial listing may be
	// seconds old.
	firstPull = 200 * time.Millisecond
	// pullTries is the number of nodes tried in one period when some do not answer.
	pullTries = 2
	// passQueue is the capacity of the queue of changes to forward.
	passQueue = 16
	// pullsMissed is the number of pulls that may go unanswered before a node watches the store itself.
	pullsMissed = 2
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
}

// OfferArgs carries changed records and the version of the configuration in force at the sending node, whose control
// address is From. Silent is set when the sending node is a watcher that the store does not answer.
type OfferArgs struct {
	Records []membership.Instance
	Version config.Version
	From    string
	Silent  bool
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
	Log              zerolog.Logger
	Metrics          *metric.Set
	// OnOwnRecord, if set, is called with this node's own record as received from another node.
	OnOwnRecord func(membership.Instance)
	// Silence returns the time since the store last answered.
	Silence func() time.Duration

	ask  chan string
	pass chan []membership.Instance
	// whole makes the next pull request the full configuration; it is set after received deltas could not be applied.
	whole atomic.Bool
	// trusted is the time from which the absence of fresh replies is measured: that of the last fresh reply, or the
	// last time at which Trusting found this node to be a watcher.
	trusted clock.Last
	// told is the time of the last reply from a node that the store itself had recently answered.
	told clock.Last
	// doubtful is set when the last round of pulls gave no fresh reply.
	doubtful atomic.Bool
}

// NewPeers initialises p and registers its RPC methods with the server.
func NewPeers(p *Peers, server *rpcwire.Server) *Peers {
	p.ask = make(chan string, 1)
	p.pass = make(chan []membership.Instance, passQueue)
	rpcwire.HandleFunc(server, methodPull, p.pull)
	rpcwire.HandleFunc(server, methodOffer, p.offer)
	return p
}

// pull serves a pull request from another node.
func (p *Peers) pull(args *Digest, reply *PullReply) error {
	reply.Heard = p.Silence() <= silenceLimit
	// A watcher without the store must not count as fresh through a node that watches the store in its place: that node
	// would stop its watch.
	reply.Fresh = reply.Heard || !p.State.roster().isSentinel(p.Self) && p.told.Ago(time.Now()) <= silenceLimit
	if args.Records == nil {
		reply.Differs = args.Sum != p.State.Digest().Sum
	} else {
		reply.Records = p.State.Missing(*args)
	}
	if snap := p.State.Current(); snap != nil && snap.Version > args.Version {
		reply.Version = snap.Version
		if changes, ok := p.State.Since(args.Version); ok {
			reply.Version, reply.Changes = changes[len(changes)-1].To, changes
		} else {
			reply.Configuration = snap.Configuration
		}
	}
	return nil
}

func (p *Peers) offer(args *OfferArgs, _ *OfferReply) error {
	if n := p.merge(args.Records); n > 0 {
		event.RecordsFromPeer.Write(event.RecordsFromPeer.Log(&p.Log).Int("records", n))
		p.PassOn(args.Records)
	}
	if args.Version > p.State.Version() || args.Silent {
		p.Ask(args.From)
	}
	return nil
}

// merge stores newer records of other instances and returns their number. Only this node itself changes its own
// record, so that a received one is passed to OnOwnRecord.
func (p *Peers) merge(records []membership.Instance) int {
	others := make([]membership.Instance, 0, len(records))
	for _, in := range records {
		if in.ID != p.Self {
			others = append(others, in)
		} else if p.OnOwnRecord != nil {
			p.OnOwnRecord(in)
		}
	}
	return p.State.Merge(others...)
}

// Ask requests a pull from a node that serves a newer configuration, given by its control address or IP address. It
// does not block: while a request is pending, further ones are dropped, since every message from a newer node
// triggers another.
func (p *Peers) Ask(addr string) {
	if _, _, err := net.SplitHostPort(addr); err != nil {
		addr = net.JoinHostPort(addr, p.ControlPort)
	}
	select {
	case p.ask <- addr:
	default:
	}
}

// Run makes the requested and the periodic pulls until ctx ends.
func (p *Peers) Run(ctx context.Context) {
	tick := time.NewTicker(pullPeriod)
	defer tick.Stop()
	first := time.After(firstPull)
	for {
		select {
		case addr := <-p.ask:
			if !p.pullFrom(ctx, addr) {
				p.pullNext(ctx)
			}
		case <-first:
			p.pullNext(ctx)
		case <-tick.C:
			p.pullNext(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// pullNext tries up to pullTries nodes until one gives a fresh reply. If none does, this node watches the store itself.
func (p *Peers) pullNext(ctx context.Context) {
	for try := range pullTries {
		if addr, ok := p.next(try); !ok || p.pullFrom(ctx, addr) {
			return
		}
	}
	p.doubtful.Store(true)
}

// Trusting reports whether this node need not watch the store, since it receives fresh replies from other nodes. A
// node that has just started, or was a watcher until now, allows the first reply as much time as any later one.
func (p *Peers) Trusting() bool {
	watches := p.State.roster().isSentinel(p.Self)
	if watches || p.trusted.Never() {
		p.trusted.Set(time.Now())
	}
	return !watches && !p.doubtful.Load() && p.trusted.Ago(time.Now()) < pullsMissed*pullPeriod+peerTimeout
}

// next returns the control address of the node to pull from: the assigned distributor on the first try, then a random
// distributor. A watcher does not pull while the store answers. While it does not, a watcher and a node without fresh
// replies pull from any node, since the distributors may have lost the store too.
func (p *Peers) next(try int) (string, bool) {
	r := p.State.roster()
	from := r.feeders
	switch watches := r.isSentinel(p.Self); {
	case p.Silence() > silenceLimit && (watches || !p.Trusting()):
		from = r.nodes
	case watches:
		return "", false
	case try == 0:
		if i := r.feederOf(p.Self, p.AvailabilityZone); i >= 0 {
			return r.feeders[i].ControlAddress, true
		}
	}
	var addrs []string
	for _, in := range from {
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
	reply, ok := p.question(ctx, addr, p.State.Digest())
	if ok && reply.Differs {
		reply, ok = p.question(ctx, addr, p.State.FullDigest())
	}
	return ok && reply.Fresh
}

func (p *Peers) question(ctx context.Context, addr string, d Digest) (reply PullReply, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	if p.whole.Swap(false) {
		d.Version = 0
	}
	if err := p.Caller.Call(ctx, addr, methodPull, d, &reply); err != nil {
		p.Metrics.Retried(metric.RetryControlCall)
		event.PeerNotHeard.Write(event.PeerNotHeard.Log(&p.Log).Err(err).Str("peer", addr))
		return reply, false
	}
	if reply.Heard {
		p.told.Set(time.Now())
	}
	if reply.Fresh {
		p.doubtful.Store(false)
		p.trusted.Set(time.Now())
	}
	if n := p.merge(reply.Records); n > 0 {
		event.RecordsFromPeer.Write(event.RecordsFromPeer.Log(&p.Log).Int("records", n).Str("peer", addr))
		p.PassOn(reply.Records)
	}
	if reply.Version == 0 {
		return reply, true
	}
	if err := p.adopt(reply, addr); err != nil {
		event.ConfigInvalid.Write(event.ConfigInvalid.Log(&p.Log).Err(err).Uint64("version", uint64(reply.Version)).Str("peer", addr))
		p.whole.Store(true)
		return reply, true
	}
	p.PassOn(nil)
	return reply, true
}

func (p *Peers) adopt(reply PullReply, addr string) error {
	if len(reply.Changes) == 0 {
		return p.State.adopt(&p.Log, reply.Version, reply.Configuration, nil, addr)
	}
	snap := p.State.Current()
	if snap == nil || snap.Version != reply.Changes[0].From {
		return nil // A newer configuration arrived in the meantime from the store or another node.
	}
	cfg, err := config.ApplyAll(snap.Configuration, reply.Changes)
	if err != nil {
		return err
	}
	return p.State.adopt(&p.Log, reply.Version, cfg, reply.Changes, addr)
}

// Offer sends a record to all other known nodes that have not departed.
func (p *Peers) Offer(ctx context.Context, in membership.Instance) {
	var others []membership.Instance
	for _, other := range p.State.All() {
		if other.ID != in.ID && other.State != membership.StateDeparted {
			others = append(others, other)
		}
	}
	p.offerTo(ctx, others, OfferArgs{Records: []membership.Instance{in}})
}

// offerTo sends an offer to the given nodes and waits until all calls have completed or timed out.
func (p *Peers) offerTo(ctx context.Context, others []membership.Instance, args OfferArgs) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, other := range others {
		wg.Go(func() {
			var reply OfferReply
			if err := p.Caller.Call(ctx, other.ControlAddress, methodOffer, args, &reply); err != nil {
				p.Metrics.Retried(metric.RetryControlCall)
			}
		})
	}
	wg.Wait()
}

// PassOn queues changed records for the nodes that this one serves; nil announces only the configuration version. It
// does not block: when the queue is full the change is dropped, and the nodes fetch it with their next pull.
func (p *Peers) PassOn(records []membership.Instance) {
	select {
	case p.pass <- records:
	default:
	}
}

// RunPassOn forwards queued changes until ctx ends. All queued changes go in one message.
func (p *Peers) RunPassOn(ctx context.Context) {
	for {
		select {
		case records := <-p.pass:
			records = slices.Clip(records) // The slice may be the caller's; Clip makes append copy it.
			for more := true; more; {
				select {
				case next := <-p.pass:
					records = append(records, next...)
				default:
					more = false
				}
			}
			r := p.State.roster()
			if to := r.charges(p.Self); len(to) > 0 {
				p.offerTo(ctx, to, OfferArgs{Records: records, Version: p.State.Version(), From: p.Control,
					Silent: p.Silence() > silenceLimit && r.isSentinel(p.Self)})
			}
		case <-ctx.Done():
			return
		}
	}
}
