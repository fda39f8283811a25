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
	// exitMargin is left of the grace period for closing listeners, before SIGKILL.
	exitMargin = 300 * time.Millisecond
	// newsTime is how long other nodes may take to learn that this one leaves; its egress takes their calls meanwhile.
	newsTime = 300 * time.Millisecond
	// leaveTime is how long callers may take to leave: the platform asks each second and takes a node out after two
	// misses. Until then they are served, and the backend server beside the node takes work: it goes on running, and
	// each second without it is lost to its service.
	leaveTime = 2200 * time.Millisecond
	// quietTime without a call shows that callers have left.
	quietTime = 300 * time.Millisecond
	// answerTime is left before the end of the grace period for answers that take their whole time.
	answerTime = 300 * time.Millisecond
)

// drainer is the last service to start and the first to stop. Its Stop is the graceful shutdown of the data path.
type drainer struct {
	ready     *readiness
	ingress   *proxy.Ingress
	egress    *proxy.Egress
	publisher *directory.Publisher
	log       zerolog.Logger
}

func (d *drainer) Name() string { return "drainer" }

func (d *drainer) Start(context.Context) error { return nil }

// Stop tells the platform and the other nodes that this one leaves, serves callers until they have left, and finishes
// the work in progress.
func (d *drainer) Stop(ctx context.Context) error {
	event.NodeStopping.Write(event.NodeStopping.Log(&d.log))
	d.ready.leaving.Store(true)
	if end, ok := ctx.Deadline(); ok { // The kernel always sets one.
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
