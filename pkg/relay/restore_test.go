package relay

import (
	"maps"
	"testing"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/config"
	"github.com/monsoonlatch/monsoonlatch/pkg/platform"
	"github.com/monsoonlatch/monsoonlatch/pkg/status"
)

// restore replaces all objects, as a restore of the platform from a backup does.
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

// Guards against status objects that stay old after a restore of the platform. A submit would then not see that nodes
// serve a higher version than the head, and would assign that version to another release note.
func TestStatusIsRewrittenAfterRestore(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		m, _ := startSettled(t, 2, 3)
		defer m.stop()
		saved := m.store.copy()
		m.publish(configuration(2, 2))
		time.Sleep(convergenceTarget)
		m.store.restore(saved)
		time.Sleep(convergenceTarget)
		m.wantVersion(t, 2)
		for name, o := range m.store.copy() {
			if o.Kind != platform.KindZoneStatus {
				continue
			}
			z, err := status.Parse(name, o.Spec)
			if err != nil || status.HighestVersion([]status.ZoneStatus{z}) != 2 {
				t.Errorf("%s reports version %d (error: %v), want 2", name, z.Version, err)
			}
		}
	})
}

// Guards against relays that pause whenever the platform ends a watch at its regular time, and so deliver changes late.
func TestRegularWatchEndDoesNotDelayChanges(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		m := newMesh(t, 1)
		m.store.watchDuration = 3 * time.Second
		m.publish(configuration(2, 1))
		startNodes(m, 1, 3)
		defer m.stop()
		time.Sleep(90 * time.Second)
		for v := 2; v < 60; v++ {
			m.publish(configuration(2, v))
			time.Sleep(700 * time.Millisecond)
			m.wantVersion(t, config.Version(v))
		}
	})
}
