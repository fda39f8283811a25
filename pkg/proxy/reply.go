package proxy

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/balance"
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
	return metric.RefusedConnect
}

// fromAnswer returns the answer of a backend server without the headers of the system.
func fromAnswer(a *upstream.Answer) *reply {
	stripHopByHop(a.Header)
	stripSystem(a.Header)
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

func (rep *reply) refusalStatus() int {
	if s, ok := refusalStatus[rep.reason]; ok {
		return s
	}
	if rep.outcome == idempotency.OutcomeNotRun {
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
func (rep *reply) write(w http.ResponseWriter, r *http.Request, id string, deadline time.Time) error {
	h := w.Header()
	if rep.reason != "" {
		rep.writeRefusal(w, h, id)
		return nil
	}
	for name, v := range rep.header {
		h[name] = v
	}
	rep.setSystem(h, id, originBackend)
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

func (rep *reply) setSystem(h http.Header, id, origin string) {
	set(h, HeaderOrigin, origin)
	set(h, HeaderOutcome, outcomeNames[rep.outcome])
	if id != "" {
		set(h, HeaderRequestID, id)
	}
	setFlag(h, HeaderRetried, rep.retriedBelow)
	setFlag(h, HeaderReplayed, rep.replayed)
}

func (rep *reply) writeRefusal(w http.ResponseWriter, h http.Header, id string) {
	rep.setSystem(h, id, originNode)
	set(h, HeaderReason, string(rep.reason))
	set(h, "Content-Type", "application/json")
	if rep.retryAfter > 0 {
		setInt(h, headerRetryAfter, int64((rep.retryAfter+time.Second-1)/time.Second))
	}
	if rep.unread || rep.reason == metric.RefusedDraining {
		set(h, headerConnection, "close")
	}
	body, _ := json.Marshal(refusalBody{Error: refusalText[rep.outcome], Outcome: outcomeNames[rep.outcome],
		Reason: rep.reason, RetryAfterMs: rep.retryAfter.Milliseconds()})
	set(h, headerLength, strconv.Itoa(len(body)))
	w.WriteHeader(rep.refusalStatus())
	_, _ = w.Write(body)
}

// close releases what an unused reply holds.
func (rep *reply) close() {
	if rep.rest != nil {
		rep.rest.Close()
	}
}
