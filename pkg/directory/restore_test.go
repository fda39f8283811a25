package directory

import (
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/era"
	"github.com/monsoonlatch/monsoonlatch/pkg/platform"
)

// storeCopy is the state of a memoryStore at a moment.
type storeCopy struct {
	revision uint64
	objects  map[platform.ObjectKind]map[string]string
	versions map[platform.ObjectKind]map[string]uint64
	changes  []memoryChange
}

func (m *memoryStore) copy() *storeCopy {
	m.mu.Lock()
	defer m.mu.Unlock()
	return &storeCopy{m.revision, cloneKinds(m.objects), cloneKinds(m.versions), slices.Clone(m.changes)}
}

// restore brings the store back from a copy.
func (m *memoryStore) restore(c *storeCopy) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.revision, m.objects, m.versions, m.changes = c.revision, cloneKinds(c.objects), cloneKinds(c.versions), slices.Clone(c.changes)
	m.era++
	close(m.changeNotice) // Pending watches end.
	m.changeNotice = make(chan struct{})
}

func cloneKinds[V any](kinds map[platform.ObjectKind]map[string]V) map[platform.ObjectKind]map[string]V {
	out := make(map[platform.ObjectKind]map[string]V, len(kinds))
	for kind, byName := range kinds {
		out[kind] = maps.Clone(byName)
	}
	return out
}

// trackedStore tells the era of each answer to the tracker of one node, as the client of the store does.
type trackedStore struct {
	Store
	memory   *memoryStore
	eras     *era.Tracker
	listings atomic.Int32
}

func (s *trackedStore) observe() {
	s.memory.mu.Lock()
	now, down := s.memory.era, s.memory.down
	s.memory.mu.Unlock()
	if !down {
		s.eras.Observe(now)
	}
}

func (s *trackedStore) List(ctx context.Context, kind platform.ObjectKind, allowStale bool) (Listing, error) {
	defer s.observe()
	s.listings.Add(1)
	return s.Store.List(ctx, kind, allowStale)
}

func (s *trackedStore) Get(ctx context.Context, kind platform.ObjectKind, name string) (platform.Object, error) {
	defer s.observe()
	return s.Store.Get(ctx, kind, name)
}

func (s *trackedStore) Watch(ctx context.Context, kind platform.ObjectKind, after era.Position, wait time.Duration) (Changes, error) {
	c, err := s.Store.Watch(ctx, kind, after, wait)
	if ctx.Err() == nil { // Without an answer nothing is told.
		s.observe()
	}
	return c, err
}

// startTrackedFollower is startFollower for a store that can be restored.
func startTrackedFollower(t *testing.T, m *memoryStore, canSkipWatch func() bool) *Follower {
	m.update(func(m *memoryStore) { m.era = 1 })
	return startFollower(t, m, canSkipWatch)
}

// Guards against a configuration that never comes in force: after a restore its revision is one that the node has watched from
// before, so that the store reports neither the change nor that the history is gone.
func TestRevisionsThatAreGivenOutAgain(t *testing.T) {
	for _, name := range []string{"while the store is away", "during a watch"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := newMemoryStore()
				m.set(testConfigurationKind, "main", "3")
				f := startTrackedFollower(t, m, neverSkipWatch)
				time.Sleep(time.Second)
				before := m.copy()
				m.set(testConfigurationKind, "main", "7")
				m.set(platform.KindInstance, "stranger", "{}")
				time.Sleep(2 * time.Second)
				if name == "while the store is away" {
					m.update(func(m *memoryStore) { m.down = true })
					time.Sleep(3 * time.Second)
				}
				m.restore(before)
				m.set(testConfigurationKind, "main", "7")
				m.set(testConfigurationKind, "main", "11")
				m.update(func(m *memoryStore) { m.down = false })
				time.Sleep(3 * time.Second)
				if got := f.State.Version(); got != 11 {
					t.Errorf("got version %d in force 3 s after version 11 was accepted", got)
				}
			})
		})
	}
}

// Guards against a watch that goes on in a history that has ended, although another answer has told that the store is restored.
func TestWatchEndsWithItsEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemoryStore()
		m.set(testConfigurationKind, "main", "3")
		f := startTrackedFollower(t, m, neverSkipWatch)
		time.Sleep(time.Second)
		before := m.copy()
		m.update(func(m *memoryStore) { m.hangWatches = true })
		time.Sleep(1500 * time.Millisecond)
		m.restore(before)
		m.set(testConfigurationKind, "main", "11")
		m.update(func(m *memoryStore) { m.hangWatches = false })
		f.Eras.Observe(2)
		time.Sleep(200 * time.Millisecond)
		if got := f.State.Version(); got != 11 {
			t.Errorf("got version %d in force 0.2 s after another answer has told the era", got)
		}
	})
}

// Guards against a loop of listings when the store is restored again and again, or names another era in each answer.
func TestErasThatFollowEachOtherBackOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemoryStore()
		m.set(testConfigurationKind, "main", "3")
		startTrackedFollower(t, m, neverSkipWatch)
		time.Sleep(time.Second)
		m.update(func(m *memoryStore) { m.calls = 0 })
		for range 1000 {
			m.restore(m.copy())
			time.Sleep(10 * time.Millisecond)
		}
		// As in TestRepeatedlyLostHistoryBacksOff.
		maxCalls := 2 * 2 * (int(10*time.Second/(maxBackoff/2)) + 5)
		m.update(func(m *memoryStore) {
			if m.calls > maxCalls {
				t.Errorf("%d store calls in 10 s, want at most %d", m.calls, maxCalls)
			}
		})
	})
}

// Guards against a node that needs more than one listing of each kind after a restore, or lists though it does not watch.
func TestARestoreCostsOneListing(t *testing.T) {
	for _, watches := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			m := newMemoryStore()
			m.set(testConfigurationKind, "main", "3")
			f := startTrackedFollower(t, m, func() bool { return !watches })
			time.Sleep(5 * time.Second)
			store := f.Store.(*trackedStore)
			store.listings.Store(0)
			m.restore(m.copy())
			f.Eras.Observe(2)
			time.Sleep(10 * time.Second)
			if want := map[bool]int32{true: 2, false: 0}[watches]; store.listings.Load() != want {
				t.Errorf("watches %v: %d listings of two kinds, want %d", watches, store.listings.Load(), want)
			}
		})
	}
}
