package convergence

import (
	"fmt"
	"io"
	"strings"
	"time"
)

// compareRow is one row of the comparison table. A budget of 0 means that the figure has no budget.
type compareRow struct {
	name   string
	budget float64
	show   func(float64) string
	value  func(*Report) float64
	// notes is set for figures that exist only in runs that submit release notes.
	notes bool
}

func showMicros(v float64) string {
	return (time.Duration(v) * time.Microsecond).Round(time.Millisecond).String()
}
func showNumber(v float64) string  { return fmt.Sprintf("%.0f", v) }
func showShare(v float64) string   { return fmt.Sprintf("%.2f%%", v*100) }
func showMega(v float64) string    { return fmt.Sprintf("%.1f MB", v/1e6) }
func showDecimal(v float64) string { return fmt.Sprintf("%.2f", v) }

var compareRows = []compareRow{
	{"convergence p50, nodes that answered every poll", micros(BudgetConvergence), showMicros, func(p *Report) float64 { return float64(p.Convergence.Reached.P50Us) }, true},
	{"convergence p99, nodes that answered every poll", micros(BudgetConvergence), showMicros, func(p *Report) float64 { return float64(p.Convergence.Reached.P99Us) }, true},
	{"convergence max, nodes that answered every poll", micros(BudgetConvergence), showMicros, func(p *Report) float64 { return float64(p.Convergence.Reached.MaxUs) }, true},
	{"convergence p50, all nodes", micros(BudgetConvergence), showMicros, func(p *Report) float64 { return float64(p.Convergence.All.P50Us) }, true},
	{"convergence p99, all nodes", micros(BudgetConvergence), showMicros, func(p *Report) float64 { return float64(p.Convergence.All.P99Us) }, true},
	{"convergence max, all nodes", micros(BudgetConvergence), showMicros, func(p *Report) float64 { return float64(p.Convergence.All.MaxUs) }, true},
	{"pairs of note and node without the note in force at the end", 0, showNumber, func(p *Report) float64 { return float64(p.Convergence.Missing) }, true},
	{"answers with an older version than before", 0, showNumber, func(p *Report) float64 { return float64(p.Convergence.Reverts) }, true},
	{"control bytes/s per node, mean", BudgetControl, showNumber, func(p *Report) float64 { return p.Control.Mean }, false},
	{"control bytes/s, largest node", BudgetControl, showNumber, func(p *Report) float64 { return p.Control.Max }, false},
	{"processor share of one core per node, mean", BudgetProcessor, showShare, func(p *Report) float64 { return p.Processor.Mean }, false},
	{"processor share of one core, largest node", BudgetProcessor, showShare, func(p *Report) float64 { return p.Processor.Max }, false},
	{"resident memory per node, mean", BudgetResident, showMega, func(p *Report) float64 { return p.Resident.Mean }, false},
	{"resident memory, largest node", BudgetResident, showMega, func(p *Report) float64 { return p.Resident.Max }, false},
	{"heap objects per node, mean", 0, showMega, func(p *Report) float64 { return p.Heap.Mean }, false},
	{"platform calls/s, all nodes together", 0, showDecimal, func(p *Report) float64 { return p.Platform["total"] }, false},
	{"platform writes/s, all nodes together", 0, showDecimal, func(p *Report) float64 {
		return p.Platform["create"] + p.Platform["update"] + p.Platform["delete"]
	}, false},
	{"nodes restarted", 0, showNumber, func(p *Report) float64 { return float64(p.Restarts) }, false},
	{"notes", 0, showNumber, func(p *Report) float64 { return float64(p.Notes) }, false},
	{"seconds of measurement", 0, showNumber, func(p *Report) float64 { return p.Seconds }, false},
}

func micros(d time.Duration) float64 { return float64(d.Microseconds()) }

// WriteComparison writes a Markdown table with one column per report. Figures above their budget are marked MISS.
func WriteComparison(out io.Writer, names []string, reports []*Report) error {
	var b strings.Builder
	fmt.Fprintf(&b, "| figure | budget | %s |\n|---|---|%s\n", strings.Join(names, " | "), strings.Repeat("---|", len(names)))
	for _, row := range compareRows {
		budget := ""
		if row.budget > 0 {
			budget = row.show(row.budget)
		}
		fmt.Fprintf(&b, "| %s | %s |", row.name, budget)
		for _, p := range reports {
			fmt.Fprintf(&b, " %s |", row.cell(p))
		}
		b.WriteString("\n")
	}
	_, err := io.WriteString(out, b.String())
	return err
}

func (c compareRow) cell(p *Report) string {
	if c.notes && p.Notes == 0 {
		return "-"
	}
	v := c.value(p)
	if c.budget > 0 && v > c.budget {
		return c.show(v) + " MISS"
	}
	return c.show(v)
}
