package membership

import "time"

// newer reports whether record a replaces record b of the same incarnation. The higher sequence wins. At the same
// sequence a departure wins, because a relay declares a departure with the last sequence it knows.
func newer(a, b Instance) bool {
	if a.Sequence != b.Sequence {
		return a.Sequence > b.Sequence
	}
	if (a.State == StateDeparted) != (b.State == StateDeparted) {
		return a.State == StateDeparted
	}
	// Two departures with the same sequence: unless both report the hand-over, the idempotency records count as lost.
	return a.State == StateDeparted && b.HandedOver && !a.HandedOver
}

// Merge merges records of another table and returns the number of records that changed this one.
func (t *Table) Merge(records ...Record) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := t.mergeAll(records)
	t.publish()
	return changed
}

// Put merges a record that the caller creates now. It reports whether the table changed.
func (t *Table) Put(i Instance) bool {
	return t.Merge(Record{Instance: i, Gone: i.State == StateDeparted}) > 0
}

// Replace merges a full snapshot of the selected services and returns the number of changes. Members that the snapshot
// lacks are marked as departed now, until a record of them arrives: the table has missed both their departure and its
// tombstone.
func (t *Table) Replace(records []Record, selected func(Instance) bool) int {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := t.mergeAll(records)
	received := make(map[key]bool, len(records))
	for _, r := range records {
		received[key{r.Instance.ID, r.Instance.Incarnation}] = true
	}
	for k, e := range t.entries {
		if received[k] || !e.inDigest || !selected(e.instance) {
			continue
		}
		e.missingFromSnapshot = true
		t.removeFromDigest(e)
		if !e.hasEnded() {
			e.departed = now
		}
		t.recordChange(e)
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
	if r.Gone && r.DepartedAge >= t.retention {
		return false
	}
	k := key{r.Instance.ID, r.Instance.Incarnation}
	e, ok := t.entries[k]
	if !ok {
		t.insert(now, k, r)
		return true
	}
	if joined := t.changeTime(now, r.JoinedAge); joined.Before(e.joined) {
		e.joined = joined
	}
	if !newer(r.Instance, e.instance) && !e.missingFromSnapshot {
		return t.mergeSuperseded(now, e, r)
	}
	t.removeFromDigest(e)
	t.changedServices[e.instance.Service] = true
	if newer(r.Instance, e.instance) {
		e.instance = r.Instance
	}
	e.missingFromSnapshot = false
	t.setDeparted(now, e, r)
	t.addToDigest(e)
	t.recordChange(e)
	return true
}

// mergeSuperseded marks the entry as ended if the record, although it is not newer, reports that a later incarnation
// has replaced the entry's one.
func (t *Table) mergeSuperseded(now time.Time, e *entry, r Record) bool {
	if !r.Gone || e.hasEnded() || r.Instance.Sequence < e.instance.Sequence {
		return false
	}
	e.departed = t.changeTime(now, r.DepartedAge)
	t.recordChange(e)
	return true
}

func (t *Table) insert(now time.Time, k key, r Record) {
	e := &entry{instance: r.Instance, joined: t.changeTime(now, r.JoinedAge)}
	e.element = t.changeOrder.PushBack(e)
	t.entries[k] = e
	latest, known := t.latestIncarnation[k.id]
	if !known || latest < k.incarnation {
		t.latestIncarnation[k.id] = k.incarnation
	}
	if known && latest < k.incarnation {
		t.endSpan(t.entries[key{k.id, latest}], e.joined)
	}
	t.setDeparted(now, e, r)
	t.addToDigest(e)
	t.recordChange(e)
}

// endSpan marks an entry as replaced by a later incarnation at the given time.
func (t *Table) endSpan(e *entry, at time.Time) {
	if !e.hasEnded() {
		e.departed = at
		t.recordChange(e)
	}
}

// setDeparted derives the end of the span from the record and from later incarnations in the table. The first known end
// is kept; otherwise the age would shrink as records circulate between tables.
func (t *Table) setDeparted(now time.Time, e *entry, r Record) {
	latest := t.latestIncarnation[e.instance.ID]
	switch {
	case r.Gone || e.instance.State == StateDeparted:
		if !e.hasEnded() {
			e.departed = t.changeTime(now, r.DepartedAge)
		}
	case latest > e.instance.Incarnation:
		if !e.hasEnded() {
			e.departed = t.entries[key{e.instance.ID, latest}].joined
		}
	default:
		e.departed = time.Time{}
	}
}

// recordChange assigns the entry a new revision and marks its service as changed.
func (t *Table) recordChange(e *entry) {
	t.revision++
	e.revision = t.revision
	t.changeOrder.MoveToBack(e.element)
	t.changedServices[e.instance.Service] = true
}
