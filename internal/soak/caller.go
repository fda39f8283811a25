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
	// deadline is what callers allow for an answer.
	deadline = 2 * time.Second
	// between is the pause between two requests of a caller.
	between = 15 * time.Millisecond
	// lossSlack is how long after its last byte a request may still be closed unanswered if it was not passed on.
	lossSlack = 200 * time.Millisecond
	// host is the host of all routes.
	host = "mesh.test"
)

// caller sends requests to one node and keeps its connection as long as the node does.
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

// run sends requests until ctx ends, each second one at most once.
func (c *caller) run(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	for i := 0; ctx.Err() == nil; i++ {
		method, path := http.MethodGet, "/safe/x"
		if i%2 == 1 {
			method, path = http.MethodPost, "/lodge/x"
		}
		if status := c.call(ctx, method, path); status == http.StatusNotFound {
			c.ledger.violate("denied", "node %s does not know the route of %s", c.vm.name, path)
		}
		clock.Sleep(ctx, between)
	}
}

// call sends one request and judges its answer. It returns the status, or 0 without one.
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
		c.ledger.violate("mixed", "%s got the answer with seal %s", id, seal)
	case status/100 == 2 && (seal == "" || body != expectedBody(id, path)):
		c.ledger.violate("mixed", "%s got a success with %d bytes that are not its answer, seal %q", id, len(body), seal)
	case status/100 == 2:
		c.served.Store(time.Now().UnixNano())
		if c.ledger.runs(id) == 0 {
			c.ledger.violate("mixed", "%s got a success and was run by nobody", id)
		}
	case status == http.StatusTooManyRequests, status == http.StatusServiceUnavailable, status == http.StatusRequestTimeout,
		status == http.StatusMisdirectedRequest:
		c.ledger.refusal(id, status)
	case status/100 != 5 && status != http.StatusNotFound:
		c.ledger.violate("denied", "%s was answered with %d", id, status)
	}
}

// judgeLoss checks that planned work alone ends no request without an answer.
func (c *caller) judgeLoss(id string, start time.Time, wrote int64, err error) {
	now := time.Now()
	if wrote == 0 || !c.ledger.calm(&c.ledger.all, start, stability) || c.vm.stalls.within(start, now) {
		return
	}
	if runs := c.ledger.runs(id); runs > 0 || now.Sub(time.Unix(0, wrote)) > lossSlack {
		c.ledger.violate("lost", "%s ended without an answer at node %s in a span without faults, after %d runs: %v", id, c.vm.name, runs, err)
	}
}

// prober asks a node for the routes of the newest configurations.
type prober struct {
	*caller
	changes *changes
}

// run checks that configurations are in force in time and never give way to older ones.
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
			p.ledger.violate("config", "node %s served generation %d and then does not know generation %d", p.vm.name, seen, ask)
		case start.Sub(accepted) > apply && p.ledger.calm(&p.vm.touch, start, stability) && !p.vm.stalls.within(accepted, start):
			p.ledger.violate("config", "generation %d is not in force at node %s %v after it was accepted", ask, p.vm.name,
				start.Sub(accepted).Round(time.Millisecond))
		}
		clock.Sleep(ctx, 2*between)
	}
}
