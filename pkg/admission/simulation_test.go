package admission

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
)

// kind is a kind of request in a simulation.
type kind struct {
	name             string
	rank             int
	perSecond        float64
	work             time.Duration
	spread           float64
	target, deadline time.Duration
	// tenantless requests belong to no tenant, like calls of running work.
	tenantless bool
}

// meshKinds are requests at one service: a short urgent kind, calls of running work without a tenant, and a slow kind that
// may wait. The rates are those of one instance of 12 slots at about seven tenths of its capacity.
func meshKinds() []kind {
	return []kind{
		{name: "order", rank: 0, perSecond: 8.4, work: 140 * time.Millisecond, spread: 0.5, target: 400 * time.Millisecond, deadline: time.Second},
		{name: "call", rank: 0, perSecond: 20, work: 52 * time.Millisecond, spread: 0.5, target: 200 * time.Millisecond, deadline: 600 * time.Millisecond, tenantless: true},
		{name: "history", rank: 2, perSecond: 7.7, work: 820 * time.Millisecond, spread: 0.3, target: 4 * time.Second, deadline: 6 * time.Second},
	}
}

// viewKinds is a service with one kind of request at nine tenths of the capacity of 12 slots.
func viewKinds() []kind {
	return []kind{{name: "view", rank: 1, perSecond: 51, work: 210 * time.Millisecond, spread: 0.3, target: 600 * time.Millisecond, deadline: 1500 * time.Millisecond}}
}

// simulatedLoad is a load that clients put on the instances of one service.
type simulatedLoad struct {
	kinds []kind
	// speeds has the factor on the service time of each instance.
	speeds []float64
	// weights has the part of each tenant in the requests.
	weights []float64
	// factor multiplies the rate of a tenant (-1: none) and kind at a time; nil means 1.
	factor func(at time.Duration, k kind, tenant int) float64
	// pace multiplies the service time of what runs at an instance at a time; nil means 1.
	pace     func(at time.Duration, instance int) float64
	length   time.Duration
	settings Settings
	// withoutTenants hides the tenants from the instances, which gives the order without fairness.
	withoutTenants bool
	// rate limits the starts per second of each instance; zero means no limit.
	rate float64
	// noRetries stops clients from returning after a refusal.
	noRetries bool
	// returnAfter replaces the time to return that refusals state, if set.
	returnAfter func(left, target time.Duration) time.Duration
	// blind picks instances without regard to their load.
	blind bool
	seed  uint64
}

// tally counts requests by their end. Each counts once, with all its attempts.
// again counts the refused ones that had returned after a refusal.
type tally struct{ asked, inTarget, late, refused, again int }

func (t tally) served() float64    { return ratio(t.inTarget+t.late, t.asked) }
func (t tally) inTargets() float64 { return ratio(t.inTarget, t.asked) }

func (t *tally) add(o tally) {
	t.asked, t.inTarget, t.late, t.refused, t.again = t.asked+o.asked, t.inTarget+o.inTarget, t.late+o.late, t.refused+o.refused, t.again+o.again
}

func ratio(n, of int) float64 {
	if of == 0 {
		return 1
	}
	return float64(n) / float64(of)
}

type simulatedRequest struct {
	kind     kind
	tenant   int
	sender   int
	first    time.Time
	deadline time.Time
	work     time.Duration
	returned bool
	// hops counts the instances that refused this attempt; excluded lists them.
	hops     int
	excluded []int
	refusal  Refusal
	instance int
	admitted Request
	at       time.Time // of the next event
}

// eventHeap orders requests by the time of their next event.
type eventHeap []*simulatedRequest

