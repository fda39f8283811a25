package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"runtime"
	"strings"
	"testing"

	"github.com/monsoonlatch/monsoonlatch/pkg/fault"
)

const sample = `id: first
author: ops
summary: first routes
add:
  services:
    - name: lookup
  policies:
    - {name: urgent, rank: 0, target: 250ms, deadline: 2s, worth: 10, guaranteedShare: 0.5, maxRetries: 1}
  routes:
    - name: search
      pathPrefix: /capsules
      methods: [POST, GET]
      service: lookup
      policy: urgent
      idempotent: true
`

func sampleHead(t testing.TB) Head {
	t.Helper()
	note, err := ParseNote([]byte(sample))
	if err != nil {
		t.Fatal(err)
	}
	h, err := NewHead()
	if err != nil {
		t.Fatal(err)
	}
	if h, err = h.Accept(note); err != nil {
		t.Fatal(err)
	}
	return h
}

// Guards against parsing that ignores misspelled fields, and against parse errors without a line number or a remedy.
func TestParseErrorsHaveLineAndRemedy(t *testing.T) {
	for name, c := range map[string]struct {
		edit func(string) string
		line int
	}{
		"unknown field":  {func(s string) string { return strings.Replace(s, "idempotent:", "idempotnet:", 1) }, 15},
		"repeated field": {func(s string) string { return strings.Replace(s, "author: ops", "author: ops\nauthor: me", 1) }, 3},
		"bad duration":   {func(s string) string { return strings.Replace(s, "250ms", "250", 1) }, 8},
		"bad type":       {func(s string) string { return strings.Replace(s, "rank: 0", "rank: first", 1) }, 8},
		"alias": {func(s string) string {
			return strings.Replace(s, "policy: urgent", "policy: &a urgent\n      extra: *a", 1)
		}, 15},
		"bad syntax": {func(s string) string { return strings.Replace(s, "add:", "add: [", 1) }, 0},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := ParseNote([]byte(c.edit(sample)))
			if !fault.Is(err, fault.Invalid) || !strings.Contains(err.Error(), "remedy: ") {
				t.Fatalf("got %v, want an error of kind Invalid with a remedy", err)
			}
			var line *LineError
			if !errors.As(err, &line) || c.line != 0 && line.Line != c.line {
				t.Fatalf("want line %d, got %v", c.line, err)
			}
		})
	}
	for _, data := range []string{"", sample + "---\n" + sample, "[]", "null", strings.Repeat("x", MaxNoteBytes+1)} {
		note, err := ParseNote([]byte(data))
		if err == nil {
			_, err = Configuration{}.Apply(note)
		}
		if !fault.Is(err, fault.Invalid) {
			t.Errorf("%.20q: got %v, want an error of kind Invalid", data, err)
		}
	}
}

// Guards against a release note that is applied partially although it has errors, and against errors without a line
// number.
func TestApplyIsAllOrNothing(t *testing.T) {
	h := sampleHead(t)
	before := h.Hash
	doc, err := ParseDocument([]byte(`id: second
author: ops
add:
  services: [{name: office}]
  routes:
    - {name: search, pathPrefix: /other, service: office, policy: urgent}
    - {name: twin, pathPrefix: /other, methods: [GET], service: office, policy: none}
change:
  policies:
    - {name: urgent, rank: 9, target: 3s, deadline: 2s, guaranteedShare: 1.5, maxRetries: 99, worth: -1}
withdraw:
  services: [lookup, ghost]
`))
	if err != nil {
		t.Fatal(err)
	}
	_, err = h.Configuration.Apply(doc.Note)
	text := fmt.Sprint(doc.LocateErrors(err))
	for _, want := range []string{
		"line 6: route search: cannot be added: it already exists", "line 7: route twin: matches GET /other, which route search already matches",
		"line 7: route twin: policy \"none\" does not exist", "line 10: policy urgent: rank 9", "line 10: policy urgent: target 3s",
		"guaranteedShare 1.5", "maxRetries 99", "worth -1", "line 12: service ghost: cannot be withdrawn",
	} {
		if !strings.Contains(text, want) {
			t.Errorf("missing %q in:\n%s", want, strings.ReplaceAll(text, "; remedy", "\n  remedy"))
		}
	}
	if after, _ := h.Configuration.Hash(); after != before {
		t.Error("Apply modified its input")
	}
}

