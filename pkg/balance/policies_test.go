package balance

import (
	"container/heap"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
)

// world replays one generated load against a policy in virtual time: zones with instances of uneven speed beside nodes that
// queue by rank, and senders that each see only their own responses and, if news is fresh, what others tell.
type world struct {
	now     time.Time
	events  eventHeap
	rng     *rand.Rand
	servers map[membership.InstanceID]*server
	senders [][]*sender
	load    load
	policy  policy
	result  result
}

// load describes what arrives; its fields name the cases of the table.
type load struct {
	name string
	// perZone is the mean of arrivals per second in a zone, swing the part of it that a wave adds and takes.
	perZone, swing float64
	// noisy is the part of the time in which a server takes 2.5 times as long, in pieces of 600 ms.
	noisy float64
	// clumped lets one sender of a zone get as much as all others together.
	clumped bool
	// cutZone is cut off in the third second and comes back in the sixth.
	cutZone string
	// bytes is the size of the responses.
	bytes int64
}

type policy struct {
	name       string
	completion bool
	joinIdle   bool
	spread     float64
	sample     int
	// newsEvery is the time between two exchanges of reports within a zone; zero means that there is none.
	newsEvery time.Duration
}

type result struct{ inTarget, late, refused, left, waitedHalf, arrived int }

type server struct {
	record   membership.Instance
	speed    float64
	busy     int
	queue    [2][]*job
	noisyTil time.Time
	average  time.Duration
}

type sender struct {
	*Picker
	zone string
	idle []membership.InstanceID
}

type job struct {
	from    *sender
	rank    int
	work    time.Duration
	arrived time.Time
	sent    time.Time
	server  *server
	tried   []membership.InstanceID
}

type event struct {
	at time.Time
	do func()
}

type eventHeap []event

