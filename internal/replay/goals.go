package replay

import (
	"fmt"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/admission"
)

// Goals for a service in which one class floods, from section 1.7 of the design. All are lower bounds.
const (
	// GoalUrgentInTarget is the fraction of the requests of rank 0, the most urgent, that are answered in target while
	// less urgent work floods.
	GoalUrgentInTarget = 0.99
	// GoalGoodput is the fraction of the capacity that is spent on answers within their deadline, whichever class
	// floods.
	GoalGoodput = 0.90
	// GoalShareKept is the fraction that each rank except 0 gets of the slot time that it is entitled to, see
	// Result.ShareKept.
	GoalShareKept = 1.0
)

// Summary holds the worst figures of several results of a scenario, each with its own seed.
type Summary struct {
	Seeds   int
	Goodput float64
	Ranks   [admission.Ranks]RankSummary
}

// RankSummary holds the worst figures of one rank, and the sum of its offered requests.
type RankSummary struct {
	Offered          int
	InTargetFraction float64
	ShareKept        float64
	MaxLatency       time.Duration
}

// Add adds a result to the summary. shares holds the guaranteed share of each rank.
func (summary *Summary) Add(r Result, shares map[int]float64) {
	first := summary.Seeds == 0
	summary.Seeds++
	if g := r.Goodput(); first || g < summary.Goodput {
		summary.Goodput = g
	}
	for rank, s := range r.Ranks {
		worst := &summary.Ranks[rank]
		worst.Offered += s.Offered
		worst.MaxLatency = max(worst.MaxLatency, s.MaxLatency)
		if fraction := s.InTargetFraction(); first || fraction < worst.InTargetFraction {
			worst.InTargetFraction = fraction
		}
		if kept := r.ShareKept(rank, shares[rank]); first || kept < worst.ShareKept {
			worst.ShareKept = kept
		}
	}
}

// Misses lists the goals that were not reached, with the worst figure of each. flood is the rank of the flooding class;
// the goal for rank 0 does not apply if rank 0 itself floods.
func (summary Summary) Misses(flood int) []string {
	var out []string
	if summary.Goodput < GoalGoodput {
		out = append(out, fmt.Sprintf("goodput %.3f", summary.Goodput))
	}
	for rank, s := range summary.Ranks {
		if s.Offered == 0 {
			continue
		}
		if rank == 0 && flood > 0 && s.InTargetFraction < GoalUrgentInTarget {
			out = append(out, fmt.Sprintf("rank 0 in target %.3f", s.InTargetFraction))
		}
		if rank > 0 && s.ShareKept < GoalShareKept {
			out = append(out, fmt.Sprintf("rank %d kept %.4f of its share", rank, s.ShareKept))
		}
	}
	return out
}
