package config

import (
	"fmt"

	"github.com/monsoonlatch/monsoonlatch/pkg/fault"
)

// Limits on single values. They keep the head object readable and its size predictable.
const (
	// MaxNameBytes limits the names of services, policies, routes and tenants, and the ids of release notes.
	MaxNameBytes = 63
	// MaxPrefixBytes limits path prefixes, and thereby the number of map lookups of one Snapshot.Match.
	MaxPrefixBytes = 256
	// MaxSummaryBytes limits the author and the summary of a release note, which the head object stores for 256 notes.
	MaxSummaryBytes = 512
	// MaxDeadline is the longest deadline of a policy.
	MaxDeadline = Duration(600e9)
	// MaxIdempotencyWindow limits how long nodes keep idempotency records and tombstones in memory.
	MaxIdempotencyWindow = Duration(3600e9)
	// MaxPolicyRetries is the largest MaxRetries of a policy.
	MaxPolicyRetries = 10
	// MaxWeight limits the weight of one service in a split.
	MaxWeight = 1_000_000
	// MaxHostBytes is the maximum length of a host name in DNS.
	MaxHostBytes = 253
	// MaxWorth limits the weight of one response in reports.
	MaxWorth = 1_000_000
)

// checkName returns what is wrong with a name, or "". A name consists of letters, digits, dots, hyphens and
// underscores, and starts and ends with a letter or digit.
func checkName(name string) string {
	if name == "" {
		return "the name is empty"
	}
	if len(name) > MaxNameBytes {
		return fmt.Sprintf("the name has %d bytes, more than %d", len(name), MaxNameBytes)
	}
	if !alphanumeric(name[0]) || !alphanumeric(name[len(name)-1]) {
		return "the name must start and end with a letter or digit"
	}
	for i := range len(name) {
		if c := name[i]; !alphanumeric(c) && c != '-' && c != '_' && c != '.' {
			return fmt.Sprintf("the name contains %q", c)
		}
	}
	return ""
}

func alphanumeric(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
}

// checkPrefix returns what is wrong with a path prefix, or "". A prefix is an absolute path in the form of a normalised
// request path.
func checkPrefix(p string) string {
	switch {
	case p == "" || p[0] != '/':
		return fmt.Sprintf("path prefix %q does not start with a slash", p)
	case len(p) > MaxPrefixBytes:
		return fmt.Sprintf("the path prefix has %d bytes, more than %d", len(p), MaxPrefixBytes)
	}
	for i := range len(p) {
		c := p[i]
		if c <= ' ' || c >= 0x7f || c == '?' || c == '#' || c == '*' {
			return fmt.Sprintf("path prefix %q contains %q", p, c)
		}
		if c == '/' && i > 0 && p[i-1] == '/' {
			return fmt.Sprintf("path prefix %q contains an empty segment", p)
		}
	}
	return ""
}

// checkHost returns what is wrong with the host of a route, or "". A host is empty or a lower-case name without a port.
func checkHost(host string) string {
	if len(host) > MaxHostBytes {
		return fmt.Sprintf("the host has %d bytes, more than %d", len(host), MaxHostBytes)
	}
	for i := range len(host) {
		if c := host[i]; (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' && c != '.' && c != '_' {
			return fmt.Sprintf("host %q contains %q", host, c)
		}
	}
	return ""
}

func invalid(item, detail, remedy string) error {
	return fault.New(fault.Invalid, item, detail, remedy)
}
