package admission

import (
	"testing"
	"time"
)

// Guards against the pattern "a burst of one rank beyond the capacity": started in the order of arrival, nearly all of
// the work is answered just after its target. Here 1.5 times the capacity arrives for four seconds.
func TestBurstBeyondCapacityIsAnsweredOnTimeOrNot(t *testing.T) {
	const (
		slots   = 10
		service = 160 * time.Millisecond
		target  = 400 * time.Millisecond
		gap     = service * 2 / (3 * slots)
		length  = 4 * time.Second
	)
	onTime := func(withTarget bool) (share float64) {
		q := New(Settings{Slots: slots, WarmStart: true})
		now := time.Unix(0, 0)
		type run struct {
			w   Request
			end time.Time
		}
		var running []run
		started := make(map[Ticket]Request)
		met, offered := 0, 0
		finish := func(until time.Time) {
			for len(running) > 0 && !running[0].end.After(until) {
				r := running[0]
				running = running[1:]
				if !r.end.After(r.w.Arrived.Add(target)) {
					met++
				}
				for _, n := range q.Done(r.end, r.w, Result{Served: true, ServiceTime: service}) {
					if n.Granted() {
						running = append(running, run{started[n.Ticket], r.end.Add(service)})
					}
				}
			}
		}
		for ; now.Before(time.Unix(0, 0).Add(length)); now = now.Add(gap) {
			finish(now)
			offered++
			w := Request{Rank: 1, Policy: "view", Arrived: now, Deadline: now.Add(1200 * time.Millisecond)}
			if withTarget {
				w.Target = now.Add(target)
			}
			switch d := q.Offer(now, w); d.Verdict {
			case Run:
				running = append(running, run{w, now.Add(service)})
			case Wait:
				started[d.Ticket] = w
			}
		}
		finish(now.Add(time.Minute))
		return float64(met) / float64(offered)
	}
	// The capacity is two thirds of what is offered; the bound leaves a tenth of it for the turn into the backlog.
	if got := onTime(true); got < 0.6 {
		t.Errorf("%.2f of the work met its target, want at least 0.6", got)
	}
	if got := onTime(false); got > 0.4 {
		t.Errorf("%.2f met the target in the order of arrival; the test no longer shows the pattern", got)
	}
}

// Guards against a light queue whose oldest work is overtaken for no reason: without a backlog all of it can be on time.
func TestOrderOfArrivalWithoutBacklog(t *testing.T) {
	q := New(Settings{Slots: 1, WarmStart: true})
	now := time.Unix(0, 0)
	offer := func(at time.Time) Decision {
		return q.Offer(at, Request{Rank: 1, Arrived: at, Deadline: at.Add(time.Second), Target: at.Add(400 * time.Millisecond)})
	}
	first := offer(now)
	if first.Verdict != Run {
		t.Fatalf("%+v", first)
	}
	oldest := offer(now.Add(time.Millisecond))
	offer(now.Add(2 * time.Millisecond))
	notices := q.Done(now.Add(20*time.Millisecond), Request{Rank: 1}, Result{Served: true, ServiceTime: 20 * time.Millisecond})
	if len(notices) != 1 || notices[0].Ticket != oldest.Ticket || !notices[0].Granted() {
		t.Errorf("started %+v, want the oldest %d", notices, oldest.Ticket)
	}
}

// Guards against a restarted node that takes seconds to use all slots of a backend server that has been running.
func TestWarmStartUsesAllAnnouncedSlots(t *testing.T) {
	q := New(Settings{WarmStart: true})
	q.SetSlots(time.Unix(0, 0), 18)
	if got := q.Load().Limit; got != 18 {
		t.Errorf("limit %d after the announcement, want 18", got)
	}
}

// Guards against the pattern "all instances shed half of their work although they have room": a limit that falls with each
// shed call would leave one slot of 18 in use.
func TestShedWithFreeSlotsKeepsExactSlots(t *testing.T) {
	q, now := New(Settings{Slots: 18, WarmStart: true, ExactSlots: true}), time.Unix(0, 0)
	shed := func(inUse int) {
		for range inUse {
			q.Offer(now, Request{Rank: 1, Deadline: now.Add(time.Second)})
		}
		for range inUse {
			q.Done(now, Request{Rank: 1}, Result{Shed: true})
		}
	}
	for range 100 {
		shed(9)
	}
	if got := q.Load().Limit; got != 18 {
		t.Errorf("limit %d after calls were shed at half use, want 18", got)
	}
	for range 100 {
		shed(18)
	}
	if got := q.Load().Limit; got < 13 || got == 18 {
		t.Errorf("limit %d after calls were shed at full use, want from 13 to 17", got)
	}
}
