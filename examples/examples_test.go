// Package examples holds release notes and load profiles of the example deployments.
package examples

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/monsoonlatch/monsoonlatch/pkg/config"
	"github.com/monsoonlatch/monsoonlatch/pkg/release"
)

// nonIdempotentRoutes lists, by site, the routes whose requests do harm when they run twice.
var nonIdempotentRoutes = map[string][]string{
	"nairobi": {"lodge-deposit", "pay-sealing-fee"},
	"galway":  {"book-intake", "settle-account", "order-wake-up"},
}

// leastUrgentRoutes names, by site, the route whose policy must have the least urgent rank.
var leastUrgentRoutes = map[string]string{"nairobi": "archive-listings", "galway": "boarding-reports"}

// Guards against example notes that are refused when applied in order, against routes that must not run twice but are
// marked as idempotent, and against a policy that is no more urgent than that of the least urgent route.
func TestNotesPassInOrder(t *testing.T) {
	for site, routes := range nonIdempotentRoutes {
		files, err := filepath.Glob(filepath.Join(site, "*.yaml"))
		if err != nil || len(files) < 2 {
			t.Fatalf("%s: got files %v, error %v, want at least two notes", site, files, err)
		}
		head, err := config.NewHead()
		if err != nil {
			t.Fatal(err)
		}
		for _, file := range files {
			data, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			note, err := config.ParseNote(data)
			if err != nil {
				t.Fatalf("%s cannot be parsed: %v", file, err)
			}
			if head, err = release.Preview(head, note); err != nil {
				t.Fatalf("%s is refused: %v", file, err)
			}
			checkNonIdempotent(t, file, head.Configuration, routes)
			checkLeastUrgent(t, file, head.Configuration, leastUrgentRoutes[site])
		}
	}
}

func checkNonIdempotent(t *testing.T, file string, c config.Configuration, routes []string) {
	t.Helper()
	for _, name := range routes {
		if r, ok := c.Routes[name]; !ok || r.Idempotent {
			t.Errorf("%s: route %s is missing or marked as idempotent: %+v", file, name, r)
		}
	}
}

func checkLeastUrgent(t *testing.T, file string, c config.Configuration, route string) {
	t.Helper()
	low := c.Policies[c.Routes[route].Policy]
	for name, p := range c.Policies {
		if name != low.Name && p.Rank >= low.Rank {
			t.Errorf("%s: policy %s of rank %d is not more urgent than that of route %s", file, name, p.Rank, route)
		}
	}
}
