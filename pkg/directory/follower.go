package directory

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/monsoonlatch/monsoonlatch/pkg/clock"
	"github.com/monsoonlatch/monsoonlatch/pkg/config"
	"github.com/monsoonlatch/monsoonlatch/pkg/era"
	"github.com/monsoonlatch/monsoonlatch/pkg/event"
	"github.com/monsoonlatch/monsoonlatch/pkg/fault"
	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
	"github.com/monsoonlatch/monsoonlatch/pkg/platform"
)

const (
	// watchesPerApplyBound is the number of configuration watches without changes that fit into the maximum apply
	// time of a configuration. A watch that hangs is noticed only when it should have ended.
	watchesPerApplyBound = 2
	// instanceWatchWait is how long an instance watch lasts without changes. No time limit depends on it.
	instanceWatchWait = 2 * time.Second
	// skipWatchCheckPeriod is how often a node that does not watch the store checks whether it still receives updates
	// from distributors.
	skipWatchCheckPeriod = 200 * time.Millisecond
	// watchResponseGrace is how long the response to a watch may take to begin beyond the requested wait.
	watchResponseGrace = 300 * time.Millisecond
	// watchJitterDivisor divides a watch's wait; up to the quotient is subtracted at random, so that the watches of
	// all nodes do not end at the same time.
	watchJitterDivisor = 4
	// listTimeout is how long the response to a list of all objects of a kind may take to begin.
	listTimeout = 1500 * time.Millisecond
	// instanceBatchDelay is the delay after an instance change before the next watch, which collects further changes:
	// during a start or a rollout dozens come at once, and each would take a call of its own. No time limit depends
	// on instance changes.
	instanceBatchDelay = 100 * time.Millisecond
	// minBackoff and maxBackoff limit the backoff after a failed call. It doubles with each failure, and half of
	// it is random.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 1500 * time.Millisecond
)

// Follower keeps a State synchronised with the store.
type Follower struct {
	State  *State
	Store  Store
	Schema Schema
	// Eras knows the latest era of the store.
	Eras    *era.Tracker
	Self    membership.InstanceID
	Clock   clock.Clock
	Log     zerolog.Logger
	Metrics *metric.Set
	// CanSkipWatch reports whether this node need not watch the store, since it receives updates from other nodes.
	CanSkipWatch func() bool
	// OnChange, if set, is called with the records of other instances that have changed in the store, and with nil
	// after a configuration change.
	OnChange func([]membership.Instance)
	// OnOwnRecord, if set, is called with this node's own record as read from the store in an era.
	OnOwnRecord func(in membership.Instance, read era.Number)
	// OnOwnRecordRemoved, if set, is called when this node's own record was removed from the store, or overwritten by one
	// that describes no instance.
	OnOwnRecordRemoved func(read era.Number)
	// OnOwnRecordMissing, if set, is called when a current listing, requested at the given time, lacks this node's own record.
	OnOwnRecordMissing func(read era.Number, requested time.Time)
	// OnRollouts, if set, is called with the changes of the orders to roll out a version, whose kind is RolloutKind. With complete
	// set they are all orders as of a position.
	OnRollouts  func(changes []Change, at era.Position, complete bool)
	RolloutKind platform.ObjectKind
	// OnStoreLost, if set, is called when the store stops answering.
	OnStoreLost func()
	// OnWatchTimeout, if set, is called when a watch of the configuration got no response. It must not block.
	OnWatchTimeout func()

	// applyBound is the maximum time from the acceptance of a configuration until it is in force.
	applyBound atomic.Int64
	// lastResponse is the time of the store's last response; failingKinds is the number of kinds whose last call failed.
	lastResponse    clock.EventTime
	failingKinds    atomic.Int32
	instancesListed atomic.Bool
	missing         missingRecords
	// configurationRefused is set while the newest configuration in the store could not be put in force.
	configurationRefused atomic.Bool
}

// InstancesListed reports whether the instances have been read from the store.
func (f *Follower) InstancesListed() bool { return f.instancesListed.Load() }

