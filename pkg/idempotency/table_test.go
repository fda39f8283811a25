package idempotency

import (
	"testing"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
)

// claimOf returns a claim of the given instance for a key, with a window of a minute.
func claimOf(id string, attempt uint64, key byte) Claim {
	return Claim{Key: Key{key}, Claimant: Claimant{ID: membership.InstanceID(id), Incarnation: 1}, Attempt: attempt, Keep: time.Minute}
}

// Guards against a withdrawal that arrives late and removes a newer claim, which would let a second home run the key.
func TestLateWithdrawalKeepsNewerClaim(t *testing.T) {
	now := time.Now()
	tab := NewTable(now, 10, 100)
	tab.Claim(now, claimOf("a", 1, 1))
	if f := tab.Claim(now, claimOf("a", 2, 1)); f.Status != ClaimGranted {
		t.Fatalf("claim by the same claimant: got %+v, want it granted", f)
	}
	if tab.Withdraw(now, claimOf("a", 1, 1)) || tab.Claim(now, claimOf("b", 1, 1)).Status != ClaimConflict {
		t.Error("the withdrawal of attempt 1 removed the claim of attempt 2")
	}
	if !tab.Withdraw(now, claimOf("a", 2, 1)) || tab.Claim(now, claimOf("b", 1, 1)).Status != ClaimGranted {
		t.Error("the withdrawal of attempt 2 did not free the key")
	}
}

// Guards against a record that returns to a lower state: an answer must stay, and an unknown outcome must not be
// withdrawn.
func TestRecordStateNeverDecreases(t *testing.T) {
	now := time.Now()
	tab := NewTable(now, 10, 100)
	a, b := claimOf("a", 1, 1), claimOf("b", 1, 1)
	tab.Claim(now, a)
	if tab.RecordOutcome(now, b, StateUnknown, nil) {
		t.Error("another claimant replaced a running record without an answer")
	}
	if !tab.MarkUnknown(now, a.Key, a.Claimant) || tab.Withdraw(now, a) || tab.Claim(now, a).State != StateUnknown {
		t.Error("the record of a departed claimant was not set to an unknown outcome, or its claim could be withdrawn")
	}
	if !tab.RecordOutcome(now, a, StateDone, &Answer{Body: []byte("x")}) || tab.RecordOutcome(now, a, StateUnknown, nil) {
		t.Error("a late answer must replace an unknown outcome, and stay")
	}
	mismatch := b
	mismatch.Digest[0] = 1
	if f := tab.Claim(now, mismatch); f.Status != ClaimMismatch {
		t.Errorf("claim with another digest: got %+v, want a mismatch", f)
	}
}

// Guards against records that expire before their window has passed, or that stay longer. The window starts anew when
// the outcome is recorded.
func TestRecordExpires(t *testing.T) {
	now := time.Now()
	tab := NewTable(now, 10, 100)
	c := claimOf("a", 1, 1)
	tab.Claim(now, c)
	tab.RecordOutcome(now.Add(50*time.Second), c, StateDone, nil)
	if f := tab.Read(now.Add(100*time.Second), c.Key); f.State != StateDone {
		t.Errorf("the record expired before its window: %+v", f)
	}
	if f := tab.Read(now.Add(110*time.Second), c.Key); f.Status != ClaimNone {
		t.Errorf("the record is still there after its window: %+v", f)
	}
	tab.Claim(now.Add(111*time.Second), claimOf("a", 2, 2))
	if tab.Len() != 1 {
		t.Errorf("%d records, want the new one alone", tab.Len())
	}
}

// Guards against unbounded memory: a full table refuses new keys and drops the oldest answers but keeps their records.
func TestTableIsBounded(t *testing.T) {
	now := time.Now()
	tab := NewTable(now, 3, 10)
	for k := byte(0); k < 3; k++ {
		tab.Claim(now, claimOf("a", 1, k))
		tab.RecordOutcome(now, claimOf("a", 1, k), StateDone, &Answer{Body: []byte("12345")})
	}
	if f := tab.Claim(now, claimOf("a", 1, 3)); f.Status != ClaimFull {
		t.Errorf("claim of a new key in a full table: got %+v, want a refusal as full", f)
	}
	for k, kept := range []bool{false, true, true} {
		if f := tab.Read(now, Key{byte(k)}); f.State != StateDone || (f.Answer != nil) != kept {
			t.Errorf("key %d: state %d, answer kept %v, want done, %v", k, f.State, f.Answer != nil, kept)
		}
	}
	if tab.answerBytes != 10 {
		t.Errorf("%d bytes of answers, want 10", tab.answerBytes)
	}
	tab.Claim(now.Add(2*time.Minute), claimOf("a", 1, 9))
	if tab.answerBytes != 0 || len(tab.answerKeys) != 0 || tab.Len() != 1 {
		t.Errorf("after the window: %d bytes, %d answers, %d records, want only the new record",
			tab.answerBytes, len(tab.answerKeys), tab.Len())
	}
}

// Guards against reporting a record as handed over although the receiver holds another claim for the key.
func TestImportReportsWhatIsHeld(t *testing.T) {
	now := time.Now()
	tab := NewTable(now, 10, 100)
	a, b := claimOf("a", 1, 1), claimOf("b", 1, 1)
	for range 2 {
		if !tab.Import(now, a, StateRunning, nil) {
			t.Error("a running record was not accepted, or not accepted again")
		}
	}
	if tab.Import(now, b, StateRunning, nil) {
		t.Error("a running record of another claimant, which may be withdrawn, counts as held")
	}
	newer := claimOf("a", 2, 1)
	if !tab.Import(now, newer, StateRunning, nil) || tab.Withdraw(now, a) {
		t.Error("a late withdrawal removed the newer attempt that was handed over")
	}
	other := b
	other.Digest[0] = 1
	if tab.Import(now, other, StateRunning, nil) || tab.Import(now, other, StateDone, nil) {
		t.Error("a record with another digest counts as held")
	}
	if !tab.Import(now, b, StateDone, &Answer{}) || tab.Read(now, a.Key).State != StateDone {
		t.Error("an answer did not replace a running record")
	}
}
