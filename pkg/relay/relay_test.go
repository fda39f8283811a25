package relay

import (
	"encoding/json"
	"fmt"
	"reflect"
	"testing"
	"testing/synctest"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/config"
	"github.com/monsoonlatch/monsoonlatch/pkg/lease"
	"github.com/monsoonlatch/monsoonlatch/pkg/platform"
)

// newOfType returns a pointer to a new zero value of the type that v points to.
func newOfType(v any) any { return reflect.New(reflect.TypeOf(v).Elem()).Interface() }

// startNodes starts n nodes in each zone. The first nodes of zones 0 to 2 are the seeds of all.
func startNodes(m *mesh, zones, n int) []*node {
	var out []*node
	for i := range n {
		for z := range zones {
			out = append(out, m.add(fmt.Sprintf("n%d-%d", z, i), fmt.Sprint("z", z), fmt.Sprint("s", i%2),
				"n0-0", "n1-0", "n2-0").start())
		}
	}
	return out
}

// startSettled starts a mesh with n nodes in each zone on version 1 and waits 90 s, until relays are elected and nodes
// synchronised.
func startSettled(t *testing.T, zones, n int) (*mesh, []*node) {
	m := newMesh(t, 1)
	m.publish(configuration(2, 1))
	nodes := startNodes(m, zones, n)
	time.Sleep(90 * time.Second)
	if low, _ := m.versions(); low != 1 {
		t.Fatalf("a node serves version %d after the start, want 1", low)
	}
	return m, nodes
}

// runInBubble runs f under virtual time, in a bubble of package synctest.
func runInBubble(t *testing.T, f func(t *testing.T)) { synctest.Test(t, f) }

// memberCount returns the number of instances that the node can send requests to.
func (n *node) memberCount() int { return len(n.sync.Instances("s0")) + len(n.sync.Instances("s1")) }

// wantVersion checks that all running nodes serve the version.
func (m *mesh) wantVersion(t *testing.T, want config.Version) {
	t.Helper()
	if low, high := m.versions(); low != want || high != want {
		t.Errorf("nodes serve versions %d to %d, want %d", low, high, want)
	}
}

// wantMemberCount checks to how many instances each running node can send requests.
func wantMemberCount(t *testing.T, nodes []*node, want int) {
	t.Helper()
	for _, n := range nodes {
		if got := n.memberCount(); n.up && got != want {
			t.Errorf("node %s knows %d instances, want %d", n.addr, got, want)
		}
	}
}

// convergenceTarget is the time within which a change must be in force on every node.
const convergenceTarget = 7 * time.Second

// Guards against zones that do not elect their relays, and changes that do not reach every node in time.
func TestChangeReachesEveryNode(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		m, nodes := startSettled(t, 3, 4)
		defer m.stop()
		for z := range 3 {
			if got := len(m.relays(fmt.Sprint("z", z))); got != RelaysPerZone {
				t.Errorf("zone %d has %d relays, want %d", z, got, RelaysPerZone)
			}
		}
		m.publish(configuration(2, 2))
		time.Sleep(convergenceTarget)
		m.wantVersion(t, 2)
		wantMemberCount(t, nodes, 12)
		if n := m.counterSum("relay.whole_sent"); n > 12 {
			t.Errorf("%d whole configurations sent, want at most one for each started node", n)
		}
		for _, n := range nodes {
			if _, ok := n.sync.CompleteSince(); !ok || !n.sync.SubscriptionsLoaded() {
				t.Errorf("node %s is not synchronised or not subscribed to all services that it may call", n.addr)
			}
		}
	})
}