func (h eventHeap) Len() int           { return len(h) }
func (h eventHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h eventHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)        { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any          { e := (*h)[len(*h)-1]; *h = (*h)[:len(*h)-1]; return e }

const (
	simSlots   = 6
	simQueue   = 12
	simSenders = 20
	simServers = 15
	simTarget  = 600 * time.Millisecond
	simLength  = 13 * time.Second
)

var simZones = [...]string{"a", "b", "c", "d"}

func (w *world) after(d time.Duration, do func()) { heap.Push(&w.events, event{w.now.Add(d), do}) }

// simulate plays the load against the policy.
func simulate(l load, p policy) result {
	w := &world{now: t0, rng: rand.New(rand.NewPCG(7, 7)), servers: make(map[membership.InstanceID]*server), load: l, policy: p}
	var records []membership.Instance
	for z, zone := range simZones {
		for i := range simServers {
			r := membership.Instance{ID: membership.InstanceID(fmt.Sprintf("%s%d", zone, i)), Service: "desk", Slots: simSlots, Link: 12,
				AvailabilityZone: zone, Incarnation: 1, State: membership.StateReady}
			records = append(records, r)
			w.servers[r.ID] = &server{record: r, speed: [...]float64{0.6, 1, 1.6}[i%3]}
			w.noise(w.servers[r.ID])
		}
		w.senders = append(w.senders, nil)
		for i := range simSenders {
			s := Settings{AvailabilityZone: zone, ZonePreference: 0.3, LateZonePreference: 1, RandomSource: rand.NewPCG(uint64(z), uint64(i))}
			if p.completion {
				s.Completion = Completion{MaxSlots: simSlots, Spread: p.spread, Sample: p.sample}
			}
			from := &sender{Picker: New(s), zone: zone}
			from.Update(w.now, "desk", records)
			w.senders[z] = append(w.senders[z], from)
		}
		w.arrive(z)
		if p.newsEvery > 0 {
			w.exchange(z)
		}
	}
	for _, zone := range w.senders { // the records of later zones
		for _, s := range zone {
			s.Update(w.now, "desk", records)
		}
	}
	for len(w.events) > 0 {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	return w.result
}

func (w *world) elapsed() time.Duration { return w.now.Sub(t0) }

func (w *world) noise(s *server) {
	if w.rng.Float64() < w.load.noisy {
		s.noisyTil = w.now.Add(600 * time.Millisecond)
	}
	if w.elapsed() < simLength {
		w.after(600*time.Millisecond, func() { w.noise(s) })
	}
}

// arrive schedules the arrivals of a zone. The wave reaches the zones one after the other.
func (w *world) arrive(zone int) {
	phase := 2 * math.Pi * (w.elapsed().Seconds()/13 + 0.25*float64(zone))
	rate := w.load.perZone * (1 + w.load.swing*math.Sin(phase))
	w.after(time.Duration(w.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		if w.elapsed() >= simLength {
			return
		}
		w.arrive(zone)
		from := w.senders[zone][w.rng.IntN(simSenders)]
		if w.load.clumped && w.rng.IntN(2) == 0 {
			from = w.senders[zone][0]
		}
		work := 140 * math.Exp(0.6*w.rng.NormFloat64()-0.18)
		if w.rng.Float64() < 0.03 {
			work *= 7
		}
		w.result.arrived++
		w.send(&job{from: from, rank: w.rng.IntN(2), work: time.Duration(min(work, 1400) * float64(time.Millisecond)), arrived: w.now})
	})
}

func (w *world) cut(zone string) bool {
	return zone == w.load.cutZone && w.elapsed() > 3*time.Second && w.elapsed() < 6*time.Second
}

func (w *world) send(j *job) {
	target, err := j.from.choosing(w, j)
	if err != nil || len(j.tried) > 3 {
		w.result.refused++
		return
	}
	j.server, j.sent, j.tried = w.servers[target.ID], w.now, append(j.tried, target.ID)
	zone := target.AvailabilityZone
	if zone != j.from.zone {
		w.result.left++
		if w.cut(zone) || w.cut(j.from.zone) {
			w.after(500*time.Millisecond, func() {
				j.from.Observe(w.now, target.ID, Observation{Event: EventUnreachable, Silent: true, Rank: j.rank, Latency: w.now.Sub(j.sent)})
				w.send(j)
			})
			return
		}
	}
	w.after(time.Millisecond, func() { w.enter(j) })
}

// choose reserves an instance that has reported a free slot to this sender, if the policy says so, or picks one.
func (s *sender) choosing(w *world, j *job) (membership.Instance, error) {
	for w.policy.joinIdle && len(s.idle) > 0 && len(j.tried) == 0 {
		id := s.idle[len(s.idle)-1]
		s.idle = s.idle[:len(s.idle)-1]
		s.Reserve(id)
		return w.servers[id].record, nil
	}
	return s.Pick(w.now, Request{Service: "desk", Rank: j.rank, Route: "lookup", Exclude: j.tried,
		TargetLeft: simTarget - w.now.Sub(j.arrived), DeadlineLeft: 4*simTarget - w.now.Sub(j.arrived)})
}

func (w *world) enter(j *job) {
	s := j.server
	switch {
	case s.busy < simSlots:
		w.start(j)
	case len(s.queue[0])+len(s.queue[1]) >= simQueue:
		w.after(time.Millisecond, func() {
			l := s.load()
			j.from.Observe(w.now, s.record.ID, Observation{Event: EventRefused, Full: true, Rank: j.rank, Load: &l})
			w.send(j)
		})
	default:
		s.queue[j.rank] = append(s.queue[j.rank], j)
	}
}

func (w *world) start(j *job) {
	s := j.server
	s.busy++
	if w.now.Sub(j.arrived) > simTarget/2 {
		w.result.waitedHalf++
	}
	took := time.Duration(float64(j.work) / s.speed)
	if s.noisyTil.After(w.now) {
		took = took * 5 / 2
	}
	w.after(took, func() {
		s.busy--
		s.average = s.average + (took-s.average)/16
		for r := range s.queue {
			if len(s.queue[r]) > 0 {
				next := s.queue[r][0]
				s.queue[r] = s.queue[r][1:]
				w.start(next)
				break
			}
		}
		if w.policy.joinIdle && s.busy < simSlots {
			w.tellIdle(s)
		}
		l := s.load()
		w.after(time.Millisecond+time.Duration(w.load.bytes*8/12)*time.Microsecond, func() {
			j.from.Observe(w.now, s.record.ID, Observation{Event: EventAnswered, Rank: j.rank, Latency: w.now.Sub(j.sent), Load: &l,
				Route: "lookup", Bytes: w.load.bytes, RouteTime: s.average})
			if w.now.Sub(j.arrived) <= simTarget {
				w.result.inTarget++
			} else {
				w.result.late++
			}
		})
	})
}

// tellIdle reports a free slot to one sender of the zone, which may use it once. Stale reports arrive 200 ms later.
func (w *world) tellIdle(s *server) {
	for z, zone := range simZones {
		if zone == s.record.AvailabilityZone {
			to := w.senders[z][w.rng.IntN(simSenders)]
			delay := time.Millisecond
			if w.policy.newsEvery == 0 {
				delay = 200 * time.Millisecond
			}
			w.after(delay, func() { to.idle = append(to.idle, s.record.ID) })
		}
	}
}

// exchange tells each sender of a zone the loads of its instances.
func (w *world) exchange(z int) {
	var news []News
	for _, s := range w.servers {
		if s.record.AvailabilityZone == simZones[z] {
			news = append(news, News{ID: s.record.ID, Load: s.load()})
		}
	}
	sort.Slice(news, func(i, j int) bool { return news[i].ID < news[j].ID })
	for _, s := range w.senders[z] {
		s.Learn(w.now, news)
	}
	if w.elapsed() < simLength {
		w.after(w.policy.newsEvery, func() { w.exchange(z) })
	}
}

func (s *server) load() Load {
	l := Load{InUse: s.busy, Limit: simSlots, ByRank: true, SlotTime: s.average}
	for r := range s.queue {
		l.Waiting[r] = len(s.queue[r])
		l.Queued += len(s.queue[r])
	}
	return l
}

const fresh = 75 * time.Millisecond

var simPolicies = []policy{
	{name: "two choices, stale"}, {name: "two choices, fresh", newsEvery: fresh},
	{name: "join idle, stale", joinIdle: true}, {name: "join idle, fresh", joinIdle: true, newsEvery: fresh},
	{name: "least completion of all, stale", completion: true, spread: 1e-9, sample: -1},
	{name: "least completion of all, fresh", completion: true, spread: 1e-9, sample: -1, newsEvery: fresh},
	{name: "near least of six, stale", completion: true},
	{name: "near least of six, fresh", completion: true, newsEvery: fresh},
}

var simLoads = []load{
	{name: "uneven speeds", perZone: 330, bytes: 1500},
	{name: "noise of 600 ms at 15%", perZone: 330, noisy: 0.15, bytes: 1500},
	{name: "wave, zones one after the other", perZone: 400, swing: 0.5, noisy: 0.15, bytes: 1500},
	{name: "clumped callers", perZone: 400, noisy: 0.15, clumped: true, bytes: 1500},
	{name: "large answers, wave", perZone: 400, swing: 0.5, noisy: 0.15, bytes: 90_000},
	{name: "zone cut off and back", perZone: 330, noisy: 0.15, cutZone: "b", bytes: 1500},
	{name: "overload", perZone: 700, noisy: 0.15, bytes: 1500},
}

var printTable = flag.Bool("table", false, "print the table of policies of docs/design/balance.md")

// Prints the table of docs/design/balance.md: go test -run TestPolicyTable -v ./pkg/balance -table
func TestPolicyTable(*testing.T) {
	if !*printTable {
		return
	}
	for _, l := range simLoads {
		for _, p := range simPolicies {
			r := simulate(l, p)
			part := func(n int) float64 { return 100 * float64(n) / float64(r.arrived) }
			fmt.Printf("| %s | %s | %.1f | %.1f | %.1f | %.1f | %.1f |\n", l.name, p.name, part(r.inTarget), part(r.late), part(r.refused), part(r.waitedHalf), part(r.left))
		}
	}
}
