package main

import (
	"context"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/admission"
	"github.com/monsoonlatch/monsoonlatch/pkg/idempotency"
	"github.com/monsoonlatch/monsoonlatch/pkg/proxy"
	"github.com/monsoonlatch/monsoonlatch/pkg/rpcwire"
)

// gate makes an admission gate usable by the egress; proxy and admission do not know each other.
type gate struct{ *admission.Gate }

func (g gate) Acquire(ctx context.Context, w proxy.Work) (func(served, shed bool, took time.Duration), *proxy.Refusal) {
	release, refusal := g.Gate.Acquire(ctx, admission.Work{Rank: w.Rank, Policy: w.Policy, Arrived: w.Arrived, Deadline: w.Deadline})
	if refusal != nil {
		return nil, &proxy.Refusal{Reason: refusal.Reason, RetryAfter: refusal.RetryAfter}
	}
	return release, nil
}

func (g gate) Load() proxy.Load { return proxy.Load(g.Gate.Load()) }

// handleKeys registers the methods through which other nodes claim keys here.
func handleKeys(server *rpcwire.Server, keys *idempotency.Keys) {
	handle(server, "Claim", keys.Claim)
	handle(server, "Outcome", keys.Outcome)
	handle(server, "Withdraw", keys.Withdraw)
	handle(server, "HandOver", keys.HandOver)
}

func handle[A, R any](server *rpcwire.Server, method string, f func(*A, *R) error) {
	rpcwire.Handle(server, idempotency.KeysService+"."+method, func(_ context.Context, args *A, reply *R) error {
		return f(args, reply)
	})
}
