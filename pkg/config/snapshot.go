package config

import (
	"cmp"
	"crypto/sha256"
	"slices"
	"strings"
)

// Match is a route together with its policy.
type Match struct {
	Route  Route
	Policy Policy
}

// Snapshot is an immutable accepted configuration with its routing table.
type Snapshot struct {
	Version       Version
	Hash          string
	Configuration Configuration

	// table holds the routes by host and path prefix, so that the cost of Match depends on the number of path segments and
	// not on the number of routes.
	table map[string]map[string][]Match
	// longestPrefix is the length of the longest path prefix. Longer parts of a path need no lookup.
	longestPrefix int
	// tenantsByKey holds the tenants by the digest of each of their keys.
	tenantsByKey map[[sha256.Size]byte]*Tenant
}

// newSnapshot builds the snapshot of a consistent configuration. Of routes that match the same requests, the one whose name
// comes first is used on all nodes.
func newSnapshot(version Version, hash string, c Configuration) *Snapshot {
	s := &Snapshot{Version: version, Hash: hash, Configuration: c, table: make(map[string]map[string][]Match), tenantsByKey: indexKeys(c.Tenants)}
	for _, r := range c.Routes {
		host := normalizeHost(r.Host)
		prefixes := s.table[host]
		if prefixes == nil {
			prefixes = make(map[string][]Match)
			s.table[host] = prefixes
		}
		matches := append(prefixes[r.PathPrefix], Match{Route: r, Policy: c.Policies[r.Policy]})
		slices.SortFunc(matches, func(a, b Match) int { return cmp.Compare(a.Route.Name, b.Route.Name) })
		prefixes[r.PathPrefix] = matches
		s.longestPrefix = max(s.longestPrefix, len(r.PathPrefix))
	}
	return s
}

// Match returns the route with the longest path prefix that matches the host, method and path. Routes with the
// request's host take precedence over routes without a host. Prefixes match whole path segments: "/deposits" does not
// match "/deposits-old". Match does not allocate if the host is in lower case. The caller must not modify the result.
func (s *Snapshot) Match(host, method, path string) (*Match, bool) {
	if prefixes := s.table[normalizeHost(host)]; prefixes != nil {
		if m, ok := s.matchHost(prefixes, method, path); ok {
			return m, true
		}
	}
	return s.matchHost(s.table[""], method, path)
}

// normalizeHost returns the host of a Host header or of a route in lower case and without the port.
func normalizeHost(host string) string {
	// A colon before a closing bracket belongs to an IPv6 address.
	if i := strings.LastIndexByte(host, ':'); i > strings.LastIndexByte(host, ']') {
		host = host[:i]
	}
	return strings.ToLower(host)
}

func (s *Snapshot) matchHost(prefixes map[string][]Match, method, path string) (*Match, bool) {
	if len(prefixes) == 0 {
		return nil, false
	}
	if len(path) <= s.longestPrefix {
		if m := lookupPrefix(prefixes, method, path); m != nil {
			return m, true
		}
	}
	// All other candidate prefixes end at a slash of the path, with or without that slash.
	for end := min(len(path), s.longestPrefix+1); end > 0; {
		slash := strings.LastIndexByte(path[:end], '/')
		if slash < 0 {
			break
		}
		if m := lookupPrefix(prefixes, method, path[:slash+1]); m != nil {
			return m, true
		}
		if m := lookupPrefix(prefixes, method, path[:slash]); m != nil {
			return m, true
		}
		end = slash
	}
	return nil, false
}

// lookupPrefix returns the route with exactly this prefix that accepts the method, or nil.
func lookupPrefix(prefixes map[string][]Match, method, prefix string) *Match {
	matches := prefixes[prefix]
	for i := range matches {
		if methods := matches[i].Route.Methods; len(methods) == 0 || slices.Contains(methods, method) {
			return &matches[i]
		}
	}
	return nil
}

// Build returns the snapshot of a configuration that release notes have produced, or the errors of Check.
func Build(version Version, hash string, c Configuration) (*Snapshot, error) {
	if err := c.Check(); err != nil {
		return nil, err
	}
	return newSnapshot(version, hash, c), nil
}

// BuildAccepted returns the snapshot of a configuration that another system has accepted, or the errors of
// CheckConsistency.
func BuildAccepted(version Version, hash string, c Configuration) (*Snapshot, error) {
	if err := c.CheckConsistency(); err != nil {
		return nil, err
	}
	return newSnapshot(version, hash, c), nil
}
