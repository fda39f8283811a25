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

// Dialect is the protocol that is spoken with callers and with the backend server. Nodes always use Native among
// themselves.
type Dialect interface {
	// Incoming reads the protocol's headers from a caller's request, and removes those that only the mesh may set.
	Incoming(r *http.Request) Incoming
	// Outgoing sets the headers of a request to the backend server.
	Outgoing(h http.Header, o Outgoing)
	// Verdict classifies a response of the backend server.
	Verdict(status int, h http.Header) Verdict
	// Refusal sets the headers of a refusal and returns its status and body.
	Refusal(h http.Header, r Refused) (status int, body []byte)
	// Answer sets the headers that the mesh adds to a response of the backend server.
	Answer(h http.Header, a Answered)
	// Exchange sets the options for reading responses of the backend server.
	Exchange(ex *upstream.Exchange)
}

// Incoming holds what a caller's request states in the headers of the protocol.
type Incoming struct {
	// ID identifies the request; if it is empty, the node assigns one.
	ID string
	// Remaining is how long the caller waits for the response; zero means unknown.
	Remaining time.Duration
	// Key is the idempotency key of the request.
	Key string
	// Malformed is set if the headers of the protocol cannot be parsed.
	Malformed bool
	// Parent is the ID of the call in progress at the local backend server in which this request is nested.
	Parent string
}

// Outgoing holds what the backend server is told about a request.
type Outgoing struct {
	ID      string
	Service string
	Route   string
	Rank    int
	Version config.Version
	Attempt int
	// Retried is set if the request is a retry, or is nested in one that is.
	Retried bool
	// Remaining is how long the backend server may work.
	Remaining time.Duration
	// Caller is the service on the VM at which the request entered the mesh.
	Caller string
	// BackendID identifies the backend server process that the request is meant for; it changes with each restart.
	BackendID string
	// Call is the ID that the backend server passes on in nested calls for the request.
	Call string
}

// VerdictKind classifies a response of a backend server.
type VerdictKind uint8

// Kinds of verdicts.
const (
	// VerdictRan means that the backend server has run the request.
	VerdictRan VerdictKind = iota
	// VerdictShed means that the backend server has rejected the request because of its load, without running it.
	VerdictShed
	// VerdictMisdirected means that the request reached another backend server than intended, which has not run it.
	VerdictMisdirected
	// VerdictUnknown means that the response must not be passed on and does not show whether the request ran.
	VerdictUnknown
)

// Verdict is the classification of a response. BackendID identifies the backend server that sent it, or is empty.
type Verdict struct {
	Kind      VerdictKind
	BackendID string
}

// Refused describes a refusal by a node to its caller.
type Refused struct {
	ID         string
	Outcome    idempotency.Outcome
	Reason     metric.Refusal
	RetryAfter time.Duration
	// Late is set if the deadline of the request has passed.
	Late bool
	// Retried is set if this hop or a later one has made or denied a retry.
	Retried bool
	// Close is set if the connection is closed after the refusal.
	Close bool
}

// Answered holds what a node adds to a response of a backend server.
type Answered struct {
	ID       string
	Outcome  idempotency.Outcome
	Retried  bool
	Replayed bool
}

// Native is the dialect that uses the mesh's own headers.
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
	setCommonHeaders(h, o)
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

// Exchange implements Dialect. It keeps the defaults of package upstream.
func (Native) Exchange(*upstream.Exchange) {}

// Refusal implements Dialect.
func (Native) Refusal(h http.Header, r Refused) (int, []byte) {
	setResponseHeaders(h, r.ID, originNode, r.Outcome)
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
	setResponseHeaders(h, a.ID, originBackend, a.Outcome)
	setFlag(h, HeaderRetried, a.Retried)
	setFlag(h, HeaderReplayed, a.Replayed)
}

func setResponseHeaders(h http.Header, id, origin string, o idempotency.Outcome) {
	set(h, HeaderOrigin, origin)
	set(h, HeaderOutcome, outcomeNames[o])
	if id != "" {
		set(h, HeaderRequestID, id)
	}
}

// writeRefused sends a refusal in the form of the dialect.
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
