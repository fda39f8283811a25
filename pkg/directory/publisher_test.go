package directory

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/monsoonlatch/monsoonlatch/pkg/era"
	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
	"github.com/monsoonlatch/monsoonlatch/pkg/platform"
)

// runPublisher starts a publisher for the store. The returned function stops it.
func runPublisher(t *testing.T, m *memoryStore) (p *Publisher, stop func()) {
	p = NewPublisher(NewState(), m, era.NewTracker(), zerolog.Nop(), func(context.Context, membership.Instance) {})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { p.Run(ctx); close(done) }()
	return p, func() { cancel(); <-done }
}

func storedRecord(t *testing.T, m *memoryStore) membership.Instance {
	t.Helper()
	obj, err := m.Get(t.Context(), platform.KindInstance, "self")
	if err != nil {
		t.Fatal(err)
	}
	in, err := decodeRecord(obj)
	if err != nil {
		t.Fatal(err)
	}
	return in
}

// Guards against an acknowledged departure that an older record replaces: the write of that record got no response, and the store
// carries it out seconds later, when the node that would notice has ended. The first write creates the object or replaces it.
func TestLateWriteReplacesNoNewerRecord(t *testing.T) {
	for name, exists := range map[string]bool{"create": false, "replace": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := newMemoryStore()
				p, stop := runPublisher(t, m)
				if exists {
					p.Set(instance("self", 1, 2, membership.StateStarting))
					time.Sleep(time.Second)
				}
				m.update(func(m *memoryStore) { m.delayWrites = 3 * time.Second })
				p.Set(instance("self", 1, 3, membership.StateReady))
				time.Sleep(10 * time.Millisecond)
				m.update(func(m *memoryStore) { m.delayWrites = 0 })
				p.Set(departed("self", 4))
				if err := p.AwaitStored(t.Context(), departed("self", 4)); err != nil {
					t.Fatal(err)
				}
				stop()
				time.Sleep(5 * time.Second)
				if got := storedRecord(t, m); got != departed("self", 4) {
					t.Errorf("the store holds %+v", got)
				}
			})
		})
	}
}

// Guards against a restarted node that replaces the record of its earlier run without having read it: the record may say that the
// backend server leaves.
func TestRecordOfAnEarlierRunIsReadBeforeItIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemoryStore()
		putRecord(t, m, departed("self", 4))
		p, stop := runPublisher(t, m)
		defer stop()
		var found []membership.Instance
		p.OnRead = func(in membership.Instance) {
			found = append(found, in)
			leaving := departed("self", 3)
			leaving.Incarnation = 2
			p.Set(leaving)
		}
		p.Set(instance("self", 2, 2, membership.StateReady))
		time.Sleep(time.Second)
		if got := storedRecord(t, m); len(found) != 1 || found[0] != departed("self", 4) || !got.BackendLeaving || got.Incarnation != 2 {
			t.Errorf("found %+v, the store holds %+v", found, got)
		}
		m.update(func(m *memoryStore) {
			for _, c := range m.changes {
				if in, err := decodeRecord(c.Object); err != nil || !in.BackendLeaving {
					t.Errorf("the store held %+v, error %v", in, err)
				}
			}
		})
	})
}

// Guards against a departure that is acknowledged since the store holds a record with a higher number that says something else: the
// clock of an earlier run was ahead, or the record is that of another start.
func TestOtherRecordDoesNotStandForADeparture(t *testing.T) {
	ready, otherStart := instance("self", 9, 1, membership.StateReady), departed("self", 1)
	otherStart.Incarnation, otherStart.BackendID = 9, "i-0"
	for name, other := range map[string]membership.Instance{"ready": ready, "another start left": otherStart} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := newMemoryStore()
				putRecord(t, m, other)
				p, stop := runPublisher(t, m)
				defer stop()
				if _, found, err := p.Read(t.Context(), "self"); !found || err != nil {
					t.Fatalf("found %v, error %v", found, err)
				}
				leaving := departed("self", 4)
				p.Set(leaving)
				await := func() error {
					ctx, cancel := context.WithTimeout(t.Context(), time.Second)
					defer cancel()
					return p.AwaitStored(ctx, leaving)
				}
				if await() == nil {
					t.Error("acknowledged")
				}
				leaving.Incarnation = 10 // As after RaiseIncarnationAbove.
				p.Set(leaving)
				if err := await(); err != nil || storedRecord(t, m) != leaving {
					t.Errorf("error %v, the store holds %+v", err, storedRecord(t, m))
				}
			})
		})
	}
}

// Guards against a loop of calls against a store that contradicts itself: it says of an object that it exists when it is to be
// created, and that it does not when it is read.
func TestContradictoryStoreIsNotAskedInALoop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemoryStore()
		p := NewPublisher(NewState(), contradictoryStore{m}, era.NewTracker(), zerolog.Nop(), func(context.Context, membership.Instance) {})
		const length = 30 * time.Second
		ctx, cancel := context.WithTimeout(t.Context(), length)
		defer cancel()
		p.Set(instance("self", 1, 2, membership.StateReady))
		p.Run(ctx)
		// A write and a read in each round. Rounds follow after half of the longest backoff at least, but for the first five.
		if limit := 2 * int(5+length/(maxBackoff/2)); m.calls > limit {
			t.Errorf("%d calls in %v, want at most %d", m.calls, length, limit)
		}
	})
}

// contradictoryStore has an object when it is created and none when it is read.
type contradictoryStore struct{ *memoryStore }

func (s contradictoryStore) Create(context.Context, platform.ObjectKind, string, []byte) (Version, error) {
	s.update(func(m *memoryStore) { m.calls++ })
	return Version{}, errObjectExists
}
