package load

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// maxAnswer bounds the answer that the client reads.
const maxAnswer = 16 << 20

// headerWork asks the backend stand-in for a service time.
const headerWork = "Standin-Work"

// sender sends each request once.
type sender struct {
	transport *http.Transport
	targets   []string
	// run distinguishes the ids and keys of this run from those of others.
	run string
}

func newSender(targets []string, run string, inFlight int) *sender {
	return &sender{targets: targets, run: run, transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: 2 * time.Second}).DialContext,
		MaxIdleConnsPerHost: inFlight,
		// Shorter than usual server timeouts, so that an idle connection is not closed under a new request.
		IdleConnTimeout:    2 * time.Second,
		DisableCompression: true,
	}}
}

func (s *sender) close() { s.transport.CloseIdleConnections() }

// token is the part of path and key that identifies the request.
func (s *sender) token(r Record) string { return s.run + "-" + r.ID }

// onceBody is a body that the transport cannot rewind. http.Transport sends a request again by itself when a pooled
// connection dies and the request has no body, or one that can be rewound, and is a GET or has an Idempotency-Key.
type onceBody struct{ io.Reader }

func (onceBody) Close() error { return nil }

func (s *sender) request(ctx context.Context, n int, r Record) (*http.Request, error) {
	token := s.token(r)
	url := "http://" + s.targets[n%len(s.targets)] + strings.TrimSuffix(r.Path, "/") + "/" + token
	req, err := http.NewRequestWithContext(ctx, r.Method, url, nil)
	if err != nil {
		return nil, fmt.Errorf("request %s: %w", r.ID, err)
	}
	req.Body = onceBody{bytes.NewReader(bytes.Repeat([]byte("x"), r.BodySize))}
	req.ContentLength = int64(r.BodySize)
	for k, v := range r.Header {
		req.Header.Set(k, v)
	}
	req.Header.Set("X-Request-Id", token)
	if r.Keyed {
		req.Header.Set("Idempotency-Key", token)
	}
	if r.ServiceUs > 0 {
		req.Header.Set(headerWork, r.Service().String())
	}
	return req, nil
}

// send runs one request and fills in its end. Latency counts from due, the scheduled arrival, so that a late generator
// does not hide waiting.
func (s *sender) send(ctx context.Context, n int, r Record, due time.Time) Record {
	ctx, cancel := context.WithDeadline(ctx, due.Add(r.Timeout()))
	defer cancel()
	req, err := s.request(ctx, n, r)
	if err != nil {
		r.Outcome, r.Reason = Unreachable, "bad_request"
		return r
	}
	resp, err := s.transport.RoundTrip(req)
	if err != nil {
		r.Outcome, r.Reason = classifyError(err, false)
		r.LatencyUs = time.Since(due).Microseconds()
		return r
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	resp.Body.Close()
	r.Status, r.LatencyUs = resp.StatusCode, time.Since(due).Microseconds()
	if err != nil {
		r.Outcome, r.Reason = classifyError(err, true)
		return r
	}
	echo := s.token(r)
	if r.Opaque {
		echo = ""
	}
	r.Outcome, r.Reason = classify(resp.StatusCode, resp.Header, body, echo)
	return r
}
