package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// serviceView is the immutable answer about one service.
type serviceView struct {
	instances []Instance
	spans     []Span
}

// Instances implements View. Instances of unreachable zones are left out, since they must not be chosen; History
// still has them.
func (t *Table) Instances(service string) []Instance { return t.view(service).instances }

// History implements HistoryView.
func (t *Table) History(service string) []Span { return t.view(service).spans }

func (t *Table) view(service string) *serviceView {
	if v, ok := (*t.views.Load())[service]; ok {
		return v
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if v, ok := (*t.views.Load())[service]; ok {
		return v
	}
	v := t.buildView(service)
	next := maps.Clone(*t.views.Load())
	next[service] = v
	t.views.Store(&next)
	return v
}

func (t *Table) buildView(service string) *serviceView {
	v := &serviceView{}
	for _, e := range t.entries {
		if e.instance.Service != service {
			continue
		}
		s := Span{Instance: e.instance, Joined: e.joined, Departed: e.departed, Unreachable: t.cutOff[e.instance.AvailabilityZone]}
		v.spans = append(v.spans, s)
		if !e.gone() && !s.Unreachable {
			v.instances = append(v.instances, e.instance)
		}
	}
	slices.SortFunc(v.instances, func(a, b Instance) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(v.spans, func(a, b Span) int {
		return cmp.Or(cmp.Compare(a.Instance.ID, b.Instance.ID), cmp.Compare(a.Instance.Incarnation, b.Instance.Incarnation))
	})
	return v
}

// Subscribe implements View.
func (t *Table) Subscribe() <-chan struct{} {
	c := make(chan struct{}, 1)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listeners = append(t.listeners, c)
	return c
}

// publish drops the views of changed services and wakes the listeners.
func (t *Table) publish() {
	if len(t.touched) == 0 {
		return
	}
	next := maps.Clone(*t.views.Load())
	for service := range t.touched {
		delete(next, service)
	}
	clear(t.touched)
	t.views.Store(&next)
	for _, c := range t.listeners {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}

// SetUnreachable names the availability zones that cannot be reached; all others can.
func (t *Table) SetUnreachable(zones []string) {
	next := make(map[string]bool, len(zones))
	for _, z := range zones {
		next[z] = true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if maps.Equal(next, t.cutOff) {
		return
	}
	t.cutOff = next
	for _, e := range t.entries {
		t.touched[e.instance.Service] = true
	}
	t.publish()
}

// Unreachable returns the availability zones that cannot be reached, in order.
func (t *Table) Unreachable() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Sorted(maps.Keys(t.cutOff))
}

// SetSynchronised states that the table is complete as of now, or that it may have missed changes.
func (t *Table) SetSynchronised(complete bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case !complete:
		t.since = time.Time{}
	case t.since.IsZero():
		t.since = t.clock.Now()
	}
}

// Synchronised implements HistoryView.
func (t *Table) Synchronised() (since time.Time, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.since, !t.since.IsZero()
}
