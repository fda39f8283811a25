package membership

import "time"

// newer reports whether record a replaces record b of the same incarnation: the higher sequence wins, and a departure
// wins over the same sequence, because a relay declares it with the last sequence that it knows.
func newer(a, b Instance) bool {
	if a.Sequence != b.Sequence {
		return a.Sequence > b.Sequence
	}
	if (a.State == StateDeparted) != (b.State == StateDeparted) {
		return a.State == StateDeparted
	}
	// Two departures with one sequence: without proof of the hand-over the records count as lost.
	return a.State == StateDeparted && b.HandedOver && !a.HandedOver
}

// Merge takes records from another table and returns how many changed this one.
func (t *Table) Merge(records ...Record) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := t.mergeAll(records)
	t.publish()
	return changed
}

// Put takes a record that the caller makes now.
func (t *Table) Put(i Instance) bool {
	return t.Merge(Record{Instance: i, Gone: i.State == StateDeparted}) > 0
}

// Replace takes a complete answer about the selected services. Members that it lacks count as departed now, until a
// record of them arrives: the table missed their departure and its tombstone.
func (t *Table) Replace(records []Record, selected func(Instance) bool) int {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := t.mergeAll(records)
	named := make(map[key]bool, len(records))
	for _, r := range records {
		named[key{r.Instance.ID, r.Instance.Incarnation}] = true
	}
	for k, e := range t.entries {
		if named[k] || !e.digested || !selected(e.instance) {
			continue
		}
		e.missing = true
		t.undigest(e)
		if !e.gone() {
			e.departed = now
		}
		t.record(e)
		changed++
	}
	t.publish()
	return changed
}

func (t *Table) mergeAll(records []Record) int {
	now, changed := t.clock.Now(), 0
	for _, r := range records {
		if r.Instance.ID != "" && t.merge(now, r) {
			changed++
		}
	}
	return changed
}

func (t *Table) merge(now time.Time, r Record) bool {
	if r.Gone && r.DepartedAge >= t.window {
		return false
	}
	k := key{r.Instance.ID, r.Instance.Incarnation}
	e, ok := t.entries[k]
	if !ok {
		t.insert(now, k, r)
		return true
	}
	if joined := t.learned(now, r.JoinedAge); joined.Before(e.joined) {
		e.joined = joined
	}
	if !newer(r.Instance, e.instance) && !e.missing {
		return t.supersede(now, e, r)
	}
	t.undigest(e)
	t.touched[e.instance.Service] = true
	if newer(r.Instance, e.instance) {
		e.instance = r.Instance
	}
	e.missing = false
	t.setDeparted(now, e, r)
	t.digest(e)
	t.record(e)
	return true
}

// supersede takes from a record only that its incarnation was followed by a later one.
func (t *Table) supersede(now time.Time, e *entry, r Record) bool {
	if !r.Gone || e.gone() || r.Instance.Sequence < e.instance.Sequence {
		return false
	}
	e.departed = t.learned(now, r.DepartedAge)
	t.record(e)
	return true
}

func (t *Table) insert(now time.Time, k key, r Record) {
	e := &entry{instance: r.Instance, joined: t.learned(now, r.JoinedAge)}
	e.element = t.log.PushBack(e)
	t.entries[k] = e
	latest, known := t.latest[k.id]
	if !known || latest < k.incarnation {
		t.latest[k.id] = k.incarnation
	}
	if known && latest < k.incarnation {
		t.end(t.entries[key{k.id, latest}], e.joined)
	}
	t.setDeparted(now, e, r)
	t.digest(e)
	t.record(e)
}

// end notes that an incarnation was followed by a later one.
func (t *Table) end(e *entry, at time.Time) {
	if !e.gone() {
		e.departed = at
		t.record(e)
	}
}

// setDeparted derives the end of the span from the record and from what is known of later incarnations. The first
// end that was learned stays, so that ages do not shrink as they travel in circles.
func (t *Table) setDeparted(now time.Time, e *entry, r Record) {
	latest := t.latest[e.instance.ID]
	switch {
	case r.Gone || e.instance.State == StateDeparted:
		if !e.gone() {
			e.departed = t.learned(now, r.DepartedAge)
		}
	case latest > e.instance.Incarnation:
		if !e.gone() {
			e.departed = t.entries[key{e.instance.ID, latest}].joined
		}
	default:
		e.departed = time.Time{}
	}
}

// record gives the entry a new revision and marks its service as changed.
func (t *Table) record(e *entry) {
	t.revision++
	e.revision = t.revision
	t.log.MoveToBack(e.element)
	t.touched[e.instance.Service] = true
}
