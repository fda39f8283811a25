package directory

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/monsoonlatch/monsoonlatch/pkg/clock"
	"github.com/monsoonlatch/monsoonlatch/pkg/era"
	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
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

func (s *trackedStore) Create(ctx context.Context, kind platform.ObjectKind, name string, spec []byte) (Version, error) {
	defer s.observe()
	return s.Store.Create(ctx, kind, name, spec)
}

func (s *trackedStore) Put(ctx context.Context, kind platform.ObjectKind, name string, version Version, spec []byte) (Version, error) {
	defer s.observe()
	return s.Store.Put(ctx, kind, name, version, spec)
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

// startTrackedPublisher starts a publisher of the record "self" for a store that can be restored.
func startTrackedPublisher(t *testing.T, m *memoryStore) (*Publisher, *trackedStore) {
	m.update(func(m *memoryStore) { m.era = 1 })
	eras := era.NewTracker()
	store := &trackedStore{Store: m, memory: m, eras: eras}
	p := NewPublisher(NewState(), store, eras, zerolog.Nop(), func(context.Context, membership.Instance) {})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { p.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return p, store
}

// Guards against a record that stays lost, or older than it was, after a restore, at a node that only hears of the restore; and
// against writes that nothing calls for.
func TestRecordAfterARestore(t *testing.T) {
	for name, c := range map[string]struct {
		lost, older bool
		puts        int
	}{"kept": {puts: 0}, "lost": {lost: true, puts: 1}, "older": {older: true, puts: 1}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := newMemoryStore()
				empty := m.copy()
				p, _ := startTrackedPublisher(t, m)
				lost := 0
				p.OnLost = func() { lost++ }
				p.Set(instance("self", 1, 2, membership.StateStarting))
				time.Sleep(time.Second)
				older := m.copy()
				p.Set(instance("self", 1, 3, membership.StateReady))
				time.Sleep(time.Second)
				switch {
				case c.lost:
					m.restore(empty)
				case c.older:
					m.restore(older)
				default:
					m.restore(m.copy())
				}
				m.update(func(m *memoryStore) { m.puts, m.calls = 0, 0 })
				p.Eras.Observe(2)
				time.Sleep(3 * time.Second)
				if got := storedRecord(t, m); got != instance("self", 1, 3, membership.StateReady) {
					t.Errorf("the store holds %+v", got)
				}
				m.update(func(m *memoryStore) {
					if m.puts != c.puts || m.calls > 2 { // One read, and that of storedRecord.
						t.Errorf("%d writes and %d reads, want %d and 2", m.puts, m.calls, c.puts)
					}
				})
				if want := map[bool]int{true: 1}[c.lost]; lost != want {
					t.Errorf("the loss was reported %d times, want %d", lost, want)
				}
			})
		})
	}
}

// Guards against an acknowledgement of a departure that rests on what the store held before it came back from a copy, and against one
// that waits for its turn among all nodes.
func TestDepartureIsStoredAgainAfterARestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemoryStore()
		p, _ := startTrackedPublisher(t, m)
		p.Set(instance("self", 1, 2, membership.StateReady))
		time.Sleep(time.Second)
		before := m.copy()
		p.Set(departed("self", 4))
		if err := p.AwaitStored(t.Context(), departed("self", 4)); err != nil {
			t.Fatal(err)
		}
		m.restore(before)
		p.Eras.Observe(2)
		if err := p.AwaitStored(t.Context(), departed("self", 4)); err != nil || storedRecord(t, m) != departed("self", 4) {
			t.Errorf("acknowledged, error %v, while the store holds %+v", err, storedRecord(t, m))
		}
		time.Sleep(3 * time.Second)
		m.restore(before)
		p.Eras.Observe(3)
		time.Sleep(10 * time.Millisecond)
		if got := storedRecord(t, m); got != departed("self", 4) {
			t.Errorf("the store holds %+v right after the restore", got)
		}
	})
}

// Guards against two restores within a second that leave the record lost, and against a write under a condition that was read before.
func TestTwoRestoresInASecond(t *testing.T) {
	for after := time.Duration(0); after <= 1200*time.Millisecond; after += 100 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			m := newMemoryStore()
			before := m.copy()
			p, _ := startTrackedPublisher(t, m)
			p.Set(instance("self", 1, 2, membership.StateReady))
			time.Sleep(time.Second)
			m.restore(before)
			p.Eras.Observe(2)
			time.Sleep(after)
			m.restore(before)
			p.Eras.Observe(3)
			time.Sleep(2 * time.Second)
			if got := storedRecord(t, m); got != instance("self", 1, 2, membership.StateReady) {
				t.Errorf("second restore after %v: the store holds %+v", after, got)
			}
		})
	}
}

