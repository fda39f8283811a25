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

// maxAnswer is the largest response body that the client reads, in bytes. The rest of a longer one is not read.
const maxAnswer = 16 << 20

// headerWork is the request header with the service time that the backend stand-in simulates.
const headerWork = "Standin-Work"

// sender sends each request once and never repeats it.
type sender struct {
	transport *http.Transport
	targets   []string
	// run is a prefix that makes request IDs and idempotency keys unique to this run.
	run string
}

func newSender(targets []string, run string, inFlight int) *sender {
	return &sender{targets: targets, run: run, transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: 2 * time.Second}).DialContext,
		MaxIdleConnsPerHost: inFlight,
		// Shorter than common server idle timeouts, so that the server does not close a connection while a new request
		// is sent on it.
		IdleConnTimeout:    2 * time.Second,
		DisableCompression: true,
	}}
}

func (s *sender) close() { s.transport.CloseIdleConnections() }

// token returns the request ID. It is the last path element and, for keyed requests, the idempotency key.
func (s *sender) token(r Record) string { return s.run + "-" + r.ID }

// onceBody is a request body that cannot be rewound. It keeps http.Transport from retrying a request by itself. The
// transport does so when a pooled connection fails and the request has no body or one that can be rewound, and is a GET
// or has an Idempotency-Key.
type onceBody struct{ io.Reader }

func (onceBody) Close() error { return nil }

func (s *sender) request(ctx context.Context, n int, r Record) (*http.Request, error) {
	token := s.token(r)
	url := "http://" + s.targets[n%len(s.targets)] + strings.TrimSuffix(r.Path, "/") + "/" + token
	req, err := http.NewRequestWithContext(ctx, r.Method, url, nil)
	if err != nil {
		return nil, fmt.Errorf("create request %s: %w", r.ID, err)
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

// send sends one request and returns its record with outcome, reason, status and latency. Latency is measured from due,
// the scheduled arrival time, so that it includes the delay when the load generator runs late.
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
