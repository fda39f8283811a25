package network

import (
	"net"
	"testing"
	"time"
)

// Guards against a close by the other end that is not noticed because data from before it has not been read, and against an
// open connection that counts as closed.
func TestPeerLeft(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	client, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	server, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	if _, err := client.Write([]byte("not read yet")); err != nil || PeerLeft(server) {
		t.Errorf("an open connection counts as closed; error %v", err)
	}
	client.Close()
	for range 1000 {
		if PeerLeft(server) {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Error("the close was not noticed within a second")
}
