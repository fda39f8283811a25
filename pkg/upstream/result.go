// Package upstream performs single HTTP/1.1 exchanges over pooled connections. An exchange runs in the goroutine of its
// caller, and its request is sent at most once: the package never retries.
package upstream

import (
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/monsoonlatch/monsoonlatch/pkg/idempotency"
)

// Failure is the reason why an exchange failed.
type Failure uint8

// Failures of an exchange.
const (
	// FailNone: a complete response, or the verified start of a longer one, has arrived.
	FailNone Failure = iota
	// FailConnect: no connection could be opened.
	FailConnect
	// FailConnections: the maximum number of connections to the address is in use.
	FailConnections
	// FailRequest: the request cannot be encoded as HTTP/1.1.
	FailRequest
	// FailWrite: the connection failed while the request was written.
	FailWrite
	// FailDeadline: the deadline passed.
	FailDeadline
	// FailCancelled: the context was cancelled.
	FailCancelled
	// FailCut: the response was truncated, or its end cannot be verified.
	FailCut
	// FailMismatch: the response belongs to another request.
	FailMismatch
	// FailMalformed: the response is not valid HTTP/1.1.
	FailMalformed
	// FailSilent: the connection timed out because the remote host acknowledged no data (ETIMEDOUT).
	FailSilent
	// FailWithheld: Exchange.BeforeSend returned an error.
	FailWithheld
)

var failureNames = [...]string{"none", "connect", "connections", "request", "write", "deadline", "cancelled", "cut",
	"mismatch", "malformed", "silent", "withheld"}

func (f Failure) String() string { return failureNames[f] }

// Errors for responses that cannot be forwarded, and for a reached connection limit.
var (
	ErrRequestIDMismatch = errors.New("response carries the ID of another request or none")
	ErrUnframed          = errors.New("response has neither Content-Length nor chunked encoding")
	ErrTrailing          = errors.New("connection holds unexpected data after the response")
	errStatus            = errors.New("status outside the range of HTTP")
	errInformational     = errors.New("unexpected protocol switch or too many informational responses")
	errReadBudget        = errors.New("response head, or the response to another request, is longer than the limit")
	errConnectionLimit   = errors.New("maximum number of connections to the address in use")
)

// Result is the result of one exchange. Outcome is OutcomeNotRun only if no byte of the request left this process, or if the
// last byte did not and the server starts only on complete requests (Exchange.StartsWhenComplete).
type Result struct {
	Outcome  idempotency.Outcome
	Failure  Failure
	Err      error
	Response *Response
}

// Response is a verified response. Remainder is nil if Body holds the whole body; otherwise the caller must close
// Remainder. The connection is reused only if Remainder was read to its end first.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Length is the declared body length in bytes, or -1 if the response declares none.
	Length    int64
	Remainder io.ReadCloser
}

// closeConnection makes the connection of the response close when the response has been read.
func (r *Response) closeConnection() {
	r.Header.Set("Connection", "close")
	if stream, ok := r.Remainder.(*bodyStream); ok {
		stream.closeConn = true
	}
}

// failedResult returns the result of an exchange that failed before anything was written.
func failedResult(f Failure, err error) Result {
	return Result{Outcome: idempotency.OutcomeNotRun, Failure: f, Err: wrapFailure(f, err)}
}

// failedResult returns the result of an exchange that failed on this connection, and that writes no more.
func (c *conn) failedResult(ex *Exchange, f Failure, err error) Result {
	return Result{Outcome: c.outcomeOfFailure(ex), Failure: f, Err: wrapFailure(f, err)}
}

func wrapFailure(f Failure, err error) error { return fmt.Errorf("upstream: %s: %w", f, err) }

// outcomeOfFailure returns the outcome of a request without a response, of which no more is written.
func (c *conn) outcomeOfFailure(ex *Exchange) idempotency.Outcome {
	if c.bytesSent.Load() == 0 || ex.StartsWhenComplete && c.incomplete.Load() {
		return idempotency.OutcomeNotRun
	}
	return idempotency.OutcomeUnknown
}