// Guards against nodes that read and write their records all at once after a restore.
func TestRecordsAreRestoredOverTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const nodes = 200
		m := newMemoryStore()
		before := m.copy()
		m.update(func(m *memoryStore) { m.era = 1 })
		eras := era.NewTracker()
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		defer func() { cancel(); wg.Wait() }()
		for i := range nodes {
			p := NewPublisher(NewState(), &trackedStore{Store: m, memory: m, eras: eras}, eras, zerolog.Nop(), func(context.Context, membership.Instance) {})
			wg.Go(func() { p.Run(ctx) })
			p.Set(instance(fmt.Sprintf("n%d", i), 1, 2, membership.StateReady))
		}
		time.Sleep(time.Second)
		m.restore(before)
		m.update(func(m *memoryStore) { m.puts = 0 })
		eras.Observe(2)
		most, last := 0, 0
		for range 20 {
			time.Sleep(restoreSpread / 10)
			m.update(func(m *memoryStore) { most, last = max(most, m.puts-last), m.puts })
		}
		if last != nodes || most > nodes/4 {
			t.Errorf("%d writes, %d of them in a tenth of the time, want %d and %d at most", last, most, nodes, nodes/4)
		}
	})
}

// Guards against a node that is told by a listing that its record is lost, and does not write it; and against one that takes a listing
// from before its last write for a loss.
func TestListingWithoutTheOwnRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemoryStore()
		p, _ := startTrackedPublisher(t, m)
		p.Set(instance("self", 1, 2, membership.StateReady))
		requested := time.Now()
		time.Sleep(time.Second)
		lost := 0
		p.OnLost = func() { lost++ }
		p.ObserveMissing(1, requested)
		if lost != 0 {
			t.Error("a listing from before the write counts")
		}
		m.remove(platform.KindInstance, "self")
		p.ObserveMissing(1, time.Now())
		time.Sleep(time.Second)
		if lost != 1 || storedRecord(t, m) != instance("self", 1, 2, membership.StateReady) {
			t.Errorf("lost %d times, the store holds %+v", lost, storedRecord(t, m))
		}
	})
}

// Guards against a node that does not read the store and does not learn of a restore, so that its record stays lost: the question and
// the reply of a pull, and an offer, each tell the era to a node that knows an earlier one.
func TestMessagesTellTheEra(t *testing.T) {
	for name, c := range map[string]struct {
		asking, asked era.Number
		send          func(asking *Peers)
	}{
		"question": {2, 1, func(p *Peers) { p.pullFrom(t.Context(), "b:81") }},
		"reply":    {1, 2, func(p *Peers) { p.pullFrom(t.Context(), "b:81") }},
		"offer": {2, 1, func(p *Peers) {
			to := instance("b", 1, 1, membership.StateReady)
			to.ControlAddress = "b:81"
			p.sendOffer(t.Context(), []membership.Instance{to}, OfferArgs{})
		}},
	} {
		t.Run(name, func(t *testing.T) {
			calls := &fakeCaller{peers: make(map[string]*Peers)}
			asking, asked := newPeer(calls, "a", "a:81", 0), newPeer(calls, "b", "b:81", 0)
			asking.Eras.Observe(c.asking)
			asked.Eras.Observe(c.asked)
			c.send(asking)
			if asking.Eras.Latest() != 2 || asked.Eras.Latest() != 2 {
				t.Errorf("the nodes know eras %d and %d, want 2", asking.Eras.Latest(), asked.Eras.Latest())
			}
		})
	}
}

// restoredNode is a node of a mesh whose store is restored.
type restoredNode struct {
	*Peers
	follower  *Follower
	publisher *Publisher
	store     *trackedStore
	mu        sync.Mutex
	record    membership.Instance
}

