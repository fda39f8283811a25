package rollout

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/looplab/fsm"

	"github.com/monsoonlatch/monsoonlatch/pkg/era"
	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
)

// Settings are the bounds that a decider keeps to.
type Settings struct {
	// ExposeShare and ExposeSlack bound the requests that a version gets before it is found good: ExposeShare of all requests to
	// the service since the order, and ExposeSlack.
	ExposeShare, ExposeSlack float64
	// RollbackTime is the time within which a bad version must get no more requests.
	RollbackTime time.Duration
}

// Parts of the bounds and of an order's duration.
const (
	// shareMargin and slackMargin are the parts of ExposeShare and ExposeSlack that deciders grant. The rest is for requests
	// that are counted differently outside the mesh, such as those before all nodes know of the order.
	shareMargin, slackMargin = 0.9, 0.6
	// trialShare is the part of ExposeShare that ingresses aim at. It is below shareMargin, so that grants rarely run out.
	trialShare = 0.85
	// judgeAt is the part of the duration after which a version can be found good. A version that turns bad later is found out
	// only if it is watched for long; what is left is for the shift.
	judgeAt = 0.6
	// latestJudge is the part of the duration, minLatestJudge and maxLatestJudge its limits, that must be left for the shift. A
	// version that is not found good before is rolled back.
	latestJudge                    = 0.25
	minLatestJudge, maxLatestJudge = 3 * time.Second, 15 * time.Second
	// rampPart is the part of the duration, minRamp and maxRamp its limits, for which each step of the shift lasts.
	rampPart         = 0.04
	minRamp, maxRamp = 500 * time.Millisecond, 3 * time.Second
	// peakFactor is the load of an instance on trial at its peaks, relative to an instance of the old version. A fault that
	// shows only under load shows only where the new version's few requests come together.
	peakFactor = 1.25
	// maxFewer limits the factor by which that load is higher still where the new version has fewer instances than the old one, and
	// each will have more to do after the shift.
	maxFewer = 2.0
	// peakTime is the time for which grants are gathered before a peak.
	peakTime = 500 * time.Millisecond
	// maxPeakShare limits the share of a peak.
	maxPeakShare = 0.5
	// pauseShare is the share between two peaks.
	pauseShare = 0.02
	// minRotation is how long instances stay on trial before others take their place.
	minRotation = 4 * time.Second
	// rotations is the number of times that the instances on trial change during an order.
	rotations = 5
	// idleGrant is the number of unused grants that an instance has that is not on trial.
	idleGrant = 2
)

const (
	// reservePeriod is the least time between two writes that only raise Status.Granted, since each call of the store is priced.
	reservePeriod = time.Second
	// minReserve is the number of grants from which such a write is made.
	minReserve = 10
	// silentAfter is the time without a report after which the node beside an instance of the old version counts as lost: its VM
	// is down or cut off. It is waited for until the last part of the order's time, silentPart or minSilent.
	silentAfter = 4 * time.Second
	silentPart  = 0.1
	// actFor is how long a node that does not lead acts on an order after a report: three report periods. reportsComplete is the time
	// for which it must have got reports before it takes a lack of answers for true.
	actFor, reportsComplete = 1500 * time.Millisecond, 2 * time.Second
	minSilent               = 2 * time.Second
	// sharePeriod is the least time between two changes of the share during the trial.
	sharePeriod = time.Second
	// lifeWithoutOld is how long no instance of another version may be known before the order counts as carried out.
	lifeWithoutOld = 2 * time.Second
	// unableTime is how long a node does not decide after the store has not answered one of its writes, so that another one,
	// which the store answers, can.
	unableTime = 2 * time.Second
	// conflictPause is the time for the watch to deliver the change that was in the way of a write.
	conflictPause = 300 * time.Millisecond
	// maxReports limits the reports that are kept for one order. A node that restarts reports as another process.
	maxReports = 4096
)

// ramp are the shares of the new version after it was found good.
var ramp = [...]float64{0.3, 0.6, 1}

