package metric

import "testing"

// Guards against gauges that read a renamed runtime metric or a wrong field and report nothing.
func TestWatchProcessReportsUse(t *testing.T) {
	s := NewSet()
	WatchProcess(s)
	for work := 0; s.Snapshot()[ProcessCPU] == 0; work++ { // the kernel may account processor time by ticks
		if work > 1<<30 {
			t.Fatal("no processor time reported")
		}
	}
	got := s.Snapshot()
	for _, name := range []string{ProcessResident, ProcessStarted, RuntimeHeap, RuntimeGoroutines} {
		if got[name] <= 0 {
			t.Errorf("%s = %d", name, got[name])
		}
	}
	if got[ProcessResident] < got[RuntimeHeap]/2 || got[ProcessResident]%4096 != 0 {
		t.Errorf("%d resident bytes with a heap of %d", got[ProcessResident], got[RuntimeHeap])
	}
}
