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
	format func(float64) string
	value  func(*Report) float64
	// needsNotes is set for figures that exist only in runs that submit release notes.
	needsNotes bool
}

func formatMicros(v float64) string {
	return (time.Duration(v) * time.Microsecond).Round(time.Millisecond).String()
}
func formatInteger(v float64) string   { return fmt.Sprintf("%.0f", v) }
func formatPercent(v float64) string   { return fmt.Sprintf("%.2f%%", v*100) }
func formatMegabytes(v float64) string { return fmt.Sprintf("%.1f MB", v/1e6) }
func formatDecimal(v float64) string   { return fmt.Sprintf("%.2f", v) }

var compareRows = []compareRow{
	{"convergence p50, nodes that answered every poll", inMicros(BudgetConvergence), formatMicros, func(r *Report) float64 { return float64(r.Convergence.Reached.P50Us) }, true},
	{"convergence p99, nodes that answered every poll", inMicros(BudgetConvergence), formatMicros, func(r *Report) float64 { return float64(r.Convergence.Reached.P99Us) }, true},
	{"convergence max, nodes that answered every poll", inMicros(BudgetConvergence), formatMicros, func(r *Report) float64 { return float64(r.Convergence.Reached.MaxUs) }, true},
	{"convergence p50, all nodes", inMicros(BudgetConvergence), formatMicros, func(r *Report) float64 { return float64(r.Convergence.All.P50Us) }, true},
	{"convergence p99, all nodes", inMicros(BudgetConvergence), formatMicros, func(r *Report) float64 { return float64(r.Convergence.All.P99Us) }, true},
	{"convergence max, all nodes", inMicros(BudgetConvergence), formatMicros, func(r *Report) float64 { return float64(r.Convergence.All.MaxUs) }, true},
	{"pairs of note and node without the note in force at the end", 0, formatInteger, func(r *Report) float64 { return float64(r.Convergence.Missing) }, true},
	{"answers with an older version than before", 0, formatInteger, func(r *Report) float64 { return float64(r.Convergence.Reverts) }, true},
	{"control bytes/s per node, mean", BudgetControlBytesPerSecond, formatInteger, func(r *Report) float64 { return r.Control.Mean }, false},
	{"control bytes/s, largest node", BudgetControlBytesPerSecond, formatInteger, func(r *Report) float64 { return r.Control.Max }, false},
	{"processor share of one core per node, mean", BudgetProcessorShare, formatPercent, func(r *Report) float64 { return r.Processor.Mean }, false},
	{"processor share of one core, largest node", BudgetProcessorShare, formatPercent, func(r *Report) float64 { return r.Processor.Max }, false},
	{"resident memory per node, mean", BudgetResidentBytes, formatMegabytes, func(r *Report) float64 { return r.Resident.Mean }, false},
	{"resident memory, largest node", BudgetResidentBytes, formatMegabytes, func(r *Report) float64 { return r.Resident.Max }, false},
	{"heap objects per node, mean", 0, formatMegabytes, func(r *Report) float64 { return r.Heap.Mean }, false},
	{"platform calls/s, all nodes together", 0, formatDecimal, func(r *Report) float64 { return r.Platform["total"] }, false},
	{"platform writes/s, all nodes together", 0, formatDecimal, func(r *Report) float64 {
		return r.Platform["create"] + r.Platform["update"] + r.Platform["delete"]
	}, false},
	{"nodes restarted", 0, formatInteger, func(r *Report) float64 { return float64(r.Restarts) }, false},
	{"notes", 0, formatInteger, func(r *Report) float64 { return float64(r.Notes) }, false},
	{"seconds of measurement", 0, formatInteger, func(r *Report) float64 { return r.Seconds }, false},
}

func inMicros(d time.Duration) float64 { return float64(d.Microseconds()) }

// WriteComparison writes a Markdown table with one column per report. Figures above their budget are marked MISS.
func WriteComparison(out io.Writer, names []string, reports []*Report) error {
	var b strings.Builder
	fmt.Fprintf(&b, "| figure | budget | %s |\n|---|---|%s\n", strings.Join(names, " | "), strings.Repeat("---|", len(names)))
	for _, row := range compareRows {
		budget := ""
		if row.budget > 0 {
			budget = row.format(row.budget)
		}
		fmt.Fprintf(&b, "| %s | %s |", row.name, budget)
		for _, r := range reports {
			fmt.Fprintf(&b, " %s |", row.cell(r))
		}
		b.WriteString("\n")
	}
	_, err := io.WriteString(out, b.String())
	return err
}

func (row compareRow) cell(r *Report) string {
	if row.needsNotes && r.Notes == 0 {
		return "-"
	}
	v := row.value(r)
	if row.budget > 0 && v > row.budget {
		return row.format(v) + " MISS"
	}
	return row.format(v)
}
