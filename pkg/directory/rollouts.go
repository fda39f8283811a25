package directory

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/monsoonlatch/monsoonlatch/pkg/clock"
	"github.com/monsoonlatch/monsoonlatch/pkg/era"
	"github.com/monsoonlatch/monsoonlatch/pkg/event"
	"github.com/monsoonlatch/monsoonlatch/pkg/fault"
	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
	"github.com/monsoonlatch/monsoonlatch/pkg/platform"
	"github.com/monsoonlatch/monsoonlatch/pkg/rollout"
)

// methodReport is the RPC method by which a node reports about the versions of its service.
const methodReport = "Directory.Report"

const (
	// rolloutWatchWait is how long a watch of the orders lasts without changes. Each call is priced, and all watchers watch, so
	// that a watch that hangs delays an order only if it hangs at all of them. Nodes beside instances of a new version read the
	// order themselves, and a report about an order that a watcher does not know makes it read the order.
	rolloutWatchWait = 10 * time.Second
	// rolloutWatchDelay is the time after a node's start in which it does not watch the orders, which it has listed. While nodes start,
	// most of them take themselves for watchers for a moment, and each watch is priced.
	rolloutWatchDelay = 3 * time.Second
	// decidePeriod is the interval between two looks at the orders in progress.
	decidePeriod = 250 * time.Millisecond
	// standbyPeriod replaces decidePeriod at a node that is no watcher. It gets reports only if another one takes it for one.
	standbyPeriod = time.Second
	// maxReportPeriod is the interval between reports, unless a bad version must be out of use sooner; see reportsPerRollback.
	maxReportPeriod = 500 * time.Millisecond
	// reportsPerRollback is the number of reports within the time in which a bad version must be out of use: one brings the
	// answers that show it, the reply to the next one the judgement, and some may be lost.
	reportsPerRollback = 8
	// grantsPerRollback is the part of that time for which grants hold without a decider.
	grantsPerRollback = 3
	// maxGrantTime limits that time.
	maxGrantTime = 1500 * time.Millisecond
	// reportTimeout is the time for the reply to a report.
	reportTimeout = 400 * time.Millisecond
	// deciderPause is how long a watcher that has not taken a report is passed over, if another one does.
	deciderPause = 1500 * time.Millisecond
	// writeAgainTime is the time within which operators write an order again that a restored store has lost. After it the order counts as
	// removed, and one that equals it as a new one.
	writeAgainTime = time.Minute
	// readTimeout limits one read of an order. An instance of a new version is held for this time at most, since it is one that
	// nobody has ordered if the store does not answer.
	readTimeout = time.Second
	// readPause is the least time between two reads of the order of one service that reports ask for.
	readPause = time.Second
	// readQueueSize is the capacity of the queue of orders to read. When it is full a read is dropped; an instance is then held
	// for readTimeout, and the next report asks again.
	readQueueSize = 4
	// planQueueSize is the capacity of the queue of plans to forward. When it is full, a plan is dropped, and the nodes fetch it
	// with their next pull.
	planQueueSize = 16
	// statusQueueSize is the capacity of the queue of writes. Orders have one write each at a time; one that finds the queue full
	// counts as not answered, and is made again.
	statusQueueSize = 8
)

// Names of the counters of roll-outs.
const (
	countReports          = "rollout.reports"
	countReportsLost      = "rollout.reports_lost"
	countReportsTaken     = "rollout.reports_taken"
	countWrites           = "rollout.writes"
	countWritesConflict   = "rollout.writes_conflict"
	countWritesUnanswered = "rollout.writes_unanswered"
	gaugeOrders           = "rollout.orders"
)

// StatusStore reads orders and writes their status.
type StatusStore interface {
	// Get is that of Store.
	Get(ctx context.Context, kind platform.ObjectKind, name string) (platform.Object, error)
	// PutStatus replaces the status of an object if its last change is still at the given position, and returns the object. The error
	// is of kind Conflict if the object has changed or the store is in another era by now, NotFound if there is no such object.
	PutStatus(ctx context.Context, kind platform.ObjectKind, name string, at era.Position, status []byte) (platform.Object, error)
}

