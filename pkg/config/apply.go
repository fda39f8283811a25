package config

import (
	"errors"
	"fmt"
	"strings"
	"unicode"
	"unicode/utf8"
)

// Apply returns a copy of the configuration with the release note applied, or all errors of the note and of the
// resulting configuration, joined. The receiver is not modified.
func (c Configuration) Apply(note ReleaseNote) (Configuration, error) {
	errs := note.check()
	out := c.Clone()
	errs = append(errs, applyItems("service", out.Services, note.Add.Services, note.Change.Services, note.Withdraw.Services,
		func(s Service) (string, Service) { return s.Name, s.canonical() })...)
	errs = append(errs, applyItems("policy", out.Policies, note.Add.Policies, note.Change.Policies, note.Withdraw.Policies,
		func(p Policy) (string, Policy) { return p.Name, p })...)
	errs = append(errs, applyItems("route", out.Routes, note.Add.Routes, note.Change.Routes, note.Withdraw.Routes,
		func(r Route) (string, Route) { return r.Name, r.canonical() })...)
	errs = append(errs, applyItems("tenant", out.Tenants, note.Add.Tenants, note.Change.Tenants, note.Withdraw.Tenants,
		func(t Tenant) (string, Tenant) { return t.Name, t.canonical() })...)
	errs = append(errs, out.Check())
	if err := errors.Join(errs...); err != nil {
		return Configuration{}, err
	}
	return out, nil
}

func applyItems[V any](kind string, m map[string]V, add, change []V, withdraw []string, canonicalize func(V) (string, V)) []error {
	var errs []error
	seen := make(map[string]bool, len(add)+len(change)+len(withdraw))
	markSeen := func(name string) bool {
		if seen[name] {
			errs = append(errs, invalid(kind+" "+name, "appears more than once in the release note", "list each name only once under add, change or withdraw"))
			return false
		}
		seen[name] = true
		return true
	}
	for _, v := range add {
		name, v := canonicalize(v)
		if _, ok := m[name]; ok && !seen[name] {
			errs = append(errs, invalid(kind+" "+name, "cannot be added: it already exists", "list it under change, or choose another name"))
		}
		if markSeen(name) {
			m[name] = v
		}
	}
	for _, v := range change {
		name, v := canonicalize(v)
		if _, ok := m[name]; !ok {
			errs = append(errs, invalid(kind+" "+name, "cannot be changed: it does not exist", "list it under add, or correct the name"))
		}
		if markSeen(name) {
			m[name] = v
		}
	}
	for _, name := range withdraw {
		if _, ok := m[name]; !ok {
			errs = append(errs, invalid(kind+" "+name, "cannot be withdrawn: it does not exist", "correct the name or remove the line"))
		}
		if markSeen(name) {
			delete(m, name)
		}
	}
	return errs
}

// check returns the errors of the note that do not depend on the configuration that it is applied to.
func (n ReleaseNote) check() []error {
	var errs []error
	require := func(ok bool, detail, remedy string) {
		if !ok {
			errs = append(errs, invalid("release note", detail, remedy))
		}
	}
	problem := checkName(n.ID)
	require(problem == "", "id: "+problem, "set an id such as 2026-12-04-sealing-fees")
	require(n.Author != "", "author is missing", "set author to the person or team responsible for the change")
	withinLimit := len(n.Author) <= MaxSummaryBytes && len(n.Summary) <= MaxSummaryBytes
	require(withinLimit, fmt.Sprintf("author or summary has more than %d bytes", MaxSummaryBytes), "shorten it")
	require(utf8.ValidString(n.Author) && utf8.ValidString(n.Summary), "author or summary is not UTF-8", "save the file as UTF-8")
	require(!strings.ContainsFunc(n.Author+n.Summary, isUnsafeControl), "author or summary contains a control character",
		"remove it; line breaks and tabs are allowed")
	require(!n.Touched().Empty(), "contains no changes", "list at least one item under add, change or withdraw")
	return errs
}

// isUnsafeControl reports whether r could send control sequences to the terminal that displays the note.
func isUnsafeControl(r rune) bool { return unicode.IsControl(r) && r != '\n' && r != '\t' }

// Touched returns the sorted names of all items that the note adds, changes or withdraws.
func (n ReleaseNote) Touched() Names {
	t := Names{Services: n.Withdraw.Services, Policies: n.Withdraw.Policies, Routes: n.Withdraw.Routes, Tenants: n.Withdraw.Tenants}.sortedCopy()
	for _, items := range []Items{n.Add, n.Change} {
		for _, s := range items.Services {
			t.Services = append(t.Services, s.Name)
		}
		for _, p := range items.Policies {
			t.Policies = append(t.Policies, p.Name)
		}
		for _, r := range items.Routes {
			t.Routes = append(t.Routes, r.Name)
		}
		for _, w := range items.Tenants {
			t.Tenants = append(t.Tenants, w.Name)
		}
	}
	return t.sortedCopy()
}

// sortedCopy returns a copy with each list sorted.
func (n Names) sortedCopy() Names {
	return Names{Services: sortedCopy(n.Services), Policies: sortedCopy(n.Policies), Routes: sortedCopy(n.Routes), Tenants: sortedCopy(n.Tenants)}
}

// Empty reports whether n lists no names.
func (n Names) Empty() bool { return len(n.Services)+len(n.Policies)+len(n.Routes)+len(n.Tenants) == 0 }

// Overlap returns the names that both n and other list.
func (n Names) Overlap(other Names) Names {
	return Names{
		Services: intersection(n.Services, other.Services),
		Policies: intersection(n.Policies, other.Policies),
		Routes:   intersection(n.Routes, other.Routes),
		Tenants:  intersection(n.Tenants, other.Tenants),
	}
}

func intersection(a, b []string) []string {
	in := make(map[string]bool, len(a))
	for _, s := range a {
		in[s] = true
	}
	var out []string
	for _, s := range b {
		if in[s] {
			out = append(out, s)
		}
	}
	return out
}

// String formats the names for messages, for example "service office, route lodge".
func (n Names) String() string {
	var parts []string
	for _, group := range []struct {
		kind  string
		names []string
	}{{"service ", n.Services}, {"policy ", n.Policies}, {"route ", n.Routes}, {"tenant ", n.Tenants}} {
		for _, name := range group.names {
			parts = append(parts, group.kind+name)
		}
	}
	return strings.Join(parts, ", ")
}
