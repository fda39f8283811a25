package clock

import (
	"testing"
	"time"
)

// The zero value must not count as a recent event: it lies further back than any period that callers compare it with.
func TestLast(t *testing.T) {
	var l Last
	now := time.Now()
	if !l.Never() || l.Ago(now) < 24*time.Hour {
		t.Errorf("the zero value counts as an event %v ago, want no event", l.Ago(now))
	}
	l.Set(now)
	if got := l.Ago(now.Add(3 * time.Second)); l.Never() || got != 3*time.Second {
		t.Errorf("event was %v ago, want 3s", got)
	}
}
