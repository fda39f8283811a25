package proxy

import (
	"context"
	"fmt"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/balance"
	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
)

// Work is what admission knows about a call.
type Work struct {
	Rank     int
	Policy   string
	Arrived  time.Time
	Deadline time.Time
}

// Refusal is a true "not run".
type Refusal struct {
	Reason     metric.Refusal
	RetryAfter time.Duration
}

// Load is the slots in use, their limit and the length of the queue.
type Load struct {
	InUse  int
	Limit  int
	Queued int
}

// String returns the form of HeaderLoad.
func (l Load) String() string { return fmt.Sprintf("%d/%d/%d", l.InUse, l.Limit, l.Queued) }

// parseLoad reads the form of HeaderLoad.
func parseLoad(s string) *balance.Load {
	var l balance.Load
	if n, err := fmt.Sscanf(s, "%d/%d/%d", &l.InUse, &l.Limit, &l.Queued); err != nil || n != 3 {
		return nil
	}
	return &l
}

// Gate admits work to the slots of the own backend server. Acquire waits at most until the deadline of the work. The
// caller must call release once: served tells whether the backend server answered, shed whether it refused the work.
type Gate interface {
	Acquire(ctx context.Context, w Work) (release func(served bool, shed bool, took time.Duration), refusal *Refusal)
	Load() Load
}

// Own tells about the node's own instance. It is called for each request and must not block.
type Own interface {
	// Own returns the instance's record and the address of its backend server.
	Own() (membership.Instance, string)
}