// newRestoredNode returns a node of a mesh. As the tracker of the backend server does, it raises its incarnation when its record is
// lost, or held for departed by others.
func newRestoredNode(c *fakeCaller, m *memoryStore, i int) *restoredNode {
	addr := fmt.Sprintf("10.0.0.%d:81", i+1)
	n := &restoredNode{record: instance(fmt.Sprintf("%c%03d", 'a'+i%4, i), 1, 1, membership.StateReady)}
	n.record.ControlAddress = addr
	n.Peers = newPeer(c, string(n.record.ID), addr, 0)
	n.AvailabilityZone = n.record.AvailabilityZone
	n.store = &trackedStore{Store: m, memory: m, eras: n.Eras}
	n.follower = &Follower{State: n.State, Store: n.store, Schema: versionSchema{}, Eras: n.Eras, Self: n.record.ID, Clock: clock.System{}, Log: zerolog.Nop(),
		Metrics: n.Metrics, CanSkipWatch: n.CanSkipWatch, OnChange: n.Forward}
	n.follower.SetApplyBound(2 * time.Second)
	n.StoreSilence = n.follower.StoreSilence
	n.publisher = NewPublisher(n.State, n.store, n.Eras, zerolog.Nop(), n.Offer)
	n.Eras.OnRaise = func(era.Number, era.Number) { n.Forward(nil) }
	n.publisher.OnLost = n.raise
	n.follower.OnOwnRecord = n.publisher.ObserveStored
	n.follower.OnOwnRecordMissing = n.publisher.ObserveMissing
	n.follower.OnOwnRecordRemoved = func(read era.Number) { n.publisher.ObserveRemoved(read); n.raise() }
	n.OnOwnRecord = func(known membership.Instance) {
		if known.State == membership.StateDeparted && supersedes(known, n.own()) {
			n.raise()
		}
	}
	return n
}

func (n *restoredNode) own() membership.Instance {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.record
}

func (n *restoredNode) raise() {
	n.mu.Lock()
	n.record.Incarnation++
	in := n.record
	n.mu.Unlock()
	n.publisher.Set(in)
}

func (n *restoredNode) start(ctx context.Context, wg *sync.WaitGroup) {
	for _, duty := range []func(context.Context){n.follower.Run, n.Run, n.RunForward, n.publisher.Run} {
		wg.Go(func() { duty(ctx) })
	}
	n.publisher.Set(n.own())
}

// startRestoredMesh starts nodes whose records are in the store, and more of them after the copy that it returns was taken.
func startRestoredMesh(t *testing.T, ctx context.Context, wg *sync.WaitGroup, m *memoryStore, inCopy, later int) ([]*restoredNode, *storeCopy) {
	t.Helper()
	m.set(testConfigurationKind, "main", "3")
	m.update(func(m *memoryStore) { m.era = 1 })
	c := &fakeCaller{peers: make(map[string]*Peers)}
	var nodes []*restoredNode
	for i := range inCopy + later {
		nodes = append(nodes, newRestoredNode(c, m, i))
	}
	for _, n := range nodes[:inCopy] {
		n.start(ctx, wg)
	}
	time.Sleep(5 * time.Second)
	before := m.copy()
	for _, n := range nodes[inCopy:] {
		n.start(ctx, wg)
	}
	m.set(testConfigurationKind, "main", "7")
	time.Sleep(5 * time.Second)
	for _, n := range nodes {
		if known := len(n.State.Instances("desk")); known != len(nodes) || n.State.Version() != 7 {
			t.Fatalf("node %s knows %d instances and version %d before the restore", n.record.ID, known, n.State.Version())
		}
	}
	return nodes, before
}

// Guards against nodes that do not watch the store and do not learn of a restore, so that their records stay lost; and against a restore
// that costs more than the lost writes and a listing of each kind at the nodes that watch, which are all while the watchers hear nothing
// from the store.
func TestMeshAfterARestore(t *testing.T) {
	for away, watching := range map[time.Duration]int{0: watcherCount, 3 * time.Second: 60} {
		t.Run(away.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const inCopy, later = 40, 20
				m := newMemoryStore()
				ctx, cancel := context.WithCancel(context.Background())
				var wg sync.WaitGroup
				defer func() { cancel(); wg.Wait() }()
				nodes, before := startRestoredMesh(t, ctx, &wg, m, inCopy, later)
				m.update(func(m *memoryStore) { m.down = away > 0 })
				time.Sleep(away)
				m.restore(before)
				m.update(func(m *memoryStore) { m.down, m.puts = false, 0 })
				for _, n := range nodes {
					n.store.listings.Store(0)
				}
				time.Sleep(8 * time.Second)
				listings := 0
				for _, n := range nodes {
					listings += int(n.store.listings.Load())
					if known := len(n.State.Instances("desk")); known != len(nodes) || n.State.Version() != 7 {
						t.Errorf("node %s knows %d instances and version %d, want %d and 7", n.record.ID, known, n.State.Version(), len(nodes))
					}
				}
				m.update(func(m *memoryStore) {
					if stored := len(m.objects[platform.KindInstance]); stored != len(nodes) || m.puts != later || listings > 2*watching {
						t.Errorf("the store holds %d records after %d writes and %d listings, want %d, %d and %d", stored, m.puts, listings, len(nodes), later, 2*watching)
					}
				})
			})
		})
	}
}

