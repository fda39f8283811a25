package quota

import (
	"testing"
	"testing/synctest"
	"time"
)

// setTokens sets the tokens of a tenant at its home in a zone.
func (m *mesh) setTokens(zone string, l Limit, tokens float64) {
	s := m.home(zone, l.Tenant).service
	s.mu.Lock()
	defer s.mu.Unlock()
	b, _ := s.ledger.bucket(time.Now(), RoleHome, 0, l)
	b.tokens = tokens
}

// runEmptyHome empties the bucket of a tenant in zone-1, sets those in the other zones, cuts zone-1 off if cut is set, and
// sends one request to a node of zone-1. It returns the answer and the time that it took.
func runEmptyHome(t *testing.T, atHome, cut bool, elsewhere float64) (ok bool, retryAfter, took time.Duration) {
	l := Limit{Tenant: "small", Rate: 0.6, Burst: 0.6}
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(1, 3, 3)
		time.Sleep(warmUp)
		synctest.Wait()
		m.setTokens("zone-0", l, elsewhere)
		m.setTokens("zone-1", l, 0)
		m.setTokens("zone-2", l, elsewhere)
		m.set(func() { m.cutZone["zone-1"] = cut })
		home := m.home("zone-1", l.Tenant)
		n := home
		if !atHome {
			for _, o := range m.nodes {
				if o != home && o.record.AvailabilityZone == "zone-1" {
					n = o
				}
			}
		}
		start := time.Now()
		ok, retryAfter = n.service.Admit(t.Context(), l, start)
		took = time.Since(start)
		home.service.mu.Lock()
		b := home.service.ledger.buckets[l.Tenant]
		if !ok {
			first := start.Add(took + seconds((1-b.tokens)/b.rate(3)))
			if queued := b.queueEnd.Sub(first); queued > seconds(1.01*bookingMargin/b.rate(3)) {
				t.Errorf("a refused request lengthened the queue by %v, want once %v", queued, seconds(bookingMargin/b.rate(3)))
			}
		}
		home.service.mu.Unlock()
		m.stop()
	})
	return ok, retryAfter, took
}

// Guards against a request that is refused by a home without tokens while the other zones have some, and against one that
// waits long, or is queued twice, when they have none or cannot be reached.
func TestEmptyHomeFetchesTokens(t *testing.T) {
	for _, atHome := range []bool{true, false} {
		if ok, _, took := runEmptyHome(t, atHome, false, 3); !ok || took > 5*time.Millisecond {
			t.Errorf("at the home %v: admitted %v after %v while the other zones hold 3 tokens each", atHome, ok, took)
		}
		if ok, retryAfter, took := runEmptyHome(t, atHome, false, 0); ok || took > 5*time.Millisecond || retryAfter < time.Second {
			t.Errorf("at the home %v: admitted %v after %v, retry after %v, while no zone holds a token", atHome, ok, took, retryAfter)
		}
		if ok, _, took := runEmptyHome(t, atHome, true, 3); ok || took > transferWait+time.Millisecond {
			t.Errorf("at the home %v: admitted %v after %v while the zone is cut off, want a refusal within %v", atHome, ok, took, transferWait)
		}
	}
}
