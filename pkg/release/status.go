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

// Overview combines the head with the status reports of all zones.
type Overview struct {
	Head  config.Head
	Zones []status.ZoneStatus
	// Unreadable holds the errors of the status objects that could not be parsed.
	Unreadable []error
	ReadAt     time.Time
}

// Status reads the status objects and the head. It reads the head last, so that a reported version above the head's
// cannot be one that was accepted between the two reads.
func Status(ctx context.Context, store platform.Store) (Overview, error) {
	zones, unreadable, err := readZoneStatuses(ctx, store)
	if err != nil {
		return Overview{}, err
	}
	head, err := ReadHead(ctx, store)
	return Overview{Head: head, Zones: zones, Unreadable: unreadable, ReadAt: time.Now()}, err
}

// Nodes returns the nodes, each with its Rollout, which tells whether the version is in force there.
func (o Overview) Nodes(version config.Version) []status.Node {
	target := status.Target{Version: version, HeadVersion: o.Head.Version, HeadHash: o.Head.Hash}
	return status.Classify(target, o.Zones, o.ReadAt)
}

// Record returns the record of the accepted note with the given id, or of the latest note if the id is empty.
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
		fmt.Sprintf("the release note is not among the last %d accepted ones", config.MaxNoteRecords), "look up the id with monsoonlatch note list")
}
