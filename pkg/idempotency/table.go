package idempotency

import (
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
)

// State is the state of a record.
type State uint8

// States of a record. A record never returns to a lower state.
const (
	// StateNone: there is no record.
	StateNone State = iota
	// StateRunning: a claimant may be running the request.
	StateRunning
	// StateUnknown: the request may have been run; its answer is not known.
	StateUnknown
	// StateDone: the request was run and answered.
	StateDone
)

// Claimant is the incarnation of an instance that claims keys.
type Claimant struct {
	ID          membership.InstanceID
	Incarnation uint64
}

// Digest is the prefix of a request's digest that a record keeps.
type Digest [16]byte

// Claim asks for the right to run the request of a key.
type Claim struct {
	Key      Key
	Digest   Digest
	Claimant Claimant
	// Attempt increases with each claim of a claimant, so that a late withdrawal does not remove a newer claim.
	Attempt uint64
	// Keep is how long the record is kept after its last change.
	Keep time.Duration
}

// ClaimStatus is the result of a claim or a read.
type ClaimStatus uint8

// Results of a claim or a read.
const (
	// ClaimNoReply: no reply arrived; the holder may have granted the claim.
	ClaimNoReply ClaimStatus = iota
	ClaimGranted
	// ClaimConflict: another record exists.
	ClaimConflict
	// ClaimMismatch: the key was used with another digest.
	ClaimMismatch
	// ClaimFull: the table has no room for another key.
	ClaimFull
	// ClaimRefused: the holder is draining, or is not the incarnation that the claimant expects.
	ClaimRefused
	// ClaimNone: there is no record. Only reads return it.
	ClaimNone
)

// Found is the reply to a claim or a read: its status and, if there is one, the record of the key.
type Found struct {
	Status   ClaimStatus
	State    State
	Claimant Claimant
	// Answer is nil if the state is not StateDone or the answer was not kept.
	Answer *Answer
	// Ended matters with ClaimNone only: all of the holder's attempts on the key up to this number ended without a run.
	Ended uint64
}

// Limits of a table.
const (
	// MaxRecords bounds the memory of records, without their answers, to about 16 MB.
	MaxRecords = 100_000
	// MaxAnswerBytes is the largest answer that is kept.
	MaxAnswerBytes = 4 << 10
	// MaxTotalAnswerBytes is the largest total size of all kept answers.
	MaxTotalAnswerBytes = 8 << 20
	// sweepInterval is the time between removals of expired records.
	sweepInterval = 10 * time.Second
)

// record is the state of one key. It is kept small because a node may hold tens of thousands.
type record struct {
	answer   *Answer
	attempt  uint64
	expires  int64 // in nanoseconds since Table.baseTime
	digest   Digest
	claimant uint32 // index in Table.claimants
	state    State
}

// Table holds the records of one node. It is not safe for concurrent use, and its callers pass the time.
type Table struct {
	maxRecords, maxTotalAnswerBytes int
	records                         map[Key]record
	baseTime                        time.Time
	nextSweep                       int64
	claimants                       []Claimant
	claimantIDs                     map[Claimant]uint32
	// answerKeys lists the keys of kept answers, oldest first. It may contain keys whose answer was removed.
	answerKeys  []Key
	answerBytes int
}

// NewTable returns an empty table. baseTime is a reading of the clock that later calls use; expiry times are stored
// relative to it.
func NewTable(baseTime time.Time, maxRecords, maxTotalAnswerBytes int) *Table {
	return &Table{
		maxRecords: maxRecords, maxTotalAnswerBytes: maxTotalAnswerBytes, baseTime: baseTime,
		records: make(map[Key]record), claimantIDs: make(map[Claimant]uint32),
	}
}

// Len returns the number of records.
func (t *Table) Len() int { return len(t.records) }

// Claim grants the claim, or returns the record that conflicts with it. A claim by the claimant of a running record is
// granted: a claimant makes one attempt at a time for a key, so the withdrawal of the earlier one was lost.
func (t *Table) Claim(now time.Time, c Claim) Found {
	t.sweep(now)
	r, ok := t.lookup(now, c.Key)
	switch {
	case !ok && len(t.records) >= t.maxRecords:
		return Found{Status: ClaimFull}
	case !ok:
		t.put(now, c.Key, record{state: StateRunning, digest: c.Digest, attempt: c.Attempt, claimant: t.intern(c.Claimant)}, c.Keep)
		return Found{Status: ClaimGranted}
	case r.state == StateRunning && t.claimants[r.claimant] == c.Claimant:
		r.digest, r.attempt = c.Digest, max(r.attempt, c.Attempt)
		t.put(now, c.Key, r, c.Keep)
		return Found{Status: ClaimGranted}
	case r.digest != c.Digest:
		return Found{Status: ClaimMismatch, State: r.state, Claimant: t.claimants[r.claimant]}
	}
	return Found{Status: ClaimConflict, State: r.state, Claimant: t.claimants[r.claimant], Answer: r.answer}
}

// Read returns the record of a key.
func (t *Table) Read(now time.Time, key Key) Found {
	r, ok := t.lookup(now, key)
	if !ok {
		return Found{Status: ClaimNone}
	}
	return Found{Status: ClaimConflict, State: r.state, Claimant: t.claimants[r.claimant], Answer: r.answer}
}

