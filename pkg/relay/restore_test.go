package relay

import (
	"maps"
	"testing"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/config"
	"github.com/monsoonlatch/monsoonlatch/pkg/platform"
	"github.com/monsoonlatch/monsoonlatch/pkg/status"
)

// restore brings the objects back to an earlier state.
func (m *memStore) restore(objects map[string]platform.Object) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.objects = objects
	m.wake()
}

func (m *memStore) copy() map[string]platform.Object {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.objects)
}

// Guards against reports that a restore of the platform has taken back: a submit would not see that nodes serve a later
// version than the head, and would give that version to another release note.
func TestReportsAreRightAgainAfterRestore(t *testing.T) {
	run(t, func(t *testing.T) {
		m, _ := settled(t, 2, 3)
		defer m.stop()
		saved := m.store.copy()
		m.publish(configuration(2, 2))
		time.Sleep(target7s)
		m.store.restore(saved)
		time.Sleep(target7s)
		m.wantVersion(t, 2)
		for name, o := range m.store.copy() {
			if o.Kind != platform.KindZoneStatus {
				continue
			}
			z, err := status.Parse(name, o.Spec)
			if err != nil || status.HighestVersion([]status.ZoneStatus{z}) != 2 {
				t.Errorf("%s reports version %d, err %v", name, z.Version, err)
			}
		}
	})
}

// Guards against relays that pause, and so miss changes, whenever the platform ends a watch at its regular time.
func TestRegularEndOfWatchDelaysNothing(t *testing.T) {
	run(t, func(t *testing.T) {
		m := newMesh(t, 1)
		m.store.watchTime = 3 * time.Second
		m.publish(configuration(2, 1))
		grid(m, 1, 3)
		defer m.stop()
		time.Sleep(90 * time.Second)
		for v := 2; v < 60; v++ {
			m.publish(configuration(2, v))
			time.Sleep(700 * time.Millisecond)
			m.wantVersion(t, config.Version(v))
		}
	})
}
