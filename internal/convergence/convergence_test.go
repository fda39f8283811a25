package convergence

import (
	"strings"
	"testing"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/config"
	"github.com/monsoonlatch/monsoonlatch/pkg/release"
)

// Guards against generated notes that are rejected on top of the previous ones, and against notes that differ between
// two series with the same name and seed.
func TestSeriesNotesAreAccepted(t *testing.T) {
	hash := ""
	for range 2 {
		head, err := config.NewHead()
		if err != nil {
			t.Fatal(err)
		}
		s := NewSeries("m1", 7)
		for i := range 50 {
			n := s.Next
			if i == 0 {
				n = func() config.ReleaseNote { return s.First([]string{"lookup-desk"}, 5) }
			}
			if head, err = release.Preview(head, n()); err != nil {
				t.Fatal(err)
			}
		}
		if hash != "" && head.Hash != hash {
			t.Error("two series with the same name and seed lead to different configurations")
		}
		hash = head.Hash
	}
}

// Guards against figures that leave out a node that is slow, does not answer, restarts or goes back to an older
// version.
func TestComputeConvergence(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	quick, slow, down, lost := &pollHistory{address: "q"}, &pollHistory{address: "s"}, &pollHistory{address: "d"}, &pollHistory{address: "l"}
	quick.recordAnswer(at(-5), "quick", 1) // the node serves the note before its submit returns
	quick.recordAnswer(at(50), "quick", 3) // skips version 2
	slow.recordAnswer(at(300), "slow", 1)
	slow.recordAnswer(at(310), "slow", 2)
	slow.recordAnswer(at(320), "slow", 1)
	slow.recordAnswer(at(400), "slow", 3)
	down.recordAnswer(at(10), "down", 1)
	down.failedPolls = append(down.failedPolls, at(20), at(30))
	down.recordAnswer(at(900), "down", 0) // restarted and without a configuration yet
	down.recordAnswer(at(1000), "down", 3)
	notes := []acceptedNote{{1, at(0)}, {2, at(15)}, {3, at(40)}}

	c := computeConvergence(notes, []*pollHistory{quick, slow, down}, at(2000))
	if c.Slowest != "slow" || c.Reverts != 1 || c.Missing != 0 || c.Interrupted != 2 {
		t.Errorf("%+v", c)
	}
	if c.Reached.Notes != 3 || !near(c.Reached.MaxUs, 360_000) || !near(c.All.MaxUs, 985_000) {
		t.Errorf("%+v", c)
	}
	lost.recordAnswer(at(60), "lost", 2)
	if c = computeConvergence(notes, []*pollHistory{quick, lost}, at(9000)); c.Missing != 1 || c.All.Notes != 2 || !near(c.Reached.MaxUs, 8_960_000) || c.Slowest != "lost" {
		t.Errorf("with a node that never serves the last note: %+v", c)
	}
}

func near(got, want int64) bool { return got >= want*995/1000 && got <= want*1005/1000 }

// Guards against usage figures that include a restarted node: its counters start again at zero, so the difference of
// two samples means nothing.
func TestReportLeavesOutRestarted(t *testing.T) {
	r := &run{Options: Options{Nodes: []string{"a", "b", "c"}}, histories: []*pollHistory{{}, {}, {}}}
	start := time.Unix(1000, 0)
	before := sample{at: start, nodes: []usage{{startedUnixMillis: 1, at: start}, {startedUnixMillis: 2, controlBytes: 900, at: start}, {startedUnixMillis: 3, at: start}}}
	end := start.Add(10 * time.Second)
	after := sample{at: end, nodes: []usage{{startedUnixMillis: 1, controlBytes: 70_000, cpuMicros: 100_000, at: end}, {startedUnixMillis: 4, at: end}, {}}}
	p := r.report(before, after, end)
	if p.Restarts != 2 || p.Control.Mean != 7000 || p.Control.MaxNode != "a" || p.Processor.Max != 0.01 {
		t.Errorf("%+v", p)
	}
	if budgetMark(p.Control.Max, BudgetControlBytesPerSecond) != "MISS" || budgetMark(p.Processor.Max, BudgetProcessorShare) != "ok" {
		t.Error("wrong verdict on a figure against its budget")
	}
}

// Guards against options outside of the limits of a run.
func TestCheckBounds(t *testing.T) {
	good := Options{Nodes: []string{"a"}, Rate: 1, PollInterval: 50 * time.Millisecond, MaxWait: time.Second}
	if err := good.Check(); err != nil {
		t.Fatal(err)
	}
	for name, change := range map[string]func(*Options){
		"notes": func(o *Options) { o.Notes = MaxNotes + 1 }, "rate": func(o *Options) { o.Rate = 0 },
		"nodes": func(o *Options) { o.Nodes = nil }, "poll": func(o *Options) { o.PollInterval = 0 },
		"duration": func(o *Options) { o.MinDuration = 2 * MaxDuration }, "routes": func(o *Options) { o.Routes = -1 },
	} {
		o := good
		change(&o)
		if o.Check() == nil {
			t.Error("accepted an out-of-range value of " + name)
		}
	}
}

// Guards against a comparison that does not mark a figure above its budget, or that shows convergence times for a run
// without notes.
func TestComparisonMarksMisses(t *testing.T) {
	var b strings.Builder
	idle, notes := &Report{Resident: PerNode{Mean: 31e6, Max: 33e6}}, &Report{Notes: 1}
	notes.Convergence.All.MaxUs = 7_001_000
	if err := WriteComparison(&b, []string{"idle", "notes"}, []*Report{idle, notes}); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"| figure | budget | idle | notes |\n|---|---|---|---|\n", "| convergence max, all nodes | 7s | - | 7.001s MISS |",
		"node, mean | 32.0 MB | 31.0 MB | 0.0 MB |", "memory, largest node | 32.0 MB | 33.0 MB MISS |"} {
		if !strings.Contains(b.String(), want) {
			t.Errorf("no %q in\n%s", want, b.String())
		}
	}
}
