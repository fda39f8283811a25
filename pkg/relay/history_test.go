package relay

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/monsoonlatch/monsoonlatch/pkg/config"
)

// faultStep is one step of a generated fault schedule; After is its delay after the previous step.
type faultStep struct {
	After time.Duration
	Kind  string
	Node  int
	Zone  int
}

var faultSchedules = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) faultStep {
	return faultStep{
		After: time.Duration(rapid.IntRange(0, 8000).Draw(t, "after")) * time.Millisecond,
		Kind: rapid.SampledFrom([]string{"publish", "publish", "publish twice", "cut zone", "cut node", "heal", "outage",
			"platform back", "zone loses platform", "restore", "restart", "lose calls", "stop losing calls"}).Draw(t, "kind"),
		Node: rapid.IntRange(0, 8).Draw(t, "node"),
		Zone: rapid.IntRange(0, 2).Draw(t, "zone"),
	}
}), 25, 40)

// versionHistory records the highest version that each node has served, and the hash of each version.
type versionHistory struct {
	highest map[string]config.Version
	hashes  map[config.Version]string
}

// check compares the versions that the running nodes serve with the history, and then adds them.
func (h *versionHistory) check(t *testing.T, m *mesh) {
	for name, n := range m.nodes {
		c := n.sync.Current()
		if c == nil || !n.up {
			continue
		}
		if c.Version < h.highest[name] {
			t.Fatalf("node %s went back from version %d to version %d", name, h.highest[name], c.Version)
		}
		h.highest[name] = c.Version
		if old, ok := h.hashes[c.Version]; ok && old != c.Hash {
			t.Fatalf("version %d is served with two different hashes", c.Version)
		}
		h.hashes[c.Version] = c.Hash
	}
}

// applyFault applies one step of a fault schedule; step.Node is an index into nodes.
func (m *mesh) applyFault(nodes []*node, step faultStep) {
	n, zone := nodes[step.Node], fmt.Sprint("z", step.Zone)
	switch step.Kind {
	case "publish", "publish twice":
		m.publishNext()
		if step.Kind == "publish twice" {
			m.publishNext()
		}
	case "cut zone":
		m.setCut(func(a, b *node) bool { return (a.zone == zone) != (b.zone == zone) })
	case "cut node":
		m.setCut(func(a, _ *node) bool { return a.addr == n.addr })
	case "heal":
		m.heal()
	case "outage", "platform back":
		m.store.setDown(step.Kind == "outage")
	case "zone loses platform":
		for _, o := range m.nodes {
			o.store.setDown(o.zone == zone)
		}
	case "restore":
		if !m.store.isDown() && m.version > 1 {
			m.writeHead(m.version-1, configuration(2, int(m.version-1)))
		}
	case "restart":
		old := m.nodes[n.addr]
		old.kill()
		m.add(old.addr, old.zone, "s0", "n0-0", "n1-0", "n2-0").start()
	case "lose calls":
		m.setLost(func(string) bool { return m.rng.IntN(3) == 0 })
	case "stop losing calls":
		m.setLost(nil)
	}
}

// publishNext publishes another configuration, unless the platform is down.
func (m *mesh) publishNext() {
	if !m.store.isDown() {
		m.publish(configuration(2, int(m.version+1)))
	}
}

// heal ends all faults of the network and the platform.
func (m *mesh) heal() {
	m.setCut(nil)
	m.setLost(nil)
	m.store.setDown(false)
	for _, n := range m.nodes {
		n.store.setDown(!n.up)
	}
}

// Guards against a node that goes back to an older configuration, two configurations under one version, and a mesh that
// does not converge once its faults are over. The fault schedules are generated with fixed seeds.
func TestVersionsNeverFall(t *testing.T) {
	for seed := range 8 {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				m, nodes := startSettled(t, 3, 3)
				defer m.stop()
				h := &versionHistory{highest: make(map[string]config.Version), hashes: make(map[config.Version]string)}
				for _, step := range faultSchedules.Example(seed) {
					for left := step.After; left > 0; left -= 250 * time.Millisecond {
						time.Sleep(250 * time.Millisecond)
						h.check(t, m)
					}
					m.applyFault(nodes, step)
				}
				m.heal()
				time.Sleep(time.Minute)
				h.check(t, m)
				m.publishNext()
				time.Sleep(convergenceTarget)
				h.check(t, m)
				m.wantVersion(t, m.version)
				for _, n := range m.nodes {
					if n.memberCount() != 9 {
						t.Errorf("node %s knows %d instances, want 9", n.addr, n.memberCount())
					}
				}
			})
		})
	}
}

