package e2e

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/monsoonlatch/monsoonlatch/internal/forwarder"
)

// startLookups sends lookups through the given nodes, which must stay up, until stop is called. No call may fail or be
// truncated, and each successful response must belong to its request.
func (m *mesh) startLookups(through []*instance) (stop func() (succeeded int)) {
	stopping := make(chan struct{})
	var workers sync.WaitGroup
	var mu sync.Mutex
	total := 0
	for i, in := range through {
		workers.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stopping:
					return
				default:
				}
				path := fmt.Sprintf("/capsules/%d-%d", i, n)
				resp := call(in.callers, http.MethodGet, path, "", "")
				if resp.err != nil || (resp.succeeded() && !strings.HasPrefix(resp.body, "ran GET "+path+" ")) {
					m.t.Errorf("lookup %s at %s: got %+v, want a complete response to this request", path, in.id, resp)
				}
				if resp.succeeded() {
					mu.Lock()
					total++
					mu.Unlock()
				}
			}
		})
	}
	return func() int { close(stopping); workers.Wait(); return total }
}

// Guards against a node that serves an older version than the others after most nodes were killed at once and
// restarted, with and without the platform, and against truncated responses at the surviving nodes.
func TestHerdOfRestarts(t *testing.T) {
	t.Parallel()
	m := nairobi(t, nairobiZones...)
	versions := m.watchVersions()
	m.submit("nairobi/02-school-term.yaml", 2)
	versions.waitReached(2)
	survivors := []*instance{m.instances[0], m.instances[3]}
	stop := m.startLookups(survivors)
	for _, down := range []bool{false, true} {
		m.platformFaults(fmt.Sprintf(`{"down":%v}`, down))
		m.killAllExcept(survivors)
		for _, in := range m.instances {
			if in != survivors[0] && in != survivors[1] {
				m.startNode(in)
			}
		}
		versions.waitReached(2)
	}
	m.platformFaults(`{}`)
	if n := stop(); n == 0 {
		t.Error("no lookup succeeded at the surviving nodes")
	}
	m.submitUntilAccepted(m.noteFile("after-the-herd", "/herd"))
	versions.waitReached(3)
}

// killAllExcept kills all nodes but the survivors at once and waits until they have ended.
func (m *mesh) killAllExcept(survivors []*instance) {
	for _, in := range m.instances {
		if in != survivors[0] && in != survivors[1] {
			in.node.signal(syscall.SIGKILL)
		}
	}
	for _, in := range m.instances {
		if in != survivors[0] && in != survivors[1] {
			<-in.node.done
		}
	}
}

// relays returns the relays of a zone.
func (m *mesh) relays(zone string) []*instance {
	var out []*instance
	for _, in := range m.instances {
		if in.zone == zone && in.state().Relay {
			out = append(out, in)
		}
	}
	return out
}

// Guards against a relay that is paused until its lease has expired and, when it resumes, stays a relay beside its
// successor or distributes an old version.
func TestRelayPausedPastItsLease(t *testing.T) {
	t.Parallel()
	m := nairobi(t, nairobiZones...)
	versions := m.watchVersions()
	versions.waitReached(1)
	zone := nairobiZones[0]
	m.eventually("two relays", func() bool { return len(m.relays(zone)) == 2 })
	paused := m.relays(zone)[0]
	paused.node.signal(syscall.SIGSTOP)
	m.submitUntilAccepted(m.noteFile("while-paused", "/paused"))
	m.eventually("version 2 on all other nodes", func() bool { return m.othersServe(paused, 2) })
	m.eventually("a successor of the paused relay", func() bool { return m.otherRelays(paused) == 2 })
	paused.node.signal(syscall.SIGCONT)
	versions.waitReached(2)
	m.eventually("the resumed node to stop being a relay", func() bool { return len(m.relays(zone)) == 2 })
	m.submitUntilAccepted(m.noteFile("after-the-pause", "/awake"))
	versions.waitReached(3)
}

// othersServe reports whether all nodes but one serve the version.
func (m *mesh) othersServe(except *instance, version uint64) bool {
	for _, in := range m.instances {
		if in != except && in.state().Version != version {
			return false
		}
	}
	return true
}

// otherRelays counts the relays in the zone of a paused node, which does not answer itself.
func (m *mesh) otherRelays(paused *instance) int {
	n := 0
	for _, in := range m.instances {
		if in != paused && in.zone == paused.zone && in.state().Relay {
			n++
		}
	}
	return n
}

// Guards against a zone that stops serving calls at its own instances when it is cut off from the other zones and the
// platform, or that does not apply the newest version once the links work again.
func TestZoneCutOffServesItsOwn(t *testing.T) {
	t.Parallel()
	m := nairobi(t, nairobiZones...)
	versions := m.watchVersions()
	versions.waitReached(1)
	for _, mode := range []forwarder.Mode{forwarder.Cut, forwarder.Blackhole} {
		m.cutOffAndReconnect(versions, mode)
	}
}

// cutOffAndReconnect cuts a zone off from the other zones and the platform, submits a release note meanwhile, and waits
// until the zone serves its version after the links work again.
func (m *mesh) cutOffAndReconnect(versions *versionWatch, mode forwarder.Mode) {
	m.t.Helper()
	zone := nairobiZones[1]
	before := versions.currentFloor()
	m.setZoneLinks(zone, mode, true)
	m.submitUntilAccepted(m.noteFile(fmt.Sprintf("during-cut-%d", mode), fmt.Sprintf("/cut%d", mode)))
	for _, in := range m.instances {
		if in.zone == zone {
			m.sendLocalLookups(in)
		}
	}
	m.eventually("the new version on every node of the other zone", func() bool {
		for _, in := range m.instances {
			if in.zone != zone && in.state().Version != before+1 {
				return false
			}
		}
		return true
	})
	m.setZoneLinks(zone, forwarder.Pass, true)
	versions.waitReached(before + 1)
	m.eventually("a successful call of the new route in the zone that was cut off", func() bool {
		return call(m.instances[3].callers, http.MethodGet, fmt.Sprintf("/cut%d", mode), "", "").succeeded()
	})
}

// sendLocalLookups sends lookups through a node whose zone is cut off. All must succeed at the instance in that zone.
func (m *mesh) sendLocalLookups(in *instance) {
	m.t.Helper()
	const lookups = 30
	for n := range lookups {
		if resp := call(in.callers, http.MethodGet, fmt.Sprintf("/capsules/%d", n), "", ""); !resp.succeeded() {
			m.t.Errorf("lookup at %s in the zone that is cut off: got %+v, want a success", in.id, resp)
		}
	}
}
