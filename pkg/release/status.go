package release

import (
	"context"
	"fmt"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/config"
	"github.com/monsoonlatch/monsoonlatch/pkg/fault"
	"github.com/monsoonlatch/monsoonlatch/pkg/platform"
	"github.com/monsoonlatch/monsoonlatch/pkg/status"
)

// Overview joins the head with the reports of all zones, as read at one time.
type Overview struct {
	Head  config.Head
	Zones []status.ZoneStatus
	// Unreadable are the errors of status objects that could not be read.
	Unreadable []error
	ReadAt     time.Time
}

// Status reads the status objects and then the head, so that a version above the head's is not one that was accepted in
// between.
func Status(ctx context.Context, store platform.Store) (Overview, error) {
	zones, bad, err := readZones(ctx, store)
	if err != nil {
		return Overview{}, err
	}
	head, err := ReadHead(ctx, store)
	return Overview{Head: head, Zones: zones, Unreadable: bad, ReadAt: time.Now()}, err
}

// Nodes returns the nodes with their place for a version.
func (o Overview) Nodes(version config.Version) []status.Node {
	target := status.Target{Version: version, HeadVersion: o.Head.Version, HeadHash: o.Head.Hash}
	return status.Classify(target, o.Zones, o.ReadAt)
}

// Record returns the accepted note with an id, or the latest note for an empty id.
func (o Overview) Record(id string) (config.NoteRecord, error) {
	if id == "" && len(o.Head.Notes) > 0 {
		return o.Head.Notes[len(o.Head.Notes)-1], nil
	}
	if r, ok := o.Head.Note(id); ok {
		return r, nil
	}
	if id == "" {
		return config.NoteRecord{}, fault.New(fault.NotFound, "status", "no release note has been accepted", "submit one")
	}
	return config.NoteRecord{}, fault.New(fault.NotFound, "status of "+id,
		fmt.Sprintf("not among the last %d accepted notes", config.MaxNoteRecords), "check the id with note list")
}
