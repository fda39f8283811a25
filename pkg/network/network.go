// Package network restricts listeners to allowed source networks and sets up outgoing connections that detect a
// broken network path.
package network

import (
	"fmt"
	"net"
	"net/netip"
)

// Set is a list of source networks.
type Set []netip.Prefix

// Parse returns the set of the given CIDR blocks and single IP addresses.
func Parse(blocks []string) (Set, error) {
	var set Set
	for _, b := range blocks {
		p, err := parseBlock(b)
		if err != nil {
			return nil, fmt.Errorf("network %q: want a CIDR block such as 10.0.0.0/8 or an IP address", b)
		}
		set = append(set, p)
	}
	return set, nil
}

func parseBlock(b string) (netip.Prefix, error) {
	if p, err := netip.ParsePrefix(b); err == nil {
		return p.Masked(), nil
	}
	a, err := netip.ParseAddr(b)
	if err != nil {
		return netip.Prefix{}, err
	}
	a = a.Unmap()
	return netip.PrefixFrom(a, a.BitLen()), nil
}

// Contains reports whether the IP of an address in the form "ip:port" is in the set. A malformed address is in no set.
func (s Set) Contains(hostPort string) bool {
	ap, err := netip.ParseAddrPort(hostPort)
	if err != nil {
		return false
	}
	addr := ap.Addr().Unmap()
	for _, p := range s {
		if p.Contains(addr) {
			return true
		}
	}
	return false
}

// Listener closes connections from outside the allowed networks before it reads any data from them.
type Listener struct {
	net.Listener
	Allowed Set
	// OnRefused is called with the remote address of each refused connection; it may be nil.
	OnRefused func(remote string)
}

// Accept returns the next connection from an allowed network.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		remote := c.RemoteAddr().String()
		if l.Allowed.Contains(remote) {
			return c, nil
		}
		_ = c.Close()
		if l.OnRefused != nil {
			l.OnRefused(remote)
		}
	}
}
