package quota

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against a preview of a home that differs from the next decision, or that takes a token.
func TestLedgerPreviewIsTheNextGrant(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		l := NewLedger(now, Terms{Window: time.Second})
		limit := Limit{Tenant: "acme", Rate: float64(rapid.IntRange(1, 50).Draw(t, "rate")), Burst: float64(rapid.IntRange(0, 10).Draw(t, "burst"))}
		for range rapid.IntRange(1, 60).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 80).Draw(t, "step")) * time.Millisecond)
			first, _ := l.Preview(now, limit, 1)
			ok, wait := l.Preview(now, limit, 1)
			g := l.Take(now, RoleHome, Ask{Limit: limit, Version: 1, Need: 1, Arrived: 1})
			if first != ok || ok != (g.Tokens > 0) || wait != g.Wait {
				t.Fatalf("previews %v and %v after %v, then %+v", first, ok, wait, g)
			}
		}
	})
}
