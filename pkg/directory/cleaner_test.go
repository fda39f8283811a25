package directory

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/monsoonlatch/monsoonlatch/pkg/clock"
	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
	"github.com/monsoonlatch/monsoonlatch/pkg/platform"
)

// Guards against records of departed instances that stay in the store for good, against one that is removed while it still has
// to outlast its node, and against the record of an instance that has come back being removed.
func TestRecordsOfDepartedInstancesAreRemovedLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, s := newMemoryStore(), NewState()
		for _, in := range []membership.Instance{instance("a1", 1, 1, membership.StateReady), departed("b1", 2), departed("c1", 2)} {
			putRecord(t, m, in)
			s.Merge(in)
		}
		cleaner := &Cleaner{State: s, Store: m, Self: "a1", Clock: clock.System{}, Log: zerolog.Nop()}
		idle := &Cleaner{State: s, Store: m, Self: "d1", Clock: clock.System{}, Log: zerolog.Nop()}
		count := func() int {
			l, err := m.List(t.Context(), platform.KindInstance, false)
			if err != nil {
				t.Fatal(err)
			}
			return len(l.Objects)
		}
		for range 9 {
			cleaner.clean(t.Context())
			time.Sleep(cleanPeriod)
		}
		if n := count(); n != 3 {
			t.Errorf("%d records after 9 minutes, want 3", n)
		}
		back := instance("c1", 2, 1, membership.StateStarting)
		putRecord(t, m, back)
		s.Merge(back)
		for range 5 {
			idle.clean(t.Context())
			time.Sleep(cleanPeriod)
		}
		if n := count(); n != 3 {
			t.Errorf("%d records, want 3: only the first watcher removes records", n)
		}
		m.update(func(m *memoryStore) { m.down = true })
		cleaner.clean(t.Context())
		m.update(func(m *memoryStore) { m.down = false })
		cleaner.clean(t.Context())
		if _, err := m.Get(t.Context(), platform.KindInstance, "b1"); err == nil || count() != 2 {
			t.Errorf("%d records, want 2: a1 and c1", count())
		}
	})
}
