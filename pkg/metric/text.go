package metric

import (
	"bufio"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"
)

// Names of the metrics of the work that the local backend server gets.
const (
	// BackendSent counts the calls sent to the local backend server.
	BackendSent = "backend.sent"
	// BackendLimit is the number of requests per second that the local backend server says it takes; 0 means no limit.
	BackendLimit = "backend.rate_limit"
)

// Prefixes of the counters of the traffic between an ingress and the instances. The name of the relation to the own
// availability zone follows; see balance.Relations.
const (
	ZoneAttempts      = "zone.attempts."
	ZoneRequestBytes  = "zone.request_bytes."
	ZoneResponseBytes = "zone.response_bytes."
)

// Names of the latency histograms.
const (
	// CallTime is the time from the arrival of a caller's request to the end of the response.
	CallTime = "call.time"
	// BackendTime is the time that the local backend server takes for a call.
	BackendTime = "backend.time"
	// QueueTime is the time that a call waits for a slot of the local backend server.
	QueueTime = "backend.queue_time"
	// SentLeaving is the time from the backend server's announcement that it leaves to a call that is sent to it after that.
	SentLeaving = "backend.sent_leaving"
)

// sampleSize and sampleAlpha are the values that the metrics library uses for its timers. They weight the sample
// towards the last five minutes.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// Observe adds a duration in microseconds to the histogram with the given name and registers it on first use. The name
// must not contain data sent by a caller.
func (s *Set) Observe(name string, d time.Duration) {
	h := s.registry.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	}).(metrics.Histogram)
	h.Update(d.Microseconds())
}

// quantiles lists the quantiles that ServeText writes for each histogram.
var quantiles = []struct {
	name string
	q    float64
}{{"p50_us", 0.5}, {"p99_us", 0.99}, {"p999_us", 0.999}}

// ServeText writes all metrics in plain text, one line with name and value each, sorted by name.
func (s *Set) ServeText(w http.ResponseWriter, _ *http.Request) {
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
	_ = out.Flush() // An error means that the client has closed the connection.
}
