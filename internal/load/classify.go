package load

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
)

// Outcome is how a request ended for the caller.
type Outcome string

// Outcomes of a request.
const (
	// Answered: a whole answer to the request itself.
	Answered Outcome = "answered"
	// Failed: a whole answer of the backend server with a status of 400 or more.
	Failed Outcome = "failed"
	// Refused: a refusal that says "not run".
	Refused Outcome = "refused"
	// Unknown: the answer says that the outcome is unknown, or the client gave up.
	Unknown Outcome = "unknown"
	// Unreachable: no connection could be made, so nothing was sent.
	Unreachable Outcome = "unreachable"
	// Lost: the connection broke without an answer.
	Lost Outcome = "lost"
	// Cut: the answer ended before its end.
	Cut Outcome = "cut"
	// Crossed: the answer belongs to another request.
	Crossed Outcome = "crossed"
	// Dropped: the generator did not send the request, because too many were in flight.
	Dropped Outcome = "dropped"
)

// Outcomes lists all outcomes in the order of reports.
var Outcomes = []Outcome{Answered, Failed, Refused, Unknown, Unreachable, Lost, Cut, Crossed, Dropped}

// Headers of answers.
const (
	headerOutcome = "Ml-Outcome"
	headerReason  = "Ml-Reason"
	headerOrigin  = "Ml-Origin"
	headerNotRun  = "Ml-Not-Run"
)

// reasonLimit bounds the reasons in a report against a peer that sends arbitrary ones.
const reasonLimit = 40

// classify judges a whole answer. echo is the text that an answer of the backend server must contain; empty means that
// the answer cannot be told from another request's.
func classify(status int, h http.Header, body []byte, echo string) (Outcome, string) {
	reason := h.Get(headerReason)
	reason = reason[:min(len(reason), reasonLimit)]
	switch {
	case h.Get(headerOutcome) == "not-run":
		return Refused, reason
	case h.Get(headerOutcome) == "unknown":
		return Unknown, reason
	case h.Get(headerNotRun) == "1" && status == http.StatusServiceUnavailable:
		return Refused, "backend_shed"
	case h.Get(headerOrigin) == "node" && h.Get(headerOutcome) != "answered":
		// A status that the system generated without a statement about the run proves nothing.
		return Unknown, reason
	case status >= http.StatusBadRequest:
		return Failed, http.StatusText(status)
	case echo != "" && !containsToken(body, echo):
		return Crossed, ""
	}
	return Answered, ""
}

// containsToken reports whether body holds the token and not just a longer one that starts with it.
func containsToken(body []byte, token string) bool {
	for rest := body; ; {
		i := bytes.Index(rest, []byte(token))
		if i < 0 {
			return false
		}
		rest = rest[i+len(token):]
		if len(rest) == 0 || !isWord(rest[0]) {
			return true
		}
	}
}

func isWord(c byte) bool {
	return c == '-' || c == '_' || '0' <= c && c <= '9' || 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z'
}

// classifyError judges a request that got no whole answer. started tells whether the head of the answer had arrived.
func classifyError(err error, started bool) (Outcome, string) {
	var op *net.OpError
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return Unknown, "client_timeout"
	case started:
		return Cut, ""
	case errors.As(err, &op) && op.Op == "dial":
		return Unreachable, ""
	case errors.Is(err, io.ErrUnexpectedEOF), strings.Contains(err.Error(), "malformed"):
		// The answer was cut inside its head; net/http has no typed error for a head that breaks the protocol.
		return Cut, ""
	}
	return Lost, ""
}
