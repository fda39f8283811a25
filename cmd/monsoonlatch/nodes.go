package main

import (
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/release"
	"github.com/monsoonlatch/monsoonlatch/pkg/status"
)

type nodes struct {
	Zone    string `help:"Only nodes of this availability zone."`
	Service string `help:"Only nodes of this service."`
}

// Run lists the nodes.
func (c *nodes) Run(e *env) error {
	o, err := withStore(e, release.Status)
	if err != nil {
		return err
	}
	for _, unreadable := range o.Unreadable {
		_ = printError(e.errOut, unreadable)
	}
	list := []status.Node{}
	for _, n := range o.Nodes(o.Head.Version) {
		if (c.Zone == "" || n.Zone == c.Zone) && (c.Service == "" || n.Service == c.Service) {
			list = append(list, n)
		}
	}
	if e.JSON {
		return e.writeJSON(list)
	}
	return e.writeNodeTable(list)
}

func (e *env) writeNodeTable(list []status.Node) error {
	var rows [][]any
	for _, n := range list {
		rows = append(rows, []any{n.Zone, n.ID, n.Service, n.State, n.Version, n.Rollout, n.LastPoll.UTC().Format(time.RFC3339)})
	}
	return e.writeTable("ZONE NODE SERVICE STATE VERSION PLACE LAST-POLL", rows)
}
