package main

import (
	"context"
	"errors"
	"time"

	"github.com/rs/zerolog"

	"github.com/monsoonlatch/monsoonlatch/pkg/event"
	"github.com/monsoonlatch/monsoonlatch/pkg/idempotency"
	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
	"github.com/monsoonlatch/monsoonlatch/pkg/proxy"
	"github.com/monsoonlatch/monsoonlatch/pkg/syncer"
)

const (
	// handOverTimeout and departTimeout bound what a planned stop waits for other nodes: when they cannot be reached,
	// the stop goes on, and the records count as lost.
	handOverTimeout = 5 * time.Second
	departTimeout   = 3 * time.Second
	// refuseTime is how long a leaving node goes on refusing calls before its listeners close. Other nodes and callers
	// that have not yet heard of the drain get a true "not run"; a call that meets a closing connection would end with
	// an unknown outcome.
	refuseTime = 3 * time.Second
)

// drainer is the last service of the kernel to start and the first to stop. Its Stop is the graceful shutdown of the
// data path, while all other services still work.
type drainer struct {
	syncer  *syncer.Syncer
	ingress *proxy.Ingress
	egress  *proxy.Egress
	keys    idempotency.Guard
	log     zerolog.Logger
}

func buildDrainer(b *builder) {
	b.Register(&drainer{
		syncer: find[*syncer.Syncer](b, nameSyncer), ingress: find[*proxy.Ingress](b, nameIngress),
		egress: find[*proxy.Egress](b, nameEgress), keys: find[idempotency.Guard](b, nameIdempotency), log: b.log,
	})
}

func (d *drainer) Name() string { return "drainer" }

func (d *drainer) Start(context.Context) error { return nil }

// Stop refuses new work from the first moment, tells the other nodes, finishes the work in progress, and passes the
// idempotency records on.
func (d *drainer) Stop(ctx context.Context) error {
	event.NodeStopping.Write(event.NodeStopping.Log(&d.log))
	refused := time.After(refuseTime)
	d.egress.BeginDrain()
	own := d.syncer.Self()
	own.State = membership.StateDraining
	d.syncer.UpdateSelf(own)
	d.ingress.BeginDrain()
	err := errors.Join(d.egress.WaitIdle(ctx), d.ingress.WaitIdle(ctx))
	handedOver := d.handOver(ctx)
	departCtx, cancel := context.WithTimeout(ctx, departTimeout)
	defer cancel()
	if departErr := d.syncer.Depart(departCtx, handedOver); departErr != nil {
		event.DepartFailed.Write(event.DepartFailed.Log(&d.log).Err(departErr))
	}
	select {
	case <-refused:
	case <-ctx.Done():
	}
	return err
}

// handOver reports whether other nodes now hold all records.
func (d *drainer) handOver(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	if err := d.keys.HandOver(ctx); err != nil {
		event.HandOverFailed.Write(event.HandOverFailed.Log(&d.log).Err(err))
		return false
	}
	return true
}
