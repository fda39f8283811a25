package main

import (
	"slices"

	"github.com/monsoonlatch/monsoonlatch/pkg/release"
)

type noteList struct {
	Limit int `help:"Show at most this many notes; 0 shows all that the head records." default:"20"`
}

// Run lists the accepted release notes, latest first.
func (c *noteList) Run(e *env) error {
	head, err := withStore(e, release.ReadHead)
	if err != nil {
		return err
	}
	notes := slices.Clone(head.Notes)
	slices.Reverse(notes)
	if c.Limit > 0 && len(notes) > c.Limit {
		notes = notes[:c.Limit]
	}
	if e.JSON {
		return e.writeJSON(notes)
	}
	var rows [][]any
	for _, n := range notes {
		rows = append(rows, []any{n.Version, n.ID, n.Author, n.Summary})
	}
	return e.writeTable("VERSION ID AUTHOR SUMMARY", rows)
}
