package main

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/announce"
	"github.com/monsoonlatch/monsoonlatch/pkg/clock"
	"github.com/monsoonlatch/monsoonlatch/pkg/config"
	"github.com/monsoonlatch/monsoonlatch/pkg/proxy"
	"github.com/monsoonlatch/monsoonlatch/pkg/upstream"
	"github.com/monsoonlatch/monsoonlatch/platform"
)

const (
	// healthCheckTimeout limits a health check with its retries; the next announcement of the backend server comes about
	// then.
	healthCheckTimeout = time.Second
	// healthCheckPause is the time between two attempts.
	healthCheckPause = 50 * time.Millisecond
)

// healthChecker asks the local backend server whether it accepts new requests.
type healthChecker struct {
	source  config.Source
	backend *upstream.Pool
	// onResponse is called with the classification of each response.
	onResponse func(proxy.Verdict)
}

// acceptsWork reports whether the announced start of the backend server says that it accepts new requests. It retries as
// long as the path of the check is not known, since the node has no configuration yet, and as long as the server is too
// busy to answer or gives no answer: each says nothing about whether it leaves.
func (h *healthChecker) acceptsWork(ctx context.Context, a announce.Announcement) bool {
	ctx, cancel := context.WithTimeout(ctx, healthCheckTimeout)
	defer cancel()
	for ctx.Err() == nil {
		if path, known := h.path(a.Service); known && path == "" {
			return false
		} else if known {
			if accepts, answered := h.check(ctx, a, path); answered {
				return accepts
			}
		}
		clock.Sleep(ctx, healthCheckPause)
	}
	return false
}

// path returns the path of the health check of a service, empty if it has none, and whether the configuration is known.
func (h *healthChecker) path(service string) (string, bool) {
	snap := h.source.Current()
	if snap == nil {
		return "", false
	}
	return snap.Configuration.Services[service].HealthPath, true
}

// check makes one health check. It reports whether the backend server accepts new requests, and whether it has answered
// that question.
func (h *healthChecker) check(ctx context.Context, a announce.Announcement, path string) (accepts, answered bool) {
	deadline, _ := ctx.Deadline() // acceptsWork has set it.
	request := &http.Request{Method: http.MethodGet, URL: &url.URL{Path: path}, Host: a.Address, Header: http.Header{}}
	res := h.backend.Do(ctx, a.Address, &upstream.Exchange{Request: request, Idempotent: true, AllowUnframed: true, Dedicated: true, Deadline: deadline})
	if res.Response == nil {
		return false, false
	}
	if res.Response.Remainder != nil {
		_ = res.Response.Remainder.Close() // Only the head is of interest.
	}
	status, header := res.Response.Status, res.Response.Header
	verdict := platform.Dialect{}.Classify(status, header)
	h.onResponse(verdict)
	return platform.Dialect{}.AcceptsWork(status, header, a.ID), verdict.Kind != proxy.VerdictShed || verdict.Leaving
}
