package idempotency

import (
	"sync"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
)

type historyKey struct {
	service string
	window  time.Duration
	self    Claimant
}

// historyCache keeps membership histories until the membership changes or they are older than Timing.MaxAge, since the
// window that they cover ends at the time of their construction.
type historyCache struct {
	view    membership.HistoryView
	changed <-chan struct{}

	mu      sync.RWMutex
	entries map[historyKey]*MembershipHistory
}

func (c *historyCache) get(service string, self Claimant, now time.Time, t Timing) *MembershipHistory {
	select {
	case <-c.changed:
		c.mu.Lock()
		clear(c.entries)
		c.mu.Unlock()
	default:
	}
	since, _ := c.view.CompleteSince()
	key := historyKey{service, t.Window, self}
	c.mu.RLock()
	h := c.entries[key]
	c.mu.RUnlock()
	if h != nil && h.completeSince.Equal(since) && now.Sub(h.builtAt) < t.MaxAge {
		return h
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	h = NewMembershipHistory(c.view.History(service), self, since, now, t)
	c.entries[key] = h
	return h
}
