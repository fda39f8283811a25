package config

import (
	"fmt"
	"testing"
	"time"
)

// Size of the configuration in the two-year capacity plan.
const (
	benchServices = 61
	benchRoutes   = 2000
	benchPolicies = 8
)

// benchConfiguration returns a configuration whose routes have two to four path segments, as in deployments.
func benchConfiguration() Configuration {
	c := Configuration{}.Clone()
	for i := range benchServices {
		name := fmt.Sprintf("service-%02d", i)
		c.Services[name] = Service{Name: name}
	}
	for i := range benchPolicies {
		name := fmt.Sprintf("policy-%d", i)
		c.Policies[name] = Policy{Name: name, Rank: i, Target: Duration(250 * time.Millisecond), Deadline: Duration(2 * time.Second),
			Worth: 10, GuaranteedShare: 0.1, MaxRetries: 1}
	}
	for i := range benchRoutes {
		name := fmt.Sprintf("route-%04d", i)
		c.Routes[name] = Route{Name: name, PathPrefix: fmt.Sprintf("/service-%02d/resources-%d", i%benchServices, i) + []string{"", "/items", "/items/details"}[i%3],
			Methods: []string{"GET", "POST"}, Service: fmt.Sprintf("service-%02d", i%benchServices), Policy: fmt.Sprintf("policy-%d", i%benchPolicies)}
	}
	return c
}

func benchHead(b testing.TB) Head {
	b.Helper()
	c := benchConfiguration()
	hash, err := c.Hash()
	if err != nil {
		b.Fatal(err)
	}
	return Head{Version: 1, Hash: hash, Configuration: c}
}

// singleRouteChange returns a typical release note, which changes one route.
func singleRouteChange(c Configuration) ReleaseNote {
	r := c.Routes["route-0007"]
	r.Idempotent = !r.Idempotent
	return ReleaseNote{ID: "change", Author: "ops", Change: Items{Routes: []Route{r}}}
}

func BenchmarkCheck(b *testing.B) {
	c := benchConfiguration()
	for b.Loop() {
		if err := c.Check(); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkBuild(b *testing.B) {
	h := benchHead(b)
	for b.Loop() {
		if _, err := Build(h.Version, h.Hash, h.Configuration); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkHash(b *testing.B) {
	c := benchConfiguration()
	for b.Loop() {
		if _, err := c.Hash(); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkAccept(b *testing.B) {
	h := benchHead(b)
	note := singleRouteChange(h.Configuration)
	for b.Loop() {
		if _, err := h.Accept(note); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkNewDelta(b *testing.B) {
	from, to := benchPair(b)
	for b.Loop() {
		NewDelta(from.Version, from.Configuration, to.Version, to.Hash, to.Configuration)
	}
}

func BenchmarkDeltaApply(b *testing.B) {
	from, to := benchPair(b)
	d := NewDelta(from.Version, from.Configuration, to.Version, to.Hash, to.Configuration)
	for b.Loop() {
		if _, err := d.Apply(from.Configuration); err != nil {
			b.Fatal(err)
		}
	}
}

// benchPair returns a head and the next one, which differs in a single route.
func benchPair(b testing.TB) (from, to Head) {
	b.Helper()
	from = benchHead(b)
	to, err := from.Accept(singleRouteChange(from.Configuration))
	if err != nil {
		b.Fatal(err)
	}
	return from, to
}

// benchPaths are request paths that match at different depths, and one that matches no route.
var benchPaths = []string{"/service-01/resources-1/items/4711", "/service-00/resources-1830", "/service-07/resources-1532/items/details/a/b/c/d", "/nowhere/at/all"}

func BenchmarkMatch(b *testing.B) {
	h := benchHead(b)
	s := newSnapshot(h.Version, h.Hash, h.Configuration)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		s.Match("", "GET", benchPaths[i%len(benchPaths)])
	}
}

// BenchmarkMatchByScan is the baseline for BenchmarkMatch: a linear scan over all routes.
func BenchmarkMatchByScan(b *testing.B) {
	h := benchHead(b)
	table := sortedRoutes(h.Configuration)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		scanRoutes(table, "GET", benchPaths[i%len(benchPaths)])
	}
}

// Guards against allocations on each request in Snapshot.Match.
func TestMatchDoesNotAllocate(t *testing.T) {
	h := benchHead(t)
	s := newSnapshot(h.Version, h.Hash, h.Configuration)
	for _, path := range benchPaths {
		if n := testing.AllocsPerRun(100, func() { s.Match("", "GET", path) }); n != 0 {
			t.Errorf("%s: %v allocations, want none", path, n)
		}
	}
}
