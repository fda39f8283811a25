// Package idempotency runs keyed, non-idempotent requests at most once. The home of a key keeps its record, a second
// instance a copy; claims between them keep two homes from running the same key.
package idempotency

import (
	"context"
	"net/http"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
)

// Outcome tells what is known about the run of a request.
type Outcome uint8

// Outcomes of a request.
const (
	// OutcomeUnknown: the backend server may have run the request.
	OutcomeUnknown Outcome = iota
	// OutcomeNotRun: the backend server has not run the request.
	OutcomeNotRun
	// OutcomeAnswered: the backend server has answered.
	OutcomeAnswered
)

// Request identifies keyed work.
type Request struct {
	Service string
	Key     string
	// Digest covers method, path and body; the same key with another digest is refused.
	Digest [32]byte
	Window time.Duration
}

// Answer is a whole answer of a backend server.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Result is the end of a request. Answer is set only with OutcomeAnswered, Reason only without it.
type Result struct {
	Outcome    Outcome
	Reason     metric.Refusal
	Answer     *Answer
	Replayed   bool
	RetryAfter time.Duration
}

// Guard runs keyed work at most once.
type Guard interface {
	// Home returns the instance that a keyed request must go to.
	Home(service, key string) (membership.Instance, bool)
	// Do calls run at most once for the key, or returns the known or unknown result of an earlier run. It is called
	// at the home. The run's context does not end when the caller goes away.
	Do(ctx context.Context, req Request, run func(context.Context) Result) Result
	// HandOver gives all records to their next holders, before a planned stop.
	HandOver(ctx context.Context) error
}
