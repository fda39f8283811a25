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
	// entryBytes is the encoded size of a record without its answer, rounded up.
	entryBytes = 200
	// handOverRounds is how often a hand-over is tried. A further round is needed for records that other draining nodes
	// hand over to this one in the meantime, and for records that a holder refused because another claim was running
	// there.
	handOverRounds = 3
	// drainPoll is the time between checks for requests in progress, and between rounds.
	drainPoll = 10 * time.Millisecond
)

// HandOver transfers all records to the members that become their holders when this node departs. From then on the node
// refuses new requests. It may be announced as departed with HandedOver only if HandOver returns nil.
func (n *Node) HandOver(ctx context.Context) error {
	n.setPhase(phaseDraining)
	n.awaitFlights(ctx)
	err := n.handOverRounds(ctx)
	n.setPhase(phaseClosed)
	if err != nil {
		event.KeyHandOverIncomplete.Write(event.KeyHandOverIncomplete.Log(&n.o.Log).Err(err))
		return fault.Wrap(fault.Unavailable, "idempotency: hand over", err,
			"depart without HandedOver; keyed requests then need the platform's claim for the window")
	}
	event.KeyHandedOver.Write(event.KeyHandedOver.Log(&n.o.Log))
	return nil
}

func (n *Node) setPhase(p phase) {
	n.mu.Lock()
	n.phase = p
	n.mu.Unlock()
}

// awaitFlights waits for requests and deliveries in progress. A request that still runs when ctx ends is handed over as
// running; its outcome counts as unknown once this node has departed.
func (n *Node) awaitFlights(ctx context.Context) {
	for {
		n.mu.Lock()
		left := len(n.flights)
		n.mu.Unlock()
		if left == 0 && n.sending.Load() == 0 {
			return
		}
		select {
		case <-time.After(drainPoll):
		case <-ctx.Done():
			return
		}
	}
}

// handOverRounds hands over in rounds until every record in the table was handed over in its present state.
func (n *Node) handOverRounds(ctx context.Context) error {
	var err error
	for round := range handOverRounds {
		if round > 0 && !clock.Sleep(ctx, drainPoll) {
			break
		}
		entries := withTable(n, n.claimUnhanded)
		if err = n.handOverEntries(ctx, entries); err != nil {
			withTable(n, func(time.Time, *Table) bool { clear(n.handed); return true })
			continue
		}
		if n.closeIfHanded() {
			return nil
		}
	}
	if err != nil {
		return err
	}
	return fmt.Errorf("records kept arriving for %d rounds: %w", handOverRounds, errIncomplete)
}

// claimUnhanded returns the records that were not handed over in their present state, and marks them as handed over. A
// record that another node hands over to this one before the table closes loses the mark.
func (n *Node) claimUnhanded(now time.Time, t *Table) []Entry {
	entries := slices.DeleteFunc(t.Export(now), func(e Entry) bool { return n.handed[e.Claim.Key] >= e.State })
	for _, e := range entries {
		n.handed[e.Claim.Key] = e.State
	}
	return entries
}

// closeIfHanded sets phaseClosed if all records were handed over in their present state.
func (n *Node) closeIfHanded() bool {
	return withTable(n, func(now time.Time, t *Table) bool {
		for _, e := range t.Export(now) {
			if n.handed[e.Claim.Key] < e.State {
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
	claims := n.platform.release()
	if len(entries) == 0 && len(claims) == 0 {
		return nil
	}
	roster := n.rosterWithoutSelf()
	if !roster.settled {
		return fmt.Errorf("no other instance is known to have been a member for %v: %w", n.o.Slack, errIncomplete)
	}
	byHolder, plans := make(map[int][]int), make([]Plan, len(entries))
	for k, e := range entries {
		plans[k] = roster.Plan(e.Claim.Key)
		for _, h := range plans[k].Holders() {
			byHolder[h] = append(byHolder[h], k)
		}
	}
	held := make(map[int]map[int]bool, len(byHolder))
	for h, indices := range byHolder {
		held[h] = n.sendBatches(ctx, roster.members[h].instance, entries, indices, claims)
		if len(held[h]) > 0 {
			claims = nil
		}
	}
	for _, c := range claims {
		n.platform.adopt(c)
	}
	missing := 0
	for k := range plans {
		if plans[k].Judge(func(i int) Standing { return heldStanding(held[i][k], plans[k].standing(i)) }) != VerdictRun {
			missing++
		}
	}
	if missing > 0 {
		return fmt.Errorf("%d of %d records were not handed over: %w", missing, len(entries), errIncomplete)
	}
	return nil
}

// heldStanding returns the standing of a member after a hand-over, given whether it accepted the record.
func heldStanding(held bool, before Standing) Standing {
	switch {
	case held:
		return StandingHeld
	case before == StandingReachable:
		return StandingUnreachable
	}
	return before
}

// rosterWithoutSelf returns the membership as it is after this node's departure. Plans that later claimants make also
// contain the membership from Slack before the hand-over, so the hand-over need not cover earlier pairs.
func (n *Node) rosterWithoutSelf() *Roster {
	self := n.o.Self()
	spans := slices.Clone(n.o.View.History(n.o.Service))
	spans = slices.DeleteFunc(spans, func(s membership.Span) bool { return s.Instance.ID == self.ID })
	t := n.timing(0)
	t.Slack, t.Window = n.o.Slack, -n.o.Slack
	since, _ := n.o.View.Synchronised()
	return NewRoster(spans, self, since, n.o.Clock.Now(), t)
}

// sendBatches sends the entries with the given indices to a holder and returns which of them it holds now.
func (n *Node) sendBatches(ctx context.Context, to membership.Instance, entries []Entry, indices []int,
	claims []PlatformClaim) map[int]bool {
	held := make(map[int]bool, len(indices))
	for len(indices) > 0 {
		count, size := 0, 0
		args := &HandOverArgs{Holder: to.Incarnation, From: n.o.Self().ID, Claims: claims}
		for count < len(indices) && count < maxBatchEntries && size < maxBatchBytes {
			e := entries[indices[count]]
			args.Entries = append(args.Entries, e)
			size += entryBytes
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
	ctx, cancel := context.WithTimeout(ctx, n.o.ClaimTimeout)
	defer cancel()
	var ack Ack
	err := n.o.Caller.Call(ctx, to.ControlAddress, methodHandOver, args, &ack)
	return ack, err
}
