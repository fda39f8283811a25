package proxy

import (
	"testing"
	"time"
)

// Guards against a limit that is lifted by one response that was sent before the backend server named it, and against a
// limit that stays in force when the server names none any more.
func TestLimitFollowsTheResponses(t *testing.T) {
	var a advice
	now := time.Unix(100, 0)
	for i, c := range []struct {
		after   time.Duration
		named   float64
		want    float64
		changed bool
	}{
		{0, 0, 0, false},
		{time.Second, 34.5, 34.5, true},
		{time.Millisecond, 0, 34.5, false},
		{limitHold / 2, 34.5, 34.5, false},
		{limitHold / 2, 30, 30, true},
		{limitHold / 2, 0, 30, false},
		{limitHold, 0, 0, true},
		{time.Millisecond, 0, 0, false},
		{time.Millisecond, 12, 12, true},
	} {
		now = now.Add(c.after)
		if limit, changed, _ := a.observe(now, Verdict{RateLimit: c.named}); limit != c.want || changed != c.changed {
			t.Errorf("step %d: limit %v, changed %v; want %v, %v", i, limit, changed, c.want, c.changed)
		}
	}
}
