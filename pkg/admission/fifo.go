package admission

import (
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
)

// fifoCapacity limits the length of the FIFO queue. It is large on purpose: the baseline also queues requests that
// cannot finish in time.
const fifoCapacity = 1024

// FIFO is a baseline that Queue is compared with: one queue in order of arrival, without ranks, shares or service time
// estimates. It gives no slot to a request whose deadline has passed.
type FIFO struct {
	limit      slotLimit
	queue      []queuedRequest
	inUse      int
	lastTicket Ticket
	notices    []Notice
}

var _ Discipline = (*FIFO)(nil)

// NewFIFO returns an empty FIFO. Of the settings it uses Slots, ColdSlots and WarmStart.
func NewFIFO(s Settings) *FIFO {
	return &FIFO{limit: newSlotLimit(s.Slots, s.ColdSlots, s.WarmStart)}
}

// Offer asks for a slot for a request.
func (f *FIFO) Offer(now time.Time, req Request) Decision {
	switch {
	case f.limit.announced == 0:
		return Decision{Refusal: Refusal{metric.RefusedNotReady, minRetryAfter}}
	case deadlinePassed(now, req):
		return Decision{Refusal: Refusal{metric.RefusedDeadline, minRetryAfter}}
	case len(f.queue) == 0 && f.inUse < f.limit.slots():
		f.inUse++
		return Decision{Verdict: Run}
	case len(f.queue) >= fifoCapacity:
		return Decision{Refusal: Refusal{metric.RefusedQueueFull, minRetryAfter}}
	}
	f.lastTicket++
	f.queue = append(f.queue, queuedRequest{ticket: f.lastTicket, request: req})
	return Decision{Verdict: Wait, Ticket: f.lastTicket}
}

// Done releases a slot and assigns it to the next request.
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
	for len(f.queue) > 0 && f.inUse < f.limit.slots() {
		e := f.queue[0]
		f.queue = f.queue[1:]
		if deadlinePassed(now, e.request) {
			f.notices = append(f.notices, Notice{Ticket: e.ticket, Refusal: Refusal{metric.RefusedDeadline, minRetryAfter}})
			continue
		}
		f.inUse++
		f.notices = append(f.notices, Notice{Ticket: e.ticket})
	}
}

// Cancel removes a waiting request and reports whether it was still waiting.
func (f *FIFO) Cancel(_ time.Time, t Ticket) bool {
	for i, e := range f.queue {
		if e.ticket == t {
			f.queue = append(f.queue[:i], f.queue[i+1:]...)
			return true
		}
	}
	return false
}

// Expire refuses the waiting requests whose deadline has passed.
func (f *FIFO) Expire(now time.Time) []Notice {
	f.notices = f.notices[:0]
	kept := f.queue[:0]
	for _, e := range f.queue {
		if deadlinePassed(now, e.request) {
			f.notices = append(f.notices, Notice{Ticket: e.ticket, Refusal: Refusal{metric.RefusedDeadline, minRetryAfter}})
			continue
		}
		kept = append(kept, e)
	}
	f.queue = kept
	return f.notices
}

// LatestStart returns the deadline.
func (f *FIFO) LatestStart(req Request) time.Time { return req.Deadline }

// SetSlots sets the number of announced slots. If there are none, all waiting requests are refused.
func (f *FIFO) SetSlots(now time.Time, n int) []Notice {
	f.notices = f.notices[:0]
	f.limit.setAnnounced(n)
	if f.limit.announced == 0 {
		for _, e := range f.queue {
			f.notices = append(f.notices, Notice{Ticket: e.ticket, Refusal: Refusal{Reason: metric.RefusedNotReady}})
		}
		f.queue = nil
	}
	f.dispatch(now)
	return f.notices
}

// SetShares does nothing: the baseline has no ranks.
func (f *FIFO) SetShares(time.Time, map[int]float64) {}

// Load returns the current use of the slots.
func (f *FIFO) Load() Load { return Load{f.inUse, f.limit.slots(), len(f.queue)} }

func deadlinePassed(now time.Time, req Request) bool {
	return !req.Deadline.IsZero() && !now.Before(req.Deadline)
}

// SetRate does nothing: the baseline applies no rate limit.
func (f *FIFO) SetRate(time.Time, float64) []Notice { return nil }

// NextWake reports that no request waits for a rate limit.
func (f *FIFO) NextWake(time.Time) (time.Duration, bool) { return 0, false }

// Wake does nothing.
func (f *FIFO) Wake(time.Time) []Notice { return nil }