// RolloutSchema describes how orders to roll out a version are represented in the store.
type RolloutSchema interface {
	RolloutKind() platform.ObjectKind
	// Rollout decodes an object. One that holds no valid order has its Err set.
	Rollout(obj platform.Object) rollout.Object
	RolloutStatus(s rollout.Status) ([]byte, error)
}

// Rollouts connects the decisions of package rollout with the store and with the other nodes.
type Rollouts struct {
	Table    *rollout.Table
	Local    *rollout.Local
	Settings rollout.Settings
	Peers    *Peers
	Store    StatusStore
	Schema   RolloutSchema
	Clock    clock.Clock
	Log      zerolog.Logger
	Metrics  *metric.Set

	mu      sync.Mutex
	decider *rollout.Decider

	writes chan rollout.Write
	plans  chan planBatch
	// wakeDecider and wakeReporter are signalled when there may be an order in progress.
	wakeDecider, wakeReporter chan struct{}
	passedOver                map[string]time.Time
	// reads are the services whose orders are to be read, readAt the times of the last reads that reports have asked for.
	reads  chan string
	readAt map[string]time.Time
	// checkedStart is the start of the backend server for which the order has been read.
	checkedStart string
}

// planBatch is a number of changed plans. first is set if this node has them from the store or has made them, so that the other
// distributors may not have them.
type planBatch struct {
	plans []rollout.Plan
	first bool
}

// NewRollouts initialises r and attaches it to its Peers.
func NewRollouts(r *Rollouts) *Rollouts {
	r.decider = rollout.NewDecider(r.Settings, rand.Uint64())
	r.writes, r.plans = make(chan rollout.Write, statusQueueSize), make(chan planBatch, planQueueSize)
	r.wakeDecider, r.wakeReporter = make(chan struct{}, 1), make(chan struct{}, 1)
	r.passedOver, r.readAt = make(map[string]time.Time), make(map[string]time.Time)
	r.reads = make(chan string, readQueueSize)
	r.Peers.attach(r)
	return r
}

// GrantTime returns how long grants hold without a decider.
func GrantTime(rollbackTime time.Duration) time.Duration {
	return min(maxGrantTime, rollbackTime/grantsPerRollback)
}

