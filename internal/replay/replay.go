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

// Settings of a replay.
type Settings struct {
	Instances int
	// Slots is the number of requests that an instance can run at the same time.
	Slots int
	// New returns a new queueing discipline for one instance.
	New func() admission.Discipline
	// Seed determines the choice of the instance for each request.
	Seed uint64
	// From and To limit the measured window. Requests that arrive outside of it cause load but are not counted.
	From, To time.Duration
}

// Service holds the results of one rank in the measured window.
type Service struct {
	Offered  int
	InTarget int
	// Late counts the answers between target and deadline, Overdue those after the deadline.
	Late    int
	Overdue int
	Refused map[metric.Refusal]int
	// Demand is the slot time that the offered requests need.
	Demand time.Duration
	// Answered is the slot time of the offered requests that were answered within their deadline.
	Answered time.Duration
	// Good is the slot time within the window that was spent on answers within their deadline, including those to
	// requests that arrived outside of the window.
	Good time.Duration
	// MaxLatency is the longest time from arrival to answer.
	MaxLatency time.Duration
}

// InTargetPart returns the fraction of the offered requests that were answered in target.
func (s Service) InTargetPart() float64 { return float64(s.InTarget) / float64(max(s.Offered, 1)) }

// Result holds the results of a replay.
type Result struct {
	Ranks [admission.Ranks]Service
	// Capacity is the slot time of all instances in the window.
	Capacity time.Duration
	// MaxInUse is the largest number of slots in use at one instance.
	MaxInUse int
}

// Goodput returns the fraction of the capacity that was spent on answers within their deadline.
func (r Result) Goodput() float64 {
	var good time.Duration
	for _, s := range r.Ranks {
		good += s.Good
	}
	return float64(good) / float64(r.Capacity)
}

// Demand returns the slot time that the requests offered in the window need, as a multiple of the capacity.
func (r Result) Demand() float64 {
	var demand time.Duration
	for _, s := range r.Ranks {
		demand += s.Demand
	}
	return float64(demand) / float64(r.Capacity)
}

// Kept returns the slot time that a rank got for answers within their deadline, as a fraction of the slot time that it
// is entitled to; 1 or more means that the rank kept its share. A rank with a demand below its share of the capacity is
// entitled to all of its demand, any other rank to its share of the capacity.
func (r Result) Kept(rank int, share float64) float64 {
	s := r.Ranks[rank]
	owed := share * float64(r.Capacity)
	switch {
	case s.Demand == 0 || owed <= 0:
		return 1
	case float64(s.Demand) < owed:
		return float64(s.Answered) / float64(s.Demand)
	}
	return float64(s.Good) / owed
}

// epoch is the start of the virtual clock.
var epoch = time.Unix(0, 0)

// call is a request that was assigned to an instance.
type call struct {
	record   load.Record
	work     admission.Request
	started  time.Time
	instance int
}

// completions is a heap of the running calls, ordered by their end time.
type completions []*call

func (c completions) Len() int           { return len(c) }
func (c completions) Less(i, j int) bool { return c[i].ends().Before(c[j].ends()) }
func (c completions) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }
func (c *completions) Push(x any)        { *c = append(*c, x.(*call)) }
func (c *completions) Pop() any {
	old := *c
	last := old[len(old)-1]
	*c = old[:len(old)-1]
	return last
}

func (c *call) ends() time.Time { return c.started.Add(c.record.Service()) }

type instance struct {
	discipline admission.Discipline
	waiting    map[admission.Ticket]*call
	expired    time.Time
}

// expireEvery is the shortest interval between two checks of an instance's waiting requests for passed deadlines. The
// Gate of package admission sets a timer for each request instead.
const expireEvery = time.Millisecond

type replay struct {
	settings  Settings
	random    *rand.Rand
	instances []*instance
	running   completions
	result    Result
}

