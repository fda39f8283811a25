package clock

import (
	"testing"
	"time"
)

// The zero value must not count as a recent event: it lies further back than any period that callers compare it with.
func TestEventTime(t *testing.T) {
	var eventTime EventTime
	now := time.Now()
	if !eventTime.IsZero() || eventTime.Age(now) < 24*time.Hour {
		t.Errorf("the zero value counts as an event %v ago, want no event", eventTime.Age(now))
	}
	eventTime.Set(now)
	if got := eventTime.Age(now.Add(3 * time.Second)); eventTime.IsZero() || got != 3*time.Second {
		t.Errorf("event was %v ago, want 3s", got)
	}
}
