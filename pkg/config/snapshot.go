package config

import (
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
}

// newSnapshot builds the snapshot of a configuration that has passed Check.
func newSnapshot(version Version, hash string, c Configuration) *Snapshot {
	s := &Snapshot{Version: version, Hash: hash, Configuration: c, table: make(map[string]map[string][]Match)}
	for _, r := range c.Routes {
		prefixes := s.table[r.Host]
		if prefixes == nil {
			prefixes = make(map[string][]Match)
			s.table[r.Host] = prefixes
		}
		prefixes[r.PathPrefix] = append(prefixes[r.PathPrefix], Match{Route: r, Policy: c.Policies[r.Policy]})
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

// normalizeHost returns the host of a Host header in lower case and without the port.
func normalizeHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
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

// Build checks the configuration and returns its snapshot.
func Build(version Version, hash string, c Configuration) (*Snapshot, error) {
	if err := c.Check(); err != nil {
		return nil, err
	}
	return newSnapshot(version, hash, c), nil
}
