package lease

import (
	"bufio"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// traceStep is one step of a trace: an event at a given time and the action the contender must then request. The events
// absent and saw are results of a read; failed is a read without a response; done, conflict and unknown are results of
// the write that the contender last requested; none means that only time has passed.
type traceStep struct {
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

// Guards against a lease that is taken from a live holder, is never taken from a dead holder, is kept after another
// node acquired it, or is given up during a platform outage. Each step of the traces in testdata states its reason.
func TestTraces(t *testing.T) {
	files, err := filepath.Glob("testdata/*.jsonl")
	if err != nil || len(files) == 0 {
		t.Fatalf("no traces in testdata: %v", err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) { replayTrace(t, file) })
	}
}

func replayTrace(t *testing.T, file string) {
	f, err := os.Open(file)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	c := New(Lease{Holder: "me", Incarnation: 1}, DefaultDuration, DefaultRenewInterval)
	start := time.Unix(0, 0)
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	var step Step
	n := 0
	for scan := bufio.NewScanner(f); scan.Scan(); {
		n++
		var l traceStep
		if err := json.Unmarshal(scan.Bytes(), &l); err != nil {
			t.Fatalf("line %d: cannot be decoded: %v", n, err)
		}
		l.apply(c, at(l.At), step)
		step = c.Next(at(l.At))
		if actions[step.Action] != l.Want || c.Holding() != l.Holding {
			t.Fatalf("line %d (%s): got action %s, holding %v; want %s, %v",
				n, l.Why, actions[step.Action], c.Holding(), l.Want, l.Holding)
		}
		if step.Action == Wait && !step.At.Equal(at(l.Until)) {
			t.Fatalf("line %d (%s): waits until %v after the start, want %v s", n, l.Why, step.At.Sub(start), l.Until)
		}
		if step.Action == Update && step.Version == "" {
			t.Fatalf("line %d: update without an object version", n)
		}
	}
}

func (l traceStep) apply(c *Contender, now time.Time, step Step) {
	switch l.Event {
	case "absent":
		c.ObserveAbsent()
	case "saw":
		c.ObserveRead(now, l.Version, Lease{Holder: l.Holder, Incarnation: l.Inc})
	case "failed":
		c.ObserveReadFailure(now)
	case "done":
		c.ObserveWrite(now, now, Done, l.Version, step.Lease)
	case "conflict":
		c.ObserveWrite(now, now, Conflict, "", step.Lease)
	case "unknown":
		c.ObserveWrite(now, now, Unknown, "", step.Lease)
	}
}
