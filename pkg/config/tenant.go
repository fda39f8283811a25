package config

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"math"
	"slices"
)

// KeyDigest returns the hexadecimal SHA-256 digest of an API key, the form in which a configuration holds it.
func KeyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// parseKeyDigest reverses the encoding of KeyDigest. Only lower case is valid, so that equal digests are equal strings.
func parseKeyDigest(digest string) (sum [sha256.Size]byte, ok bool) {
	if len(digest) != hex.EncodedLen(len(sum)) {
		return sum, false
	}
	for i := range len(digest) {
		if c := digest[i]; c >= 'A' && c <= 'F' {
			return sum, false
		}
	}
	_, err := hex.Decode(sum[:], []byte(digest))
	return sum, err == nil
}

// indexKeys returns the tenants by key digest. A key that several tenants list belongs to the one whose name comes first,
// on all nodes alike. Malformed digests match no key.
func indexKeys(tenants map[string]Tenant) map[[sha256.Size]byte]*Tenant {
	if len(tenants) == 0 {
		return nil
	}
	keys := 0
	for _, t := range tenants {
		keys += len(t.Keys)
	}
	index := make(map[[sha256.Size]byte]*Tenant, keys)
	for _, name := range slices.Sorted(maps.Keys(tenants)) {
		t := tenants[name]
		for _, digest := range t.Keys {
			if sum, ok := parseKeyDigest(digest); ok && index[sum] == nil {
				index[sum] = &t
			}
		}
	}
	return index
}

// HasTenants reports whether requests need an API key unless their route is public.
func (s *Snapshot) HasTenants() bool { return len(s.Configuration.Tenants) > 0 }

// TenantByKey returns the tenant that holds the API key. The lookup uses the digest of the key, so that its duration
// reveals nothing about how much of a guessed key is right. The caller must not modify the result.
func (s *Snapshot) TenantByKey(key string) (*Tenant, bool) {
	if key == "" || len(s.tenantsByKey) == 0 {
		return nil, false
	}
	t, ok := s.tenantsByKey[sha256.Sum256([]byte(key))]
	return t, ok
}

func (c Configuration) checkTenants() []error {
	var errs []error
	for _, key := range slices.Sorted(maps.Keys(c.Tenants)) {
		t := c.Tenants[key]
		errs = append(errs, checkItemKey("tenant", key, t.Name)...)
		if !validRate(t.Rate) || !validRate(t.Burst) {
			errs = append(errs, invalid("tenant "+key, fmt.Sprintf("rate %v or burst %v is not a number of 0 or more", t.Rate, t.Burst),
				"set the requests a second, or 0 for no limit"))
		}
	}
	return errs
}

func validRate(v float64) bool { return v >= 0 && !math.IsInf(v, 0) }

// checkTenantKeys reports malformed digests of keys, and digests that are listed more than once.
func (c Configuration) checkTenantKeys() []error {
	var errs []error
	owner := make(map[string]string)
	for _, key := range slices.Sorted(maps.Keys(c.Tenants)) {
		for _, digest := range c.Tenants[key].Keys {
			if _, ok := parseKeyDigest(digest); !ok {
				// The value is not shown: it may be a key that was entered in place of its digest.
				errs = append(errs, invalid("tenant "+key, "a key is not a SHA-256 digest of 64 lower-case hexadecimal digits",
					"list the output of sha256sum for the key, never the key itself"))
				continue
			}
			if other, ok := owner[digest]; ok {
				errs = append(errs, invalid("tenant "+key, fmt.Sprintf("lists key %s, which tenant %s already lists", shortHash(digest), other),
					"give each tenant keys of its own, and list each only once"))
				continue
			}
			owner[digest] = key
		}
	}
	return errs
}
