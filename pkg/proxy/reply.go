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

// reply is the result of an attempt: a response of the backend server, or a refusal by a node.
type reply struct {
	outcome idempotency.Outcome
	// reason is empty for a response of the backend server.
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

	load *balance.Load
	// routeTime is the average time that requests of the route use a slot of the instance; zero if unknown.
	routeTime    time.Duration
	retriedBelow bool
	// overtaken is set if the attempt was cancelled because a second request for the call was answered first.
	overtaken bool
	// late is set if the deadline of the request has passed.
	late bool
	// version is the configuration version of the node that replied, if it is newer than that of the call.
	version config.Version
	// unread is set if the request body was not read. The connection is then closed, because the server of net/http would
	// otherwise wait for the body before it sends the refusal.
	unread bool
}

func refuse(reason metric.Refusal) *reply {
	return &reply{outcome: idempotency.OutcomeNotRun, reason: reason}
}

// refuseUnread returns a refusal for a request whose body was not read.
func refuseUnread(reason metric.Refusal) *reply {
	rep := refuse(reason)
	rep.unread = true
	return rep
}

// refuseBeforeBody returns a refusal for a request whose body, if it has one, was not read.
func refuseBeforeBody(r *http.Request, reason metric.Refusal) *reply {
	rep := refuse(reason)
	rep.unread = r.ContentLength != 0
	return rep
}

// replyFromFailure returns the refusal for an exchange that failed without a response.
func replyFromFailure(res upstream.Result) *reply {
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
	case upstream.FailWithheld:
		return metric.RefusedDraining
	}
	return metric.RefusedConnectFailed
}

// replyFromResponse returns a response of a backend server without hop-by-hop headers and headers of the mesh.
func replyFromResponse(a *upstream.Response) *reply {
	stripHopByHop(a.Header)
	StripMeshHeaders(a.Header)
	return &reply{outcome: idempotency.OutcomeAnswered, status: a.Status, header: a.Header, body: a.Body,
		length: a.Length, rest: a.Remainder}
}

// refusalStatus maps refusal reasons to HTTP statuses. For all other reasons the status is 503 if the request was not
// run, and 502 if the outcome is unknown.
var refusalStatus = map[metric.Refusal]int{
	metric.RefusedDeadline:      http.StatusGatewayTimeout,
	metric.RefusedKeyRunning:    http.StatusConflict,
	metric.RefusedKeyMismatch:   http.StatusUnprocessableEntity,
	metric.RefusedNoRoute:       http.StatusNotFound,
	metric.RefusedTooLarge:      http.StatusRequestEntityTooLarge,
	metric.RefusedMalformed:     http.StatusBadRequest,
	metric.RefusedForbidden:     http.StatusForbidden,
	metric.RefusedHeadTooLarge:  http.StatusRequestHeaderFieldsTooLarge,
	metric.RefusedHeadTimeout:   http.StatusRequestTimeout,
	metric.RefusedUnknownKey:    http.StatusUnauthorized,
	metric.RefusedQuotaExceeded: http.StatusTooManyRequests,
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

// refusalText tells a caller whether it may send the request again.
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

// write sends the reply. If it returns an error, a long response is incomplete: the caller must log the error and abort
// the connection, so that the receiver does not take the response for complete.
func (rep *reply) write(w http.ResponseWriter, r *http.Request, d Dialect, id string, deadline time.Time) error {
	h := w.Header()
	if rep.reason != "" {
		writeRefusal(w, d, RefusalInfo{ID: id, Outcome: rep.outcome, Reason: rep.reason, RetryAfter: rep.retryAfter,
			Late: rep.late, Retried: rep.retriedBelow, Close: rep.unread || rep.reason == metric.RefusedDraining})
		return nil
	}
	for name, v := range rep.header {
		h[name] = v
	}
	d.SetResponseHeaders(h, ResponseInfo{ID: id, Outcome: rep.outcome, Retried: rep.retriedBelow, Replayed: rep.replayed})
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

// stream sends a response whose body has not been read to its end yet. The deadline limits how long that takes, because
// a receiver that stops reading would otherwise hold a slot of the backend server.
func (rep *reply) stream(w http.ResponseWriter, r *http.Request, deadline time.Time) error {
	defer rep.rest.Close()
	rc := http.NewResponseController(w)
	if err := rc.SetWriteDeadline(deadline); err != nil {
		return err
	}
	defer rc.SetWriteDeadline(time.Time{}) //nolint:errcheck // the connection is closed if it fails
	if rep.length < 0 && !r.ProtoAtLeast(1, 1) {
		return upstream.ErrUnframed
	}
	w.WriteHeader(rep.status)
	if _, err := w.Write(rep.body); err != nil {
		return err
	}
	_, err := io.Copy(w, rep.rest)
	return err
}

// mayHaveReachedBackend reports whether the attempt may have reached a backend server, even if that rejected it because
// of its load.
func (rep *reply) mayHaveReachedBackend() bool {
	return rep.outcome != idempotency.OutcomeNotRun || rep.reason == metric.RefusedBackendShed
}

// withoutUnreadBody returns a reply that can be sent after a further attempt. A response that is not completely in
// memory is replaced by an unknown outcome, because the unread part of its body is discarded.
func (rep *reply) withoutUnreadBody() *reply {
	if rep.rest == nil {
		return rep
	}
	return &reply{outcome: idempotency.OutcomeUnknown, reason: metric.RefusedAnswerBroken}
}

// close releases the resources of a reply that is not sent.
func (rep *reply) close() {
	if rep.rest != nil {
		rep.rest.Close()
	}
}
