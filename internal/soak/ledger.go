package soak

import (
	"fmt"
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

// attempt is the record of one attempt of a caller.
type attempt struct {
	once    bool
	runs    int
	refused bool
}

// ledger records what callers and backend servers observe and detects violations.
type ledger struct {
	mu       sync.Mutex
	start    time.Time
	attempts map[string]*attempt
	broken   []Violation
	outcomes map[string]int
	faults   map[string]int
	// all is the disturbance by faults anywhere in the mesh; planned work does not count.
	all disturbance
}

// disturbance tells whether disturbances are active and when the last one ended. The ledger's mutex guards it.
type disturbance struct {
	active int
	ended  time.Time
}

func newLedger(now time.Time) *ledger {
	return &ledger{start: now, attempts: make(map[string]*attempt), outcomes: make(map[string]int), faults: make(map[string]int),
		all: disturbance{ended: now}}
}

func (l *ledger) violate(rule, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violateLocked(rule, format, args...)
}

func (l *ledger) violateLocked(rule, format string, args ...any) {
	l.broken = append(l.broken, Violation{At: time.Since(l.start).Round(time.Millisecond), Rule: rule, Detail: fmt.Sprintf(format, args...)})
}

// sent records an attempt before it is sent; once states that it must run at most once.
func (l *ledger) sent(id string, once bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts[id] = &attempt{once: once}
}

// ran records that a backend server starts to run an attempt.
func (l *ledger) ran(id, instance string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.attempts[id]
	if a == nil {
		l.violateLocked("unasked", "instance %s runs request %s, which no caller sent", instance, id)
		return
	}
	a.runs++
	if a.once && a.runs > 1 {
		l.violateLocked("twice", "request %s ran %d times, last at instance %s", id, a.runs, instance)
	}
	if a.refused {
		l.violateLocked("refused", "instance %s runs request %s after its caller was told that it will not run", instance, id)
	}
}

// refusal records that the caller of an attempt was told "not run". An attempt that must run at most once must neither
// have run before nor run later.
func (l *ledger) refusal(id string, status int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.attempts[id]
	if a.once && a.runs > 0 {
		l.violateLocked("refused", "request %s was refused with status %d after it had run", id, status)
	}
	a.refused = a.once
}

func (l *ledger) runs(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.attempts[id].runs
}

func (l *ledger) outcome(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes[name]++
}

// fault counts a fault and begins a disturbance of the mesh and of the parts in on. The caller calls end when the fault
// ends.
func (l *ledger) fault(name string, on ...*disturbance) (end func()) {
	l.happened(name)
	return l.disturb(append(slices.Clone(on), &l.all)...)
}

// disturb begins a disturbance of the parts in on. The caller calls end when it ends.
func (l *ledger) disturb(on ...*disturbance) (end func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, d := range on {
		d.active++
	}
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		for _, d := range on {
			d.active--
			d.ended = time.Now()
		}
	}
}

// happened counts an event for the report.
func (l *ledger) happened(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults[name]++
}

// calm reports whether d is not active and the last disturbance ended more than the duration before ahead of start.
func (l *ledger) calm(d *disturbance, start time.Time, before time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return d.active == 0 && d.ended.Before(start.Add(-before))
}

func (l *ledger) violations() []Violation {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.broken)
}
