package idempotency

import (
	"context"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/event"
	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
)

// attempt is one request's way to the run of its key.
type attempt struct {
	node      *Node
	ctx       context.Context
	run       func(context.Context) Result
	claim     Claim
	roster    *Roster
	claimedAt time.Time
	// granted lists the holders, apart from this node, that hold the claim.
	granted []membership.Instance
	// conflicting lists the holders that answered with a record.
	conflicting []membership.Instance
	// onPlatform states that the platform may hold the claim.
	onPlatform bool
}

// lead claims the key and runs the work. again asks for another attempt after a pause.
func (a *attempt) lead(done chan struct{}) (res Result, again bool) {
	defer a.node.leave(a.claim.Key, done)
	a.granted, a.conflicting, a.onPlatform = nil, nil, false
	a.node.mu.Lock()
	a.node.attempt++
	a.claim.Attempt = a.node.attempt
	found := a.node.table.Claim(a.node.o.Clock.Now(), a.claim)
	a.node.mu.Unlock()
	if found.Status != ClaimGranted {
		return a.conflict(found)
	}
	plan := a.roster.Plan(a.claim.Key)
	if v := plan.best(); v >= VerdictUnavailable {
		return a.refuse(v)
	}
	standing, found := a.claimHolders(&plan)
	if found.Status != ClaimGranted {
		return a.conflict(found)
	}
	return a.decide(plan.Judge(standing))
}

func (a *attempt) decide(v Verdict) (res Result, again bool) {
	if v == VerdictPlatform {
		var other Claimant
		v, other = a.claimPlatform()
		if other != (Claimant{}) {
			return a.conflict(Found{Status: ClaimConflict, State: StateRunning, Claimant: other})
		}
	}
	if v != VerdictRun {
		return a.refuse(v)
	}
	if reason, ok := a.mayRun(); !ok {
		a.release()
		return notRun(reason), false
	}
	return a.execute(), false
}

// mayRun is checked immediately before the run. Holders forget a claim after the window, so a claimant that was paused
// for longer than the slack must not run.
func (a *attempt) mayRun() (metric.Refusal, bool) {
	n := a.node
	if a.ctx.Err() != nil || n.o.Clock.Now().Sub(a.claimedAt) > n.o.Slack {
		return metric.RefusedDeadline, false
	}
	if n.o.Self() != a.claim.Claimant {
		return metric.RefusedKeyClaimUnavailable, false
	}
	return "", true
}

func (a *attempt) execute() Result {
	ctx := context.WithoutCancel(a.ctx)
	if deadline, ok := a.ctx.Deadline(); ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline)
		defer cancel()
	}
	ended := false
	defer func() {
		if !ended {
			a.settle(StateUnknown, nil)
		}
	}()
	res := a.run(ctx)
	ended = true
	switch res.Outcome {
	case OutcomeAnswered:
		a.settle(StateDone, res.Answer)
	case OutcomeNotRun:
		a.release()
	default:
		a.settle(StateUnknown, nil)
	}
	return res
}

// refuse ends an attempt that could not get enough holders.
func (a *attempt) refuse(v Verdict) (Result, bool) {
	if v == VerdictLost {
		a.release()
		event.KeyRecordLost.Write(event.KeyRecordLost.Log(&a.node.o.Log).Str("key", a.claim.Key.String()))
		return unknown(metric.RefusedOutcomeUnknown), false
	}
	a.release()
	return notRun(metric.RefusedKeyClaimUnavailable), false
}

// conflict ends an attempt that met a record, or asks for another one while the other claimant may still run.
func (a *attempt) conflict(found Found) (Result, bool) {
	switch {
	case found.Status == ClaimMismatch:
		a.release()
		return notRun(metric.RefusedKeyMismatch), false
	case found.Status == ClaimFull:
		return notRun(metric.RefusedKeyCapacity), false
	case found.State == StateRunning && a.roster.Departed(found.Claimant):
		withTable(a.node, func(now time.Time, t *Table) bool { return t.Abandon(now, a.claim.Key, found.Claimant) })
		found.State = StateUnknown
	case found.State == StateRunning:
		a.release()
		if found = a.ask(found); found.State == StateRunning {
			return Result{}, true
		}
	}
	if found.State == StateUnknown {
		a.settle(StateUnknown, nil)
		return unknown(metric.RefusedOutcomeUnknown), false
	}
	a.settle(StateDone, found.Answer)
	if found.Answer == nil {
		return unknown(metric.RefusedAnswerNotKept), false
	}
	a.node.o.Metrics.Counter("idempotency.replayed").Inc(1)
	return Result{Outcome: OutcomeAnswered, Answer: found.Answer, Replayed: true}, false
}

// ask reads the record at its claimant, whose outcome may not have reached the holder.
func (a *attempt) ask(found Found) Found {
	claimant, ok := a.roster.Find(found.Claimant)
	if !ok || found.Claimant == a.claim.Claimant {
		return found
	}
	args := ClaimArgs{Claim: a.claim, Holder: claimant.Incarnation, Read: true}
	answer, err := a.node.callClaim(a.ctx, claimant, args)
	if err == nil && answer.Status == ClaimNone {
		a.clear(Claim{Key: a.claim.Key, Claimant: found.Claimant, Attempt: answer.Ended})
	}
	if err != nil || answer.Status != ClaimConflict || answer.State == StateRunning {
		return found
	}
	return answer
}

// clear removes a claim whose claimant says that it has ended without a run: its withdrawal was lost. A newer claim of
// the same claimant has a higher attempt and stays.
func (a *attempt) clear(stale Claim) {
	n := a.node
	withTable(n, func(now time.Time, t *Table) bool { return t.Withdraw(now, stale) })
	for _, h := range a.conflicting {
		n.send(delivery{to: h, method: methodWithdraw, args: &WithdrawArgs{Claim: stale, Holder: h.Incarnation}})
	}
	if len(a.conflicting) == 0 {
		n.platform.withdraw(stale)
	}
}

// settle stores the end of the work here and at the holders of the claim.
func (a *attempt) settle(state State, answer *Answer) {
	n := a.node
	withTable(n, func(now time.Time, t *Table) bool { return t.Settle(now, a.claim, state, answer) })
	if answer != nil && answer.size() > MaxAnswerBytes {
		answer = nil
	}
	for _, h := range a.granted {
		n.send(delivery{to: h, method: methodOutcome, args: &OutcomeArgs{
			Claim: a.claim, Holder: h.Incarnation, State: state, Answer: answer}})
	}
}

// release withdraws the claims of an attempt that did not run the work.
func (a *attempt) release() {
	n := a.node
	withTable(n, func(now time.Time, t *Table) bool { return t.Withdraw(now, a.claim) })
	for _, h := range a.granted {
		n.send(delivery{to: h, method: methodWithdraw, args: &WithdrawArgs{Claim: a.claim, Holder: h.Incarnation}})
	}
	if a.onPlatform {
		n.platform.withdraw(a.claim)
	}
}