// Guards against instances that get no requests for a while although they are well, since a listing of the restored store lacks them
// until their nodes have written their records again.
func TestInstancesStayInUseDuringARestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemoryStore()
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		defer func() { cancel(); wg.Wait() }()
		nodes, before := startRestoredMesh(t, ctx, &wg, m, 40, 20)
		for range 2 {
			m.restore(before)
			for range 80 {
				time.Sleep(100 * time.Millisecond)
				for _, n := range nodes {
					if known := len(n.State.Instances("desk")); known != len(nodes) {
						t.Fatalf("node %s knows %d instances, want %d", n.record.ID, known, len(nodes))
					}
				}
			}
		}
	})
}

// Guards against an instance that is held for departed too early, too late or never when listings lack its record.
func TestMissingRecords(t *testing.T) {
	a, newer, gone := instance("a", 1, 2, membership.StateReady), instance("a", 1, 3, membership.StateReady), instance("a", 1, 3, membership.StateDeparted)
	start := time.Now()
	for name, c := range map[string]struct {
		// steps are taken one second after each other: "list" is a listing without the record, "other" one of the next era, "found" the
		// record in an event, "wait" the passing of the grace time.
		steps   []string
		lacking membership.Instance
		known   membership.Instance
		want    int // the number of the step, from 1, with which the record is removed; zero for none
	}{
		"removed between two listings": {[]string{"present", "list"}, a, a, 2},
		"unknown at the first listing": {[]string{"list", "wait"}, a, a, 2},
		"lost in a restore":            {[]string{"present", "other", "list", "wait"}, a, a, 4},
		"written again":                {[]string{"present", "other", "found", "wait"}, a, a, 0},
		"removed after that":           {[]string{"present", "other", "found", "list"}, a, a, 4},
		"lost in a second restore":     {[]string{"present", "other", "other", "wait"}, a, a, 4},
		"its node lives":               {[]string{"present", "other", "wait"}, a, newer, 0},
		"departed before":              {[]string{"present", "other", "wait", "list"}, gone, gone, 0},
	} {
		t.Run(name, func(t *testing.T) {
			var m missingRecords
			now, read, removedAt := start, era.Number(1), 0
			for i, step := range c.steps {
				now = now.Add(time.Second)
				if step == "wait" {
					now = now.Add(restoreGrace)
				}
				removed := m.expired(now, func(membership.InstanceID) membership.Instance { return c.known })
				switch step {
				case "present":
					removed = append(removed, m.observe(now, read, nil)...)
				case "other":
					read++
					removed = append(removed, m.observe(now, read, []membership.Instance{c.lacking})...)
				case "list":
					removed = append(removed, m.observe(now, read, []membership.Instance{c.lacking})...)
				case "found":
					m.found("a")
				}
				if len(removed) > 0 && removedAt == 0 {
					removedAt = i + 1
				}
			}
			if removedAt != c.want {
				t.Errorf("removed with step %d, want %d", removedAt, c.want)
			}
		})
	}
}

