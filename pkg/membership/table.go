package membership

import (
	"container/list"
	"sync"
	"sync/atomic"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/clock"
)

// tombstoneGrace is how long a tombstone stays in the table after its retention has ended and it has left the digest.
// Tables learn of a departure at slightly different times. Without the grace period, a table that has just dropped a
// tombstone would accept it again from one that still holds it.
const tombstoneGrace = 10 * time.Second

// Record is an instance record as exchanged between nodes. Times are sent as ages, so clocks of different machines are
// never compared.
type Record struct {
	Instance Instance
	// JoinedAge is the time since the incarnation became known.
	JoinedAge time.Duration
	// Gone reports that the incarnation departed or was replaced by a later one, DepartedAge ago.
	Gone        bool
	DepartedAge time.Duration
}

// Mark is a position in the change sequence of one table. Epoch identifies the table.
type Mark struct {
	Epoch    uint64
	Revision uint64
}

type key struct {
	id          InstanceID
	incarnation uint64
}

// entry is one incarnation of an instance.
type entry struct {
	instance Instance
	joined   time.Time
	// departed is zero for a live member.
	departed time.Time
	// missingFromSnapshot reports that a full snapshot from a relay lacked the record; any record of the incarnation
	// clears it.
	missingFromSnapshot bool
	inDigest            bool
	hash                uint64
	revision            uint64
	element             *list.Element
}

func (e *entry) hasEnded() bool { return !e.departed.IsZero() }

// Table holds the records of current members and of incarnations that departed within the tombstone retention. It
// implements HistoryView. It is safe for concurrent use.
type Table struct {
	clock clock.Clock
	epoch uint64

	mu                sync.Mutex
	retention         time.Duration
	revision          uint64
	entries           map[key]*entry
	latestIncarnation map[InstanceID]uint64
	changeOrder       *list.List // entries in the order of their last change
	serviceDigests    map[string]uint64
	zoneDigests       map[string]uint64
	unreachable       map[string]bool
	subscribers       []chan struct{}
	changedServices   map[string]bool
	// completeSince is when the table became complete; confirmedAt is when that was last confirmed.
	completeSince time.Time
	confirmedAt   time.Time

	views atomic.Pointer[map[string]*serviceView]
}

// NewTable returns an empty table. The epoch must differ from that of any other table; a random number is suitable.
// The retention is how long tombstones are kept.
func NewTable(c clock.Clock, epoch uint64, retention time.Duration) *Table {
	t := &Table{
		clock: c, epoch: epoch, retention: retention,
		entries: make(map[key]*entry), latestIncarnation: make(map[InstanceID]uint64), changeOrder: list.New(),
		serviceDigests: make(map[string]uint64), zoneDigests: make(map[string]uint64),
		unreachable: make(map[string]bool), changedServices: make(map[string]bool),
	}
	t.views.Store(&map[string]*serviceView{})
	return t
}

// SetRetention sets how long the records of departed incarnations are kept.
func (t *Table) SetRetention(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.retention = d
}

// Mark returns the position after the last change.
func (t *Table) Mark() Mark {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Mark{Epoch: t.epoch, Revision: t.revision}
}

// ChangesSince returns the records that changed after the mark and for which keep returns true, in the order of their
// change, and the position after them. For a mark of another epoch it returns all records that keep accepts.
func (t *Table) ChangesSince(m Mark, keep func(Instance) bool) ([]Record, Mark) {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	after := m.Revision
	if m.Epoch != t.epoch {
		after = 0
	}
	first := t.changeOrder.Front()
	for e := t.changeOrder.Back(); e != nil && e.Value.(*entry).revision > after; e = e.Prev() {
		first = e
	}
	if t.revision <= after {
		first = nil
	}
	var out []Record
	for e := first; e != nil; e = e.Next() {
		if en := e.Value.(*entry); en.inDigest && keep(en.instance) {
			out = append(out, en.toRecord(now))
		}
	}
	return out, Mark{Epoch: t.epoch, Revision: t.revision}
}

// All returns all records for which keep returns true.
func (t *Table) All(keep func(Instance) bool) ([]Record, Mark) { return t.ChangesSince(Mark{}, keep) }

// maxJoinedAge bounds the JoinedAge of a Record. No decision depends on whether an instance joined longer ago.
const maxJoinedAge = 24 * time.Hour

func (e *entry) toRecord(now time.Time) Record {
	r := Record{Instance: e.instance, JoinedAge: min(now.Sub(e.joined), maxJoinedAge).Truncate(time.Millisecond)}
	if e.hasEnded() {
		r.Gone, r.DepartedAge = true, now.Sub(e.departed).Truncate(time.Millisecond)
	}
	return r
}

// Get returns the record of the latest incarnation of an instance, departed or not.
func (t *Table) Get(id InstanceID) (Instance, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	inc, ok := t.latestIncarnation[id]
	if !ok {
		return Instance{}, false
	}
	return t.entries[key{id, inc}].instance, true
}

// Len returns the number of records, tombstones included.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.entries)
}

// Expire removes tombstones whose retention has ended.
func (t *Table) Expire() {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for k, e := range t.entries {
		if !e.hasEnded() {
			continue
		}
		age := now.Sub(e.departed)
		if age >= t.retention {
			t.removeFromDigest(e)
		}
		if age >= t.retention+tombstoneGrace {
			t.remove(k, e)
		}
	}
	t.publish()
}

func (t *Table) remove(k key, e *entry) {
	t.removeFromDigest(e)
	t.changeOrder.Remove(e.element)
	delete(t.entries, k)
	if t.latestIncarnation[k.id] == k.incarnation {
		delete(t.latestIncarnation, k.id)
	}
	t.changedServices[e.instance.Service] = true
}

// RetainServices removes the records of the services for which keep returns false.
func (t *Table) RetainServices(keep func(service string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for k, e := range t.entries {
		if !keep(e.instance.Service) {
			t.remove(k, e)
		}
	}
	t.publish()
}
