package metric

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// The text output must include counters that are still zero, and the latency histograms.
func TestTextShowsCountersAndHistograms(t *testing.T) {
	s := NewSet()
	s.CountRefusal(RefusedQueueFull)
	for i := range 100 {
		s.Observe(CallTime, time.Duration(i+1)*time.Millisecond)
	}
	w := httptest.NewRecorder()
	s.ServeText(w, httptest.NewRequest("GET", "/metrics", nil))
	for _, line := range []string{"refused.queue_full 1", "refused.deadline 0", "retry.denied_budget 0", "call.time.count 100",
		"call.time.max_us 100000", "call.time.p50_us 50500"} {
		if !strings.Contains(w.Body.String(), line+"\n") {
			t.Errorf("line %q is missing in:\n%s", line, w.Body)
		}
	}
}
