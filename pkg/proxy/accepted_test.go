package proxy

import (
	"net/http"
	"testing"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/config"
)

// Guards against calls that the node beside the instance refuses because of the configuration alone: a time-out of hours, or
// names that a header cannot hold as they are.
func TestCallsWithUnusualNamesAndTimesReachOtherNodes(t *testing.T) {
	for _, name := range []string{"desk", "two words", " spaces ", "Büro", "100%", "a%20b", "a\tb\n\x01c", "a/b?c#d"} {
		t.Run(name, func(t *testing.T) {
			if got := unescapeName(escapeName(name)); got != name {
				t.Errorf("%q became %q", name, got)
			}
			m := newMesh(t, "front", name)
			snap, err := config.BuildAccepted(4, "h", config.Configuration{
				Services: map[string]config.Service{name: {Name: name}},
				Policies: map[string]config.Policy{name: {Name: name, Target: config.Duration(time.Second), Deadline: config.Duration(30 * 24 * time.Hour)}},
				Routes:   map[string]config.Route{name: {Name: name, PathPrefix: "/", Service: name, Policy: name, Idempotent: true}},
			})
			if err != nil {
				t.Fatal(err)
			}
			m.snap = snap
			if a := m.nodes[0].get("/x"); a.status != http.StatusOK || m.nodes[1].standin.Counts().Total != 1 {
				t.Errorf("%+v, %d runs at the other node", a, m.nodes[1].standin.Counts().Total)
			}
		})
	}
}
