package idempotency

import (
	"context"
	"sync"

	"github.com/monsoonlatch/monsoonlatch/pkg/event"
	"github.com/monsoonlatch/monsoonlatch/pkg/fault"
	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
)

// claimHolders claims the key at the plan's holders in parallel. It returns the standing of the members afterwards and,
// if a holder has a conflicting record, that record.
func (a *attempt) claimHolders(plan *Plan) (func(int) Standing, Found) {
	holders := plan.Holders()
	replies := make([]Found, len(holders))
	claim := func(k int) {
		h := plan.roster.members[holders[k]].instance
		found, err := a.node.callClaim(a.ctx, h, ClaimArgs{Claim: a.claim, Holder: h.Incarnation})
		if err == nil {
			replies[k] = found
		}
	}
	inParallel(len(holders), claim)
	worst := Found{Status: ClaimGranted}
	for k, found := range replies {
		h := plan.roster.members[holders[k]].instance
		switch {
		case found.Status == ClaimNoAnswer || found.Status == ClaimGranted:
			// If the answer was lost, the claim may have been granted.
			a.granted = append(a.granted, h)
		case found.Status == ClaimMismatch:
			worst = found
		case found.Status == ClaimConflict:
			a.conflicting = append(a.conflicting, h)
			if worst.Status != ClaimMismatch && found.State > worst.State {
				worst = found
			}
		}
	}
	return func(i int) Standing {
		for k, h := range holders {
			if h == i && replies[k].Status == ClaimGranted {
				return StandingHeld
			} else if h == i {
				return StandingUnreachable
			}
		}
		return plan.standing(i)
	}, worst
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
	ctx, cancel := context.WithTimeout(ctx, n.o.ClaimTimeout)
	defer cancel()
	var reply Found
	err := n.o.Caller.Call(ctx, to.ControlAddress, methodClaim, &args, &reply)
	return reply, err
}

// claimPlatform claims the key on the platform. other is set if another claimant holds the claim there.
func (a *attempt) claimPlatform() (v Verdict, other Claimant) {
	a.node.o.Metrics.Counter("idempotency.platform_claims").Inc(1)
	other, err := a.node.platform.claim(a.ctx, a.claim)
	a.onPlatform = !fault.Is(err, fault.Limited)
	if err != nil {
		event.KeyPlatformClaimFailed.Write(event.KeyPlatformClaimFailed.Log(&a.node.o.Log).Err(err))
		return VerdictUnavailable, Claimant{}
	}
	if other != a.claim.Claimant {
		a.onPlatform = false
		return VerdictUnavailable, other
	}
	return VerdictRun, Claimant{}
}

// delivery is a queued message to a holder. No caller waits for its reply.
type delivery struct {
	to     membership.Instance
	method string
	args   any
}

// send queues a message, or drops it if the outbox is full.
func (n *Node) send(d delivery) {
	n.sending.Add(1)
	select {
	case n.outbox <- d:
	default:
		n.sending.Add(-1)
		event.KeyOutboxFull.Write(event.KeyOutboxFull.Log(&n.o.Log).Str("holder", string(d.to.ID)))
	}
}

// deliver sends queued messages until ctx ends. A failed message is not sent again: the record stays running at the
// holder, and a later claimant reads its state from this node.
func (n *Node) deliver(ctx context.Context) {
	for {
		select {
		case d := <-n.outbox:
			callCtx, cancel := context.WithTimeout(ctx, n.o.ClaimTimeout)
			var reply Ack
			_ = n.o.Caller.Call(callCtx, d.to.ControlAddress, d.method, d.args, &reply)
			cancel()
			n.sending.Add(-1)
		case <-ctx.Done():
			return
		}
	}
}
