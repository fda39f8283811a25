package e2e

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// versionWatch keeps the versions that each node serves, and fails the test when one falls.
type versionWatch struct {
	m    *mesh
	mu   sync.Mutex
	last map[string]uint64
	// floor is a version that all nodes have served at the same time: no node may serve a lower one from then on, a
	// restarted one included.
	floor uint64
	stop  chan struct{}
	done  sync.WaitGroup
}

const pollPeriod = 50 * time.Millisecond

// watchVersions polls GET /v1/state of each node until the test ends.
func (m *mesh) watchVersions() *versionWatch {
	w := &versionWatch{m: m, last: make(map[string]uint64), stop: make(chan struct{})}
	for _, in := range m.instances {
		w.done.Go(func() { w.poll(in) })
	}
	m.t.Cleanup(func() { close(w.stop); w.done.Wait() })
	return w
}

func (w *versionWatch) poll(in *instance) {
	tick := time.NewTicker(pollPeriod)
	defer tick.Stop()
	for {
		floor := w.lowest()
		if version := in.state().Version; version != 0 {
			w.record(in.id, version, floor)
		}
		select {
		case <-tick.C:
		case <-w.stop:
			return
		}
	}
}

// lowest is read before the state, so that a state from before a raise is not held against it.
func (w *versionWatch) lowest() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.floor
}

// record checks one reading. A restarted node is a new proxy, which the floor alone binds until its first reading.
func (w *versionWatch) record(id string, version, floor uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if version < floor {
		w.m.t.Errorf("%s serves version %d after all nodes have served %d", id, version, floor)
	}
	if version < w.last[id] {
		w.m.t.Errorf("%s went back from version %d to %d", id, w.last[id], version)
	}
	w.last[id] = version
}

// reached waits until every node serves the version, and holds all nodes to it from then on.
func (w *versionWatch) reached(version uint64) {
	w.m.t.Helper()
	w.m.eventually(fmt.Sprintf("version %d on every node", version), func() bool { return w.m.all(version) })
	w.mu.Lock()
	defer w.mu.Unlock()
	w.floor = max(w.floor, version)
}

func (m *mesh) all(version uint64) bool {
	for _, in := range m.instances {
		if in.state().Version != version {
			return false
		}
	}
	return true
}

// noteFile writes a release note that adds one route to the lookup desk.
func (m *mesh) noteFile(id, path string) string {
	m.t.Helper()
	text := fmt.Sprintf(`id: %s
author: operators
summary: One more route
add:
  routes:
    - {name: extra%s, pathPrefix: %s, methods: [GET], service: lookup-desk, policy: lookups, idempotent: true}
`, id, filepath.Base(path), path)
	file := filepath.Join(m.t.TempDir(), id+".yaml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		m.t.Fatal(err)
	}
	return file
}

// submitUntilAccepted submits the same note again until a submit succeeds, as an operator does after a lost answer.
func (m *mesh) submitUntilAccepted(file string) {
	m.t.Helper()
	m.eventually("an accepted submit of "+file, func() bool {
		_, err := m.cli("note", "submit", file)
		return err == nil
	})
}
