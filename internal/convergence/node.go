package convergence

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/admin"
	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
	"github.com/monsoonlatch/monsoonlatch/pkg/strict"
)

const (
	// readTimeout bounds one request to a node. A poll that takes longer counts as failed.
	readTimeout = 2 * time.Second
	// maxResponseBytes limits the response body that is read from a node or the platform stand-in.
	maxResponseBytes = 1 << 20
)

// newClient returns the HTTP client for polls. It keeps one idle connection per node.
func newClient() *http.Client {
	return &http.Client{Timeout: readTimeout, Transport: strict.NewTransport(&http.Transport{MaxIdleConnsPerHost: 1, MaxConnsPerHost: 2})}
}

func getJSON(ctx context.Context, c *http.Client, url string, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := c.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("GET %s: unexpected status %s", url, resp.Status)
	}
	if err := strict.DecodeJSON(resp, maxResponseBytes, out); err != nil {
		return fmt.Errorf("GET %s: decode response: %w", url, err)
	}
	return nil
}

func readState(ctx context.Context, c *http.Client, address string) (admin.State, error) {
	var s admin.State
	err := getJSON(ctx, c, "http://"+address+"/v1/state", &s)
	return s, err
}

// usage holds the resource metrics of a node process. The byte and processor counters start at zero with the process.
type usage struct {
	startedUnixMillis           int64
	controlBytes, keyClaimBytes int64
	cpuMicros                   int64
	residentBytes               int64
	heapBytes, goroutines       int64
	at                          time.Time
}

// readUsage reads a node's metrics. Counters have a "count" field, gauges a "value" field.
func readUsage(ctx context.Context, c *http.Client, address string) (usage, error) {
	var metrics map[string]struct {
		Count int64 `json:"count"`
		Value int64 `json:"value"`
	}
	if err := getJSON(ctx, c, "http://"+address+"/metrics", &metrics); err != nil {
		return usage{}, err
	}
	wireBytes := func(kind string) (n int64) {
		for _, side := range []string{"client", "server"} {
			n += metrics[kind+"."+side+".bytes_in"].Count + metrics[kind+"."+side+".bytes_out"].Count
		}
		return n
	}
	return usage{
		startedUnixMillis: metrics[metric.ProcessStarted].Value, controlBytes: wireBytes("control"), keyClaimBytes: wireBytes("keys"),
		cpuMicros: metrics[metric.ProcessCPU].Value, residentBytes: metrics[metric.ProcessResident].Value,
		heapBytes: metrics[metric.RuntimeHeap].Value, goroutines: metrics[metric.RuntimeGoroutines].Value, at: time.Now(),
	}, nil
}

// platformCalls maps the kind of a platform call to the number of calls that the platform stand-in has received.
type platformCalls map[string]int64

func readPlatformCalls(ctx context.Context, c *http.Client, base string) (platformCalls, error) {
	var counts platformCalls
	err := getJSON(ctx, c, base+"/_standin/counts", &counts)
	return counts, err
}