// StoreSilence returns the time since the store last answered. After a failed call it returns the maximum duration
// until a call succeeds.
func (f *Follower) StoreSilence() time.Duration {
	if f.failingKinds.Load() > 0 {
		return math.MaxInt64
	}
	return f.lastResponse.Age(f.Clock.Now())
}

// SetApplyBound sets the maximum time from the acceptance of a configuration until it is in force. It must be called
// before Run and may be called again at any time.
func (f *Follower) SetApplyBound(d time.Duration) { f.applyBound.Store(int64(d)) }

func (f *Follower) configurationWatchWait() time.Duration {
	return time.Duration(f.applyBound.Load()) / watchesPerApplyBound
}

// Run keeps the configuration and the instances up to date until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	f.lastResponse.Set(f.Clock.Now())
	var others sync.WaitGroup
	others.Go(func() {
		f.follow(ctx, f.Schema.ConfigurationKind(), f.configurationWatchWait, f.CanSkipWatch, f.applyConfiguration)
	})
	if f.OnRollouts != nil {
		others.Go(func() {
			start := f.Clock.Now()
			f.follow(ctx, f.RolloutKind, func() time.Duration { return rolloutWatchWait }, func() bool {
				return f.CanSkipWatch() || f.Clock.Now().Sub(start) < rolloutWatchDelay
			}, f.OnRollouts)
		})
	}
	f.follow(ctx, platform.KindInstance, func() time.Duration { return instanceWatchWait }, f.CanSkipWatch, func(changes []Change, at era.Position, complete bool) {
		f.applyInstances(changes, at, complete)
		if len(changes) > 0 && !complete {
			clock.Sleep(ctx, instanceBatchDelay)
		}
	})
	others.Wait()
}

// changeHandler processes changes. With complete set they are the full list of objects of a kind as of a position.
type changeHandler func(changes []Change, at era.Position, complete bool)

// follow lists a kind and then watches it from the listed position, until ctx ends. While canSkip returns true it does not watch. Once
// the store has come back from a copy, the position is in a history that has ended, and the kind is listed again before the next watch.
func (f *Follower) follow(ctx context.Context, kind platform.ObjectKind, wait func() time.Duration, canSkip func() bool, handle changeHandler) {
	var at era.Position
	// watchedSinceListing is set once a watch has been answered since the last listing. listCurrent is set when the
	// next listing must be current: a stale one could again have a position that is older than the retained history.
	listed, watchedSinceListing, failing, listCurrent, backoff := false, false, false, false, minBackoff
	// A long watch tells only at its end that the store answers again. That of the orders therefore says nothing about the store,
	// and is not made while other calls fail.
	tellsOfStore := kind != f.RolloutKind
	for ctx.Err() == nil {
		if listed && canSkip() || !tellsOfStore && f.failingKinds.Load() > 0 {
			clock.Sleep(ctx, skipWatchCheckPeriod)
			continue
		}
		if listed && f.Eras.Latest() > at.Era {
			listed, listCurrent = false, true
			f.noteHistoryLost(kind, at)
		}
		var err error
		if listed {
			at, err = f.watch(ctx, kind, at, jitter(wait()), handle)
			watchedSinceListing = watchedSinceListing || err == nil
		} else {
			at, err = f.list(ctx, kind, !listCurrent, handle)
			watchedSinceListing = false
		}
		if err == nil {
			if failing && tellsOfStore {
				f.failingKinds.Add(-1)
				event.StoreRegained.Write(event.StoreRegained.Log(&f.Log).Str("kind", string(kind)).Uint64("era", uint64(at.Era)).Uint64("revision", at.Revision))
			}
			f.lastResponse.Set(f.Clock.Now())
			listed, failing = true, false
			if watchedSinceListing {
				backoff = minBackoff
			}
			continue
		}
		if ctx.Err() != nil {
			return
		}
		f.Metrics.CountRetry(metric.RetryPlatformRequest)
		eraEnded := listed && f.Eras.Latest() > at.Era
		timedOut := listed && !eraEnded && kind == f.Schema.ConfigurationKind() && errors.Is(err, context.Canceled)
		if fault.Is(err, fault.Stale) || eraEnded {
			listed, listCurrent = false, true
			f.noteHistoryLost(kind, at)
			if watchedSinceListing {
				// The changes since the last response may be overdue, so list again at once. If the history is lost
				// right after a listing, back off as after other failures.
				continue
			}
		} else if !failing && tellsOfStore {
			failing = true
			f.failingKinds.Add(1)
			event.StoreLost.Write(event.StoreLost.Log(&f.Log).Err(err).Str("kind", string(kind)).Uint64("era", uint64(at.Era)).Uint64("revision", at.Revision))
			if f.OnStoreLost != nil {
				f.OnStoreLost()
			}
		}
		if timedOut {
			f.readAfterTimeout(ctx, kind, handle)
		}
		clock.Sleep(ctx, backoff/2+rand.N(backoff/2))
		backoff = min(2*backoff, maxBackoff)
	}
}

