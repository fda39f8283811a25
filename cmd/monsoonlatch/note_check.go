package main

import (
	"errors"
	"fmt"

	"github.com/monsoonlatch/monsoonlatch/pkg/config"
	"github.com/monsoonlatch/monsoonlatch/pkg/release"
)

type noteCheck struct {
	File    string   `arg:"" help:"Release note in YAML or JSON; - reads standard input."`
	After   []string `sep:"none" help:"Check on top of these release notes, in order, instead of the platform's head." placeholder:"FILE"`
	Offline bool     `help:"Check on top of an empty configuration and the notes of --after, without contacting the platform."`
}

// checkReport is the JSON output of note check.
type checkReport struct {
	OK       bool         `json:"ok"`
	ID       string       `json:"id,omitempty"`
	Digest   string       `json:"digest,omitempty"`
	Base     string       `json:"base"`
	Hash     string       `json:"hash,omitempty"`
	Touched  config.Names `json:"touched"`
	Problems []problem    `json:"problems"`
}

// Run checks the release note and prints the result.
func (c *noteCheck) Run(e *env) error {
	doc, err := e.readNote(c.File)
	var usage usageError
	if errors.As(err, &usage) {
		return err
	}
	r := checkReport{ID: doc.Note.ID, Base: "not read", Touched: doc.Note.Touched(), Problems: []problem{}}
	if err == nil {
		var head config.Head
		if head, r.Base, err = c.baseHead(e); err != nil {
			return err
		}
		var next config.Head
		next, err = release.Preview(head, doc.Note)
		r.Hash = next.Hash
	}
	if err == nil {
		r.Digest, err = doc.Note.Digest()
	}
	if err != nil {
		r.Problems = listProblems(doc, err)
	}
	r.OK = err == nil
	return c.write(e, r)
}

func (c *noteCheck) write(e *env, r checkReport) error {
	var err error
	if e.JSON {
		err = e.writeJSON(r)
	} else if r.OK {
		e.printf("%s: release note %s is valid on top of %s\n", c.File, r.ID, r.Base)
	} else {
		e.printProblems(c.File, r.Problems)
	}
	if err == nil && !r.OK {
		return errInvalidNote
	}
	return err
}

// baseHead returns the head to check the note against, and a description of it for the output.
func (c *noteCheck) baseHead(e *env) (config.Head, string, error) {
	if len(c.After) == 0 && !c.Offline && e.Platform != "" {
		store, err := e.newPlatformClient()
		if err != nil {
			return config.Head{}, "", err
		}
		defer store.Close()
		ctx, cancel := e.callContext()
		defer cancel()
		head, err := release.ReadHead(ctx, store)
		return head, fmt.Sprintf("version %d of the platform", head.Version), err
	}
	head, err := config.NewHead()
	if err != nil {
		return config.Head{}, "", err
	}
	for _, file := range c.After {
		doc, err := e.readNote(file)
		if err == nil {
			head, err = release.Preview(head, doc.Note)
		}
		if err != nil {
			return config.Head{}, "", usageError{fmt.Errorf("--after=%s: %w", file, err)}
		}
	}
	if len(c.After) > 0 {
		return head, fmt.Sprintf("the %d notes of --after", len(c.After)), nil
	}
	return head, "an empty configuration", nil
}
