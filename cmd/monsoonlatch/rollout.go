package main

import (
	"context"
	"errors"
	"fmt"
	"net"

	"github.com/monsoonlatch/monsoonlatch/pkg/directory"
)

// maxRolloutBytes limits the response of a node.
const maxRolloutBytes = 4 << 20

type rolloutCommand struct {
	Service string `arg:"" optional:"" help:"Only the roll-out of this service."`
	Node    string `help:"Operators' address of a node, such as 10.1.0.8:7990." env:"MONSOONLATCH_NODE" placeholder:"ADDRESS"`
	Follow  bool   `help:"Ask the node that decides if the given one names another." default:"true" negatable:""`
}

// Run shows the roll-outs in progress: what the asked node follows, and what the deciding node knows.
func (c *rolloutCommand) Run(e *env) error {
	if c.Node == "" {
		return usageError{errors.New("no node is named; remedy: set --node or MONSOONLATCH_NODE to the operators' address of a node")}
	}
	ctx, cancel := e.callContext()
	defer cancel()
	report, err := readRollouts(ctx, e, c.Node)
	if err != nil {
		return err
	}
	if decider := deciderAddress(c.Node, report.Decider); c.Follow && decider != "" {
		if decided, err := readRollouts(ctx, e, decider); err == nil {
			report.Orders = decided.Orders
		} else {
			_ = printError(e.errOut, err) // What the asked node knows is shown all the same.
		}
	}
	c.filter(&report)
	if e.JSON {
		return e.writeJSON(report)
	}
	return e.writeRollouts(report)
}

// readRollouts reads what a node knows of the roll-outs.
func readRollouts(ctx context.Context, e *env, address string) (directory.RolloutReport, error) {
	return readReport[directory.RolloutReport](ctx, e, address, reportSource{
		op: "roll-outs", path: "/rollouts", maxBytes: maxRolloutBytes,
		absent: "the node knows nothing of roll-outs", remedy: "ask a node on whose platform roll-outs are in force",
	})
}

// deciderAddress returns the operators' address of the deciding node, whose port is that of all nodes; empty if it is the asked
// node or not known.
func deciderAddress(asked, control string) string {
	_, port, err := net.SplitHostPort(asked)
	if err != nil {
		return ""
	}
	host, _, err := net.SplitHostPort(control)
	if err != nil {
		return ""
	}
	if address := net.JoinHostPort(host, port); address != asked {
		return address
	}
	return ""
}

// filter keeps the roll-out of one service, if one is named.
func (c *rolloutCommand) filter(r *directory.RolloutReport) {
	if c.Service == "" {
		return
	}
	plans, orders := r.Plans, r.Orders
	r.Plans, r.Orders = []directory.RolloutPlan{}, nil
	for _, p := range plans {
		if p.Service == c.Service {
			r.Plans = append(r.Plans, p)
		}
	}
	for _, o := range orders {
		if o.Service == c.Service {
			r.Orders = append(r.Orders, o)
		}
	}
}

func (e *env) writeRollouts(r directory.RolloutReport) error {
	var rows [][]any
	for _, p := range r.Plans {
		rows = append(rows, []any{p.Service, p.Target, p.Phase, fmt.Sprintf("%.0f%%", 100*p.Share), p.Halted, p.Withdrawn})
	}
	if err := e.writeTable("SERVICE VERSION PHASE SHARE HALTED WITHDRAWN", rows); err != nil {
		return err
	}
	e.printf("\nstore era %d, restored %d times since the start of the node\n", r.StoreEra, r.StoreRestores)
	for _, o := range r.Orders {
		e.printf("\n%s to %s: %s, %.1f s of %.0f s\n", oneLine(o.Service), oneLine(o.Target), o.Phase, o.AgeSeconds, o.DurationSecs)
		e.printf("  exposure   %d of %d requests, %d allowed, %d granted\n", o.Exposed, o.Requests, o.Allowed, o.Granted)
		e.printf("  new        %d answers, %d failed, at %d instances on trial\n", o.Answers, o.Failures, len(o.Trial))
		e.printf("  old        %d answers, %d failed, at %d instances\n", o.OldAnswers, o.OldFailures, o.OldInstances)
		e.printf("  judgement  %s\n", oneLine(o.Judgement))
		if o.Reason != "" {
			e.printf("  reason     %s\n", oneLine(o.Reason))
		}
	}
	return nil
}