// Events of the lifecycle.
const (
	eventBegin = "begin"
	eventGood  = "found_good"
	eventClose = "shifted"
	eventDone  = "emptied"
	eventBad   = "roll_back"
)

// newLifecycle returns the state machine of an order. Its states are the phases that the store holds; the store's answer to a
// conditional write moves it, so that each order ends once.
func newLifecycle(at Phase) *fsm.FSM {
	p := func(phase Phase) string { return phase.String() }
	return fsm.NewFSM(p(at), fsm.Events{
		{Name: eventBegin, Src: []string{p(PhasePending)}, Dst: p(PhaseTrial)},
		{Name: eventGood, Src: []string{p(PhaseTrial)}, Dst: p(PhaseShifting)},
		{Name: eventClose, Src: []string{p(PhaseShifting)}, Dst: p(PhaseClosing)},
		{Name: eventDone, Src: []string{p(PhaseTrial), p(PhaseClosing)}, Dst: p(PhaseCompleted)},
		{Name: eventBad, Src: []string{p(PhasePending), p(PhaseTrial), p(PhaseShifting), p(PhaseClosing)}, Dst: p(PhaseRolledBack)},
	}, fsm.Callbacks{})
}

// Write is a conditional write of the status of one object. Its answer goes to Decider.ObserveWrite.
type Write struct {
	Service string
	At      era.Position
	Status  Status
	// before is Status.Granted at the position At; the difference belongs to this decider once the store has confirmed the write.
	before uint64
}

// WriteResult is the store's answer to a write.
type WriteResult uint8

// Results of a write.
const (
	// WriteDone: the store has confirmed the write.
	WriteDone WriteResult = iota
	// WriteConflict: the object has changed since.
	WriteConflict
	// WriteUnknown: the store has not answered; the write may take effect, now or later.
	WriteUnknown
)

// Decider decides on all orders that it knows. It is not safe for concurrent use. Any number of deciders may be at work: what
// they grant they have reserved by conditional writes, and what ends an order is such a write too.
type Decider struct {
	settings Settings
	id       uint64
	runs     map[string]*run
	// lost holds for each service the last run of an order that a restored store did not hold any more.
	lost map[string]*run
	// unableUntil is the time until which this node does not decide.
	unableUntil time.Time
}

// NewDecider returns a decider without orders. id identifies its process.
func NewDecider(s Settings, id uint64) *Decider {
	return &Decider{settings: s, id: id, runs: make(map[string]*run), lost: make(map[string]*run)}
}

// run is the state of one order.
type run struct {
	object    Object
	lifecycle *fsm.FSM
	plan      Plan
	// seenAt is when this node first saw the order, ageAtSight how old it was then.
	seenAt     time.Time
	ageAtSight time.Duration
	// owed is set while the store holds less of the order's progress than is known, since it has come back from a copy.
	owed bool
	// requestsBefore is the number of requests that were reported under another identity of the order, before it was written again.
	requestsBefore uint64
	// withoutOldSince is the time since which no instance of another version is known.
	withoutOldSince time.Time
	halted          bool
	reason          string
	// pool is the number of reserved requests that are not granted yet, grants what each process has been granted.
	pool    uint64
	grants  map[reporter]uint64
	reports map[reporter]*received
	// judged is set if the verdict takes account of all reports.
	judged bool
	// heardAt is when the last report came, reportedSince when the first one after a pause did.
	heardAt, reportedSince time.Time
	// leadsSince is the time since which this node is the one that takes up orders; zero if it is not.
	leadsSince time.Time
	// phaseSince is when this node first saw the present phase.
	phaseSince time.Time
	writing    bool
	wroteAt    time.Time
	retryAt    time.Time
	backoff    time.Duration

	shareAt time.Time
	trialAt time.Time
	// peak is the share of a peak; zero before the first one.
	peak     float64
	rotation int
	rate     rate
	verdict  Verdict
	old      []membership.InstanceID
}

type reporter struct {
	instance membership.InstanceID
	run      uint64
}

// received is the latest report of a process, with earlier counts to tell what has happened lately.
type received struct {
	Report
	at time.Time
	// base and next are the tallies of the beginnings of the last two windows; nextAt is when the later one began.
	base, next map[Cell]Tally
	nextAt     time.Time
}

