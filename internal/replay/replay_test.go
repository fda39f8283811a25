package replay

import (
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/monsoonlatch/monsoonlatch/internal/load"
	"github.com/monsoonlatch/monsoonlatch/pkg/admission"
)

const (
	nairobiProfile = "../../examples/load/nairobi.yaml"
	galwayProfile  = "../../examples/load/galway.yaml"
)

func newScenario(t *testing.T, profile, flood string, factor float64) Scenario {
	t.Helper()
	data, err := os.ReadFile(profile)
	if err != nil {
		t.Fatal(err)
	}
	p, err := load.ParseProfile(data)
	if err != nil {
		t.Fatal(err)
	}
	return Scenario{Profile: p, Instances: 4, Slots: 20, FloodClass: flood, FloodFactor: factor, Seed: 1}
}

func missedGoals(t *testing.T, s Scenario, fifo bool) []string {
	t.Helper()
	r, err := s.Run(fifo)
	if err != nil {
		t.Fatal(err)
	}
	if r.MaxInUse > s.Slots {
		t.Errorf("%d of %d slots in use", r.MaxInUse, s.Slots)
	}
	var summary Summary
	summary.Add(r, Shares(s.Profile))
	return summary.Misses(s.FloodRank())
}

// Guards against floods of the least and the most urgent work in which the ranked queue misses a goal of section 1.7 of
// the design, and against scenarios so weak that FIFO reaches all goals as well.
func TestFloods(t *testing.T) {
	for _, c := range []struct{ deployment, flood string }{
		{nairobiProfile, "archive-listing"}, {nairobiProfile, "lookup"}, {galwayProfile, "stay-history"}, {galwayProfile, "fridge-record"},
	} {
		for _, factor := range []float64{1.5, 3, 10} {
			s := newScenario(t, c.deployment, c.flood, factor)
			if m := missedGoals(t, s, false); len(m) > 0 {
				t.Errorf("%s, %g times %s: missed %v", c.deployment, factor, c.flood, m)
			}
			if len(missedGoals(t, s, true)) == 0 {
				t.Errorf("%s, %g times %s: FIFO reaches the goals too", c.deployment, factor, c.flood)
			}
		}
	}
}

// Guards against headroom or service time estimates that leave slots idle when the least urgent work floods and there
// is hardly any other work.
func TestFloodWithLittleUrgentWork(t *testing.T) {
	for _, rate := range []float64{0.001, 0.5, 5} {
		s := newScenario(t, nairobiProfile, "archive-listing", 3)
		s.Profile.Classes = slices.DeleteFunc(s.Profile.Classes, func(c load.Class) bool { return c.Rank > 0 && c.Rank < 7 })
		s.Profile.Classes[0].Rate = rate
		if m := missedGoals(t, s, false); len(m) > 0 {
			t.Errorf("%g lookups per second and instance: missed %v", rate, m)
		}
	}
}

// Guards against slots that are lent to slow requests and for which urgent requests then have to wait.
func TestFloodOfSlowWork(t *testing.T) {
	for _, instances := range []int{1, 4} {
		s := newScenario(t, "testdata/slow-listings.yaml", "archive-listing", 10)
		s.Instances = instances
		if m := missedGoals(t, s, false); len(m) > 0 {
			t.Errorf("%d instances: missed %v", instances, m)
		}
	}
}

type expectedOutcome struct {
	Instances, Slots int
	FromUs, ToUs     int64
	Shares           map[int]float64
	MinGoodput       float64
	MinInTarget      map[int]float64
	MinKept          map[int]float64
	FifoMisses       []string
}

func (o expectedOutcome) missedBounds(r Result) (out []string) {
	if g := r.Goodput(); g < o.MinGoodput {
		out = append(out, "goodput")
	}
	for rank := range r.Ranks {
		name := "rank " + string(rune('0'+rank))
		if r.Ranks[rank].InTargetFraction() < o.MinInTarget[rank] {
			out = append(out, name+" in target")
		}
		if r.ShareKept(rank, o.Shares[rank]) < o.MinKept[rank] {
			out = append(out, name+" kept")
		}
	}
	return out
}

// Guards against a recorded flood in which the ranked queue misses a lower bound in the .outcome.json file beside its
// trace, or FIFO misses other bounds than that file lists.
func TestRecordedTraces(t *testing.T) {
	files, _ := filepath.Glob("testdata/*.jsonl")
	if len(files) == 0 {
		t.Fatal("no traces")
	}
	for _, file := range files {
		f, err := os.Open(file)
		if err != nil {
			t.Fatal(err)
		}
		defer f.Close()
		records, err := load.ReadTrace(f)
		if err != nil {
			t.Fatal(err)
		}
		text, err := os.ReadFile(strings.TrimSuffix(file, ".jsonl") + ".outcome.json")
		if err != nil {
			t.Fatal(err)
		}
		var o expectedOutcome
		if err := json.Unmarshal(text, &o); err != nil {
			t.Fatal(err)
		}
		settings := Settings{Instances: o.Instances, Slots: o.Slots, From: time.Duration(o.FromUs) * time.Microsecond, To: time.Duration(o.ToUs) * time.Microsecond}
		admissionSettings := admission.Settings{Slots: o.Slots, WarmStart: true, Shares: o.Shares}
		settings.NewDiscipline = func() admission.Discipline { return admission.New(admissionSettings) }
		ranked := Run(slices.Values(records), settings)
		if m := o.missedBounds(ranked); len(m) > 0 {
			t.Errorf("%s: the ranked queue missed %v (goodput %.3f)", file, m, ranked.Goodput())
		}
		settings.NewDiscipline = func() admission.Discipline { return admission.NewFIFO(admissionSettings) }
		if m := o.missedBounds(Run(slices.Values(records), settings)); !slices.Equal(m, o.FifoMisses) {
			t.Errorf("%s: FIFO missed %v, want %v", file, m, o.FifoMisses)
		}
	}
}

// Guards against retry budgets that add more than a tenth to the load of a chain of 14 calls, and against a model that
// does not show the load that retries without a budget add.
func TestRetryBudgetsInChain(t *testing.T) {
	for _, failing := range []int{1, 14} {
		for _, failure := range []float64{0.01, 0.1, 0.5, 1} {
			c := Chain{Depth: 14, Chains: 20_000, FailingLevels: failing, FailureProbability: failure, Seed: 1, MaxCalls: 5_000_000, MarkDenied: true}
			c.ShouldRetry, c.OnSuccess = RetryBudget(c.Depth, 0.1, 3)
			if l := c.Run(); l.AddedLoad() > 0.10 || l.AddedLoadAtWorstLevel() > 0.10 {
				t.Errorf("last %d levels fail with probability %g: added load %.3f, at the worst level %.3f, want at most 0.10", failing, failure, l.AddedLoad(), l.AddedLoadAtWorstLevel())
			}
		}
	}
	c := Chain{Depth: 14, Chains: 100, FailingLevels: 1, FailureProbability: 1, Seed: 1, MaxCalls: 5_000_000}
	c.ShouldRetry, c.OnSuccess = UnbudgetedRetries(1)
	if l := c.Run(); l.AddedLoadAtWorstLevel() < 1000 {
		t.Errorf("one retry at each of 14 levels: added load at the worst level %.1f times the load without failures, want at least 1000 (2^14 calls for one)", l.AddedLoadAtWorstLevel())
	}
}
