package config

import (
	"sort"
	"strings"
)

// Match is the route of a request together with its policy.
type Match struct {
	Route  Route
	Policy Policy
}

// Snapshot is one accepted configuration with its routing table. It is immutable.
type Snapshot struct {
	Version       Version
	Hash          string
	Configuration Configuration

	table []Match
}

// newSnapshot builds the routing table of a configuration that has passed its check. Longer prefixes come first, so
// that the first match is the most specific one.
func newSnapshot(version Version, hash string, c Configuration) *Snapshot {
	s := &Snapshot{Version: version, Hash: hash, Configuration: c}
	for _, r := range c.Routes {
		s.table = append(s.table, Match{Route: r, Policy: c.Policies[r.Policy]})
	}
	sort.Slice(s.table, func(i, j int) bool {
		a, b := s.table[i].Route, s.table[j].Route
		if len(a.PathPrefix) != len(b.PathPrefix) {
			return len(a.PathPrefix) > len(b.PathPrefix)
		}
		return a.Name < b.Name
	})
	return s
}

// Match returns the most specific route that takes the method and path.
func (s *Snapshot) Match(method, path string) (*Match, bool) {
	for i := range s.table {
		m := &s.table[i]
		if matchesPath(m.Route.PathPrefix, path) && matchesMethod(m.Route.Methods, method) {
			return m, true
		}
	}
	return nil, false
}

// matchesPath compares whole path segments, so that "/deposits" does not take "/deposits-old".
func matchesPath(prefix, path string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || strings.HasSuffix(prefix, "/") || path[len(prefix)] == '/'
}

func matchesMethod(methods []string, method string) bool {
	if len(methods) == 0 {
		return true
	}
	for _, m := range methods {
		if m == method {
			return true
		}
	}
	return false
}

// Build checks a configuration and returns its snapshot.
func Build(version Version, hash string, c Configuration) (*Snapshot, error) {
	if err := c.Check(); err != nil {
		return nil, err
	}
	return newSnapshot(version, hash, c), nil
}
