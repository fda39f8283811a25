package config

import (
	"fmt"
	"maps"
	"slices"

	"github.com/monsoonlatch/monsoonlatch/pkg/fault"
)

// NewDelta returns the changes that turn configuration a of version from into configuration b of version to. toHash is
// the hash of b.
func NewDelta(from Version, a Configuration, to Version, toHash string, b Configuration) Delta {
	d := Delta{From: from, To: to, ToHash: toHash, Limits: b.Limits}
	d.Upsert.Services, d.Withdraw.Services = diffItems(a.Services, b.Services, Service.Equal)
	d.Upsert.Policies, d.Withdraw.Policies = diffItems(a.Policies, b.Policies, Policy.Equal)
	d.Upsert.Routes, d.Withdraw.Routes = diffItems(a.Routes, b.Routes, Route.Equal)
	d.Upsert.Tenants, d.Withdraw.Tenants = diffItems(a.Tenants, b.Tenants, Tenant.Equal)
	return d
}

// diffItems returns the values to add to or replace in a, and the names to remove from it, so that it equals b.
func diffItems[V any](a, b map[string]V, equal func(V, V) bool) (upsert []V, withdraw []string) {
	for _, name := range slices.Sorted(maps.Keys(b)) {
		if old, ok := a[name]; !ok || !equal(old, b[name]) {
			upsert = append(upsert, b[name])
		}
	}
	for _, name := range slices.Sorted(maps.Keys(a)) {
		if _, ok := b[name]; !ok {
			withdraw = append(withdraw, name)
		}
	}
	return upsert, withdraw
}

// Size returns the number of items that the delta changes or withdraws.
func (d Delta) Size() int {
	return len(d.Upsert.Services) + len(d.Upsert.Policies) + len(d.Upsert.Routes) + len(d.Upsert.Tenants) +
		len(d.Withdraw.Services) + len(d.Withdraw.Policies) + len(d.Withdraw.Routes) + len(d.Withdraw.Tenants)
}

// Apply applies the delta to a copy of base and returns the configuration of version d.To. If the hash of the result is
// not d.ToHash, it returns a Stale error, and the caller has to fetch the full configuration.
func (d Delta) Apply(base Configuration) (Configuration, error) { return ApplyAll(base, []Delta{d}) }

// ApplyAll applies the deltas in order, like Delta.Apply, but copies the input and hashes the result only once.
func ApplyAll(base Configuration, deltas []Delta) (Configuration, error) {
	out := base.Clone()
	var last Delta
	for _, d := range deltas {
		out.Limits = d.Limits
		mergeItems(out.Services, d.Upsert.Services, d.Withdraw.Services, func(s Service) string { return s.Name })
		mergeItems(out.Policies, d.Upsert.Policies, d.Withdraw.Policies, func(p Policy) string { return p.Name })
		mergeItems(out.Routes, d.Upsert.Routes, d.Withdraw.Routes, func(r Route) string { return r.Name })
		mergeItems(out.Tenants, d.Upsert.Tenants, d.Withdraw.Tenants, func(t Tenant) string { return t.Name })
		last = d
	}
	hash, err := out.Hash()
	if err != nil {
		return Configuration{}, err
	}
	if hash != last.ToHash {
		return Configuration{}, fault.New(fault.Stale, fmt.Sprintf("delta from version %d to %d", last.From, last.To),
			fmt.Sprintf("the resulting configuration has hash %s, expected %s", shortHash(hash), shortHash(last.ToHash)), "request the full configuration")
	}
	return out, nil
}

// mergeItems removes and then inserts items of m in place.
func mergeItems[V any](m map[string]V, upsert []V, withdraw []string, name func(V) string) {
	for _, n := range withdraw {
		delete(m, n)
	}
	for _, v := range upsert {
		m[name(v)] = v
	}
}
