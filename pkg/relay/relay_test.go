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

func fresh(v any) any { return reflect.New(reflect.TypeOf(v).Elem()).Interface() }

// grid starts n nodes in each zone, all seeded with the first nodes.
func grid(m *mesh, zones, n int) []*node {
	var out []*node
	for i := range n {
		for z := range zones {
			out = append(out, m.add(fmt.Sprintf("n%d-%d", z, i), fmt.Sprint("z", z), fmt.Sprint("s", i%2), "n0-0", "n1-0", "n2-0").start())
		}
	}
	return out
}

// settled starts a grid on version 1 and waits until it is quiet.
func settled(t *testing.T, zones, n int) (*mesh, []*node) {
	m := newMesh(t, 1)
	m.publish(configuration(2, 1))
	nodes := grid(m, zones, n)
	time.Sleep(90 * time.Second)
	if low, _ := m.versions(); low != 1 {
		t.Fatalf("a node serves version %d at the beginning, want 1", low)
	}
	return m, nodes
}

func run(t *testing.T, f func(t *testing.T)) { synctest.Test(t, f) }

// members returns how many instances a node may choose from.
func (n *node) members() int { return len(n.sync.Instances("s0")) + len(n.sync.Instances("s1")) }

func (m *mesh) wantVersion(t *testing.T, want config.Version) {
	t.Helper()
	if low, high := m.versions(); low != want || high != want {
		t.Errorf("nodes serve versions %d to %d, want %d", low, high, want)
	}
}

func wantMembers(t *testing.T, nodes []*node, want int) {
	t.Helper()
	for _, n := range nodes {
		if got := n.members(); n.up && got != want {
			t.Errorf("node %s knows %d instances, want %d", n.addr, got, want)
		}
	}
}

// target is the time in which a change must be in force everywhere.
const target7s = 7 * time.Second

// Guards against a mesh that does not find its relays, or in which a change does not reach every node in time.
func TestChangeReachesEveryNode(t *testing.T) {
	run(t, func(t *testing.T) {
		m, nodes := settled(t, 3, 4)
		defer m.stop()
		for z := range 3 {
			if got := len(m.relays(fmt.Sprint("z", z))); got != Slots {
				t.Errorf("zone %d has %d relays, want %d", z, got, Slots)
			}
		}
		m.publish(configuration(2, 2))
		time.Sleep(target7s)
		m.wantVersion(t, 2)
		wantMembers(t, nodes, 12)
		if n := m.count("relay.whole_sent"); n > 12 {
			t.Errorf("%d whole configurations sent, want one for each start at most", n)
		}
		for _, n := range nodes {
			if _, ok := n.sync.Synchronised(); !ok || !n.sync.SubscriptionsLoaded() {
				t.Errorf("node %s is not synchronised with all services that it reaches", n.addr)
			}
		}
	})
}

// Guards against nodes that follow a platform which was restored to an older state, or stay deaf after the head was
// raised again.
func TestRestoredPlatformIsRefused(t *testing.T) {
	run(t, func(t *testing.T) {
		m, _ := settled(t, 2, 3)
		defer m.stop()
		m.publish(configuration(2, 2))
		m.publish(configuration(2, 3))
		time.Sleep(target7s)
		m.writeHead(2, configuration(2, 2))
		time.Sleep(target7s)
		m.wantVersion(t, 3)
		m.writeHead(3, configuration(2, 9))
		time.Sleep(target7s)
		if m.count("config.older") == 0 || m.count("config.conflict") == 0 {
			t.Errorf("%d older and %d conflicting heads reported", m.count("config.older"), m.count("config.conflict"))
		}
		m.nodes["n0-2"].kill()
		m.add("n0-2", "z0", "s0", "n0-0", "n1-0").start()
		time.Sleep(30 * time.Second)
		m.wantVersion(t, 3)
		m.writeHead(4, configuration(2, 4))
		time.Sleep(target7s)
		m.wantVersion(t, 4)
	})
}

// Guards against a restarted node that takes the platform's word for the newest version after a restore, while a
// neighbour that it can reach serves a newer one.
func TestStartAfterRestoreAsksNeighbours(t *testing.T) {
	run(t, func(t *testing.T) {
		m, _ := settled(t, 2, 3)
		defer m.stop()
		m.publish(configuration(2, 2))
		m.publish(configuration(2, 3))
		time.Sleep(target7s)
		m.writeHead(2, configuration(2, 2))
		neighbour := m.nodes["n1-1"]
		m.nodes["n0-2"].kill()
		late := m.add("n0-2", "z0", "s0", "n0-0", "n1-0", "n1-1")
		m.setCut(func(a, b *node) bool { return a == late && b != neighbour })
		late.start()
		for range 120 {
			time.Sleep(500 * time.Millisecond)
			if c := late.sync.Current(); c != nil && c.Version < 3 {
				t.Fatalf("serves version %d after it had served 3", c.Version)
			}
		}
		if !late.sync.Ready() {
			t.Error("not ready although platform and a neighbour answered")
		}
	})
}

// Guards against a node that becomes ready in an outage of the platform after asking one peer of several, and one that
// never becomes ready although it has asked enough.
func TestStartInOutage(t *testing.T) {
	run(t, func(t *testing.T) {
		m, _ := settled(t, 2, 3)
		defer m.stop()
		m.store.setDown(true)
		only := m.nodes["n0-0"]
		late := m.add("late", "z0", "s0", "n0-0", "n1-0", "n1-1")
		m.setCut(func(a, b *node) bool { return a == late && b != only })
		late.start()
		time.Sleep(time.Minute)
		if late.sync.Ready() {
			t.Error("ready after one of several peers")
		}
		m.setCut(nil)
		time.Sleep(30 * time.Second)
		if !late.sync.Ready() || late.sync.Current().Version != 1 {
			t.Error("not ready although two peers answered")
		}
		alone := m.add("alone", "z9", "s0")
		alone.start()
		time.Sleep(time.Minute)
		if alone.sync.Ready() {
			t.Error("ready without platform and peers")
		}
	})
}

