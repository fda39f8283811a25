package main

import (
	"github.com/monsoonlatch/monsoonlatch/pkg/clock"
	"github.com/monsoonlatch/monsoonlatch/pkg/config"
	"github.com/monsoonlatch/monsoonlatch/pkg/idempotency"
	"github.com/monsoonlatch/monsoonlatch/pkg/intake"
	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
	"github.com/monsoonlatch/monsoonlatch/pkg/network"
	"github.com/monsoonlatch/monsoonlatch/pkg/platform"
	"github.com/monsoonlatch/monsoonlatch/pkg/relay"
	"github.com/monsoonlatch/monsoonlatch/pkg/rpcwire"
	"github.com/monsoonlatch/monsoonlatch/pkg/syncer"
)

// platformBurst is the burst of platform calls that a node may make. It lets a new relay read the head object, the
// relay leases and the status objects of the zones at once.
const platformBurst = 20

func buildPlatform(b *builder) {
	s, metrics := b.settings, find[*metric.Set](b, nameMetrics)
	client, err := platform.NewClient(platform.Settings{BaseURL: s.Platform, Token: s.PlatformToken, CallTimeout: s.PlatformTimeout})
	if err != nil {
		b.RecordError(err)
		return
	}
	b.Provide(namePlatform, platform.Limit(platform.Observe(client, &b.log, metrics), s.PlatformCallRate, platformBurst, metrics))
}

func buildControl(b *builder) {
	metrics := find[*metric.Set](b, nameMetrics)
	b.Provide(nameRPCPool, rpcwire.NewPool(rpcwire.PoolSettings{Dial: find[dialFunc](b, nameDial)}, metrics))
	budget := find[*intake.Budget](b, nameIntake)
	if b.Err != nil {
		return
	}
	b.Register(rpcwire.NewServer(rpcwire.ServerSettings{
		Address: b.settings.Control, Networks: find[network.Set](b, namePeerNetworks), Class: budget.Nodes(),
	}, b.log, metrics))
}

func buildSyncer(b *builder) {
	s, nodeClock := b.settings, find[clock.Clock](b, nameClock)
	self := membership.Instance{
		ID: membership.InstanceID(s.ID), Service: s.Service, AvailabilityZone: s.AvailabilityZone, Region: s.Region,
		PeerAddress: valueOrDefault(s.AdvertisePeers, s.Peers), ControlAddress: valueOrDefault(s.AdvertiseControl, s.Control),
		Slots: s.Slots, Incarnation: uint64(nodeClock.Now().UnixMilli()), Sequence: 1,
	}
	nodeSyncer := syncer.New(syncer.Settings{Instance: self, Seeds: s.Seeds, PlatformTimeout: s.PlatformTimeout},
		find[platform.Store](b, namePlatform), find[rpcwire.Caller](b, nameRPCPool), nodeClock, b.log, find[*metric.Set](b, nameMetrics))
	nodeSyncer.Register(find[*rpcwire.Server](b, nameControl))
	b.Register(nodeSyncer)
}

func valueOrDefault(v, fallback string) string {
	if v == "" {
		return fallback
	}
	return v
}

func buildRelay(b *builder) {
	nodeRelay := relay.New(relay.Settings{PlatformTimeout: b.settings.PlatformTimeout}, find[*syncer.Syncer](b, nameSyncer),
		find[platform.Store](b, namePlatform), find[rpcwire.Caller](b, nameRPCPool), find[clock.Clock](b, nameClock), b.log,
		find[*metric.Set](b, nameMetrics))
	nodeRelay.Register(find[*rpcwire.Server](b, nameControl))
	b.Register(nodeRelay)
}

func buildIdempotency(b *builder) {
	nodeSyncer := find[*syncer.Syncer](b, nameSyncer)
	self := func() idempotency.Claimant {
		own := nodeSyncer.Self()
		return idempotency.Claimant{ID: own.ID, Incarnation: own.Incarnation}
	}
	keys := idempotency.New(idempotency.Options{
		Self: self, Service: b.settings.Service, View: nodeSyncer, Caller: find[rpcwire.Caller](b, nameRPCPool),
		Store: find[platform.Store](b, namePlatform), Clock: find[clock.Clock](b, nameClock),
		Metrics: find[*metric.Set](b, nameMetrics), Log: b.log, MaxMembershipLag: b.settings.MembershipLag,
		MaxWindow: config.MaxIdempotencyWindow.Std(),
	})
	registerKeyMethods(find[*rpcwire.Server](b, nameControl), keys.Keys())
	b.Register(keys)
}

// registerKeyMethods registers the methods by which other nodes claim idempotency keys at this node.
func registerKeyMethods(server *rpcwire.Server, keys *idempotency.Keys) {
	rpcwire.HandleFunc(server, idempotency.KeysService+".Claim", keys.Claim)
	rpcwire.HandleFunc(server, idempotency.KeysService+".Outcome", keys.Outcome)
	rpcwire.HandleFunc(server, idempotency.KeysService+".Withdraw", keys.Withdraw)
	rpcwire.HandleFunc(server, idempotency.KeysService+".HandOver", keys.HandOver)
}