// recentWindow is the time after which the beginning of what counts as lately moves on. What happened lately is between one and
// two windows long. Without it, the good answers of a version that turns bad later would hide the bad ones.
const recentWindow = 2500 * time.Millisecond

// take replaces the report by a later one of the same process.
func (r *received) take(now time.Time, rep Report) {
	if now.Sub(r.nextAt) >= recentWindow {
		r.base, r.next, r.nextAt = r.next, r.Cells, now
	}
	r.Report, r.at = rep, now
}

// recent returns the tallies of what has happened lately.
func (r *received) recent() map[Cell]Tally {
	out := make(map[Cell]Tally, len(r.Cells))
	for c, t := range r.Cells {
		if t = t.since(r.base[c]); t.Answers > 0 {
			out[c] = t
		}
	}
	return out
}

// rate estimates the requests a second to the service.
type rate struct {
	at    time.Time
	count uint64
	value float64
}

func (r *rate) observe(now time.Time, count uint64) {
	if r.at.IsZero() {
		r.at, r.count = now, count
		return
	}
	if took := now.Sub(r.at); took >= time.Second {
		current := float64(count-min(count, r.count)) / took.Seconds()
		if r.value == 0 {
			r.value = current
		}
		r.value += 0.5 * (current - r.value)
		r.at, r.count = now, count
	}
}

// ObserveObject takes in an object as read from the store. now is a reading of the steady clock and of the time of day.
func (d *Decider) ObserveObject(now time.Time, o Object) {
	r := d.runs[o.Name]
	if o.Removed {
		delete(d.runs, o.Name)
		return
	}
	if r != nil && o.At.Compare(r.object.At) < 0 {
		return
	}
	if !o.usable() {
		delete(d.runs, o.Name)
		return
	}
	stored := o.status()
	s := stored
	if r == nil || r.object.ID() != o.ID() {
		r = &run{grants: make(map[reporter]uint64), reports: make(map[reporter]*received), seenAt: now, phaseSince: now, lifecycle: newLifecycle(s.Phase)}
		if s.StartedMillis > 0 {
			// The order was taken up before this node learnt of it. Clocks of VMs may differ, so that the age is limited.
			r.ageAtSight = min(max(0, time.Duration(now.UnixMilli()-s.StartedMillis)*time.Millisecond), o.Order.Duration)
		}
		if lost := d.resumed(&o); lost != nil {
			s = stored.withProgress(lost.object.status())
			r.seenAt, r.ageAtSight, r.halted, r.reason = lost.seenAt, lost.ageAtSight, lost.halted, lost.reason
			if lost.object.ID() != o.ID() { // All nodes count anew.
				r.requestsBefore = s.Requests
			}
			r.lifecycle.SetState(s.Phase.String())
			o.Status = &s
		}
		d.runs[o.Name] = r
	} else if o.At.Era > r.object.At.Era || r.owed {
		s = stored.withProgress(r.object.status())
		o.Status = &s
	}
	r.owed = s.Phase != stored.Phase || s.Granted != stored.Granted
	if r.lifecycle.Current() != s.Phase.String() {
		r.lifecycle.SetState(s.Phase.String())
		r.phaseSince = now
	}
	r.object = o
	if s.Phase.Ended() {
		r.reason = s.Reason
	}
	r.rebase()
}

// resumed returns the run of an order that the store had lost and that an object holds again, or nil. It keeps the run that the object
// replaces, if the store has come back from a copy without its order.
func (d *Decider) resumed(o *Object) (lost *run) {
	for _, r := range []*run{d.runs[o.Name], d.lost[o.Name]} {
		if r != nil && r.object.Order == o.Order && r.object.At.Era < o.At.Era {
			lost = r
			break
		}
	}
	if lost != nil {
		delete(d.lost, o.Name)
	} else if r := d.runs[o.Name]; r != nil && r.object.At.Era < o.At.Era {
		d.lost[o.Name] = r
	}
	return lost
}

