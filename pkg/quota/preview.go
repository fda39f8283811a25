package quota

import (
	"slices"
	"time"
)

// Preview tells what Admit would decide now, as far as the node knows without asking another one. It uses no token and counts
// no request. If known is false, the node holds no token and would ask the home of the tenant.
func (s *Service) Preview(l Limit, now time.Time) (known, ok bool, retryAfter time.Duration) {
	if l.Rate <= 0 {
		return true, true, 0
	}
	t := s.topology.Load()
	if !s.isComplete(t) {
		return true, false, startRetryAfter
	}
	ranked := t.Ranked(l.Tenant)
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(ranked) > 0 && ranked[0].ID == s.Self && !s.contact.Isolated() {
		ok, wait := s.ledger.Preview(now, l, s.Version())
		return true, ok, wait
	}
	e := s.accounts[l.Tenant]
	if e == nil {
		return false, false, 0
	}
	copied := *e.Account
	copied.lots = slices.Clone(e.lots)
	switch copied.Decide(now) {
	case Admit:
		return true, true, 0
	case Refuse:
		return true, false, copied.RetryAfter(now)
	}
	return false, false, 0
}

// Preview reports whether a token could be taken from the bucket of a tenant in the role of its home, and otherwise the time to
// wait. It changes nothing.
func (l *Ledger) Preview(now time.Time, limit Limit, version uint64) (ok bool, wait time.Duration) {
	trial := Ledger{terms: l.terms, parts: l.parts, since: l.since, buckets: make(map[string]*bucket, 1)}
	if b := l.buckets[limit.Tenant]; b != nil {
		copied := *b
		trial.buckets[limit.Tenant] = &copied
	} else if len(l.buckets) >= maxTenants {
		return false, time.Second
	}
	g := trial.Take(now, RoleHome, Ask{Limit: limit, Version: version, Need: 1, Arrived: 1})
	return g.Tokens > 0, g.Wait
}
