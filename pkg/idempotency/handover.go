package idempotency

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/clock"
	"github.com/monsoonlatch/monsoonlatch/pkg/event"
	"github.com/monsoonlatch/monsoonlatch/pkg/fault"
	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
)

const (
	// maxBatchEntries and maxBatchBytes keep a hand-over message well below the size limit of the control connection.
	maxBatchEntries = 256
	maxBatchBytes   = 256 << 10
	// entryOverheadBytes is the encoded size of a record without its answer, rounded up.
	entryOverheadBytes = 200
	// maxHandOverRounds is the largest number of rounds in one hand-over. A further round is needed for records that other
	// draining nodes hand over to this one in the meantime, and for records that a holder refused because another claim
	// was running there.
	maxHandOverRounds = 3
	// drainPollInterval is the time between checks for requests in progress, and between rounds.
	drainPollInterval = 10 * time.Millisecond
)

// HandOver transfers all records to the members that become their holders when this node departs. From then on the node
// refuses new requests. It may be announced as departed with HandedOver only if HandOver returns nil.
func (n *Node) HandOver(ctx context.Context) error {
	n.setPhase(phaseDraining)
	n.awaitInProgress(ctx)
	err := n.handOverInRounds(ctx)
	n.setPhase(phaseClosed)
	if err != nil {
		event.KeyHandOverIncomplete.Write(event.KeyHandOverIncomplete.Log(&n.opts.Log).Err(err))
		return fault.Wrap(fault.Unavailable, "idempotency: hand over", err,
			"depart without HandedOver; keyed requests then need a claim on the platform until the window has passed")
	}
	event.KeyHandedOver.Write(event.KeyHandedOver.Log(&n.opts.Log))
	return nil
}

func (n *Node) setPhase(p phase) {
	n.mu.Lock()
	n.phase = p
	n.mu.Unlock()
}

// awaitInProgress waits for requests and deliveries in progress. A request that still runs when ctx ends is handed over
// as running; its outcome counts as unknown once this node has departed.
func (n *Node) awaitInProgress(ctx context.Context) {
	for {
		n.mu.Lock()
		left := len(n.inProgress)
		n.mu.Unlock()
		if left == 0 && n.pendingDeliveries.Load() == 0 {
			return
		}
		select {
		case <-time.After(drainPollInterval):
		case <-ctx.Done():
			return
		}
	}
}

// handOverInRounds hands over in rounds until every record in the table was handed over in its present state.
func (n *Node) handOverInRounds(ctx context.Context) error {
	var err error
	for round := range maxHandOverRounds {
		if round > 0 && !clock.Sleep(ctx, drainPollInterval) {
			break
		}
		entries := withTable(n, n.takeRecordsToHandOver)
		if err = n.handOverEntries(ctx, entries); err != nil {
			withTable(n, func(time.Time, *Table) bool { clear(n.handedOver); return true })
			continue
		}
		if n.closeIfAllHandedOver() {
			return nil
		}
	}
	if err != nil {
		return err
	}
	return fmt.Errorf("records kept arriving for %d rounds: %w", maxHandOverRounds, errIncomplete)
}

// takeRecordsToHandOver returns the records that were not handed over in their present state, and marks them as handed
// over. A record that another node hands over to this one afterwards loses the mark, so the next round includes it.
func (n *Node) takeRecordsToHandOver(now time.Time, t *Table) []Entry {
	entries := slices.DeleteFunc(t.Export(now), func(e Entry) bool { return n.handedOver[e.Claim.Key] >= e.State })
	for _, e := range entries {
		n.handedOver[e.Claim.Key] = e.State
	}
	return entries
}

// closeIfAllHandedOver sets phaseClosed if all records were handed over in their present state.
func (n *Node) closeIfAllHandedOver() bool {
	return withTable(n, func(now time.Time, t *Table) bool {
		for _, e := range t.Export(now) {
			if n.handedOver[e.Claim.Key] < e.State {
				return false
			}
		}
		n.phase = phaseClosed
		return true
	})
}

