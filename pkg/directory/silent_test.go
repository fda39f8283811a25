package directory

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/monsoonlatch/monsoonlatch/pkg/clock"
	"github.com/monsoonlatch/monsoonlatch/pkg/era"
	"github.com/monsoonlatch/monsoonlatch/pkg/fault"
	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
	"github.com/monsoonlatch/monsoonlatch/pkg/platform"
)

// silentStore is a node's access to a store that can be silent: no call gets a response until its context ends.
type silentStore struct {
	*memoryStore
	mu     sync.Mutex
	silent bool
	// watches and gets count the calls for the configuration since the store is silent.
	watches, gets int
}

func (s *silentStore) setSilent() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent, s.watches, s.gets = true, 0, 0
}

func (s *silentStore) isSilent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent
}

func (s *silentStore) Watch(ctx context.Context, kind platform.ObjectKind, after era.Position, wait time.Duration) (Changes, error) {
	if kind == testConfigurationKind {
		s.mu.Lock()
		s.watches++
		s.mu.Unlock()
	}
	if !s.isSilent() {
		c, err := s.memoryStore.Watch(ctx, kind, after, wait)
		if !s.isSilent() {
			return c, err
		}
	}
	<-ctx.Done()
	return Changes{}, fault.Wrap(fault.Unavailable, "watch", ctx.Err(), "")
}

func (s *silentStore) Get(ctx context.Context, kind platform.ObjectKind, name string) (platform.Object, error) {
	s.mu.Lock()
	s.gets++
	s.mu.Unlock()
	if !s.isSilent() {
		return s.memoryStore.Get(ctx, kind, name)
	}
	<-ctx.Done()
	return platform.Object{}, fault.Wrap(fault.Unavailable, "get", ctx.Err(), "")
}

// Guards against a configuration that is late because the watches of all nodes hang, while the store answers other calls: no
// node could pull it from another one in time. Seen in a soak run with seed 514.
func TestAllWatchesHang(t *testing.T) {
	for offset := time.Duration(0); offset < time.Second; offset += 50 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			m := newMemoryStore()
			m.set(testConfigurationKind, "main", "3")
			f := startFollower(t, m, neverSkipWatch)
			time.Sleep(time.Second)
			m.update(func(m *memoryStore) { m.hangWatches = true })
			time.Sleep(1500*time.Millisecond + offset)
			m.set(testConfigurationKind, "main", "11")
			time.Sleep(2 * time.Second)
			if got := f.State.Version(); got != 11 {
				t.Errorf("published %v after a second with hanging watches: got version %d in force 2 s later, want 11", offset, got)
			}
		})
	}
}

// Guards against a node that learns of a configuration late because the store answers none of its calls from the moment of the
// publication on, while other nodes have it: the time until the next periodic pull is not left.
func TestNodeWithoutStorePullsAtOnce(t *testing.T) {
	for run := range 20 {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			nodes := startSilentNodes(ctx, t, 6)
			time.Sleep(5*time.Second + time.Duration(run)*35*time.Millisecond)
			for i, p := range nodes.peers {
				if p.State.topology().isWatcher(p.Self) { // Other nodes are sent the version.
					nodes.stores[i].setSilent()
					break
				}
			}
			nodes.store.set(testConfigurationKind, "main", "9")
			// The bound is 2 s, of which a pull over a slow network may take peerCallTimeout.
			const limit = 2*time.Second - peerCallTimeout
			time.Sleep(limit)
			for i, p := range nodes.peers {
				if got := p.State.Version(); got != 9 {
					t.Errorf("run %d: node %d has version %d after %v, want 9", run, i, got, limit)
				}
			}
			cancel()
			nodes.wait()
		})
	}
}

// Guards against calls that grow beyond one read of the configuration for each watch without a response, and beyond one pull
// for each of them besides the periodic ones, when the store answers none of many nodes.
func TestSilentStoreIsAskedLittle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const nodeCount, length = 60, 30 * time.Second
		ctx, cancel := context.WithCancel(context.Background())
		nodes := startSilentNodes(ctx, t, nodeCount)
		time.Sleep(5 * time.Second)
		for _, s := range nodes.stores {
			s.setSilent()
		}
		pullsBefore := nodes.pulls()
		time.Sleep(length)
		watches, gets := 0, 0
		for i, s := range nodes.stores {
			s.mu.Lock()
			watches, gets = watches+s.watches, gets+s.gets
			if s.gets > s.watches+1 {
				t.Errorf("node %d made %d reads of the configuration after %d watches", i, s.gets, s.watches)
			}
			s.mu.Unlock()
		}
		pulls := nodes.pulls() - pullsBefore
		// Before, each node made up to maxPullAttempts pulls in a period, with up to two messages each.
		if most := 2 * maxPullAttempts * (nodeCount*int(length/pullPeriod+1) + gets); pulls > most {
			t.Errorf("%d messages of pulls, want at most %d", pulls, most)
		}
		t.Logf("%d nodes in %v: %d watches and %d reads of the configuration, %d messages of pulls", nodeCount, length, watches, gets, pulls)
		cancel()
		nodes.wait()
	})
}

