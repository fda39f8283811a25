package admission

import (
	"math"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
)

// Tenants of one rank share its slots and its places in the queue by the cost of their work. Fairness only decides which
// tenant gets a slot or loses a place that the order without tenants would have given to, or taken from, a request with a
// tenant. Requests without one, such as calls of running work, keep that order.

const (
	// useWindow is the time constant by which past use is forgotten. A shorter one sees too few requests of a tenant at
	// one node to compare tenants; a longer one makes a tenant pay for a flood long after it has ended.
	useWindow = 2 * time.Second
	// idleTenantTime is how long a tenant without requests is remembered; its use is negligible by then.
	idleTenantTime = 5 * useWindow
	// minDecayTime is the time after which accounts are decayed again. It keeps the computation off most requests; the
	// time is not lost, since the next decay makes up for it.
	minDecayTime = 20 * time.Millisecond
	// maxTenants bounds the memory. Further tenants share one account.
	maxTenants = 1024
)

// tenant is the account of one tenant at one backend server.
type tenant struct {
	name string
	// use is the slot time in seconds that the tenant has used, decayed over useWindow. A request is charged its estimated
	// service time when it starts; the actual one replaces it at the end.
	use float64
	// committed is the estimated part of use of the running requests.
	committed float64
	inUse     int
	// queued and queuedCost are the waiting requests and their estimated service time by rank.
	queued     [Ranks]int
	queuedCost [Ranks]float64
	waiting    int
	served     servedFraction
	// counted is used within one pass over the waiting requests of a rank; see Queue.resetCounted.
	counted int
	updated time.Time
}

func (t *tenant) advance(now time.Time) {
	dt := now.Sub(t.updated)
	if dt < minDecayTime {
		return
	}
	t.updated = now
	t.use *= math.Exp(-dt.Seconds() / useWindow.Seconds())
	t.served.decay(math.Exp(-dt.Seconds() / servedWindow.Seconds()))
}

func (t *tenant) idle() bool { return t.inUse == 0 && t.waiting == 0 }

// held is the use of the tenant and the cost of its waiting requests of a rank.
func (t *tenant) held(rank int) float64 { return t.use + t.queuedCost[rank] }

func (t *tenant) start(cost float64) {
	t.inUse++
	t.use += cost
	t.committed += cost
	t.served.started++
}

// end replaces the estimated cost of a request by the actual one.
func (t *tenant) end(actual time.Duration) {
	if t.inUse == 0 {
		return
	}
	estimate := t.committed / float64(t.inUse)
	t.inUse--
	t.committed -= estimate
	if t.inUse == 0 {
		t.committed = 0
	}
	t.use = max(t.use+actual.Seconds()-estimate, 0)
}

// tenants holds the accounts of the tenants with requests in progress or recent use.
type tenants struct {
	byName map[string]*tenant
	// others is the common account of the tenants beyond maxTenants.
	others    tenant
	lastSweep time.Time
}

// active reports whether requests of tenants are in progress or were recently.
func (ts *tenants) active() bool { return len(ts.byName) > 0 }

// find returns the account of a tenant, updated to now, and creates it if necessary. It returns nil for a request without a
// tenant.
func (ts *tenants) find(now time.Time, name string) *tenant {
	if name == "" {
		return nil
	}
	if now.Sub(ts.lastSweep) > idleTenantTime {
		ts.sweep(now)
	}
	t := ts.byName[name]
	if t == nil {
		t = ts.add(now, name)
	}
	t.advance(now)
	return t
}

func (ts *tenants) add(now time.Time, name string) *tenant {
	// A tenant keeps the common account until no request there is in progress, so that each request ends in the account
	// that it started in.
	if len(ts.byName) >= maxTenants || !ts.others.idle() {
		return &ts.others
	}
	if ts.byName == nil {
		ts.byName = make(map[string]*tenant)
	}
	t := &tenant{name: name, updated: now}
	ts.byName[name] = t
	return t
}

// lookup returns the account of a tenant with a running request.
func (ts *tenants) lookup(name string) *tenant {
	if name == "" {
		return nil
	}
	if t := ts.byName[name]; t != nil {
		return t
	}
	return &ts.others
}

// sweep forgets the tenants that have been idle for long.
func (ts *tenants) sweep(now time.Time) {
	ts.lastSweep = now
	for name, t := range ts.byName {
		if t.idle() && now.Sub(t.updated) > idleTenantTime {
			delete(ts.byName, name)
		}
	}
}

