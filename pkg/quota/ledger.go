package quota

import (
	"math"
	"time"
)

const (
	// idleTime is the time without use after which the state of a tenant is dropped.
	idleTime = time.Minute
	// maxTenants limits the tenants with state on one node.
	maxTenants = 1 << 16
	// maxRetryAfter is the longest time after which a refused caller is asked to come back.
	maxRetryAfter = 5 * time.Second
	// aheadShare is the share of the tokens in the bucket, beyond those for waiting requests, that is granted ahead of
	// demand to one node.
	aheadShare = 0.25
	// bookingMargin lengthens the time between callers that are told to come back, because the random parts of their
	// times and new requests let some of them collide.
	bookingMargin = 1.1
)

// Ask is a request for tokens of one tenant.
type Ask struct {
	Limit Limit
	// Version is the version of the configuration that Limit is from.
	Version uint64
	// Need is the number of requests that wait, Ahead the number of tokens wanted ahead of demand.
	Need, Ahead int
	// Arrived is the number of requests that arrived at the node since its last Ask, and Refused the number among them
	// that it refused without asking.
	Arrived, Refused int
}

// Grant is the answer to an Ask.
type Grant struct {
	Tokens int
	// Wait is the time until a refused caller can get a token; Spacing is the additional time for each further caller in
	// the zone. Demand is the demand in the zone per second, of which a node has its share.
	Wait, Spacing time.Duration
	Demand        float64
	// Short is set when tokens should be requested from other zones.
	Short bool
	// LimitChanged is set when the limit differs from the one of the last Ask.
	LimitChanged bool
}

// Ledger holds the buckets of the tenants for which a node is the home or stands in.
type Ledger struct {
	terms Terms
	parts int
	// topology is the one followed last, or nil.
	topology *Topology
	// since is the time since which no tenant can have moved to this node from another home.
	since   time.Time
	buckets map[string]*bucket
}

// NewLedger returns an empty ledger of a node that starts now.
func NewLedger(now time.Time, terms Terms) *Ledger {
	return &Ledger{terms: terms, parts: 1, since: now, buckets: make(map[string]*bucket)}
}

// Follow adopts a topology in which the nodes of the own zone or the number of parts have changed. Buckets of tenants
// whose home is now another node lose their tokens.
func (l *Ledger) Follow(now time.Time, t, old *Topology) {
	for tenant, b := range l.buckets {
		b.refill(now, l.parts, l.terms)
		if b.role == RoleHome && !t.IsHome(tenant) {
			delete(l.buckets, tenant)
		}
	}
	if t.mayGain(old) {
		l.since = now
	}
	l.topology, l.parts = t, t.parts
}

// bucket returns the bucket of a tenant in the given role, or nil if there are too many. A new bucket of a home holds what
// its rate has produced since the node started or may have become the home; one of a stand-in starts now, and so does that
// of a home that the topology no longer names.
func (l *Ledger) bucket(now time.Time, role Role, version uint64, limit Limit) (b *bucket, changed bool) {
	b = l.buckets[limit.Tenant]
	if b == nil {
		if len(l.buckets) >= maxTenants {
			return nil, false
		}
		b = &bucket{limit: limit, version: version, role: role, tokens: firstTokens, updated: now}
		if role == RoleHome && (l.topology == nil || l.topology.IsHome(limit.Tenant)) {
			b.updated = l.since
		}
		l.buckets[limit.Tenant] = b
	}
	b.refill(now, l.parts, l.terms)
	b.setRole(role, l.parts, l.terms)
	b.used = now
	return b, b.setLimit(version, limit, l.parts, l.terms)
}

// Take grants tokens from the bucket of a tenant and books the callers for which there are none.
func (l *Ledger) Take(now time.Time, role Role, ask Ask) Grant {
	return l.Book(now, ask, l.Draw(now, role, ask))
}

// Draw grants tokens from the bucket of a tenant. If there are too few, the caller passes the grant to Book, or draws again
// after tokens from other zones have arrived.
func (l *Ledger) Draw(now time.Time, role Role, ask Ask) Grant {
	b, changed := l.bucket(now, role, ask.Version, ask.Limit)
	if b == nil {
		return Grant{}
	}
	g := Grant{LimitChanged: changed, Spacing: seconds(bookingMargin / b.rate(l.parts))}
	b.demand.add(now, float64(max(0, ask.Arrived)))
	g.Demand = b.demand.rate(now)
	available := max(0, b.tokens)
	need := min(float64(max(0, ask.Need)), math.Floor(available))
	ahead := min(float64(max(0, ask.Ahead)), math.Floor((available-need)*aheadShare))
	if int(need) < ask.Need {
		ahead = 0
	}
	b.tokens -= need + ahead
	g.Tokens = int(need + ahead)
	g.Short = l.short(now, b)
	return g
}

