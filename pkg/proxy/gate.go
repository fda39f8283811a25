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

// AdmissionRequest describes a call that needs a slot of the backend server.
type AdmissionRequest struct {
	Rank   int
	Policy string
	// Tenant is the name of the tenant whose request it is, or empty.
	Tenant   string
	Arrived  time.Time
	Deadline time.Time
	// Target is the time by which the latency target is met; zero means that the call has only a deadline.
	Target time.Time
	// Moved is set if the call has been offered to another instance before.
	Moved bool
}

// AdmissionRefusal tells why a call got no slot. The backend server has certainly not run the call.
type AdmissionRefusal struct {
	Reason     metric.Refusal
	RetryAfter time.Duration
}

// Load is the number of slots in use, their limit, and the length of the queue.
type Load struct {
	InUse  int
	Limit  int
	Queued int
}

// String returns the value of HeaderLoad: the three numbers, separated by slashes.
func (l Load) String() string {
	b := make([]byte, 0, 24)
	b = strconv.AppendInt(b, int64(l.InUse), 10)
	b = strconv.AppendInt(append(b, '/'), int64(l.Limit), 10)
	b = strconv.AppendInt(append(b, '/'), int64(l.Queued), 10)
	return string(b)
}

// parseLoad parses the value of HeaderLoad. It returns nil if the value is malformed.
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

// Gate is the admission control of the local backend server. Acquire waits for a slot until the deadline of the call at
// the latest. The caller must call release exactly once: served reports whether the backend server responded, shed
// whether it rejected the call because of its load, and took how long the slot was used.
type Gate interface {
	Acquire(ctx context.Context, req AdmissionRequest) (release func(served bool, shed bool, took time.Duration), refusal *AdmissionRefusal)
	Load() Load
	// SetRate limits the calls that get a slot per second; zero means no limit.
	SetRate(perSecond float64)
}

// LocalInstance describes the instance that this node runs beside. It is called for each request and must not block.
type LocalInstance interface {
	// Instance returns the membership record of the instance and the address of its backend server.
	Instance() (membership.Instance, string)
	// Admits reports whether the backend server may be sent a request now.
	Admits(now time.Time) bool
	// LeavingFor returns the time since the backend server announced that it leaves, or zero if it has not.
	LeavingFor(now time.Time) time.Duration
	// ResponseSaysLeaving is called when a response of the backend server says that the server leaves.
	ResponseSaysLeaving()
	// Misdirected is called when a backend server with another ID than the known one responds at the address.
	Misdirected(backendID string)
}
