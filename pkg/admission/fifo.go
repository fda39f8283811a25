package admission

import (
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
)

// fifoCapacity bounds the FIFO queue. It is long on purpose: the baseline is a queue that does not know deadlines.
const fifoCapacity = 1024

// FIFO is the baseline: one queue in order of arrival, without ranks, shares or estimates. It gives no slot to work
// whose deadline has passed.
type FIFO struct {
	limit   slotLimit
	list    []waiting
	inUse   int
	lastID  Ticket
	notices []Notice
}

var _ Discipline = (*FIFO)(nil)

// NewFIFO returns an empty FIFO queue. Of the settings it uses the slots only.
func NewFIFO(s Settings) *FIFO {
	return &FIFO{limit: newSlotLimit(s.Slots, s.ColdSlots, s.WarmStart)}
}

// Offer asks for a slot.
func (f *FIFO) Offer(now time.Time, w Request) Decision {
	switch {
	case f.limit.announced == 0:
		return Decision{Refusal: Refusal{metric.RefusedNotReady, minRetryAfter}}
	case passed(now, w):
		return Decision{Refusal: Refusal{metric.RefusedDeadline, minRetryAfter}}
	case len(f.list) == 0 && f.inUse < f.limit.slots():
		f.inUse++
		return Decision{Verdict: Run}
	case len(f.list) >= fifoCapacity:
		return Decision{Refusal: Refusal{metric.RefusedQueueFull, minRetryAfter}}
	}
	f.lastID++
	f.list = append(f.list, waiting{f.lastID, w})
	return Decision{Verdict: Wait, Ticket: f.lastID}
}

// Done returns a slot and hands it on.
func (f *FIFO) Done(now time.Time, _ Request, r Result) []Notice {
	f.notices = f.notices[:0]
	if f.inUse == 0 {
		return nil
	}
	f.limit.observe(r, f.inUse)
	f.inUse--
	f.dispatch(now)
	return f.notices
}

func (f *FIFO) dispatch(now time.Time) {
	for len(f.list) > 0 && f.inUse < f.limit.slots() {
		e := f.list[0]
		f.list = f.list[1:]
		if passed(now, e.work) {
			f.notices = append(f.notices, Notice{e.ticket, Refusal{metric.RefusedDeadline, minRetryAfter}})
			continue
		}
		f.inUse++
		f.notices = append(f.notices, Notice{Ticket: e.ticket})
	}
}

// Cancel removes waiting work.
func (f *FIFO) Cancel(_ time.Time, t Ticket) bool {
	for i, e := range f.list {
		if e.ticket == t {
			f.list = append(f.list[:i], f.list[i+1:]...)
			return true
		}
	}
	return false
}

// Expire refuses waiting work whose deadline has passed.
func (f *FIFO) Expire(now time.Time) []Notice {
	f.notices = f.notices[:0]
	kept := f.list[:0]
	for _, e := range f.list {
		if passed(now, e.work) {
			f.notices = append(f.notices, Notice{e.ticket, Refusal{metric.RefusedDeadline, minRetryAfter}})
			continue
		}
		kept = append(kept, e)
	}
	f.list = kept
	return f.notices
}

// LatestStart returns the deadline.
func (f *FIFO) LatestStart(w Request) time.Time { return w.Deadline }

// SetSlots changes the announced slots. With none, all waiting work is refused.
func (f *FIFO) SetSlots(now time.Time, n int) []Notice {
	f.notices = f.notices[:0]
	f.limit.announce(n)
	if f.limit.announced == 0 {
		for _, e := range f.list {
			f.notices = append(f.notices, Notice{e.ticket, Refusal{Reason: metric.RefusedNotReady}})
		}
		f.list = nil
	}
	f.dispatch(now)
	return f.notices
}

// SetShares does nothing: the baseline has no ranks.
func (f *FIFO) SetShares(time.Time, map[int]float64) {}

// Load returns the use of the slots.
func (f *FIFO) Load() Load { return Load{f.inUse, f.limit.slots(), len(f.list)} }

func passed(now time.Time, w Request) bool {
	return !w.Deadline.IsZero() && !now.Before(w.Deadline)
}
