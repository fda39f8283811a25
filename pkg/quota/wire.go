package quota

import (
	"context"
	"errors"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
)

// RPC methods between nodes.
const (
	methodGrant    = "Quota.Grant"
	methodProbe    = "Quota.Probe"
	methodTransfer = "Quota.Transfer"
)

const (
	// silentAfter is the time after which a node that has not answered counts as silent. It exceeds a round trip inside
	// a zone many times, since a busy VM may get the processor only after some tens of milliseconds.
	silentAfter = 60 * time.Millisecond
	// callTimeout ends a call. It is longer than silentAfter because a call that misses its deadline closes the
	// connection, which the calls of other components share, and because a late answer still brings tokens.
	callTimeout = 250 * time.Millisecond
)

// GrantArgs asks a node for tokens.
type GrantArgs struct {
	Ask  Ask
	From membership.InstanceID
	// Skipped are the nodes that come before the receiver and did not answer or did not grant.
	Skipped []membership.InstanceID
}

// GrantReply is the answer to GrantArgs. If NotHome is set, nothing was granted, and Home, if set, is the node that the
// answering node takes for the home.
type GrantReply struct {
	Grant       Grant
	NotHome     bool
	Home        membership.InstanceID
	HomeAddress string
}

// ProbeArgs asks a node whether it runs and, if Tenant is set, whether it is the home of that tenant. A node that has just
// started or joined sends it with its control address in Joined to all nodes of its zone, so that they take it into
// account before their directories name it.
type ProbeArgs struct {
	Tenant string
	From   membership.InstanceID
	Joined string
}

// ProbeReply is the answer to ProbeArgs.
type ProbeReply struct{ Home bool }

// TransferArgs asks the home of a tenant in another zone for tokens.
type TransferArgs struct {
	Limit   Limit
	Version uint64
	Want    float64
}

// TransferReply carries the tokens that the home has given up.
type TransferReply struct{ Given float64 }

// call makes one call to a node of the own zone and waits for silentAfter at most. The call itself may go on for longer;
// late, if set, then receives the answer.
func call[R any](s *Service, n Node, method string, args any, late func(R)) (R, Condition) {
	type result struct {
		reply R
		Condition
	}
	done := make(chan result, 1)
	// answered is set before the node is recorded as heard, so that failed does not record it as silent after that.
	var answered atomic.Bool
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		var r result
		err := s.Caller.Call(ctx, n.Address, method, args, &r.reply)
		if r.Condition = callCondition(err); r.Condition == Silent && ctx.Err() == nil {
			// An open connection broke, for example since the process has ended; a new one tells.
			r.reply = *new(R)
			r.Condition = callCondition(s.Caller.Call(ctx, n.Address, method, args, &r.reply))
		}
		if r.Condition == Unknown {
			answered.Store(true)
			s.heard(n.ID)
		}
		done <- r
	}()
	timer := time.NewTimer(silentAfter)
	defer timer.Stop()
	var r result
	select {
	case r = <-done:
	case <-timer.C:
		// Both may be due when this process runs again after a stall of its own.
		select {
		case r = <-done:
		default:
			if s.failed(n, Silent, &answered) {
				if late != nil {
					go func() {
						if r := <-done; r.Condition == Unknown {
							late(r.reply)
						}
					}()
				}
				return r.reply, Silent
			}
			r = <-done
		}
	}
	if r.Condition != Unknown {
		s.failed(n, r.Condition, &answered)
	}
	return r.reply, r.Condition
}

// callCondition returns what the error of one call says about the node: a refused connection proves that the process has
// ended, and everything else proves nothing.
func callCondition(err error) Condition {
	switch {
	case err == nil:
		return Unknown
	case errors.Is(err, syscall.ECONNREFUSED):
		return Gone
	}
	return Silent
}