// Run simulates the arrivals, which must be ordered by time, and returns the results of each rank.
func Run(arrivals iter.Seq[load.Record], s Settings) Result {
	p := &replay{settings: s, random: rand.New(rand.NewPCG(s.Seed, 0))}
	for range s.Instances {
		p.instances = append(p.instances, &instance{discipline: s.New(), waiting: make(map[admission.Ticket]*call)})
	}
	for rank := range p.result.Ranks {
		p.result.Ranks[rank].Refused = make(map[metric.Refusal]int)
	}
	p.result.Capacity = time.Duration(s.Instances*s.Slots) * (s.To - s.From)
	for r := range arrivals {
		now := epoch.Add(r.At())
		p.completeUntil(now)
		p.arrive(now, r)
	}
	p.completeUntil(epoch.Add(2 * load.MaxDuration))
	return p.result
}

// pick returns the index of the less loaded of two randomly chosen instances.
func (p *replay) pick() int {
	a, b := p.random.IntN(len(p.instances)), p.random.IntN(len(p.instances))
	la, lb := p.instances[a].discipline.Load(), p.instances[b].discipline.Load()
	if lb.InUse+lb.Queued < la.InUse+la.Queued {
		return b
	}
	return a
}

func (p *replay) arrive(now time.Time, r load.Record) {
	c := &call{record: r, instance: p.pick(), work: admission.Request{
		Rank: r.Rank, Policy: r.Class, Arrived: now, Deadline: now.Add(r.Timeout())}}
	if s := p.measured(c); s != nil {
		s.Offered++
		s.Demand += r.Service()
	}
	in := p.instances[c.instance]
	if now.Sub(in.expired) >= expireEvery {
		in.expired = now
		p.notify(now, in, in.discipline.Expire(now))
	}
	d := in.discipline.Offer(now, c.work)
	switch d.Verdict {
	case admission.Run:
		p.start(now, c)
	case admission.Refuse:
		p.refuse(c, d.Refusal)
	case admission.Wait:
		in.waiting[d.Ticket] = c
	}
	if d.Displaced != 0 {
		p.refuse(in.waiting[d.Displaced], admission.Refusal{Reason: metric.RefusedDisplaced})
		delete(in.waiting, d.Displaced)
	}
}

func (p *replay) start(now time.Time, c *call) {
	c.started = now
	heap.Push(&p.running, c)
	p.result.MaxInUse = max(p.result.MaxInUse, p.instances[c.instance].discipline.Load().InUse)
}

func (p *replay) refuse(c *call, r admission.Refusal) {
	if s := p.measured(c); s != nil {
		s.Refused[r.Reason]++
	}
}

// measured returns the results that a call counts in, or nil if the call arrived outside of the window.
func (p *replay) measured(c *call) *Service {
	if at := c.record.At(); at < p.settings.From || at >= p.settings.To {
		return nil
	}
	return &p.result.Ranks[c.record.Rank]
}

func (p *replay) notify(now time.Time, in *instance, notices []admission.Notice) {
	for _, n := range notices {
		c := in.waiting[n.Ticket]
		delete(in.waiting, n.Ticket)
		if n.Granted() {
			p.start(now, c)
			continue
		}
		p.refuse(c, n.Refusal)
	}
}

func (p *replay) completeUntil(t time.Time) {
	for len(p.running) > 0 && !p.running[0].ends().After(t) {
		c := heap.Pop(&p.running).(*call)
		now := c.ends()
		p.count(c, now)
		in := p.instances[c.instance]
		took := c.record.Service()
		p.notify(now, in, in.discipline.Done(now, c.work, admission.Result{Served: true, ServiceTime: took}))
	}
}

func (p *replay) count(c *call, now time.Time) {
	inTime := !now.After(c.work.Deadline)
	held := min(now.Sub(epoch), p.settings.To) - max(c.started.Sub(epoch), p.settings.From)
	if inTime && held > 0 {
		p.result.Ranks[c.record.Rank].Good += held
	}
	s := p.measured(c)
	if s == nil {
		return
	}
	latency := now.Sub(c.work.Arrived)
	s.MaxLatency = max(s.MaxLatency, latency)
	if !inTime {
		s.Overdue++
		return
	}
	s.Answered += c.record.Service()
	if latency <= c.record.Target() {
		s.InTarget++
		return
	}
	s.Late++
}
