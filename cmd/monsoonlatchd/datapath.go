package main

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/monsoonlatch/monsoonlatch/internal/parts"
	"github.com/monsoonlatch/monsoonlatch/pkg/admission"
	"github.com/monsoonlatch/monsoonlatch/pkg/announce"
	"github.com/monsoonlatch/monsoonlatch/pkg/balance"
	"github.com/monsoonlatch/monsoonlatch/pkg/clock"
	"github.com/monsoonlatch/monsoonlatch/pkg/config"
	"github.com/monsoonlatch/monsoonlatch/pkg/event"
	"github.com/monsoonlatch/monsoonlatch/pkg/idempotency"
	"github.com/monsoonlatch/monsoonlatch/pkg/intake"
	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
	"github.com/monsoonlatch/monsoonlatch/pkg/network"
	"github.com/monsoonlatch/monsoonlatch/pkg/proxy"
	"github.com/monsoonlatch/monsoonlatch/pkg/retry"
	"github.com/monsoonlatch/monsoonlatch/pkg/syncer"
	"github.com/monsoonlatch/monsoonlatch/pkg/upstream"
)

// buildAnnounce creates the admission gate and the service that accepts the backend server's announcements and passes
// them on to the gate and to the other nodes.
func buildAnnounce(b *builder) {
	s, nodeClock, nodeSyncer := b.settings, find[clock.Clock](b, nameClock), find[*syncer.Syncer](b, nameSyncer)
	if b.Err != nil {
		return
	}
	gate := admission.NewGate(newDiscipline(s), nodeClock)
	b.Provide(nameGate, gate)
	b.Provide(nameAnnounce, announce.New(announce.Settings{
		Instance: nodeSyncer.Self(), Backend: netip.MustParseAddrPort(s.BackendServer).Addr(), Clock: nodeClock, Log: b.log,
		OnChange: func(instance membership.Instance) {
			instance.Slots = min(instance.Slots, s.Slots)
			if instance.State == membership.StateReady {
				gate.SetSlots(instance.Slots)
			}
			nodeSyncer.UpdateSelf(instance)
		},
	}))
}

func newDiscipline(s *Settings) admission.Discipline {
	settings := admission.Settings{Slots: s.Slots}
	if s.Admission == "fifo" {
		return admission.NewFIFO(settings)
	}
	return admission.New(settings)
}

// buildEgress creates the egress, which passes calls to the local backend server, and its listener for other nodes.
func buildEgress(b *builder) {
	nodeClock, metrics, announcer := find[clock.Clock](b, nameClock), find[*metric.Set](b, nameMetrics), find[*announce.BackendTracker](b, nameAnnounce)
	if b.Err != nil {
		return
	}
	calls := proxy.NewCalls()
	backend := upstream.NewPool(upstream.Settings{Clock: nodeClock, MaxConnsPerHost: b.settings.Slots})
	egress := proxy.NewEgress(proxy.EgressSettings{
		Local: announcer, Gate: parts.Gate{Gate: find[*admission.Gate](b, nameGate)}, Guard: find[idempotency.Guard](b, nameIdempotency),
		Backend: backend, Calls: calls, Metrics: metrics, Clock: nodeClock, Log: b.log,
	})
	peerFilter := &network.Listener{Allowed: find[network.Set](b, namePeerNetworks), OnRefused: func(remote string) {
		metrics.CountRefusal(metric.RefusedForbidden)
		event.SourceRefused.Write(event.SourceRefused.Log(&b.log).Str("remote", remote))
	}}
	b.Provide(nameCalls, calls)
	b.Provide(nameEgress, egress)
	b.listen("peers", b.settings.Peers, peerFilter, proxy.NewPeerServer(egress), (*intake.Budget).Nodes, announcer.Run, backend.Run)
}

// buildIngress creates the ingress, which accepts callers' requests, and its listener.
func buildIngress(b *builder) {
	s, nodeClock, nodeSyncer := b.settings, find[clock.Clock](b, nameClock), find[*syncer.Syncer](b, nameSyncer)
	peers := upstream.NewPool(upstream.Settings{Clock: nodeClock, Dial: find[dialFunc](b, nameDial)})
	ingress := proxy.NewIngress(proxy.IngressSettings{
		Self: membership.InstanceID(s.ID), Source: nodeSyncer, View: nodeSyncer, Guard: find[idempotency.Guard](b, nameIdempotency),
		Egress: find[*proxy.Egress](b, nameEgress), Calls: find[*proxy.Calls](b, nameCalls),
		Peers:  peers,
		Picker: balance.New(balance.Settings{AvailabilityZone: s.AvailabilityZone, Random: s.Choice == "random"}),
		Retry:  retry.NewBudgets(retry.Settings{Unlimited: s.Retries == "unlimited"}), Metrics: find[*metric.Set](b, nameMetrics),
		Clock: nodeClock, Log: b.log,
	})
	b.Provide(nameIngress, ingress)
	updater := &shareUpdater{source: nodeSyncer, gate: find[*admission.Gate](b, nameGate)}
	b.listen("callers", s.Callers, nil, proxy.NewServer(ingress), (*intake.Budget).Callers, ingress.Run, peers.Run, runPeriodically(shareUpdatePeriod, updater.update))
}

// listen registers a listener for calls, whose connections belong to the given class.
func (b *builder) listen(name, address string, filter *network.Listener, s *http.Server, class func(*intake.Budget) *intake.Class, tasks ...func(context.Context)) {
	budget := find[*intake.Budget](b, nameIntake)
	if b.Err != nil {
		return
	}
	c := class(budget)
	c.Protect(s, proxy.Refuser(proxy.Native{}))
	b.Register(parts.NewListener(name, address, filter, s, c, b.log, tasks...))
}

// shareUpdatePeriod is the interval between checks for changed guaranteed shares, and thus the longest time until a
// change takes effect.
const shareUpdatePeriod = time.Second

// shareUpdater applies the guaranteed shares of each new configuration to admission control.
type shareUpdater struct {
	source         config.Source
	gate           *admission.Gate
	appliedVersion config.Version
}

func (u *shareUpdater) update() {
	snap := u.source.Current()
	if snap == nil || snap.Version == u.appliedVersion {
		return
	}
	u.appliedVersion = snap.Version
	u.gate.SetShares(sharesByRank(snap))
}

// sharesByRank returns the guaranteed share of slot time of each rank: the largest one of its policies.
func sharesByRank(snap *config.Snapshot) map[int]float64 {
	shares := make(map[int]float64)
	for _, p := range snap.Configuration.Policies {
		shares[p.Rank] = max(shares[p.Rank], p.GuaranteedShare)
	}
	return shares
}
