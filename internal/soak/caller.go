package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/clock"
	"github.com/monsoonlatch/monsoonlatch/pkg/strict"
)

const (
	// requestTimeout is how long callers wait for a response.
	requestTimeout = 2 * time.Second
	// requestPause is the pause between two requests of a caller.
	requestPause = 15 * time.Millisecond
	// longRequestBytes is the size of a long request body. It must not fit into the socket buffers between a node and a
	// backend server.
	longRequestBytes = 1_000_000
	longRequestEvery = 5
	// lossTolerance is how long after a request was written its connection may be closed without a response if no
	// backend server ran the request.
	lossTolerance = 200 * time.Millisecond
	// routeHost is the host name of all routes.
	routeHost = "mesh.test"
)

// caller sends requests to one node and reuses its connection until the node closes it.
type caller struct {
	vm       *vm
	checker  *checker
	name     string
	client   *http.Client
	requests int
	// lastSuccess is the Unix time in nanoseconds of the last success.
	lastSuccess atomic.Int64
}

func newCaller(v *vm, name string) *caller {
	return &caller{vm: v, checker: v.checker, name: name,
		client: &http.Client{Transport: strict.NewTransport(&http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true})}}
}

// run sends requests until ctx ends. Every second one is unsafe: it must run at most once.
func (c *caller) run(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	for i := 0; ctx.Err() == nil; i++ {
		method, path := http.MethodGet, "/safe/x"
		if i%2 == 1 {
			method, path = http.MethodPost, "/lodge/x"
		}
		if status := c.call(ctx, method, path, lasting); status == http.StatusNotFound {
			c.checker.addViolation("denied", "node %s has no route for %s", c.vm.name, path)
		}
		clock.Sleep(ctx, requestPause)
	}
}

// requestBody returns the body of a request, a long one for one in longRequestEvery of those that are not safe.
func (c *caller) requestBody(id, method string) string {
	body := "order of " + id
	if method == http.MethodPost && c.requests/2%longRequestEvery == 0 {
		body += strings.Repeat(".", longRequestBytes)
	}
	return body
}

// call sends one request with an API key and checks its response. It returns the status, or 0 if there was no complete
// response.
func (c *caller) call(ctx context.Context, method, path string, as credential) int {
	c.requests++
	id := fmt.Sprintf("%s-%d", c.name, c.requests)
	var written atomic.Int64
	trace := &httptrace.ClientTrace{WroteRequest: func(info httptrace.WroteRequestInfo) {
		if info.Err == nil {
			written.Store(time.Now().UnixNano())
		}
	}}
	start := time.Now()
	ctx, cancel := context.WithTimeout(httptrace.WithClientTrace(ctx, trace), requestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.vm.address(portCallers)+path,
		strings.NewReader(c.requestBody(id, method)))
	if err != nil {
		return 0
	}
	req.Host = routeHost
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("X-Deadline-Ms", strconv.Itoa(int(requestTimeout.Milliseconds())))
	req.Header.Set("Authorization", "Bearer "+as.key)
	req.Header.Set("X-Tenant", "forged")
	atMostOnce := method == http.MethodPost
	c.checker.recordRequest(id, atMostOnce, as.tenant)
	resp, err := c.client.Do(req)
	if err == nil {
		defer resp.Body.Close()
		var body []byte
		if body, err = io.ReadAll(resp.Body); err == nil {
			c.checkResponse(id, path, as, resp, string(body))
			return resp.StatusCode
		}
	}
	c.checker.countOutcome("no response")
	if ctx.Err() == nil {
		c.checkLoss(id, start, written.Load(), err)
	}
	return 0
}

