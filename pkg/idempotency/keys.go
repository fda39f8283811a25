package idempotency

import (
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/fault"
	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
)

// Names of the RPC service and of its methods.
const (
	// KeysService is the name under which Keys is registered at the control server.
	KeysService    = "Keys"
	methodClaim    = KeysService + ".Claim"
	methodOutcome  = KeysService + ".Outcome"
	methodWithdraw = KeysService + ".Withdraw"
	methodHandOver = KeysService + ".HandOver"
)

// ClaimArgs is the request of Keys.Claim. Holder is the incarnation that the claimant expects to reach: an instance
// that has restarted since has lost its records, so a grant from it must not count.
type ClaimArgs struct {
	Claim  Claim
	Holder uint64
	// Read requests the record without claiming the key.
	Read bool
}

// OutcomeArgs reports the outcome of a claimed run to a holder.
type OutcomeArgs struct {
	Claim  Claim
	Holder uint64
	State  State
	Answer *Answer
}

// WithdrawArgs withdraws a claim whose request was not run.
type WithdrawArgs struct {
	Claim  Claim
	Holder uint64
}

// HandOverArgs transfers the records of a node that shuts down to a new holder, together with the node's claims on the
// platform, which the receiver deletes when they are due.
type HandOverArgs struct {
	Holder uint64
	// From is the node that shuts down.
	From    membership.InstanceID
	Entries []Entry
	Claims  []PlatformClaim
}

// Ack reports whether a message was applied. For a hand-over, Held tells for each entry whether the receiver now holds
// it.
type Ack struct {
	OK   bool
	Held []bool
}

// Keys is the net/rpc service through which other nodes read and change the records of a Node.
type Keys struct{ node *Node }

// Keys returns the service to register at the control server.
func (n *Node) Keys() *Keys { return &Keys{node: n} }

// Claim grants a claim or returns the record that conflicts with it.
func (k *Keys) Claim(args *ClaimArgs, reply *Found) error {
	n := k.node
	if args.Holder != n.opts.Self().Incarnation {
		reply.Status = ClaimRefused
		return nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.opts.Clock.Now()
	switch {
	case args.Read:
		*reply = n.read(now, args.Claim.Key)
	case n.phase != phaseOpen:
		reply.Status = ClaimRefused
	default:
		*reply = n.table.Claim(now, args.Claim)
	}
	return nil
}

// read returns the record of a key. An attempt in progress on this node is reported as a running record.
func (n *Node) read(now time.Time, key Key) Found {
	if _, ok := n.inProgress[key]; ok {
		return Found{Status: ClaimConflict, State: StateRunning, Claimant: n.opts.Self()}
	}
	found := n.table.Read(now, key)
	found.Ended = n.lastAttempt
	return found
}

// Outcome stores the outcome of a claimed run. It is accepted while the node drains, so that the record is handed over.
func (k *Keys) Outcome(args *OutcomeArgs, reply *Ack) error {
	if args.Holder != k.node.opts.Self().Incarnation {
		return nil
	}
	reply.OK = withTable(k.node, func(now time.Time, t *Table) bool {
		return t.RecordOutcome(now, args.Claim, args.State, args.Answer)
	})
	return nil
}

// Withdraw removes a claim whose request was not run.
func (k *Keys) Withdraw(args *WithdrawArgs, reply *Ack) error {
	if args.Holder != k.node.opts.Self().Incarnation {
		return nil
	}
	reply.OK = withTable(k.node, func(now time.Time, t *Table) bool { return t.Withdraw(now, args.Claim) })
	return nil
}

// HandOver accepts the records of a node that shuts down.
func (k *Keys) HandOver(args *HandOverArgs, reply *Ack) error {
	n := k.node
	if args.Holder != n.opts.Self().Incarnation {
		return nil
	}
	if len(args.Entries) > maxBatchEntries {
		return fault.New(fault.Invalid, "idempotency: hand over", "the batch holds too many records", "send smaller batches")
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	// Two draining nodes must not hand over to each other and both depart: only the one with the higher ID accepts the
	// other's records, and it hands them over in turn.
	if n.phase == phaseClosed || n.phase == phaseDraining && args.From > n.opts.Self().ID {
		return nil
	}
	reply.OK = true
	now := n.opts.Clock.Now()
	for _, e := range args.Entries {
		delete(n.handedOver, e.Claim.Key)
		reply.Held = append(reply.Held, n.table.Import(now, e.Claim, e.State, e.Answer))
	}
	for _, c := range args.Claims {
		n.platform.scheduleDelete(c)
	}
	return nil
}
