package lease

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestMain fixes the seed of the property tests, so that each run generates the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20261204")
	}
	os.Exit(m.Run())
}

// model simulates a lease object and the nodes that contend for it.
type model struct {
	exists     bool
	version    int
	lease      Lease
	nodes      []*Contender
	pauseSteps []int // remaining steps that each node is paused for
}

// applyWrite applies a write if its precondition holds and reports whether it did.
func (m *model) applyWrite(step Step) bool {
	ok := step.Action == Create && !m.exists || step.Action == Update && m.exists && step.Version == fmt.Sprint(m.version)
	if ok {
		m.exists, m.lease = true, step.Lease
		m.version++
	}
	return ok
}

// performStep performs the next step of one node. fault is 0 for none, 1 for a lost response and 2 for a lost request.
func (m *model) performStep(c *Contender, now time.Time, fault int) {
	step := c.Next(now)
	switch {
	case step.Action == Wait:
	case fault == 2 && step.Action == Read, fault == 1 && step.Action == Read:
		c.ObserveReadFailure(now)
	case step.Action == Read && m.exists:
		c.ObserveRead(now, fmt.Sprint(m.version), m.lease)
	case step.Action == Read:
		c.ObserveAbsent()
	case fault == 2:
		c.ObserveWrite(now, now, Unknown, "", step.Lease)
	default:
		outcome := Conflict
		if m.applyWrite(step) {
			outcome = Done
		}
		if fault == 1 {
			outcome = Unknown
		}
		c.ObserveWrite(now, now, outcome, fmt.Sprint(m.version), step.Lease)
	}
}

func (m *model) countUnexpiredHolders(now time.Time) (n int) {
	for _, c := range m.nodes {
		if c.HoldsUnexpired(now) {
			n++
		}
	}
	return n
}

// Guards against two unexpired holders at once despite pauses, lost responses and lost requests, and against a lease
// that no node acquires after the faults have ended.
func TestAtMostOneUnexpiredHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{pauseSteps: make([]int, 3)}
		for i := range 3 {
			m.nodes = append(m.nodes,
				New(Lease{Holder: fmt.Sprint("n", i), Incarnation: 1}, DefaultDuration, DefaultRenewInterval))
		}
		now := time.Unix(0, 0)
		steps := rapid.IntRange(20, 150).Draw(t, "steps")
		for n := range steps + 80 {
			now = now.Add(500 * time.Millisecond)
			for i, c := range m.nodes {
				fault := 0
				if n < steps {
					fault = rapid.SampledFrom([]int{0, 0, 0, 0, 1, 2}).Draw(t, "fault")
					if rapid.IntRange(0, 39).Draw(t, "pause") == 0 {
						m.pauseSteps[i] = rapid.IntRange(1, 80).Draw(t, "for")
					}
				}
				if m.pauseSteps[i]--; m.pauseSteps[i] > 0 && n < steps {
					continue
				}
				m.performStep(c, now, fault)
				if got := m.countUnexpiredHolders(now); got > 1 {
					t.Fatalf("%d nodes hold an unexpired lease, want at most 1", got)
				}
			}
		}
		if m.countUnexpiredHolders(now) != 1 {
			t.Fatal("no node holds an unexpired lease 40 s after the faults have ended")
		}
	})
}