// silentNodes are nodes of a mesh, each with its own access to one store.
type silentNodes struct {
	store  *memoryStore
	caller *fakeCaller
	stores []*silentStore
	peers  []*Peers
	wg     sync.WaitGroup
}

func (n *silentNodes) wait() { n.wg.Wait() }

// pulls returns the number of calls between nodes.
func (n *silentNodes) pulls() int {
	n.caller.mu.Lock()
	defer n.caller.mu.Unlock()
	return n.caller.calls
}

func startSilentNodes(ctx context.Context, t *testing.T, count int) *silentNodes {
	n := &silentNodes{store: newMemoryStore(), caller: &fakeCaller{peers: make(map[string]*Peers)}}
	n.store.set(testConfigurationKind, "main", "3")
	var records []membership.Instance
	var followers []*Follower
	for i := range count {
		addr := fmt.Sprintf("10.0.0.%d:81", i+1)
		in := instance(fmt.Sprintf("%c%d", 'a'+i%4, i), 1, 1, membership.StateReady)
		in.ControlAddress = addr
		records = append(records, in)
		putRecord(t, n.store, in)
		p, store := newPeer(n.caller, string(in.ID), addr, 0), &silentStore{memoryStore: n.store}
		f := &Follower{State: p.State, Store: store, Schema: versionSchema{}, Eras: era.NewTracker(), Self: in.ID, Clock: clock.System{}, Log: zerolog.Nop(),
			Metrics: p.Metrics, CanSkipWatch: p.CanSkipWatch, OnChange: p.Forward, OnStoreLost: func() { p.Forward(nil) },
			OnWatchTimeout: p.RequestPullFromAny}
		f.SetApplyBound(2 * time.Second)
		p.StoreSilence, p.AvailabilityZone = f.StoreSilence, in.AvailabilityZone
		n.stores, n.peers, followers = append(n.stores, store), append(n.peers, p), append(followers, f)
	}
	for i, p := range n.peers {
		p.State.Merge(records...)
		n.wg.Go(func() { followers[i].Run(ctx) })
		n.wg.Go(func() { p.Run(ctx) })
		n.wg.Go(func() { p.RunForward(ctx) })
	}
	return n
}

// lossyStore fails the next call for one kind.
type lossyStore struct {
	*memoryStore
	kind platform.ObjectKind
	fail chan struct{}
}

func (s *lossyStore) Watch(ctx context.Context, kind platform.ObjectKind, after era.Position, wait time.Duration) (Changes, error) {
	if kind == s.kind {
		select {
		case <-s.fail:
			return Changes{}, fault.New(fault.Unavailable, "watch", "reset", "")
		default:
		}
	}
	return s.memoryStore.Watch(ctx, kind, after, wait)
}

// Guards against a node that takes the store for lost until a long watch of the orders ends, after that watch has failed once:
// seen as ten seconds of refusals after a cut had healed.
func TestFailedWatchOfOrdersSaysNothingOfTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemoryStore()
		m.set(testConfigurationKind, "main", "3")
		kind := testRolloutSchema{}.RolloutKind()
		store := &lossyStore{memoryStore: m, kind: kind, fail: make(chan struct{}, 1)}
		f := &Follower{State: NewState(), Store: store, Schema: versionSchema{}, Eras: era.NewTracker(), Self: "self", Clock: clock.System{}, Log: zerolog.Nop(),
			Metrics: metric.NewSet(), CanSkipWatch: neverSkipWatch, RolloutKind: kind, OnRollouts: func([]Change, era.Position, bool) {}}
		f.SetApplyBound(2 * time.Second)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { f.Run(ctx); close(done) }()
		time.Sleep(rolloutWatchDelay + time.Second)
		store.fail <- struct{}{}
		for range 3 * int(rolloutWatchWait/time.Second) {
			time.Sleep(time.Second)
			if silence := f.StoreSilence(); silence > instanceWatchWait+time.Second {
				t.Errorf("the store counts as silent for %v", silence)
				break
			}
		}
		cancel()
		<-done
	})
}