// selectTenant returns the tenant whose request of a rank starts next, given that a request with a tenant does: one that
// lags, else the one that has used least. Of the requests on time only those count if onTime is set.
func (q *Queue) selectTenant(now time.Time, rank int, onTime bool) *tenant {
	var selected *tenant
	var lags bool
	for _, e := range q.queues[rank] {
		t := e.tenant
		if t == nil || t == selected || (onTime && !q.onTime(now, e.request)) {
			continue
		}
		t.advance(now)
		l := q.lags(t.served)
		if selected == nil || (l && !lags) || (l == lags && t.use < selected.use) {
			selected, lags = t, l
		}
	}
	return selected
}

// laggingPlaces is the number of places that a tenant or rank that lags keeps in a full queue. With none it would have no
// request waiting when a slot becomes free.
const laggingPlaces = 2

// displaceTenant makes room for a request in a queue that is full of its rank. It removes the newest request of the tenant
// that holds most there, if that tenant still holds more afterwards than the tenant of the new request does with it. A
// request without a tenant replaces one of a tenant whose waiting requests take more than an equal part without it.
func (q *Queue) displaceTenant(now time.Time, req Request, own *tenant) (queuedRequest, bool) {
	if !q.tenants.active() {
		return queuedRequest{}, false
	}
	rank, cost := req.Rank, q.estimates.lookup(req).mean
	equalPart := q.equalPart(rank)
	i := q.heaviestTenant(now, rank, func(e queuedRequest) bool {
		t := e.tenant
		switch {
		case t == own || (t.queued[rank] <= laggingPlaces && q.lags(t.served)):
			return false
		case own == nil:
			return t.queuedCost[rank]-e.cost >= equalPart
		}
		return t.held(rank)-e.cost >= own.held(rank)+cost
	})
	if i < 0 {
		return queuedRequest{}, false
	}
	return q.remove(rank, i), true
}

// overShare reports whether the waiting requests of a tenant take more than an equal part of its rank. Others may find
// room where such a tenant does not.
func (q *Queue) overShare(rank int, t *tenant) bool {
	return t != nil && t.queuedCost[rank] > q.equalPart(rank)
}

// equalPart is the cost of an equal part of the waiting requests of a rank, for each tenant and for the requests without
// one.
func (q *Queue) equalPart(rank int) float64 {
	parts, cost := 1, 0.0
	for _, e := range q.queues[rank] {
		cost += e.cost
		if t := e.tenant; t != nil && t.counted == 0 {
			t.counted++
			parts++
		}
	}
	q.resetCounted(rank)
	return cost / float64(parts)
}

// resetCounted ends a pass over the waiting requests of a rank that has counted requests of tenants.
func (q *Queue) resetCounted(rank int) {
	for _, e := range q.queues[rank] {
		if e.tenant != nil {
			e.tenant.counted = 0
		}
	}
}

// heaviestTenant returns the index of the newest waiting request of the tenant that holds most of those whose requests
// the condition allows, or -1.
func (q *Queue) heaviestTenant(now time.Time, rank int, allowed func(queuedRequest) bool) int {
	heaviest, most := -1, 0.0
	for i := len(q.queues[rank]) - 1; i >= 0; i-- {
		e := q.queues[rank][i]
		if e.tenant == nil {
			continue
		}
		e.tenant.advance(now)
		if held := e.tenant.held(rank); (heaviest < 0 || held > most) && allowed(e) {
			heaviest, most = i, held
		}
	}
	return heaviest
}

// newestToDisplace returns the index of the request of a rank that gives way to a more urgent one: the newest, or the newest
// of the tenant that holds most if the newest has a tenant.
func (q *Queue) newestToDisplace(now time.Time, rank int) int {
	list := q.queues[rank]
	if newest := len(list) - 1; list[newest].tenant == nil {
		return newest
	}
	return q.heaviestTenant(now, rank, func(queuedRequest) bool { return true })
}

// requestsAhead is the number of waiting requests of the rank that start before a new request of the tenant, if all cost
// the same: fair order lets each other tenant go first as often as the tenant has requests itself.
func (q *Queue) requestsAhead(rank int, own *tenant) int {
	if own == nil {
		return len(q.queues[rank])
	}
	ahead, bound := 0, own.queued[rank]+1
	for _, e := range q.queues[rank] {
		switch t := e.tenant; {
		case t == nil:
			ahead++
		case t.counted < bound:
			t.counted++
			ahead++
		}
	}
	q.resetCounted(rank)
	return ahead
}

// displacement is the refusal of a request that has lost its place to another one.
func (q *Queue) displacement(now time.Time, req Request, byTenant bool) Refusal {
	reason := metric.RefusedDisplaced
	if byTenant {
		reason = metric.RefusedTenantShare
		q.displacedByShare++
	}
	if req.Tenant != "" {
		return q.refusal(now, reason, req)
	}
	return Refusal{reason, clampRetryAfter(targetRetryDelay(req))}
}
