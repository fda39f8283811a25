package directory

import (
	"context"
	"math"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/monsoonlatch/monsoonlatch/pkg/clock"
	"github.com/monsoonlatch/monsoonlatch/pkg/config"
	"github.com/monsoonlatch/monsoonlatch/pkg/event"
	"github.com/monsoonlatch/monsoonlatch/pkg/fault"
	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
	"github.com/monsoonlatch/monsoonlatch/pkg/platform"
)

const (
	// applyPart of the bound on a configuration is how long a sentinel's watch of it lasts without changes. A watch that
	// has gone silent is noticed after it.
	applyPart = 2
	// instancesWait is how long a sentinel's watch of the instances lasts without changes. No bound rests on it.
	instancesWait = 2 * time.Second
	// trustPeriod is how often a node that does not watch the store checks whether it still hears from sentinels.
	trustPeriod = 200 * time.Millisecond
	// watchSlack is what a watch's answer may take beyond its wait.
	watchSlack = 300 * time.Millisecond
	// waitSpread of a wait is random, so that the watches of all nodes do not go silent together.
	waitSpread = 4
	// listTimeout bounds a read of all objects of a kind.
	listTimeout = 1500 * time.Millisecond
	// gatherPause is how long a node that watches the instances waits after a change for others: at a start and in a
	// release they come by dozens, and each would take a call. No bound rests on the instances.
	gatherPause = 100 * time.Millisecond
	// firstBackoff and lastBackoff bound the pause after a failed call; the pause doubles and half of it is random.
	firstBackoff = 100 * time.Millisecond
	lastBackoff  = 1500 * time.Millisecond
)

// Follower keeps a State up to date with the store.
type Follower struct {
	State   *State
	Store   Store
	Schema  Schema
	Self    membership.InstanceID
	Clock   clock.Clock
	Log     zerolog.Logger
	Metrics *metric.Set
	// Trusting reports whether this node need not watch the store, since it hears from sentinels.
	Trusting func() bool
	// OnChange, if set, is called with the records of other instances that have changed in the store, and after a change
	// of the configuration.
	OnChange func([]membership.Instance)
	// OnOwnRecord, if set, is called with the own record as the store holds it.
	OnOwnRecord func(membership.Instance)
	// OnOwnRemoved, if set, is called when the own record was removed from the store.
	OnOwnRemoved func()
	// OnLost, if set, is called when the store does not answer any more.
	OnLost func()

	// apply is how long after its acceptance a configuration may take to be in force.
	apply atomic.Int64
	// heard is the last answer of the store; lost counts the kinds whose last call failed.
	heard  clock.EventTime
	lost   atomic.Int32
	listed atomic.Bool
}

// Listed reports whether the instances have been read from the store.
func (f *Follower) Listed() bool { return f.listed.Load() }

// Silence is how long ago the store last answered. After a call that failed it is without end, until one succeeds.
func (f *Follower) Silence() time.Duration {
	if f.lost.Load() > 0 {
		return math.MaxInt64
	}
	return f.heard.Age(f.Clock.Now())
}

// SetApply sets how long after its acceptance a configuration may take to be in force. It is called before Run, and may
// be called again at any time.
func (f *Follower) SetApply(d time.Duration) { f.apply.Store(int64(d)) }

func (f *Follower) configurationWait() time.Duration {
	return time.Duration(f.apply.Load()) / applyPart
}

// Run follows the configuration and the instances until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	f.heard.Set(f.Clock.Now())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.follow(ctx, f.Schema.ConfigurationKind(), f.configurationWait, f.applyConfiguration)
	}()
	f.follow(ctx, platform.KindInstance, func() time.Duration { return instancesWait }, func(changes []Change, whole bool) {
		f.applyInstances(changes, whole)
		if len(changes) > 0 && !whole {
			clock.Sleep(ctx, gatherPause)
		}
	})
	<-done
}

// apply takes objects; whole states that they are all of their kind.
type apply func(changes []Change, whole bool)

