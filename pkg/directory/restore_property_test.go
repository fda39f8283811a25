package directory

import (
	"context"
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"github.com/monsoonlatch/monsoonlatch/pkg/era"
	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
	"github.com/monsoonlatch/monsoonlatch/pkg/platform"
)

// TestMain sets a fixed seed unless one is given, so that each run draws the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20261208")
	}
	m.Run()
}

// restoredRun is a run of a node whose backend server may leave, beside a store that is restored at any time.
type restoredRun struct {
	memory *memoryStore
	// copies are those from which the store may come back. All of them hold the record of the node.
	copies    []*storeCopy
	publisher *Publisher
	stop      func()
	record    membership.Instance
	// uncertain is set while the node does not know all that was acknowledged.
	uncertain    bool
	acknowledged bool
	version      int
	// states are the contents of the objects by kind, name, era and version, as read from the store.
	states map[string]string
	broken []string
}

func (r *restoredRun) fail(format string, args ...any) {
	r.broken = append(r.broken, fmt.Sprintf(format, args...))
}

// start starts the node. It recalls what an earlier run has published, as each start does.
func (r *restoredRun) start() {
	eras := era.NewTracker()
	store := &trackedStore{Store: r.memory, memory: r.memory, eras: eras}
	r.publisher = NewPublisher(NewState(), store, eras, zerolog.Nop(), func(context.Context, membership.Instance) {})
	ctx, cancel := context.WithCancel(context.Background())
	published := make(chan struct{})
	recall := &Recall{Publisher: r.publisher, Peers: newPeer(&fakeCaller{peers: make(map[string]*Peers)}, "self", "self:81", 0), InstancesListed: func() bool { return true }, Log: zerolog.Nop()}
	next := membership.StateReady
	recall.Run(ctx, func(records []membership.Instance, settled bool) {
		r.record.Incarnation++
		r.uncertain = !settled
		for _, in := range records {
			if in.BackendLeaving {
				next, r.uncertain = membership.StateDeparted, false
			}
		}
	})
	if r.uncertain {
		next = membership.StateStarting
	}
	if r.acknowledged && next == membership.StateReady {
		r.fail("the restarted node takes its backend server for ready after an acknowledged departure")
	}
	go func() { r.publisher.Run(ctx); close(published) }()
	r.stop = func() { cancel(); <-published }
	r.set(next)
}

func (r *restoredRun) set(state membership.State) {
	r.record.Sequence++
	r.record.State, r.record.BackendLeaving = state, state == membership.StateDeparted
	r.record.BackendID, r.record.BackendStarted = "", 0
	if state != membership.StateStarting {
		r.record.BackendID, r.record.BackendStarted = "i-1", 1000
	}
	r.publisher.Set(r.record)
}

// depart makes the backend server leave. It is acknowledged only if the store holds that within a second.
func (r *restoredRun) depart() {
	r.uncertain = false
	r.set(membership.StateDeparted)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if r.publisher.AwaitStored(ctx, r.record) == nil {
		r.acknowledged = true
	}
}

// observe compares what the store holds with what it has held at the same version before.
func (r *restoredRun) observe() {
	for _, kind := range []platform.ObjectKind{platform.KindInstance, testConfigurationKind} {
		l, err := r.memory.List(context.Background(), kind, false)
		if err != nil {
			continue
		}
		for _, o := range l.Objects {
			key := fmt.Sprint(kind, o.Name, o.Era, o.Version)
			if known, ok := r.states[key]; ok && known != string(o.Spec) {
				r.fail("%s was %s and is %s", key, known, o.Spec)
			}
			r.states[key] = string(o.Spec)
		}
	}
}

// Guards against an acknowledged departure that is undone, a configuration that goes back, and two states with the same version and
// era, whatever the order of changes, restores of the store from any earlier copy, outages and restarts of the node.
func TestNothingGoesBackAcrossRestores(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.SampledFrom([]string{"change", "depart", "copy", "restore", "told", "restart", "killed by the restore", "down", "up", "configure", "wait"}), 5, 40).Draw(rt, "steps")
		pauses := rapid.SliceOfN(rapid.IntRange(0, 1500), len(steps), len(steps)).Draw(rt, "pauses")
		picks := rapid.SliceOfN(rapid.IntRange(0, 100), len(steps), len(steps)).Draw(rt, "picks")
		var broken []string
		synctest.Test(t, func(t *testing.T) {
			m := newMemoryStore()
			m.set(testConfigurationKind, "main", "1")
			f := startTrackedFollower(t, m, neverSkipWatch)
			r := &restoredRun{memory: m, version: 1, record: instance("self", 1, 1, membership.StateReady), states: make(map[string]string)}
			r.start()
			time.Sleep(2 * time.Second)
			r.copies = []*storeCopy{m.copy()}
			inForce := f.State.Version()
			for i, step := range steps {
				r.play(step, picks[i])
				time.Sleep(time.Duration(pauses[i]) * time.Millisecond)
				r.observe()
				if v := f.State.Version(); v < inForce {
					r.fail("configuration %d is in force after %d", v, inForce)
				} else {
					inForce = v
				}
			}
			m.update(func(m *memoryStore) { m.down = false })
			r.play("told", 0) // As by the next watch.
			time.Sleep(5 * time.Second)
			if r.acknowledged {
				if got := storedRecord(t, m); !got.BackendLeaving && got.State != membership.StateStarting {
					r.fail("the store holds %+v after an acknowledged departure", got)
				}
			}
			r.stop()
			broken = r.broken
		})
		if len(broken) > 0 {
			rt.Fatalf("%v", broken)
		}
	})
}

func (r *restoredRun) play(step string, pick int) {
	m := r.memory
	switch step {
	case "change":
		if !r.uncertain && !r.record.BackendLeaving {
			r.set(membership.StateReady)
		}
	case "depart":
		r.depart()
	case "copy":
		r.copies = append(r.copies, m.copy())
	case "restore":
		m.restore(r.copies[pick%len(r.copies)])
	case "told":
		m.mu.Lock()
		now := m.era
		m.mu.Unlock()
		r.publisher.Eras.Observe(now)
	case "restart", "killed by the restore":
		r.stop()
		if step != "restart" {
			m.restore(r.copies[pick%len(r.copies)])
		}
		m.update(func(m *memoryStore) { m.down = false }) // The recall would go on until the store answers.
		r.start()
	case "down", "up":
		m.update(func(m *memoryStore) { m.down = step == "down" })
	case "configure":
		r.version++
		m.set(testConfigurationKind, "main", fmt.Sprint(r.version))
	}
}
