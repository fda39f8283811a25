package config

import (
	"bytes"
	"cmp"
	"encoding/gob"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"
	"unicode"

	"go.yaml.in/yaml/v3"
	"pgregory.net/rapid"

	"github.com/monsoonlatch/monsoonlatch/pkg/fault"
)

// propertySeed makes every run check the same generated cases.
const propertySeed = "20261204"

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": propertySeed, "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// genName generates one of n names. All generators draw from few names and prefixes, so that notes often conflict.
func genName(kind string, n int) *rapid.Generator[string] {
	return rapid.Custom(func(t *rapid.T) string { return fmt.Sprintf("%s-%d", kind, rapid.IntRange(0, n-1).Draw(t, kind)) })
}

func genService() *rapid.Generator[Service] {
	return rapid.Custom(func(t *rapid.T) Service {
		return Service{Name: genName("s", 5).Draw(t, "name"),
			CallableFrom: rapid.SliceOfNDistinct(genName("s", 5), 0, 2, rapid.ID).Draw(t, "callableFrom")}
	})
}

func genPolicy() *rapid.Generator[Policy] {
	return rapid.Custom(func(t *rapid.T) Policy {
		return Policy{Name: genName("p", 4).Draw(t, "name"), Rank: rapid.IntRange(0, MaxRank).Draw(t, "rank"),
			Target: Duration(rapid.IntRange(1, 1e9).Draw(t, "target")), Deadline: Duration(rapid.IntRange(9e8, 3e9).Draw(t, "deadline")),
			Worth: rapid.IntRange(0, 9).Draw(t, "worth"), GuaranteedShare: rapid.SampledFrom([]float64{0, 0.1, 0.15, 0.7}).Draw(t, "share"),
			MaxRetries: rapid.IntRange(0, MaxPolicyRetries).Draw(t, "retries")}
	})
}

func genPath() *rapid.Generator[string] {
	return rapid.Custom(func(t *rapid.T) string {
		path := "/" + strings.Join(rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "ab"}), 0, 4).Draw(t, "segments"), "/")
		if path != "/" && rapid.Bool().Draw(t, "slash") {
			path += "/"
		}
		return path
	})
}

func genRoute() *rapid.Generator[Route] {
	return rapid.Custom(func(t *rapid.T) Route {
		return Route{Name: genName("r", 8).Draw(t, "name"), PathPrefix: genPath().Draw(t, "prefix"),
			Methods: rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"GET", "POST", "PUT"}), 0, 3, rapid.ID).Draw(t, "methods"),
			Service: genName("s", 5).Draw(t, "service"), Policy: genName("p", 4).Draw(t, "policy"), Idempotent: rapid.Bool().Draw(t, "idempotent"),
			Public: rapid.Bool().Draw(t, "public")}
	})
}

// genTenant generates tenants whose keys differ from those of all others, except that some lists repeat across versions.
func genTenant() *rapid.Generator[Tenant] {
	return rapid.Custom(func(t *rapid.T) Tenant {
		w := Tenant{Name: genName("t", 4).Draw(t, "name"), PriorityClass: rapid.SampledFrom([]string{"", "0", "1"}).Draw(t, "class"),
			Rate: rapid.SampledFrom([]float64{0, 0.5, 12}).Draw(t, "rate")}
		for _, key := range rapid.SliceOfNDistinct(genName("k", 5), 0, 3, rapid.ID).Draw(t, "keys") {
			w.Keys = append(w.Keys, KeyDigest(w.Name+key))
		}
		return w
	})
}

// genNote generates a release note for configuration c. Most notes are likely to be valid, so that long
// sequences of accepted notes occur.
func genNote(c Configuration) *rapid.Generator[ReleaseNote] {
	return rapid.Custom(func(t *rapid.T) ReleaseNote {
		n := ReleaseNote{ID: fmt.Sprintf("note-%d", rapid.IntRange(0, 999).Draw(t, "id")), Author: "ops",
			Summary: rapid.StringOfN(rapid.RuneFrom(nil, unicode.L, unicode.N, unicode.P, unicode.S), 0, 20, 80).Draw(t, "summary")}
		valid := rapid.IntRange(0, 3).Draw(t, "valid") > 0
		n.Add.Services, n.Change.Services = distributeItems(rapid.SliceOfN(genService(), 0, 4).Draw(t, "services"), valid, c.Services, func(s Service) string { return s.Name })
		n.Add.Policies, n.Change.Policies = distributeItems(rapid.SliceOfN(genPolicy(), 0, 3).Draw(t, "policies"), valid, c.Policies, func(p Policy) string { return p.Name })
		n.Add.Routes, n.Change.Routes = distributeItems(rapid.SliceOfN(genRoute(), 0, 4).Draw(t, "routes"), valid, c.Routes, func(r Route) string { return r.Name })
		n.Add.Tenants, n.Change.Tenants = distributeItems(rapid.SliceOfN(genTenant(), 0, 3).Draw(t, "tenants"), valid, c.Tenants, func(w Tenant) string { return w.Name })
		removed := genName("r", 8).Draw(t, "withdraw")
		if _, ok := c.Routes[removed]; (ok && !slices.Contains(n.Touched().Routes, removed)) == valid {
			n.Withdraw.Routes = []string{removed}
		}
		return n
	})
}

