// Package replay simulates admission policies with recorded or generated arrivals on a virtual clock. It models one
// service with several instances, each with a number of slots; a running request occupies a slot for its service time.
// The package does no I/O. It also models the load that retries add in chains of calls.
package replay

import (
	"container/heap"
	"iter"
	"math/rand/v2"
	"time"

	"github.com/monsoonlatch/monsoonlatch/internal/load"
	"github.com/monsoonlatch/monsoonlatch/pkg/admission"
	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
)

// Settings of a simulation.
type Settings struct {
	Instances int
	// Slots is the number of requests that an instance can run at the same time.
	Slots int
	// NewDiscipline returns a new queueing discipline for one instance.
	NewDiscipline func() admission.Discipline
	// Seed determines the choice of the instance for each request.
	Seed uint64
	// From and To limit the measured window. Requests that arrive outside of it cause load but are not counted.
	From, To time.Duration
}

// RankResult holds the results of one rank in the measured window.
type RankResult struct {
	Offered  int
	InTarget int
	// Late counts the answers between target and deadline, Overdue those after the deadline.
	Late    int
	Overdue int
	Refused map[metric.Refusal]int
	// DemandedSlotTime is the slot time that the offered requests need.
	DemandedSlotTime time.Duration
	// AnsweredSlotTime is the slot time of the offered requests that were answered within their deadline.
	AnsweredSlotTime time.Duration
	// GoodSlotTime is the slot time within the window that was spent on answers within their deadline, including those
	// to requests that arrived outside of the window.
	GoodSlotTime time.Duration
	// MaxLatency is the longest time from arrival to answer.
	MaxLatency time.Duration
}

// InTargetFraction returns the fraction of the offered requests that were answered in target.
func (s RankResult) InTargetFraction() float64 {
	return float64(s.InTarget) / float64(max(s.Offered, 1))
}

// Result holds the results of a simulation.
type Result struct {
	Ranks [admission.Ranks]RankResult
	// Capacity is the slot time of all instances in the window.
	Capacity time.Duration
	// MaxInUse is the largest number of slots in use at one instance.
	MaxInUse int
}

// Goodput returns the fraction of the capacity that was spent on answers within their deadline.
func (r Result) Goodput() float64 {
	var goodSlotTime time.Duration
	for _, s := range r.Ranks {
		goodSlotTime += s.GoodSlotTime
	}
	return float64(goodSlotTime) / float64(r.Capacity)
}

// DemandRatio returns the slot time that the requests offered in the window need, as a multiple of the capacity.
func (r Result) DemandRatio() float64 {
	var demand time.Duration
	for _, s := range r.Ranks {
		demand += s.DemandedSlotTime
	}
	return float64(demand) / float64(r.Capacity)
}

// ShareKept returns the slot time that a rank got for answers within their deadline, as a fraction of the slot time to
// which it is entitled; 1 or more means that the rank kept its share. A rank with a demand below its share of the
// capacity is entitled to all of its demand, any other rank to its share of the capacity.
func (r Result) ShareKept(rank int, share float64) float64 {
	s := r.Ranks[rank]
	entitled := share * float64(r.Capacity)
	switch {
	case s.DemandedSlotTime == 0 || entitled <= 0:
		return 1
	case float64(s.DemandedSlotTime) < entitled:
		return float64(s.AnsweredSlotTime) / float64(s.DemandedSlotTime)
	}
	return float64(s.GoodSlotTime) / entitled
}

// epoch is the start of the virtual clock.
var epoch = time.Unix(0, 0)

// assignedRequest is a request and the index of the instance that it was assigned to. started is the time at which it
// got a slot there.
type assignedRequest struct {
	record   load.Record
	request  admission.Request
	started  time.Time
	instance int
}

// completionHeap is a heap of the running requests, ordered by their end time.
type completionHeap []*assignedRequest

func (c completionHeap) Len() int           { return len(c) }
func (c completionHeap) Less(i, j int) bool { return c[i].endTime().Before(c[j].endTime()) }
func (c completionHeap) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }
func (c *completionHeap) Push(x any)        { *c = append(*c, x.(*assignedRequest)) }
func (c *completionHeap) Pop() any {
	old := *c
	last := old[len(old)-1]
	*c = old[:len(old)-1]
	return last
}

func (c *assignedRequest) endTime() time.Time { return c.started.Add(c.record.ServiceTime()) }

type instance struct {
	discipline admission.Discipline
	waiting    map[admission.Ticket]*assignedRequest
	lastExpiry time.Time
}

// minExpireInterval is the shortest interval between two checks of an instance's waiting requests for passed deadlines.
// The Gate of package admission sets a timer for each request instead.
const minExpireInterval = time.Millisecond

type simulation struct {
	settings  Settings
	random    *rand.Rand
	instances []*instance
	running   completionHeap
	result    Result
}

