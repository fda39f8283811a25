package proxy

import (
	"context"
	"strconv"
	"strings"
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
	// Target is when the answer is due; zero means that the call has only a deadline.
	Target time.Time
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
func (l Load) String() string {
	b := make([]byte, 0, 24)
	b = strconv.AppendInt(b, int64(l.InUse), 10)
	b = strconv.AppendInt(append(b, '/'), int64(l.Limit), 10)
	b = strconv.AppendInt(append(b, '/'), int64(l.Queued), 10)
	return string(b)
}

// parseLoad reads the form of HeaderLoad.
func parseLoad(s string) *balance.Load {
	inUse, rest, _ := strings.Cut(s, "/")
	limit, queued, _ := strings.Cut(rest, "/")
	var l balance.Load
	var err1, err2, err3 error
	l.InUse, err1 = strconv.Atoi(inUse)
	l.Limit, err2 = strconv.Atoi(limit)
	l.Queued, err3 = strconv.Atoi(queued)
	if err1 != nil || err2 != nil || err3 != nil {
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

// LocalInstance tells about the node's own instance. It is called for each request and must not block.
type LocalInstance interface {
	// Instance returns the instance's record and the address of its backend server.
	Instance() (membership.Instance, string)
	// Admits reports whether the backend server may be handed a request now.
	Admits(now time.Time) bool
	// Misdirected tells that another backend server than the known one answers at the address.
	Misdirected(backendID string)
}