// ForgetLost drops the runs of orders that the store has lost and nobody has written again.
func (d *Decider) ForgetLost() { clear(d.lost) }

// rebase derives the plan from the object, and keeps what was chosen within the phase.
func (r *run) rebase() {
	old, p := r.plan, PlanOf(&r.object)
	if old.Order == p.Order && old.Phase == p.Phase {
		p.Share, p.Trial, p.Step = old.Share, old.Trial, old.Step
	}
	p.Barred = bar(p.Barred, p.Target, old.Barred...)
	p.Halted = r.halted && p.Phase != PhaseCompleted
	r.plan = p
}

// ObservePlan takes in what other nodes have told about an order, so that this node goes on where another decider has stopped.
func (d *Decider) ObservePlan(p Plan) {
	r := d.runs[p.Service]
	if r == nil || r.plan.Order != p.Order || r.plan.Phase.Ended() {
		return
	}
	if p.Phase.Ended() && r.object.At.Compare(p.at()) >= 0 {
		r.restoreEnd(p)
		return
	}
	r.halted = r.halted || p.Halted
	if p.Phase != r.plan.Phase {
		p.Phase, p.Step = r.plan.Phase, 0 // Only the store moves the phase here.
	}
	r.plan, _ = merge(r.plan, p)
}

// restoreEnd takes over the end of the order from another node. The store has lost it, as it holds an earlier phase at the same or a later
// position.
func (r *run) restoreEnd(p Plan) {
	s := r.object.status()
	s.Phase, s.DecidedMillis, s.Reason = p.Phase, p.DecidedMillis, "ended before the store came back from a copy"
	r.object.Status, r.owed, r.reason = &s, true, s.Reason
	r.lifecycle.SetState(s.Phase.String())
	r.rebase()
}

// Owes reports whether the store has lost progress of an order that this node knows.
func (d *Decider) Owes() bool {
	for _, r := range d.runs {
		if r.owed {
			return true
		}
	}
	return false
}

// Plans returns the plans of all orders.
func (d *Decider) Plans() []Plan {
	out := make([]Plan, 0, len(d.runs))
	for _, service := range d.services() {
		out = append(out, d.runs[service].plan)
	}
	return out
}

// change applies a change to the plan, and numbers it.
func (r *run) change(apply func(*Plan)) {
	apply(&r.plan)
	r.plan.Step++
}

// Able reports whether this node decides, as far as the store answers its writes.
func (d *Decider) Able(now time.Time) bool { return !now.Before(d.unableUntil) }

// Knows reports whether this node knows the order of a service.
func (d *Decider) Knows(service string, order OrderID) bool {
	r := d.runs[service]
	return r != nil && r.plan.Order == order
}

// ObserveReport takes in a report. The reply's Able says whether this node decides on the order; able is what is known of the
// store besides.
func (d *Decider) ObserveReport(now time.Time, rep Report, able bool) Reply {
	r := d.runs[rep.Service]
	if r == nil || r.plan.Order != rep.Order {
		return Reply{}
	}
	key := reporter{rep.Instance, rep.Run}
	if known := r.reports[key]; known == nil && len(r.reports) < maxReports {
		r.reports[key] = &received{Report: rep, at: now, nextAt: now}
	} else if known != nil && rep.Sequence > known.Sequence {
		known.take(now, rep)
	}
	r.judged = false
	r.halted = r.halted || rep.Halted
	if r.halted && !r.plan.Halted {
		r.change(func(p *Plan) { p.Halted = true })
	}
	if r.heardAt.IsZero() || now.Sub(r.heardAt) >= actFor {
		r.reportedSince = now
	}
	r.heardAt = now
	reply := Reply{Able: able && d.Able(now), Plan: r.plan, Decider: d.id}
	if reply.Able && rep.Version == r.plan.Target && r.plan.Phase == PhaseTrial && !r.halted {
		d.grant(r, key, rep)
	}
	reply.Granted = r.grants[key]
	return reply
}