func (r *Rollouts) reportPeriod() time.Duration {
	return min(maxReportPeriod, r.Settings.RollbackTime/reportsPerRollback)
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// ObserveChanges takes in objects of the store; it is the handler of Follower.OnRollouts.
func (r *Rollouts) ObserveChanges(changes []Change, at era.Position, complete bool) {
	var plans []rollout.Plan
	present := make(map[string]bool)
	for _, c := range changes {
		obj := r.Schema.Rollout(c.Object)
		obj.Removed = obj.Removed || c.Removed
		present[obj.Name] = true
		plans = append(plans, r.observeObject(obj)...)
	}
	if complete {
		for _, p := range r.Table.All() {
			// An order that came after the listing may have been learnt from another node. One of an earlier era may have been lost
			// with what the store had written since its copy, and will be written again.
			if !present[p.Service] && p.Era == at.Era && p.Revision <= at.Revision {
				plans = append(plans, r.observeObject(rollout.Object{Name: p.Service, Removed: true})...)
			}
		}
		r.Table.SetKnown()
	}
	r.spread(plans, true)
}

// observeObject takes in one object and returns the plans that have changed.
func (r *Rollouts) observeObject(obj rollout.Object) []rollout.Plan {
	r.mu.Lock()
	r.decider.ObserveObject(r.Clock.Now(), obj)
	r.mu.Unlock()
	if obj.Err != nil && !obj.Removed {
		event.RolloutRefused.Write(event.RolloutRefused.Log(&r.Log).Err(obj.Err))
	}
	if obj.Err != nil || obj.Removed {
		changed := r.Table.Withdraw(obj.Name)
		for _, p := range changed {
			event.RolloutWithdrawn.Write(event.RolloutWithdrawn.Log(&r.Log).Str("service", p.Service).Str("version", p.Target))
		}
		return changed
	}
	if r.Table.Get(obj.Name).Order != obj.ID() {
		event.RolloutOrdered.Write(event.RolloutOrdered.Log(&r.Log).Str("service", obj.Name).Str("version", obj.Order.Target).
			Dur("duration", obj.Order.Duration).Uint64("era", uint64(obj.At.Era)).Uint64("revision", obj.At.Revision))
	}
	changed := r.merge(rollout.PlanOf(&obj))
	r.mu.Lock()
	r.decider.ObservePlan(r.Table.Get(obj.Name)) // It may know an end that the store has lost.
	owes := r.decider.Owes()
	r.mu.Unlock()
	if owes {
		signal(r.wakeDecider)
	}
	return changed
}

// merge takes plans in and returns those that have changed.
func (r *Rollouts) merge(plans ...rollout.Plan) []rollout.Plan {
	changed := r.Table.Merge(plans...)
	r.note(changed)
	return changed
}

// note tells the decider of changed plans and logs them.
func (r *Rollouts) note(changed []rollout.Plan) {
	if len(changed) == 0 {
		return
	}
	r.mu.Lock()
	for _, p := range changed {
		r.decider.ObservePlan(p)
	}
	r.mu.Unlock()
	active := int64(0)
	for _, p := range r.Table.All() {
		if p.Active() {
			active++
		}
	}
	r.Metrics.Gauge(gaugeOrders).Update(active)
	for _, p := range changed {
		event.RolloutPlan.Write(event.RolloutPlan.Log(&r.Log).Str("service", p.Service).Str("version", p.Target).Stringer("phase", p.Phase).
			Uint64("step", p.Step).Float64("share", p.Share).Bool("halted", p.Halted).Bool("withdrawn", p.Withdrawn).Int("on_trial", len(p.Trial)))
	}
	signal(r.wakeDecider)
	signal(r.wakeReporter)
}

// spread queues changed plans for the nodes that this one serves, and for the other distributors if first is set.
func (r *Rollouts) spread(plans []rollout.Plan, first bool) {
	if len(plans) == 0 {
		return
	}
	select {
	case r.plans <- planBatch{plans, first}:
	default:
	}
}

// receive takes in plans from another node.
func (r *Rollouts) receive(plans []rollout.Plan) {
	if len(plans) > 0 {
		r.spread(r.merge(plans...), false)
	}
}

// RunForward forwards queued plans until ctx ends.
func (r *Rollouts) RunForward(ctx context.Context) {
	for {
		select {
		case b := <-r.plans:
			r.forward(ctx, b)
		case <-ctx.Done():
			return
		}
	}
}

func (r *Rollouts) forward(ctx context.Context, b planBatch) {
	t := r.Peers.State.topology()
	targets := t.downstream(r.Peers.Self)
	if b.first && t.isWatcher(r.Peers.Self) {
		for _, in := range t.distributors {
			if in.ID != r.Peers.Self && !slices.ContainsFunc(targets, func(known membership.Instance) bool { return known.ID == in.ID }) {
				targets = append(targets, in)
			}
		}
	}
	if len(targets) > 0 {
		r.Peers.sendOffer(ctx, targets, OfferArgs{Plans: b.plans, Version: r.Peers.State.Version(), From: r.Peers.Control})
	}
}

// storeAnswers reports whether the store has lately answered this node.
func (r *Rollouts) storeAnswers() bool { return r.Peers.StoreSilence() <= maxStoreSilence }

// leads reports whether this node takes up orders: it is the first watcher, and the store answers it.
func (r *Rollouts) leads() bool {
	watchers := r.Peers.State.topology().watchers()
	return len(watchers) > 0 && watchers[0].ID == r.Peers.Self && r.storeAnswers()
}

// RunDecider decides on the orders in progress until ctx ends. While there are none, it waits for one.
func (r *Rollouts) RunDecider(ctx context.Context) {
	for ctx.Err() == nil {
		if !r.busy() {
			select {
			case <-r.wakeDecider:
			case <-ctx.Done():
			}
			continue
		}
		r.decide()
		if r.Peers.State.topology().isWatcher(r.Peers.Self) {
			clock.Sleep(ctx, decidePeriod)
		} else {
			clock.Sleep(ctx, standbyPeriod)
		}
	}
}

// busy reports whether there is an order to decide on, or progress of one that the store has lost.
func (r *Rollouts) busy() bool {
	if slices.ContainsFunc(r.Table.All(), func(p rollout.Plan) bool { return p.Active() }) {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.decider.Owes()
}

func (r *Rollouts) decide() {
	now := r.Clock.Now()
	leads := r.leads()
	r.mu.Lock()
	writes := r.decider.Tick(now, r.Peers.State.Instances, leads)
	plans := r.decider.Plans()
	r.mu.Unlock()
	for _, w := range writes {
		select {
		case r.writes <- w:
		default:
			r.wrote(w, rollout.WriteUnknown, nil)
		}
	}
	r.publish(plans)
}

// publish puts this node's plans into effect and spreads them.
func (r *Rollouts) publish(plans []rollout.Plan) {
	var changed []rollout.Plan
	for _, p := range plans {
		halted := r.Table.Get(p.Service).Halted
		c := r.merge(p)
		if len(c) > 0 && c[0].Halted && !halted {
			r.mu.Lock()
			reason := r.decider.Describe(p.Service)
			r.mu.Unlock()
			event.RolloutBad.Write(event.RolloutBad.Log(&r.Log).Str("service", p.Service).Str("version", p.Target).Str("reason", reason))
		}
		changed = append(changed, c...)
	}
	r.spread(changed, true)
}

// RunWrites writes statuses until ctx ends.
func (r *Rollouts) RunWrites(ctx context.Context) {
	for {
		select {
		case w := <-r.writes:
			r.write(ctx, w)
		case <-ctx.Done():
			return
		}
	}
}

func (r *Rollouts) write(ctx context.Context, w rollout.Write) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	r.Metrics.Counter(countWrites).Inc(1)
	status, err := r.Schema.RolloutStatus(w.Status)
	var stored platform.Object
	if err == nil {
		stored, err = r.Store.PutStatus(ctx, r.Schema.RolloutKind(), w.Service, w.At, status)
	}
	switch {
	case err == nil:
		event.RolloutWritten.Write(event.RolloutWritten.Log(&r.Log).Str("service", w.Service).Str("version", w.Status.Target).
			Stringer("phase", w.Status.Phase).Uint64("granted", w.Status.Granted).Uint64("requests", w.Status.Requests).Str("reason", w.Status.Reason))
		obj := r.Schema.Rollout(stored)
		r.wrote(w, rollout.WriteDone, &obj)
		return
	case fault.Is(err, fault.Conflict), fault.Is(err, fault.NotFound):
		r.Metrics.Counter(countWritesConflict).Inc(1)
		r.wrote(w, rollout.WriteConflict, nil)
		r.requestRead(w.Service) // The watch may hang, or be late.
	default:
		r.Metrics.Counter(countWritesUnanswered).Inc(1)
		r.wrote(w, rollout.WriteUnknown, nil)
	}
	event.RolloutNotWritten.Write(event.RolloutNotWritten.Log(&r.Log).Err(err).Str("service", w.Service).Stringer("phase", w.Status.Phase).Uint64("era", uint64(w.At.Era)).Uint64("revision", w.At.Revision))
}

// wrote passes the result of a write to the decider.
func (r *Rollouts) wrote(w rollout.Write, result rollout.WriteResult, obj *rollout.Object) {
	r.mu.Lock()
	r.decider.ObserveWrite(r.Clock.Now(), w, result, obj)
	plans := r.decider.Plans()
	r.mu.Unlock()
	r.publish(plans)
}

// handleReport serves the report of a node.
func (r *Rollouts) handleReport(args *rollout.Report, reply *rollout.Reply) error {
	r.Metrics.Counter(countReportsTaken).Inc(1)
	r.mu.Lock()
	now := r.Clock.Now()
	*reply = r.decider.ObserveReport(now, *args, r.storeAnswers())
	unknown := !r.decider.Knows(args.Service, args.Order) && now.Sub(r.readAt[args.Service]) >= readPause
	if unknown {
		r.readAt[args.Service] = now
	}
	r.mu.Unlock()
	if unknown {
		r.requestRead(args.Service)
	}
	signal(r.wakeDecider)
	return nil
}

// ObserveOwn takes in the record of the instance beside this node when it changes. If the instance becomes ready with a version that
// others of its service do not have, and this node knows of no order, it reads the order from the store before the instance gets
// requests: the order may have been written a moment ago. It does not block.
func (r *Rollouts) ObserveOwn(in membership.Instance) {
	if in.State != membership.StateReady || in.Version == "" || r.Table.Get(in.Service).Order != "" {
		return
	}
	differs := slices.ContainsFunc(r.Peers.State.Instances(in.Service), func(other membership.Instance) bool {
		return other.ID != in.ID && other.State == membership.StateReady && other.Version != "" && other.Version != in.Version
	})
	r.mu.Lock()
	start := in.BackendID + " " + in.Version
	needed := differs && start != r.checkedStart
	if needed {
		r.checkedStart = start
	}
	r.mu.Unlock()
	if needed {
		r.Local.Hold(r.Clock.Now().Add(readTimeout))
		r.requestRead(in.Service)
	}
}

// RunForget ends, some time after each restore of the store, what is kept for orders that the store has lost, until ctx ends.
func (r *Rollouts) RunForget(ctx context.Context) {
	r.Peers.Eras.EachRestore(ctx, func(ctx context.Context, now era.Number) {
		select {
		case <-time.After(writeAgainTime):
			r.forget(ctx, now)
		case <-r.Peers.Eras.Ended(now):
		case <-ctx.Done():
		}
	})
}

// forget withdraws the orders that nobody has written again in an era. The watchers know that, as they have listed the orders.
func (r *Rollouts) forget(ctx context.Context, latest era.Number) {
	r.Table.ForgetPast()
	r.mu.Lock()
	r.decider.ForgetLost()
	r.mu.Unlock()
	if !r.Peers.State.topology().isWatcher(r.Peers.Self) {
		return
	}
	for _, p := range r.Table.All() {
		if p.Active() && p.Era < latest {
			r.readLost(ctx, p.Service)
		}
	}
}

// readLost reads an order that the store may have lost, and withdraws it if it has.
func (r *Rollouts) readLost(ctx context.Context, service string) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	stored, err := r.Store.Get(ctx, r.Schema.RolloutKind(), service)
	switch {
	case err == nil:
		r.spread(r.observeObject(r.Schema.Rollout(stored)), true)
	case fault.Is(err, fault.NotFound):
		r.spread(r.observeObject(rollout.Object{Name: service, Removed: true}), true)
	}
}

