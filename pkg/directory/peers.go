package directory

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/rs/zerolog"

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
	// silenceLimit is how long the store may be silent before a node asks others: longer than the watches of the
	// configuration, which are answered in turn.
	silenceLimit = 1500 * time.Millisecond
	// pullPeriod is the pause between questions to other nodes while the store is silent.
	pullPeriod = time.Second
)

// PullReply is what the asking node lacks. Version is zero if its configuration is not older.
type PullReply struct {
	Version       config.Version
	Configuration config.Configuration
	Records       []membership.Instance
}

// OfferArgs passes records on.
type OfferArgs struct{ Records []membership.Instance }

// OfferReply is empty.
type OfferReply struct{}

// Peers exchanges the state with other nodes.
type Peers struct {
	State       *State
	Caller      rpcwire.Caller
	ControlPort string
	Self        membership.InstanceID
	Log         zerolog.Logger
	Metrics     *metric.Set
	// Silence is how long ago the store last answered.
	Silence func() time.Duration

	ask chan string
}

// NewPeers registers the methods at the server.
func NewPeers(p Peers, server *rpcwire.Server) *Peers {
	p.ask = make(chan string, 1)
	rpcwire.HandleFunc(server, methodPull, p.pull)
	rpcwire.HandleFunc(server, methodOffer, p.offer)
	return &p
}

// pull answers another node.
func (p *Peers) pull(args *Digest, reply *PullReply) error {
	reply.Records = p.State.Missing(*args)
	if snap := p.State.Current(); snap != nil && snap.Version > args.Version {
		reply.Version, reply.Configuration = snap.Version, snap.Configuration
	}
	return nil
}

func (p *Peers) offer(args *OfferArgs, _ *OfferReply) error {
	if n := p.State.Merge(args.Records...); n > 0 {
		event.RecordsFromPeer.Write(event.RecordsFromPeer.Log(&p.Log).Int("records", n))
	}
	return nil
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
	for {
		select {
		case addr := <-p.ask:
			p.pullFrom(ctx, addr)
		case <-tick.C:
			if p.Silence() > silenceLimit {
				if addr, ok := p.any(); ok {
					p.pullFrom(ctx, addr)
				}
			}
		case <-ctx.Done():
			return
		}
	}
}

// any returns the control address of a random other node.
func (p *Peers) any() (string, bool) {
	var addrs []string
	for _, in := range p.State.All() {
		if in.ID != p.Self && in.State != membership.StateDeparted && in.ControlAddress != "" {
			addrs = append(addrs, in.ControlAddress)
		}
	}
	if len(addrs) == 0 {
		return "", false
	}
	return addrs[rand.IntN(len(addrs))], true
}

func (p *Peers) pullFrom(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var reply PullReply
	if err := p.Caller.Call(ctx, addr, methodPull, p.State.Digest(), &reply); err != nil {
		p.Metrics.Retried(metric.RetryControlCall)
		event.PeerNotHeard.Write(event.PeerNotHeard.Log(&p.Log).Err(err).Str("peer", addr))
		return
	}
	if n := p.State.Merge(reply.Records...); n > 0 {
		event.RecordsFromPeer.Write(event.RecordsFromPeer.Log(&p.Log).Int("records", n).Str("peer", addr))
	}
	if reply.Version == 0 {
		return
	}
	if err := p.State.adopt(&p.Log, reply.Version, reply.Configuration, addr); err != nil {
		event.ConfigInvalid.Write(event.ConfigInvalid.Log(&p.Log).Err(err).Uint64("version", uint64(reply.Version)).Str("peer", addr))
	}
}

// Offer passes a record to all other nodes that are known.
func (p *Peers) Offer(ctx context.Context, in membership.Instance) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	done := make(chan struct{})
	n := 0
	for _, other := range p.State.All() {
		if other.ID == in.ID || other.State == membership.StateDeparted {
			continue
		}
		n++
		go func() {
			defer func() { done <- struct{}{} }()
			var reply OfferReply
			if err := p.Caller.Call(ctx, other.ControlAddress, methodOffer, OfferArgs{Records: []membership.Instance{in}}, &reply); err != nil {
				p.Metrics.Retried(metric.RetryControlCall)
			}
		}()
	}
	for range n {
		<-done
	}
}