// Guards against a hash that depends on the order of lists that represent sets, and against deltas whose result does
// not have the hash of the target.
func TestDeltaReproducesTargetHash(t *testing.T) {
	a := sampleHead(t)
	b, err := a.Accept(ReleaseNote{ID: "second", Author: "ops",
		Add:      Items{Services: []Service{{Name: "office"}}, Routes: []Route{{Name: "lodge", PathPrefix: "/deposits", Service: "office", Policy: "urgent"}}},
		Change:   Items{Routes: []Route{{Name: "search", PathPrefix: "/capsules", Methods: []string{"GET"}, Service: "office", Policy: "urgent"}}},
		Withdraw: Names{Services: []string{"lookup"}}})
	if err != nil {
		t.Fatal(err)
	}
	d := NewDelta(a.Version, a.Configuration, b.Version, b.Hash, b.Configuration)
	got, err := d.Apply(a.Configuration)
	if err != nil {
		t.Fatal(err)
	}
	if hash, _ := got.Hash(); hash != b.Hash {
		t.Errorf("hash %s, want %s", hash, b.Hash)
	}
	if _, err := d.Apply(Configuration{}); err == nil {
		t.Error("a delta for another base configuration was accepted")
	}
	if a.Hash == b.Hash || b.Version != 2 || len(b.Notes) != 2 {
		t.Errorf("got head %+v, want version 2, two notes and another hash than before", b)
	}
}

// Guards against JSON from encoders with ASCII-only output being rejected or decoded incorrectly.
func TestParseJSONEscapes(t *testing.T) {
	doc, err := ParseDocument([]byte("{\n\t\"id\": \"x\",\n\t\"summary\": \"\\ud83d\\ude00 \\u00e9 \\\\ud83d\\\\ude00 a\\/b\",\n\t\"add\": {\"services\": [\n{\"name\": \"é\"}]}}"))
	if err != nil {
		t.Fatal(err)
	}
	if want := "😀 é \\ud83d\\ude00 a/b"; doc.Note.Summary != want {
		t.Errorf("got %q, want %q", doc.Note.Summary, want)
	}
	_, err = Configuration{}.Apply(doc.Note)
	if text := fmt.Sprint(doc.LocateErrors(err)); !strings.Contains(text, "line 5: service é: the name must start") {
		t.Errorf("got %s, want an error for service é in line 5", text)
	}
}

// Guards against a hash that differs from that of the canonical JSON, which is stored with accepted configurations, and
// against a hash computation that holds the whole JSON in memory.
func TestHashMatchesCanonicalJSON(t *testing.T) {
	big := benchConfiguration()
	big.Limits = Limits{MaxBodyBytes: 1 << 20}
	big.Services["odd"] = Service{Name: "odd", CallableFrom: []string{"\"quoted\"", "a<b", "\u2028"}}
	for _, c := range []Configuration{{}, Configuration{}.Clone(), benchConfiguration(), big} {
		whole, err := json.Marshal(c.Clone())
		if err != nil {
			t.Fatal(err)
		}
		want := sha256.Sum256(whole)
		if got, err := c.Hash(); err != nil || got != hex.EncodeToString(want[:]) {
			t.Errorf("hash %s, error %v, want %x", got, err, want)
		}
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	if _, err := big.Hash(); err != nil {
		t.Fatal(err)
	}
	runtime.ReadMemStats(&after)
	if used, limit := after.TotalAlloc-before.TotalAlloc, uint64(1500<<10); used > limit {
		t.Errorf("hashing %d routes allocated %d bytes, want at most %d", len(big.Routes), used, limit)
	}
}
