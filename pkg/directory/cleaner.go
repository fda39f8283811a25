package directory

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/monsoonlatch/monsoonlatch/pkg/clock"
	"github.com/monsoonlatch/monsoonlatch/pkg/event"
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
	Self  membership.InstanceID
	Clock clock.Clock
	Log   zerolog.Logger

	// departedSince is when this node first found the instances to have departed.
	departedSince map[membership.InstanceID]time.Time
	removed       map[membership.InstanceID]bool
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
	for _, id := range c.expired(c.Clock.Now()) {
		ctx, cancel := context.WithTimeout(ctx, writeTimeout)
		err := c.Store.Delete(ctx, platform.KindInstance, string(id))
		cancel()
		if err != nil {
			event.RecordNotRemoved.Write(event.RecordNotRemoved.Log(&c.Log).Err(err).Str("instance", string(id)))
			return // The next look tries again.
		}
		c.removed[id] = true
	}
}

// expired returns the departed instances whose records this node has to remove now.
func (c *Cleaner) expired(now time.Time) []membership.InstanceID {
	if c.departedSince == nil {
		c.departedSince, c.removed = make(map[membership.InstanceID]time.Time), make(map[membership.InstanceID]bool)
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
