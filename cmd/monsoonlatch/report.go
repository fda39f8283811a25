package main

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/monsoonlatch/monsoonlatch/pkg/fault"
	"github.com/monsoonlatch/monsoonlatch/pkg/strict"
)

// nodeClient sends requests to nodes.
var nodeClient = &http.Client{Transport: strict.NewTransport(http.DefaultTransport.(*http.Transport))}

// reportSource is a report that a node gives operators.
type reportSource struct {
	// op names the report in errors.
	op string
	// path is the path and query at the operators' address.
	path string
	// maxBytes limits the response.
	maxBytes int64
	// absent and remedy are the text and the remedy of the error if the node has no such report.
	absent, remedy string
}

// readReport reads a report of type T from the node at address. An address that makes no URL is a usageError; other errors are
// faults: Unavailable if the node doesn't answer or answers with something else, NotFound if it has no such report.
func readReport[T any](ctx context.Context, e *env, address string, s reportSource) (report T, err error) {
	ctx, cancel := context.WithTimeout(ctx, e.CallTimeout)
	defer cancel()
	op := s.op + " at " + address
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+s.path, nil)
	if err != nil {
		return report, usageError{fault.Wrap(fault.Invalid, op, err, "give an IP address and a port")}
	}
	resp, err := nodeClient.Do(req)
	if err != nil {
		return report, fault.Wrap(fault.Unavailable, op, err, "check the node, or ask another one")
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := strict.ReadBody(resp, s.maxBytes)
	if err != nil {
		return report, fault.Wrap(fault.Unavailable, op, err, "check the node, or ask another one")
	}
	if resp.StatusCode != http.StatusOK || !strings.HasPrefix(resp.Header.Get("Content-Type"), "application/json") {
		return report, fault.New(fault.NotFound, op, s.absent, s.remedy)
	}
	if err := json.Unmarshal(data, &report); err != nil {
		return report, fault.Wrap(fault.Unavailable, op, err, "give the operators' address of a node")
	}
	return report, nil
}
