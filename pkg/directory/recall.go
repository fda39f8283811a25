package directory

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"github.com/monsoonlatch/monsoonlatch/pkg/clock"
	"github.com/monsoonlatch/monsoonlatch/pkg/event"
	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
)

const (
	// recallTimeout limits one question to other nodes.
	recallTimeout = 500 * time.Millisecond
	// recallListingWait is how long a recall waits for the instances, from which it knows the other nodes.
	recallListingWait = time.Second
	// recallNodes is the number of other nodes that are asked. Two of them may be down or just have started.
	recallNodes = 3
)

// Recall finds out what an earlier run of this node has published about its instance. The store holds all that was acknowledged,
// unless it has come back from a copy since then; other nodes also know what the store has not accepted yet.
type Recall struct {
	Publisher *Publisher
	Peers     *Peers
	// InstancesListed reports whether the instances have been read from the store.
	InstancesListed func() bool
	Log             zerolog.Logger
}

// Run calls found with the records of the own instance that the store and other nodes hold, which may be none, after each round of
// questions that got an answer. settled tells that the store has answered, and has not come back from a copy since it got the record
// that it holds. Run ends when the store has answered or ctx ends.
func (r *Recall) Run(ctx context.Context, found func(records []membership.Instance, settled bool)) {
	for backoff := minBackoff; ctx.Err() == nil; backoff = min(2*backoff, maxBackoff) {
		records, stored, outlived, others := r.once(ctx)
		if stored || others > 0 {
			event.RecordRecalled.Write(event.RecordRecalled.Log(&r.Log).Int("records", len(records)).Bool("stored", stored).
				Bool("restored_since", outlived).Int("others", others))
			found(records, stored && !outlived)
		}
		if stored {
			return
		}
		clock.Sleep(ctx, backoff/2+rand.N(backoff/2))
	}
}

// once asks the store and other nodes once. It reports whether the store has answered, whether it has come back from a copy since it got
// the record, and how many other nodes have answered. Their answers need not contain a record.
func (r *Recall) once(ctx context.Context) (records []membership.Instance, stored, outlived bool, others int) {
	own, found, outlived, err := r.Publisher.read(ctx, r.Peers.Self)
	stored = err == nil
	for start := time.Now(); stored && !r.InstancesListed() && time.Since(start) < recallListingWait && ctx.Err() == nil; {
		clock.Sleep(ctx, minBackoff/10)
	}
	if found {
		records = append(records, own)
	}
	known, others := r.Peers.known(ctx)
	return append(records, known...), stored, outlived, others
}

// KnownArgs names an instance.
type KnownArgs struct{ ID membership.InstanceID }

// KnownReply holds the record of the instance; its ID is empty if the node knows none.
type KnownReply struct{ Record membership.Instance }

// handleKnown serves the question of another node for a record.
func (p *Peers) handleKnown(args *KnownArgs, reply *KnownReply) error {
	reply.Record = p.State.find(args.ID)
	return nil
}

// known asks recallNodes other nodes for the own record. It returns the valid records and the number of nodes that answered.
func (p *Peers) known(ctx context.Context) (records []membership.Instance, answers int) {
	ctx, cancel := context.WithTimeout(ctx, recallTimeout)
	defer cancel()
	nodes := p.State.topology().nodes
	replies := make(chan *KnownReply, recallNodes)
	asked := 0
	for _, i := range rand.Perm(len(nodes)) {
		if nodes[i].ID == p.Self || asked == recallNodes {
			continue
		}
		asked++
		go func() {
			var reply KnownReply
			if err := p.Caller.Call(ctx, nodes[i].ControlAddress, methodKnown, KnownArgs{ID: p.Self}, &reply); err != nil {
				event.PeerNotHeard.Write(event.PeerNotHeard.Log(&p.Log).Err(err).Str("peer", nodes[i].ControlAddress))
				replies <- nil
				return
			}
			replies <- &reply
		}()
	}
	for range asked {
		reply := <-replies
		if reply == nil {
			continue
		}
		answers++
		if reply.Record.ID == p.Self && reply.Record.Validate() == nil {
			records = append(records, reply.Record)
		}
	}
	return records, answers
}
