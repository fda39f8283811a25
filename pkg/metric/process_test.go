package metric

import "testing"

// Guards against gauges that report nothing because a runtime metric was renamed or the wrong field is read.
func TestWatchProcessReportsUse(t *testing.T) {
	s := NewSet()
	WatchProcess(s)
	for work := 0; s.Snapshot()[ProcessCPU] == 0; work++ { // the operating system may account processor time in ticks
		if work > 1<<30 {
			t.Fatal("processor time is still 0 after busy work")
		}
	}
	got := s.Snapshot()
	for _, name := range []string{ProcessResident, ProcessStarted, RuntimeHeap, RuntimeGoroutines} {
		if got[name] <= 0 {
			t.Errorf("%s = %d, want more than 0", name, got[name])
		}
	}
	if got[ProcessResident] < got[RuntimeHeap]/2 || got[ProcessResident]%4096 != 0 {
		t.Errorf("resident memory is %d bytes, want whole pages and at least half the heap of %d bytes",
			got[ProcessResident], got[RuntimeHeap])
	}
}
