package directory

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/monsoonlatch/monsoonlatch/pkg/era"
	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
	"github.com/monsoonlatch/monsoonlatch/pkg/platform"
)

// departed returns the record of a node whose backend server has left.
func departed(id string, sequence uint64) membership.Instance {
	in := instance(id, 1, sequence, membership.StateDeparted)
	in.BackendID, in.BackendStarted, in.BackendLeaving = "i-1", 1000, true
	return in
}

// Guards against a restarted node that does not know that its backend server has left: the store holds that, or other nodes do if
// the store did not answer then. A node that gets no answer must not take that for "nothing is known".
func TestRecordOfAnEarlierRunIsRecalled(t *testing.T) {
	for name, c := range map[string]struct {
		stored, known *membership.Instance
		down, back    bool
		alone         bool
		ok, left      bool
		fromStore     bool
	}{
		"first run":                             {ok: true, fromStore: true},
		"first run, alone":                      {alone: true, ok: true, fromStore: true},
		"in the store":                          {stored: ptr(departed("self", 4)), ok: true, left: true, fromStore: true},
		"in the store, alone":                   {stored: ptr(departed("self", 4)), alone: true, ok: true, left: true, fromStore: true},
		"older in the store, left at others":    {stored: ptr(instance("self", 1, 3, membership.StateReady)), known: ptr(departed("self", 4)), ok: true, left: true, fromStore: true},
		"store down, left at others":            {known: ptr(departed("self", 4)), down: true, ok: true, left: true},
		"store down, others know nothing of it": {down: true, ok: true},
		"store down, alone":                     {down: true, alone: true},
		"store back, others know nothing of it": {stored: ptr(departed("self", 4)), down: true, back: true, ok: true, left: true, fromStore: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := newMemoryStore()
				calls := &fakeCaller{peers: make(map[string]*Peers)}
				self := newPeer(calls, "self", "self:81", 0)
				if !c.alone {
					for _, id := range []string{"a1", "b1", "c1", "d1"} {
						other := newPeer(calls, id, id+":81", 0)
						if c.known != nil {
							other.State.Merge(*c.known)
						}
						in := instance(id, 1, 1, membership.StateReady)
						in.ControlAddress = id + ":81"
						self.State.Merge(in)
					}
				}
				if c.stored != nil {
					putRecord(t, m, *c.stored)
				}
				m.down = c.down
				publisher := NewPublisher(self.State, m, era.NewTracker(), zerolog.Nop(), func(context.Context, membership.Instance) {})
				r := &Recall{Publisher: publisher, Peers: self, InstancesListed: func() bool { return true }, Log: zerolog.Nop()}
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				if c.back {
					time.AfterFunc(5*time.Second, func() { m.update(func(m *memoryStore) { m.down = false }) })
				}
				ok, left, fromStore := false, false, false
				r.Run(ctx, func(records []membership.Instance, stored bool) {
					ok = true
					fromStore = fromStore || stored
					for _, in := range records {
						left = left || in.BackendLeaving && in.BackendID == "i-1" && in.BackendStarted == 1000
					}
				})
				if ok != c.ok || left != c.left || fromStore != c.fromStore {
					t.Errorf("answered %v, left %v, from the store %v; want %+v", ok, left, fromStore, c)
				}
			})
		})
	}
}

func ptr[T any](v T) *T { return &v }

// Guards against a departure that is acknowledged but lost when all nodes end at once: that other nodes have it in memory does not
// count, only that the store has it. Guards also against an acknowledgement that a long backoff holds up once the store is back.
func TestDepartureOutlastsItsNode(t *testing.T) {
	for name, c := range map[string]struct{ down, back, want bool }{
		"store answers":             {want: true},
		"other nodes only":          {down: true},
		"store was down until then": {down: true, back: true, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := newMemoryStore()
				p := NewPublisher(NewState(), m, era.NewTracker(), zerolog.Nop(), func(context.Context, membership.Instance) {})
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan struct{})
				go func() { p.Run(ctx); close(done) }()
				p.Set(instance("self", 1, 2, membership.StateReady))
				time.Sleep(time.Second)
				m.update(func(m *memoryStore) { m.down = c.down })
				p.Set(departed("self", 4))
				time.Sleep(10 * time.Second) // While the store is down, the backoff grows to its maximum.
				m.update(func(m *memoryStore) { m.down = c.down && !c.back })
				waitCtx, stop := context.WithTimeout(ctx, time.Millisecond)
				defer stop()
				if err := p.AwaitStored(waitCtx, departed("self", 4)); (err == nil) != c.want || err != nil && !errors.Is(err, context.DeadlineExceeded) {
					t.Errorf("stored: %v, want %v", err, c.want)
				}
				m.update(func(m *memoryStore) { m.down = false })
				obj, err := m.Get(ctx, platform.KindInstance, "self")
				if err != nil {
					t.Fatal(err)
				}
				if in, err := decodeRecord(obj); err != nil || (in == departed("self", 4)) != c.want {
					t.Errorf("the store holds %+v, error %v", in, err)
				}
				cancel()
				<-done
			})
		})
	}
}