// baseNote adds all services and policies that generated routes can refer to.
func baseNote() ReleaseNote {
	n := ReleaseNote{ID: "base", Author: "ops"}
	for i := range 5 {
		n.Add.Services = append(n.Add.Services, Service{Name: fmt.Sprintf("s-%d", i)})
	}
	for i := range 4 {
		n.Add.Policies = append(n.Add.Policies, Policy{Name: fmt.Sprintf("p-%d", i), Target: 1, Deadline: 1})
	}
	return n
}

// distributeItems distributes generated items over the add and change lists of a note. If valid is set, each name is
// listed once and in the list that fits the existing items; otherwise in the wrong list.
func distributeItems[V any](items []V, valid bool, existing map[string]V, name func(V) string) (add, change []V) {
	seen := make(map[string]bool)
	for _, v := range items {
		n := name(v)
		_, exists := existing[n]
		switch {
		case valid && seen[n]:
		case exists == valid:
			change = append(change, v)
		default:
			add = append(add, v)
		}
		seen[n] = true
	}
	return add, change
}

func mustHash(t *rapid.T, c Configuration) string {
	hash, err := c.Hash()
	if err != nil {
		t.Fatal(err)
	}
	return hash
}

// Guards against partially applied notes, modified inputs, deltas whose result does not have the target's hash, and
// hashes that change when a configuration is encoded in JSON or gob and decoded again.
func TestNoteSequences(t *testing.T) {
	accepted, rejected := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		head, err := NewHead()
		if err != nil {
			t.Fatal(err)
		}
		if head, err = head.Accept(baseNote()); err != nil {
			t.Fatal(err)
		}
		chain := []Head{head}
		for range rapid.IntRange(1, 12).Draw(t, "notes") {
			note := genNote(head.Configuration).Draw(t, "note")
			next, err := head.Accept(note)
			if mustHash(t, head.Configuration) != head.Hash {
				t.Fatalf("Accept modified its input")
			}
			if err != nil {
				if rejected++; !fault.Is(err, fault.Invalid) || !reflect.DeepEqual(next, Head{}) {
					t.Fatalf("rejected with error %v and head %+v, want an error of kind Invalid and no head", err, next)
				}
				continue
			}
			accepted++
			if err := next.Configuration.Check(); err != nil || next.Version != head.Version+1 || next.Hash != mustHash(t, next.Configuration) {
				t.Fatalf("accepted head %+v, error %v: want a valid configuration with its hash and the next version", next, err)
			}
			head = next
			chain = append(chain, head)
		}
		checkEncodings(t, head)
		from := rapid.SampledFrom(chain).Draw(t, "from")
		to := rapid.SampledFrom(chain).Draw(t, "to")
		checkDelta(t, from, to)
	})
	t.Logf("%d notes accepted, %d rejected", accepted, rejected)
	if accepted == 0 || rejected == 0 {
		t.Errorf("%d notes accepted, %d rejected: the generator must produce both", accepted, rejected)
	}
}

// checkEncodings checks that the head survives JSON encoding, and its configuration gob encoding.
func checkEncodings(t *rapid.T, head Head) {
	data, err := json.Marshal(head)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := ParseHead(data); err != nil {
		t.Fatalf("JSON round trip: %v", err)
	}
	var buf bytes.Buffer
	var c Configuration
	if err := gob.NewEncoder(&buf).Encode(head.Configuration); err != nil {
		t.Fatal(err)
	}
	if err := gob.NewDecoder(&buf).Decode(&c); err != nil || mustHash(t, c) != head.Hash {
		t.Fatalf("gob round trip: error %v, or the hash has changed", err)
	}
}