// Guards against a mass restart of nodes that overloads the relays with requests for full responses, which carry all
// membership records, or the platform with reads.
func TestReconnectStormIsBounded(t *testing.T) {
	t.Run("seeds live", func(t *testing.T) { reconnectStorm(t, true) })
	t.Run("seeds restart too", func(t *testing.T) { reconnectStorm(t, false) })
}

// reconnectStorm kills all nodes but the relays at once and restarts them. Their seed is a live relay or, if seedsLive
// is false, two nodes that may restart too.
func reconnectStorm(t *testing.T, seedsLive bool) {
	runInBubble(t, func(t *testing.T) {
		size := 60
		if !seedsLive {
			// Nodes without a live seed spread their start over StartSpread, in which two relays send 80 full responses.
			size = 120
		}
		m, nodes := startSettled(t, 1, size)
		defer m.stop()
		restarted := 0
		for _, n := range nodes {
			if _, ok := n.relay.HeldSlot(); !ok {
				n.kill()
				restarted++
			}
		}
		time.Sleep(20 * time.Second)
		reads := m.store.callCount("get") + m.store.callCount("list")
		before := m.counterSum("relay.full_sent")
		seeds := []string{"n0-0", "n0-1"}
		if seedsLive {
			seeds = []string{m.relays("z0")[0].addr}
		}
		for _, n := range nodes {
			if !n.up {
				m.add(n.addr, "z0", n.sync.Self().Service, seeds...).start()
			}
		}
		for range 30 {
			time.Sleep(time.Second)
			now := m.counterSum("relay.full_sent")
			if limit := int64(RelaysPerZone * (10 + 10)); now-before > limit {
				t.Errorf("%d full responses in one second, limit %d", now-before, limit)
			}
			before = now
		}
		for _, n := range m.nodes {
			if _, ok := n.sync.CompleteSince(); !n.sync.Ready() || !ok {
				t.Errorf("node %s is not ready and synchronised 30 s after the mass restart", n.addr)
			}
		}
		if m.counterSum("relay.full_put_off") == 0 {
			t.Error("no full response was deferred; the mass restart was too small to reach the limit")
		}
		limit := restarted / 4 // one read of the platform by a relay serves several nodes
		if !seedsLive {
			limit = 2 * restarted // a node that knows no relay reads the head and the leases itself
		}
		// The relays themselves may make 20 reads.
		if got := m.store.callCount("get") + m.store.callCount("list") - reads; got > limit+20 {
			t.Errorf("%d reads of the platform for %d restarts, which is above the limit", got, restarted)
		}
	})
}

// Guards against nodes that fetch the full membership again when only their relays have changed.
func TestNewRelaysNeedNoFullResponses(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		m, _ := startSettled(t, 2, 20)
		defer m.stop()
		started := m.counterSum("relay.full_sent")
		for _, r := range m.relays("z0") {
			r.kill()
		}
		time.Sleep(2 * time.Minute)
		if got := len(m.relays("z0")); got != RelaysPerZone {
			t.Errorf("%d relays after both were killed, want %d", got, RelaysPerZone)
		}
		if got := m.counterSum("sync.incarnation_raised"); got != 0 {
			t.Errorf("%d live nodes were recorded as departed, want none", got)
		}
		full := m.counterSum("relay.full_sent")
		m.publish(configuration(2, 2))
		time.Sleep(convergenceTarget)
		m.wantVersion(t, 2)
		// A starting node may fetch everything once from a relay of another zone, and once from the first relay of its own.
		if started > 2*40 {
			t.Errorf("%d full responses for 40 starts, want at most 80", started)
		}
		if got := m.counterSum("relay.full_sent"); got != full || full > started+RelaysPerZone {
			t.Errorf("%d full responses after the relays were killed, want at most one per relay; %d for a change, want none",
				full-started, got-full)
		}
	})
}
