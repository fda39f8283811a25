package main

import (
	"context"
	"errors"
	"time"

	"github.com/rs/zerolog"

	"github.com/monsoonlatch/monsoonlatch/pkg/announce"
	"github.com/monsoonlatch/monsoonlatch/pkg/event"
	"github.com/monsoonlatch/monsoonlatch/pkg/idempotency"
	"github.com/monsoonlatch/monsoonlatch/pkg/proxy"
	"github.com/monsoonlatch/monsoonlatch/pkg/syncer"
)

const (
	// handOverTimeout and departTimeout limit how long a planned stop waits for other nodes. If they cannot be reached,
	// the stop continues and the idempotency records are considered lost.
	handOverTimeout = 5 * time.Second
	departTimeout   = 3 * time.Second
	// refusalTime is the minimum time for which a stopping node refuses calls before its listeners close. Other nodes
	// and callers that do not know of the drain yet thus receive the outcome "not run"; a call on a connection that is
	// being closed would have an unknown outcome.
	refusalTime = 3 * time.Second
)

// drainer is the last service to start and the first to stop. Its Stop method shuts the data path down gracefully while
// all other services are still running.
type drainer struct {
	syncer    *syncer.Syncer
	announcer *announce.BackendTracker
	ingress   *proxy.Ingress
	egress    *proxy.Egress
	guard     idempotency.Guard
	log       zerolog.Logger
}

func buildDrainer(b *builder) {
	b.Register(&drainer{
		syncer: find[*syncer.Syncer](b, nameSyncer), announcer: find[*announce.BackendTracker](b, nameAnnounce), ingress: find[*proxy.Ingress](b, nameIngress),
		egress: find[*proxy.Egress](b, nameEgress), guard: find[idempotency.Guard](b, nameIdempotency), log: b.log,
	})
}

func (d *drainer) Name() string { return "drainer" }

func (d *drainer) Start(context.Context) error { return nil }

// Stop refuses new calls at once, reports this node as draining to the other nodes, finishes the work in progress,
// hands over the idempotency records, and announces the departure.
func (d *drainer) Stop(ctx context.Context) error {
	event.NodeStopping.Write(event.NodeStopping.Log(&d.log))
	refusalEnd := time.After(refusalTime)
	d.egress.BeginDrain()
	d.announcer.Withdraw()
	d.ingress.BeginDrain()
	err := errors.Join(d.egress.WaitIdle(ctx), d.ingress.WaitIdle(ctx))
	handedOver := d.handOver(ctx)
	departCtx, cancel := context.WithTimeout(ctx, departTimeout)
	defer cancel()
	if departErr := d.syncer.Depart(departCtx, handedOver); departErr != nil {
		event.DepartFailed.Write(event.DepartFailed.Log(&d.log).Err(departErr))
	}
	select {
	case <-refusalEnd:
	case <-ctx.Done():
	}
	return err
}

// handOver transfers the idempotency records to other nodes and reports whether these now hold all of them.
func (d *drainer) handOver(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	if err := d.guard.HandOver(ctx); err != nil {
		event.HandOverFailed.Write(event.HandOverFailed.Log(&d.log).Err(err))
		return false
	}
	return true
}
