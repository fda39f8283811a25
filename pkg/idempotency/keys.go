package idempotency

import (
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/fault"
	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
)

// Methods of the net/rpc service.
const (
	// KeysService is the name under which Keys is registered at the control server.
	KeysService    = "Keys"
	methodClaim    = KeysService + ".Claim"
	methodOutcome  = KeysService + ".Outcome"
	methodWithdraw = KeysService + ".Withdraw"
	methodHandOver = KeysService + ".HandOver"
)

// ClaimArgs asks a holder for a claim. Holder is the incarnation that the claimant expects: an instance that has
// restarted since has lost its records and must not count as the holder that it was.
type ClaimArgs struct {
	Claim  Claim
	Holder uint64
	// Read asks for the record only.
	Read bool
}

// OutcomeArgs tells a holder how the work of a claim ended.
type OutcomeArgs struct {
	Claim  Claim
	Holder uint64
	State  State
	Answer *Answer
}

// WithdrawArgs takes back a claim whose work was not run.
type WithdrawArgs struct {
	Claim  Claim
	Holder uint64
}

// HandOverArgs gives the records of a leaving node to a holder, and its claims on the platform, which the receiver
// deletes when they are due.
type HandOverArgs struct {
	Holder uint64
	// From is the node that leaves.
	From    membership.InstanceID
	Entries []Entry
	Claims  []PlatformClaim
}

// Ack reports whether a message took effect; Held tells it for each entry of a hand-over.
type Ack struct {
	OK   bool
	Held []bool
}

// Keys is the net/rpc service through which nodes reach the records of a Node.
type Keys struct{ node *Node }

// Keys returns the service for the control server.
func (n *Node) Keys() *Keys { return &Keys{node: n} }

// Claim grants a claim or returns the record that stands against it.
func (k *Keys) Claim(args *ClaimArgs, reply *Found) error {
	n := k.node
	if args.Holder != n.o.Self().Incarnation {
		reply.Status = ClaimRefused
		return nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.o.Clock.Now()
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

// read returns the record of a key. An attempt under way counts as running.
func (n *Node) read(now time.Time, key Key) Found {
	if _, ok := n.flights[key]; ok {
		return Found{Status: ClaimConflict, State: StateRunning, Claimant: n.o.Self()}
	}
	found := n.table.Read(now, key)
	found.Ended = n.attempt
	return found
}

// Outcome stores the end of a claim's work. It is taken while the node stops, so that the record is handed over.
func (k *Keys) Outcome(args *OutcomeArgs, reply *Ack) error {
	if args.Holder != k.node.o.Self().Incarnation {
		return nil
	}
	reply.OK = withTable(k.node, func(now time.Time, t *Table) bool {
		return t.Settle(now, args.Claim, args.State, args.Answer)
	})
	return nil
}

// Withdraw removes a claim whose work was not run.
func (k *Keys) Withdraw(args *WithdrawArgs, reply *Ack) error {
	if args.Holder != k.node.o.Self().Incarnation {
		return nil
	}
	reply.OK = withTable(k.node, func(now time.Time, t *Table) bool { return t.Withdraw(now, args.Claim) })
	return nil
}

// HandOver takes the records of a node that leaves.
func (k *Keys) HandOver(args *HandOverArgs, reply *Ack) error {
	n := k.node
	if args.Holder != n.o.Self().Incarnation {
		return nil
	}
	if len(args.Entries) > maxBatchEntries {
		return fault.New(fault.Invalid, "idempotency: hand over", "too many records", "send smaller batches")
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	// Two leaving nodes must not count on each other: only the one with the higher name takes the other's records, and
	// it passes them on again.
	if n.phase == phaseClosed || n.phase == phaseDraining && args.From > n.o.Self().ID {
		return nil
	}
	reply.OK = true
	now := n.o.Clock.Now()
	for _, e := range args.Entries {
		delete(n.handed, e.Claim.Key)
		reply.Held = append(reply.Held, n.table.Import(now, e.Claim, e.State, e.Answer))
	}
	for _, c := range args.Claims {
		n.platform.adopt(c)
	}
	return nil
}
