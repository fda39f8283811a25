package relay

import (
	"bufio"
	"encoding/json"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/config"
	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
	"github.com/monsoonlatch/monsoonlatch/pkg/syncer"
)

// Guards against departures recorded for nodes that poll another relay or whose polls this relay missed while it was
// paused, and against dead nodes that stay members. Each line of the trace says what it guards against. The sibling
// in the trace is the other relay of the zone, which reports the polls that it has received.
func TestPollTrackerTrace(t *testing.T) {
	f, err := os.Open("testdata/polls.jsonl")
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	start := time.Unix(0, 0)
	p, allPollsKnown := newPollTracker(start), true
	for scan := bufio.NewScanner(f); scan.Scan(); {
		var l struct {
			At, Age     float64
			Event, Node string
			Want        []string
			Why         string
		}
		if err := json.Unmarshal(scan.Bytes(), &l); err != nil {
			t.Fatal(err)
		}
		now := start.Add(time.Duration(l.At * float64(time.Second)))
		switch l.Event {
		case "poll":
			p.recordPoll(now, membership.Instance{ID: membership.InstanceID(l.Node)}, syncer.ConfigState{})
		case "report":
			p.recordReportedPoll(now, membership.InstanceID(l.Node), time.Duration(l.Age*float64(time.Second)))
		case "sibling_lost", "sibling_back":
			allPollsKnown = l.Event == "sibling_back"
		case "pause":
			p.countFrom = now
		}
		var members []membership.Record
		for _, id := range []string{"a", "b", "c"} {
			members = append(members, membership.Record{
				Instance: membership.Instance{ID: membership.InstanceID(id)}, JoinedAge: now.Sub(start),
			})
		}
		got := []string{}
		for _, i := range p.overdue(now, members, allPollsKnown) {
			got = append(got, string(i.ID))
		}
		if !slices.Equal(got, l.Want) {
			t.Errorf("at %v (%s): overdue %v, want %v", l.At, l.Why, got, l.Want)
		}
	}
}

// Guards against a delta chain with a gap, or one that starts from another configuration than the node has.
func TestDeltaChain(t *testing.T) {
	testDelta := func(v int) config.Delta { return config.Delta{From: config.Version(v), To: config.Version(v + 1)} }
	var c deltaChain
	for v := 1; v <= maxChainLength+10; v++ {
		c = c.add(testDelta(v), "h")
	}
	if ds, ok := c.from(maxChainLength+5, "h"); !ok || len(ds) != 6 {
		t.Errorf("got %d deltas, want 6", len(ds))
	}
	if _, ok := c.from(maxChainLength+5, "other"); ok {
		t.Error("got deltas for a base configuration with another hash")
	}
	if _, ok := c.from(2, "h"); ok {
		t.Error("got deltas from a version that the chain has dropped")
	}
	if c = c.add(testDelta(maxChainLength+20), "h"); len(c) != 1 {
		t.Errorf("got %d deltas after a gap, want 1", len(c))
	}
}
