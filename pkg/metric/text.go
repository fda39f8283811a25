package metric

import (
	"bufio"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"
)

// Names of the latency histograms.
const (
	// CallTime is from the arrival of a caller's request to the end of its answer.
	CallTime = "call.time"
	// SlotTime is the time that the own backend server works on a call.
	SlotTime = "backend.time"
	// QueueTime is the time that a call waits for a slot of the own backend server.
	QueueTime = "backend.queue_time"
)

// sampleSize and sampleAlpha are those of the metrics library's own timers: the sample favours the last five minutes.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// Observe adds a duration to the histogram with a fixed name, in microseconds.
func (s *Set) Observe(name string, d time.Duration) {
	h := s.registry.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	}).(metrics.Histogram)
	h.Update(d.Microseconds())
}

// quantiles are those that Text shows.
var quantiles = []struct {
	name string
	q    float64
}{{"p50_us", 0.5}, {"p99_us", 0.99}, {"p999_us", 0.999}}

// Text serves all metrics as lines of a name and a number, in the order of the names.
func (s *Set) Text(w http.ResponseWriter, _ *http.Request) {
	var lines []string
	s.registry.Each(func(name string, v any) {
		switch m := v.(type) {
		case metrics.Counter:
			lines = append(lines, fmt.Sprintf("%s %d", name, m.Count()))
		case metrics.Gauge:
			lines = append(lines, fmt.Sprintf("%s %d", name, m.Value()))
		case metrics.Histogram:
			h := m.Snapshot()
			lines = append(lines, fmt.Sprintf("%s.count %d", name, h.Count()), fmt.Sprintf("%s.max_us %d", name, h.Max()))
			for _, q := range quantiles {
				lines = append(lines, fmt.Sprintf("%s.%s %.0f", name, q.name, h.Percentile(q.q)))
			}
		}
	})
	slices.Sort(lines)
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	out := bufio.NewWriter(w)
	for _, l := range lines {
		fmt.Fprintln(out, l)
	}
	_ = out.Flush() // The reader has gone if this fails.
}
