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
	// ParseIncoming reads the protocol's headers from a caller's request, and removes those that only the mesh may set.
	ParseIncoming(r *http.Request) Incoming
	// SetOutgoingHeaders sets the headers of a request to the backend server.
	SetOutgoingHeaders(h http.Header, o Outgoing)
	// Classify classifies a response of the backend server.
	Classify(status int, h http.Header) Verdict
	// EncodeRefusal sets the headers of a refusal and returns its status and body.
	EncodeRefusal(h http.Header, r RefusalInfo) (status int, body []byte)
	// SetResponseHeaders sets the headers that the mesh adds to a response of the backend server.
	SetResponseHeaders(h http.Header, r ResponseInfo)
	// ConfigureExchange sets the options for reading responses of the backend server.
	ConfigureExchange(ex *upstream.Exchange)
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
	// Credential is the API key of the request; see Credential. It is empty if there is no valid one.
	Credential string
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
	// HasTenants is set if the configuration has tenants. A name of a tenant that the caller has sent must then be removed.
	HasTenants bool
	// Tenant is the tenant whose API key the request carried, or empty.
	Tenant string
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
	// RateLimit is the number of requests per second that the backend server takes from all nodes together; zero means
	// that the response names no limit.
	RateLimit float64
	// Leaving is set if the response says that the backend server leaves.
	Leaving bool
}

// RefusalInfo describes a refusal by a node to its caller.
type RefusalInfo struct {
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

// ResponseInfo holds what a node adds to a response of a backend server.
type ResponseInfo struct {
	ID       string
	Outcome  idempotency.Outcome
	Retried  bool
	Replayed bool
}

// Native is the dialect that uses the mesh's own headers.
type Native struct{}

var _ Dialect = Native{}

// ParseIncoming implements Dialect.
func (Native) ParseIncoming(r *http.Request) Incoming {
	in := Incoming{Parent: first(r.Header, HeaderCall), Key: first(r.Header, headerKey), Malformed: badKey(r.Header[headerKey]),
		Credential: Credential(r.Header)}
	StripMeshHeaders(r.Header)
	return in
}

// SetOutgoingHeaders implements Dialect.
func (Native) SetOutgoingHeaders(h http.Header, o Outgoing) {
	setCommonHeaders(h, o)
	if o.Call != "" {
		set(h, HeaderCall, o.Call)
	}
	if o.Tenant != "" {
		set(h, HeaderTenant, escapeName(o.Tenant))
	}
}

// Classify implements Dialect.
func (Native) Classify(status int, h http.Header) Verdict {
	if status == http.StatusServiceUnavailable && first(h, HeaderNotRun) == "1" {
		return Verdict{Kind: VerdictShed}
	}
	return Verdict{}
}

// ConfigureExchange implements Dialect. It keeps the defaults of package upstream.
func (Native) ConfigureExchange(*upstream.Exchange) {}

// EncodeRefusal implements Dialect.
func (Native) EncodeRefusal(h http.Header, r RefusalInfo) (int, []byte) {
	setResponseHeaders(h, r.ID, originNode, r.Outcome)
	setFlag(h, HeaderRetried, r.Retried)
	set(h, HeaderReason, string(r.Reason))
	set(h, "Content-Type", "application/json")
	if r.RetryAfter > 0 {
		setInt(h, headerRetryAfter, int64((r.RetryAfter+time.Second-1)/time.Second))
	}
	SetChallenge(h, r.Reason)
	body, _ := json.Marshal(refusalBody{Error: refusalText[r.Outcome], Outcome: outcomeNames[r.Outcome],
		Reason: r.Reason, RetryAfterMs: r.RetryAfter.Milliseconds()})
	return refusalStatusOf(r.Reason, r.Outcome), body
}

// SetResponseHeaders implements Dialect.
func (Native) SetResponseHeaders(h http.Header, r ResponseInfo) {
	setResponseHeaders(h, r.ID, originBackend, r.Outcome)
	setFlag(h, HeaderRetried, r.Retried)
	setFlag(h, HeaderReplayed, r.Replayed)
}

func setResponseHeaders(h http.Header, id, origin string, o idempotency.Outcome) {
	set(h, HeaderOrigin, origin)
	set(h, HeaderOutcome, outcomeNames[o])
	if id != "" {
		set(h, HeaderRequestID, id)
	}
}

// writeRefusal sends a refusal in the form of the dialect.
func writeRefusal(w http.ResponseWriter, d Dialect, r RefusalInfo) {
	h := w.Header()
	status, body := d.EncodeRefusal(h, r)
	if r.Close {
		set(h, headerConnection, "close")
	}
	set(h, headerLength, strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
