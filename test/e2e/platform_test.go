package e2e

import (
	"encoding/json"
	"fmt"
	"sync"
	"testing"
)

// Guards against a release note that is lost, applied twice or reverted when the platform is down or slow, loses the
// response to a write, serves stale reads, or has watches that expire or receive no events.
func TestNotesUnderPlatformFaults(t *testing.T) {
	t.Parallel()
	m := nairobi(t, nairobiZones...)
	versions := m.watchVersions()
	versions.waitReached(1)
	for i, switches := range []string{
		`{"down":true}`, `{"slowMillis":700}`, `{"loseAnswers":-1}`, `{"staleReads":true}`, `{"silentWatches":true}`,
		`{"expireWatches":true}`, `{"loseAnswers":-1,"slowMillis":300}`,
	} {
		file := m.noteFile(fmt.Sprintf("fault-%d", i), fmt.Sprintf("/fault%d", i))
		m.platformFaults(switches)
		out, err := m.cli("note", "submit", file)
		if switches == `{"down":true}` && err == nil {
			t.Errorf("a submit succeeded with the platform down: %s", out)
		}
		if switches == `{"silentWatches":true}` {
			versions.waitReached(uint64(i) + 2)
		}
		m.platformFaults(`{}`)
		m.submitUntilAccepted(file)
		versions.waitReached(uint64(i) + 2)
	}
}

// Guards against nodes that follow a platform which was restored to an older state, and against a restarted node that
// takes the old version from it.
func TestPlatformRestoredToOlderState(t *testing.T) {
	t.Parallel()
	m := nairobi(t, nairobiZones...)
	versions := m.watchVersions()
	versions.waitReached(1)
	m.platformFaults(`{"save":true}`)
	m.submitUntilAccepted(m.noteFile("before-the-restore", "/before"))
	versions.waitReached(2)
	m.platformFaults(`{"restore":true}`)
	for _, in := range m.instances[1:3] {
		in.node.kill()
		m.startNode(in)
	}
	versions.waitReached(2)
	if out, err := m.cli("note", "submit", "--raise-above", "2", m.noteFile("after-the-restore", "/after")); err != nil {
		t.Fatalf("submit above the version in force: %v\n%s", err, out)
	}
	versions.waitReached(3)
}

// Guards against concurrent notes of two operators that overwrite each other or are both refused.
func TestOperatorsRace(t *testing.T) {
	t.Parallel()
	const notes = 6
	m := nairobi(t, nairobiZones[0])
	versions := m.watchVersions()
	versions.waitReached(1)
	accepted := make([][]bool, 2)
	var operators sync.WaitGroup
	for o := range accepted {
		accepted[o] = make([]bool, notes)
		files := make([]string, notes)
		for i := range files {
			// An even note adds a route of its own, an odd one the same route as the other operator's note.
			path := fmt.Sprintf("/race%d", i)
			if i%2 == 0 {
				path = fmt.Sprintf("/race%d-%d", i, o)
			}
			files[i] = m.noteFile(fmt.Sprintf("operator-%d-%d", o, i), path)
		}
		operators.Go(func() {
			for i, file := range files {
				_, err := m.cli("note", "submit", file)
				accepted[o][i] = err == nil
			}
		})
	}
	operators.Wait()
	total := uint64(1)
	for i := range notes {
		both, either := accepted[0][i] && accepted[1][i], accepted[0][i] || accepted[1][i]
		if both != (i%2 == 0) || !either {
			t.Errorf("note %d: accepted from the operators: %v and %v, want both if even, one of the two if odd", i,
				accepted[0][i], accepted[1][i])
		}
		for o := range accepted {
			if accepted[o][i] {
				total++
			}
		}
	}
	versions.waitReached(total)
	m.checkNoteList(int(total))
}

// checkNoteList checks that the list holds want notes, each with a version of its own.
func (m *mesh) checkNoteList(want int) {
	m.t.Helper()
	out, err := m.cli("note", "list", "--json")
	if err != nil {
		m.t.Fatalf("note list: %v", err)
	}
	var notes []struct {
		Version uint64 `json:"version"`
	}
	if err := json.Unmarshal(out, &notes); err != nil || len(notes) != want {
		m.t.Errorf("%d notes in the list, want %d: %v\n%s", len(notes), want, err, out)
	}
	seen := make(map[uint64]bool)
	for _, n := range notes {
		if seen[n.Version] {
			m.t.Errorf("version %d belongs to more than one note", n.Version)
		}
		seen[n.Version] = true
	}
}
