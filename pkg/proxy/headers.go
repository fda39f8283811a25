// Package proxy forwards calls: the ingress receives them from callers and chooses an instance; the egress beside that
// instance passes them to its local backend server.
package proxy

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/upstream"
)

// Headers of the mesh. They are removed from callers' requests and from backend servers' responses; HeaderCall is the
// only one that is read from a caller's request.
const (
	headerPrefix = "Ml-"

	HeaderRequestID     = upstream.HeaderRequestID
	HeaderRemaining     = "Ml-Remaining-Us"
	HeaderRank          = "Ml-Rank"
	HeaderAttempt       = "Ml-Attempt"
	HeaderConfigVersion = "Ml-Config-Version"
	HeaderService       = "Ml-Service"
	HeaderRoute         = "Ml-Route"
	// HeaderRetried, set to 1, marks a request that is a retry or is nested in one, and a response for which a hop has
	// made or denied a retry.
	HeaderRetried = "Ml-Retried"
	// HeaderCall identifies a request to a backend server, which repeats the header in the calls nested in that request.
	HeaderCall = "Ml-Call"
	// HeaderNotRun, set to 1 by a backend server on status 503, states that the request was not run.
	HeaderNotRun = "Ml-Not-Run"

	// HeaderPolicy, HeaderIdempotent, HeaderWindow and HeaderHops are sent between nodes only. The egress uses the values
	// of the ingress instead of its own snapshot, so that nodes with different configuration versions treat a call alike.
	HeaderPolicy     = "Ml-Policy"
	HeaderIdempotent = "Ml-Idempotent"
	HeaderWindow     = "Ml-Window-Us"
	HeaderHops       = "Ml-Hops"
	// HeaderDue is the time left until the latency target; it is negative if the target has been missed.
	HeaderDue = "Ml-Due-Us"
	// HeaderCaller is the service on the VM at which the request entered the mesh.
	HeaderCaller = "Ml-Caller"
	// HeaderTenant is the tenant whose API key the request carried. Between nodes it is present with an empty value if the
	// configuration has tenants and the request belongs to none; a backend server is sent names only.
	HeaderTenant = "Ml-Tenant"

	// HeaderOrigin states whether a response comes from a backend server or a node; HeaderOutcome whether the request
	// was answered, has not run, or may have run; HeaderReason why a node refused it.
	HeaderOrigin  = "Ml-Origin"
	HeaderOutcome = "Ml-Outcome"
	HeaderReason  = "Ml-Reason"
	// HeaderLoad is the load of the local backend server that an egress reports; see Load.
	HeaderLoad = "Ml-Load"
	// HeaderNews carries the loads of instances that the sender knows; see formatNews. In a response, the own load and
	// service time come first. It is sent only by nodes whose choice of instances uses it.
	HeaderNews = "Ml-News"
	// HeaderReplayed, set to 1, marks the stored response of an earlier run.
	HeaderReplayed = "Ml-Replayed"

	headerKey        = "Idempotency-Key"
	headerRetryAfter = "Retry-After"
	headerLength     = "Content-Length"
	headerConnection = "Connection"
	headerUserAgent  = "User-Agent"

	headerAuthorization = "Authorization"
	headerAuthenticate  = "Www-Authenticate"
)

// Values of HeaderOrigin: where the status of a response comes from.
const (
	originBackend = "backend"
	originNode    = "node"
)

// Limits on calls.
const (
	// DefaultMaxBodyBytes is the size limit of request bodies if the configuration sets none. A body is read completely
	// before the call is forwarded.
	DefaultMaxBodyBytes = 1 << 20
	// MaxHops is twice the depth of the deepest call chain that the system is designed for; only a loop reaches it.
	MaxHops = 28
	// MaxKeyBytes is the maximum length of an idempotency key in bytes.
	MaxKeyBytes = 256
	// MaxCredentialBytes is the maximum length of an API key in bytes.
	MaxCredentialBytes = 4 << 10
)

// hopByHop lists the headers that apply to one connection only. Expect is included because bodies are read completely
// before a call is forwarded.
var hopByHop = []string{headerConnection, "Expect", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// stripHopByHop removes the hop-by-hop headers and those that the Connection header lists.
func stripHopByHop(h http.Header) {
	for _, v := range h[headerConnection] {
		for name := range strings.SplitSeq(v, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		delete(h, name)
	}
}

// StripMeshHeaders removes the headers of the mesh.
func StripMeshHeaders(h http.Header) {
	for name := range h {
		if strings.HasPrefix(name, headerPrefix) {
			delete(h, name)
		}
	}
}

// first returns the first value of a header whose name is in canonical form.
func first(h http.Header, name string) string {
	if v := h[name]; len(v) > 0 {
		return v[0]
	}
	return ""
}

// escapeName encodes the name of an item of the configuration as a header value: header values must not contain control
// characters and lose spaces at their ends. Usual names stay as they are.
func escapeName(name string) string {
	for i := range len(name) {
		if c := name[i]; c <= ' ' || c >= 0x7f || c == '%' {
			return url.PathEscape(name)
		}
	}
	return name
}

// unescapeName reverses escapeName. It returns other values unchanged.
func unescapeName(value string) string {
	if !strings.Contains(value, "%") {
		return value
	}
	if name, err := url.PathUnescape(value); err == nil {
		return name
	}
	return value
}

func set(h http.Header, name, value string) { h[name] = []string{value} }

func setInt(h http.Header, name string, v int64) { h[name] = []string{strconv.FormatInt(v, 10)} }

// setCount sets a header, or removes it if v is zero: absence means zero, because each header costs time at the next
// hop.
func setCount(h http.Header, name string, v int64) {
	if v == 0 {
		delete(h, name)
		return
	}
	setInt(h, name, v)
}

// setFlag sets a header to 1, or removes it.
func setFlag(h http.Header, name string, on bool) {
	if on {
		set(h, name, "1")
		return
	}
	delete(h, name)
}

// parseInt reads a number from 0 to limit. It reports false if the header is missing, malformed or out of range.
func parseInt(h http.Header, name string, limit int64) (int64, bool) {
	if len(h[name]) == 0 {
		return 0, false
	}
	n, err := strconv.ParseInt(first(h, name), 10, 64)
	return n, err == nil && n >= 0 && n <= limit
}

// parseCount is like parseInt, but a missing header means zero.
func parseCount(h http.Header, name string, limit int64) (int64, bool) {
	if len(h[name]) == 0 {
		return 0, true
	}
	return parseInt(h, name, limit)
}

// hopMargin is the part of the remaining time that a hop reserves, so that the next node's refusal for an exceeded
// deadline still arrives in time. It is twice the one-way latency between availability zones. If less than ten times as
// much time is left, a tenth of the remaining time is reserved instead.
const hopMargin = 4 * time.Millisecond

// responseGrace is how long after the deadline the ingress still waits for the response of the egress. Without it a
// stall of a few milliseconds would turn a "not run" response into an unknown outcome.
const responseGrace = 50 * time.Millisecond

// maxRemaining is the longest remaining time that is sent to the next hop.
const maxRemaining = 24 * time.Hour

// wireRemaining returns the remaining time that is sent to the next hop in HeaderRemaining.
func wireRemaining(now, deadline time.Time) time.Duration {
	left := min(deadline.Sub(now), maxRemaining)
	return max(0, left-min(hopMargin, left/10))
}
