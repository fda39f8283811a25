package admission

import "time"

// In a backlog that lasts, starting work in the order of its arrival makes all of it late: each piece starts when the
// time that its target allows for waiting is nearly over. Starting the newest first answers as many pieces, most of them
// on time; the others are late or refused, as some must be.

// backlogPart of the time that a target allows for waiting is what work may have waited before the rank counts as having
// a backlog.
const backlogPart = 2

// onTime reports whether w can still meet its target if it starts now.
func (q *Queue) onTime(now time.Time, w Request) bool {
	return w.Target.IsZero() || !now.Add(seconds(q.estimates.of(w).mean)).After(w.Target)
}

// waitedLong reports whether w has waited for a good part of the time that its target allows.
func (q *Queue) waitedLong(now time.Time, w Request) bool {
	latest := w.Target.Add(-seconds(q.estimates.of(w).mean))
	return now.Sub(w.Arrived) > latest.Sub(w.Arrived)/backlogPart
}

// choose returns the index of the waiting work of a rank that starts next: the oldest that can meet its target, or the
// newest such in a backlog; work that is late already starts when no other of its rank waits.
func (q *Queue) choose(now time.Time, rank int) int {
	list := q.queues[rank]
	if list[0].work.Target.IsZero() {
		return 0
	}
	oldest, newest := -1, -1
	for i := range list {
		if !q.onTime(now, list[i].work) {
			continue
		}
		if oldest < 0 {
			oldest = i
		}
		newest = i
	}
	switch {
	case oldest < 0:
		return 0
	case q.waitedLong(now, list[oldest].work):
		return newest
	}
	return oldest
}

// displaceLate makes room for work that can meet its target by refusing the oldest of its rank that cannot.
func (q *Queue) displaceLate(now time.Time, w Request) (Ticket, bool) {
	if w.Target.IsZero() || !q.onTime(now, w) {
		return 0, false
	}
	for i, e := range q.queues[w.Rank] {
		if !q.onTime(now, e.work) {
			return q.remove(w.Rank, i).ticket, true
		}
	}
	return 0, false
}
