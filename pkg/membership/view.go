package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// serviceView is an immutable snapshot of the instances and spans of one service.
type serviceView struct {
	instances []Instance
	spans     []Span
}

// Instances implements View. It omits instances of unreachable availability zones, which must not be chosen; History
// still contains them.
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
		s := Span{Instance: e.instance, Joined: e.joined, Departed: e.departed, Unreachable: t.unreachable[e.instance.AvailabilityZone]}
		v.spans = append(v.spans, s)
		if !e.hasEnded() && !s.Unreachable {
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
	t.subscribers = append(t.subscribers, c)
	return c
}

// publish invalidates the views of changed services and notifies the subscribers.
func (t *Table) publish() {
	if len(t.changedServices) == 0 {
		return
	}
	next := maps.Clone(*t.views.Load())
	for service := range t.changedServices {
		delete(next, service)
	}
	clear(t.changedServices)
	t.views.Store(&next)
	for _, c := range t.subscribers {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}

// SetUnreachable replaces the set of availability zones that cannot be reached.
func (t *Table) SetUnreachable(zones []string) {
	next := make(map[string]bool, len(zones))
	for _, z := range zones {
		next[z] = true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if maps.Equal(next, t.unreachable) {
		return
	}
	t.unreachable = next
	for _, e := range t.entries {
		t.changedServices[e.instance.Service] = true
	}
	t.publish()
}

// Unreachable returns the availability zones that cannot be reached, sorted by name.
func (t *Table) Unreachable() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Sorted(maps.Keys(t.unreachable))
}

// MaxLag is the largest permitted value of the membership-lag setting, which bounds how long a change takes to reach
// every node.
const MaxLag = time.Minute

// MaxSilence is how long a table counts as complete without a new confirmation. A node that receives none for longer
// may have missed changes that all other nodes know.
const MaxSilence = 10 * time.Second

// SetComplete records that the table is confirmed to be complete now, or that it may have missed changes.
func (t *Table) SetComplete(complete bool) {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if !complete {
		t.completeSince = time.Time{}
		return
	}
	if !t.isComplete(now) {
		t.completeSince = now
		t.restampUnconfirmed(now)
	}
	t.confirmedAt = now
	t.publish()
}

// isComplete reports whether the table was confirmed to be complete within MaxSilence. The caller holds t.mu.
func (t *Table) isComplete(now time.Time) bool {
	return !t.completeSince.IsZero() && now.Sub(t.confirmedAt) <= MaxSilence
}

// restampUnconfirmed sets the times of changes that were learned while the table was incomplete to now: nodes with a
// complete table may not have known of them earlier. Before the first confirmation, the ages received from other tables
// are kept.
func (t *Table) restampUnconfirmed(now time.Time) {
	if t.confirmedAt.IsZero() {
		return
	}
	for _, e := range t.entries {
		if e.joined.After(t.confirmedAt) {
			e.joined = now
			t.changedServices[e.instance.Service] = true
		}
		if e.departed.After(t.confirmedAt) {
			e.departed = now
			t.changedServices[e.instance.Service] = true
		}
	}
}

// changeTime returns the local time assigned to a change that another table reports with the given age. A complete
// table uses the time at which it learns of the change: the other table may have been partitioned and have recorded the
// change before any node on this side could know of it.
func (t *Table) changeTime(now time.Time, age time.Duration) time.Time {
	if t.isComplete(now) {
		return now
	}
	return now.Add(-age)
}

// CompleteSince implements HistoryView.
func (t *Table) CompleteSince() (since time.Time, ok bool) {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.completeSince, t.isComplete(now)
}
