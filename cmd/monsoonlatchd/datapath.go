package main

import (
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
	s, now, node := b.settings, find[clock.Clock](b, nameClock), find[*syncer.Syncer](b, nameSyncer)
	if b.Err != nil {
		return
	}
	slots := admission.NewGate(discipline(s), now)
	b.Provide(nameGate, slots)
	b.Provide(nameAnnounce, announce.New(announce.Settings{
		Instance: node.Self(), Backend: netip.MustParseAddrPort(s.BackendServer).Addr(), Clock: now, Log: b.log,
		OnChange: func(i membership.Instance) {
			i.Slots = min(i.Slots, s.Slots)
			if i.State == membership.StateReady {
				slots.SetSlots(i.Slots)
			}
			node.UpdateSelf(i)
		},
	}))
}

func discipline(s *Settings) admission.Discipline {
	settings := admission.Settings{Slots: s.Slots}
	if s.Admission == "fifo" {
		return admission.NewFIFO(settings)
	}
	return admission.New(settings)
}

// buildEgress creates the egress, which passes calls to the local backend server, and its listener for other nodes.
func buildEgress(b *builder) {
	now, metrics, own := find[clock.Clock](b, nameClock), find[*metric.Set](b, nameMetrics), find[*announce.Service](b, nameAnnounce)
	if b.Err != nil {
		return
	}
	calls := proxy.NewCalls()
	backend := upstream.NewPool(upstream.Settings{Clock: now, MaxOpen: b.settings.Slots})
	egress := proxy.NewEgress(proxy.EgressSettings{
		Local: own, Gate: parts.Gate{Gate: find[*admission.Gate](b, nameGate)}, Guard: find[idempotency.Guard](b, nameIdempotency),
		Backend: backend, Calls: calls, Metrics: metrics, Clock: now, Log: b.log,
	})
	filter := &network.Listener{Allowed: find[network.Set](b, namePeers), Refused: func(remote string) {
		metrics.Refused(metric.RefusedForbidden)
		event.SourceRefused.Write(event.SourceRefused.Log(&b.log).Str("remote", remote))
	}}
	b.Provide(nameCalls, calls)
	b.Provide(nameEgress, egress)
	b.Register(parts.NewListener("peers", b.settings.Peers, filter, proxy.NewPeerServer(egress), b.log, own.Run, backend.Run))
}

// buildIngress creates the ingress, which accepts callers' requests, and its listener.
func buildIngress(b *builder) {
	s, now, node := b.settings, find[clock.Clock](b, nameClock), find[*syncer.Syncer](b, nameSyncer)
	peers := upstream.NewPool(upstream.Settings{Clock: now, Dial: find[dialFunc](b, nameDial)})
	ingress := proxy.NewIngress(proxy.IngressSettings{
		Self: membership.InstanceID(s.ID), Source: node, View: node, Guard: find[idempotency.Guard](b, nameIdempotency),
		Egress: find[*proxy.Egress](b, nameEgress), Calls: find[*proxy.Calls](b, nameCalls),
		Peers:  peers,
		Picker: balance.New(balance.Settings{AvailabilityZone: s.AvailabilityZone, Random: s.Choice == "random"}),
		Retry:  retry.NewBudgets(retry.Settings{Unlimited: s.Retries == "unlimited"}), Metrics: find[*metric.Set](b, nameMetrics),
		Clock: now, Log: b.log,
	})
	b.Provide(nameIngress, ingress)
	follow := &shares{source: node, gate: find[*admission.Gate](b, nameGate)}
	b.Register(parts.NewListener("callers", s.Callers, nil, proxy.NewServer(ingress), b.log, ingress.Run, peers.Run, every(sharesPeriod, follow.update)))
}

// sharesPeriod is the interval between checks for changed guaranteed shares, and thus the longest time until a change
// takes effect.
const sharesPeriod = time.Second

// shares applies the guaranteed shares of each new configuration to admission control.
type shares struct {
	source config.Source
	gate   *admission.Gate
	seen   config.Version
}

func (sh *shares) update() {
	snap := sh.source.Current()
	if snap == nil || snap.Version == sh.seen {
		return
	}
	sh.seen = snap.Version
	sh.gate.SetShares(sharesOf(snap))
}

// sharesOf returns the guaranteed share of each rank: the largest one of its policies.
func sharesOf(snap *config.Snapshot) map[int]float64 {
	byRank := make(map[int]float64)
	for _, p := range snap.Configuration.Policies {
		byRank[p.Rank] = max(byRank[p.Rank], p.GuaranteedShare)
	}
	return byRank
}