// checkResponse checks that a response belongs to its request, is complete and agrees with what the backend servers
// ran.
func (c *caller) checkResponse(id, path string, as credential, resp *http.Response, body string) {
	status, seal := resp.StatusCode, resp.Header.Get("X-Server-Seal")
	c.checker.countOutcome(strconv.Itoa(status))
	switch {
	case seal != "" && seal != "seal-"+id:
		c.checker.addViolation("mixed", "request %s received the response to another request, with seal %q", id, seal)
	case status/100 == 2 && (seal == "" || body != expectedBody(id, path)):
		c.checker.addViolation("mixed",
			"request %s received a success with a wrong body (%d bytes) or without a seal (%q)", id, len(body), seal)
	case status/100 == 2:
		c.lastSuccess.Store(time.Now().UnixNano())
		if c.checker.runs(id) == 0 {
			c.checker.addViolation("mixed", "request %s received a success, but no backend server ran it", id)
		}
	case status == http.StatusTooManyRequests, status == http.StatusServiceUnavailable,
		status == http.StatusRequestTimeout, status == http.StatusMisdirectedRequest:
		c.checker.recordRefusal(id, status)
	case status == http.StatusUnauthorized && as != lasting:
	case status/100 != 5 && status != http.StatusNotFound:
		c.checker.addViolation("denied", "request %s received the unexpected status %d", id, status)
	}
}

// checkLoss checks that no request ends without a response while no fault is active. Planned actions
// must not cause that.
func (c *caller) checkLoss(id string, start time.Time, written int64, err error) {
	now := time.Now()
	if written == 0 || !c.checker.undisturbed(&c.checker.faults, start, settleTime) ||
		c.vm.stallDetector.stalledBetween(start, now) {
		return
	}
	if runs := c.checker.runs(id); runs > 0 || now.Sub(time.Unix(0, written)) > lossTolerance {
		c.checker.addViolation("lost",
			"request %s ended without a response from node %s while no fault was active, after %d runs: %v",
			id, c.vm.name, runs, err)
	}
}

// prober requests the routes of the latest configurations from a node.
type prober struct {
	*caller
	publisher *publisher
	rounds    int
}

// run checks that configurations are applied in time and are never replaced by older ones.
func (p *prober) run(ctx context.Context) {
	defer p.client.CloseIdleConnections()
	served, nodeStart := 0, p.vm.nodeStarts.Load()
	for ctx.Err() == nil {
		if b := p.vm.nodeStarts.Load(); b != nodeStart {
			served, nodeStart = 0, b
		}
		latest, published := p.publisher.latest()
		generation := latest
		p.rounds++
		if served > 0 && p.rounds%2 == 0 {
			generation = served
		}
		start := time.Now()
		status := p.call(ctx, http.MethodGet, generationPath(generation), lasting)
		sameNodeStart := p.vm.nodeStarts.Load() == nodeStart && p.vm.running()
		switch {
		case status == http.StatusOK && sameNodeStart:
			served = max(served, generation)
		case status != http.StatusNotFound:
		case generation <= served && sameNodeStart:
			p.checker.addViolation("config", "node %s served generation %d, but later had no route of generation %d",
				p.vm.name, served, generation)
		case start.Sub(published) > applyLimit && p.checker.undisturbed(&p.vm.disturbance, start, settleTime) &&
			!p.vm.stallDetector.stalledBetween(published, start):
			p.checker.addViolation("config", "generation %d is not in force at node %s %v after it was published",
				generation, p.vm.name, start.Sub(published).Round(time.Millisecond))
		}
		p.probeKeys(ctx)
		clock.Sleep(ctx, 2*requestPause)
	}
}

// probeKeys checks that keys are added and revoked in time: the newest key of the rotating workspace must be known, and the
// one that the latest generation has dropped must not run a request.
func (p *prober) probeKeys(ctx context.Context) {
	latest, published := p.publisher.latest()
	start := time.Now()
	generation := latest
	if p.rounds%2 == 0 {
		generation = latest - 2
	}
	status := p.call(ctx, http.MethodGet, "/safe/key", rotating(generation))
	// The second generation after the one of a key drops the key.
	now, _ := p.publisher.latest()
	wrong := status == http.StatusUnauthorized && now <= latest+1
	if generation < latest {
		wrong = status == http.StatusOK
	}
	if wrong && start.Sub(published) > applyLimit && p.checker.undisturbed(&p.vm.disturbance, start, settleTime) &&
		!p.vm.stallDetector.stalledBetween(published, start) {
		p.checker.addViolation("config", "node %s answered %d to the key of generation %d, %v after generation %d was published",
			p.vm.name, status, generation, start.Sub(published).Round(time.Millisecond), latest)
	}
}
