package idempotency

import (
	"context"
	"sync"

	"github.com/monsoonlatch/monsoonlatch/pkg/event"
	"github.com/monsoonlatch/monsoonlatch/pkg/fault"
	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
)

// claimHolders claims the key at the plan's holders in parallel. It returns the status of the members afterwards and,
// if a holder has a conflicting record, that record.
func (a *attempt) claimHolders(plan *Plan) (func(int) HolderStatus, Found) {
	holders := plan.Holders()
	replies := make([]Found, len(holders))
	claim := func(k int) {
		h := plan.history.members[holders[k]].instance
		found, err := a.node.callClaim(a.ctx, h, ClaimArgs{Claim: a.claim, Holder: h.Incarnation})
		if err == nil {
			replies[k] = found
		}
	}
	inParallel(len(holders), claim)
	conflict := Found{Status: ClaimGranted}
	for k, found := range replies {
		h := plan.history.members[holders[k]].instance
		switch {
		case found.Status == ClaimNoReply || found.Status == ClaimGranted:
			// If the reply was lost, the claim may have been granted.
			a.possibleHolders = append(a.possibleHolders, h)
		case found.Status == ClaimMismatch:
			conflict = found
		case found.Status == ClaimConflict:
			a.conflicting = append(a.conflicting, h)
			if conflict.Status != ClaimMismatch && found.State > conflict.State {
				conflict = found
			}
		}
	}
	return func(i int) HolderStatus {
		for k, h := range holders {
			if h == i && replies[k].Status == ClaimGranted {
				return HolderHasRecord
			} else if h == i {
				return HolderUnreachable
			}
		}
		return plan.initialStatus(i)
	}, conflict
}

// inParallel calls f for 0 to count-1 concurrently and waits. The last call runs on the caller's goroutine.
func inParallel(count int, f func(int)) {
	var calls sync.WaitGroup
	for i := range count - 1 {
		calls.Go(func() { f(i) })
	}
	if count > 0 {
		f(count - 1)
	}
	calls.Wait()
}

func (n *Node) callClaim(ctx context.Context, to membership.Instance, args ClaimArgs) (Found, error) {
	ctx, cancel := context.WithTimeout(ctx, n.opts.ClaimTimeout)
	defer cancel()
	var reply Found
	err := n.opts.Caller.Call(ctx, to.ControlAddress, methodClaim, &args, &reply)
	return reply, err
}

// claimPlatform claims the key on the platform. other is set if another claimant holds the claim there.
func (a *attempt) claimPlatform() (decision Decision, other Claimant) {
	a.node.opts.Metrics.Counter("idempotency.platform_claims").Inc(1)
	other, err := a.node.platform.claim(a.ctx, a.claim)
	a.onPlatform = !fault.Is(err, fault.Limited)
	if err != nil {
		event.KeyPlatformClaimFailed.Write(event.KeyPlatformClaimFailed.Log(&a.node.opts.Log).Err(err))
		return DecisionUnavailable, Claimant{}
	}
	if other != a.claim.Claimant {
		a.onPlatform = false
		return DecisionUnavailable, other
	}
	return DecisionRun, Claimant{}
}

// delivery is a queued message to a holder. No caller waits for its reply.
type delivery struct {
	to     membership.Instance
	method string
	args   any
}

// enqueue queues a message, or drops it if the outbox is full.
func (n *Node) enqueue(d delivery) {
	n.pendingDeliveries.Add(1)
	select {
	case n.outbox <- d:
	default:
		n.pendingDeliveries.Add(-1)
		event.KeyOutboxFull.Write(event.KeyOutboxFull.Log(&n.opts.Log).Str("holder", string(d.to.ID)))
	}
}

// deliver sends queued messages until ctx ends. A failed message is not sent again: the record stays running at the
// holder, and a later claimant reads its state from this node.
func (n *Node) deliver(ctx context.Context) {
	for {
		select {
		case d := <-n.outbox:
			callCtx, cancel := context.WithTimeout(ctx, n.opts.ClaimTimeout)
			var reply Ack
			_ = n.opts.Caller.Call(callCtx, d.to.ControlAddress, d.method, d.args, &reply)
			cancel()
			n.pendingDeliveries.Add(-1)
		case <-ctx.Done():
			return
		}
	}
}