// grant gives a process of the new version a part of the pool.
func (d *Decider) grant(r *run, key reporter, rep Report) {
	granted := r.grants[key]
	unused := granted - min(granted, rep.Used)
	want := uint64(idleGrant)
	if slices.Contains(r.plan.Trial, rep.Instance) {
		want = max(want, (r.pool+uint64(len(r.plan.Trial))-1)/uint64(len(r.plan.Trial)))
	}
	more := min(r.pool, want-min(want, unused))
	r.pool -= more
	r.grants[key] = granted + more
}

// allowed is the number of requests that a version may get when so many have come to the service since the order.
func (s Settings) allowed(requests uint64) uint64 {
	return uint64(math.Floor(shareMargin*s.ExposeShare*float64(requests) + slackMargin*s.ExposeSlack))
}

// requests is the number of requests to the service since the order that have been reported.
func (r *run) requests() (sum uint64) {
	sum = r.requestsBefore
	for _, rep := range r.reports {
		sum += rep.Handled
	}
	return max(sum, r.object.status().Requests)
}

// exposed is the number of requests that the new version has taken during the trial, as far as reported.
func (r *run) exposed() (sum uint64) {
	for _, rep := range r.reports {
		sum += rep.Used
	}
	return sum
}

// evidence returns what is known of the two versions since the order, or only what has happened lately. If the old version has
// answered little lately, as after the shift, what is known of it since the order takes its place.
func (r *run) evidence(lately bool) Evidence {
	e := Evidence{Old: make(map[Cell]Tally), New: make(map[membership.InstanceID]map[Cell]Tally)}
	for _, rep := range r.reports {
		into := e.Old
		if rep.Version == r.plan.Target {
			if into = e.New[rep.Instance]; into == nil {
				into = make(map[Cell]Tally)
				e.New[rep.Instance] = into
			}
		} else if slices.Contains(r.plan.Barred, rep.Version) {
			continue
		}
		cells := rep.Cells
		if lately {
			cells = rep.recent()
		}
		for c, t := range cells {
			sum := into[c]
			sum.add(t)
			into[c] = sum
		}
	}
	if lately && e.oldAnswers() < minCompared {
		e.Old = r.evidence(false).Old
	}
	return e
}

// Tick looks at all orders and returns the writes to make. members returns the instances of a service. leads is set if this node
// is the one that takes up orders; otherwise it decides on the orders whose reports it gets.
func (d *Decider) Tick(now time.Time, members func(service string) []membership.Instance, leads bool) []Write {
	var out []Write
	for _, service := range d.services() {
		r := d.runs[service]
		if !leads {
			r.leadsSince = time.Time{}
		} else if r.leadsSince.IsZero() {
			r.leadsSince = now
		}
		if !r.plan.Active() && !r.owed || !leads && !r.hears(now) {
			continue
		}
		var w *Write
		if r.plan.Active() {
			w = d.decide(now, r, members(service))
		}
		if w == nil && r.owed {
			w = r.write()
		}
		if w != nil && !r.writing && !now.Before(r.retryAt) {
			r.writing = true
			out = append(out, *w)
		}
	}
	return out
}

func (d *Decider) services() []string {
	out := make([]string, 0, len(d.runs))
	for service := range d.runs {
		out = append(out, service)
	}
	slices.Sort(out)
	return out
}

// hears reports whether this node gets reports at present.
func (r *run) hears(now time.Time) bool { return !r.heardAt.IsZero() && now.Sub(r.heardAt) < actFor }

// knowsEnough reports whether a lack of answers means that there are none. When the reports move to another node, the earlier one
// has no new ones, and the later one none yet.
func (r *run) knowsEnough(now time.Time) bool {
	if r.hears(now) {
		return now.Sub(r.reportedSince) >= reportsComplete
	}
	return !r.leadsSince.IsZero() && now.Sub(r.leadsSince) >= silentAfter
}

// age is the time since the order was taken up.
func (r *run) age(now time.Time) time.Duration { return r.ageAtSight + now.Sub(r.seenAt) }

// latest is the age by which a version must have been found good.
func (r *run) latest() time.Duration {
	duration := r.object.Order.Duration
	return duration - min(max(time.Duration(latestJudge*float64(duration)), minLatestJudge), maxLatestJudge, duration/2)
}

