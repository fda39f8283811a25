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
	// PassTargets passes the target times of calls to the gate, which then works off a backlog newest first.
	PassTargets bool
}

// Acquire implements proxy.Gate.
func (g Gate) Acquire(ctx context.Context, call proxy.AdmissionRequest) (func(served, shed bool, took time.Duration), *proxy.AdmissionRefusal) {
	request := admission.Request{Rank: call.Rank, Policy: call.Policy, Arrived: call.Arrived, Deadline: call.Deadline}
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
