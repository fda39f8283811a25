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

// MaxNoteBytes is the maximum size of a release note file, whose content must fit into the head object.
const MaxNoteBytes = 1 << 20

// Document is a release note together with the line numbers of its items.
type Document struct {
	Note ReleaseNote
	// lines holds the line of each item under the item's kind and name, such as "route lookup".
	lines map[string]int
}

// LineError is an error with the line of the release note file that it refers to.
type LineError struct {
	Line int
	Err  error
}

func (e *LineError) Error() string { return fmt.Sprintf("line %d: %v", e.Line, e.Err) }

func (e *LineError) Unwrap() error { return e.Err }

// ParseNote parses a release note in YAML or JSON.
func ParseNote(data []byte) (ReleaseNote, error) {
	doc, err := ParseDocument(data)
	return doc.Note, err
}

// ParseDocument parses a release note in YAML or JSON. It rejects unknown fields, duplicate fields and files with more
// than one YAML document.
func ParseDocument(data []byte) (Document, error) {
	if len(data) > MaxNoteBytes {
		return Document{}, invalid("release note", fmt.Sprintf("has %d bytes, more than %d", len(data), MaxNoteBytes), "split it into several release notes")
	}
	data = replaceJSONEscapes(data)
	var root yaml.Node
	dec := yaml.NewDecoder(bytes.NewReader(data))
	if err := dec.Decode(&root); errors.Is(err, io.EOF) {
		return Document{}, invalid("release note", "the file is empty", "set id, author, summary, and at least one of add, change and withdraw")
	} else if err != nil {
		return Document{}, convertYAMLErrors(err)
	}
	if err := dec.Decode(new(yaml.Node)); !errors.Is(err, io.EOF) {
		return Document{}, invalid("release note", "the file contains more than one document", "put each release note into its own file")
	}
	doc := Document{lines: make(map[string]int)}
	if err := doc.rejectAliases(&root); err != nil {
		return Document{}, err
	}
	strict := yaml.NewDecoder(bytes.NewReader(data))
	strict.KnownFields(true)
	if err := strict.Decode(&doc.Note); err != nil {
		return Document{}, convertYAMLErrors(err)
	}
	doc.indexLines(&root)
	return doc, nil
}

// rejectAliases rejects YAML aliases, because they hide which line sets a value and nested aliases can expand to an
// unlimited size.
func (d Document) rejectAliases(n *yaml.Node) error {
	if n.Kind == yaml.AliasNode {
		return &LineError{n.Line, invalid("release note", "uses the YAML alias *"+n.Value, "replace the alias with the value")}
	}
	for _, child := range n.Content {
		if err := d.rejectAliases(child); err != nil {
			return err
		}
	}
	return nil
}

// itemKinds maps the name of a list in a release note to the kind of its items.
var itemKinds = map[string]string{"services": "service", "policies": "policy", "routes": "route", "tenants": "tenant"}

// indexLines records the line of each item, and the first line of the note.
func (d Document) indexLines(root *yaml.Node) {
	for key, section := range mappingEntries(root) {
		d.lines["release note"] = min(firstNonZero(d.lines["release note"], key.Line), key.Line)
		if key.Value != "add" && key.Value != "change" && key.Value != "withdraw" {
			continue
		}
		for list, items := range mappingEntries(section) {
			for _, item := range items.Content {
				d.lines[itemKinds[list.Value]+" "+itemName(item)] = item.Line
			}
		}
	}
}

// firstNonZero returns a, or b if a is 0.
func firstNonZero(a, b int) int {
	if a == 0 {
		return b
	}
	return a
}

// itemName returns the name of a list item: the scalar itself, or its "name" entry.
func itemName(n *yaml.Node) string {
	if n.Kind == yaml.ScalarNode {
		return n.Value
	}
	for key, value := range mappingEntries(n) {
		if key.Value == "name" {
			return value.Value
		}
	}
	return ""
}

// mappingEntries yields the key-value pairs of a mapping node, and nothing for any other node.
func mappingEntries(n *yaml.Node) func(yield func(key, value *yaml.Node) bool) {
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

// LocateErrors splits joined errors, adds the line of the item to each error whose item the note contains, and returns
// the errors sorted by line.
func (d Document) LocateErrors(err error) []error {
	var out []error
	for _, e := range flattenErrors(err) {
		var f *fault.Error
		if errors.As(e, &f) {
			if line := d.lines[f.Op]; line > 0 {
				e = &LineError{line, e}
			}
		}
		out = append(out, e)
	}
	slices.SortStableFunc(out, func(a, b error) int { return errorLine(a) - errorLine(b) })
	return out
}

// errorLine returns the line of a LineError in err, or 0 if there is none.
func errorLine(err error) int {
	var l *LineError
	if errors.As(err, &l) {
		return l.Line
	}
	return 0
}

// flattenErrors returns the single errors of joined errors.
func flattenErrors(err error) []error {
	if err == nil {
		return nil
	}
	joined, ok := err.(interface{ Unwrap() []error })
	if !ok {
		return []error{err}
	}
	var out []error
	for _, e := range joined.Unwrap() {
		out = append(out, flattenErrors(e)...)
	}
	return out
}

// yamlLinePattern matches the line number in a message of the YAML library.
var yamlLinePattern = regexp.MustCompile(`line (\d+): (.*)`)

// convertYAMLErrors converts an error of the YAML library to Invalid errors with a line and a remedy each.
func convertYAMLErrors(err error) error {
	messages := []string{strings.TrimPrefix(err.Error(), "yaml: ")}
	var typed *yaml.TypeError
	if errors.As(err, &typed) {
		messages = typed.Errors
	}
	var errs []error
	for _, m := range messages {
		m = strings.ReplaceAll(m, "in type config.", "in a ")
		parts := yamlLinePattern.FindStringSubmatch(m)
		if parts == nil {
			errs = append(errs, invalid("release note", m, "correct the value"))
			continue
		}
		line, _ := strconv.Atoi(parts[1])
		errs = append(errs, &LineError{line, invalid("release note", parts[2], yamlErrorRemedy(parts[2]))})
	}
	return errors.Join(errs...)
}

func yamlErrorRemedy(message string) string {
	switch {
	case strings.Contains(message, "not found in"):
		return "correct the spelling of the field or remove it"
	case strings.Contains(message, "already defined"):
		return "keep one of the fields with this name"
	case strings.Contains(message, "duration"):
		return "use a number with a unit, such as 250ms or 2s"
	case strings.Contains(message, "cannot unmarshal"):
		return "use a value of the expected type"
	}
	return "correct the YAML or JSON at this line"
}
