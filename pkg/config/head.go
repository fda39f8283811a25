package config

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/monsoonlatch/monsoonlatch/pkg/fault"
)

// MaxNoteRecords is the number of latest accepted release notes that the head keeps records of.
const MaxNoteRecords = 256

// MaxVersion is the highest version: 2^53, up to which JSON tools represent integers exactly.
const MaxVersion Version = 1 << 53

// NewHead returns the head that precedes the first release note: version 0 with an empty configuration.
func NewHead() (Head, error) {
	c := Configuration{}.Clone()
	hash, err := c.Hash()
	return Head{Hash: hash, Configuration: c}, err
}

// Accept applies the note and returns the next head. The receiver is not modified.
func (h Head) Accept(note ReleaseNote) (Head, error) {
	if h.Version >= MaxVersion {
		return Head{}, fault.New(fault.Invalid, "release note", fmt.Sprintf("version %d has reached the maximum and cannot be followed by another", h.Version),
			"lower the version that the next one is derived from (the head's or --raise-above)")
	}
	c, err := h.Configuration.Apply(note)
	if err != nil {
		return Head{}, err
	}
	hash, err := c.Hash()
	if err != nil {
		return Head{}, err
	}
	noteDigest, err := note.Digest()
	if err != nil {
		return Head{}, err
	}
	next := Head{Version: h.Version + 1, Hash: hash, Configuration: c}
	kept := h.Notes[max(0, len(h.Notes)+1-MaxNoteRecords):]
	next.Notes = append(slices.Clone(kept), NoteRecord{
		ID: note.ID, Digest: noteDigest, Version: next.Version, Author: note.Author, Summary: note.Summary, Touched: note.Touched(),
	})
	return next, nil
}

// Note returns the record of the release note with the given id.
func (h Head) Note(id string) (NoteRecord, bool) {
	i := slices.IndexFunc(h.Notes, func(r NoteRecord) bool { return r.ID == id })
	if i < 0 {
		return NoteRecord{}, false
	}
	return h.Notes[i], true
}

// ParseHead decodes the content of a head object and verifies the hash of its configuration.
func ParseHead(data []byte) (Head, error) {
	const remedy = "restore the head object from its last valid state; nodes keep their current configuration"
	var h Head
	if err := json.Unmarshal(data, &h); err != nil {
		return Head{}, fault.Wrap(fault.Invalid, "read the head", err, remedy)
	}
	h.Configuration = h.Configuration.Clone()
	hash, err := h.Configuration.Hash()
	if err != nil {
		return Head{}, err
	}
	if hash != h.Hash {
		return Head{}, fault.New(fault.Invalid, "read the head",
			fmt.Sprintf("the configuration of version %d has hash %s, but the head object records hash %s", h.Version, shortHash(hash), shortHash(h.Hash)), remedy)
	}
	return h, nil
}
