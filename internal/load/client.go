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

	"github.com/monsoonlatch/monsoonlatch/pkg/strict"
)

// maxResponseBytes is the largest response body that the client reads. The rest of a longer one is not read.
const maxResponseBytes = 16 << 20

// headerServiceTime is the request header with the service time that the backend stand-in simulates.
const headerServiceTime = "Standin-Work"

// sender sends each request once and never repeats it.
type sender struct {
	transport *strict.Transport
	targets   []string
	// runID is a prefix that makes request IDs and idempotency keys unique to this run.
	runID string
}

func newSender(targets []string, runID string, maxInFlight int) *sender {
	return &sender{targets: targets, runID: runID, transport: strict.NewTransport(&http.Transport{
		DialContext:         (&net.Dialer{Timeout: 2 * time.Second}).DialContext,
		MaxIdleConnsPerHost: maxInFlight,
		// Shorter than common server idle timeouts, so that the server does not close a connection while a new request
		// is sent on it.
		IdleConnTimeout:    2 * time.Second,
		DisableCompression: true,
	})}
}

func (s *sender) close() { s.transport.CloseIdleConnections() }

// token returns the request ID. It is the last path element and, for keyed requests, the idempotency key.
func (s *sender) token(r Record) string { return s.runID + "-" + r.ID }

// nonRewindableBody is a request body that cannot be rewound. It keeps http.Transport from retrying requests by itself,
// which it does when a pooled connection fails and the request has no body or one that can be rewound, and is a GET or
// has an Idempotency-Key.
type nonRewindableBody struct{ io.Reader }

func (nonRewindableBody) Close() error { return nil }

func (s *sender) request(ctx context.Context, sendIndex int, r Record) (*http.Request, error) {
	token := s.token(r)
	url := "http://" + s.targets[sendIndex%len(s.targets)] + strings.TrimSuffix(r.Path, "/") + "/" + token
	req, err := http.NewRequestWithContext(ctx, r.Method, url, nil)
	if err != nil {
		return nil, fmt.Errorf("create request %s: %w", r.ID, err)
	}
	req.Body = nonRewindableBody{bytes.NewReader(bytes.Repeat([]byte("x"), r.BodySize))}
	req.ContentLength = int64(r.BodySize)
	for k, v := range r.Header {
		req.Header.Set(k, v)
	}
	req.Header.Set("X-Request-Id", token)
	if r.Keyed {
		req.Header.Set("Idempotency-Key", token)
	}
	if r.ServiceUs > 0 {
		req.Header.Set(headerServiceTime, r.ServiceTime().String())
	}
	return req, nil
}

// send sends one request and returns its record with outcome, reason, status and latency. Latency is measured from due,
// the scheduled arrival time, so that it includes the delay when the load generator runs late.
func (s *sender) send(ctx context.Context, sendIndex int, r Record, due time.Time) Record {
	ctx, cancel := context.WithDeadline(ctx, due.Add(r.Timeout()))
	defer cancel()
	req, err := s.request(ctx, sendIndex, r)
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
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	resp.Body.Close()
	r.Status, r.LatencyUs = resp.StatusCode, time.Since(due).Microseconds()
	if err != nil {
		r.Outcome, r.Reason = classifyError(err, true)
		return r
	}
	wantToken := s.token(r)
	if r.Opaque {
		wantToken = ""
	}
	r.Outcome, r.Reason = classify(resp.StatusCode, resp.Header, body, wantToken)
	return r
}
