package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/fault"
	"github.com/monsoonlatch/monsoonlatch/pkg/proxy"
	"github.com/monsoonlatch/monsoonlatch/pkg/strict"
)

const (
	// maxExplainReportBytes limits the response of a node.
	maxExplainReportBytes = 1 << 20
	// maxKeyFileBytes limits a file with an API key.
	maxKeyFileBytes = 8 << 10
)

type explainCommand struct {
	Path      string `arg:"" help:"Path of the request, such as /safe/7."`
	Host      string `help:"Host of the request."`
	Method    string `help:"Method of the request." default:"GET"`
	BodyBytes int64  `help:"Size of the request body in bytes."`
	KeyFile   string `help:"File that holds the API key; - reads it from standard input." placeholder:"FILE"`
	Node      string `help:"Operators' address of a node, such as 10.1.0.8:7990." env:"MONSOONLATCH_NODE" placeholder:"ADDRESS"`
}

// Run shows where a node would send a request now, and why.
func (c *explainCommand) Run(e *env) error {
	if c.Node == "" {
		return usageError{errors.New("no node is named; remedy: set --node or MONSOONLATCH_NODE to the operators' address of a node")}
	}
	key, err := e.readKey(c.KeyFile)
	if err != nil {
		return err
	}
	ctx, cancel := e.callContext()
	defer cancel()
	report, err := readExplanation(ctx, e, c.Node, proxy.ExplainRequest{Host: c.Host, Method: c.Method, Path: c.Path, BodyBytes: c.BodyBytes, Key: key})
	if err != nil {
		return err
	}
	if e.JSON {
		return e.writeJSON(report)
	}
	return e.writeExplanation(report)
}

// readKey reads an API key from a file, or from standard input for "-". It returns an empty key if no file is named.
func (e *env) readKey(file string) (string, error) {
	if file == "" {
		return "", nil
	}
	in := e.in
	if file != "-" {
		f, err := os.Open(file)
		if err != nil {
			return "", usageError{err}
		}
		defer func() { _ = f.Close() }()
		in = f
	}
	data, err := io.ReadAll(io.LimitReader(in, maxKeyFileBytes+1))
	key := strings.TrimSpace(string(data))
	switch {
	case err != nil:
		return "", usageError{err}
	case key == "" || len(data) > maxKeyFileBytes:
		return "", usageError{errors.New("the API key is empty or too long; remedy: give a file, or standard input, with just the key")}
	}
	return key, nil
}

// readExplanation asks a node. The API key is part of the body only, so that no error shows it.
func readExplanation(ctx context.Context, e *env, address string, q proxy.ExplainRequest) (report proxy.ExplainReport, err error) {
	ctx, cancel := context.WithTimeout(ctx, e.CallTimeout)
	defer cancel()
	op := "explanation at " + address
	body, err := json.Marshal(q)
	if err != nil {
		return report, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/explain", bytes.NewReader(body))
	if err != nil {
		return report, usageError{fault.Wrap(fault.Invalid, op, err, "give an IP address and a port")}
	}
	req.Header.Set("Content-Type", "application/json")
	// A redirect would send the key to another address.
	client := *nodeClient
	client.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	resp, err := client.Do(req)
	if err != nil {
		return report, fault.Wrap(fault.Unavailable, op, err, "check the node, or ask another one")
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := strict.ReadBody(resp, maxExplainReportBytes)
	if err != nil {
		return report, fault.Wrap(fault.Unavailable, op, err, "check the node, or ask another one")
	}
	if !strings.HasPrefix(resp.Header.Get("Content-Type"), "application/json") {
		return report, fault.New(fault.NotFound, op, "the node explains no requests", "give the operators' address of a node of this version")
	}
	var answer struct {
		proxy.ExplainReport
		Error string
	}
	if err := json.Unmarshal(data, &answer); err != nil {
		return report, fault.Wrap(fault.Unavailable, op, err, "give the operators' address of a node")
	}
	if resp.StatusCode != http.StatusOK {
		return report, usageError{fmt.Errorf("%s: %s", op, oneLine(answer.Error))}
	}
	return answer.ExplainReport, nil
}

func (e *env) writeExplanation(r proxy.ExplainReport) error {
	line := func(name, format string, args ...any) {
		e.printf("%-10s %s\n", name, oneLine(fmt.Sprintf(format, args...)))
	}
	line("node", "%s, configuration version %d", r.Node, r.Version)
	if r.Route != "" {
		split := ""
		if r.Split {
			split = " (for the next request; the route is divided)"
		}
		line("route", "%s, policy %s, service %s%s", r.Route, r.Policy, r.Service, split)
		tenant := r.Tenant
		if tenant == "" {
			tenant = "none"
		}
		line("tenant", "%s, rank %d", tenant, r.Rank)
		line("times", "target %s, deadline %s", formatMs(r.TargetMs), formatMs(r.DeadlineMs))
	}
	if r.Quota != "" {
		line("quota", "%s", r.Quota)
	}
	if r.Refusal != nil {
		line("refused", "status %d, reason %s", r.Refusal.Status, r.Refusal.Reason)
		if r.RetryAfterMs > 0 {
			line("retry", "after %s", formatMs(r.RetryAfterMs))
		}
	}
	if len(r.Candidates) == 0 {
		return nil
	}
	line("choice", "by %s, %d draws, %d of %d instances shown", r.Balancing, r.Draws, len(r.Candidates), r.Total)
	var rows [][]any
	for _, c := range r.Candidates {
		load := "unknown"
		if c.Load != nil {
			load = fmt.Sprintf("%d+%d/%d", c.Load.InUse, c.Load.Queued, c.Load.Limit)
		}
		completion := "-"
		if c.CompletionMs > 0 {
			completion = formatMs(c.CompletionMs)
		}
		rows = append(rows, []any{c.Instance, c.Zone, c.State, c.Chosen, load, c.InFlight, fmt.Sprintf("%.2f", c.Score), completion, explainCandidate(c)})
	}
	return e.writeTable("INSTANCE ZONE STATE CHOSEN LOAD IN-FLIGHT SCORE COMPLETION WHY", rows)
}

// explainCandidate says why an instance was chosen or not.
func explainCandidate(c proxy.ExplainCandidate) string {
	switch {
	case c.PassedOver != "":
		return "passed over: " + c.PassedOver
	case c.LastResort:
		return "last resort, in spite of " + c.PassedOverBut
	case c.Chosen > 0:
		return "chosen: " + c.Relation
	}
	return "eligible, others are preferred"
}

func formatMs(ms float64) string {
	return time.Duration(ms * float64(time.Millisecond)).String()
}