// decide makes one step with an order, and returns the write that it needs, if any.
func (d *Decider) decide(now time.Time, r *run, members []membership.Instance) *Write {
	ready, old := r.instances(members)
	r.old = old
	r.rate.observe(now, r.requests())
	if len(old) > 0 {
		r.withoutOldSince = time.Time{}
	} else if r.withoutOldSince.IsZero() {
		r.withoutOldSince = now
	}
	if r.plan.Phase == PhasePending {
		return d.begin(now, r)
	}
	r.judge()
	if r.verdict.Bad && !r.halted {
		r.halted, r.reason = true, r.verdict.Reason
		r.change(func(p *Plan) { p.Halted = true })
	}
	if r.halted {
		if r.reason == "" {
			r.reason = "found bad by another node"
		}
		return d.move(now, r, eventBad)
	}
	switch r.plan.Phase {
	case PhaseTrial:
		return d.try(now, r, ready)
	case PhaseShifting:
		return d.shift(now, r)
	case PhaseClosing:
		if r.emptied(now) {
			r.reason = "found good, and the old version is empty"
			return d.move(now, r, eventDone)
		}
	}
	return nil
}

// judge compares the versions anew if there are new reports.
func (r *run) judge() {
	if r.judged {
		return
	}
	r.judged = true
	r.verdict = Judge(r.evidence(false))
	if lately := Judge(r.evidence(true)); !r.verdict.Bad && (lately.Bad || lately.Suspect) {
		r.verdict.Bad, r.verdict.Good, r.verdict.Reason = lately.Bad, false, "lately, "+lately.Reason
	}
}

// instances returns the ready instances of the new version, and all of other versions that may still be at work.
func (r *run) instances(members []membership.Instance) (ready, old []membership.InstanceID) {
	for i := range members {
		in := &members[i]
		switch {
		case in.State == membership.StateDeparted:
		case in.Version != r.plan.Target:
			old = append(old, in.ID)
		case in.State == membership.StateReady:
			ready = append(ready, in.ID)
		}
	}
	slices.Sort(ready)
	return ready, old
}

// begin takes the order up. The first grants are reserved with the same write.
func (d *Decider) begin(now time.Time, r *run) *Write {
	w := d.move(now, r, eventBegin)
	w.Status.StartedMillis = now.UnixMilli()
	w.Status.Granted = d.settings.allowed(0)
	return w
}

// move returns the write of the phase that an event leads to.
func (d *Decider) move(now time.Time, r *run, event string) *Write {
	next := newLifecycle(r.plan.Phase)
	if next.Event(context.Background(), event) != nil {
		return nil // The phase has no such end, so that there is nothing to write.
	}
	w := r.write()
	w.Status.Phase, _ = ParsePhase(next.Current())
	if w.Status.Phase.Ended() {
		w.Status.DecidedMillis, w.Status.Reason = now.UnixMilli(), r.reason
	}
	return w
}

// write returns a write that changes nothing yet.
func (r *run) write() *Write {
	s := r.object.status()
	w := &Write{Service: r.object.Name, At: r.object.At, Status: s, before: s.Granted}
	w.Status.Requests = r.requests()
	w.Status.Barred = bar(s.Barred, s.Target, r.plan.Barred...)
	return w
}

// try goes on with the trial.
func (d *Decider) try(now time.Time, r *run, ready []membership.InstanceID) *Write {
	if !r.withoutOldSince.IsZero() && len(ready) > 0 && len(r.reports) > 0 && !r.sawOld() && now.Sub(r.withoutOldSince) >= lifeWithoutOld {
		r.reason = "no instance of another version"
		return d.move(now, r, eventDone)
	}
	judge := min(time.Duration(judgeAt*float64(r.object.Order.Duration)), r.latest())
	switch age := r.age(now); {
	case age >= judge && r.verdict.Good:
		return d.move(now, r, eventGood)
	case age >= r.latest() && r.knowsEnough(now):
		r.reason = "not found good in time: " + r.verdict.Reason
		r.halted = true
		r.change(func(p *Plan) { p.Halted = true })
		return d.move(now, r, eventBad)
	}
	d.steer(now, r, ready)
	return d.reserve(now, r)
}

