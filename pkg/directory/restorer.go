package directory

import (
	"context"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"github.com/monsoonlatch/monsoonlatch/pkg/era"
	"github.com/monsoonlatch/monsoonlatch/pkg/event"
	"github.com/monsoonlatch/monsoonlatch/pkg/fault"
	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
	"github.com/monsoonlatch/monsoonlatch/pkg/platform"
)

// Restorer writes the records of other instances that have left back to a store that has come back from a copy in which they are in use.
// Their nodes may have gone with them, and nodes that start later would send them requests. The watchers do so one after the other, so
// that each record is written once and a watcher that fails is replaced.
type Restorer struct {
	State *State
	Store Store
	// Eras knows the latest era of the store.
	Eras *era.Tracker
	Self membership.InstanceID
	Log  zerolog.Logger
}

// Run restores records after each restore of the store until ctx ends.
func (r *Restorer) Run(ctx context.Context) { r.Eras.EachRestore(ctx, r.restore) }

// restore waits until the nodes that live have written their own records, and for its turn among the watchers, and then writes what is
// still missing in an era of the store.
func (r *Restorer) restore(ctx context.Context, at era.Number) {
	for turn := 0; ; turn++ {
		select {
		case <-time.After(restoreGrace):
		case <-r.Eras.Ended(at):
			return
		case <-ctx.Done():
			return
		}
		watchers := r.State.topology().watchers()
		rank := slices.IndexFunc(watchers, func(in membership.Instance) bool { return in.ID == r.Self })
		if rank < 0 {
			return
		}
		if rank <= turn {
			r.writeDepartures(ctx, at)
			return
		}
	}
}

func (r *Restorer) writeDepartures(ctx context.Context, at era.Number) {
	listCtx, cancel := withStallLimit(ctx, listTimeout)
	listing, err := r.Store.List(listCtx, platform.KindInstance, false)
	cancel()
	if err != nil {
		event.DeparturesNotRestored.Write(event.DeparturesNotRestored.Log(&r.Log).Err(err).Uint64("era", uint64(at)))
		return
	}
	written, failed := 0, 0
	for _, obj := range listing.Objects {
		in, ok := r.departureToRestore(obj)
		if !ok {
			continue
		}
		switch err := r.write(ctx, in, versionOf(obj)); {
		case err == nil:
			written++
		case fault.Is(err, fault.Conflict), fault.Is(err, fault.NotFound): // Its node or another watcher was faster.
		default:
			failed++
			event.DeparturesNotRestored.Write(event.DeparturesNotRestored.Log(&r.Log).Err(err).Uint64("era", uint64(at)).Str("instance", string(in.ID)))
		}
	}
	event.DeparturesRestored.Write(event.DeparturesRestored.Log(&r.Log).Uint64("era", uint64(at)).Int("listed", len(listing.Objects)).Int("written", written).Int("failed", failed))
}

// departureToRestore returns the known record of an instance that has left, if the store holds an older one by which it is in use.
func (r *Restorer) departureToRestore(obj platform.Object) (membership.Instance, bool) {
	stored, err := decodeRecord(obj)
	if err != nil || stored.ID == r.Self {
		return membership.Instance{}, false
	}
	known := r.State.find(stored.ID)
	left := known.State == membership.StateDraining || known.State == membership.StateDeparted
	return known, left && supersedes(known, stored)
}

func (r *Restorer) write(ctx context.Context, in membership.Instance, version Version) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	spec, err := encodeRecord(in, r.Eras.Latest())
	if err != nil {
		return err
	}
	_, err = r.Store.Put(ctx, platform.KindInstance, string(in.ID), version, spec)
	return err
}
