package main

import (
	"context"
	"errors"
	"time"

	"github.com/rs/zerolog"

	"github.com/monsoonlatch/monsoonlatch/pkg/clock"
	"github.com/monsoonlatch/monsoonlatch/pkg/directory"
	"github.com/monsoonlatch/monsoonlatch/pkg/event"
	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
	"github.com/monsoonlatch/monsoonlatch/pkg/proxy"
)

const (
	// exitMargin is the part of the grace period reserved for closing the listeners before SIGKILL.
	exitMargin = 300 * time.Millisecond
	// newsTime is how long other nodes may take to learn that this one is draining; until then the egress accepts
	// their calls.
	newsTime = 300 * time.Millisecond
	// leaveTime is how long the platform may take to stop sending callers to this node: it probes readiness every
	// second and removes a node after two failed probes. Until then the node serves callers and accepts work for its
	// backend server, which keeps running: draining earlier would take its capacity away from its service.
	leaveTime = 2200 * time.Millisecond
	// quietTime is how long no call must have been in flight before the callers are considered gone.
	quietTime = 300 * time.Millisecond
	// answerTime is the time reserved at the end of the grace period for responses that arrive just before their
	// deadline.
	answerTime = 300 * time.Millisecond
)

// drainer is the last service to start and the first to stop. Its Stop method shuts the data path down gracefully.
type drainer struct {
	ready     *readiness
	ingress   *proxy.Ingress
	egress    *proxy.Egress
	publisher *directory.Publisher
	log       zerolog.Logger
}

func (d *drainer) Name() string { return "drainer" }

func (d *drainer) Start(context.Context) error { return nil }

// Stop reports this node as not ready to the platform and as draining to the other nodes, serves callers until they
// have moved to other nodes, and finishes the work in progress.
func (d *drainer) Stop(ctx context.Context) error {
	event.NodeStopping.Write(event.NodeStopping.Log(&d.log))
	d.ready.leaving.Store(true)
	if end, ok := ctx.Deadline(); ok { // The kernel always sets a deadline.
		d.ingress.BeginShutdown(end.Add(-answerTime))
	}
	clock.Sleep(ctx, leaveTime)
	if in := d.publisher.Latest(); in.State != membership.StateDeparted {
		in.State, in.Sequence = membership.StateDraining, in.Sequence+1
		d.publisher.Set(in)
	}
	clock.Sleep(ctx, newsTime)
	d.egress.BeginDrain()
	d.ingress.WaitQuiet(ctx, quietTime)
	d.ingress.BeginDrain()
	return errors.Join(d.egress.WaitIdle(ctx), d.ingress.WaitIdle(ctx))
}
