package lease

import (
	"bufio"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// line is one step of a trace: what the contender learns at a time, and what it must then do. Events: absent and saw
// are results of reads, failed is a read without answer; done, conflict and unknown are results of the write that the
// contender last asked for; none is the passing of time.
type line struct {
	At      float64 `json:"at"` // seconds
	Event   string  `json:"event"`
	Holder  string  `json:"holder"`
	Inc     uint64  `json:"inc"`
	Version string  `json:"version"`
	Want    string  `json:"want"`
	Until   float64 `json:"until"`
	Holding bool    `json:"holding"`
	Why     string  `json:"why"`
}

var actions = map[Action]string{Wait: "wait", Read: "read", Create: "create", Update: "update"}

// Guards against a lease that is taken from a live holder, never taken from a dead one, kept after another node took
// it, or given up in an outage of the platform. The traces under testdata say which step guards against what.
func TestTraces(t *testing.T) {
	files, err := filepath.Glob("testdata/*.jsonl")
	if err != nil || len(files) == 0 {
		t.Fatalf("no traces: %v", err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) { replay(t, file) })
	}
}

func replay(t *testing.T, file string) {
	f, err := os.Open(file)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	c := New(Lease{Holder: "me", Incarnation: 1}, DefaultDuration, DefaultRenew)
	start := time.Unix(0, 0)
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	var step Step
	n := 0
	for scan := bufio.NewScanner(f); scan.Scan(); {
		n++
		var l line
		if err := json.Unmarshal(scan.Bytes(), &l); err != nil {
			t.Fatalf("line %d: %v", n, err)
		}
		l.apply(c, at(l.At), step)
		step = c.Next(at(l.At))
		if actions[step.Action] != l.Want || c.Holding() != l.Holding {
			t.Fatalf("line %d (%s): %s, holding %v; want %s, %v", n, l.Why, actions[step.Action], c.Holding(), l.Want, l.Holding)
		}
		if step.Action == Wait && !step.At.Equal(at(l.Until)) {
			t.Fatalf("line %d (%s): waits until %v, want %v", n, l.Why, step.At.Sub(start), l.Until)
		}
		if step.Action == Update && step.Version == "" {
			t.Fatalf("line %d: update without a version", n)
		}
	}
}

func (l line) apply(c *Contender, now time.Time, step Step) {
	switch l.Event {
	case "absent":
		c.SawAbsent()
	case "saw":
		c.Saw(now, l.Version, Lease{Holder: l.Holder, Incarnation: l.Inc})
	case "failed":
		c.Failed(now)
	case "done":
		c.Wrote(now, now, Done, l.Version, step.Lease)
	case "conflict":
		c.Wrote(now, now, Conflict, "", step.Lease)
	case "unknown":
		c.Wrote(now, now, Unknown, "", step.Lease)
	}
}
