package clock

import (
	"testing"
	"time"
)

// Guards against a moment that counts as recent although nothing has happened yet.
func TestLast(t *testing.T) {
	var l Last
	now := time.Now()
	if !l.Never() || l.Ago(now) < 24*time.Hour {
		t.Errorf("never is %v ago", l.Ago(now))
	}
	l.Set(now)
	if got := l.Ago(now.Add(3 * time.Second)); l.Never() || got != 3*time.Second {
		t.Errorf("%v ago, want 3s", got)
	}
}
