package convergence

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"
)

// Budgets from the design: the time until a release note is in force at every node, and a node's resource use for the
// control traffic. Reports mark figures above them.
const (
	BudgetConvergence           = 7 * time.Second
	BudgetControlBytesPerSecond = 5_000
	BudgetProcessorShare        = 0.03 // of one core
	BudgetResidentBytes         = 32_000_000
)

// PerNode summarizes one figure over the nodes that ran without a restart during the measurement.
type PerNode struct {
	Mean float64 `json:"mean"`
	P99  float64 `json:"p99"`
	Max  float64 `json:"max"`
	// MaxNode is the node with the highest value.
	MaxNode string `json:"maxNode"`
}

// Report holds the results of a run.
type Report struct {
	Nodes int `json:"nodes"`
	// Notes is the number of accepted notes, Refused that of notes whose submit failed.
	Notes   int `json:"notes"`
	Refused int `json:"refused"`
	// Seconds is the duration of the measurement of resource use.
	Seconds float64 `json:"seconds"`
	PollMs  int64   `json:"pollMs"`
	// Restarts is the number of nodes that restarted during the measurement or did not answer at its start or end.
	Restarts int `json:"restarts"`

	Convergence Convergence `json:"convergence"`
	// Control and Keys are the bytes per second that a node receives and sends for control and for key claims.
	Control PerNode `json:"controlBytesPerSecond"`
	Keys    PerNode `json:"keysBytesPerSecond"`
	// Processor is the used share of one processor core.
	Processor PerNode `json:"processorShare"`
	Resident  PerNode `json:"residentBytes"`
	Heap      PerNode `json:"heapBytes"`
	// Platform is the number of platform calls per second by kind, over all nodes.
	Platform map[string]float64 `json:"platformCallsPerSecond,omitempty"`
}

func (r *run) report(before, after sample, pollsEnded time.Time) *Report {
	seconds := after.at.Sub(before.at).Seconds()
	report := &Report{Nodes: len(r.Nodes), Notes: len(r.notes), Refused: r.refused, Seconds: seconds, PollMs: r.PollInterval.Milliseconds(),
		Convergence: computeConvergence(r.notes, r.histories, pollsEnded)}
	var control, keys, cpu, resident, heap []nodeValue
	for i, b := range before.nodes {
		a := after.nodes[i]
		if a.startedUnixMillis == 0 || a.startedUnixMillis != b.startedUnixMillis {
			report.Restarts++
			continue
		}
		elapsed, name := a.at.Sub(b.at).Seconds(), cmp.Or(r.histories[i].id, r.Nodes[i])
		control = append(control, nodeValue{name, float64(a.controlBytes-b.controlBytes) / elapsed})
		keys = append(keys, nodeValue{name, float64(a.keyClaimBytes-b.keyClaimBytes) / elapsed})
		cpu = append(cpu, nodeValue{name, float64(a.cpuMicros-b.cpuMicros) / 1e6 / elapsed})
		resident = append(resident, nodeValue{name, float64(a.residentBytes)})
		heap = append(heap, nodeValue{name, float64(a.heapBytes)})
	}
	report.Control, report.Keys, report.Processor = perNode(control), perNode(keys), perNode(cpu)
	report.Resident, report.Heap = perNode(resident), perNode(heap)
	if r.PlatformCounts {
		report.Platform = make(map[string]float64)
		for kind, n := range after.platform {
			report.Platform[kind] = float64(n-before.platform[kind]) / seconds
		}
	}
	return report
}

type nodeValue struct {
	node  string
	value float64
}

func perNode(values []nodeValue) PerNode {
	if len(values) == 0 {
		return PerNode{}
	}
	slices.SortFunc(values, func(a, b nodeValue) int { return cmp.Compare(a.value, b.value) })
	sum := 0.0
	for _, v := range values {
		sum += v.value
	}
	last := values[len(values)-1]
	return PerNode{Mean: sum / float64(len(values)), P99: values[(len(values)*99+99)/100-1].value, Max: last.value, MaxNode: last.node}
}

// budgetMark returns the mark that tables show for a figure with a budget.
func budgetMark(value, budget float64) string {
	if value > budget {
		return "MISS"
	}
	return "ok"
}

// WriteTable writes the report as text tables.
func (r *Report) WriteTable(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "%d nodes, %d notes (%d refused), %.0f s, polled every %d ms, %d nodes restarted or unreachable\n",
		r.Nodes, r.Notes, r.Refused, r.Seconds, r.PollMs, r.Restarts)
	c := r.Convergence
	if r.Notes > 0 {
		fmt.Fprintln(w, "CONVERGENCE\tNOTES\tP50\tP99\tMAX\tBUDGET\t")
		writeTimes(w, "nodes that answered every poll", c.Reached)
		writeTimes(w, "all nodes", c.All)
		fmt.Fprintf(w, "slowest node %s; pairs of note and node: %d with a failed poll, %d not in force at the end; answers with an older version: %d\n", c.Slowest, c.Interrupted, c.Missing, c.Reverts)
	}
	fmt.Fprintln(w, "PER NODE\tMEAN\tP99\tMAX\tBUDGET\tMEAN\tMAX\tMAX NODE")
	writeRow(w, "control bytes/s", "%.0f", r.Control, BudgetControlBytesPerSecond)
	writeRow(w, "key claim bytes/s", "%.0f", r.Keys, 0)
	writeRow(w, "processor share", "%.4f", r.Processor, BudgetProcessorShare)
	writeRow(w, "resident bytes", "%.0f", r.Resident, BudgetResidentBytes)
	writeRow(w, "heap bytes", "%.0f", r.Heap, 0)
	if len(r.Platform) > 0 {
		fmt.Fprint(w, "platform calls/s:")
		for _, kind := range slices.Sorted(maps.Keys(r.Platform)) {
			fmt.Fprintf(w, " %s %.2f", kind, r.Platform[kind])
		}
		fmt.Fprintln(w)
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}

func writeTimes(w io.Writer, name string, t Times) {
	rounded := func(us int64) time.Duration { return (time.Duration(us) * time.Microsecond).Round(time.Millisecond) }
	fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\t%s\t%s\n", name, t.Notes, rounded(t.P50Us), rounded(t.P99Us), rounded(t.MaxUs), BudgetConvergence,
		budgetMark(float64(t.MaxUs), float64(BudgetConvergence.Microseconds())))
}

// writeRow writes the row of one figure. A budget of 0 means that the figure has no budget.
func writeRow(w io.Writer, name, format string, v PerNode, budget float64) {
	cells := fmt.Sprintf("%s\t"+format+"\t"+format+"\t"+format, name, v.Mean, v.P99, v.Max)
	if budget == 0 {
		fmt.Fprintf(w, "%s\t\t\t\t%s\n", cells, v.MaxNode)
		return
	}
	fmt.Fprintf(w, "%s\t"+format+"\t%s\t%s\t%s\n", cells, budget, budgetMark(v.Mean, budget), budgetMark(v.Max, budget), v.MaxNode)
}
