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
)

const (
	// deadline is how long callers wait for an answer.
	deadline = 2 * time.Second
	// between is the pause between two requests of a caller.
	between = 15 * time.Millisecond
	// lossSlack is how long after a request was written its connection may be closed without an answer if no backend
	// server ran the request.
	lossSlack = 200 * time.Millisecond
	// host is the host name of all routes.
	host = "mesh.test"
)

// caller sends requests to one node and reuses its connection until the node closes it.
type caller struct {
	vm     *vm
	ledger *ledger
	name   string
	client *http.Client
	sent   int
	// served is the Unix time in nanoseconds of the last success.
	served atomic.Int64
}

func newCaller(v *vm, name string) *caller {
	return &caller{vm: v, ledger: v.ledger, name: name, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}}}
}

// run sends requests until ctx ends. Every second one is unsafe: it must run at most once.
func (c *caller) run(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	for i := 0; ctx.Err() == nil; i++ {
		method, path := http.MethodGet, "/safe/x"
		if i%2 == 1 {
			method, path = http.MethodPost, "/lodge/x"
		}
		if status := c.call(ctx, method, path); status == http.StatusNotFound {
			c.ledger.violate("denied", "node %s has no route for %s", c.vm.name, path)
		}
		clock.Sleep(ctx, between)
	}
}

// call sends one request and checks its answer. It returns the status, or 0 if there was no complete answer.
func (c *caller) call(ctx context.Context, method, path string) int {
	c.sent++
	id := fmt.Sprintf("%s-%d", c.name, c.sent)
	var wrote atomic.Int64
	trace := &httptrace.ClientTrace{WroteRequest: func(info httptrace.WroteRequestInfo) {
		if info.Err == nil {
			wrote.Store(time.Now().UnixNano())
		}
	}}
	start := time.Now()
	ctx, cancel := context.WithTimeout(httptrace.WithClientTrace(ctx, trace), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.vm.address(portCallers)+path, strings.NewReader("order of "+id))
	if err != nil {
		return 0
	}
	req.Host = host
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("X-Deadline-Ms", strconv.Itoa(int(deadline.Milliseconds())))
	once := method == http.MethodPost
	c.ledger.sent(id, once)
	resp, err := c.client.Do(req)
	if err == nil {
		defer resp.Body.Close()
		var body []byte
		if body, err = io.ReadAll(resp.Body); err == nil {
			c.judge(id, path, resp, string(body))
			return resp.StatusCode
		}
	}
	c.ledger.outcome("no answer")
	if ctx.Err() == nil {
		c.judgeLoss(id, start, wrote.Load(), err)
	}
	return 0
}

func (c *caller) judge(id, path string, resp *http.Response, body string) {
	status, seal := resp.StatusCode, resp.Header.Get("X-Server-Seal")
	c.ledger.outcome(strconv.Itoa(status))
	switch {
	case seal != "" && seal != "seal-"+id:
		c.ledger.violate("mixed", "request %s received the answer of another request, with seal %q", id, seal)
	case status/100 == 2 && (seal == "" || body != expectedBody(id, path)):
		c.ledger.violate("mixed", "request %s received a success with a wrong body (%d bytes) or without a seal (%q)",
			id, len(body), seal)
	case status/100 == 2:
		c.served.Store(time.Now().UnixNano())
		if c.ledger.runs(id) == 0 {
			c.ledger.violate("mixed", "request %s received a success, but no backend server ran it", id)
		}
	case status == http.StatusTooManyRequests, status == http.StatusServiceUnavailable, status == http.StatusRequestTimeout,
		status == http.StatusMisdirectedRequest:
		c.ledger.refusal(id, status)
	case status/100 != 5 && status != http.StatusNotFound:
		c.ledger.violate("denied", "request %s was answered with status %d", id, status)
	}
}

// judgeLoss checks that no request ends without an answer while only planned work is in progress.
func (c *caller) judgeLoss(id string, start time.Time, wrote int64, err error) {
	now := time.Now()
	if wrote == 0 || !c.ledger.calm(&c.ledger.all, start, stability) || c.vm.stalls.within(start, now) {
		return
	}
	if runs := c.ledger.runs(id); runs > 0 || now.Sub(time.Unix(0, wrote)) > lossSlack {
		c.ledger.violate("lost", "request %s ended without an answer from node %s while no fault was active; runs %d: %v",
			id, c.vm.name, runs, err)
	}
}

// prober requests the routes of the latest configurations from a node.
type prober struct {
	*caller
	changes *changes
}

// run checks that configurations are applied in time and are never replaced by older ones.
func (p *prober) run(ctx context.Context) {
	defer p.client.CloseIdleConnections()
	seen, boot := 0, p.vm.boots.Load()
	for ctx.Err() == nil {
		if b := p.vm.boots.Load(); b != boot {
			seen, boot = 0, b
		}
		newest, accepted := p.changes.newest()
		ask := newest
		if seen > 0 && p.sent%2 == 0 {
			ask = seen
		}
		start := time.Now()
		status := p.call(ctx, http.MethodGet, generationPath(ask))
		same := p.vm.boots.Load() == boot && p.vm.running()
		switch {
		case status == http.StatusOK && same:
			seen = max(seen, ask)
		case status != http.StatusNotFound:
		case ask <= seen && same:
			p.ledger.violate("config", "node %s served generation %d, but later had no route of generation %d", p.vm.name, seen, ask)
		case start.Sub(accepted) > apply && p.ledger.calm(&p.vm.touch, start, stability) && !p.vm.stalls.within(accepted, start):
			p.ledger.violate("config", "generation %d is not in force at node %s %v after it was published", ask, p.vm.name,
				start.Sub(accepted).Round(time.Millisecond))
		}
		clock.Sleep(ctx, 2*between)
	}
}
