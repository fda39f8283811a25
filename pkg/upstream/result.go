// Package upstream runs single HTTP/1.1 exchanges over pooled connections. Every exchange runs in the goroutine of its
// caller and is sent at most once: the package never resends a request.
package upstream

import (
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/monsoonlatch/monsoonlatch/pkg/idempotency"
)

// Failure classifies how an exchange failed.
type Failure uint8

// Failures of an exchange.
const (
	// FailNone: a whole answer, or the verified start of a longer one, has arrived.
	FailNone Failure = iota
	// FailConnect: no connection could be opened.
	FailConnect
	// FailConnections: the address has as many connections as it may have.
	FailConnections
	// FailRequest: the request cannot be written as HTTP/1.1.
	FailRequest
	// FailWrite: the connection failed while the request was written.
	FailWrite
	// FailDeadline: the deadline passed.
	FailDeadline
	// FailCancelled: the context was cancelled.
	FailCancelled
	// FailCut: the answer ended before its end, or has no verifiable end.
	FailCut
	// FailMismatch: the answer belongs to another request.
	FailMismatch
	// FailMalformed: the answer is not valid HTTP/1.1.
	FailMalformed
	// FailSilent: the peer's host acknowledged nothing for as long as the connection allows.
	FailSilent
)

var failureNames = [...]string{"none", "connect", "connections", "request", "write", "deadline", "cancelled", "cut",
	"mismatch", "malformed", "silent"}

func (f Failure) String() string { return failureNames[f] }

// Errors that describe answers which cannot be passed on.
var (
	ErrMismatch = errors.New("the answer carries another request id")
	ErrNoEnd    = errors.New("the answer has neither a length nor chunks")
	ErrTrailing = errors.New("the connection holds bytes that belong to no request")
	errTooMany  = errors.New("all connections to the address are in use")
)

// Result is the end of one exchange. Outcome is OutcomeNotRun only if no byte of the request left this process.
type Result struct {
	Outcome idempotency.Outcome
	Failure Failure
	Err     error
	Answer  *Answer
}

// Answer is a verified answer. Rest is nil if Body holds all of it; otherwise the caller must read Rest to its end or
// close it.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Length is the declared length, or -1 for a chunked answer.
	Length int64
	Rest   io.ReadCloser
}

// failed returns the result of an exchange that failed after sent bytes of the request were written.
func failed(f Failure, sent int64, err error) Result {
	outcome := idempotency.OutcomeUnknown
	if sent == 0 {
		outcome = idempotency.OutcomeNotRun
	}
	return Result{Outcome: outcome, Failure: f, Err: fmt.Errorf("upstream: %s: %w", f, err)}
}