// follow lists a kind and watches it from there, for ever.
func (f *Follower) follow(ctx context.Context, kind platform.ObjectKind, wait func() time.Duration, take apply) {
	var at Revision
	// watched states that a watch has been answered since the last list.
	// exact states that a listing must not be old: one that lags behind the history would lose it again.
	known, watched, lost, exact, pause := false, false, false, false, firstBackoff
	for ctx.Err() == nil {
		if known && f.Trusting() {
			clock.Sleep(ctx, trustPeriod)
			continue
		}
		var err error
		if known {
			at, err = f.watch(ctx, kind, at, spread(wait()), take)
			watched = watched || err == nil
		} else {
			at, err = f.list(ctx, kind, !exact, take)
			watched = false
		}
		if err == nil {
			if lost {
				f.lost.Add(-1)
				event.StoreRegained.Write(event.StoreRegained.Log(&f.Log).Str("kind", string(kind)).Uint64("revision", uint64(at)))
			}
			f.heard.Set(f.Clock.Now())
			known, lost = true, false
			if watched {
				pause = firstBackoff
			}
			continue
		}
		if ctx.Err() != nil {
			return
		}
		f.Metrics.CountRetry(metric.RetryPlatformRequest)
		if fault.Is(err, fault.Stale) {
			known, exact = false, true
			event.HistoryLost.Write(event.HistoryLost.Log(&f.Log).Str("kind", string(kind)).Uint64("revision", uint64(at)))
			if watched {
				// The changes since the last answer may be late already, so the list does not wait. A history that is lost
				// right after a list waits as other failures do.
				continue
			}
		} else if !lost {
			lost = true
			f.lost.Add(1)
			event.StoreLost.Write(event.StoreLost.Log(&f.Log).Err(err).Str("kind", string(kind)).Uint64("revision", uint64(at)))
			if f.OnLost != nil {
				f.OnLost()
			}
		}
		clock.Sleep(ctx, pause/2+rand.N(pause/2))
		pause = min(2*pause, lastBackoff)
	}
}

// spread takes a random part off a wait.
func spread(wait time.Duration) time.Duration { return wait - rand.N(wait/waitSpread) }

func (f *Follower) list(ctx context.Context, kind platform.ObjectKind, mayBeOld bool, take apply) (Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	l, err := f.Store.List(ctx, kind, mayBeOld)
	if err != nil {
		return 0, err
	}
	changes := make([]Change, len(l.Objects))
	for i, obj := range l.Objects {
		changes[i].Object = obj
	}
	take(changes, true)
	return l.Revision, nil
}

func (f *Follower) watch(ctx context.Context, kind platform.ObjectKind, at Revision, wait time.Duration, take apply) (Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+watchSlack)
	defer cancel()
	c, err := f.Store.Watch(ctx, kind, at, wait)
	if err != nil {
		return at, err
	}
	take(c.Changes, false)
	return max(at, c.Revision), nil
}

// applyConfiguration accepts the newest configuration among the objects. An unreadable or unsound one leaves the one in
// force.
func (f *Follower) applyConfiguration(changes []Change, _ bool) {
	for _, c := range changes {
		if c.Removed || c.Object.Name != f.Schema.ConfigurationName() {
			continue
		}
		version, cfg, err := f.Schema.Configuration(c.Object.Spec)
		if err == nil {
			err = f.State.adopt(&f.Log, version, cfg, nil, "store")
		}
		if err == nil && version == f.State.Version() {
			f.changed(nil)
		}
		if err != nil {
			event.ConfigInvalid.Write(event.ConfigInvalid.Log(&f.Log).Err(err).Uint64("version", uint64(version)))
		}
	}
}

// adopt checks a configuration, builds its routing table and puts it in force if it is newer. The changes, if given, lead
// to it.
func (s *State) adopt(log *zerolog.Logger, version config.Version, cfg config.Configuration, changes []config.Delta, source string) error {
	if version <= s.Version() {
		return nil
	}
	hash, err := cfg.Hash()
	if err != nil {
		return err
	}
	snap, err := config.Build(version, hash, cfg)
	if err != nil {
		return err
	}
	before := s.Version()
	if s.Accept(snap, changes) {
		event.ConfigAccepted.Write(event.ConfigAccepted.Log(log).Uint64("version", uint64(version)).
			Uint64("before", uint64(before)).Int("routes", len(cfg.Routes)).Str("source", source))
	}
	return nil
}

func (f *Follower) changed(records []membership.Instance) {
	if f.OnChange != nil {
		f.OnChange(records)
	}
}

func (f *Follower) applyInstances(changes []Change, whole bool) {
	records := make([]membership.Instance, 0, len(changes))
	named := make(map[membership.InstanceID]bool, len(changes))
	for _, c := range changes {
		id := membership.InstanceID(c.Object.Name)
		named[id] = true
		if c.Removed && id == f.Self {
			if f.OnOwnRemoved != nil {
				f.OnOwnRemoved()
			}
			continue
		}
		if c.Removed {
			if gone, ok := f.State.Depart(id); ok {
				records = append(records, gone)
			}
			continue
		}
		in, err := decodeRecord(c.Object)
		if err != nil {
			event.RecordRefused.Write(event.RecordRefused.Log(&f.Log).Err(err))
			continue
		}
		if id == f.Self {
			if f.OnOwnRecord != nil {
				f.OnOwnRecord(in)
			}
			continue
		}
		records = append(records, in)
	}
	f.State.Merge(records...)
	if whole {
		f.listed.Store(true)
		for _, in := range f.State.All() {
			if named[in.ID] || in.ID == f.Self {
				continue
			}
			if gone, ok := f.State.Depart(in.ID); ok {
				records = append(records, gone)
			}
		}
	}
	if len(records) > 0 {
		f.changed(records)
	}
}