// Run simulates the arrivals, which must be ordered by time, and returns the results of each rank.
func Run(arrivals iter.Seq[load.Record], s Settings) Result {
	sim := &simulation{settings: s, random: rand.New(rand.NewPCG(s.Seed, 0))}
	for range s.Instances {
		sim.instances = append(sim.instances, &instance{discipline: s.NewDiscipline(), waiting: make(map[admission.Ticket]*assignedRequest)})
	}
	for rank := range sim.result.Ranks {
		sim.result.Ranks[rank].Refused = make(map[metric.Refusal]int)
	}
	sim.result.Capacity = time.Duration(s.Instances*s.Slots) * (s.To - s.From)
	for r := range arrivals {
		now := epoch.Add(r.ArrivalTime())
		sim.completeUntil(now)
		sim.arrive(now, r)
	}
	sim.completeUntil(epoch.Add(2 * load.MaxDuration))
	return sim.result
}

// pickInstance returns the index of the less loaded of two randomly chosen instances.
func (sim *simulation) pickInstance() int {
	a, b := sim.random.IntN(len(sim.instances)), sim.random.IntN(len(sim.instances))
	loadA, loadB := sim.instances[a].discipline.Load(), sim.instances[b].discipline.Load()
	if loadB.InUse+loadB.Queued < loadA.InUse+loadA.Queued {
		return b
	}
	return a
}

func (sim *simulation) arrive(now time.Time, r load.Record) {
	c := &assignedRequest{record: r, instance: sim.pickInstance(), request: admission.Request{
		Rank: r.Rank, Policy: r.Class, Arrived: now, Deadline: now.Add(r.Timeout())}}
	if s := sim.windowResult(c); s != nil {
		s.Offered++
		s.DemandedSlotTime += r.ServiceTime()
	}
	inst := sim.instances[c.instance]
	if now.Sub(inst.lastExpiry) >= minExpireInterval {
		inst.lastExpiry = now
		sim.applyNotices(now, inst, inst.discipline.Expire(now))
	}
	decision := inst.discipline.Offer(now, c.request)
	switch decision.Verdict {
	case admission.Run:
		sim.start(now, c)
	case admission.Refuse:
		sim.countRefusal(c, decision.Refusal)
	case admission.Wait:
		inst.waiting[decision.Ticket] = c
	}
	if decision.Displaced != 0 {
		sim.countRefusal(inst.waiting[decision.Displaced], admission.Refusal{Reason: metric.RefusedDisplaced})
		delete(inst.waiting, decision.Displaced)
	}
}

func (sim *simulation) start(now time.Time, c *assignedRequest) {
	c.started = now
	heap.Push(&sim.running, c)
	sim.result.MaxInUse = max(sim.result.MaxInUse, sim.instances[c.instance].discipline.Load().InUse)
}

func (sim *simulation) countRefusal(c *assignedRequest, r admission.Refusal) {
	if s := sim.windowResult(c); s != nil {
		s.Refused[r.Reason]++
	}
}

// windowResult returns the results that a request counts in, or nil if it arrived outside of the window.
func (sim *simulation) windowResult(c *assignedRequest) *RankResult {
	if at := c.record.ArrivalTime(); at < sim.settings.From || at >= sim.settings.To {
		return nil
	}
	return &sim.result.Ranks[c.record.Rank]
}

func (sim *simulation) applyNotices(now time.Time, inst *instance, notices []admission.Notice) {
	for _, n := range notices {
		c := inst.waiting[n.Ticket]
		delete(inst.waiting, n.Ticket)
		if n.Granted() {
			sim.start(now, c)
			continue
		}
		sim.countRefusal(c, n.Refusal)
	}
}

func (sim *simulation) completeUntil(t time.Time) {
	for len(sim.running) > 0 && !sim.running[0].endTime().After(t) {
		c := heap.Pop(&sim.running).(*assignedRequest)
		now := c.endTime()
		sim.countAnswer(c, now)
		inst := sim.instances[c.instance]
		serviceTime := c.record.ServiceTime()
		sim.applyNotices(now, inst, inst.discipline.Done(now, c.request, admission.Result{Served: true, ServiceTime: serviceTime}))
	}
}

func (sim *simulation) countAnswer(c *assignedRequest, now time.Time) {
	withinDeadline := !now.After(c.request.Deadline)
	slotTime := min(now.Sub(epoch), sim.settings.To) - max(c.started.Sub(epoch), sim.settings.From)
	if withinDeadline && slotTime > 0 {
		sim.result.Ranks[c.record.Rank].GoodSlotTime += slotTime
	}
	s := sim.windowResult(c)
	if s == nil {
		return
	}
	latency := now.Sub(c.request.Arrived)
	s.MaxLatency = max(s.MaxLatency, latency)
	if !withinDeadline {
		s.Overdue++
		return
	}
	s.AnsweredSlotTime += c.record.ServiceTime()
	if latency <= c.record.Target() {
		s.InTarget++
		return
	}
	s.Late++
}
