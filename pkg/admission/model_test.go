package admission

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"pgregory.net/rapid"
)

// held is work that the model gave a slot to.
type held struct {
	work    Request
	started time.Time
}

// model drives a discipline with generated steps and checks it after each of them.
type model struct {
	t       *rapid.T
	d       Discipline
	now     time.Time
	slots   int
	waiting map[Ticket]Request
	running []held
	// granted and refused count the ends of each ticket.
	granted, refused map[Ticket]int
}

func (m *model) run(w Request) {
	if !w.Deadline.IsZero() && !m.now.Before(w.Deadline) {
		m.t.Fatalf("work started %s after its deadline", m.now.Sub(w.Deadline))
	}
	m.running = append(m.running, held{w, m.now})
	if len(m.running) > max(m.slots, 0) {
		m.t.Fatalf("%d of %d slots in use", len(m.running), m.slots)
	}
}

func (m *model) refuse(t Ticket) {
	if _, ok := m.waiting[t]; !ok {
		m.t.Fatalf("ticket %d was refused, but does not wait", t)
	}
	delete(m.waiting, t)
	m.refused[t]++
}

func (m *model) notify(list []Notice) {
	for _, n := range list {
		if !n.Granted() {
			m.refuse(n.Ticket)
			continue
		}
		w, ok := m.waiting[n.Ticket]
		if !ok {
			m.t.Fatalf("ticket %d got a slot, but does not wait", n.Ticket)
		}
		delete(m.waiting, n.Ticket)
		m.granted[n.Ticket]++
		m.run(w)
	}
}

func (m *model) offer() {
	w := Request{Rank: rapid.IntRange(-2, 9).Draw(m.t, "rank"), Policy: fmt.Sprint(rapid.IntRange(0, 3).Draw(m.t, "policy")), Arrived: m.now}
	if ms := rapid.IntRange(-5, 200).Draw(m.t, "deadline"); ms != 0 {
		w.Deadline = m.now.Add(time.Duration(ms) * time.Millisecond)
	}
	d := m.d.Offer(m.now, w)
	if d.Displaced != 0 {
		m.refuse(d.Displaced)
	}
	switch d.Verdict {
	case Run:
		m.run(w)
	case Wait:
		m.waiting[d.Ticket] = w
	case Refuse:
		if d.Refusal.Reason == "" {
			m.t.Fatal("refusal without a reason")
		}
	}
}

func (m *model) done() {
	if len(m.running) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.running)-1).Draw(m.t, "which")
	h := m.running[i]
	m.running = append(m.running[:i], m.running[i+1:]...)
	r := Result{ServiceTime: m.now.Sub(h.started)}
	switch rapid.IntRange(0, 9).Draw(m.t, "end") {
	case 0:
		r.Shed = true
	case 1:
	default:
		r.Served = true
	}
	m.notify(m.d.Done(m.now, h.work, r))
}

func (m *model) step() {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 20).Draw(m.t, "ms")) * time.Millisecond)
	switch rapid.IntRange(0, 9).Draw(m.t, "step") {
	case 0, 1, 2, 3, 4:
		m.offer()
	case 5, 6, 7:
		m.done()
	case 8:
		m.notify(m.d.Expire(m.now))
	case 9:
		if len(m.waiting) == 0 {
			break
		}
		t := slices.Min(slices.Collect(maps.Keys(m.waiting)))
		if !m.d.Cancel(m.now, t) || m.d.Cancel(m.now, t) {
			m.t.Fatalf("cancel of waiting ticket %d: want true once", t)
		}
		delete(m.waiting, t)
	}
	l := m.d.Load()
	if l.InUse != len(m.running) || l.Queued != len(m.waiting) || l.Limit > max(m.slots, 0) {
		m.t.Fatalf("load %+v with %d running, %d waiting, %d slots", l, len(m.running), len(m.waiting), m.slots)
	}
	if l.Queued > 0 && l.InUse == 0 && l.Limit > 0 {
		m.t.Fatal("work waits while no slot is in use")
	}
}
