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
	// applyPart divides the maximum apply time of a configuration; the quotient is how long a configuration watch lasts
	// without changes, and so the time after which a watch that delivers nothing is noticed.
	applyPart = 2
	// instancesWait is how long an instance watch lasts without changes. No time limit depends on it.
	instancesWait = 2 * time.Second
	// trustPeriod is how often a node that does not watch the store checks whether it still receives updates from
	// distributors.
	trustPeriod = 200 * time.Millisecond
	// watchSlack is how long the answer to a watch may take beyond the requested wait.
	watchSlack = 300 * time.Millisecond
	// waitSpread divides a watch's wait; up to the quotient is subtracted at random, so that the watches of all nodes
	// do not end at the same time.
	waitSpread = 4
	// listTimeout is the timeout for listing all objects of a kind.
	listTimeout = 1500 * time.Millisecond
	// gatherPause is the delay after an instance change before the next watch, which collects further changes: during a
	// start or a rollout dozens come at once, and each would take a call of its own. No time limit depends on instance
	// changes.
	gatherPause = 100 * time.Millisecond
	// firstBackoff and lastBackoff limit the backoff after a failed call. It doubles with each failure, and half of
	// it is random.
	firstBackoff = 100 * time.Millisecond
	lastBackoff  = 1500 * time.Millisecond
)

// Follower keeps a State synchronised with the store.
type Follower struct {
	State   *State
	Store   Store
	Schema  Schema
	Self    membership.InstanceID
	Clock   clock.Clock
	Log     zerolog.Logger
	Metrics *metric.Set
	// Trusting reports whether this node need not watch the store, since it receives updates from other nodes.
	Trusting func() bool
	// OnChange, if set, is called with the records of other instances that have changed in the store, and with nil
	// after a configuration change.
	OnChange func([]membership.Instance)
	// OnOwnRecord, if set, is called with this node's own record as read from the store.
	OnOwnRecord func(membership.Instance)
	// OnOwnRemoved, if set, is called when this node's own record was removed from the store.
	OnOwnRemoved func()
	// OnLost, if set, is called when the store stops answering.
	OnLost func()

	// apply is the maximum time from the acceptance of a configuration until it is in force.
	apply atomic.Int64
	// heard is the time of the store's last answer; lost is the number of kinds whose last call failed.
	heard  clock.Last
	lost   atomic.Int32
	listed atomic.Bool
}

// Listed reports whether the instances have been read from the store.
func (f *Follower) Listed() bool { return f.listed.Load() }

// Silence returns the time since the store last answered. After a failed call it returns the maximum duration until a
// call succeeds.
func (f *Follower) Silence() time.Duration {
	if f.lost.Load() > 0 {
		return math.MaxInt64
	}
	return f.heard.Ago(f.Clock.Now())
}

// SetApply sets the maximum time from the acceptance of a configuration until it is in force. It must be called
// before Run and may be called again at any time.
func (f *Follower) SetApply(d time.Duration) { f.apply.Store(int64(d)) }

func (f *Follower) configurationWait() time.Duration {
	return time.Duration(f.apply.Load()) / applyPart
}

// Run keeps the configuration and the instances up to date until ctx ends.
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

// apply processes changes. With whole set they are the complete list of objects of a kind.
type apply func(changes []Change, whole bool)

// follow lists a kind and then watches it from the listed revision, until ctx ends.
func (f *Follower) follow(ctx context.Context, kind platform.ObjectKind, wait func() time.Duration, take apply) {
	var at Revision
	// watched is set once a watch has been answered since the last listing. exact is set when the next listing must
	// be current: a stale one could again have a revision that is older than the retained history.
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
		f.Metrics.Retried(metric.RetryPlatformRequest)
		if fault.Is(err, fault.Stale) {
			known, exact = false, true
			event.HistoryLost.Write(event.HistoryLost.Log(&f.Log).Str("kind", string(kind)).Uint64("revision", uint64(at)))
			if watched {
				// The changes since the last answer may be overdue, so list again at once. If the history is lost right
				// after a listing, back off as after other failures.
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

// spread shortens a wait by a random part.
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

// applyConfiguration accepts the newest configuration among the changes. If one cannot be decoded or is invalid, the
// current configuration stays in force.
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

// adopt validates a configuration, builds its routing table and puts it in force if it is newer. The changes, if
// given, are the deltas that lead to it. An older or equal version is ignored without an error.
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
