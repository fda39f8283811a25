package quota

import "time"

// Role is the position of a node in which it grants tokens of a tenant.
type Role uint8

const (
	// RoleHome: the node is the home of the tenant in its zone.
	RoleHome Role = iota
	// RoleStandIn: all nodes that come before this one no longer run or no longer grant.
	RoleStandIn
	// RoleCautious: a node that comes before this one does not answer and may still grant tokens to others.
	RoleCautious
)

const (
	// cautiousShare is the share of the zone's rate that is granted beside a home that may still be granting. If that
	// happens in all zones for a whole window, it takes as much as an overshoot of 0.1 permits.
	cautiousShare = 0.1
	// standInStorage is the time for which a stand-in may save up its rate. It is short, since the home may be back for
	// up to probePeriod before the stand-in finds out.
	standInStorage = 100 * time.Millisecond
	// firstTokens is what a bucket holds in the beginning, so that a tenant with a low rate need not wait.
	firstTokens = 1
	// reservedTime is the time for which a giver keeps what its own demand needs.
	reservedTime = 500 * time.Millisecond
	// leadTime is the time before a bucket runs out at which tokens are requested from other zones.
	leadTime = 150 * time.Millisecond
	// transferMargin is the factor by which a request for tokens exceeds the expected need, since the estimate of the
	// demand varies.
	transferMargin = 1.4
	// fruitlessPause is the interval between requests for tokens when no zone has any.
	fruitlessPause = time.Second
	// minTransfer is the least number of tokens that is worth a message.
	minTransfer = 0.5
)

// bucket is the token bucket of a tenant in one zone.
type bucket struct {
	limit   Limit
	version uint64
	role    Role
	tokens  float64
	updated time.Time
	used    time.Time
	demand  meter
	// queueEnd is the time at which the callers refused so far will have had a token each.
	queueEnd time.Time
	// nextTransfer is the earliest time of the next request to other zones. fruitless counts the requests in
	// succession that brought nothing, turn selects the zone to ask.
	nextTransfer time.Time
	fruitless    int
	turn         int
}

// rate returns the tokens that the bucket gets each second.
func (b *bucket) rate(parts int) float64 {
	r := b.limit.Rate / float64(parts)
	if b.role == RoleCautious {
		r *= cautiousShare
	}
	return r
}

// capacity returns the tokens that the bucket saves up. It holds at least one, since less never admits a request.
func (b *bucket) capacity(parts int, terms Terms) float64 {
	if b.role != RoleHome {
		return max(1, b.rate(parts)*standInStorage.Seconds())
	}
	return max(1, (b.limit.Burst+terms.reserve())/float64(parts))
}

// received returns the tokens up to which the bucket can be filled from other zones: at least what the other zones
// produce between two transfers.
func (b *bucket) received(parts int, terms Terms) float64 {
	return max(b.capacity(parts, terms), b.limit.Rate*float64(parts-1)/float64(parts)*terms.exchangeSpan().Seconds())
}

// refill adds the tokens produced since the last call. Tokens from other zones beyond the capacity stay.
func (b *bucket) refill(now time.Time, parts int, terms Terms) {
	if dt := now.Sub(b.updated).Seconds(); dt > 0 {
		limit := b.capacity(parts, terms)
		if b.tokens < limit {
			b.tokens = min(limit, b.tokens+dt*b.rate(parts))
		}
		b.updated = now
	}
}

// setLimit applies the limit of a configuration that is at least as new as the known one and cuts what is stored.
func (b *bucket) setLimit(version uint64, l Limit, parts int, terms Terms) (changed bool) {
	if version < b.version || l.Rate <= 0 {
		return false
	}
	changed = l != b.limit
	b.version, b.limit = version, l
	if changed {
		b.tokens = min(b.tokens, b.received(parts, terms))
	}
	return changed
}

// setRole changes the role. A bucket that loses its place to another node gives up its tokens.
func (b *bucket) setRole(r Role, parts int, terms Terms) {
	if b.role == r {
		return
	}
	if b.role == RoleHome {
		b.tokens = min(b.tokens, 0)
	}
	b.role = r
	b.tokens = min(b.tokens, b.capacity(parts, terms))
}
