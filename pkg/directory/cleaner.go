package directory

import (
	"context"
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"github.com/monsoonlatch/monsoonlatch/pkg/clock"
	"github.com/monsoonlatch/monsoonlatch/pkg/era"
	"github.com/monsoonlatch/monsoonlatch/pkg/event"
	"github.com/monsoonlatch/monsoonlatch/pkg/fault"
	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
	"github.com/monsoonlatch/monsoonlatch/pkg/platform"
)

const (
	// departedRetention is how long the record of a departed instance stays in the store. It is far longer than an
	// announcement of its backend server can be late, and a VM rarely comes back under its name.
	departedRetention = 10 * time.Minute
	// cleanPeriod is the interval between two looks for records to remove.
	cleanPeriod = time.Minute
)

// Cleaner removes the records of instances that departed long ago from the store. One watcher does so, the first one; if two
// nodes take themselves for it, an object is removed twice, which is no error.
type Cleaner struct {
	State *State
	Store Store
	// Eras knows the latest era of the store.
	Eras  *era.Tracker
	Self  membership.InstanceID
	Clock clock.Clock
	Log   zerolog.Logger

	// departedSince is when this node first found the instances to have departed.
	departedSince map[membership.InstanceID]time.Time
	// removed holds the instances whose records were removed in the era removedEra. A later era may have them again.
	removed    map[membership.InstanceID]bool
	removedEra era.Number
}

// Run removes records until ctx ends.
func (c *Cleaner) Run(ctx context.Context) {
	tick := time.NewTicker(cleanPeriod)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			c.clean(ctx)
		case <-ctx.Done():
			return
		}
	}
}

func (c *Cleaner) clean(ctx context.Context) {
	if latest := c.Eras.Latest(); latest != c.removedEra {
		c.removed, c.removedEra = nil, latest
	}
	for _, id := range c.expired(c.Clock.Now()) {
		if err := c.remove(ctx, id); err != nil {
			event.RecordNotRemoved.Write(event.RecordNotRemoved.Log(&c.Log).Err(err).Str("instance", string(id)))
			if !fault.Is(err, fault.Conflict) {
				return // The next look tries again.
			}
			continue
		}
		c.removed[id] = true
	}
}

// remove removes the record of an instance if the store still holds one that says that the instance has departed. It may hold one of an
// instance that has come back, or of a node whose departure it has lost when it came back from a copy.
func (c *Cleaner) remove(ctx context.Context, id membership.InstanceID) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	obj, err := c.Store.Get(ctx, platform.KindInstance, string(id))
	if fault.Is(err, fault.NotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	if in, err := decodeRecord(obj); err != nil || in.State != membership.StateDeparted {
		return fault.New(fault.Conflict, fmt.Sprintf("removal of %.64s", id), "the store holds a record that does not say that the instance has departed", "")
	}
	return c.Store.Delete(ctx, platform.KindInstance, string(id), versionOf(obj))
}

// expired returns the departed instances whose records this node has to remove now.
func (c *Cleaner) expired(now time.Time) []membership.InstanceID {
	if c.departedSince == nil {
		c.departedSince = make(map[membership.InstanceID]time.Time)
	}
	if c.removed == nil {
		c.removed = make(map[membership.InstanceID]bool)
	}
	var out []membership.InstanceID
	watchers := c.State.topology().watchers()
	first := len(watchers) > 0 && watchers[0].ID == c.Self
	for _, in := range c.State.All() {
		if in.State != membership.StateDeparted || in.ID == c.Self {
			delete(c.departedSince, in.ID)
			delete(c.removed, in.ID)
			continue
		}
		since, known := c.departedSince[in.ID]
		if !known {
			c.departedSince[in.ID] = now
			continue
		}
		if first && !c.removed[in.ID] && now.Sub(since) >= departedRetention {
			out = append(out, in.ID)
		}
	}
	return out
}
