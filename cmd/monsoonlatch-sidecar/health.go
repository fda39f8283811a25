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

// healthCheckTimeout limits a health check, which waits for a slot of the backend server like any other request.
const healthCheckTimeout = 500 * time.Millisecond

// healthChecker asks the local backend server whether it accepts new requests.
type healthChecker struct {
	source  config.Source
	backend *upstream.Pool
	clock   clock.Clock
	// onResponse is called with the classification of each response.
	onResponse func(proxy.Verdict)
}

// acceptsWork reports whether the announced start of the backend server says that it accepts new requests.
func (h *healthChecker) acceptsWork(ctx context.Context, a announce.Announcement) bool {
	snap := h.source.Current()
	if snap == nil {
		return false
	}
	path := snap.Configuration.Services[a.Service].HealthPath
	if path == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, healthCheckTimeout)
	defer cancel()
	request := &http.Request{Method: http.MethodGet, URL: &url.URL{Path: path}, Host: a.Address, Header: http.Header{}}
	res := h.backend.Do(ctx, a.Address, &upstream.Exchange{Request: request, Idempotent: true, AllowUnframed: true,
		Deadline: h.clock.Now().Add(healthCheckTimeout)})
	if res.Response == nil {
		return false
	}
	if res.Response.Remainder != nil {
		_ = res.Response.Remainder.Close() // Only the head is of interest.
	}
	status, header := res.Response.Status, res.Response.Header
	h.onResponse(platform.Dialect{}.Classify(status, header))
	return platform.Dialect{}.AcceptsWork(status, header, a.ID)
}
