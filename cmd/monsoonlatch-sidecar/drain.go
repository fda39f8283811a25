package main

import (
	"context"
	"errors"
	"time"

	"github.com/rs/zerolog"

	"github.com/monsoonlatch/monsoonlatch/pkg/admission"
	"github.com/monsoonlatch/monsoonlatch/pkg/announce"
	"github.com/monsoonlatch/monsoonlatch/pkg/clock"
	"github.com/monsoonlatch/monsoonlatch/pkg/event"
	"github.com/monsoonlatch/monsoonlatch/pkg/proxy"
)

const (
	// exitMargin is the part of the grace period reserved for closing the listeners before SIGKILL.
	exitMargin = 300 * time.Millisecond
	// drainAnnouncementTime is how long other nodes may take to learn that this one is draining; until then the egress
	// accepts their calls.
	drainAnnouncementTime = 300 * time.Millisecond
	// deregistrationTime is how long the platform may take to stop sending callers to this node: it probes readiness
	// every second and removes a node after two failed probes. Until then the node serves callers and accepts work for
	// its backend server, which keeps running: draining earlier would take its capacity away from its service.
	deregistrationTime = 2200 * time.Millisecond
	// quietPeriod is how long no call must have been in flight before the callers are considered gone.
	quietPeriod = 300 * time.Millisecond
	// responseMargin is the time reserved at the end of the grace period for responses that arrive just before their
	// deadline.
	responseMargin = 300 * time.Millisecond
)

// drainer is the last service to start and the first to stop. Its Stop method shuts the data path down gracefully.
type drainer struct {
	ready     *readiness
	ingress   *proxy.Ingress
	egress    *proxy.Egress
	announcer *announce.BackendTracker
	log       zerolog.Logger
	gate      *admission.Gate
	// endCalls ends the calls of callers that are still in flight: those that were sent to another node are answered with an
	// unknown outcome.
	endCalls context.CancelFunc
}

func (d *drainer) Name() string { return "drainer" }

func (d *drainer) Start(context.Context) error { return nil }

// Stop reports this node as not ready to the platform and as draining to the other nodes, serves callers until they
// have moved to other nodes, and finishes the work in progress.
func (d *drainer) Stop(ctx context.Context) error {
	event.NodeStopping.Write(event.NodeStopping.Log(&d.log))
	d.ready.shuttingDown.Store(true)
	if end, ok := ctx.Deadline(); ok { // The kernel always sets a deadline.
		end = end.Add(-responseMargin)
		d.ingress.BeginShutdown(end)
		d.egress.BeginShutdown(end)
		// A call may wait in another node's queue for longer than this node's grace period.
		defer time.AfterFunc(time.Until(end), d.endCalls).Stop()
	}
	clock.Sleep(ctx, deregistrationTime)
	d.announcer.Withdraw()
	clock.Sleep(ctx, drainAnnouncementTime)
	d.egress.BeginDrain()
	// A call that starts from the queue now could outlast this node. Refused as not run, it moves on to another one.
	d.gate.SetSlots(0)
	d.ingress.WaitQuiet(ctx, quietPeriod)
	d.ingress.BeginDrain()
	return errors.Join(d.egress.WaitIdle(ctx), d.ingress.WaitIdle(ctx))
}
