package relay

import (
	"context"
	"testing"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/config"
	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
	"github.com/monsoonlatch/monsoonlatch/pkg/syncer"
)

// Guards against a dead node that stays a member, and a node that does not rejoin after it was recorded as departed.
func TestMissedPolls(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		m, nodes := startSettled(t, 2, 4)
		defer m.stop()
		dead, paused := nonRelay(m, nodes, 0), nonRelay(m, nodes, 1)
		before := paused.sync.Self().Incarnation
		dead.kill()
		m.setCut(func(a, _ *node) bool { return a == paused })
		time.Sleep(syncer.DepartureTimeout + 7*time.Second)
		for _, n := range nodes {
			if n.up && n != paused && n.memberCount() != 6 {
				t.Errorf("node %s knows %d instances, want 6", n.addr, n.memberCount())
			}
		}
		m.setCut(nil)
		time.Sleep(20 * time.Second)
		wantMemberCount(t, nodes, 7)
		if got := paused.sync.Self().Incarnation; got <= before {
			t.Errorf("incarnation %d after a recorded departure, want more than %d", got, before)
		}
	})
}

// nonRelay returns the running node with index nth, from 0, among those that are not relays.
func nonRelay(m *mesh, nodes []*node, nth int) *node {
	for _, n := range nodes {
		if _, ok := n.relay.HeldSlot(); !ok && n.up {
			if nth == 0 {
				return n
			}
			nth--
		}
	}
	return nil
}

// Guards against a drain that other nodes learn of too late, or that a late copy of the node's older record takes back;
// and against a departure that is not recorded as handed over.
func TestDrainIsUrgent(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		m, nodes := startSettled(t, 3, 4)
		defer m.stop()
		n := nonRelay(m, nodes, 0)
		stale := n.sync.Self()
		calls := m.callCount(syncer.MethodAnnounce)
		drained := stale
		drained.State = membership.StateDraining
		n.sync.UpdateSelf(drained)
		time.Sleep(3 * time.Second)
		if m.callCount(syncer.MethodAnnounce) == calls {
			t.Error("the drain was not announced")
		}
		for _, r := range m.relays(n.zone) { // deliver a late copy of the older record
			_ = n.Call(testContext(t), r.addr, syncer.MethodAnnounce,
				&syncer.AnnounceArgs{Instance: stale}, &syncer.AnnounceReply{})
		}
		for _, o := range nodes {
			if got := stateOf(o, n.addr); got != membership.StateDraining {
				t.Errorf("node %s sees state %d after 3 s, want draining", o.addr, got)
			}
		}
		if err := n.sync.Depart(testContext(t), true); err != nil {
			t.Fatal(err)
		}
		time.Sleep(3 * time.Second)
		wantMemberCount(t, nodes, 11)
		for _, o := range nodes {
			if h := spanOf(o, n.addr); !h.Instance.HandedOver || h.Departed.IsZero() {
				t.Errorf("node %s has span %+v, want a departure with HandedOver set", o.addr, h)
			}
		}
	})
}

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	t.Cleanup(cancel)
	return ctx
}

// spanOf returns what the node knows of the membership of an instance, or the zero Span if it does not know it.
func spanOf(n *node, id string) membership.Span {
	for _, service := range []string{"s0", "s1"} {
		for _, s := range n.sync.History(service) {
			if string(s.Instance.ID) == id {
				return s
			}
		}
	}
	return membership.Span{}
}

func stateOf(n *node, id string) membership.State { return spanOf(n, id).Instance.State }

// Guards against a change that is lost with its announcement: the next poll must carry it.
func TestLostAnnouncement(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		m, nodes := startSettled(t, 2, 3)
		defer m.stop()
		n := nonRelay(m, nodes, 0)
		m.mu.Lock()
		m.lost = func(method string) bool { return method == syncer.MethodAnnounce }
		m.mu.Unlock()
		i := n.sync.Self()
		i.State = membership.StateDraining
		n.sync.UpdateSelf(i)
		time.Sleep(6 * time.Second)
		for _, o := range nodes {
			if stateOf(o, n.addr) != membership.StateDraining {
				t.Errorf("node %s has not learned of the drain", o.addr)
			}
		}
	})
}

// Guards against a node that serves the result of a delta although its hash is wrong, and a node that does not fetch
// the whole configuration then.
func TestDeltaMismatchFetchesWhole(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		m, nodes := startSettled(t, 1, 4)
		defer m.stop()
		m.mu.Lock()
		m.tamper = func(_ string, reply any) {
			if r, ok := reply.(*syncer.SyncReply); ok && len(r.Update.Deltas) > 0 {
				r.Update.Deltas[0].Upsert = config.Items{}
			}
		}
		m.mu.Unlock()
		whole := m.counterSum("relay.whole_sent")
		m.publish(configuration(2, 2))
		time.Sleep(convergenceTarget)
		m.wantVersion(t, 2)
		if got := m.counterSum("config.mismatch"); got != int64(len(nodes)) {
			t.Errorf("%d mismatches reported, want one for each node", got)
		}
		if got := m.counterSum("relay.whole_sent") - whole; got != int64(len(nodes)) {
			t.Errorf("%d whole configurations sent, want %d", got, len(nodes))
		}
	})
}

// Guards against nodes that get instances of services that they may not call, or lack those of services that they may
// call after a change.
func TestSubscriptionFollowsCallableFrom(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		m, nodes := startSettled(t, 2, 4)
		defer m.stop()
		c := configuration(2, 2)
		c.Services["s1"] = config.Service{Name: "s1", CallableFrom: []string{"s1"}}
		m.publish(c)
		time.Sleep(convergenceTarget)
		for _, n := range nodes {
			want := 8
			if n.sync.Self().Service == "s0" {
				want = 4
			}
			if n.memberCount() != want {
				t.Errorf("node %s of %s knows %d instances, want %d", n.addr, n.sync.Self().Service, n.memberCount(), want)
			}
		}
		m.publish(configuration(2, 3))
		time.Sleep(convergenceTarget)
		wantMemberCount(t, nodes, 8)
	})
}
