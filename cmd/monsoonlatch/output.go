package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"unicode"

	"github.com/monsoonlatch/monsoonlatch/pkg/config"
	"github.com/monsoonlatch/monsoonlatch/pkg/fault"
)

// problem is one error in a release note.
type problem struct {
	Line   int    `json:"line,omitempty"`
	Item   string `json:"item"`
	Detail string `json:"detail"`
	Remedy string `json:"remedy"`
}

// listProblems splits a joined error into its parts and adds to each the line in the release note, if known.
func listProblems(doc config.Document, err error) []problem {
	var out []problem
	for _, e := range doc.LocateErrors(err) {
		p := problem{Item: "release note", Detail: e.Error()}
		var line *config.LineError
		if errors.As(e, &line) {
			p.Line = line.Line
		}
		var f *fault.Error
		if errors.As(e, &f) {
			p.Item, p.Detail, p.Remedy = f.Op, f.Detail, f.Remedy
			if f.Err != nil {
				p.Detail = strings.TrimPrefix(f.Detail+": "+f.Err.Error(), ": ")
			}
		}
		out = append(out, p)
	}
	return out
}

// printProblems writes each problem on a line of its own, in the FILE:LINE form that editors recognise.
func (e *env) printProblems(file string, list []problem) {
	for _, p := range list {
		location := file
		if p.Line > 0 {
			location = fmt.Sprintf("%s:%d", file, p.Line)
		}
		e.printf("%s: %s: %s; remedy: %s\n", location, p.Item, p.Detail, p.Remedy)
	}
}

// readNote reads a release note from a file, or from standard input for "-". If the note has format errors, it returns
// the document as well, so that the errors can be located in it.
func (e *env) readNote(file string) (config.Document, error) {
	in := e.in
	if file != "-" {
		f, err := os.Open(file)
		if err != nil {
			return config.Document{}, usageError{err}
		}
		defer func() { _ = f.Close() }()
		in = f
	}
	data, err := io.ReadAll(io.LimitReader(in, config.MaxNoteBytes+1))
	if err != nil {
		return config.Document{}, usageError{err}
	}
	return config.ParseDocument(data)
}

func (e *env) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(e.out, format, args...)
}

func (e *env) writeJSON(v any) error {
	enc := json.NewEncoder(e.out)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// writeTable writes a header, given as space-separated column titles, and rows in aligned columns.
func (e *env) writeTable(header string, rows [][]any) error {
	w := tabwriter.NewWriter(e.out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, strings.ReplaceAll(header, " ", "\t"))
	for _, row := range rows {
		cells := make([]string, len(row))
		for i, cell := range row {
			cells[i] = oneLine(fmt.Sprint(cell))
		}
		_, _ = fmt.Fprintln(w, strings.Join(cells, "\t"))
	}
	return w.Flush()
}

// oneLine replaces control characters, which could forge rows of a table or send escape sequences to the terminal.
func oneLine(s string) string {
	return strings.Map(func(r rune) rune {
		if unicode.IsControl(r) {
			return ' '
		}
		return r
	}, s)
}
