package admission

import "time"

// In a lasting backlog, starting requests in order of arrival makes all of them late: each starts when the time that
// its target allows for waiting is nearly over. Starting the newest first answers as many requests, most of them on
// time; the others are late or refused, which some have to be in any case.

// backlogPart divides the time that a target allows for waiting into the time after which the rank counts as having a
// backlog.
const backlogPart = 2

// onTime reports whether w can still meet its target if it starts now.
func (q *Queue) onTime(now time.Time, w Work) bool {
	return w.Target.IsZero() || !now.Add(seconds(q.estimates.of(w).mean)).After(w.Target)
}

// waitedLong reports whether w has waited so long that its rank counts as having a backlog.
func (q *Queue) waitedLong(now time.Time, w Work) bool {
	latest := w.Target.Add(-seconds(q.estimates.of(w).mean))
	return now.Sub(w.Arrived) > latest.Sub(w.Arrived)/backlogPart
}

// choose returns the index of the waiting request of a rank that starts next: the oldest that can meet its target or,
// in a backlog, the newest that can. A request that is already late starts only if no other one of its rank can meet
// its target.
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

// displaceLate makes room for a request that can meet its target by removing the oldest one of its rank that cannot.
func (q *Queue) displaceLate(now time.Time, w Work) (Ticket, bool) {
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
