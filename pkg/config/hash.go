package config

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"hash"
	"io"
	"maps"
	"slices"

	"github.com/monsoonlatch/monsoonlatch/pkg/fault"
)

// Hash returns the hexadecimal SHA-256 hash of the configuration's canonical JSON. In canonical JSON, map keys and
// lists that represent sets are sorted, and a missing map or list is encoded like an empty one.
func (c Configuration) Hash() (string, error) {
	w := jsonHasher{sum: sha256.New()}
	w.enc = json.NewEncoder(&w.buf)
	w.writeText("{")
	if c.Limits != (Limits{}) {
		w.writeText(`"limits":`)
		w.writeValue(c.Limits)
		w.writeText(",")
	}
	writeMap(&w, "services", c.Services, Service.canonical)
	w.writeText(",")
	writeMap(&w, "policies", c.Policies, func(p Policy) Policy { return p })
	w.writeText(",")
	writeMap(&w, "routes", c.Routes, Route.canonical)
	if len(c.Tenants) > 0 {
		// Without tenants, the hash is the one that nodes which do not know tenants compute.
		w.writeText(",")
		writeMap(&w, "tenants", c.Tenants, Tenant.canonical)
	}
	w.writeText("}")
	if w.err != nil {
		return "", fault.Wrap(fault.Invalid, "hash configuration", w.err, "correct the value that cannot be encoded as JSON")
	}
	return hex.EncodeToString(w.sum.Sum(nil)), nil
}

// jsonHasher computes a hash over JSON that is encoded item by item. The JSON of a configuration with thousands of
// routes is about a megabyte, more memory than a node otherwise needs for a configuration change.
type jsonHasher struct {
	sum hash.Hash
	buf bytes.Buffer
	enc *json.Encoder
	err error
}

func (w *jsonHasher) writeText(s string) { _, _ = io.WriteString(w.sum, s) } // A hash never fails.

func (w *jsonHasher) writeValue(v any) {
	w.buf.Reset()
	if err := w.enc.Encode(v); err != nil && w.err == nil {
		w.err = err
	}
	_, _ = w.sum.Write(bytes.TrimSuffix(w.buf.Bytes(), []byte("\n"))) // A hash never fails.
}

// writeMap hashes an object member whose value is a map, with sorted keys.
func writeMap[V any](w *jsonHasher, name string, m map[string]V, canonical func(V) V) {
	w.writeText(`"` + name + `":{`)
	var item V // Declared once for all items: its address escapes, so one per item would be allocated on the heap.
	for i, key := range slices.Sorted(maps.Keys(m)) {
		if i > 0 {
			w.writeText(",")
		}
		w.writeValue(&key)
		w.writeText(":")
		item = canonical(m[key])
		w.writeValue(&item)
	}
	w.writeText("}")
}

// Digest returns the hexadecimal SHA-256 hash of the note's JSON.
func (n ReleaseNote) Digest() (string, error) {
	return jsonDigest("digest of release note "+n.ID, n)
}

func jsonDigest(op string, v any) (string, error) {
	data, err := json.Marshal(v)
	if err != nil {
		return "", fault.Wrap(fault.Invalid, op, err, "correct the value that cannot be encoded as JSON")
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:]), nil
}

func (s Service) canonical() Service {
	s.CallableFrom = ensureSorted(s.CallableFrom)
	return s
}

func (r Route) canonical() Route {
	r.Methods = ensureSorted(r.Methods)
	return r
}

func (t Tenant) canonical() Tenant {
	t.Keys = ensureSorted(t.Keys)
	return t
}

// ensureSorted returns the list itself if it is already sorted, otherwise a sorted copy. Sharing the list is safe
// because lists of items are never modified in place.
func ensureSorted(list []string) []string {
	if len(list) > 0 && slices.IsSorted(list) {
		return list
	}
	return sortedCopy(list)
}

// sortedCopy returns a sorted copy. It returns nil for an empty list, because gob and JSON do not preserve empty lists.
func sortedCopy(list []string) []string {
	if len(list) == 0 {
		return nil
	}
	return slices.Sorted(slices.Values(list))
}

// Clone returns a copy with its own maps. The lists inside items are shared; they are never modified in place.
func (c Configuration) Clone() Configuration {
	return Configuration{Limits: c.Limits, Services: cloneMap(c.Services), Policies: cloneMap(c.Policies), Routes: cloneMap(c.Routes),
		Tenants: cloneMap(c.Tenants)}
}

func cloneMap[V any](m map[string]V) map[string]V {
	if m == nil {
		return make(map[string]V)
	}
	return maps.Clone(m)
}

// Equal reports whether s and other have the same content, regardless of the order of CallableFrom.
func (s Service) Equal(other Service) bool {
	return s.Name == other.Name && s.MaxConnections == other.MaxConnections && s.HealthPath == other.HealthPath && equalSets(s.CallableFrom, other.CallableFrom)
}

// Equal reports whether p and other have the same content.
func (p Policy) Equal(other Policy) bool {
	return p.Name == other.Name && p.Rank == other.Rank && p.Target == other.Target && p.Worth == other.Worth &&
		p.GuaranteedShare == other.GuaranteedShare && p.Deadline == other.Deadline && p.MaxRetries == other.MaxRetries &&
		p.IdempotencyWindow == other.IdempotencyWindow && maps.Equal(p.ClassRanks, other.ClassRanks)
}

// Equal reports whether t and other have the same content, regardless of the order of Keys.
func (t Tenant) Equal(other Tenant) bool {
	return t.Name == other.Name && t.PriorityClass == other.PriorityClass && t.Rate == other.Rate && t.Burst == other.Burst &&
		equalSets(t.Keys, other.Keys)
}

// Equal reports whether r and other have the same content, regardless of the order of Methods.
func (r Route) Equal(other Route) bool {
	return r.Name == other.Name && r.Host == other.Host && r.PathPrefix == other.PathPrefix && slices.Equal(r.Split, other.Split) && r.Service == other.Service && r.Policy == other.Policy &&
		r.Idempotent == other.Idempotent && r.Public == other.Public && equalSets(r.Methods, other.Methods)
}

// equalSets compares two lists regardless of their order. Lists in accepted configurations are sorted, so the direct
// comparison usually succeeds for equal lists.
func equalSets(a, b []string) bool {
	return slices.Equal(a, b) || len(a) == len(b) && slices.Equal(sortedCopy(a), sortedCopy(b))
}

// shortHash returns the first 12 characters of a hash for messages.
func shortHash(h string) string {
	return fmt.Sprintf("%.12s", h)
}
