package rollout

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// failOpenAfter is how long a node may serve with a configuration and without knowing whether there are orders. A node that
// has a configuration has it from the store or from another node, which know the orders too; one that still learns of none is
// among nodes that run no roll-outs.
const failOpenAfter = 5 * time.Second

// Table holds the plans that a node knows. Get takes no lock.
type Table struct {
	mu    sync.Mutex
	plans atomic.Pointer[map[string]Plan]
	known atomic.Bool
	// asked is the time at which the table was first asked while it did not know whether there are orders.
	asked atomic.Pointer[time.Time]
	// unused is set if no roll-outs are in force on this platform.
	unused bool
	// past holds for each service the last plans of other orders, latest first. They count when the store has come back from a copy that
	// is older than the present order: it then holds an earlier one, until the operator writes the present one again.
	past map[string][]Plan
}

// maxPast is the number of past plans of each service that are kept.
const maxPast = 2

// NewTable returns an empty table. With enabled false there are no roll-outs, and no plan is taken in.
func NewTable(enabled bool) *Table {
	t := &Table{unused: !enabled, past: make(map[string][]Plan)}
	t.plans.Store(&map[string]Plan{})
	t.known.Store(!enabled)
	return t
}

// Known reports whether the node knows the orders, of which there may be none.
func (t *Table) Known() bool { return t.known.Load() }

// SetKnown records that the store, or a node that knew, has told the orders.
func (t *Table) SetKnown() { t.known.Store(true) }

// mayServe reports whether requests may be taken: the orders are known, or have been unknown for long.
func (t *Table) mayServe(now time.Time) bool {
	if t.Known() {
		return true
	}
	t.asked.CompareAndSwap(nil, &now)
	return now.Sub(*t.asked.Load()) >= failOpenAfter
}

// Get returns the plan of a service, or the zero plan.
func (t *Table) Get(service string) Plan { return (*t.plans.Load())[service] }

// Empty reports whether there are no plans.
func (t *Table) Empty() bool { return len(*t.plans.Load()) == 0 }

// All returns all plans in the order of their services.
func (t *Table) All() []Plan {
	m := *t.plans.Load()
	out := make([]Plan, 0, len(m))
	for _, service := range slices.Sorted(maps.Keys(m)) {
		out = append(out, m[service])
	}
	return out
}

// Merge takes plans in and returns those that have changed the table, as they are now.
func (t *Table) Merge(plans ...Plan) []Plan {
	if t.unused || len(plans) == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	next := maps.Clone(*t.plans.Load())
	var changed []Plan
	for _, in := range plans {
		if in.Service == "" || in.Order == "" || in.Phase > PhaseRolledBack {
			continue
		}
		known, ok := next[in.Service]
		out, differs := in, true
		if ok {
			if known.Order != in.Order && in.at().Compare(known.at()) > 0 {
				in = t.replace(known, in)
			}
			out, differs = merge(known, in)
		}
		next[in.Service] = out // Also if only its revision has changed, which other nodes need not learn.
		if differs {
			changed = append(changed, out)
		}
	}
	t.plans.Store(&next)
	return changed
}

// replace returns the plan of a later order that takes the place of the known one. If the store has come back from a copy since a past
// plan of the same order, that goes on. The caller holds mu.
func (t *Table) replace(known, in Plan) Plan {
	past := append([]Plan{known}, t.past[in.Service]...)
	i := slices.IndexFunc(past, func(p Plan) bool { return p.Spec == in.Spec && p.Spec != "" && p.Era < in.Era })
	if i >= 0 {
		in = in.continuing(past[i])
		past = slices.Delete(past, i, i+1)
	}
	t.past[in.Service] = past[:min(len(past), maxPast)]
	return in
}

// ForgetPast drops the plans of other orders. An order that is given from then on is a new one, also if it equals an earlier one.
func (t *Table) ForgetPast() {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.past)
}

// Withdraw ends the plan of a service whose order was removed. It returns the changed plan, if any.
func (t *Table) Withdraw(service string) []Plan {
	p := t.Get(service)
	if p.Order == "" || p.Phase == PhaseCompleted {
		return nil
	}
	p.Withdrawn = true
	return t.Merge(p)
}

// Sum is a checksum of the plans; it is zero if there are none. Nodes with equal sums have equal plans.
func (t *Table) Sum() uint64 {
	m := *t.plans.Load()
	if len(m) == 0 {
		return 0
	}
	var sum uint64
	for _, p := range m {
		b := append([]byte(p.Service), ' ')
		b = append(append(b, p.Order...), ' ')
		b = append(strconv.AppendUint(b, uint64(p.Phase), 10), ' ')
		b = append(strconv.AppendUint(b, p.Step, 10), ' ')
		b = append(strconv.AppendBool(b, p.Halted), ' ')
		b = append(strconv.AppendBool(b, p.Withdrawn), ' ')
		for _, v := range p.Barred {
			b = append(append(b, v...), ' ')
		}
		sum ^= xxhash.Sum64(b)
	}
	return max(1, sum)
}

// Choose returns the filters for a request to a service, or nil if there is no plan; see Plan.Choose.
func (t *Table) Choose(service string, retry bool) (prefer, fallback Filter) {
	m := *t.plans.Load()
	if len(m) == 0 {
		return nil, nil
	}
	p, ok := m[service]
	if !ok {
		return nil, nil
	}
	return p.Choose(rand.Float64(), rand.Float64(), retry)
}
