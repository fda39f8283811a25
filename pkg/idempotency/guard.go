// Package idempotency runs keyed requests at most once. These are non-idempotent requests with an idempotency key. Each
// key has a home, the instance that runs its requests and keeps a record of the outcome, and a second holder with a
// copy of the record. Before a run, the home claims the key at every instance that may be a holder of it, so that two
// instances that both take themselves for the home do not both run it.
package idempotency

import (
	"context"
	"net/http"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
)

// Outcome tells whether a request was run, as far as is known.
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

// Request identifies a keyed request.
type Request struct {
	Service string
	Key     string
	// Digest covers method, path and body. A request with a known key and another digest is refused.
	Digest [32]byte
	// Window is the time within which a repetition of the request must not run again.
	Window time.Duration
}

// Answer is a complete response of a backend server.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Result is what became of a request. Answer is set only with OutcomeAnswered, Reason only with the other outcomes.
type Result struct {
	Outcome    Outcome
	Reason     metric.Refusal
	Answer     *Answer
	Replayed   bool
	RetryAfter time.Duration
}

// Guard runs keyed requests at most once.
type Guard interface {
	// Home returns the instance that a keyed request must go to.
	Home(service, key string) (membership.Instance, bool)
	// Do calls run at most once for the key, or returns the result of an earlier run, which may be unknown. It must be
	// called at the key's home. The context of run is not cancelled when the caller disconnects.
	Do(ctx context.Context, req Request, run func(context.Context) Result) Result
	// HandOver transfers all records to their next holders before a planned stop.
	HandOver(ctx context.Context) error
}
