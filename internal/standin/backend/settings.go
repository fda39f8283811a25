// Package backend is a stand-in for a backend server behind a node. It speaks HTTP, counts what it runs and can
// misbehave on demand.
package backend

import (
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Headers by which a request steers the stand-in. They pass through the nodes unchanged.
const (
	// HeaderWork is the service time of the request, such as 5ms.
	HeaderWork = "Standin-Work"
	// HeaderFault names the fault that the request meets.
	HeaderFault = "Standin-Fault"
	// HeaderDepth is the number of nested calls below the request.
	HeaderDepth = "Standin-Depth"
	// HeaderBytes is the size of the answer's body.
	HeaderBytes = "Standin-Bytes"
	// HeaderCaller is the caller's own name for the request, under which its runs are counted.
	HeaderCaller = "Standin-Caller"
	// HeaderStatus is the status of the answer.
	HeaderStatus = "Standin-Status"
)

// Settings of a backend server.
type Settings struct {
	// Service and Address are announced to the node.
	Service string
	Address string
	Slots   int
	// ServiceTime is how long one run takes when the request does not say.
	ServiceTime time.Duration
	// ColdStart is how long runs take ColdFactor times as long after the start.
	ColdStart  time.Duration
	ColdFactor int
	// Shed answers 503 with Ml-Not-Run when no slot is free, instead of waiting for one.
	Shed bool
	// NodeAdmin is the admin address of the own node; empty means that nothing is announced.
	NodeAdmin string
	// NodeCallers is the callers address of the own node, for nested calls.
	NodeCallers string
	Heartbeat   time.Duration
	// MisleadingHealth makes the health endpoint answer 200 in every state.
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

// Fault is a way to misbehave.
type Fault string

// Faults of a backend server.
const (
	FaultNone Fault = ""
	// FaultShed refuses with a true "not run".
	FaultShed Fault = "shed"
	// FaultCutLength runs the request and closes the connection before the declared length is sent.
	FaultCutLength Fault = "cut-length"
	// FaultCutChunk runs the request and closes the connection before the last chunk.
	FaultCutChunk Fault = "cut-chunk"
	// FaultNoEnd answers without a length or chunks.
	FaultNoEnd Fault = "no-end"
	// FaultCrossed runs the request and answers with the id and body of another one.
	FaultCrossed Fault = "crossed"
	// FaultSilent runs the request, answers nothing and keeps the connection open.
	FaultSilent Fault = "silent"
	// FaultSilentUnread answers nothing and does not run the request.
	FaultSilentUnread Fault = "silent-unread"
	// FaultClose runs the request and closes the connection without an answer.
	FaultClose Fault = "close"
	// FaultLate runs the request and answers only when the stand-in is told to by ReleaseLate.
	FaultLate Fault = "late"
)

// Counts is what the backend server has seen.
type Counts struct {
	// Runs, Keys and Callers count runs by request id, by idempotency key and by HeaderCaller.
	Runs      map[string]int `json:"runs"`
	Keys      map[string]int `json:"keys"`
	Callers   map[string]int `json:"callers"`
	Total     int            `json:"total"`
	Shed      int            `json:"shed"`
	Cancelled int            `json:"cancelled"`
	MaxInUse  int            `json:"maxInUse"`
}

// MaxPerKey returns the largest number of runs of one idempotency key.
func (c Counts) MaxPerKey() int {
	most := 0
	for _, n := range c.Keys {
		most = max(most, n)
	}
	return most
}

// tally guards the counts.
type tally struct {
	mu    sync.Mutex
	c     Counts
	inUse int
}

func (t *tally) start(h http.Header) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.c.Total++
	t.c.Runs[h.Get("Ml-Request-Id")]++
	if key := h.Get("Idempotency-Key"); key != "" {
		t.c.Keys[key]++
	}
	if caller := h.Get(HeaderCaller); caller != "" {
		t.c.Callers[caller]++
	}
	t.inUse++
	t.c.MaxInUse = max(t.c.MaxInUse, t.inUse)
}

func (t *tally) end() {
	t.mu.Lock()
	t.inUse--
	t.mu.Unlock()
}

func (t *tally) add(field *int) {
	t.mu.Lock()
	*field++
	t.mu.Unlock()
}

func (t *tally) copy() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := t.c
	out.Runs, out.Keys, out.Callers = maps.Clone(t.c.Runs), maps.Clone(t.c.Keys), maps.Clone(t.c.Callers)
	return out
}

func headerInt(h http.Header, name string, def int) int {
	if n, err := strconv.Atoi(h.Get(name)); err == nil && n >= 0 {
		return n
	}
	return def
}