// handOverEntries sends each record to the pairs that its key has without this node. Both members of a pair must accept
// it.
func (n *Node) handOverEntries(ctx context.Context, entries []Entry) error {
	claims := n.platform.takeAll()
	if len(entries) == 0 && len(claims) == 0 {
		return nil
	}
	history := n.historyWithoutSelf()
	if !history.hasCertainMember {
		return fmt.Errorf("no other instance is known to have been a member for %v: %w", n.opts.MaxMembershipLag,
			errIncomplete)
	}
	byHolder, plans := make(map[int][]int), make([]Plan, len(entries))
	for k, e := range entries {
		plans[k] = history.Plan(e.Claim.Key)
		for _, h := range plans[k].Holders() {
			byHolder[h] = append(byHolder[h], k)
		}
	}
	held := make(map[int]map[int]bool, len(byHolder))
	for h, indices := range byHolder {
		held[h] = n.sendBatches(ctx, history.members[h].instance, entries, indices, claims)
		if len(held[h]) > 0 {
			claims = nil
		}
	}
	for _, c := range claims {
		n.platform.scheduleDelete(c)
	}
	missing := 0
	for k := range plans {
		if plans[k].Evaluate(func(i int) HolderStatus {
			return statusAfterHandOver(held[i][k], plans[k].initialStatus(i))
		}) != DecisionRun {
			missing++
		}
	}
	if missing > 0 {
		return fmt.Errorf("%d of %d records were not handed over: %w", missing, len(entries), errIncomplete)
	}
	return nil
}

// statusAfterHandOver returns the status of a member after a hand-over, given whether it accepted the record.
func statusAfterHandOver(held bool, before HolderStatus) HolderStatus {
	switch {
	case held:
		return HolderHasRecord
	case before == HolderReachable:
		return HolderUnreachable
	}
	return before
}

// historyWithoutSelf returns the membership as it is after this node's departure. Plans that later claimants make also
// contain the membership from MaxMembershipLag before the hand-over, so the hand-over need not cover earlier pairs.
func (n *Node) historyWithoutSelf() *MembershipHistory {
	self := n.opts.Self()
	spans := slices.Clone(n.opts.View.History(n.opts.Service))
	spans = slices.DeleteFunc(spans, func(s membership.Span) bool { return s.Instance.ID == self.ID })
	t := n.timing(0)
	t.MaxMembershipLag, t.Window = n.opts.MaxMembershipLag, -n.opts.MaxMembershipLag
	since, _ := n.opts.View.CompleteSince()
	return NewMembershipHistory(spans, self, since, n.opts.Clock.Now(), t)
}

// sendBatches sends the entries with the given indices to a holder and returns which of them it holds now.
func (n *Node) sendBatches(ctx context.Context, to membership.Instance, entries []Entry, indices []int,
	claims []PlatformClaim) map[int]bool {
	held := make(map[int]bool, len(indices))
	for len(indices) > 0 {
		count, size := 0, 0
		args := &HandOverArgs{Holder: to.Incarnation, From: n.opts.Self().ID, Claims: claims}
		for count < len(indices) && count < maxBatchEntries && size < maxBatchBytes {
			e := entries[indices[count]]
			args.Entries = append(args.Entries, e)
			size += entryOverheadBytes
			if e.Answer != nil {
				size += e.Answer.size()
			}
			count++
		}
		ack, err := n.callHandOver(ctx, to, args)
		if err != nil || !ack.OK {
			return held
		}
		for k, ok := range ack.Held {
			held[indices[k]] = ok
		}
		indices, claims = indices[count:], nil
	}
	return held
}

func (n *Node) callHandOver(ctx context.Context, to membership.Instance, args *HandOverArgs) (Ack, error) {
	ctx, cancel := context.WithTimeout(ctx, n.opts.ClaimTimeout)
	defer cancel()
	var ack Ack
	err := n.opts.Caller.Call(ctx, to.ControlAddress, methodHandOver, args, &ack)
	return ack, err
}
