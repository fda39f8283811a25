// Package release submits release notes to the platform's store and reads on which nodes they are in force.
package release

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/monsoonlatch/monsoonlatch/pkg/config"
	"github.com/monsoonlatch/monsoonlatch/pkg/fault"
	"github.com/monsoonlatch/monsoonlatch/pkg/platform"
	"github.com/monsoonlatch/monsoonlatch/pkg/status"
)

// objectOverheadBytes allows for the metadata that the stored object holds besides the head.
const objectOverheadBytes = 1 << 10

// storedHead is a head read from the store. version is the object's version for conditional updates; it is empty if the
// object does not exist yet.
type storedHead struct {
	head    config.Head
	version string
}

// ReadHead returns the stored head, or an empty head of version 0 if no release note has been accepted yet.
func ReadHead(ctx context.Context, store platform.Store) (config.Head, error) {
	stored, err := readStoredHead(ctx, store)
	return stored.head, err
}

func readStoredHead(ctx context.Context, store platform.Store) (storedHead, error) {
	obj, err := store.Get(ctx, platform.KindConfiguration, platform.HeadName)
	if fault.Is(err, fault.NotFound) {
		head, err := config.NewHead()
		return storedHead{head: head}, err
	}
	if err != nil {
		return storedHead{}, err
	}
	head, err := config.ParseHead(obj.Spec)
	return storedHead{head: head, version: obj.Version}, err
}

// Preview returns the head that submitting the note would produce, without writing it. It performs those checks of
// Submit that do not require the platform.
func Preview(head config.Head, note config.ReleaseNote) (config.Head, error) {
	if r, ok := head.Note(note.ID); ok {
		return config.Head{}, fault.New(fault.Conflict, "release note",
			fmt.Sprintf("a release note with id %s was accepted as version %d, submitted by %s", r.ID, r.Version, r.Author), "choose another id")
	}
	next, err := head.Accept(note)
	if err != nil {
		return config.Head{}, err
	}
	_, err = encodeHead(next)
	return next, err
}

// encodeHead returns the content of the head object. It fails if the object would exceed the platform's size limit.
func encodeHead(head config.Head) (json.RawMessage, error) {
	spec, err := json.Marshal(head)
	if err != nil {
		return nil, fault.Wrap(fault.Invalid, "write the head", err, "correct the value that cannot be encoded as JSON")
	}
	if size := len(spec) + objectOverheadBytes; size > platform.MaxObjectBytes {
		return nil, fault.New(fault.Invalid, "write the head",
			fmt.Sprintf("the head object would have %d bytes, more than the platform's limit of %d", size, platform.MaxObjectBytes),
			"withdraw routes that are no longer used, or merge routes with a common prefix; about 4,000 routes fit")
	}
	return spec, nil
}

// write stores next as the successor of h. The write fails with Conflict if the stored head is no longer h.
func (h storedHead) write(ctx context.Context, store platform.Store, next config.Head) error {
	spec, err := encodeHead(next)
	if err != nil {
		return err
	}
	obj := platform.Object{Kind: platform.KindConfiguration, Name: platform.HeadName, Version: h.version, Spec: spec}
	if h.version == "" {
		_, err = store.Create(ctx, obj)
	} else {
		_, err = store.Update(ctx, obj)
	}
	return err
}

// readZoneStatuses returns the status objects that can be parsed, and the parse errors of the others.
func readZoneStatuses(ctx context.Context, store platform.Store) (zones []status.ZoneStatus, unreadable []error, err error) {
	objects, err := store.List(ctx, platform.KindZoneStatus)
	if err != nil {
		return nil, nil, err
	}
	for _, obj := range objects {
		z, err := status.Parse(obj.Name, obj.Spec)
		if err != nil {
			unreadable = append(unreadable, err)
			continue
		}
		zones = append(zones, z)
	}
	return zones, unreadable, nil
}