// Guards against a node that waits for a second peer where it knows only one.
func TestStartInOutageWithOnePeer(t *testing.T) {
	run(t, func(t *testing.T) {
		m := newMesh(t, 1)
		defer m.stop()
		m.publish(configuration(2, 1))
		m.add("a", "z0", "s0", "a", "b").start()
		time.Sleep(time.Minute)
		m.store.setDown(true)
		b := m.add("b", "z0", "s0", "a", "b").start()
		time.Sleep(time.Minute)
		if !b.sync.Ready() {
			t.Error("not ready although the only known peer answered")
		}
	})
}

// Guards against an availability zone that stays behind when only its path to the platform is cut.
func TestZoneCutOffFromPlatform(t *testing.T) {
	run(t, func(t *testing.T) {
		m, nodes := settled(t, 3, 3)
		defer m.stop()
		for _, n := range nodes {
			n.store.setDown(n.zone == "z1")
		}
		m.publish(configuration(2, 2))
		time.Sleep(target7s)
		m.wantVersion(t, 2)
		wantMembers(t, nodes, 9)
	})
}

// Guards against instances of a lost zone that are still chosen after 30 s, are chosen no more after it came back, or
// are forgotten.
func TestUnreachableZone(t *testing.T) {
	run(t, func(t *testing.T) {
		m, nodes := settled(t, 3, 3)
		defer m.stop()
		m.setCut(func(a, b *node) bool { return a.zone == "z2" && b.zone != "z2" })
		time.Sleep(50 * time.Second)
		for _, n := range nodes {
			want := 6
			if n.zone == "z2" {
				want = 3
			}
			if got := n.members(); got != want {
				t.Errorf("node %s knows %d instances, want %d", n.addr, got, want)
			}
			if got := len(n.sync.History("s0")); got < 4 {
				t.Errorf("node %s has a history of %d spans", n.addr, got)
			}
		}
		m.publish(configuration(2, 2))
		time.Sleep(target7s)
		m.wantVersion(t, 2) // each side has the platform
		m.setCut(nil)
		time.Sleep(30 * time.Second)
		wantMembers(t, nodes, 9)
	})
}

// Guards against a relay that was cut off past its lease and does harm when it comes back: it must step down, and no
// node that it has lost sight of may be recorded as departed.
func TestRelayLosesLease(t *testing.T) {
	run(t, func(t *testing.T) {
		m, nodes := settled(t, 2, 4)
		defer m.stop()
		old := m.relays("z0")[0]
		frozen := func(a, _ *node) bool { return a == old }
		m.setCut(frozen)
		old.store.setDown(true)
		time.Sleep(2 * time.Minute)
		if got := len(m.relays("z0")); got != 3 {
			t.Errorf("%d holders while one is cut off, want 3: nobody tells it", got)
		}
		departures := m.count("relay.departures")
		m.setCut(nil)
		old.store.setDown(false)
		m.publish(configuration(2, 2))
		time.Sleep(time.Minute)
		if got := len(m.relays("z0")); got != Slots {
			t.Errorf("%d holders after the return, want %d", got, Slots)
		}
		if got := old.set.Snapshot()["relay.departures"]; got > 4 {
			t.Errorf("the lost relay recorded %d departures", got)
		}
		t.Logf("departures recorded while cut off: %d", departures)
		m.wantVersion(t, 2)
		wantMembers(t, nodes, 8)
		for _, n := range nodes {
			if n != old && n.set.Snapshot()["sync.incarnation_raised"] != 0 {
				t.Errorf("node %s was recorded as departed by a relay that had lost it", n.addr)
			}
		}
	})
}

// Guards against two holders of one slot that hinder each other: a relay that is cut off from the platform only goes
// on, while another node takes its lease.
func TestTwoHoldersAtOnce(t *testing.T) {
	run(t, func(t *testing.T) {
		m, nodes := settled(t, 2, 4)
		defer m.stop()
		old := m.relays("z0")[0]
		old.store.setDown(true)
		spec, _ := json.Marshal(lease.Lease{Holder: "n0-3", Address: "n0-3", Incarnation: m.nodes["n0-3"].sync.Self().Incarnation})
		slot, _ := old.relay.Holds()
		o := platform.Object{Kind: platform.KindRelayLease, Name: lease.Name("z0", slot), Spec: spec}
		if _, err := m.store.write("test", o, func(platform.Object, bool) bool { return true }); err != nil {
			t.Fatal(err)
		}
		m.publish(configuration(2, 2))
		time.Sleep(target7s)
		m.wantVersion(t, 2)
		time.Sleep(time.Minute)
		old.store.setDown(false)
		time.Sleep(time.Minute)
		m.publish(configuration(2, 3))
		time.Sleep(target7s)
		m.wantVersion(t, 3)
		wantMembers(t, nodes, 8)
		if got := m.count("relay.departures"); got != 0 {
			t.Errorf("%d departures recorded, want none", got)
		}
		if got := len(m.relays("z0")); got != Slots {
			t.Errorf("%d relays, want %d", got, Slots)
		}
	})
}
