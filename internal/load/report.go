package load

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Highest value of the latency histograms and their number of significant digits.
const (
	histogramMaxMicros = 120_000_000
	histogramDigits    = 3
)

// Row holds the results of the requests of one rank.
type Row struct {
	Rank    int      `json:"rank"`
	Classes []string `json:"classes"`
	Offered int      `json:"offered"`
	// Ends counts the requests by outcome, Reasons by the reason that the response or the client gave.
	Ends map[Outcome]int `json:"ends"`
	// InTarget and Late count the answered requests with a latency up to the target and above it.
	InTarget int `json:"inTarget"`
	Late     int `json:"late"`
	// InTargetPart is the fraction of the offered requests that were answered in target.
	InTargetPart float64        `json:"inTargetPart"`
	Reasons      map[string]int `json:"reasons,omitempty"`
	// Worth is the sum of the worth of the requests answered in target, WorthOffered that of all offered requests.
	Worth        int `json:"worth"`
	WorthOffered int `json:"worthOffered"`
	// Quantiles of the latency of the answered requests, in microseconds.
	P50Us  int64 `json:"p50Us"`
	P99Us  int64 `json:"p99Us"`
	P999Us int64 `json:"p999Us"`
	MaxUs  int64 `json:"maxUs"`

	histogram *hdrhistogram.Histogram
	classes   map[string]bool
}

// Report holds the results of a run by rank.
type Report struct {
	Name  string `json:"name,omitempty"`
	Seed  uint64 `json:"seed"`
	Ranks []*Row `json:"ranks"`
	// Doubled is the number of idempotency keys whose requests were run more than once, -1 if the counts of the
	// stand-ins were not read.
	Doubled int `json:"doubled"`
}

// NewReport returns an empty report.
func NewReport(name string, seed uint64) *Report { return &Report{Name: name, Seed: seed, Doubled: -1} }

// Add counts one finished request.
func (report *Report) Add(r Record) {
	row := report.row(r.Rank)
	row.classes[r.Class] = true
	row.Offered++
	row.WorthOffered += r.Worth
	row.Ends[r.Outcome]++
	if r.Reason != "" {
		row.Reasons[r.Reason]++
	}
	if r.Outcome != Answered {
		return
	}
	_ = row.histogram.RecordValue(min(r.LatencyUs, histogramMaxMicros))
	if r.LatencyUs > r.TargetUs {
		row.Late++
		return
	}
	row.InTarget++
	row.Worth += r.Worth
}

func (report *Report) row(rank int) *Row {
	for _, row := range report.Ranks {
		if row.Rank == rank {
			return row
		}
	}
	row := &Row{Rank: rank, Ends: map[Outcome]int{}, Reasons: map[string]int{}, classes: map[string]bool{},
		histogram: hdrhistogram.New(1, histogramMaxMicros, histogramDigits)}
	report.Ranks = append(report.Ranks, row)
	sort.Slice(report.Ranks, func(i, j int) bool { return report.Ranks[i].Rank < report.Ranks[j].Rank })
	return row
}

// Finish computes the class names, fractions and quantiles from what was added.
func (report *Report) Finish() {
	for _, row := range report.Ranks {
		row.Classes = row.Classes[:0]
		for c := range row.classes {
			row.Classes = append(row.Classes, c)
		}
		sort.Strings(row.Classes)
		row.InTargetPart = float64(row.InTarget) / float64(max(row.Offered, 1))
		h := row.histogram
		row.P50Us, row.P99Us = h.ValueAtQuantile(50), h.ValueAtQuantile(99)
		row.P999Us, row.MaxUs = h.ValueAtQuantile(99.9), h.Max()
	}
}

// IntegrityErrors returns the number of requests with a truncated (cut) or another request's (crossed) response, plus
// the number of keys that were run more than once (doubled).
func (report *Report) IntegrityErrors() int {
	n := max(report.Doubled, 0)
	for _, row := range report.Ranks {
		n += row.Ends[Cut] + row.Ends[Crossed]
	}
	return n
}

// WriteTable writes the report as a text table.
func (report *Report) WriteTable(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "RANK\tCLASSES\tOFFERED\tIN TARGET\tPART\tLATE\tFAILED\tREFUSED\tUNKNOWN\tUNREACHABLE\tLOST\tCUT\tCROSSED\tDROPPED\tWORTH\tP50\tP99\tP99.9\tMAX")
	for _, r := range report.Ranks {
		e := r.Ends
		fmt.Fprintf(w, "%d\t%s\t%d\t%d\t%.4f\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d/%d\t%s\t%s\t%s\t%s\n", r.Rank,
			strings.Join(r.Classes, ","), r.Offered, r.InTarget, r.InTargetPart, r.Late, e[Failed], e[Refused], e[Unknown],
			e[Unreachable], e[Lost], e[Cut], e[Crossed], e[Dropped], r.Worth, r.WorthOffered,
			microseconds(r.P50Us), microseconds(r.P99Us), microseconds(r.P999Us), microseconds(r.MaxUs))
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return report.writeReasons(out)
}

func (report *Report) writeReasons(out io.Writer) error {
	for _, r := range report.Ranks {
		names := make([]string, 0, len(r.Reasons))
		for name := range r.Reasons {
			names = append(names, name)
		}
		sort.Strings(names)
		for _, name := range names {
			if _, err := fmt.Fprintf(out, "rank %d reason %s: %d\n", r.Rank, name, r.Reasons[name]); err != nil {
				return fmt.Errorf("write report: %w", err)
			}
		}
	}
	if report.Doubled >= 0 {
		if _, err := fmt.Fprintf(out, "keys run more than once: %d\n", report.Doubled); err != nil {
			return fmt.Errorf("write report: %w", err)
		}
	}
	return nil
}