// reserve returns a write that reserves more grants if few are left. No more are reserved than are soon used, since those of a
// decider that stops are lost.
func (d *Decider) reserve(now time.Time, r *run) *Write {
	perPeak := uint64(math.Ceil(r.peak * r.rate.value * peakTime.Seconds()))
	allowed, granted := d.settings.allowed(r.requests()), r.object.status().Granted
	if r.peak == 0 || r.unused() >= max(minReserve, perPeak) || allowed < granted+minReserve || now.Sub(r.wroteAt) < reservePeriod {
		return nil
	}
	w := r.write()
	w.Status.Granted = min(allowed, granted+2*max(minReserve, perPeak))
	return w
}

// sawOld reports whether an instance of another version has reported.
func (r *run) sawOld() bool {
	for _, rep := range r.reports {
		if rep.Version != r.plan.Target {
			return true
		}
	}
	return false
}

// steer sets the instances on trial and the share. The share changes between peaks, at which an instance on trial has about the
// load of an old one, and pauses, in which grants gather.
func (d *Decider) steer(now time.Time, r *run, ready []membership.InstanceID) {
	if len(ready) == 0 {
		return
	}
	base := trialShare * d.settings.ExposeShare
	old := float64(max(1, len(r.old)))
	load := peakFactor * min(maxFewer, max(1, old/float64(len(ready))))
	count := min(len(ready), max(1, int(math.Round(base*old/load))))
	rotation := max(minRotation, r.object.Order.Duration/rotations)
	gone := slices.ContainsFunc(r.plan.Trial, func(id membership.InstanceID) bool { return !slices.Contains(ready, id) })
	if len(r.plan.Trial) != count || gone || now.Sub(r.trialAt) >= rotation && len(ready) > count {
		trial := make([]membership.InstanceID, count)
		for i := range trial {
			trial[i] = ready[(r.rotation*count+i)%len(ready)]
		}
		r.rotation++
		r.trialAt = now
		slices.Sort(trial)
		r.change(func(p *Plan) { p.Trial = trial })
	}
	r.peak = min(maxPeakShare, max(base, load*float64(count)/old))
	if now.Sub(r.shareAt) < sharePeriod {
		return
	}
	share := r.plan.Share
	left := float64(r.unused())
	switch perPeak := r.peak * r.rate.value * peakTime.Seconds(); {
	case left == 0:
		share = pauseShare
	case left >= perPeak || share == 0:
		share = r.peak
	case left < 0.2*perPeak:
		share = pauseShare
	}
	if share != r.plan.Share {
		r.shareAt = now
		r.change(func(p *Plan) { p.Share = share })
	}
}

// unused is the number of reserved requests that have not been taken yet, as far as reported.
func (r *run) unused() uint64 {
	sum := r.pool
	for key, granted := range r.grants {
		if rep := r.reports[key]; rep != nil && slices.Contains(r.plan.Trial, key.instance) {
			sum += granted - min(granted, rep.Used)
		}
	}
	return sum
}

// shift raises the share of the new version step by step.
func (d *Decider) shift(now time.Time, r *run) *Write {
	step := min(max(time.Duration(rampPart*float64(r.object.Order.Duration)), minRamp), maxRamp)
	i := int(now.Sub(r.phaseSince) / step)
	if i >= len(ramp) {
		return d.move(now, r, eventClose)
	}
	if r.plan.Share != ramp[i] {
		r.change(func(p *Plan) { p.Share = ramp[i] })
	}
	return nil
}

