package relay

import (
	"maps"
	"testing"
	"time"

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