// Withdraw removes the running record of an attempt that did not run the request, or of an earlier attempt of its
// claimant.
func (t *Table) Withdraw(now time.Time, c Claim) bool {
	r, ok := t.lookup(now, c.Key)
	if !ok || r.state != StateRunning || t.claimants[r.claimant] != c.Claimant || r.attempt > c.Attempt {
		return false
	}
	t.remove(c.Key, r)
	return true
}

// RecordOutcome stores the outcome of a run and reports whether it did. A record in the same or a higher state is kept.
// The running record of another claimant is replaced only by an answer, which proves that the request was run.
func (t *Table) RecordOutcome(now time.Time, c Claim, state State, answer *Answer) bool {
	r, ok := t.lookup(now, c.Key)
	if !ok && len(t.records) >= t.maxRecords {
		return false
	}
	if ok && (r.digest != c.Digest || r.state >= state) {
		return false
	}
	if ok && r.state == StateRunning && state != StateDone && t.claimants[r.claimant] != c.Claimant {
		return false
	}
	next := record{state: state, digest: c.Digest, attempt: c.Attempt, claimant: t.intern(c.Claimant)}
	if answer != nil && t.reserveAnswer(c.Key, answer) {
		next.answer = answer
	}
	t.put(now, c.Key, next, c.Keep)
	return true
}

// Import accepts a record from a holder that shuts down, and reports whether the table now holds it. An existing
// running record of another claimant does not count, since it may be withdrawn.
func (t *Table) Import(now time.Time, c Claim, state State, answer *Answer) bool {
	t.sweep(now)
	r, ok := t.lookup(now, c.Key)
	if ok && r.digest == c.Digest && r.state >= state && r.state > StateRunning {
		t.put(now, c.Key, r, c.Keep)
		return true
	}
	if state == StateRunning {
		return t.Claim(now, c).Status == ClaimGranted
	}
	return t.RecordOutcome(now, c, state, answer)
}

// Entry is a record in a hand-over. Claim.Keep is the time until the record expires.
type Entry struct {
	Claim  Claim
	State  State
	Answer *Answer
}

// Export returns all records that have not expired.
func (t *Table) Export(now time.Time) []Entry {
	out := make([]Entry, 0, len(t.records))
	for k, r := range t.records {
		left := time.Duration(r.expires) - now.Sub(t.baseTime)
		if left <= 0 {
			continue
		}
		c := Claim{Key: k, Digest: r.digest, Claimant: t.claimants[r.claimant], Attempt: r.attempt, Keep: left}
		out = append(out, Entry{Claim: c, State: r.state, Answer: r.answer})
	}
	return out
}

// MarkUnknown sets the running record of a departed claimant to StateUnknown, and reports whether there was one.
func (t *Table) MarkUnknown(now time.Time, key Key, departed Claimant) bool {
	r, ok := t.lookup(now, key)
	if !ok || r.state != StateRunning || t.claimants[r.claimant] != departed {
		return false
	}
	r.state = StateUnknown
	t.records[key] = r
	return true
}

func (t *Table) lookup(now time.Time, key Key) (record, bool) {
	r, ok := t.records[key]
	return r, ok && r.expires > int64(now.Sub(t.baseTime))
}

func (t *Table) put(now time.Time, key Key, r record, keep time.Duration) {
	old := t.records[key]
	if old.answer != nil && old.answer != r.answer {
		t.answerBytes -= old.answer.size()
	}
	r.expires = max(int64(now.Sub(t.baseTime)+keep), old.expires)
	t.records[key] = r
}

func (t *Table) remove(key Key, r record) {
	if r.answer != nil {
		t.answerBytes -= r.answer.size()
	}
	delete(t.records, key)
}

// sweep removes expired records. It scans the whole table at long intervals, which takes less memory than keeping the
// records in order of expiry and less time than looking for expired records with each request.
func (t *Table) sweep(now time.Time) {
	at := int64(now.Sub(t.baseTime))
	if at < t.nextSweep {
		return
	}
	t.nextSweep = at + int64(sweepInterval)
	for k, r := range t.records {
		if r.expires <= at {
			t.remove(k, r)
		}
	}
	for len(t.answerKeys) > 0 && t.records[t.answerKeys[0]].answer == nil {
		t.answerKeys = t.answerKeys[1:]
	}
}

func (t *Table) intern(c Claimant) uint32 {
	id, ok := t.claimantIDs[c]
	if !ok {
		id = uint32(len(t.claimants))
		t.claimants = append(t.claimants, c)
		t.claimantIDs[c] = id
	}
	return id
}

// reserveAnswer makes room for an answer by dropping the oldest ones, whose records stay, and counts its size. It
// reports false if the answer is too large to keep.
func (t *Table) reserveAnswer(key Key, a *Answer) bool {
	size := a.size()
	if size > MaxAnswerBytes || size > t.maxTotalAnswerBytes {
		return false
	}
	for t.answerBytes+size > t.maxTotalAnswerBytes && len(t.answerKeys) > 0 {
		t.dropOldestAnswer()
	}
	t.answerKeys = append(t.answerKeys, key)
	t.answerBytes += size
	return true
}

func (t *Table) dropOldestAnswer() {
	key := t.answerKeys[0]
	t.answerKeys = t.answerKeys[1:]
	if r, ok := t.records[key]; ok && r.answer != nil {
		t.answerBytes -= r.answer.size()
		r.answer = nil
		t.records[key] = r
	}
}

// size returns the number of bytes in the body and the header.
func (a *Answer) size() int {
	n := len(a.Body)
	for name, values := range a.Header {
		n += len(name)
		for _, v := range values {
			n += len(v)
		}
	}
	return n
}