// emptied reports whether no request is at the old version or can come there: the node beside each of its instances has refused
// new requests and has none in flight. A node that has been silent for long is not waited for when little time is left.
func (r *run) emptied(now time.Time) bool {
	latest := make(map[membership.InstanceID]*received)
	for key, rep := range r.reports {
		if known := latest[key.instance]; known == nil || rep.at.After(known.at) {
			latest[key.instance] = rep
		}
	}
	duration := r.object.Order.Duration
	wait := r.age(now) < duration-max(minSilent, time.Duration(silentPart*float64(duration)))
	for _, id := range r.old {
		rep := latest[id]
		switch {
		case rep == nil && (wait || r.reportedSince.IsZero() || now.Sub(r.reportedSince) < silentAfter):
			return false
		case rep == nil || !wait && now.Sub(rep.at) >= silentAfter:
		case !rep.Closed || rep.InFlight > 0 || rep.at.Before(r.phaseSince):
			return false
		}
	}
	return true
}

// ObserveWrite takes in the store's answer to a write, with the object as it is now if the store has told it.
func (d *Decider) ObserveWrite(now time.Time, w Write, result WriteResult, object *Object) {
	r := d.runs[w.Service]
	if r == nil {
		return
	}
	r.writing, r.wroteAt = false, now
	if result == WriteUnknown {
		r.backoff = min(max(2*r.backoff, 200*time.Millisecond), 2*time.Second)
		r.retryAt = now.Add(r.backoff/2 + rand.N(r.backoff/2))
		d.unableUntil = now.Add(min(r.backoff, unableTime))
		return
	}
	r.backoff = 0
	if result == WriteConflict {
		r.retryAt = now.Add(conflictPause)
	}
	// The grants belong to the order of the write, which may be an earlier one by now.
	if result == WriteDone && r.object.ID() == w.Status.Order && w.Status.Granted > w.before {
		r.pool += w.Status.Granted - w.before
	}
	if object != nil {
		d.ObserveObject(now, *object)
	}
}

// View is what operators see of an order.
type View struct {
	Service      string   `json:"service"`
	Target       string   `json:"targetVersion"`
	Phase        string   `json:"phase"`
	Halted       bool     `json:"halted"`
	Reason       string   `json:"reason,omitempty"`
	AgeSeconds   float64  `json:"ageSeconds"`
	DurationSecs float64  `json:"durationSeconds"`
	Share        float64  `json:"share"`
	Trial        []string `json:"onTrial,omitempty"`
	Barred       []string `json:"barred,omitempty"`
	Requests     uint64   `json:"requests"`
	Exposed      uint64   `json:"exposed"`
	Granted      uint64   `json:"granted"`
	Allowed      uint64   `json:"allowed"`
	Answers      uint64   `json:"answers"`
	Failures     uint64   `json:"failures"`
	OldAnswers   uint64   `json:"oldAnswers"`
	OldFailures  uint64   `json:"oldFailures"`
	Judgement    string   `json:"judgement"`
	Reporting    int      `json:"nodesReporting"`
	OldInstances int      `json:"oldInstances"`
}

// Views returns all orders for operators.
func (d *Decider) Views(now time.Time) []View {
	out := make([]View, 0, len(d.runs))
	for _, service := range d.services() {
		r := d.runs[service]
		status := r.object.status()
		v := View{Service: service, Target: r.plan.Target, Phase: r.plan.Phase.String(), Halted: r.halted, Reason: r.reason,
			AgeSeconds: r.age(now).Seconds(), DurationSecs: r.object.Order.Duration.Seconds(), Share: r.plan.Share, Barred: r.plan.Barred,
			Requests: r.requests(), Exposed: r.exposed(), Granted: status.Granted, Allowed: d.settings.allowed(r.requests()),
			Answers: r.verdict.Answers, Failures: r.verdict.Failures, Judgement: r.verdict.Reason, Reporting: len(r.reports), OldInstances: len(r.old)}
		for _, id := range r.plan.Trial {
			v.Trial = append(v.Trial, string(id))
		}
		for _, t := range r.evidence(false).Old {
			v.OldAnswers += t.Answers
			v.OldFailures += t.Failures
		}
		out = append(out, v)
	}
	return out
}

// Describe returns a line about the order of a service for the log.
func (d *Decider) Describe(service string) string {
	if r := d.runs[service]; r != nil {
		return fmt.Sprintf("%s (exposed %d of %d, %d of %d answers failed)", r.reason, r.exposed(), r.requests(), r.verdict.Failures, r.verdict.Answers)
	}
	return ""
}
