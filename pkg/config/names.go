package config

import (
	"fmt"

	"github.com/monsoonlatch/monsoonlatch/pkg/fault"
)

// Limits on single values. They keep a head object readable and its size predictable.
const (
	// MaxNameBytes bounds names of services, policies, routes and release notes.
	MaxNameBytes = 63
	// MaxPrefixBytes bounds path prefixes, and with them the look-ups of one Match.
	MaxPrefixBytes = 256
	// MaxSummaryBytes bounds the author and the summary of a note, which the head keeps for 256 notes.
	MaxSummaryBytes = 512
	// MaxDeadline is the longest deadline of a policy.
	MaxDeadline = Duration(600e9)
	// MaxIdempotencyWindow bounds how long nodes keep records and tombstones in memory.
	MaxIdempotencyWindow = Duration(3600e9)
	// MaxMaxRetries bounds retries of one call at one node.
	MaxMaxRetries = 10
	// MaxWeight bounds the weight of one part of a split.
	MaxWeight = 1_000_000
	// MaxHostBytes is the longest host name that the domain name system allows.
	MaxHostBytes = 253
	// MaxWorth bounds the weight of one answer.
	MaxWorth = 1_000_000
)

// checkName accepts letters, digits, dots, hyphens and underscores, with a letter or digit at both ends.
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

// checkPrefix accepts absolute paths in the form that a request path has after cleaning.
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

// checkHost accepts an empty host, and lower-case host names without a port.
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
