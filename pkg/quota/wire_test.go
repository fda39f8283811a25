package quota

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/monsoonlatch/monsoonlatch/pkg/clock"
	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
	"github.com/monsoonlatch/monsoonlatch/pkg/network"
	"github.com/monsoonlatch/monsoonlatch/pkg/rpcwire"
)

// Guards against messages that net/rpc cannot carry, and against an ended process that is not recognised as such by the
// errors of the real pool.
func TestServiceOverRPC(t *testing.T) {
	networks, err := network.Parse([]string{"127.0.0.0/8"})
	if err != nil {
		t.Fatal(err)
	}
	const nodes = 4
	var all []membership.Instance
	var listeners []net.Listener
	for i := range nodes {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners = append(listeners, ln)
		in := records(2, nodes/2)[i]
		in.ControlAddress = ln.Addr().String()
		all = append(all, in)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var servers []*rpcwire.Server
	var services []*Service
	transferring, stopTransfers := context.WithCancel(ctx)
	defer stopTransfers()
	var running, transfers sync.WaitGroup
	for i, in := range all {
		set := metric.NewSet()
		server := rpcwire.NewServer(rpcwire.ServerSettings{Networks: networks}, zerolog.Nop(), set)
		pool := rpcwire.NewPool(rpcwire.PoolSettings{}, set)
		view := &meshView{records: make(map[membership.InstanceID]membership.Instance), changed: make(chan struct{}, 1)}
		for _, o := range all {
			view.records[o.ID] = o
		}
		s := New(Settings{Self: in.ID, AvailabilityZone: in.AvailabilityZone, View: view, Caller: pool, Terms: testTerms, Clock: clock.System{},
			Metrics: set, Log: zerolog.Nop()}, server)
		server.Serve(listeners[i])
		running.Go(func() { s.Run(ctx) })
		transfers.Go(func() { s.RunTransfers(transferring) })
		servers, services = append(servers, server), append(services, s)
		defer pool.Close()
		defer func() { _ = server.Stop(context.Background()) }()
	}
	defer running.Wait()
	defer transfers.Wait()
	defer cancel()
	l := Limit{Tenant: "wired", Rate: 1e4, Burst: 1e4}
	home, _ := services[0].topology.Load().Home("zone-0", l.Tenant)
	homeIndex, asking := 0, 2
	if home.ID == all[2].ID {
		homeIndex, asking = 2, 0
	}
	if ok, _ := services[asking].Admit(t.Context(), l, time.Now()); !ok {
		t.Error("a request within the quota was refused by the home")
	}
	if n := services[homeIndex].Metrics.Snapshot()["quota.granted"]; n != 0 {
		t.Errorf("the home counted %d admitted requests of its own", n)
	}
	services[homeIndex].mu.Lock()
	b := services[homeIndex].ledger.buckets[l.Tenant]
	services[homeIndex].mu.Unlock()
	if b == nil {
		t.Error("the home has no bucket of the tenant")
	}
	other, _ := services[0].topology.Load().Home("zone-1", l.Tenant)
	// A home that is short of tokens starts transfers of its own, which count too.
	stopTransfers()
	transfers.Wait()
	for len(services[homeIndex].transferSlots) > 0 {
		time.Sleep(time.Millisecond)
	}
	tokensReceived := func() int64 { return services[homeIndex].Metrics.Snapshot()["quota.tokens_received"] }
	before := tokensReceived()
	services[homeIndex].transfer(t.Context(), other, Request{Zone: "zone-1", Limit: l, Want: 1})
	if n := tokensReceived() - before; n != 1 {
		t.Errorf("%d tokens received from the other zone, want 1", n)
	}
	_ = servers[homeIndex].Stop(t.Context())
	var ok bool
	for range 20 {
		if ok, _ = services[asking].Admit(t.Context(), l, time.Now()); ok {
			break
		}
	}
	if !ok || services[asking].condition(home.ID) != Gone {
		t.Errorf("admitted %v, condition of the home %v after its process has ended; want a stand-in", ok, services[asking].condition(home.ID))
	}
}
