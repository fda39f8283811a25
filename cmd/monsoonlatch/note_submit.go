package main

import (
	"errors"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/config"
	"github.com/monsoonlatch/monsoonlatch/pkg/platform"
	"github.com/monsoonlatch/monsoonlatch/pkg/release"
)

type noteSubmit struct {
	File       string        `arg:"" help:"Release note in YAML or JSON; - reads standard input."`
	Wait       time.Duration `help:"Wait until the note is in force everywhere, at most this long." env:"MONSOONLATCH_WAIT" placeholder:"DURATION"`
	RaiseAbove uint64        `help:"Give the note a version above this one. Use it after the platform was restored to an older state than nodes serve." placeholder:"VERSION"`
}

// submitReport is the JSON output of note submit.
type submitReport struct {
	release.Result
	// Status is the last status that --wait has read, StatusError the error if it could not be read.
	Status      *noteReport `json:"status,omitempty"`
	StatusError string      `json:"statusError,omitempty"`
}

// Run submits the release note and waits for it to be in force if --wait is set.
func (c *noteSubmit) Run(e *env) error {
	if c.Wait < 0 {
		return usageError{errors.New("--wait must not be negative; remedy: set a duration such as 30s")}
	}
	doc, err := e.readNote(c.File)
	if err != nil {
		return c.reportProblems(e, doc, err)
	}
	store, err := e.newPlatformClient()
	if err != nil {
		return err
	}
	defer store.Close()
	ctx, cancel := e.callContext()
	defer cancel()
	result, err := release.Submit(ctx, store, doc.Note, release.WithLog(e.log), release.RaiseAbove(config.Version(c.RaiseAbove)))
	if err != nil {
		return c.reportProblems(e, doc, err)
	}
	if !e.JSON {
		c.print(e, result)
	}
	if c.Wait == 0 {
		return e.writeIfJSON(submitReport{Result: result})
	}
	return c.wait(e, store, result)
}

// wait waits until the accepted note is in force everywhere and prints its status. A note whose status cannot be read
// counts as not in force everywhere.
func (c *noteSubmit) wait(e *env, store platform.Store, result release.Result) error {
	r, err := e.awaitEverywhere(store, result.Record.ID, c.Wait)
	out := submitReport{Result: result}
	if err != nil {
		out.StatusError = err.Error()
		_ = printError(e.errOut, err)
		return errors.Join(e.writeIfJSON(out), errNotInForce)
	}
	if !e.JSON {
		return r.print(e)
	}
	out.Status = &r
	return errors.Join(e.writeJSON(out), r.everywhereError())
}

// reportProblems writes the errors of a rejected note, each with its line if known.
func (c *noteSubmit) reportProblems(e *env, doc config.Document, err error) error {
	var usage usageError
	if errors.As(err, &usage) {
		return err
	}
	list := listProblems(doc, err)
	if e.JSON {
		return errors.Join(e.writeJSON(map[string]any{"ok": false, "problems": list}), errInvalidNote)
	}
	e.printProblems(c.File, list)
	return errInvalidNote
}

func (c *noteSubmit) print(e *env, r release.Result) {
	switch {
	case r.Recognised:
		e.printf("release note %s was accepted before as version %d\n", r.Record.ID, r.Record.Version)
	case r.Rebased > 0:
		e.printf("release note %s is accepted as version %d, after %d write conflicts with other notes\n", r.Record.ID, r.Record.Version, r.Rebased)
	default:
		e.printf("release note %s is accepted as version %d\n", r.Record.ID, r.Record.Version)
	}
}

// writeIfJSON writes v if JSON output is set.
func (e *env) writeIfJSON(v any) error {
	if !e.JSON {
		return nil
	}
	return e.writeJSON(v)
}
