package rollout

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
)

// Report is what a node tells a decider about the instance beside it. All counts begin when the process learns of the order, so
// that a later report replaces an earlier one, whichever arrives first.
type Report struct {
	Service  string
	Order    OrderID
	Instance membership.InstanceID
	// Run identifies the process; Sequence counts its reports.
	Run, Sequence uint64
	Version       string
	// Handled counts the requests handed to the instance, Used those for which a grant was needed.
	Handled, Used uint64
	Cells         map[Cell]Tally
	// Closed is set if the node hands no new requests to the instance; InFlight counts those that have not ended.
	Closed   bool
	InFlight int
	// Halted is set if the node has been told that the version is bad.
	Halted bool
}

// Reply is a decider's answer to a report.
type Reply struct {
	// Able is false if the node that was asked does not decide, for example because the store does not answer it.
	Able bool
	Plan Plan
	// Decider identifies the deciding process. Granted is the number of requests that it has granted to the reporting process
	// so far.
	Decider, Granted uint64
}

// Local applies the plan at the node beside an instance, and counts what the instance does. It is safe for concurrent use.
// The node beside the instance decides what the instance gets: whatever other nodes send, the exposure stays in its bound, and
// nothing reaches a version that is closed.
type Local struct {
	Table   *Table
	Service string
	// Version returns the version of the instance and the time of day of its start in Unix milliseconds.
	Version func() (version string, startedMillis int64)
	// GrantTime is how long grants hold without an answer of a decider. After it the instance gets no requests that need one.
	GrantTime time.Duration

	run      uint64
	inFlight atomic.Int64
	// heldUntil is the time until which the instance gets no requests unless Release is called; nil means that it is not held.
	heldUntil atomic.Pointer[time.Time]
	// open is the permit of all requests while no order is in force, so that they take no memory.
	open *Permit

	mu       sync.Mutex
	order    OrderID
	sequence uint64
	handled  uint64
	used     uint64
	granted  map[uint64]uint64
	heardAt  time.Time
	heard    bool
	samples  tallies
}

// NewLocal returns a Local of a new process.
func NewLocal(l *Local) *Local {
	l.run, l.open = rand.Uint64(), &Permit{local: l}
	l.reset("")
	return l
}

// reset begins to count for an order. The caller holds mu.
func (l *Local) reset(order OrderID) {
	l.order, l.sequence, l.handled, l.used, l.heard = order, 0, 0, 0, false
	l.granted, l.samples = make(map[uint64]uint64), newTallies()
}

// Permit is the right to hand one request to the instance.
type Permit struct {
	local *Local
	// order is empty if no order was in force when the request came. granted is set if the permit took a grant.
	order   OrderID
	granted bool
	sent    atomic.Bool
}

// Hold keeps requests from the instance until Release is called or the time has come.
func (l *Local) Hold(until time.Time) { l.heldUntil.Store(&until) }

// Release ends Hold.
func (l *Local) Release() { l.heldUntil.Store(nil) }

// Enter asks for the right to hand a request to the instance. Each permit that is not nil must be ended with Leave.
func (l *Local) Enter(now time.Time) *Permit {
	// The request counts as in flight before the plan is read: a report that has seen the plan closed counts it, or the request
	// sees the closed plan.
	l.inFlight.Add(1)
	p := l.permit(now)
	if p == nil {
		l.inFlight.Add(-1)
	}
	return p
}

func (l *Local) permit(now time.Time) *Permit {
	if held := l.heldUntil.Load(); held != nil && now.Before(*held) || !l.Table.mayServe(now) {
		return nil
	}
	plan := l.Table.Get(l.Service)
	if plan.Order == "" {
		return l.open
	}
	admission := plan.Admits(l.Version())
	if admission == AdmitNone {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.follow(plan.Order)
	if admission == AdmitGranted {
		if !l.heard || now.Sub(l.heardAt) > l.GrantTime || l.used >= l.allowance() {
			return nil
		}
		l.used++
	}
	return &Permit{local: l, order: plan.Order, granted: admission == AdmitGranted}
}

// follow begins to count anew if the order is another one. The caller holds mu.
func (l *Local) follow(order OrderID) {
	if l.order != order {
		l.reset(order)
	}
}

// allowance is the sum of what all deciders have granted. The caller holds mu.
func (l *Local) allowance() (sum uint64) {
	for _, n := range l.granted {
		sum += n
	}
	return sum
}

// Sent records that the request is being handed to the instance. It may be called more than once.
func (p *Permit) Sent() {
	if p == nil || p.order == "" || p.sent.Swap(true) {
		return
	}
	p.local.mu.Lock()
	defer p.local.mu.Unlock()
	if p.local.order == p.order {
		p.local.handled++
	}
}

// Ran counts a request that the instance has run.
func (p *Permit) Ran(s Sample) {
	if p == nil || p.order == "" {
		return
	}
	p.local.mu.Lock()
	defer p.local.mu.Unlock()
	if p.local.order == p.order {
		p.local.samples.add(s)
	}
}

// Leave ends the request. A grant that was taken for a request that was never handed to the instance is returned.
func (p *Permit) Leave() {
	if p == nil {
		return
	}
	if p.granted && !p.sent.Load() {
		p.local.mu.Lock()
		if p.local.order == p.order {
			p.local.used--
		}
		p.local.mu.Unlock()
	}
	p.local.inFlight.Add(-1)
}

// Report returns the next report, or false if there is no order in progress for the service.
func (l *Local) Report(instance membership.InstanceID) (Report, bool) {
	plan := l.Table.Get(l.Service)
	if plan.Order == "" || !plan.Active() {
		return Report{}, false
	}
	version, started := l.Version()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.follow(plan.Order)
	l.sequence++
	return Report{Service: l.Service, Order: plan.Order, Instance: instance, Run: l.run, Sequence: l.sequence, Version: version,
		Handled: l.handled, Used: l.used, Cells: l.samples.snapshot(), Closed: plan.Admits(version, started) == AdmitNone,
		InFlight: int(l.inFlight.Load()), Halted: plan.Halted}, true
}

// Apply takes in the grants of a reply to a report that was sent at the given time, and returns the plans that have changed.
// Grants hold from the time of the report, since the reply may have been on its way for long.
func (l *Local) Apply(sentAt time.Time, r Reply) []Plan {
	changed := l.Table.Merge(r.Plan)
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.Able && r.Plan.Order == l.order {
		l.granted[r.Decider] = max(l.granted[r.Decider], r.Granted)
		if !l.heard || sentAt.After(l.heardAt) {
			l.heard, l.heardAt = true, sentAt
		}
	}
	return changed
}
