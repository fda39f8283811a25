package status

import (
	"testing"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/config"
)

// A version must not be reported as in force at a node that does not serve it. A departed node must not be counted, and
// a node that moved to another relay must be counted once.
func TestClassify(t *testing.T) {
	now := time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
	node := func(id string, version config.Version, hash string, age time.Duration) NodeStatus {
		return NodeStatus{ID: id, Version: version, Hash: hash, State: StateReady, LastPollAgeMillis: age.Milliseconds()}
	}
	left := node("left", 1, "", 0)
	left.State = StateDeparted
	zones := []ZoneStatus{
		{Zone: "kasarani", Slot: "0", WrittenAt: now.Add(-5 * time.Second), Nodes: []NodeStatus{
			node("same", 7, "good", time.Second), node("newer", 8, "other", 0), node("newest", 9, "good", 0), node("ahead", 10, "", 0), node("older", 6, "", 0),
			node("diverged", 9, "bad", 0), node("missed", 7, "good", CutOffPollAge+time.Second), left,
			node("moved", 6, "", 9*time.Second)}},
		{Zone: "kasarani", Slot: "1", WrittenAt: now.Add(-4 * time.Second), Nodes: []NodeStatus{node("moved", 7, "good", time.Second)}},
		{Zone: "langata", Slot: "0", WrittenAt: now.Add(-StaleObjectAge - time.Second), Nodes: []NodeStatus{node("silent", 7, "good", 0)}},
	}
	want := map[string]RolloutStatus{"same": InForce, "newer": InForce, "older": Lagging, "newest": InForce, "diverged": Diverged, "ahead": Diverged, "missed": CutOff,
		"moved": InForce, "silent": CutOff}
	nodes := Classify(Target{Version: 7, HeadVersion: 9, HeadHash: "good"}, zones, now)
	if len(nodes) != len(want) {
		t.Errorf("%d nodes, want %d", len(nodes), len(want))
	}
	for _, n := range nodes {
		if n.Rollout != want[n.ID] {
			t.Errorf("%s is %s, want %s", n.ID, n.Rollout, want[n.ID])
		}
	}
	if tally := Count(nodes); tally != (Tally{InForce: 4, Lagging: 1, Diverged: 2, CutOff: 2}) || tally.Everywhere() {
		t.Errorf("tally %+v, or Everywhere is true although some nodes lack the version", tally)
	}
	if (Tally{}).Everywhere() || !(Tally{InForce: 1}).Everywhere() {
		t.Error("Everywhere is true without nodes, or false if the version is in force at the only node")
	}
	if HighestVersion(zones) != 10 {
		t.Error("HighestVersion does not return 10, the version of node \"ahead\"")
	}
}
