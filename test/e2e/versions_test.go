package e2e

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// versionWatch records the version that each node serves, and fails the test when one decreases.
type versionWatch struct {
	m    *mesh
	mu   sync.Mutex
	last map[string]uint64
	// floor is the highest version that all nodes have served at the same time. From then on no node may serve a lower
	// one, not even after a restart.
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
		floor := w.currentFloor()
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

// currentFloor returns the lowest version that a node may serve. It is read before the node's state, so that a state
// from before a raise of the floor is not checked against the raised floor.
func (w *versionWatch) currentFloor() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.floor
}

// record checks one reading: it must not be below the floor, nor below the previous reading of the node, which may be
// from before a restart.
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

// waitReached waits until every node serves the version, and raises the floor to it.
func (w *versionWatch) waitReached(version uint64) {
	w.m.t.Helper()
	w.m.eventually(fmt.Sprintf("version %d on every node", version), func() bool { return w.m.allServe(version) })
	w.mu.Lock()
	defer w.mu.Unlock()
	w.floor = max(w.floor, version)
}

func (m *mesh) allServe(version uint64) bool {
	for _, in := range m.instances {
		if in.state().Version != version {
			return false
		}
	}
	return true
}

// noteFile writes a release note that adds one route to the lookup desk, and returns the path of its file.
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

// submitUntilAccepted submits the same note again until a submission succeeds, as an operator does after a lost
// response.
func (m *mesh) submitUntilAccepted(file string) {
	m.t.Helper()
	m.eventually("an accepted submission of "+file, func() bool {
		_, err := m.cli("note", "submit", file)
		return err == nil
	})
}