func (r *Rollouts) requestRead(service string) {
	select {
	case r.reads <- service:
	default:
	}
}

// RunReads reads orders that other nodes or the instance beside this one have shown to be needed, until ctx ends.
func (r *Rollouts) RunReads(ctx context.Context) {
	for {
		select {
		case service := <-r.reads:
			r.read(ctx, service)
			if service == r.Local.Service {
				r.Local.Release()
			}
		case <-ctx.Done():
			return
		}
	}
}

// read reads the order of a service. An error is not retried: the watchers deliver the order, and reports ask again.
func (r *Rollouts) read(ctx context.Context, service string) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	stored, err := r.Store.Get(ctx, r.Schema.RolloutKind(), service)
	if err != nil {
		return
	}
	r.spread(r.observeObject(r.Schema.Rollout(stored)), true)
}

// RunReporter reports about the instance beside this node while there is an order for its service, until ctx ends.
func (r *Rollouts) RunReporter(ctx context.Context) {
	for ctx.Err() == nil {
		report, ok := r.Local.Report(r.Peers.Self)
		if !ok {
			select {
			case <-r.wakeReporter:
			case <-ctx.Done():
			}
			continue
		}
		start := r.Clock.Now()
		r.report(ctx, report)
		clock.Sleep(ctx, r.reportPeriod()-min(r.reportPeriod(), r.Clock.Now().Sub(start)))
	}
}

