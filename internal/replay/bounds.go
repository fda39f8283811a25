package replay

import (
	"fmt"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/admission"
)

// Goals of section 1.7 of the design.
const (
	// GoalUrgentInTarget is the part of the urgent rank that stays in target in a flood of less urgent work.
	GoalUrgentInTarget = 0.99
	// GoalGoodput is the part of the capacity that leads to answers before their deadline in any flood.
	GoalGoodput = 0.90
	// GoalKept is the part of what a rank is owed, its share of the capacity or its demand, that it gets in a flood.
	GoalKept = 1.0
)

// Summary holds the worst figures of several results.
type Summary struct {
	Seeds   int
	Goodput float64
	Ranks   [admission.Ranks]RankSummary
}

// RankSummary holds the worst figures of one rank.
type RankSummary struct {
	Offered    int
	InTarget   float64
	Kept       float64
	MaxLatency time.Duration
}

// Add takes a result into the summary.
func (w *Summary) Add(r Result, shares map[int]float64) {
	first := w.Seeds == 0
	w.Seeds++
	if g := r.Goodput(); first || g < w.Goodput {
		w.Goodput = g
	}
	for rank, s := range r.Ranks {
		t := &w.Ranks[rank]
		t.Offered += s.Offered
		t.MaxLatency = max(t.MaxLatency, s.MaxLatency)
		if part := s.InTargetPart(); first || part < t.InTarget {
			t.InTarget = part
		}
		if kept := r.Kept(rank, shares[rank]); first || kept < t.Kept {
			t.Kept = kept
		}
	}
}

// Misses lists the goals that are not reached in a flood of the given rank.
func (w Summary) Misses(flood int) []string {
	var out []string
	if w.Goodput < GoalGoodput {
		out = append(out, fmt.Sprintf("goodput %.3f", w.Goodput))
	}
	for rank, s := range w.Ranks {
		if s.Offered == 0 {
			continue
		}
		if rank == 0 && flood > 0 && s.InTarget < GoalUrgentInTarget {
			out = append(out, fmt.Sprintf("rank 0 in target %.3f", s.InTarget))
		}
		if rank > 0 && s.Kept < GoalKept {
			out = append(out, fmt.Sprintf("rank %d kept %.4f", rank, s.Kept))
		}
	}
	return out
}