// checkDelta checks that a delta that went through gob leads from one configuration to the other, and that a wrong
// target hash is rejected.
func checkDelta(t *rapid.T, from, to Head) {
	d := NewDelta(from.Version, from.Configuration, to.Version, to.Hash, to.Configuration)
	var buf bytes.Buffer
	var sent Delta
	if err := gob.NewEncoder(&buf).Encode(d); err != nil {
		t.Fatal(err)
	}
	if err := gob.NewDecoder(&buf).Decode(&sent); err != nil {
		t.Fatal(err)
	}
	got, err := sent.Apply(from.Configuration)
	if err != nil || mustHash(t, got) != to.Hash || mustHash(t, from.Configuration) != from.Hash {
		t.Fatalf("delta from %d to %d: error %v, or wrong hash of the result or of the base configuration",
			from.Version, to.Version, err)
	}
	sent.ToHash = strings.Repeat("0", 64)
	if _, err := sent.Apply(from.Configuration); !fault.Is(err, fault.Stale) {
		t.Fatalf("delta with a wrong target hash: got %v, want an error of kind Stale", err)
	}
}

// Guards against a note whose digest changes when it is encoded in YAML or JSON and parsed again.
func TestNoteRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		note := genNote(Configuration{}).Draw(t, "note")
		want, err := note.Digest()
		if err != nil {
			t.Fatal(err)
		}
		for form, marshal := range map[string]func(any) ([]byte, error){"JSON": json.Marshal, "YAML": yaml.Marshal} {
			data, err := marshal(note)
			if err != nil {
				t.Fatal(err)
			}
			read, err := ParseNote(data)
			if err != nil {
				t.Fatalf("%s cannot be parsed again: %v\n%s", form, err, data)
			}
			if got, _ := read.Digest(); got != want {
				t.Fatalf("%s: digest %s, want %s\n%s", form, got, want, data)
			}
		}
	})
}

// Guards against a routing table whose result differs from that of a linear scan over all routes, longest prefix first.
func TestMatchEqualsLinearScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := Configuration{}.Clone()
		for _, r := range rapid.SliceOfN(genRoute(), 0, 12).Draw(t, "routes") {
			c.Routes[r.Name] = r
		}
		if c.checkOverlaps() != nil {
			t.Skip("these routes overlap and would be rejected")
		}
		s := newSnapshot(1, "", c)
		method, path := rapid.SampledFrom([]string{"GET", "POST", "DELETE"}).Draw(t, "method"), genPath().Draw(t, "path")
		want := scanRoutes(sortedRoutes(c), method, path)
		got, ok := s.Match("", method, path)
		if ok != (want != nil) || ok && got.Route.Name != want.Route.Name {
			t.Fatalf("%s %s: got %+v, want %+v", method, path, got, want)
		}
	})
}

// sortedRoutes returns all routes, longest prefix first. Together with scanRoutes it is the reference implementation of
// the routing table.
func sortedRoutes(c Configuration) []Match {
	var table []Match
	for _, r := range c.Routes {
		table = append(table, Match{Route: r, Policy: c.Policies[r.Policy]})
	}
	slices.SortFunc(table, func(a, b Match) int {
		return cmp.Or(len(b.Route.PathPrefix)-len(a.Route.PathPrefix), strings.Compare(a.Route.Name, b.Route.Name))
	})
	return table
}

// scanRoutes returns the first route of the table that matches.
func scanRoutes(table []Match, method, path string) *Match {
	for i := range table {
		r := &table[i].Route
		if !strings.HasPrefix(path, r.PathPrefix) || len(r.Methods) > 0 && !slices.Contains(r.Methods, method) {
			continue
		}
		if n := len(r.PathPrefix); len(path) == n || strings.HasSuffix(r.PathPrefix, "/") || path[n] == '/' {
			return &table[i]
		}
	}
	return nil
}

// Guards against input that makes the parser or the check panic, return an error of another kind than Invalid, or
// accept a configuration that cannot be hashed.
func FuzzParseNote(f *testing.F) {
	f.Add([]byte(sample))
	f.Add([]byte(`{"id":"x","add":{"routes":[{"name":"r","methods":["GET"]}]},"withdraw":{"routes":["r"]}}`))
	f.Add([]byte("a: &a [*a]"))
	f.Add([]byte("add: {policies: [{name: p, guaranteedShare: .nan, target: 1h, deadline: 1ns}]}"))
	f.Fuzz(func(t *testing.T, data []byte) {
		doc, err := ParseDocument(data)
		if err != nil {
			if !fault.Is(err, fault.Invalid) {
				t.Fatalf("got %v, want an error of kind Invalid", err)
			}
			return
		}
		if c, err := (Configuration{}).Apply(doc.Note); err != nil {
			_ = doc.LocateErrors(err)
		} else if _, err := c.Hash(); err != nil {
			t.Fatalf("an accepted configuration has no hash: %v", err)
		}
	})
}
