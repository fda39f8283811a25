package load

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/strict"
)

// CountDoubledKeys reads from backend stand-ins how often the request with each idempotency key was run. It returns the
// number of keys with the prefix runID whose requests were run more than once in total, on the same stand-in or on
// different ones.
func CountDoubledKeys(ctx context.Context, addresses []string, runID string) (int, error) {
	runs := make(map[string]int)
	for _, address := range addresses {
		keys, err := fetchRunCounts(ctx, address)
		if err != nil {
			return 0, err
		}
		for key, n := range keys {
			if strings.HasPrefix(key, runID+"-") {
				runs[key] += n
			}
		}
	}
	doubled := 0
	for _, n := range runs {
		if n > 1 {
			doubled++
		}
	}
	return doubled, nil
}

// maxCountsBytes limits the response of a backend stand-in.
const maxCountsBytes = 256 << 20

func fetchRunCounts(ctx context.Context, address string) (map[string]int, error) {
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/_standin/counts", nil)
	if err != nil {
		return nil, fmt.Errorf("read run counts of %s: %w", address, err)
	}
	client := http.Client{Transport: strict.NewTransport(&http.Transport{DisableKeepAlives: true})}
	resp, err := client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("read run counts of %s: %w", address, err)
	}
	defer resp.Body.Close()
	var counts struct {
		Keys map[string]int `json:"keys"`
	}
	if err := strict.DecodeJSON(resp, maxCountsBytes, &counts); err != nil {
		return nil, fmt.Errorf("read run counts of %s: %w", address, err)
	}
	return counts.Keys, nil
}
