package soak

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// maxListed is the maximum number of violations that a report lists.
const maxListed = 20

// Report is the result of a run.
type Report struct {
	Seed       uint64
	Length     time.Duration
	VMs        int
	Outcomes   map[string]int
	Events     map[string]int
	Stalls     int
	Violations []Violation
}

// Passed reports whether there was no violation.
func (r *Report) Passed() bool { return len(r.Violations) == 0 }

func (r *run) report() *Report {
	rep := &Report{Seed: r.Seed, Length: r.Length, VMs: r.VMs, Outcomes: r.checker.outcomes, Events: r.checker.events,
		Stalls: r.stallDetector.count()}
	total := 0
	for _, n := range rep.Outcomes {
		total += n
	}
	if served := rep.Outcomes["200"]; float64(served) < minSuccessFraction*float64(total) {
		r.checker.addViolation("served", "only %d of %d requests succeeded", served, total)
	}
	rep.Violations = r.checker.violations()
	return rep
}

// String formats the report as text.
func (r *Report) String() string {
	var b strings.Builder
	verdict := "passed"
	if !r.Passed() {
		verdict = fmt.Sprintf("FAILED: %d violations", len(r.Violations))
	}
	fmt.Fprintf(&b, "seed %d, %v, %d VMs: %s\n", r.Seed, r.Length, r.VMs, verdict)
	writeCounts(&b, "answers", r.Outcomes)
	writeCounts(&b, "events", r.Events)
	fmt.Fprintf(&b, "processor stalls: %d\n", r.Stalls)
	for i, v := range r.Violations {
		if i == maxListed {
			fmt.Fprintf(&b, "and %d more\n", len(r.Violations)-maxListed)
			break
		}
		fmt.Fprintf(&b, "%8v %s: %s\n", v.At, v.Rule, v.Detail)
	}
	return b.String()
}

func writeCounts(b *strings.Builder, title string, counts map[string]int) {
	fmt.Fprintf(b, "%s:", title)
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(b, " %s %d;", name, counts[name])
	}
	b.WriteString("\n")
}
