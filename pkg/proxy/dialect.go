package proxy

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/config"
	"github.com/monsoonlatch/monsoonlatch/pkg/idempotency"
	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
	"github.com/monsoonlatch/monsoonlatch/pkg/upstream"
)

// Dialect is the protocol that callers and the backend server speak. Between nodes the protocol is always the
// project's own.
type Dialect interface {
	// Incoming reads what a caller's request says of itself, and removes the headers that only the system sets.
	Incoming(r *http.Request) Incoming
	// Outgoing sets the headers of a request to the backend server.
	Outgoing(h http.Header, o Outgoing)
	// Verdict tells what an answer of the backend server means.
	Verdict(status int, h http.Header) Verdict
	// Refusal sets the headers of a refusal and returns its status and body.
	Refusal(h http.Header, r Refused) (status int, body []byte)
	// Answer sets the system's headers of an answer of the backend server.
	Answer(h http.Header, a Answered)
	// Exchange sets how answers of the backend server are read.
	Exchange(ex *upstream.Exchange)
}

// Incoming is what a caller's request says of itself.
type Incoming struct {
	// ID identifies the request; empty means that the node gives it one.
	ID string
	// Remaining is how long the caller waits; zero means that it does not say.
	Remaining time.Duration
	// Key is the idempotency key of the request.
	Key string
	// Malformed states that the headers of the protocol cannot be read.
	Malformed bool
	// Parent names the call in progress at the own backend server for which the request is made.
	Parent string
}

// Outgoing is what the backend server is told about a request.
type Outgoing struct {
	ID      string
	Service string
	Route   string
	Rank    int
	Version config.Version
	Attempt int
	// Retried states that the request, or one that it is made for, was sent before.
	Retried bool
	// Remaining is how long the backend server may work.
	Remaining time.Duration
	// Caller is the service on the VM at which the request entered the mesh.
	Caller string
	// BackendID names the start of the backend server that the request is meant for.
	BackendID string
	// Call is the name under which the backend server makes calls for the request.
	Call string
}

// VerdictKind classifies an answer of a backend server.
type VerdictKind uint8

// Kinds of verdicts.
const (
	// VerdictRan: the backend server has run the request.
	VerdictRan VerdictKind = iota
	// VerdictShed: it has not run the request.
	VerdictShed
	// VerdictMisdirected: it is another one than the request was meant for, and has not run the request.
	VerdictMisdirected
	// VerdictUnknown: the answer must not be passed on, and does not tell whether the request ran.
	VerdictUnknown
)

// Verdict is the meaning of an answer. BackendID is the name of the backend server that answers, if it gives one.
type Verdict struct {
	Kind      VerdictKind
	BackendID string
}

// Refused is a refusal by a node.
type Refused struct {
	ID         string
	Outcome    idempotency.Outcome
	Reason     metric.Refusal
	RetryAfter time.Duration
	// Late states that the time of the request has passed.
	Late bool
	// Retried states that a hop below has made or denied a retry.
	Retried bool
	// Close states that the connection ends after the refusal.
	Close bool
}

// Answered is what a node adds to an answer of a backend server.
type Answered struct {
	ID       string
	Outcome  idempotency.Outcome
	Retried  bool
	Replayed bool
}

// Native is the project's own dialect.
type Native struct{}

var _ Dialect = Native{}

// Incoming implements Dialect.
func (Native) Incoming(r *http.Request) Incoming {
	in := Incoming{Parent: first(r.Header, HeaderCall), Key: first(r.Header, headerKey), Malformed: badKey(r.Header[headerKey])}
	StripMeshHeaders(r.Header)
	return in
}

// Outgoing implements Dialect.
func (Native) Outgoing(h http.Header, o Outgoing) {
	setCommon(h, o)
	if o.Call != "" {
		set(h, HeaderCall, o.Call)
	}
}

// Verdict implements Dialect.
func (Native) Verdict(status int, h http.Header) Verdict {
	if status == http.StatusServiceUnavailable && first(h, HeaderNotRun) == "1" {
		return Verdict{Kind: VerdictShed}
	}
	return Verdict{}
}

// Exchange implements Dialect: the defaults of upstream hold.
func (Native) Exchange(*upstream.Exchange) {}

// Refusal implements Dialect.
func (Native) Refusal(h http.Header, r Refused) (int, []byte) {
	setSystem(h, r.ID, originNode, r.Outcome)
	setFlag(h, HeaderRetried, r.Retried)
	set(h, HeaderReason, string(r.Reason))
	set(h, "Content-Type", "application/json")
	if r.RetryAfter > 0 {
		setInt(h, headerRetryAfter, int64((r.RetryAfter+time.Second-1)/time.Second))
	}
	body, _ := json.Marshal(refusalBody{Error: refusalText[r.Outcome], Outcome: outcomeNames[r.Outcome],
		Reason: r.Reason, RetryAfterMs: r.RetryAfter.Milliseconds()})
	return refusalStatusOf(r.Reason, r.Outcome), body
}

// Answer implements Dialect.
func (Native) Answer(h http.Header, a Answered) {
	setSystem(h, a.ID, originBackend, a.Outcome)
	setFlag(h, HeaderRetried, a.Retried)
	setFlag(h, HeaderReplayed, a.Replayed)
}

func setSystem(h http.Header, id, origin string, o idempotency.Outcome) {
	set(h, HeaderOrigin, origin)
	set(h, HeaderOutcome, outcomeNames[o])
	if id != "" {
		set(h, HeaderRequestID, id)
	}
}

// writeRefused sends a refusal in a dialect.
func writeRefused(w http.ResponseWriter, d Dialect, r Refused) {
	h := w.Header()
	status, body := d.Refusal(h, r)
	if r.Close {
		set(h, headerConnection, "close")
	}
	set(h, headerLength, strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
