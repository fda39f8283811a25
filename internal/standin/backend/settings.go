// Package backend is a stand-in for a backend server behind a node. It serves HTTP, counts the requests that it runs
// and injects faults on demand.
package backend

import (
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Request headers that control the stand-in. Nodes forward them unchanged.
const (
	// HeaderServiceTime sets the service time of the request, such as 5ms.
	HeaderServiceTime = "Standin-Work"
	// HeaderFault sets the Fault for the request.
	HeaderFault = "Standin-Fault"
	// HeaderDepth sets the number of nested calls below the request. Each nested call makes the next one.
	HeaderDepth = "Standin-Depth"
	// HeaderBytes sets the size of the response body in bytes.
	HeaderBytes = "Standin-Bytes"
	// HeaderCaller is a name that the caller gives the request. Counts.Callers counts its runs under that name.
	HeaderCaller = "Standin-Caller"
	// HeaderStatus sets the status of the response.
	HeaderStatus = "Standin-Status"
)

// Settings configures a Server.
type Settings struct {
	// Service and Address are announced to the node.
	Service string
	Address string
	Slots   int
	// ServiceTime is the service time of requests without HeaderServiceTime.
	ServiceTime time.Duration
	// ColdStart is the time after the start during which service times are multiplied by ColdFactor.
	ColdStart  time.Duration
	ColdFactor int
	// Shed rejects requests with 503 and Ml-Not-Run when no slot is free. Otherwise they wait for a slot.
	Shed bool
	// NodeAdmin is the admin address of the server's node. If it is empty, the server does not announce itself.
	NodeAdmin string
	// NodeCallers is the address on which the server's node listens for callers. Nested calls go there.
	NodeCallers string
	// Heartbeat is the time between two announcements.
	Heartbeat time.Duration
	// MisleadingHealth makes the health endpoint return 200 even while the server drains.
	MisleadingHealth bool
}

func (s Settings) withDefaults() Settings {
	if s.Slots == 0 {
		s.Slots = 20
	}
	if s.ColdFactor == 0 {
		s.ColdFactor = 5
	}
	if s.Heartbeat == 0 {
		s.Heartbeat = time.Second
	}
	return s
}

// Fault is an injected fault of one request.
type Fault string

// Faults of a backend server.
const (
	FaultNone Fault = ""
	// FaultShed rejects the request with 503 and Ml-Not-Run, and does not run it.
	FaultShed Fault = "shed"
	// FaultCutLength runs the request and closes the connection one byte before the declared length.
	FaultCutLength Fault = "cut-length"
	// FaultCutChunk runs the request and closes the connection before the last chunk of the response.
	FaultCutChunk Fault = "cut-chunk"
	// FaultUnframed runs the request and sends a response without Content-Length or chunked encoding.
	FaultUnframed Fault = "no-end"
	// FaultCrossed runs the request and sends the request ID and body of a response to another request.
	FaultCrossed Fault = "crossed"
	// FaultSilent runs the request, sends no response and holds the connection open.
	FaultSilent Fault = "silent"
	// FaultSilentUnread neither reads nor runs the request, sends no response and holds the connection open.
	FaultSilentUnread Fault = "silent-unread"
	// FaultClose runs the request and closes the connection without a response.
	FaultClose Fault = "close"
	// FaultLate runs the request and delays the response until ReleaseLate is called.
	FaultLate Fault = "late"
)

// Counts holds the counts of a backend server.
type Counts struct {
	// Runs, Keys and Callers count runs by request ID, by idempotency key and by HeaderCaller.
	Runs    map[string]int `json:"runs"`
	Keys    map[string]int `json:"keys"`
	Callers map[string]int `json:"callers"`
	// Total is the number of runs.
	Total int `json:"total"`
	// Shed is the number of requests that were rejected without a run, or whose caller disconnected while they waited
	// for a slot.
	Shed int `json:"shed"`
	// Cancelled is the number of runs that the caller cancelled.
	Cancelled int `json:"cancelled"`
	// MaxInUse is the maximum number of concurrent runs.
	MaxInUse int `json:"maxInUse"`
}

// MaxRunsPerKey returns the largest number of runs of one idempotency key.
func (c Counts) MaxRunsPerKey() int {
	highest := 0
	for _, n := range c.Keys {
		highest = max(highest, n)
	}
	return highest
}

// counters holds the counts and protects them with a mutex.
type counters struct {
	mu     sync.Mutex
	counts Counts
	inUse  int
}

func (c *counters) runStarted(h http.Header) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Total++
	c.counts.Runs[h.Get("Ml-Request-Id")]++
	if key := h.Get("Idempotency-Key"); key != "" {
		c.counts.Keys[key]++
	}
	if caller := h.Get(HeaderCaller); caller != "" {
		c.counts.Callers[caller]++
	}
	c.inUse++
	c.counts.MaxInUse = max(c.counts.MaxInUse, c.inUse)
}

func (c *counters) runEnded() {
	c.mu.Lock()
	c.inUse--
	c.mu.Unlock()
}

func (c *counters) increment(field *int) {
	c.mu.Lock()
	*field++
	c.mu.Unlock()
}

func (c *counters) copy() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.counts
	out.Runs, out.Keys, out.Callers = maps.Clone(c.counts.Runs), maps.Clone(c.counts.Keys), maps.Clone(c.counts.Callers)
	return out
}

func headerInt(h http.Header, name string, fallback int) int {
	if n, err := strconv.Atoi(h.Get(name)); err == nil && n >= 0 {
		return n
	}
	return fallback
}
