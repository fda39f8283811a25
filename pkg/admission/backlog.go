package admission

import "time"

// In a lasting backlog, starting requests in order of arrival makes all of them late: each starts when the time that
// its target allows for waiting is nearly over. Starting the newest first answers as many requests, most of them on
// time; the others are late or refused, which some have to be in any case.

// backlogWaitDivisor divides the time that a target allows for waiting; a rank has a backlog if a request has waited
// for longer than the result.
const backlogWaitDivisor = 2

// onTime reports whether req can still meet its target if it starts now.
func (q *Queue) onTime(now time.Time, req Request) bool {
	return req.Target.IsZero() || !now.Add(seconds(q.estimates.lookup(req).mean)).After(req.Target)
}

// waitIndicatesBacklog reports whether req has waited so long that its rank counts as having a backlog.
func (q *Queue) waitIndicatesBacklog(now time.Time, req Request) bool {
	latestStart := req.Target.Add(-seconds(q.estimates.lookup(req).mean))
	return now.Sub(req.Arrived) > latestStart.Sub(req.Arrived)/backlogWaitDivisor
}

// selectWaiting returns the index of the waiting request of a rank that starts next: the oldest that can meet its
// target or, in a backlog, the newest that can. A request that is already late starts only if no other one of its rank
// can meet its target. Of the requests with a tenant, only those of the tenant whose turn it is take part.
func (q *Queue) selectWaiting(now time.Time, rank int) int {
	whole := q.selectAmong(now, rank, func(*tenant) bool { return true })
	if !q.tenants.active() {
		return whole.index
	}
	turn := q.selectTenant(now, rank, whole.onTime)
	return q.selectAmong(now, rank, func(t *tenant) bool { return t == nil || t == turn }).index
}

// candidate is the waiting request that starts next of some requests of a rank.
type candidate struct {
	index  int
	onTime bool
}

// selectAmong returns the request that starts next of those that are included, of which there must be one.
func (q *Queue) selectAmong(now time.Time, rank int, included func(*tenant) bool) candidate {
	list := q.queues[rank]
	first, oldest, newest := -1, -1, -1
	for i := range list {
		if !included(list[i].tenant) {
			continue
		}
		if first < 0 {
			first = i
			if list[i].request.Target.IsZero() {
				return candidate{i, true}
			}
		}
		if !q.onTime(now, list[i].request) {
			continue
		}
		if oldest < 0 {
			oldest = i
		}
		newest = i
	}
	switch {
	case oldest < 0:
		return candidate{first, false}
	case q.waitIndicatesBacklog(now, list[oldest].request):
		return candidate{newest, true}
	}
	return candidate{oldest, true}
}

// displaceLate makes room for a request that can meet its target by removing the oldest one of its rank that cannot.
func (q *Queue) displaceLate(now time.Time, req Request) (queuedRequest, bool) {
	if req.Target.IsZero() || !q.onTime(now, req) {
		return queuedRequest{}, false
	}
	for i, e := range q.queues[req.Rank] {
		if !q.onTime(now, e.request) {
			return q.remove(req.Rank, i), true
		}
	}
	return queuedRequest{}, false
}