// Guards against nodes that go back to an older version after the platform was restored to an older state, and nodes
// that refuse the higher version which is published afterwards.
func TestRestoredPlatformIsRefused(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		m, _ := startSettled(t, 2, 3)
		defer m.stop()
		m.publish(configuration(2, 2))
		m.publish(configuration(2, 3))
		time.Sleep(convergenceTarget)
		m.writeHead(2, configuration(2, 2))
		time.Sleep(convergenceTarget)
		m.wantVersion(t, 3)
		m.writeHead(3, configuration(2, 9))
		time.Sleep(convergenceTarget)
		if m.counterSum("config.older") == 0 || m.counterSum("config.conflict") == 0 {
			t.Errorf("%d older and %d conflicting heads reported, want some of each",
				m.counterSum("config.older"), m.counterSum("config.conflict"))
		}
		m.nodes["n0-2"].kill()
		m.add("n0-2", "z0", "s0", "n0-0", "n1-0").start()
		time.Sleep(30 * time.Second)
		m.wantVersion(t, 3)
		m.writeHead(4, configuration(2, 4))
		time.Sleep(convergenceTarget)
		m.wantVersion(t, 4)
	})
}

// Guards against a restarted node that takes the head of a restored platform for the newest version, although a peer
// that it can reach serves a newer one.
func TestStartAfterRestoreAsksNeighbours(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		m, _ := startSettled(t, 2, 3)
		defer m.stop()
		m.publish(configuration(2, 2))
		m.publish(configuration(2, 3))
		time.Sleep(convergenceTarget)
		m.writeHead(2, configuration(2, 2))
		peer := m.nodes["n1-1"]
		m.nodes["n0-2"].kill()
		restarted := m.add("n0-2", "z0", "s0", "n0-0", "n1-0", "n1-1")
		m.setCut(func(a, b *node) bool { return a == restarted && b != peer })
		restarted.start()
		for range 120 {
			time.Sleep(500 * time.Millisecond)
			if c := restarted.sync.Current(); c != nil && c.Version < 3 {
				t.Fatalf("the restarted node serves version %d, want 3 as before the restart", c.Version)
			}
		}
		if !restarted.sync.Ready() {
			t.Error("the node is not ready although the platform and a peer have answered")
		}
	})
}

// Guards against a node that becomes ready during an outage of the platform after only one of several peers has
// answered, and a node that does not become ready although enough peers have answered.
func TestStartInOutage(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		m, _ := startSettled(t, 2, 3)
		defer m.stop()
		m.store.setDown(true)
		reachable := m.nodes["n0-0"]
		starting := m.add("late", "z0", "s0", "n0-0", "n1-0", "n1-1")
		m.setCut(func(a, b *node) bool { return a == starting && b != reachable })
		starting.start()
		time.Sleep(time.Minute)
		if starting.sync.Ready() {
			t.Error("the node is ready although only one of several peers has answered")
		}
		m.setCut(nil)
		time.Sleep(30 * time.Second)
		if !starting.sync.Ready() || starting.sync.Current().Version != 1 {
			t.Error("the node is not ready on version 1 although two peers have answered")
		}
		alone := m.add("alone", "z9", "s0")
		alone.start()
		time.Sleep(time.Minute)
		if alone.sync.Ready() {
			t.Error("a node without platform and peers is ready")
		}
	})
}

// Guards against a node that waits for a second peer during an outage of the platform, although it knows only one.
func TestStartInOutageWithOnePeer(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		m := newMesh(t, 1)
		defer m.stop()
		m.publish(configuration(2, 1))
		m.add("a", "z0", "s0", "a", "b").start()
		time.Sleep(time.Minute)
		m.store.setDown(true)
		b := m.add("b", "z0", "s0", "a", "b").start()
		time.Sleep(time.Minute)
		if !b.sync.Ready() {
			t.Error("the node is not ready although its only known peer has answered")
		}
	})
}

// Guards against an availability zone that misses changes when only its path to the platform is cut.
func TestZoneCutOffFromPlatform(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		m, nodes := startSettled(t, 3, 3)
		defer m.stop()
		for _, n := range nodes {
			n.store.setDown(n.zone == "z1")
		}
		m.publish(configuration(2, 2))
		time.Sleep(convergenceTarget)
		m.wantVersion(t, 2)
		wantMemberCount(t, nodes, 9)
	})
}

