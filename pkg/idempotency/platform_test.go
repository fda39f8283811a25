package idempotency

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/fault"
	"github.com/monsoonlatch/monsoonlatch/pkg/platform"
)

// platformAndClaimOf returns the part of a host's node that claims keys on the platform, and a claim for that host to
// make.
func platformAndClaimOf(h *host) (*platformClaims, Claim) {
	return h.node.platform, Claim{Key: Key{1}, Claimant: h.self, Attempt: 1, Keep: time.Minute}
}

// Guards against a claimant that takes its own claim for another's because the reply to its create was lost.
func TestOwnPlatformClaimIsRecognised(t *testing.T) {
	runScenario(t, fourZones, func(s *scenario) {
		p, c := platformAndClaimOf(s.hosts["h0"])
		lost := true
		s.store.lostReply = func() bool { defer func() { lost = false }(); return lost }
		if claimant, err := p.claim(s.ctx, c); err != nil || claimant != c.Claimant {
			t.Errorf("after a lost reply: got claimant %v, error %v, want the host itself", claimant, err)
		}
		other, oc := platformAndClaimOf(s.hosts["h1"])
		if claimant, err := other.claim(s.ctx, oc); err != nil || claimant != c.Claimant {
			t.Errorf("second claimant: got claimant %v, error %v, want the first", claimant, err)
		}
		oc.Claimant = Claimant{c.Claimant.ID, c.Claimant.Incarnation + 1}
		if claimant, err := other.claim(s.ctx, oc); err != nil || claimant != c.Claimant {
			t.Errorf("another incarnation: got claimant %v, error %v, want the first", claimant, err)
		}
	})
}

// Guards against a deletion for an earlier attempt that removes the claim of a later one.
func TestLateDeletionKeepsNewerClaim(t *testing.T) {
	runScenario(t, fourZones, func(s *scenario) {
		p, c := platformAndClaimOf(s.hosts["h0"])
		store := hostStore{s.hosts["h0"], s.store}
		if _, err := p.claim(s.ctx, c); err != nil {
			t.Fatal(err)
		}
		first := s.store.objects[c.Key.String()].Version
		c.Attempt = 2
		if claimant, err := p.claim(s.ctx, c); err != nil || claimant != c.Claimant {
			t.Fatalf("second attempt: got claimant %v, error %v, want the host itself", claimant, err)
		}
		if err := store.Delete(s.ctx, platform.KindKeyClaim, c.Key.String(), first); !fault.Is(err, fault.Conflict) {
			t.Errorf("deletion of the first attempt: %v, want a conflict", err)
		}
		if err := p.delete(s.ctx, PlatformClaim{Name: c.Key.String(), Owner: ClaimOwner{c.Claimant, 1}}); err != nil {
			t.Fatal(err)
		}
		if s.store.count() != 1 {
			t.Error("the withdrawal of attempt 1 deleted the claim of attempt 2")
		}
	})
}

// Guards against claims that are never deleted from the platform, and against more creates than the rate allows.
func TestPlatformClaimsAreBounded(t *testing.T) {
	runScenario(t, fourZones, func(s *scenario) {
		p, c := platformAndClaimOf(s.hosts["h0"])
		granted := 0
		for i := range 3 * DefaultPlatformBurst {
			c.Key = Key{byte(i)}
			if _, err := p.claim(s.ctx, c); err == nil {
				granted++
			} else if !fault.Is(err, fault.Limited) {
				t.Error(err)
			}
		}
		if granted != DefaultPlatformBurst || s.store.creates != granted {
			t.Errorf("%d claims granted, %d creates, want %d of each", granted, s.store.creates, DefaultPlatformBurst)
		}
		time.Sleep(c.Keep - time.Second)
		if s.store.count() != granted {
			t.Errorf("%d claims before the window has passed, want %d", s.store.count(), granted)
		}
		s.store.setDown(true)
		time.Sleep(10 * time.Second)
		s.store.setDown(false)
		time.Sleep(time.Minute)
		synctest.Wait()
		if s.store.count() != 0 || len(p.pending) != 0 {
			t.Errorf("%d claims and %d pending deletions are left, want none", s.store.count(), len(p.pending))
		}
	})
}