// Book puts the callers that a grant leaves without a token, and those refused without asking, in the queue of the bucket,
// and returns the grant with the time until the first of them can get one.
func (l *Ledger) Book(now time.Time, ask Ask, g Grant) Grant {
	refused := max(0, ask.Need-g.Tokens) + max(0, ask.Refused)
	if refused == 0 {
		return g
	}
	b := l.buckets[ask.Limit.Tenant]
	if b == nil {
		g.Wait = time.Second
		return g
	}
	first := now.Add(seconds((1 - b.tokens) / b.rate(l.parts)))
	if b.queueEnd.Before(first) {
		b.queueEnd = first
	}
	g.Wait = min(maxRetryAfter, b.queueEnd.Sub(now))
	b.queueEnd = b.queueEnd.Add(time.Duration(min(refused, 1<<20)) * g.Spacing)
	if latest := now.Add(maxRetryAfter); b.queueEnd.After(latest) {
		b.queueEnd = latest
	}
	return g
}

// surplusDemand returns the demand per second beyond the rate of the zone.
func (l *Ledger) surplusDemand(now time.Time, b *bucket) float64 {
	return max(0, b.demand.rate(now)-b.rate(l.parts))
}

// short reports whether tokens should be requested from other zones: the bucket is about to run out. Stand-ins request
// tokens too, since moved tokens are safe beside a home that still grants.
func (l *Ledger) short(now time.Time, b *bucket) bool {
	return l.parts > 1 && !now.Before(b.nextTransfer) && b.tokens < max(2, l.surplusDemand(now, b)*leadTime.Seconds())
}

// Request is a request for tokens to another zone.
type Request struct {
	Zone    string
	Limit   Limit
	Want    float64
	Version uint64
}

// Requests returns the requests for tokens that a tenant needs now; none if it has enough or has asked just now. A small
// need goes to one zone, and to the others in turn. A greater one is divided between all, and so is any for which a request
// waits, since the one zone may have nothing to give.
func (l *Ledger) Requests(now time.Time, tenant string, zones []string, waiting bool) []Request {
	b := l.buckets[tenant]
	if b == nil || len(zones) == 0 {
		return nil
	}
	b.refill(now, l.parts, l.terms)
	if !l.short(now, b) {
		return nil
	}
	span := l.terms.exchangeSpan()
	// Two tokens cover the next request and the one after it when the expected demand is low.
	want := min(l.received(b)-b.tokens, l.surplusDemand(now, b)*span.Seconds()*transferMargin+2)
	if want < minTransfer {
		return nil
	}
	b.nextTransfer = now.Add(span)
	if b.fruitless >= len(zones) {
		b.nextTransfer = now.Add(fruitlessPause)
	}
	b.turn++
	if want < 2*float64(len(zones)) && !waiting {
		return []Request{{Zone: zones[b.turn%len(zones)], Limit: b.limit, Want: want, Version: b.version}}
	}
	out := make([]Request, 0, len(zones))
	for _, z := range zones {
		out = append(out, Request{Zone: z, Limit: b.limit, Want: want / float64(len(zones)), Version: b.version})
	}
	return out
}

func (l *Ledger) received(b *bucket) float64 { return b.received(l.parts, l.terms) }

// Give removes tokens from the bucket of a tenant for another zone and returns their number. It keeps what the zone's own
// demand needs. A bucket that stores little gives some of what it will produce until the next transfer.
func (l *Ledger) Give(now time.Time, version uint64, limit Limit, want float64) float64 {
	b, _ := l.bucket(now, RoleHome, version, limit)
	if b == nil {
		return 0
	}
	own := b.demand.rate(now)
	keep := own * reservedTime.Seconds()
	if own > 0.1 {
		keep++
	}
	advance := max(0, b.rate(l.parts)*l.terms.exchangeSpan().Seconds()-b.capacity(l.parts, l.terms))
	given := min(want, b.tokens+advance-keep)
	if !(given >= minTransfer) { // Also false for NaN.
		return 0
	}
	b.tokens -= given
	return given
}

// Receive adds tokens that another zone has given. Tokens whose request was sent too long ago are dropped.
func (l *Ledger) Receive(now, sent time.Time, tenant string, given float64) (accepted float64) {
	b := l.buckets[tenant]
	if b == nil {
		return 0
	}
	if !(given >= minTransfer) {
		b.fruitless++
		return 0
	}
	b.fruitless = 0
	if now.Sub(sent) > l.terms.hold() {
		return 0
	}
	b.refill(now, l.parts, l.terms)
	accepted = max(0, min(given, l.received(b)-b.tokens))
	b.tokens += accepted
	return accepted
}

// Expire drops the state of tenants that were not used for idleTime.
func (l *Ledger) Expire(now time.Time) {
	for tenant, b := range l.buckets {
		if now.Sub(b.used) >= idleTime {
			delete(l.buckets, tenant)
		}
	}
}
