package admission

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"pgregory.net/rapid"
)

// runningRequest is a request that holds a slot.
type runningRequest struct {
	request Request
	started time.Time
}

// model applies generated steps to a discipline and checks it after each of them.
type model struct {
	t       *rapid.T
	d       Discipline
	now     time.Time
	slots   int
	waiting map[Ticket]Request
	running []runningRequest
	// granted and refused count the slots and refusals that each ticket got.
	granted, refused map[Ticket]int
	// tenants are the names that requests have; empty for none.
	tenants []string
}

func (m *model) run(req Request) {
	if !req.Deadline.IsZero() && !m.now.Before(req.Deadline) {
		m.t.Fatalf("request started %s after its deadline", m.now.Sub(req.Deadline))
	}
	m.running = append(m.running, runningRequest{req, m.now})
	if len(m.running) > max(m.slots, 0) {
		m.t.Fatalf("%d of %d slots in use", len(m.running), m.slots)
	}
}

func (m *model) refuse(t Ticket) {
	if _, ok := m.waiting[t]; !ok {
		m.t.Fatalf("ticket %d was refused, but was not waiting", t)
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
		req, ok := m.waiting[n.Ticket]
		if !ok {
			m.t.Fatalf("ticket %d got a slot, but was not waiting", n.Ticket)
		}
		delete(m.waiting, n.Ticket)
		m.granted[n.Ticket]++
		m.run(req)
	}
}

func (m *model) offer() {
	req := Request{Rank: rapid.IntRange(-2, 9).Draw(m.t, "rank"), Policy: fmt.Sprint(rapid.IntRange(0, 3).Draw(m.t, "policy")), Arrived: m.now}
	if ms := rapid.IntRange(-5, 200).Draw(m.t, "deadline"); ms != 0 {
		req.Deadline = m.now.Add(time.Duration(ms) * time.Millisecond)
	}
	if ms := rapid.IntRange(-2, 100).Draw(m.t, "target"); ms > 0 {
		req.Target = m.now.Add(time.Duration(ms) * time.Millisecond)
	}
	req.Tenant = rapid.SampledFrom(m.tenants).Draw(m.t, "tenant")
	req.Moved = rapid.Bool().Draw(m.t, "moved")
	d := m.d.Offer(m.now, req)
	if d.Displaced != 0 {
		m.refuse(d.Displaced)
	}
	switch d.Verdict {
	case Run:
		m.run(req)
	case Wait:
		m.waiting[d.Ticket] = req
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
	m.notify(m.d.Done(m.now, h.request, r))
}

func (m *model) step() {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 20).Draw(m.t, "ms")) * time.Millisecond)
	switch rapid.IntRange(0, 10).Draw(m.t, "step") {
	case 0, 1, 2, 3, 4:
		m.offer()
	case 5, 6, 7:
		m.done()
	case 8:
		m.notify(m.d.Expire(m.now))
	case 10:
		if after, ok := m.d.NextWake(m.now); ok {
			m.now = m.now.Add(after)
			m.notify(m.d.Wake(m.now))
		}
	case 9:
		if len(m.waiting) == 0 {
			break
		}
		t := slices.Min(slices.Collect(maps.Keys(m.waiting)))
		if !m.d.Cancel(m.now, t) || m.d.Cancel(m.now, t) {
			m.t.Fatalf("two calls of Cancel for waiting ticket %d: want true, then false", t)
		}
		delete(m.waiting, t)
	}
	if q, ok := m.d.(*Queue); ok {
		m.checkTenants(q)
	}
	l := m.d.Load()
	if l.InUse != len(m.running) || l.Queued != len(m.waiting) || l.Limit > max(m.slots, 0) {
		m.t.Fatalf("load %+v, want %d running and %d waiting requests on %d slots", l, len(m.running), len(m.waiting), m.slots)
	}
	if l.Queued > 0 && l.InUse == 0 && l.Limit > 0 {
		m.t.Fatal("requests wait although no slot is in use")
	}
}

// checkTenants compares the accounts of the tenants with the requests.
func (m *model) checkTenants(q *Queue) {
	running, waiting := map[string]int{}, map[string]int{}
	for _, r := range m.running {
		running[r.request.Tenant]++
	}
	for _, r := range m.waiting {
		waiting[r.Tenant]++
	}
	for name, t := range q.tenants.byName {
		if t.inUse != running[name] || t.waiting != waiting[name] || t.use < 0 {
			m.t.Fatalf("tenant %s: %d running and %d waiting with use %g, want %d and %d", name, t.inUse, t.waiting, t.use, running[name], waiting[name])
		}
		delete(running, name)
		delete(waiting, name)
	}
	for name, n := range running {
		if n > 0 && name != "" {
			m.t.Fatalf("tenant %s has %d running requests and no account", name, n)
		}
	}
}