func (h eventHeap) Len() int           { return len(h) }
func (h eventHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h eventHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)        { *h = append(*h, x.(*simulatedRequest)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

type runningWork struct {
	request *simulatedRequest
	started time.Time
	left    time.Duration
}

type simulatedInstance struct {
	queue   *Queue
	waiting map[Ticket]*simulatedRequest
	running []*runningWork
	// fullUntil is when each sender moves requests of a rank here again after a refusal for lack of room.
	fullUntil [sendersPerInstance * 16][Ranks]time.Time
}

type simulation struct {
	simulatedLoad
	random    *rand.Rand
	now       time.Time
	instances []*simulatedInstance
	arrivals  eventHeap
	byTenant  map[int]*tally
	byKind    map[string]*tally
	reasons   map[metric.Refusal]int
}

const simulationStep = time.Millisecond

// sendersPerInstance is the number of nodes that send requests to the service, per instance.
const sendersPerInstance = 3

// simulate runs a load in virtual time. A node offers a request to the less loaded of two instances, and after a refusal
// to up to four others. A client that is refused returns once, after the stated time but at most a third of the time left.
func simulate(l simulatedLoad) *simulation {
	s := &simulation{simulatedLoad: l, random: rand.New(rand.NewPCG(l.seed, 1)), now: epoch.Add(time.Hour), byTenant: map[int]*tally{}, byKind: map[string]*tally{}, reasons: map[metric.Refusal]int{}}
	for range l.speeds {
		settings := l.settings
		settings.Slots, settings.WarmStart, settings.ExactSlots = cmp.Or(settings.Slots, 12), true, true
		inst := &simulatedInstance{queue: New(settings), waiting: map[Ticket]*simulatedRequest{}}
		inst.queue.SetRate(s.now, l.rate)
		s.instances = append(s.instances, inst)
	}
	start := s.now
	for s.now.Before(start.Add(l.length + 10*time.Second)) {
		s.now = s.now.Add(simulationStep)
		s.advanceInstances(s.now.Sub(start))
		for len(s.arrivals) > 0 && !s.arrivals[0].at.After(s.now) {
			s.offer(heap.Pop(&s.arrivals).(*simulatedRequest))
		}
		if at := s.now.Sub(start); at < l.length {
			s.generate(at)
		}
	}
	return s
}

// generate adds the requests of one step, as a Poisson process for each kind and tenant.
func (s *simulation) generate(at time.Duration) {
	for _, kd := range s.kinds {
		weights := s.weights
		if kd.tenantless {
			weights = []float64{1}
		}
		for t, w := range weights {
			if kd.tenantless {
				t = -1
			}
			rate := kd.perSecond * float64(len(s.speeds)) * w
			if s.factor != nil {
				rate *= s.factor(at, kd, t)
			}
			for p := rate * simulationStep.Seconds(); p > 0; p-- {
				if s.random.Float64() < p {
					s.arrive(kd, t)
				}
			}
		}
	}
}

func (s *simulation) arrive(k kind, tenant int) {
	normal := s.random.NormFloat64()
	sigma := math.Sqrt(math.Log(1 + k.spread*k.spread))
	work := time.Duration(float64(k.work) * math.Exp(sigma*normal-sigma*sigma/2))
	r := &simulatedRequest{kind: k, tenant: tenant, sender: s.random.IntN(sendersPerInstance * len(s.speeds)), first: s.now, deadline: s.now.Add(k.deadline), work: work, at: s.now}
	s.count(r, tally{asked: 1})
	s.offer(r)
}

func (s *simulation) count(r *simulatedRequest, t tally) {
	addTo(s.byTenant, r.tenant, t)
	addTo(s.byKind, r.kind.name, t)
}

// pick returns the less loaded of two instances that have not refused the request, or -1.
func (s *simulation) pick(r *simulatedRequest) int {
	var open []int
	for i, inst := range s.instances {
		if !slices.Contains(r.excluded, i) && (r.hops == 0 || !inst.fullUntil[r.sender][r.kind.rank].After(s.now)) {
			open = append(open, i)
		}
	}
	if len(open) == 0 {
		return -1
	}
	a, b := open[s.random.IntN(len(open))], open[s.random.IntN(len(open))]
	if s.blind {
		return a
	}
	la, lb := s.instances[a].queue.Load(), s.instances[b].queue.Load()
	if lb.InUse+lb.Queued < la.InUse+la.Queued {
		return b
	}
	return a
}

func (s *simulation) offer(r *simulatedRequest) {
	i := s.pick(r)
	if i < 0 {
		s.refuse(r, r.refusal)
		return
	}
	inst := s.instances[i]
	r.instance, r.admitted = i, s.request(r)
	d := inst.queue.Offer(s.now, r.admitted)
	if d.Displaced != 0 {
		displaced := inst.waiting[d.Displaced]
		delete(inst.waiting, d.Displaced)
		defer s.turnAway(displaced, d.DisplacedRefusal)
	}
	switch d.Verdict {
	case Run:
		inst.running = append(inst.running, &runningWork{r, s.now, s.workAt(r)})
	case Wait:
		inst.waiting[d.Ticket] = r
	case Refuse:
		s.turnAway(r, d.Refusal)
	}
}

func (s *simulation) workAt(r *simulatedRequest) time.Duration {
	return time.Duration(float64(r.work) * s.speeds[r.instance])
}

func (s *simulation) request(r *simulatedRequest) Request {
	req := Request{Rank: r.kind.rank, Policy: r.kind.name, Arrived: s.now, Deadline: r.deadline, Target: s.now.Add(r.kind.target), Moved: r.hops > 0}
	if r.tenant >= 0 && !s.withoutTenants {
		req.Tenant = fmt.Sprint("tenant-", r.tenant)
	}
	return req
}

// turnAway moves a refused request to another instance, or refuses it to its client after five instances.
func (s *simulation) turnAway(r *simulatedRequest, refusal Refusal) {
	s.reasons[refusal.Reason]++
	switch refusal.Reason {
	case metric.RefusedQueueFull, metric.RefusedDisplaced, metric.RefusedBackendSlow, metric.RefusedRateLimited:
		s.instances[r.instance].fullUntil[r.sender][r.kind.rank] = s.now.Add(250 * time.Millisecond)
	}
	r.excluded, r.refusal = append(r.excluded, r.instance), refusal
	r.hops++
	if r.hops > 4 || !s.now.Before(r.deadline.Add(-20*time.Millisecond)) {
		s.refuse(r, refusal)
		return
	}
	r.at = s.now.Add(time.Millisecond)
	heap.Push(&s.arrivals, r)
}

// refuse ends an attempt of a client, which returns once.
func (s *simulation) refuse(r *simulatedRequest, refusal Refusal) {
	left := r.deadline.Sub(s.now)
	if r.returned || s.noRetries || left <= 0 {
		end := tally{refused: 1}
		if r.returned {
			end.again = 1
		}
		s.count(r, end)
		return
	}
	after := refusal.RetryAfter
	if s.returnAfter != nil {
		after = s.returnAfter(left, r.kind.target)
	}
	r.returned, r.hops, r.excluded = true, 0, nil
	r.at = s.now.Add(min(after, left/3) + 16*time.Millisecond)
	heap.Push(&s.arrivals, r)
}

func (s *simulation) advanceInstances(at time.Duration) {
	for i, inst := range s.instances {
		pace := 1.0
		if s.pace != nil {
			pace = s.pace(at, i)
		}
		for _, w := range inst.running {
			w.left -= time.Duration(float64(simulationStep) / pace)
		}
		for {
			j := slices.IndexFunc(inst.running, func(w *runningWork) bool { return w.left <= 0 })
			if j < 0 {
				break
			}
			w := inst.running[j]
			inst.running = slices.Delete(inst.running, j, j+1)
			s.answer(w.request)
			s.notify(inst, inst.queue.Done(s.now, w.request.admitted, Result{Served: true, ServiceTime: s.now.Sub(w.started), Started: w.started}))
		}
		s.notify(inst, inst.queue.Expire(s.now))
		if after, ok := inst.queue.NextWake(s.now.Add(-simulationStep)); ok && after <= simulationStep {
			s.notify(inst, inst.queue.Wake(s.now))
		}
	}
}

func (s *simulation) answer(r *simulatedRequest) {
	switch took := s.now.Sub(r.first); {
	case took <= r.kind.target:
		s.count(r, tally{inTarget: 1})
	case took <= r.kind.deadline:
		s.count(r, tally{late: 1})
	default:
		s.count(r, tally{refused: 1})
	}
}

func (s *simulation) notify(inst *simulatedInstance, notices []Notice) {
	for _, n := range slices.Clone(notices) {
		r := inst.waiting[n.Ticket]
		delete(inst.waiting, n.Ticket)
		if n.Granted() {
			inst.running = append(inst.running, &runningWork{r, s.now, s.workAt(r)})
			continue
		}
		s.turnAway(r, n.Refusal)
	}
}

// simulateSeeds runs a load with several seeds and adds up the results.
func simulateSeeds(l simulatedLoad) *simulation {
	const seeds = 4
	sum := &simulation{simulatedLoad: l, byTenant: map[int]*tally{}, byKind: map[string]*tally{}, reasons: map[metric.Refusal]int{}}
	for i := range uint64(seeds) {
		l.seed = 100*l.seed + i
		s := simulate(l)
		for id, t := range s.byTenant {
			addTo(sum.byTenant, id, *t)
		}
		for name, t := range s.byKind {
			addTo(sum.byKind, name, *t)
		}
		for r, n := range s.reasons {
			sum.reasons[r] += n
		}
	}
	return sum
}

func addTo[K comparable](m map[K]*tally, key K, t tally) {
	if m[key] == nil {
		m[key] = &tally{}
	}
	m[key].add(t)
}

// total adds up the requests of the tenants that the condition allows.
func (s *simulation) total(allowed func(tenant int) bool) (t tally) {
	for id, x := range s.byTenant {
		if allowed(id) {
			t.add(*x)
		}
	}
	return t
}

func all(int) bool { return true }

// worstServed returns the least served of the tenants with at least 40 requests, with its fraction of the service of all.
func (s *simulation) worstServed() (tenant int, fraction float64) {
	fraction = math.Inf(1)
	whole := s.total(all).served()
	for id, x := range s.byTenant {
		if f := x.served() / whole; x.asked >= 40 && id >= 0 && f < fraction {
			tenant, fraction = id, f
		}
	}
	return tenant, fraction
}

// worstKind returns the least served kind, with its fraction of the service of all.
func (s *simulation) worstKind() (name string, fraction float64) {
	fraction = math.Inf(1)
	whole := s.total(all).served()
	for k, x := range s.byKind {
		if f := x.served() / whole; f < fraction {
			name, fraction = k, f
		}
	}
	return name, fraction
}

// skewed returns the parts of n tenants, a few of them large: the i-th has 1/i^1.2 of the first.
func skewed(n int) []float64 {
	weights, sum := make([]float64, n), 0.0
	for i := range weights {
		weights[i] = math.Pow(float64(i+1), -1.2)
		sum += weights[i]
	}
	for i := range weights {
		weights[i] /= sum
	}
	return weights
}

func equal(n float64, count int) []float64 { return slices.Repeat([]float64{n}, count) }

// logTable writes one line of the table in docs/design/admission-fairness.md.
func logTable(t *testing.T, load string, s *simulation, cells ...string) {
	t.Helper()
	whole := s.total(all)
	if s.noRetries {
		load += ", no client returns"
	}
	order := "by tenant"
	if s.withoutTenants {
		order = "as before"
	}
	_, tenant := s.worstServed()
	name, kindServed := s.worstKind()
	t.Logf("| %s | %s | %.3f | %.3f | %.3f | %.2f | %.2f (%s) | %s |", load, order, whole.inTargets(), whole.served(), ratio(whole.again, whole.asked), tenant, kindServed, name, strings.Join(cells, ", "))
}
