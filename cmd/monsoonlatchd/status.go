package main

import (
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/admin"
	"github.com/monsoonlatch/monsoonlatch/pkg/announce"
	"github.com/monsoonlatch/monsoonlatch/pkg/clock"
	"github.com/monsoonlatch/monsoonlatch/pkg/idempotency"
	"github.com/monsoonlatch/monsoonlatch/pkg/intake"
	"github.com/monsoonlatch/monsoonlatch/pkg/kernel"
	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
	"github.com/monsoonlatch/monsoonlatch/pkg/relay"
	"github.com/monsoonlatch/monsoonlatch/pkg/syncer"
)

// stateReporter provides the state of the node for the admin endpoint.
type stateReporter struct {
	kernel *kernel.Kernel
	syncer *syncer.Syncer
	relay  *relay.Relay
	clock  clock.Clock
	// settlingTime is how long the membership must have been complete before requests with an
	// idempotency key are accepted.
	settlingTime time.Duration
}

func buildAdmin(b *builder) {
	st := &stateReporter{
		kernel: b.Kernel, syncer: find[*syncer.Syncer](b, nameSyncer), relay: find[*relay.Relay](b, nameRelay),
		clock: find[clock.Clock](b, nameClock), settlingTime: max(b.settings.MembershipLag, idempotency.DefaultSettlingTime),
	}
	budget := find[*intake.Budget](b, nameIntake)
	if b.Err != nil {
		return
	}
	b.Register(admin.New(admin.Settings{
		Listen: b.settings.Admin, Operators: b.networks(b.settings.OperatorNetworks), State: st.state, Ready: st.ready,
		Announce: find[*announce.BackendTracker](b, nameAnnounce), Metrics: find[*metric.Set](b, nameMetrics), Class: budget.Local(), Log: b.log,
	}))
}

func (st *stateReporter) ready() bool {
	return st.syncer.SubscriptionsLoaded() && st.kernel.State() == kernel.StateRunning
}

func (st *stateReporter) state() admin.State {
	self := st.syncer.Self()
	state := admin.State{
		ID: string(self.ID), Service: self.Service, AvailabilityZone: self.AvailabilityZone,
		Lifecycle: st.kernel.State(), BackendServer: self.State.String(),
	}
	if snap := st.syncer.Current(); snap != nil {
		state.Version, state.Hash = uint64(snap.Version), snap.Hash
	}
	_, state.Relay = st.relay.HeldSlot()
	since, complete := st.syncer.CompleteSince()
	state.MembershipSettled = complete && st.syncer.SubscriptionsLoaded() && st.clock.Now().Sub(since) > st.settlingTime
	return state
}
