package quota

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/monsoonlatch/monsoonlatch/pkg/clock"
	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
)

// localCaller answers each Ask in the same process with all tokens asked for.
type localCaller struct{}

func (localCaller) Call(_ context.Context, _, _ string, args, reply any) error {
	if a, ok := args.(*GrantArgs); ok {
		reply.(*GrantReply).Grant = Grant{Tokens: a.Ask.Need + a.Ask.Ahead}
	}
	return nil
}

func benchService(nodes int) *Service {
	view := &meshView{records: make(map[membership.InstanceID]membership.Instance), changed: make(chan struct{}, 1)}
	for _, in := range records(1, nodes) {
		view.records[in.ID] = in
	}
	return New(Settings{Self: "node-0", AvailabilityZone: "zone-0", View: view, Caller: localCaller{}, Terms: testTerms, Clock: clock.System{},
		Metrics: metric.NewSet(), Log: zerolog.Nop()}, nil)
}

func benchAdmit(b *testing.B, s *Service, l Limit) {
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			s.Admit(context.Background(), l, time.Now())
		}
	})
}

// The node is the home of the tenant.
func BenchmarkAdmitAtHome(b *testing.B) {
	s := benchService(1)
	s.ledger.since = time.Now().Add(-time.Hour)
	benchAdmit(b, s, Limit{Tenant: "home", Rate: 1e9, Burst: 1e9})
}

// Another node is the home, and tokens are taken ahead.
func BenchmarkAdmitHeldTokens(b *testing.B) {
	s := benchService(27)
	tenant := ""
	for _, c := range "abcdef" {
		if !s.topology.Load().IsHome(string(c)) {
			tenant = string(c)
		}
	}
	benchAdmit(b, s, Limit{Tenant: tenant, Rate: 1e9, Burst: 1e9})
}

// The tenant is over its quota.
func BenchmarkAdmitRefused(b *testing.B) {
	benchAdmit(b, benchService(1), Limit{Tenant: "over", Rate: 1, Burst: 1})
}

// The tenant has no quota.
func BenchmarkAdmitNoRate(b *testing.B) { benchAdmit(b, benchService(27), Limit{Tenant: "free"}) }
