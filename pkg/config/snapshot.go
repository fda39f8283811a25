package config

import (
	"slices"
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

	// table holds the routes by host and exact prefix, so that a request costs one look-up per path segment however
	// many routes there are.
	table map[string]map[string][]Match
	// longest is the length of the longest prefix; longer parts of a path are not looked up.
	longest int
}

// newSnapshot builds the routing table of a configuration that has passed its check.
func newSnapshot(version Version, hash string, c Configuration) *Snapshot {
	s := &Snapshot{Version: version, Hash: hash, Configuration: c, table: make(map[string]map[string][]Match)}
	for _, r := range c.Routes {
		prefixes := s.table[r.Host]
		if prefixes == nil {
			prefixes = make(map[string][]Match)
			s.table[r.Host] = prefixes
		}
		prefixes[r.PathPrefix] = append(prefixes[r.PathPrefix], Match{Route: r, Policy: c.Policies[r.Policy]})
		s.longest = max(s.longest, len(r.PathPrefix))
	}
	return s
}

// Match returns the most specific route that takes the host, method and path. Routes of the host go before those for
// every host. Prefixes match whole path segments, so that "/deposits" does not take "/deposits-old". It does not
// allocate for a host in lower case. The caller must not change the result.
func (s *Snapshot) Match(host, method, path string) (*Match, bool) {
	if prefixes := s.table[hostName(host)]; prefixes != nil {
		if m, ok := s.match(prefixes, method, path); ok {
			return m, true
		}
	}
	return s.match(s.table[""], method, path)
}

// hostName removes the port and the case of a host header.
func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	return strings.ToLower(host)
}

func (s *Snapshot) match(prefixes map[string][]Match, method, path string) (*Match, bool) {
	if len(prefixes) == 0 {
		return nil, false
	}
	if len(path) <= s.longest {
		if m := lookup(prefixes, method, path); m != nil {
			return m, true
		}
	}
	// Other candidates end with a slash or before one.
	for end := min(len(path), s.longest+1); end > 0; {
		slash := strings.LastIndexByte(path[:end], '/')
		if slash < 0 {
			break
		}
		if m := lookup(prefixes, method, path[:slash+1]); m != nil {
			return m, true
		}
		if m := lookup(prefixes, method, path[:slash]); m != nil {
			return m, true
		}
		end = slash
	}
	return nil, false
}

// lookup returns the match with exactly this prefix.
func lookup(prefixes map[string][]Match, method, prefix string) *Match {
	matches := prefixes[prefix]
	for i := range matches {
		if methods := matches[i].Route.Methods; len(methods) == 0 || slices.Contains(methods, method) {
			return &matches[i]
		}
	}
	return nil
}

// Build checks a configuration and returns its snapshot.
func Build(version Version, hash string, c Configuration) (*Snapshot, error) {
	if err := c.Check(); err != nil {
		return nil, err
	}
	return newSnapshot(version, hash, c), nil
}
