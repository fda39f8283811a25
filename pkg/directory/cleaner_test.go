package directory

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/monsoonlatch/monsoonlatch/pkg/clock"
	"github.com/monsoonlatch/monsoonlatch/pkg/era"
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
		cleaner := &Cleaner{State: s, Store: m, Eras: era.NewTracker(), Self: "a1", Clock: clock.System{}, Log: zerolog.Nop()}
		idle := &Cleaner{State: s, Store: m, Eras: era.NewTracker(), Self: "d1", Clock: clock.System{}, Log: zerolog.Nop()}
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

// Guards against the removal of a record that does not say that its instance has departed: it came back from a copy with the store, or
// its instance has come back; against one that blocks the removal of the others; and against a record that comes back and stays.
func TestCleanerReadsBeforeItRemoves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, s, eras := newMemoryStore(), NewState(), era.NewTracker()
		m.update(func(m *memoryStore) { m.era = 1 })
		eras.Observe(1)
		watcher := instance("a1", 1, 1, membership.StateReady)
		s.Merge(watcher, departed("b1", 2), departed("c1", 2))
		putRecord(t, m, instance("b1", 1, 1, membership.StateReady))
		putRecord(t, m, departed("c1", 2))
		before := m.copy()
		cleaner := &Cleaner{State: s, Store: &trackedStore{Store: m, memory: m, eras: eras}, Eras: eras, Self: "a1", Clock: clock.System{}, Log: zerolog.Nop()}
		has := func(name string) bool {
			_, err := m.Get(t.Context(), platform.KindInstance, name)
			return err == nil
		}
		for range 12 {
			cleaner.clean(t.Context())
			time.Sleep(cleanPeriod)
		}
		if !has("b1") || has("c1") {
			t.Errorf("the record of an instance in use is there: %v, want true; that of a departed one: %v, want false", has("b1"), has("c1"))
		}
		m.restore(before)
		eras.Observe(2)
		if cleaner.clean(t.Context()); !has("b1") || has("c1") {
			t.Errorf("after a restore the record of an instance in use is there: %v, want true; that of a departed one: %v, want false", has("b1"), has("c1"))
		}
	})
}
