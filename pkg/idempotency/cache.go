package idempotency

import (
	"sync"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
)

type rosterKey struct {
	service string
	window  time.Duration
	self    Claimant
}

// rosterCache keeps rosters until the membership changes or they are older than Timing.Reuse, since the window that
// they cover ends at the time of their construction.
type rosterCache struct {
	view    membership.HistoryView
	changed <-chan struct{}

	mu        sync.RWMutex
	byService map[rosterKey]*Roster
}

func (c *rosterCache) get(service string, self Claimant, now time.Time, t Timing) *Roster {
	select {
	case <-c.changed:
		c.mu.Lock()
		clear(c.byService)
		c.mu.Unlock()
	default:
	}
	since, _ := c.view.Synchronised()
	key := rosterKey{service, t.Window, self}
	c.mu.RLock()
	r := c.byService[key]
	c.mu.RUnlock()
	if r != nil && r.since.Equal(since) && now.Sub(r.builtAt) < t.Reuse {
		return r
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	r = NewRoster(c.view.History(service), self, since, now, t)
	c.byService[key] = r
	return r
}
