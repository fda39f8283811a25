package soak

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Violation is an observation that breaks a rule. At is the time since the start of the run.
type Violation struct {
	At     time.Duration
	Rule   string
	Detail string
}

// requestRecord is the record of one request of a caller.
type requestRecord struct {
	atMostOnce bool
	// tenant is the workspace whose API key the request carries.
	tenant string
	runs   int
	// refused states that the caller was told that the request will not run. It stays false unless atMostOnce is set.
	refused bool
}

// checker records what callers and backend servers observe and detects violations.
type checker struct {
	mu       sync.Mutex
	start    time.Time
	requests map[string]*requestRecord
	found    []Violation
	outcomes map[string]int
	events   map[string]int
	// faults is the disturbance by faults anywhere in the mesh; planned actions do not count.
	faults disturbance
}

// disturbance tells whether disturbances are active and when the last one ended. The checker's mutex guards it.
type disturbance struct {
	active int
	ended  time.Time
}

func newChecker(now time.Time) *checker {
	return &checker{start: now, requests: make(map[string]*requestRecord), outcomes: make(map[string]int),
		events: make(map[string]int), faults: disturbance{ended: now}}
}

func (c *checker) addViolation(rule, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolationLocked(rule, format, args...)
}

func (c *checker) addViolationLocked(rule, format string, args ...any) {
	c.found = append(c.found, Violation{At: time.Since(c.start).Round(time.Millisecond), Rule: rule,
		Detail: fmt.Sprintf(format, args...)})
}

// recordRequest records a request of a workspace before it is sent; atMostOnce states that it must run at most once.
func (c *checker) recordRequest(id string, atMostOnce bool, tenant string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests[id] = &requestRecord{atMostOnce: atMostOnce, tenant: tenant}
}

// recordRun records that a backend server starts to run a request.
func (c *checker) recordRun(id, instance string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.requests[id]
	if a == nil {
		c.addViolationLocked("unasked", "instance %s runs request %s, which no caller sent", instance, id)
		return
	}
	a.runs++
	if a.atMostOnce && a.runs > 1 {
		c.addViolationLocked("twice", "request %s ran %d times, last at instance %s", id, a.runs, instance)
	}
	if a.refused {
		c.addViolationLocked("refused", "instance %s runs request %s after its caller was told that it will not run",
			instance, id)
	}
}

// checkTenant checks that a backend server was told the workspace of a request, and not its key.
func (c *checker) checkTenant(id string, h http.Header) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.requests[id]
	if a == nil {
		return // recordRun reports it.
	}
	if got := h["X-Tenant"]; len(got) != 1 || got[0] != a.tenant {
		c.addViolationLocked("unasked", "request %s of workspace %s runs for %q", id, a.tenant, got)
	}
	if h["Authorization"] != nil {
		c.addViolationLocked("unasked", "request %s arrived with its API key", id)
	}
}

// recordRefusal records that the caller of a request was told "not run". A request that must run at most once must
// neither have run before nor run later.
func (c *checker) recordRefusal(id string, status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.requests[id]
	if a.atMostOnce && a.runs > 0 {
		c.addViolationLocked("refused", "request %s was refused with status %d after it had run", id, status)
	}
	a.refused = a.atMostOnce
}

func (c *checker) runs(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requests[id].runs
}

func (c *checker) countOutcome(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes[name]++
}

// beginFault counts a fault and begins the disturbances affected and that of the whole mesh. The caller calls end when
// the fault ends.
func (c *checker) beginFault(name string, affected ...*disturbance) (end func()) {
	c.countEvent(name)
	return c.beginDisturbance(append(slices.Clone(affected), &c.faults)...)
}

// beginDisturbance begins the disturbances affected. The caller calls end when they end.
func (c *checker) beginDisturbance(affected ...*disturbance) (end func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, d := range affected {
		d.active++
	}
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, d := range affected {
			d.active--
			d.ended = time.Now()
		}
	}
}

// countEvent counts a fault or a planned action for the report.
func (c *checker) countEvent(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.events[name]++
}

// undisturbed reports whether d is not active and ended last more than margin before start.
func (c *checker) undisturbed(d *disturbance, start time.Time, margin time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return d.active == 0 && d.ended.Before(start.Add(-margin))
}

func (c *checker) violations() []Violation {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.found)
}
