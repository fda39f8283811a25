package idempotency

import (
	"context"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/event"
	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
)

// attempt is one attempt of a request to claim its key and run.
type attempt struct {
	node      *Node
	ctx       context.Context
	run       func(context.Context) Result
	claim     Claim
	history   *MembershipHistory
	claimedAt time.Time
	// possibleHolders lists the holders, other than this node, that granted the claim or may have granted it because
	// their reply was lost.
	possibleHolders []membership.Instance
	// conflicting lists the holders that replied with a conflicting record.
	conflicting []membership.Instance
	// onPlatform is set if the platform may hold the claim.
	onPlatform bool
}

// claimAndRun claims the key and runs the request. retry is set if the caller must make another attempt after a delay.
func (a *attempt) claimAndRun(done chan struct{}) (res Result, retry bool) {
	defer a.node.endAttempt(a.claim.Key, done)
	a.possibleHolders, a.conflicting, a.onPlatform = nil, nil, false
	a.node.mu.Lock()
	a.node.lastAttempt++
	a.claim.Attempt = a.node.lastAttempt
	found := a.node.table.Claim(a.node.opts.Clock.Now(), a.claim)
	a.node.mu.Unlock()
	if found.Status != ClaimGranted {
		return a.resolveConflict(found)
	}
	plan := a.history.Plan(a.claim.Key)
	if decision := plan.bestDecision(); decision >= DecisionUnavailable {
		return a.refuse(decision)
	}
	status, found := a.claimHolders(&plan)
	if found.Status != ClaimGranted {
		return a.resolveConflict(found)
	}
	return a.applyDecision(plan.Evaluate(status))
}

// applyDecision runs the request if the decision allows it, after a claim on the platform where one is needed.
func (a *attempt) applyDecision(decision Decision) (res Result, retry bool) {
	if decision == DecisionNeedsPlatform {
		var other Claimant
		decision, other = a.claimPlatform()
		if other != (Claimant{}) {
			return a.resolveConflict(Found{Status: ClaimConflict, State: StateRunning, Claimant: other})
		}
	}
	if decision != DecisionRun {
		return a.refuse(decision)
	}
	if reason, ok := a.mayRun(); !ok {
		a.withdrawClaims()
		return notRun(reason), false
	}
	return a.runRequest(), false
}

// mayRun reports whether the request may still run, or else the reason for its refusal. It is called immediately before
// the run. Holders drop a claim some time after the window has passed, so a node that was suspended for longer than
// MaxMembershipLag after it claimed must not run.
func (a *attempt) mayRun() (metric.Refusal, bool) {
	n := a.node
	if a.ctx.Err() != nil || n.opts.Clock.Now().Sub(a.claimedAt) > n.opts.MaxMembershipLag {
		return metric.RefusedDeadline, false
	}
	if n.opts.Self() != a.claim.Claimant {
		return metric.RefusedKeyClaimUnavailable, false
	}
	return "", true
}

func (a *attempt) runRequest() Result {
	ctx := context.WithoutCancel(a.ctx)
	if deadline, ok := a.ctx.Deadline(); ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline)
		defer cancel()
	}
	ended := false
	defer func() {
		if !ended {
			a.recordOutcome(StateUnknown, nil)
		}
	}()
	res := a.run(ctx)
	ended = true
	switch res.Outcome {
	case OutcomeAnswered:
		a.recordOutcome(StateDone, res.Answer)
	case OutcomeNotRun:
		a.withdrawClaims()
	default:
		a.recordOutcome(StateUnknown, nil)
	}
	return res
}

// refuse ends an attempt for which too few holders granted the claim.
func (a *attempt) refuse(decision Decision) (Result, bool) {
	if decision == DecisionRecordLost {
		a.withdrawClaims()
		event.KeyRecordLost.Write(event.KeyRecordLost.Log(&a.node.opts.Log).Str("key", a.claim.Key.String()))
		return unknown(metric.RefusedOutcomeUnknown), false
	}
	a.withdrawClaims()
	return notRun(metric.RefusedKeyClaimUnavailable), false
}

