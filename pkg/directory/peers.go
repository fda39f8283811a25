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

// Methods between nodes.
const (
	methodPull  = "Directory.Pull"
	methodOffer = "Directory.Offer"
)

const (
	// peerTimeout bounds one call of another node.
	peerTimeout = 500 * time.Millisecond
	// silenceLimit is how long the store may be silent before a sentinel asks others: longer than its watches of the
	// configuration, which are answered in turn.
	silenceLimit = 1500 * time.Millisecond
	// pullPeriod is the pause between questions to sentinels. With a sentinel's watch of the configuration, a second, it
	// stays within the bound on a configuration of 2 s.
	pullPeriod = 700 * time.Millisecond
	// firstPull is the time of the first question after a start. A listing may be seconds old.
	firstPull = 200 * time.Millisecond
	// pullTries is how many nodes are asked in one period when some do not answer.
	pullTries = 2
	// passQueue bounds the changes that wait to be passed on.
	passQueue = 16
	// pullsMissed is how many questions may go unanswered before a node watches the store as a sentinel does.
	pullsMissed = 2
)

// PullReply is what the asking node lacks. Version is zero if its configuration is not older; otherwise either Changes or
// the whole Configuration is set.
type PullReply struct {
	Version       config.Version
	Changes       []config.Delta
	Configuration config.Configuration
	Records       []membership.Instance
	// Differs states that the records differ from those of a digest without records.
	Differs bool
	// Heard states that the store has answered the asked node lately; Fresh, that it has answered it or another one that
	// told the asked node. A node that is told by one that was told only is not fresh, so that nodes which the store does
	// not answer cannot keep each other content.
	Heard, Fresh bool
}

// OfferArgs passes records on, and the version of the configuration in force at the node with the control address From.
// Silent states that the store does not answer that node.
type OfferArgs struct {
	Records []membership.Instance
	Version config.Version
	From    string
	Silent  bool
}

// OfferReply is empty.
type OfferReply struct{}

// Peers exchanges the state with other nodes.
type Peers struct {
	State  *State
	Caller rpcwire.Caller
	// Control is the own control address; ControlPort is the port of it, the same on all nodes.
	Control     string
	ControlPort string
	Self        membership.InstanceID
	// AvailabilityZone is the own one.
	AvailabilityZone string
	Log              zerolog.Logger
	Metrics          *metric.Set
	// OnOwnRecord, if set, is called with the own record as another node holds it.
	OnOwnRecord func(membership.Instance)
	// Silence is how long ago the store last answered.
	Silence func() time.Duration

	ask  chan string
	pass chan []membership.Instance
	// whole makes the next question ask for the whole configuration, after a difference that did not fit.
	whole atomic.Bool
	// trusted is the moment from which silence of the feeders counts: the last answer of another node that hears from the
	// store, or when this node had nobody to ask any more.
	trusted clock.EventTime
	// told is the last answer of a node that the store has answered.
	told clock.EventTime
	// doubtful states that no node was fresh when this one last asked.
	doubtful atomic.Bool
}

// NewPeers registers the methods at the server.
func NewPeers(p *Peers, server *rpcwire.Server) *Peers {
	p.ask = make(chan string, 1)
	p.pass = make(chan []membership.Instance, passQueue)
	rpcwire.HandleFunc(server, methodPull, p.pull)
	rpcwire.HandleFunc(server, methodOffer, p.offer)
	return p
}

// pull answers another node.
func (p *Peers) pull(args *Digest, reply *PullReply) error {
	reply.Heard = p.Silence() <= silenceLimit
	// A sentinel that was told by a node that watches for want of a sentinel would end that watch.
	reply.Fresh = reply.Heard || !p.State.roster().isSentinel(p.Self) && p.told.Age(time.Now()) <= silenceLimit
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

// merge takes records of other instances and returns how many were news. The own record is this node's to change.
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

// Ask pulls from a node that serves a newer configuration, given by its control address or its IP address. It does not
// block: while a question is waiting, further ones are dropped, since each message of a newer node repeats them.
func (p *Peers) Ask(addr string) {
	if _, _, err := net.SplitHostPort(addr); err != nil {
		addr = net.JoinHostPort(addr, p.ControlPort)
	}
	select {
	case p.ask <- addr:
	default:
	}
}

// Run answers Ask, and asks other nodes while the store is silent, until ctx ends.
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

// pullNext asks nodes until one is fresh. When none is, this node watches the store itself.
func (p *Peers) pullNext(ctx context.Context) {
	for try := range pullTries {
		if addr, ok := p.next(try); !ok || p.pullFrom(ctx, addr) {
			return
		}
	}
	p.doubtful.Store(true)
}

// Trusting reports whether feeders tell this node what it would miss in a long watch. A node that has just started, or
// was a sentinel until now, waits for the first answer as long as for any other.
func (p *Peers) Trusting() bool {
	watches := p.State.roster().isSentinel(p.Self)
	if watches || p.trusted.IsZero() {
		p.trusted.Set(time.Now())
	}
	return !watches && !p.doubtful.Load() && p.trusted.Age(time.Now()) < pullsMissed*pullPeriod+peerTimeout
}

// next returns the control address of the node to ask at a try: the own feeder first, then a random one, or any node while
// the store is silent, since the feeders may be cut off from it too. A sentinel asks nobody while the store answers.
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

// pullFrom takes from a node what this one lacks and reports whether the node is fresh.
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
		p.Metrics.CountRetry(metric.RetryControlCall)
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
		return nil // The store or another node was faster.
	}
	cfg, err := config.ApplyAll(snap.Configuration, reply.Changes)
	if err != nil {
		return err
	}
	return p.State.adopt(&p.Log, reply.Version, cfg, reply.Changes, addr)
}

// Offer passes a record to all other nodes that are known.
func (p *Peers) Offer(ctx context.Context, in membership.Instance) {
	var others []membership.Instance
	for _, other := range p.State.All() {
		if other.ID != in.ID && other.State != membership.StateDeparted {
			others = append(others, other)
		}
	}
	p.offerTo(ctx, others, OfferArgs{Records: []membership.Instance{in}})
}

// offerTo waits until all nodes have answered or the time for it is over.
func (p *Peers) offerTo(ctx context.Context, others []membership.Instance, args OfferArgs) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, other := range others {
		wg.Go(func() {
			var reply OfferReply
			if err := p.Caller.Call(ctx, other.ControlAddress, methodOffer, args, &reply); err != nil {
				p.Metrics.CountRetry(metric.RetryControlCall)
			}
		})
	}
	wg.Wait()
}

// PassOn queues changes for the nodes that this one feeds. It does not block; when the queue is full the change is left to
// their next question.
func (p *Peers) PassOn(records []membership.Instance) {
	select {
	case p.pass <- records:
	default:
	}
}

// RunPassOn passes changes on until ctx ends. Changes that have queued up go in one message.
func (p *Peers) RunPassOn(ctx context.Context) {
	for {
		select {
		case records := <-p.pass:
			records = slices.Clip(records) // It may be the caller's, so that what is added goes elsewhere.
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