// Guards against instances of an unreachable zone that still get requests after 30 s, get none after the zone is back,
// or are dropped from the history.
func TestUnreachableZone(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		m, nodes := startSettled(t, 3, 3)
		defer m.stop()
		m.setCut(func(a, b *node) bool { return a.zone == "z2" && b.zone != "z2" })
		time.Sleep(50 * time.Second)
		for _, n := range nodes {
			want := 6
			if n.zone == "z2" {
				want = 3
			}
			if got := n.memberCount(); got != want {
				t.Errorf("node %s knows %d instances, want %d", n.addr, got, want)
			}
			if got := len(n.sync.History("s0")); got < 4 {
				t.Errorf("node %s has a history of %d spans, want at least 4", n.addr, got)
			}
		}
		m.publish(configuration(2, 2))
		time.Sleep(convergenceTarget)
		m.wantVersion(t, 2) // both sides can reach the platform
		m.setCut(nil)
		time.Sleep(30 * time.Second)
		wantMemberCount(t, nodes, 9)
	})
}

// Guards against a relay that is isolated until its lease has expired and does harm when it comes back: it must step
// down, and the nodes whose polls it has missed must not be recorded as departed.
func TestRelayLosesLease(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		m, nodes := startSettled(t, 2, 4)
		defer m.stop()
		old := m.relays("z0")[0]
		isolated := func(a, _ *node) bool { return a == old }
		m.setCut(isolated)
		old.store.setDown(true)
		time.Sleep(2 * time.Minute)
		if got := len(m.relays("z0")); got != 3 {
			t.Errorf("%d relays while one is isolated, want 3: the isolated one cannot learn that it was replaced", got)
		}
		departures := m.counterSum("relay.departures")
		m.setCut(nil)
		old.store.setDown(false)
		m.publish(configuration(2, 2))
		time.Sleep(time.Minute)
		if got := len(m.relays("z0")); got != RelaysPerZone {
			t.Errorf("%d relays after the network has healed, want %d", got, RelaysPerZone)
		}
		if got := old.set.Snapshot()["relay.departures"]; got > 4 {
			t.Errorf("the isolated relay recorded %d departures, want at most 4", got)
		}
		t.Logf("departures recorded while the relay was isolated: %d", departures)
		m.wantVersion(t, 2)
		wantMemberCount(t, nodes, 8)
		for _, n := range nodes {
			if n != old && n.set.Snapshot()["sync.incarnation_raised"] != 0 {
				t.Errorf("node %s was recorded as departed although only the isolated relay missed its polls", n.addr)
			}
		}
	})
}

// Guards against two holders of one relay slot that disturb each other. There are two when a relay is cut off from the
// platform, but not from the nodes, and continues while another node takes over its lease.
func TestTwoHoldersOfOneSlot(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		m, nodes := startSettled(t, 2, 4)
		defer m.stop()
		old := m.relays("z0")[0]
		old.store.setDown(true)
		spec, _ := json.Marshal(lease.Lease{
			Holder: "n0-3", Address: "n0-3", Incarnation: m.nodes["n0-3"].sync.Self().Incarnation,
		})
		slot, _ := old.relay.HeldSlot()
		o := platform.Object{Kind: platform.KindRelayLease, Name: lease.Name("z0", slot), Spec: spec}
		if _, err := m.store.write("test", o, func(platform.Object, bool) bool { return true }); err != nil {
			t.Fatal(err)
		}
		m.publish(configuration(2, 2))
		time.Sleep(convergenceTarget)
		m.wantVersion(t, 2)
		time.Sleep(time.Minute)
		old.store.setDown(false)
		time.Sleep(time.Minute)
		m.publish(configuration(2, 3))
		time.Sleep(convergenceTarget)
		m.wantVersion(t, 3)
		wantMemberCount(t, nodes, 8)
		if got := m.counterSum("relay.departures"); got != 0 {
			t.Errorf("%d departures recorded, want none", got)
		}
		if got := len(m.relays("z0")); got != RelaysPerZone {
			t.Errorf("%d relays, want %d", got, RelaysPerZone)
		}
	})
}