func (f *Follower) noteHistoryLost(kind platform.ObjectKind, at era.Position) {
	event.HistoryLost.Write(event.HistoryLost.Log(&f.Log).Str("kind", string(kind)).Uint64("era", uint64(at.Era)).
		Uint64("revision", at.Revision).Uint64("latest_era", uint64(f.Eras.Latest())))
}

// readAfterTimeout reads the configuration once after a watch of it got no response, since a change may be overdue by then,
// and the next watch could hang too. It makes at most one call, and none after a failure that was reported at once. The
// timeouts of the nodes are spread by the jitter of their watches.
func (f *Follower) readAfterTimeout(ctx context.Context, kind platform.ObjectKind, handle changeHandler) {
	if f.OnWatchTimeout != nil {
		f.OnWatchTimeout()
	}
	ctx, cancel := withStallLimit(ctx, watchResponseGrace)
	defer cancel()
	start := f.Clock.Now()
	if object, err := f.Store.Get(ctx, kind, f.Schema.ConfigurationName()); err == nil {
		handle([]Change{{Object: object}}, era.Position{}, false)
		f.confirm(kind, start)
	}
}

// jitter shortens a wait by a random part.
func jitter(wait time.Duration) time.Duration { return wait - rand.N(wait/watchJitterDivisor) }

func (f *Follower) list(ctx context.Context, kind platform.ObjectKind, allowStale bool, handle changeHandler) (era.Position, error) {
	ctx, cancel := withStallLimit(ctx, listTimeout)
	defer cancel()
	start := f.Clock.Now()
	listing, err := f.Store.List(ctx, kind, allowStale)
	if err != nil {
		return era.Position{}, err
	}
	changes := make([]Change, len(listing.Objects))
	for i, obj := range listing.Objects {
		changes[i].Object = obj
	}
	handle(changes, listing.At, true)
	if !allowStale {
		f.confirm(kind, start)
		if kind == platform.KindInstance && f.OnOwnRecordMissing != nil && !hasObject(listing.Objects, string(f.Self)) {
			f.OnOwnRecordMissing(listing.At.Era, start)
		}
	}
	return listing.At, nil
}

func (f *Follower) watch(ctx context.Context, kind platform.ObjectKind, after era.Position, wait time.Duration, handle changeHandler) (era.Position, error) {
	ctx, cancel := withStallLimit(ctx, wait+watchResponseGrace)
	defer cancel()
	go func() {
		select {
		case <-f.Eras.Ended(after.Era):
			cancel() // Another answer has told that the store has come back from a copy.
		case <-ctx.Done():
		}
	}()
	start := f.Clock.Now()
	c, err := f.Store.Watch(ctx, kind, after, wait)
	if err != nil {
		return after, err
	}
	handle(c.Changes, c.At, false)
	if end := start.Add(wait); len(c.Changes) == 0 && !f.Clock.Now().Before(end) {
		start = end // The store waited for a change until then. Its response may have been read much later.
	}
	f.confirm(kind, start)
	if c.At.Compare(after) < 0 {
		return after, nil
	}
	return c.At, nil
}

