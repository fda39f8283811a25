package proxy

import (
	"io"
	"net/http"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/balance"
	"github.com/monsoonlatch/monsoonlatch/pkg/config"
	"github.com/monsoonlatch/monsoonlatch/pkg/idempotency"
	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
	"github.com/monsoonlatch/monsoonlatch/pkg/upstream"
)

// reply is the end of one attempt: an answer of the backend server, or a refusal by a node.
type reply struct {
	outcome idempotency.Outcome
	// reason is empty for an answer of the backend server.
	reason     metric.Refusal
	retryAfter time.Duration
	failure    upstream.Failure
	err        error

	status   int
	header   http.Header
	body     []byte
	length   int64
	rest     io.ReadCloser
	replayed bool

	load         *balance.Load
	retriedBelow bool
	// late states that the time of the request has passed.
	late bool
	// version is the configuration version of the node that answered.
	version config.Version
	// unread states that the request's body was not read. The connection is closed then: net/http's server would
	// otherwise wait for the body before it sends the refusal.
	unread bool
}

func refuse(reason metric.Refusal) *reply {
	return &reply{outcome: idempotency.OutcomeNotRun, reason: reason}
}

// refuseUnread refuses a request whose body is not read.
func refuseUnread(reason metric.Refusal) *reply {
	rep := refuse(reason)
	rep.unread = true
	return rep
}

// fromFailure returns the refusal for an exchange without an answer.
func fromFailure(res upstream.Result) *reply {
	rep := &reply{outcome: res.Outcome, failure: res.Failure, err: res.Err}
	if res.Outcome == idempotency.OutcomeNotRun {
		rep.reason = notRunReason(res.Failure)
		return rep
	}
	switch res.Failure {
	case upstream.FailCut, upstream.FailMismatch, upstream.FailMalformed:
		rep.reason = metric.RefusedAnswerBroken
	default:
		rep.reason = metric.RefusedOutcomeUnknown
	}
	return rep
}

func notRunReason(f upstream.Failure) metric.Refusal {
	switch f {
	case upstream.FailDeadline:
		return metric.RefusedDeadline
	case upstream.FailCancelled:
		return metric.RefusedCallerGone
	case upstream.FailRequest:
		return metric.RefusedMalformed
	}
	return metric.RefusedConnectFailed
}

// fromAnswer returns the answer of a backend server without the headers of the system.
func fromAnswer(a *upstream.Answer) *reply {
	stripHopByHop(a.Header)
	StripSystem(a.Header)
	return &reply{outcome: idempotency.OutcomeAnswered, status: a.Status, header: a.Header, body: a.Body,
		length: a.Length, rest: a.Rest}
}

// refusalStatus is the status for refusals that have one of their own. All others are 503 for "not run" and 502 for an
// unknown outcome.
var refusalStatus = map[metric.Refusal]int{
	metric.RefusedDeadline:    http.StatusGatewayTimeout,
	metric.RefusedKeyRunning:  http.StatusConflict,
	metric.RefusedKeyMismatch: http.StatusUnprocessableEntity,
	metric.RefusedNoRoute:     http.StatusNotFound,
	metric.RefusedTooLarge:    http.StatusRequestEntityTooLarge,
	metric.RefusedMalformed:   http.StatusBadRequest,
	metric.RefusedForbidden:   http.StatusForbidden,
}

func refusalStatusOf(reason metric.Refusal, outcome idempotency.Outcome) int {
	if s, ok := refusalStatus[reason]; ok {
		return s
	}
	if outcome == idempotency.OutcomeNotRun {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}

var outcomeNames = map[idempotency.Outcome]string{
	idempotency.OutcomeAnswered: "answered",
	idempotency.OutcomeNotRun:   "not-run",
	idempotency.OutcomeUnknown:  "unknown",
}

// refusalText tells a caller what it may do next.
var refusalText = map[idempotency.Outcome]string{
	idempotency.OutcomeNotRun:  "the request was not run; it may be sent again",
	idempotency.OutcomeUnknown: "it is not known whether the request ran; send it again only with the same Idempotency-Key, or if running it twice is harmless",
}

// refusalBody is the JSON body of a refusal.
type refusalBody struct {
	Error        string         `json:"error"`
	Outcome      string         `json:"outcome"`
	Reason       metric.Refusal `json:"reason"`
	RetryAfterMs int64          `json:"retryAfterMs"`
}

// write sends the reply. It aborts the connection if the rest of a long answer is cut, so that the receiver cannot take
// the answer for complete; the returned error is then sent to the log by the caller before it aborts.
func (rep *reply) write(w http.ResponseWriter, r *http.Request, d Dialect, id string, deadline time.Time) error {
	h := w.Header()
	if rep.reason != "" {
		writeRefused(w, d, Refused{ID: id, Outcome: rep.outcome, Reason: rep.reason, RetryAfter: rep.retryAfter,
			Late: rep.late, Retried: rep.retriedBelow, Close: rep.unread || rep.reason == metric.RefusedDraining})
		return nil
	}
	for name, v := range rep.header {
		h[name] = v
	}
	d.Answer(h, Answered{ID: id, Outcome: rep.outcome, Retried: rep.retriedBelow, Replayed: rep.replayed})
	if rep.rest == nil {
		if len(rep.body) > 0 || (r.Method != http.MethodHead && bodyAllowed(rep.status)) {
			setInt(h, headerLength, int64(len(rep.body)))
		}
		w.WriteHeader(rep.status)
		_, _ = w.Write(rep.body)
		return nil
	}
	return rep.stream(w, r, deadline)
}

func bodyAllowed(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// stream sends an answer whose end has not been seen yet. The deadline bounds it: a receiver that stops reading would
// hold a slot of the backend server otherwise.
func (rep *reply) stream(w http.ResponseWriter, r *http.Request, deadline time.Time) error {
	defer rep.rest.Close()
	rc := http.NewResponseController(w)
	if err := rc.SetWriteDeadline(deadline); err != nil {
		return err
	}
	defer rc.SetWriteDeadline(time.Time{}) //nolint:errcheck // the connection is closed if it fails
	if rep.length < 0 && !r.ProtoAtLeast(1, 1) {
		return upstream.ErrNoEnd
	}
	w.WriteHeader(rep.status)
	if _, err := w.Write(rep.body); err != nil {
		return err
	}
	_, err := io.Copy(w, rep.rest)
	return err
}

// arrived reports whether the attempt may have reached a backend server, also one that refused it.
func (rep *reply) arrived() bool {
	return rep.outcome != idempotency.OutcomeNotRun || rep.reason == metric.RefusedBackendShed
}

// whole returns the reply for later use, or an unknown outcome in place of an answer whose rest is not kept.
func (rep *reply) whole() *reply {
	if rep.rest == nil {
		return rep
	}
	return &reply{outcome: idempotency.OutcomeUnknown, reason: metric.RefusedAnswerBroken}
}

// close releases what an unused reply holds.
func (rep *reply) close() {
	if rep.rest != nil {
		rep.rest.Close()
	}
}
