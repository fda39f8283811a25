package parts

import (
	"context"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/admission"
	"github.com/monsoonlatch/monsoonlatch/pkg/proxy"
)

// Gate makes an admission gate usable by the egress; proxy and admission do not know each other.
type Gate struct {
	*admission.Gate
	// Targets passes the targets of calls on, so that a backlog is answered newest first.
	Targets bool
}

// Acquire implements proxy.Gate.
func (g Gate) Acquire(ctx context.Context, w proxy.Work) (func(served, shed bool, took time.Duration), *proxy.Refusal) {
	work := admission.Request{Rank: w.Rank, Policy: w.Policy, Arrived: w.Arrived, Deadline: w.Deadline}
	if g.Targets {
		work.Target = w.Target
	}
	release, refusal := g.Gate.Acquire(ctx, work)
	if refusal != nil {
		return nil, &proxy.Refusal{Reason: refusal.Reason, RetryAfter: refusal.RetryAfter}
	}
	return release, nil
}

// Load implements proxy.Gate.
func (g Gate) Load() proxy.Load { return proxy.Load(g.Gate.Load()) }
