package main

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/monsoonlatch/monsoonlatch/pkg/admin"
)

// maxTenantReportBytes limits the response of a node.
const maxTenantReportBytes = 1 << 20

type tenantsCommand struct {
	Node []string `help:"Operators' address of a node, such as 10.1.0.8:7990; with --all also several, separated by commas." env:"MONSOONLATCH_NODE" placeholder:"ADDRESS"`
	All  bool     `help:"Ask all nodes that --node names."`
	Top  int      `help:"Show at most this many tenants of a node, up to 200." default:"20"`
}

// Run shows the tenants with the most use at each node that is asked, and why nodes refused requests.
func (c *tenantsCommand) Run(e *env) error {
	switch {
	case len(c.Node) == 0:
		return usageError{errors.New("no node is named; remedy: set --node or MONSOONLATCH_NODE to the operators' address of a node")}
	case len(c.Node) > 1 && !c.All:
		return usageError{errors.New("several nodes are named; remedy: add --all, or name one node")}
	case c.Top < 1 || c.Top > admin.MaxTopTenants:
		return usageError{fmt.Errorf("--top must be from 1 to %d", admin.MaxTopTenants)}
	}
	ctx, cancel := e.callContext()
	defer cancel()
	reports := []admin.TenantReport{}
	var failed error
	for _, address := range c.Node {
		report, err := readTenants(ctx, e, address, c.Top)
		if err != nil {
			failed = errors.Join(failed, err)
			continue
		}
		reports = append(reports, report)
	}
	if len(reports) == 0 {
		return failed
	}
	if e.JSON {
		if err := e.writeJSON(reports); err != nil || failed == nil {
			return err
		}
		_ = printError(e.errOut, failed)
		return errShown{failed}
	}
	if err := e.writeTenants(reports); err != nil {
		return err
	}
	return failed
}

// readTenants asks a node for its tenants.
func readTenants(ctx context.Context, e *env, address string, top int) (admin.TenantReport, error) {
	return readReport[admin.TenantReport](ctx, e, address, reportSource{
		op: "tenants", path: fmt.Sprintf("/tenants?top=%d", top), maxBytes: maxTenantReportBytes,
		absent: "the node tells nothing of tenants", remedy: "give the operators' address of a node of this version",
	})
}

func (e *env) writeTenants(reports []admin.TenantReport) error {
	var uses, refusals [][]any
	for _, r := range reports {
		e.printf("%s: %d of %d slots in use, %d requests waiting, %d tenants\n", oneLine(r.Node), r.InUse, r.Limit, r.Queued, r.Tenants)
		for _, t := range r.Top {
			name := t.Name
			if name == "" {
				name = "(none)"
			}
			uses = append(uses, []any{r.Node, name, formatMs(t.SlotMs), t.InUse, t.Queued, t.Asked, t.Started})
		}
		for _, reason := range slices.Sorted(maps.Keys(r.Refusals)) {
			refusals = append(refusals, []any{r.Node, reason, r.Refusals[reason]})
		}
	}
	e.printf("\n")
	if err := e.writeTable("NODE TENANT SLOT-TIME IN-USE WAITING ASKED STARTED", uses); err != nil {
		return err
	}
	e.printf("\n")
	return e.writeTable("NODE REFUSED-FOR COUNT", refusals)
}
