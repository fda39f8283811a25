package rpcwire

import (
	"context"
	"testing"
	"time"
)

// Guards against counting key claims as control bytes, which have a budget, and against counting a response for the
// wrong method: net/rpc does not name the method in responses.
func TestKeyClaimsAreCountedSeparately(t *testing.T) {
	srv, set := testServer(t, ServerSettings{Address: "127.0.0.1:0", Networks: loopback})
	Handle(srv, "Keys.Claim", func(_ context.Context, a, r *Text) error { r.S = a.S + a.S; return nil })
	if err := srv.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	p, pset := newPool(t, PoolSettings{})
	for _, method := range []string{"T.Echo", "Keys.Claim", "T.Echo"} {
		if _, err := call(p, 5*time.Second, srv.Addr(), method, "0123456789"); err != nil {
			t.Fatal(err)
		}
	}
	server, client := set.Snapshot(), pset.Snapshot()
	for _, kind := range []string{"control", "keys"} {
		if in, out := server[kind+".server.bytes_in"], client[kind+".client.bytes_out"]; in < 10 || in != out {
			t.Errorf("%s: server received %d bytes, client sent %d", kind, in, out)
		}
	}
	if got := client["keys.client.bytes_in"]; got < 20 || got > 60 {
		t.Errorf("one response of 20 characters counts as %d bytes", got)
	}
	if got := client["control.client.bytes_in"]; got < 20 {
		t.Errorf("two responses of 10 characters count as %d bytes", got)
	}
}
