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

// Hash returns the SHA-256 of the canonical JSON in hexadecimal. Canonical JSON has its map keys in order; a missing
// and an empty map or list are the same, and lists that are sets are in order.
func (c Configuration) Hash() (string, error) {
	w := jsonHash{sum: sha256.New()}
	w.enc = json.NewEncoder(&w.buf)
	w.text("{")
	if c.Limits != (Limits{}) {
		w.text(`"limits":`)
		w.value(c.Limits)
		w.text(",")
	}
	writeMap(&w, "services", c.Services, Service.canonical)
	w.text(",")
	writeMap(&w, "policies", c.Policies, func(p Policy) Policy { return p })
	w.text(",")
	writeMap(&w, "routes", c.Routes, Route.canonical)
	w.text("}")
	if w.err != nil {
		return "", fault.Wrap(fault.Invalid, "hash configuration", w.err, "correct the value that cannot be written as JSON")
	}
	return hex.EncodeToString(w.sum.Sum(nil)), nil
}

// jsonHash hashes JSON item by item: the text of a configuration with thousands of routes is about a megabyte, more than
// a node otherwise needs at a change.
type jsonHash struct {
	sum hash.Hash
	buf bytes.Buffer
	enc *json.Encoder
	err error
}

func (w *jsonHash) text(s string) { _, _ = io.WriteString(w.sum, s) } // A hash never fails.

func (w *jsonHash) value(v any) {
	w.buf.Reset()
	if err := w.enc.Encode(v); err != nil && w.err == nil {
		w.err = err
	}
	_, _ = w.sum.Write(bytes.TrimSuffix(w.buf.Bytes(), []byte("\n"))) // A hash never fails.
}

// writeMap writes a member whose value is a map, with its keys in order.
func writeMap[V any](w *jsonHash, name string, m map[string]V, canonical func(V) V) {
	w.text(`"` + name + `":{`)
	var item V // one for all, since a pointer to it is handed on
	for i, key := range slices.Sorted(maps.Keys(m)) {
		if i > 0 {
			w.text(",")
		}
		w.value(&key)
		w.text(":")
		item = canonical(m[key])
		w.value(&item)
	}
	w.text("}")
}

// Digest returns the SHA-256 of the note's JSON in hexadecimal.
func (n ReleaseNote) Digest() (string, error) {
	return digest("digest of release note "+n.ID, n)
}

func digest(op string, v any) (string, error) {
	data, err := json.Marshal(v)
	if err != nil {
		return "", fault.Wrap(fault.Invalid, op, err, "correct the value that cannot be written as JSON")
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:]), nil
}

func (s Service) canonical() Service {
	s.CallableFrom = inOrder(s.CallableFrom)
	return s
}

func (r Route) canonical() Route {
	r.Methods = inOrder(r.Methods)
	return r
}

// inOrder is sorted without a copy of a list that is in order already; nothing changes the lists of items in place.
func inOrder(list []string) []string {
	if len(list) > 0 && slices.IsSorted(list) {
		return list
	}
	return sorted(list)
}

// sorted returns a sorted copy, or nil for an empty list, so that a list survives gob and JSON unchanged.
func sorted(list []string) []string {
	if len(list) == 0 {
		return nil
	}
	return slices.Sorted(slices.Values(list))
}

// Clone returns a copy with maps of its own. The lists inside items are shared; nothing changes them in place.
func (c Configuration) Clone() Configuration {
	return Configuration{Limits: c.Limits, Services: cloneMap(c.Services), Policies: cloneMap(c.Policies), Routes: cloneMap(c.Routes)}
}

func cloneMap[V any](m map[string]V) map[string]V {
	if m == nil {
		return make(map[string]V)
	}
	return maps.Clone(m)
}

// Equal reports whether two services have the same content.
func (s Service) Equal(o Service) bool {
	return s.Name == o.Name && s.MaxConnections == o.MaxConnections && equalSets(s.CallableFrom, o.CallableFrom)
}

// Equal reports whether two routes have the same content.
func (r Route) Equal(o Route) bool {
	return r.Name == o.Name && r.Host == o.Host && r.PathPrefix == o.PathPrefix && slices.Equal(r.Split, o.Split) && r.Service == o.Service && r.Policy == o.Policy &&
		r.Idempotent == o.Idempotent && equalSets(r.Methods, o.Methods)
}

// equalSets compares lists without regard to order. Accepted configurations are sorted, so the first test mostly decides.
func equalSets(a, b []string) bool {
	return slices.Equal(a, b) || len(a) == len(b) && slices.Equal(sorted(a), sorted(b))
}

// shortHash shortens a hash for messages.
func shortHash(h string) string {
	return fmt.Sprintf("%.12s", h)
}