// resolveConflict ends an attempt that met a conflicting record, or asks for another attempt if the other claimant may
// still be running the request.
func (a *attempt) resolveConflict(found Found) (Result, bool) {
	switch {
	case found.Status == ClaimMismatch:
		a.withdrawClaims()
		return notRun(metric.RefusedKeyMismatch), false
	case found.Status == ClaimFull:
		return notRun(metric.RefusedKeyCapacity), false
	case found.State == StateRunning && a.history.Departed(found.Claimant):
		withTable(a.node, func(now time.Time, t *Table) bool { return t.MarkUnknown(now, a.claim.Key, found.Claimant) })
		found.State = StateUnknown
	case found.State == StateRunning:
		a.withdrawClaims()
		if found = a.readAtClaimant(found); found.State == StateRunning {
			return Result{}, true
		}
	}
	if found.State == StateUnknown {
		a.recordOutcome(StateUnknown, nil)
		return unknown(metric.RefusedOutcomeUnknown), false
	}
	a.recordOutcome(StateDone, found.Answer)
	if found.Answer == nil {
		return unknown(metric.RefusedAnswerNotKept), false
	}
	a.node.opts.Metrics.Counter("idempotency.replayed").Inc(1)
	return Result{Outcome: OutcomeAnswered, Answer: found.Answer, Replayed: true}, false
}

// readAtClaimant reads the record at its claimant, since the holder that reported it may not have received the outcome
// yet.
func (a *attempt) readAtClaimant(found Found) Found {
	claimant, ok := a.history.FindLive(found.Claimant)
	if !ok || found.Claimant == a.claim.Claimant {
		return found
	}
	args := ClaimArgs{Claim: a.claim, Holder: claimant.Incarnation, Read: true}
	reply, err := a.node.callClaim(a.ctx, claimant, args)
	if err == nil && reply.Status == ClaimNone {
		a.withdrawStaleClaim(Claim{Key: a.claim.Key, Claimant: found.Claimant, Attempt: reply.Ended})
	}
	if err != nil || reply.Status != ClaimConflict || reply.State == StateRunning {
		return found
	}
	return reply
}

// withdrawStaleClaim removes a claim whose withdrawal was lost: its claimant reports that the attempt ended without a
// run. A newer claim of the same claimant has a higher attempt number and stays.
func (a *attempt) withdrawStaleClaim(stale Claim) {
	n := a.node
	withTable(n, func(now time.Time, t *Table) bool { return t.Withdraw(now, stale) })
	for _, h := range a.conflicting {
		n.enqueue(delivery{to: h, method: methodWithdraw, args: &WithdrawArgs{Claim: stale, Holder: h.Incarnation}})
	}
	if len(a.conflicting) == 0 {
		n.platform.withdraw(stale)
	}
}

// recordOutcome stores the outcome of the run on this node and sends it to the holders of the claim.
func (a *attempt) recordOutcome(state State, answer *Answer) {
	n := a.node
	withTable(n, func(now time.Time, t *Table) bool { return t.RecordOutcome(now, a.claim, state, answer) })
	if answer != nil && answer.size() > MaxAnswerBytes {
		answer = nil
	}
	for _, h := range a.possibleHolders {
		n.enqueue(delivery{to: h, method: methodOutcome, args: &OutcomeArgs{
			Claim: a.claim, Holder: h.Incarnation, State: state, Answer: answer}})
	}
}

// withdrawClaims withdraws the claims of an attempt that did not run the request.
func (a *attempt) withdrawClaims() {
	n := a.node
	withTable(n, func(now time.Time, t *Table) bool { return t.Withdraw(now, a.claim) })
	for _, h := range a.possibleHolders {
		n.enqueue(delivery{to: h, method: methodWithdraw, args: &WithdrawArgs{Claim: a.claim, Holder: h.Incarnation}})
	}
	if a.onPlatform {
		n.platform.withdraw(a.claim)
	}
}
