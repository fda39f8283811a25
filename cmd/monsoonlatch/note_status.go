package main

import (
	"context"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/config"
	"github.com/monsoonlatch/monsoonlatch/pkg/event"
	"github.com/monsoonlatch/monsoonlatch/pkg/fault"
	"github.com/monsoonlatch/monsoonlatch/pkg/platform"
	"github.com/monsoonlatch/monsoonlatch/pkg/release"
	"github.com/monsoonlatch/monsoonlatch/pkg/status"
)

// statusPollInterval is the time between two reads of the status while --wait is in effect. Relays write their status
// once a second.
const statusPollInterval = 500 * time.Millisecond

type noteStatus struct {
	ID string `arg:"" optional:"" help:"Id of the release note; the latest one if left out."`
}

// noteReport shows on which nodes a release note is in force.
type noteReport struct {
	Note        config.NoteRecord `json:"note"`
	HeadVersion config.Version    `json:"headVersion"`
	Everywhere  bool              `json:"everywhere"`
	Tally       status.Tally      `json:"tally"`
	Zones       []zoneTally       `json:"zones"`
	// Missing lists the nodes on which the note is not known to be in force.
	Missing    []status.Node `json:"missing"`
	Unreadable []string      `json:"unreadable,omitempty"`
}

type zoneTally struct {
	Zone string `json:"zone"`
	status.Tally
}

// Run shows where the release note is in force.
func (c *noteStatus) Run(e *env) error {
	r, err := withStore(e, func(ctx context.Context, store platform.Store) (noteReport, error) {
		return readNoteReport(ctx, store, c.ID)
	})
	if err != nil {
		return err
	}
	if !e.JSON {
		return r.print(e)
	}
	if err := e.writeJSON(r); err != nil {
		return err
	}
	return r.everywhereError()
}

func readNoteReport(ctx context.Context, store platform.Store, id string) (noteReport, error) {
	o, err := release.Status(ctx, store)
	if err != nil {
		return noteReport{}, err
	}
	record, err := o.Record(id)
	if err != nil {
		return noteReport{}, err
	}
	all := o.Nodes(record.Version)
	r := noteReport{Note: record, HeadVersion: o.Head.Version, Tally: status.Count(all), Zones: countByZone(all), Missing: []status.Node{}}
	for _, n := range all {
		if n.Rollout != status.InForce {
			r.Missing = append(r.Missing, n)
		}
	}
	for _, unreadable := range o.Unreadable {
		r.Unreadable = append(r.Unreadable, unreadable.Error())
	}
	// A status object that cannot be parsed may contain nodes on which the note is not in force.
	r.Everywhere = r.Tally.Everywhere() && len(r.Unreadable) == 0
	return r, nil
}

// countByZone counts the nodes of each zone. The nodes must be ordered by zone.
func countByZone(nodes []status.Node) []zoneTally {
	out := []zoneTally{}
	for from := 0; from < len(nodes); {
		to := from
		for to < len(nodes) && nodes[to].Zone == nodes[from].Zone {
			to++
		}
		out = append(out, zoneTally{nodes[from].Zone, status.Count(nodes[from:to])})
		from = to
	}
	return out
}

func (r noteReport) everywhereError() error {
	if r.Everywhere {
		return nil
	}
	return errNotInForce
}

func (r noteReport) print(e *env) error {
	e.printf("release note %s: version %d by %s: %s\n", r.Note.ID, r.Note.Version, oneLine(r.Note.Author), oneLine(r.Note.Summary))
	switch {
	case r.Everywhere:
		e.printf("in force at all %d nodes\n", r.Tally.InForce)
	case r.Tally == status.Tally{}:
		e.printf("no node is reported; remedy: check that the relays are running and can reach the platform\n")
	default:
		e.printf("in force at %d nodes, lagging at %d, diverged at %d, cut off %d\n", r.Tally.InForce, r.Tally.Lagging, r.Tally.Diverged, r.Tally.CutOff)
	}
	if r.Tally.Diverged > 0 {
		e.printf("diverged nodes serve a configuration that differs from the head; remedy: if the platform was restored, " +
			"submit the lost notes again, the first one with --raise-above set to the highest version listed below\n")
	}
	for _, unreadable := range r.Unreadable {
		e.printf("%s\n", oneLine(unreadable))
	}
	var rows [][]any
	for _, z := range r.Zones {
		rows = append(rows, []any{z.Zone, z.InForce, z.Lagging, z.Diverged, z.CutOff})
	}
	if err := e.writeTable("ZONE IN-FORCE LAGGING DIVERGED CUT-OFF", rows); err != nil {
		return err
	}
	if len(r.Missing) > 0 {
		e.printf("\n")
		if err := e.writeNodeTable(r.Missing); err != nil {
			return err
		}
	}
	return r.everywhereError()
}

// awaitEverywhere reads the report until the note is in force everywhere or maxWait has passed, but at least once.
// While the platform is unavailable it keeps trying.
func (e *env) awaitEverywhere(store platform.Store, id string, maxWait time.Duration) (noteReport, error) {
	waitCtx, cancel := context.WithTimeout(e.ctx, maxWait)
	defer cancel()
	tick := time.NewTicker(statusPollInterval)
	defer tick.Stop()
	for {
		// Each call has its own deadline. maxWait ends only the waits in between, so that the last read is complete.
		r, err := readNoteReport(e.ctx, store, id)
		if err == nil && r.Everywhere || err != nil && !fault.Is(err, fault.Unavailable) {
			return r, err
		}
		if err != nil {
			event.WaitInterrupted.Write(event.WaitInterrupted.Log(e.log).Str("note", id).Err(err))
		}
		select {
		case <-tick.C:
		case <-waitCtx.Done():
			return r, err
		}
	}
}
