package admission

import (
	"cmp"
	"slices"
	"time"
)

// Usage shows who uses the backend server. Amounts of the past are decayed over a few seconds.
type Usage struct {
	Load Load
	// Tenants is the number of tenants with requests in progress or recent use.
	Tenants int
	// Top lists the tenants with the most use, in descending order.
	Top   []TenantUsage
	Ranks []RankUsage
	// DisplacedByShare counts the requests that lost their place to a tenant with less use, Moved those that were sent to
	// another instance because the backend server was slow, both since the start.
	DisplacedByShare, Moved uint64
}

// TenantUsage is the use of one tenant.
type TenantUsage struct {
	Name string
	// SlotTime is the slot time used in about the last two seconds.
	SlotTime      time.Duration
	InUse, Queued int
	// Asked and Started count requests of about the last 20 seconds.
	Asked, Started int
}

// RankUsage is the use of one rank. Asked and Started are zero without tenants.
type RankUsage struct {
	Rank, InUse, Queued int
	Asked, Started      int
}

// Usage returns the use of the slots by rank, and by the tenants with the most use.
func (q *Queue) Usage(now time.Time, top int) Usage {
	u := Usage{Load: q.Load(), Tenants: len(q.tenants.byName), DisplacedByShare: q.displacedByShare, Moved: q.moved}
	for _, t := range q.tenants.byName {
		t.advance(now)
		u.Top = append(u.Top, TenantUsage{Name: t.name, SlotTime: seconds(t.use), InUse: t.inUse, Queued: t.waiting, Asked: int(t.served.asked), Started: int(t.served.started)})
	}
	slices.SortFunc(u.Top, func(a, b TenantUsage) int {
		return cmp.Or(cmp.Compare(b.SlotTime, a.SlotTime), cmp.Compare(a.Name, b.Name))
	})
	u.Top = u.Top[:min(max(top, 0), len(u.Top))]
	q.served.advance(now)
	for r := range q.accounts {
		f := q.served.ranks[r]
		if ru := (RankUsage{r, q.accounts[r].inUse, len(q.queues[r]), int(f.asked), int(f.started)}); ru != (RankUsage{Rank: r}) {
			u.Ranks = append(u.Ranks, ru)
		}
	}
	return u
}

// Usage returns who uses the backend server. It returns false if the discipline does not tell tenants apart.
func (g *Gate) Usage(top int) (Usage, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	d, ok := g.discipline.(interface {
		Usage(now time.Time, top int) Usage
	})
	if !ok {
		return Usage{}, false
	}
	return d.Usage(g.clock.Now(), top), true
}