func hasObject(objects []platform.Object, name string) bool {
	return slices.ContainsFunc(objects, func(obj platform.Object) bool { return obj.Name == name })
}

// confirm records that the configuration in force was the newest one in the store at the given time, if the store's response
// was about the configuration and could be applied.
func (f *Follower) confirm(kind platform.ObjectKind, at time.Time) {
	if kind == f.Schema.ConfigurationKind() && !f.configurationRefused.Load() {
		f.State.confirm(at)
	}
}

// applyConfiguration accepts the newest configuration among the changes. If one cannot be decoded or is invalid, the
// current configuration stays in force.
func (f *Follower) applyConfiguration(changes []Change, _ era.Position, _ bool) {
	for _, c := range changes {
		if c.Removed || c.Object.Name != f.Schema.ConfigurationName() {
			continue
		}
		version, cfg, err := f.Schema.Configuration(c.Object.Spec)
		if err == nil {
			err = f.State.validateAndAccept(&f.Log, version, cfg, nil, "store")
		}
		if err == nil && version == f.State.Version() {
			f.notifyChange(nil)
		}
		f.configurationRefused.Store(err != nil)
		if err != nil {
			event.ConfigInvalid.Write(event.ConfigInvalid.Log(&f.Log).Err(err).Uint64("version", uint64(version)))
		}
	}
}

// validateAndAccept validates a configuration, builds its routing table and puts it in force if it is newer. The
// deltas, if given, lead to it. An older or equal version is ignored without an error.
func (s *State) validateAndAccept(log *zerolog.Logger, version config.Version, cfg config.Configuration, deltas []config.Delta, source string) error {
	if version <= s.Version() {
		return nil
	}
	hash, err := cfg.Hash()
	if err != nil {
		return err
	}
	snap, err := config.BuildAccepted(version, hash, cfg)
	if err != nil {
		return err
	}
	before := s.Version()
	if s.Accept(snap, deltas) {
		event.ConfigAccepted.Write(event.ConfigAccepted.Log(log).Uint64("version", uint64(version)).
			Uint64("before", uint64(before)).Int("routes", len(cfg.Routes)).Str("source", source))
	}
	return nil
}

func (f *Follower) notifyChange(records []membership.Instance) {
	if f.OnChange != nil {
		f.OnChange(records)
	}
}

func (f *Follower) applyInstances(changes []Change, at era.Position, complete bool) {
	records := make([]membership.Instance, 0, len(changes))
	present := make(map[membership.InstanceID]bool, len(changes))
	for _, c := range changes {
		id := membership.InstanceID(c.Object.Name)
		present[id] = true
		f.missing.found(id)
		if c.Removed && id == f.Self {
			if f.OnOwnRecordRemoved != nil {
				f.OnOwnRecordRemoved(at.Era)
			}
			continue
		}
		if c.Removed {
			if departed, ok := f.State.MarkDeparted(id); ok {
				records = append(records, departed)
			}
			continue
		}
		in, err := decodeRecord(c.Object)
		if err != nil {
			event.RecordRefused.Write(event.RecordRefused.Log(&f.Log).Err(err))
			if id == f.Self && f.OnOwnRecordRemoved != nil {
				f.OnOwnRecordRemoved(at.Era) // Another writer has overwritten it.
			}
			continue
		}
		if id == f.Self {
			if f.OnOwnRecord != nil {
				f.OnOwnRecord(in, at.Era)
			}
			continue
		}
		records = append(records, in)
	}
	f.State.Merge(records...)
	now := f.Clock.Now()
	removed := f.missing.expired(now, f.State.find)
	if complete {
		f.instancesListed.Store(true)
		var lacking []membership.Instance
		for _, in := range f.State.All() {
			if !present[in.ID] && in.ID != f.Self {
				lacking = append(lacking, in)
			}
		}
		removed = append(removed, f.missing.observe(now, at.Era, lacking)...)
	}
	for _, in := range removed {
		if departed, ok := f.State.MarkDeparted(in.ID); ok {
			records = append(records, departed)
		}
	}
	if len(records) > 0 {
		f.notifyChange(records)
	}
}