// Guards against a recall that takes the store's word for all that was acknowledged, although the store has come back from a copy since,
// and against a record that vouches for more than its node knows: a further restart would then take it for complete.
func TestRecallAfterARestore(t *testing.T) {
	for name, c := range map[string]struct {
		vouched any // of the record in the store, in era 2; nil if it does not tell
		set     *membership.Instance
		settled bool
		want    float64
	}{
		"before the restore":                {vouched: 1, set: ptr(instance("self", 2, 2, membership.StateStarting)), want: 1},
		"before the restore, node stops":    {vouched: 1, set: ptr(instance("self", 2, 2, membership.StateDraining)), want: 1},
		"before the restore, known by now":  {vouched: 1, set: ptr(instance("self", 2, 2, membership.StateReady)), want: 2},
		"before the restore, has left":      {vouched: 1, set: ptr(departed("self", 9)), want: 2},
		"after the restore":                 {vouched: 2, set: ptr(instance("self", 2, 2, membership.StateStarting)), settled: true, want: 2},
		"record of an earlier build":        {set: ptr(instance("self", 2, 2, membership.StateStarting)), settled: true, want: 2},
		"era of another store, ahead of it": {vouched: 7, set: ptr(instance("self", 2, 2, membership.StateStarting)), settled: true, want: 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := newMemoryStore()
				spec, err := encodeRecord(instance("self", 1, 1, membership.StateReady), 0)
				if err != nil {
					t.Fatal(err)
				}
				var fields map[string]any
				if err := json.Unmarshal(spec, &fields); err != nil {
					t.Fatal(err)
				}
				if fields["storeEra"] = c.vouched; c.vouched == nil {
					delete(fields, "storeEra")
				}
				if spec, err = json.Marshal(fields); err != nil {
					t.Fatal(err)
				}
				m.set(platform.KindInstance, "self", string(spec))
				p, _ := startTrackedPublisher(t, m)
				m.restore(m.copy())
				r := &Recall{Publisher: p, Peers: newPeer(&fakeCaller{peers: make(map[string]*Peers)}, "self", "self:81", 0), InstancesListed: func() bool { return true }, Log: zerolog.Nop()}
				settled := false
				r.Run(t.Context(), func(_ []membership.Instance, s bool) { settled = s })
				if settled != c.settled {
					t.Errorf("settled %v, want %v", settled, c.settled)
				}
				if c.set.Incarnation == 1 {
					c.set.Incarnation = 3
				}
				p.Set(*c.set)
				time.Sleep(2 * time.Second)
				obj, err := m.Get(t.Context(), platform.KindInstance, "self")
				if err != nil {
					t.Fatal(err)
				}
				if err := json.Unmarshal(obj.Spec, &fields); err != nil {
					t.Fatal(err)
				}
				if in, err := decodeRecord(obj); err != nil || in.State != c.set.State || fields["storeEra"] != c.want {
					t.Errorf("the store holds %s, error %v, want era %v", obj.Spec, err, c.want)
				}
			})
		})
	}
}

// Guards against an instance that has left and is offered again to nodes that start after a restore, since its own node, which would
// write its record, has gone too; against a record of a live instance that is overwritten; and against watchers that all write.
func TestDeparturesOfOthersAreRestored(t *testing.T) {
	for _, failing := range []int{0, 1, 2} { // So many watchers have ended.
		t.Run(fmt.Sprint(failing, " watchers gone"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := newMemoryStore()
				m.update(func(m *memoryStore) { m.era = 1 })
				ctx, cancel := context.WithCancel(context.Background())
				var wg sync.WaitGroup
				defer func() { cancel(); wg.Wait() }()
				records := []membership.Instance{departed("left", 4), instance("lives", 1, 3, membership.StateReady), instance("stops", 1, 3, membership.StateDraining)}
				for i := range 3 {
					records = append(records, instance(fmt.Sprintf("%c-watcher", 'a'+i), 1, 1, membership.StateReady))
				}
				for _, in := range records {
					older := in
					if older.Sequence--; older.State != membership.StateReady {
						older.State, older.BackendLeaving = membership.StateReady, false
					}
					putRecord(t, m, older)
				}
				before := m.copy()
				state := NewState()
				state.Merge(records...)
				for _, in := range state.topology().watchers()[failing:] {
					eras := era.NewTracker()
					eras.Observe(1)
					r := &Restorer{State: state, Store: &trackedStore{Store: m, memory: m, eras: eras}, Eras: eras, Self: in.ID, Log: zerolog.Nop()}
					wg.Go(func() { r.Run(ctx) })
					time.AfterFunc(time.Second, func() { eras.Observe(2) })
				}
				time.Sleep(500 * time.Millisecond)
				m.restore(before)
				m.update(func(m *memoryStore) { m.puts = 0 })
				time.Sleep(500*time.Millisecond + 4*restoreGrace)
				want := map[string]membership.Instance{"left": records[0], "stops": records[2]}
				lives := records[1]
				lives.Sequence--
				want["lives"] = lives // Its own node writes it.
				for id, in := range want {
					obj, err := m.Get(ctx, platform.KindInstance, id)
					if err != nil {
						t.Fatal(err)
					}
					if got, err := decodeRecord(obj); err != nil || got != in {
						t.Errorf("the store holds %+v of %s, error %v, want %+v", got, id, err, in)
					}
				}
				m.update(func(m *memoryStore) {
					if m.puts != 2 {
						t.Errorf("%d writes, want 2", m.puts)
					}
				})
			})
		})
	}
}