// report sends a report to the first watcher that takes it as the one that decides.
func (r *Rollouts) report(ctx context.Context, report rollout.Report) {
	watchers := slices.Clone(r.Peers.State.topology().watchers())
	now := r.Clock.Now()
	passedOver := func(in membership.Instance) int {
		if now.Sub(r.passedOver[in.ControlAddress]) < deciderPause {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(watchers, func(a, b membership.Instance) int { return passedOver(a) - passedOver(b) })
	for _, w := range watchers {
		start := r.Clock.Now()
		reply, err := r.sendReport(ctx, w, report)
		if err == nil {
			changed := r.Local.Apply(start, reply)
			r.note(changed)
			r.spread(changed, false)
		}
		if err == nil && reply.Able {
			r.Metrics.Counter(countReports).Inc(1)
			delete(r.passedOver, w.ControlAddress)
			return
		}
		if passedOver(w) == 0 {
			r.passedOver[w.ControlAddress] = now
		}
	}
	r.Metrics.Counter(countReportsLost).Inc(1)
	event.RolloutReportLost.Write(event.RolloutReportLost.Log(&r.Log).Str("service", report.Service).Int("asked", len(watchers)))
}

func (r *Rollouts) sendReport(ctx context.Context, to membership.Instance, report rollout.Report) (reply rollout.Reply, err error) {
	if to.ID == r.Peers.Self {
		return reply, r.handleReport(&report, &reply)
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	err = r.Peers.Caller.Call(ctx, to.ControlAddress, methodReport, report, &reply)
	return reply, err
}

// RolloutReport is what operators read at a node.
type RolloutReport struct {
	Node string `json:"node"`
	// Known is false until the node has learnt whether there are orders.
	Known bool `json:"known"`
	// StoreEra counts how often the store has come back from a copy, as far as the node knows, and StoreRestores how often the node has
	// seen that.
	StoreEra      uint64 `json:"storeEra"`
	StoreRestores uint64 `json:"storeRestores"`
	// Decider is the control address of the node that takes up orders.
	Decider string         `json:"decider"`
	Plans   []RolloutPlan  `json:"plans"`
	Orders  []rollout.View `json:"orders"`
}

// RolloutPlan is the plan that a node follows, for operators.
type RolloutPlan struct {
	Service   string  `json:"service"`
	Target    string  `json:"targetVersion"`
	Phase     string  `json:"phase"`
	Step      uint64  `json:"step"`
	Share     float64 `json:"share"`
	Halted    bool    `json:"halted"`
	Withdrawn bool    `json:"withdrawn"`
}

// ServeHTTP writes what this node knows of the orders as JSON.
func (r *Rollouts) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	out := RolloutReport{Node: string(r.Peers.Self), Known: r.Table.Known(), StoreEra: uint64(r.Peers.Eras.Latest()), StoreRestores: r.Peers.Eras.Restores(), Plans: []RolloutPlan{}}
	if watchers := r.Peers.State.topology().watchers(); len(watchers) > 0 {
		out.Decider = watchers[0].ControlAddress
	}
	for _, p := range r.Table.All() {
		out.Plans = append(out.Plans, RolloutPlan{Service: p.Service, Target: p.Target, Phase: p.Phase.String(), Step: p.Step, Share: p.Share,
			Halted: p.Halted, Withdrawn: p.Withdrawn})
	}
	r.mu.Lock()
	out.Orders = r.decider.Views(r.Clock.Now())
	r.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out) // Fails only if the reader is gone.
}
