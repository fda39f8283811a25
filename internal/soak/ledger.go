package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Violation is a broken rule.
type Violation struct {
	At     time.Duration
	Rule   string
	Detail string
}

// attempt is what is known of one attempt of a caller.
type attempt struct {
	once    bool
	runs    int
	refused bool
}

// ledger judges what callers and backend servers see.
type ledger struct {
	mu       sync.Mutex
	start    time.Time
	attempts map[string]*attempt
	broken   []Violation
	outcomes map[string]int
	faults   map[string]int
	// all is disturbed by each fault in the mesh that is not planned work.
	all disturbance
}

// disturbance tells since when something has been without faults. The ledger's lock guards it.
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

// sent notes an attempt before it goes out.
func (l *ledger) sent(id string, once bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts[id] = &attempt{once: once}
}

// ran notes that a backend server begins to work on an attempt.
func (l *ledger) ran(id, instance string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.attempts[id]
	if a == nil {
		l.violateLocked("unasked", "%s runs %s, which nobody sent", instance, id)
		return
	}
	a.runs++
	if a.once && a.runs > 1 {
		l.violateLocked("twice", "%s is run %d times, last by %s", id, a.runs, instance)
	}
	if a.refused {
		l.violateLocked("refused", "%s runs %s after its caller was told that it never will run", instance, id)
	}
}

// refusal notes that the caller of an attempt was told "not run".
func (l *ledger) refusal(id string, status int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.attempts[id]
	if a.once && a.runs > 0 {
		l.violateLocked("refused", "%s was answered with %d after it had run", id, status)
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

// fault counts a fault; it begins a disturbance of the mesh and of those given, and returns its end.
func (l *ledger) fault(name string, on ...*disturbance) (end func()) {
	l.happened(name)
	return l.disturb(append(slices.Clone(on), &l.all)...)
}

// disturb begins a disturbance of those given and returns its end.
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

// happened counts an event.
func (l *ledger) happened(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults[name]++
}

// calm reports whether something has been without faults since a time before start.
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
