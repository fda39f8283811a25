// Package proxy forwards calls: the ingress takes them from callers and chooses an instance, the egress hands them to
// the node's own backend server.
package proxy

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/upstream"
)

// Headers of the system. All are removed from callers' requests, except HeaderCall, and from backend servers' answers.
const (
	headerPrefix = "Ml-"

	HeaderRequestID     = upstream.HeaderRequestID
	HeaderRemaining     = "Ml-Remaining-Us"
	HeaderRank          = "Ml-Rank"
	HeaderAttempt       = "Ml-Attempt"
	HeaderConfigVersion = "Ml-Config-Version"
	HeaderService       = "Ml-Service"
	HeaderRoute         = "Ml-Route"
	HeaderRetried       = "Ml-Retried"
	HeaderCall          = "Ml-Call"
	// HeaderNotRun set to 1 on a status 503 of a backend server states that it has not run the request.
	HeaderNotRun = "Ml-Not-Run"

	// HeaderPolicy, HeaderIdempotent, HeaderWindow and HeaderHops go between nodes only. The egress takes them from the
	// ingress and not from its own snapshot, so that two nodes on different versions agree on one call.
	HeaderPolicy     = "Ml-Policy"
	HeaderIdempotent = "Ml-Idempotent"
	HeaderWindow     = "Ml-Window-Us"
	HeaderHops       = "Ml-Hops"
	// HeaderDue is the time until the answer is due, which may have passed.
	HeaderDue = "Ml-Due-Us"
	// HeaderCaller is the service on the VM at which the request entered the mesh.
	HeaderCaller = "Ml-Caller"

	HeaderOrigin  = "Ml-Origin"
	HeaderOutcome = "Ml-Outcome"
	HeaderReason  = "Ml-Reason"
	HeaderLoad    = "Ml-Load"
	// HeaderReplayed set to 1 marks the stored answer of an earlier run.
	HeaderReplayed = "Ml-Replayed"

	headerKey        = "Idempotency-Key"
	headerRetryAfter = "Retry-After"
	headerLength     = "Content-Length"
	headerConnection = "Connection"
	headerUserAgent  = "User-Agent"
)

// Origins of a status.
const (
	originBackend = "backend"
	originNode    = "node"
)

// Limits on calls.
const (
	// MaxBody is the largest request body where the configuration sets no limit. It is read whole before anything is
	// sent.
	MaxBody = 1 << 20
	// MaxHops is twice the depth of the deepest chain that the system is designed for; only a loop gets there.
	MaxHops = 28
	// MaxKey bounds an idempotency key.
	MaxKey = 256
)

// hopByHop is the headers that concern one connection only. Expect is among them, since bodies are read whole first.
var hopByHop = []string{headerConnection, "Expect", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// stripHopByHop removes the headers that concern one connection, and those that the connection header names.
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

// StripMeshHeaders removes the headers of the system.
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

func set(h http.Header, name, value string) { h[name] = []string{value} }

func setInt(h http.Header, name string, v int64) { h[name] = []string{strconv.FormatInt(v, 10)} }

// setCount sets a header whose absence means zero: each header costs time at the next hop.
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

// parseInt reads a number that must be from 0 to most.
func parseInt(h http.Header, name string, most int64) (int64, bool) {
	if len(h[name]) == 0 {
		return 0, false
	}
	n, err := strconv.ParseInt(first(h, name), 10, 64)
	return n, err == nil && n >= 0 && n <= most
}

// parseCount reads a number whose absence means zero.
func parseCount(h http.Header, name string, most int64) (int64, bool) {
	if len(h[name]) == 0 {
		return 0, true
	}
	return parseInt(h, name, most)
}

// hopMargin is the part of the remaining time that a hop keeps back, so that the next node's refusal for a passed
// deadline still arrives in time: twice the way between availability zones, or a tenth of a short remaining time.
const hopMargin = 4 * time.Millisecond

// hearGrace is how long after the deadline the ingress still waits for the word of the egress. Without it a stall of a
// few milliseconds turns a true "not run" into an unknown outcome.
const hearGrace = 50 * time.Millisecond

// wireRemaining is the time left for the next hop.
func wireRemaining(now, deadline time.Time) time.Duration {
	left := deadline.Sub(now)
	return max(0, left-min(hopMargin, left/10))
}
