package relay

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/fault"
	"github.com/monsoonlatch/monsoonlatch/pkg/platform"
)

// memStore is a platform in memory on which an outage can be simulated.
type memStore struct {
	mu       sync.Mutex
	revision int
	down     bool
	// watchDuration, if set, is how long a watch lasts before the platform ends it.
	watchDuration time.Duration
	objects       map[string]platform.Object
	changed       chan struct{}
	calls         map[string]int
}

func newMemStore() *memStore {
	return &memStore{objects: make(map[string]platform.Object), changed: make(chan struct{}), calls: make(map[string]int)}
}

// beginCall counts a call and fails it during an outage. The caller must hold mu.
func (m *memStore) beginCall(kind string) error {
	m.calls[kind]++
	if m.down {
		return fault.New(fault.Unavailable, kind, "outage", "")
	}
	return nil
}

func (m *memStore) setDown(down bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down = down
	m.wake()
}

func (m *memStore) isDown() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.down
}

func (m *memStore) callCount(call string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.calls[call]
}

// wake makes all watches read their object again. The caller must hold mu.
func (m *memStore) wake() { close(m.changed); m.changed = make(chan struct{}) }

func objectKey(kind platform.ObjectKind, name string) string { return string(kind) + "/" + name }

func (m *memStore) Get(_ context.Context, kind platform.ObjectKind, name string) (platform.Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.beginCall("get"); err != nil {
		return platform.Object{}, err
	}
	o, ok := m.objects[objectKey(kind, name)]
	if !ok {
		return o, fault.New(fault.NotFound, "get", name, "")
	}
	return o, nil
}

func (m *memStore) List(_ context.Context, kind platform.ObjectKind) (out []platform.Object, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.beginCall("list"); err != nil {
		return nil, err
	}
	for _, o := range m.objects {
		if o.Kind == kind {
			out = append(out, o)
		}
	}
	return out, nil
}

// write stores an object, unless ok returns false for the one that is stored already.
func (m *memStore) write(call string, o platform.Object, ok func(old platform.Object, exists bool) bool) (
	platform.Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.beginCall(call); err != nil {
		return o, err
	}
	old, exists := m.objects[objectKey(o.Kind, o.Name)]
	if !ok(old, exists) {
		return o, fault.New(fault.Conflict, call, o.Name, "")
	}
	m.revision++
	o.Version = fmt.Sprint(m.revision)
	m.objects[objectKey(o.Kind, o.Name)] = o
	m.wake()
	return o, nil
}

func (m *memStore) Create(_ context.Context, o platform.Object) (platform.Object, error) {
	return m.write("create", o, func(_ platform.Object, exists bool) bool { return !exists })
}

func (m *memStore) Update(_ context.Context, o platform.Object) (platform.Object, error) {
	return m.write("update", o, func(old platform.Object, exists bool) bool { return exists && old.Version == o.Version })
}

func (m *memStore) Delete(_ context.Context, kind platform.ObjectKind, name, version string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.beginCall("delete"); err != nil {
		return err
	}
	if m.objects[objectKey(kind, name)].Version != version {
		return fault.New(fault.Conflict, "delete", name, "")
	}
	delete(m.objects, objectKey(kind, name))
	return nil
}

func (m *memStore) Watch(ctx context.Context, kind platform.ObjectKind, name, version string,
	handle func(platform.Object) error) error {
	m.mu.Lock()
	err := m.beginCall("watch")
	var ended <-chan time.Time
	if m.watchDuration > 0 {
		ended = time.After(m.watchDuration)
	}
	m.mu.Unlock()
	for err == nil {
		m.mu.Lock()
		o, changed, down := m.objects[objectKey(kind, name)], m.changed, m.down
		m.mu.Unlock()
		if down {
			return fault.New(fault.Unavailable, "watch", "outage", "")
		}
		if o.Version != version {
			version, err = o.Version, handle(o)
			continue
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ended:
			return nil
		case <-changed:
		}
	}
	return err
}
