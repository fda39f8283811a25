package syncer

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/monsoonlatch/monsoonlatch/pkg/config"
)

// TestMain sets a fixed rapid seed unless one is given, so that each run draws the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20261204")
	}
	os.Exit(m.Run())
}

// Guards against a node that gets ready before enough sources have answered, or stays unready although they have.
func TestQuorum(t *testing.T) {
	f, err := os.Open("testdata/start.jsonl")
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	for scan := bufio.NewScanner(f); scan.Scan(); {
		var row struct {
			Platform, Ready bool
			Answered, Peers int
			Why             string
		}
		if err := json.Unmarshal(scan.Bytes(), &row); err != nil {
			t.Fatal(err)
		}
		q := quorum{platformRead: row.Platform, answeredPeers: make(map[string]bool)}
		for i := range row.Answered {
			q.answeredPeers[fmt.Sprint(i)] = true
		}
		if got := q.reached(row.Peers); got != row.Ready {
			t.Errorf("%s: ready %v, want %v", row.Why, got, row.Ready)
		}
	}
}

func wholeConfig(v config.Version, names ...string) WholeConfig {
	c := config.Configuration{Services: map[string]config.Service{}}
	for _, n := range names {
		c.Services[n] = config.Service{Name: n}
	}
	h, _ := c.Hash()
	return WholeConfig{Version: v, Hash: h, Configuration: c}
}

// Guards against a version in force that decreases, a version whose content changes, and a configuration in force that
// does not match its hash. It offers random whole configurations and deltas, some of them damaged, in random order.
func TestAcceptorHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := NewAcceptor()
		for range rapid.IntRange(1, 30).Draw(t, "offers") {
			before := a.Current()
			w := wholeConfig(config.Version(rapid.IntRange(1, 6).Draw(t, "version")), rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name"))
			u := ConfigUpdate{Whole: &w}
			if before != nil && rapid.Bool().Draw(t, "delta") {
				from := config.Version(rapid.IntRange(1, 6).Draw(t, "from"))
				u = ConfigUpdate{Deltas: []config.Delta{config.NewDelta(from, before.Configuration, w.Version, w.Hash, w.Configuration)}}
			}
			if rapid.IntRange(0, 3).Draw(t, "damage") == 0 {
				if u.Whole != nil {
					w.Configuration = wholeConfig(1, "damaged").Configuration
				} else {
					u.Deltas[0].Upsert = config.Items{}
				}
			}
			verdict, err := a.Update(u)
			checkVerdict(t, before, a.Current(), verdict, err)
		}
	})
}

func checkVerdict(t *rapid.T, before, after *config.Snapshot, v Verdict, err error) {
	if (err == nil) != (v == Accepted || v == Unchanged) {
		t.Fatalf("verdict %d with error %v", v, err)
	}
	if after == nil {
		return
	}
	if h, _ := after.Configuration.Hash(); h != after.Hash {
		t.Fatalf("the content of version %d in force does not match its hash", after.Version)
	}
	if before == nil {
		return
	}
	if after.Version < before.Version || after.Version == before.Version && after.Hash != before.Hash {
		t.Fatalf("version %d (hash %.8s) was replaced by version %d (hash %.8s)",
			before.Version, before.Hash, after.Version, after.Hash)
	}
	if (v == Accepted) != (after != before) {
		t.Fatalf("verdict %d, snapshot changed: %v", v, after != before)
	}
}

// Guards against putting in force a configuration whose route refers to a missing service.
func TestInvalidConfigurationIsRefused(t *testing.T) {
	a := NewAcceptor()
	good, bad := wholeConfig(1, "a"), wholeConfig(2, "a")
	bad.Configuration.Routes = map[string]config.Route{"r": {Name: "r", PathPrefix: "/", Service: "missing", Policy: "missing"}}
	bad.Hash, _ = bad.Configuration.Hash()
	if v, err := a.UpdateWhole(good); v != Accepted || err != nil {
		t.Fatalf("verdict %d, %v", v, err)
	}
	if v, _ := a.UpdateWhole(bad); v != Invalid || a.Current().Version != 1 || a.State().Refused != 2 {
		t.Errorf("verdict %d, version %d in force, %d refused", v, a.Current().Version, a.State().Refused)
	}
	if v, err := a.UpdateWhole(wholeConfig(3, "a")); v != Accepted {
		t.Errorf("valid configuration after an invalid one: verdict %d, %v", v, err)
	}
}

// Guards against counting relays as live that no answering relay has listed within listedTTL, and against a node that
// keeps trying first a relay that has just failed.
func TestRelayList(t *testing.T) {
	now := time.Unix(1000, 0)
	a, b := RelayInfo{Zone: "z", Slot: 0, Address: "a"}, RelayInfo{Zone: "z", Slot: 1, Address: "b"}
	otherZone := RelayInfo{Zone: "y", Address: "far"}
	var l relayList
	l.add([]RelayInfo{a, otherZone})
	if l.countLive(now, "z") != 0 || l.candidates(now, "n", "z")[0] != a {
		t.Error("a relay that no answering relay has listed counts as live, or is not tried")
	}
	l.set([]RelayInfo{a, b, otherZone})
	l.recordSuccess("a", now)
	if l.countLive(now, "z") != 2 {
		t.Error("relays listed by a relay that answered do not count as live")
	}
	first := l.candidates(now, "n", "z")[0]
	l.recordFailure(first.Address, now)
	if c := l.candidates(now, "n", "z"); c[0].Zone != "z" || c[0] == first || c[2] != first || l.countLive(now, "z") != 1 {
		t.Errorf("candidates after %s failed: %v", first.Address, c)
	}
	if l.countLive(now.Add(listedTTL), "z") != 0 {
		t.Error("relays count as live although no relay has listed them within listedTTL")
	}
}
