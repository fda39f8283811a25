package config

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"

	"github.com/monsoonlatch/monsoonlatch/pkg/fault"
)

// MaxNoteBytes is the largest release note file; its content must fit into the head object.
const MaxNoteBytes = 1 << 20

// Document is a release note together with the lines of its items.
type Document struct {
	Note  ReleaseNote
	lines map[string]int
}

// LineError is an error at a line of a release note file.
type LineError struct {
	Line int
	Err  error
}

func (e *LineError) Error() string { return fmt.Sprintf("line %d: %v", e.Line, e.Err) }

func (e *LineError) Unwrap() error { return e.Err }

// ParseNote reads a release note in YAML or JSON.
func ParseNote(data []byte) (ReleaseNote, error) {
	doc, err := ParseDocument(data)
	return doc.Note, err
}

// ParseDocument reads a release note in YAML or JSON. Unknown and repeated fields are errors, and so is a second
// document.
func ParseDocument(data []byte) (Document, error) {
	if len(data) > MaxNoteBytes {
		return Document{}, invalid("release note", fmt.Sprintf("has %d bytes, more than %d", len(data), MaxNoteBytes), "split the note")
	}
	var root yaml.Node
	dec := yaml.NewDecoder(bytes.NewReader(data))
	if err := dec.Decode(&root); errors.Is(err, io.EOF) {
		return Document{}, invalid("release note", "the file is empty", "write id, author, summary and add, change or withdraw")
	} else if err != nil {
		return Document{}, parseErrors(err)
	}
	if err := dec.Decode(new(yaml.Node)); !errors.Is(err, io.EOF) {
		return Document{}, invalid("release note", "the file holds more than one document", "put each note into a file of its own")
	}
	doc := Document{lines: make(map[string]int)}
	if err := doc.refuseAliases(&root); err != nil {
		return Document{}, err
	}
	strict := yaml.NewDecoder(bytes.NewReader(data))
	strict.KnownFields(true)
	if err := strict.Decode(&doc.Note); err != nil {
		return Document{}, parseErrors(err)
	}
	doc.index(&root)
	return doc, nil
}

// refuseAliases rejects YAML aliases: they hide which line sets a value, and nested ones expand without bound.
func (d Document) refuseAliases(n *yaml.Node) error {
	if n.Kind == yaml.AliasNode {
		return &LineError{n.Line, invalid("release note", "uses the alias *"+n.Value, "write the value out")}
	}
	for _, child := range n.Content {
		if err := d.refuseAliases(child); err != nil {
			return err
		}
	}
	return nil
}

var itemKinds = map[string]string{"services": "service", "policies": "policy", "routes": "route"}

// index records the line on which each item is named.
func (d Document) index(root *yaml.Node) {
	for key, section := range entries(root) {
		d.lines["release note"] = min(nonZero(d.lines["release note"], key.Line), key.Line)
		if key.Value != "add" && key.Value != "change" && key.Value != "withdraw" {
			continue
		}
		for list, items := range entries(section) {
			for _, item := range items.Content {
				d.lines[itemKinds[list.Value]+" "+itemName(item)] = item.Line
			}
		}
	}
}

func nonZero(a, b int) int {
	if a == 0 {
		return b
	}
	return a
}

func itemName(n *yaml.Node) string {
	if n.Kind == yaml.ScalarNode {
		return n.Value
	}
	for key, value := range entries(n) {
		if key.Value == "name" {
			return value.Value
		}
	}
	return ""
}

// entries yields the pairs of a mapping, and nothing for another node.
func entries(n *yaml.Node) func(yield func(key, value *yaml.Node) bool) {
	return func(yield func(key, value *yaml.Node) bool) {
		if n.Kind == yaml.DocumentNode && len(n.Content) == 1 {
			n = n.Content[0]
		}
		if n.Kind != yaml.MappingNode {
			return
		}
		for i := 0; i+1 < len(n.Content); i += 2 {
			if !yield(n.Content[i], n.Content[i+1]) {
				return
			}
		}
	}
}

// Locate returns the errors inside err, each with the line of its item where the note names it, in order of lines.
func (d Document) Locate(err error) []error {
	var out []error
	for _, e := range flatten(err) {
		var f *fault.Error
		if errors.As(e, &f) {
			if line := d.lines[f.Op]; line > 0 {
				e = &LineError{line, e}
			}
		}
		out = append(out, e)
	}
	slices.SortStableFunc(out, func(a, b error) int { return lineOf(a) - lineOf(b) })
	return out
}

// lineOf returns the line of an error, or 0.
func lineOf(err error) int {
	var l *LineError
	if errors.As(err, &l) {
		return l.Line
	}
	return 0
}

// flatten lists the parts of joined errors.
func flatten(err error) []error {
	if err == nil {
		return nil
	}
	joined, ok := err.(interface{ Unwrap() []error })
	if !ok {
		return []error{err}
	}
	var out []error
	for _, e := range joined.Unwrap() {
		out = append(out, flatten(e)...)
	}
	return out
}

var yamlLine = regexp.MustCompile(`line (\d+): (.*)`)

// parseErrors gives the messages of the YAML library a line, a kind and a remedy each.
func parseErrors(err error) error {
	messages := []string{strings.TrimPrefix(err.Error(), "yaml: ")}
	var typed *yaml.TypeError
	if errors.As(err, &typed) {
		messages = typed.Errors
	}
	var errs []error
	for _, m := range messages {
		m = strings.ReplaceAll(m, "in type config.", "in a ")
		parts := yamlLine.FindStringSubmatch(m)
		if parts == nil {
			errs = append(errs, invalid("release note", m, "correct the value"))
			continue
		}
		line, _ := strconv.Atoi(parts[1])
		errs = append(errs, &LineError{line, invalid("release note", parts[2], parseRemedy(parts[2]))})
	}
	return errors.Join(errs...)
}

func parseRemedy(message string) string {
	switch {
	case strings.Contains(message, "not found in"):
		return "correct the spelling of the field or remove it"
	case strings.Contains(message, "already defined"):
		return "keep one of the fields with this name"
	case strings.Contains(message, "duration"):
		return "write a number with a unit, such as 250ms or 2s"
	case strings.Contains(message, "cannot unmarshal"):
		return "write a value of the wanted type"
	}
	return "correct the YAML or JSON at this line"
}
