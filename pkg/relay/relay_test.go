package relay

import (
	"fmt"
	"reflect"
	"testing"
	"testing/synctest"
	"time"
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

// Guards against a mesh that does not find its relays, or in which a change does not reach every node within the 7 s
// of the design.
func TestChangeReachesEveryNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(t, 1)
		defer m.stop()
		m.publish(configuration(2, 1))
		nodes := grid(m, 3, 4)
		time.Sleep(90 * time.Second)
		for z := range 3 {
			if got := len(m.relays(fmt.Sprint("z", z))); got != Slots {
				t.Errorf("zone %d has %d relays, want %d", z, got, Slots)
			}
		}
		m.publish(configuration(2, 2))
		time.Sleep(7 * time.Second)
		if low, _ := m.versions(); low != 2 {
			t.Errorf("a node serves version %d after 7 s, want 2", low)
		}
		for _, n := range nodes {
			if got := len(n.sync.Instances("s0")) + len(n.sync.Instances("s1")); got != 12 {
				t.Errorf("node %s knows %d instances, want 12", n.addr, got)
			}
			if _, ok := n.sync.Synchronised(); !ok {
				t.Errorf("node %s is not synchronised", n.addr)
			}
		}
	})
}
