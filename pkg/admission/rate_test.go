package admission

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/clock"
	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
)

// rateSimulation offers requests to a Queue in virtual time. A request runs for serviceTime.
type rateSimulation struct {
	queue       *Queue
	now         time.Time
	serviceTime time.Duration
	waiting     map[Ticket]Request
	ends        []time.Time
	running     []Request
	// starts holds the times at which requests started, by rank.
	starts map[int][]time.Time
}

func newRateSimulation(slots int) *rateSimulation {
	return &rateSimulation{queue: New(Settings{Slots: slots, WarmStart: true, ExactSlots: true}), now: time.Unix(100, 0),
		serviceTime: 120 * time.Millisecond, waiting: make(map[Ticket]Request), starts: make(map[int][]time.Time)}
}

func (s *rateSimulation) start(req Request) {
	s.starts[req.Rank] = append(s.starts[req.Rank], s.now)
	s.ends, s.running = append(s.ends, s.now.Add(s.serviceTime)), append(s.running, req)
}

func (s *rateSimulation) notify(notices []Notice) {
	for _, n := range notices {
		if n.Granted() {
			s.start(s.waiting[n.Ticket])
		}
		delete(s.waiting, n.Ticket)
	}
}

func (s *rateSimulation) offer(req Request) Decision {
	req.Arrived = s.now
	d := s.queue.Offer(s.now, req)
	delete(s.waiting, d.Displaced)
	switch d.Verdict {
	case Run:
		s.start(req)
	case Wait:
		s.waiting[d.Ticket] = req
	}
	return d
}

// advance ends the requests that are due and wakes the queue as often as it asks for.
func (s *rateSimulation) advance(d time.Duration) {
	const step = time.Millisecond
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(step)
		for len(s.ends) > 0 && !s.ends[0].After(s.now) {
			req := s.running[0]
			s.ends, s.running = s.ends[1:], s.running[1:]
			s.notify(s.queue.Done(s.now, req, Result{Served: true, ServiceTime: s.serviceTime}))
		}
		s.notify(s.queue.Expire(s.now))
		if after, ok := s.queue.NextWake(s.now); ok && after <= step {
			s.now = s.now.Add(after)
			s.notify(s.queue.Wake(s.now))
		}
	}
}

// maxInWindow returns the largest number of times that lie in one window.
func maxInWindow(times []time.Time, window time.Duration) int {
	most, first := 0, 0
	for i := range times {
		for times[i].Sub(times[first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Guards against a backend server that gets more requests than it takes per second, and against less urgent work that
// uses up its limit. Pattern: a limit at a third of the demand, half of it urgent.
func TestRateLimitBoundsStarts(t *testing.T) {
	const limit, window = 35.0, 4 * time.Second
	s := newRateSimulation(18)
	s.notify(s.queue.SetRate(s.now, limit))
	for i := range 20 * 105 {
		s.offer(Request{Rank: i % 2 * 3, Deadline: s.now.Add(2500 * time.Millisecond), Target: s.now.Add(400 * time.Millisecond)})
		s.advance(time.Second / 105)
	}
	urgent, rest := len(s.starts[0]), len(s.starts[3])
	if most := maxInWindow(s.starts[0], window); most > int(1.5*limit*window.Seconds())+5 {
		t.Errorf("%d urgent requests started in %v", most, window)
	}
	if total := urgent + rest; float64(total) > limit*20*1.05 || float64(total) < limit*20*0.95 {
		t.Errorf("%d requests started in 20 s with a limit of %v per second", total, limit)
	}
	if urgent < 9*rest {
		t.Errorf("%d urgent requests started and %d others, although there were more urgent ones than the limit", urgent, rest)
	}
	if l := s.queue.Load(); l.Limit < 4 || l.Limit > 5 {
		t.Errorf("reported limit of %d slots, want what 35 requests per second of 120 ms use", l.Limit)
	}
}

// Guards against a request that waits for a rate limit although it cannot start in time, and against a time to come back
// that is shorter than the wait.
func TestRateLimitRefusesAtOnce(t *testing.T) {
	s := newRateSimulation(18)
	s.notify(s.queue.SetRate(s.now, 1))
	s.advance(900 * time.Millisecond)
	if d := s.offer(Request{Deadline: s.now.Add(50 * time.Millisecond)}); d.Verdict != Refuse || d.Refusal.Reason != metric.RefusedDeadline || d.Refusal.RetryAfter < 100*time.Millisecond {
		t.Errorf("request that cannot start in time: %+v", d)
	}
	if d := s.offer(Request{Deadline: s.now.Add(500 * time.Millisecond)}); d.Verdict != Wait {
		t.Errorf("request that can start in time: %+v", d)
	}
	s.advance(200 * time.Millisecond)
	if len(s.starts[0]) != 1 {
		t.Errorf("%d requests started", len(s.starts[0]))
	}
	for range 100 {
		s.offer(Request{Deadline: s.now.Add(time.Hour)})
	}
	if d := s.offer(Request{Deadline: s.now.Add(time.Hour)}); d.Verdict != Refuse || d.Refusal.Reason != metric.RefusedRateLimited {
		t.Errorf("request behind a full queue: %+v", d)
	}
	if s.notify(s.queue.SetRate(s.now, 0)); s.queue.Load().InUse != 18 || len(s.waiting) == 0 {
		t.Errorf("load %+v with %d waiting after the limit was lifted, want all 18 slots in use", s.queue.Load(), len(s.waiting))
	}
}

// Guards against a request that waits for the rate limit for ever, because no other request ends that would start it.
func TestGateWakesForTheRateLimit(t *testing.T) {
	g := NewGate(New(Settings{Slots: 20, WarmStart: true, ExactSlots: true}), clock.System{})
	g.SetRate(100)
	var wg sync.WaitGroup
	for range 15 {
		wg.Go(func() {
			if _, refusal := g.Acquire(context.Background(), Request{Deadline: time.Now().Add(time.Minute)}); refusal != nil {
				t.Errorf("refused: %+v", refusal)
			}
		})
	}
	wg.Wait()
}
