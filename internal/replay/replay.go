// Package replay runs admission policies against recorded or generated arrivals on a virtual clock. It models one
// service: some instances with slots, and requests that hold a slot for their service time. It does no I/O.
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
	// Slots is what an instance can run at the same time.
	Slots int
	// New returns the discipline of one instance.
	New  func() admission.Discipline
	Seed uint64
	// From and To bound the measured window; requests that arrive outside of it count as load only.
	From, To time.Duration
}

// Service is what one rank got in the measured window.
type Service struct {
	Offered  int
	InTarget int
	// Late answers came after the target and before the deadline, Overdue ones after the deadline.
	Late    int
	Overdue int
	Refused map[metric.Refusal]int
	// Demand is the slot time that the offered requests ask for.
	Demand time.Duration
	// Answered is the slot time of the offered requests that were answered before their deadline.
	Answered time.Duration
	// Good is the slot time within the window that led to an answer before the deadline, whenever the request arrived.
	Good time.Duration
	// MaxLatency is the longest time to an answer.
	MaxLatency time.Duration
}

// InTargetPart is the part of the offered requests that was answered in target.
func (s Service) InTargetPart() float64 { return float64(s.InTarget) / float64(max(s.Offered, 1)) }

// Result is the outcome of a replay.
type Result struct {
	Ranks [admission.Ranks]Service
	// Capacity is the slot time of the window.
	Capacity time.Duration
	// MaxInUse is the largest number of slots in use at one instance.
	MaxInUse int
}

// Goodput is the part of the capacity that led to answers before their deadline.
func (r Result) Goodput() float64 {
	var good time.Duration
	for _, s := range r.Ranks {
		good += s.Good
	}
	return float64(good) / float64(r.Capacity)
}

// Demand is the slot time asked for in the window as a multiple of the capacity.
func (r Result) Demand() float64 {
	var demand time.Duration
	for _, s := range r.Ranks {
		demand += s.Demand
	}
	return float64(demand) / float64(r.Capacity)
}

// Kept compares what a rank got in time with what it is owed; 1 or more means that it kept its share. A rank that asks
// for less than its share is owed all that it asks for. Otherwise it is owed its share of the slot time in the window.
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

// epoch is the start of virtual time.
var epoch = time.Unix(0, 0)

// call is a request at its instance.
type call struct {
	record   load.Record
	work     admission.Request
	started  time.Time
	instance int
}

// completions orders running calls by the time at which they end.
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

// expireEvery is how often waiting work is checked against its deadline; a Gate sets a timer for each instead.
const expireEvery = time.Millisecond

type replay struct {
	settings  Settings
	random    *rand.Rand
	instances []*instance
	running   completions
	result    Result
}

// Run replays the arrivals, which are ordered by time, and returns what each rank got.
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

// pick returns the less loaded of two random instances.
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

// measured returns the service that a call counts for, nil if it arrived outside the window.
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
