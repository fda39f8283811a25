package parts

import (
	"context"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/admission"
	"github.com/monsoonlatch/monsoonlatch/pkg/proxy"
)

// Gate adapts an admission.Gate to the interface proxy.Gate, so that the packages proxy and admission do not import
// each other.
type Gate struct {
	*admission.Gate
	// PassTargets passes to the gate the time by which the response to each call should arrive. In a
	// backlog, the gate then starts the newest call of a rank that can still be in time instead of the oldest one.
	PassTargets bool
}

// Acquire implements proxy.Gate.
func (g Gate) Acquire(ctx context.Context, call proxy.AdmissionRequest) (func(served, shed bool, took time.Duration), *proxy.AdmissionRefusal) {
	request := admission.Request{Rank: call.Rank, Policy: call.Policy, Arrived: call.Arrived, Deadline: call.Deadline, Tenant: call.Tenant, Moved: call.Moved}
	if g.PassTargets {
		request.Target = call.Target
	}
	release, refusal := g.Gate.Acquire(ctx, request)
	if refusal != nil {
		return nil, &proxy.AdmissionRefusal{Reason: refusal.Reason, RetryAfter: refusal.RetryAfter}
	}
	return release, nil
}

// Load implements proxy.Gate.
func (g Gate) Load() proxy.Load { return proxy.Load(g.Gate.Load()) }
