package network

import (
	"io"
	"net"
	"testing"
)

// IPv4-mapped IPv6 addresses must match like the IPv4 address that they stand for, a malformed address must match
// nothing, and a malformed block must be rejected.
func TestContains(t *testing.T) {
	set, err := Parse([]string{"10.1.0.0/16", "127.0.0.1"})
	if err != nil {
		t.Fatal(err)
	}
	for addr, want := range map[string]bool{
		"10.1.2.3:80": true, "[::ffff:10.1.2.3]:80": true, "10.2.0.1:80": false,
		"127.0.0.1:1": true, "127.0.0.2:1": false, "[::1]:9": false, "nonsense": false, "": false,
	} {
		if got := set.Contains(addr); got != want {
			t.Errorf("Contains(%q) = %v, want %v", addr, got, want)
		}
	}
	if _, err := Parse([]string{"10.0.0.0/40"}); err == nil {
		t.Error("Parse accepted an IPv4 prefix of 40 bits")
	}
}

// A connection from outside the allowed networks must be closed and reported instead of being returned by Accept.
func TestListenerClosesForeignConnections(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	refused := make(chan string, 1)
	foreign, _ := Parse([]string{"10.0.0.0/8"})
	l := &Listener{Listener: inner, Allowed: foreign, OnRefused: func(r string) { refused <- r }}
	go func() { _, _ = l.Accept() }()
	defer l.Close()
	c, err := net.Dial("tcp", inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := c.Read(make([]byte, 1)); err != io.EOF {
		t.Fatalf("read on a refused connection: %v, want EOF", err)
	}
	if got := <-refused; got != c.LocalAddr().String() {
		t.Fatalf("OnRefused was called for %s, want %s", got, c.LocalAddr())
	}
}
