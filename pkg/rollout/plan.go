package rollout

import (
	"slices"

	"github.com/monsoonlatch/monsoonlatch/pkg/era"
	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
)

// Plan is what each node follows for one service. It spreads with the other messages between nodes; Merge makes the result
// independent of the order in which plans arrive.
type Plan struct {
	Service string
	Order   OrderID
	// Spec is Order.Spec; it is missing in plans of earlier builds.
	Spec   OrderID
	Target string
	// Era and Revision are the latest known position of the order's object. It tells which of two orders is the later one.
	Era      era.Number
	Revision uint64
	// Step counts the plans of one phase; that which follows from the store alone has step 0.
	Step  uint64
	Phase Phase
	// Share is the part of the requests that ingresses send to the new version during trial and shifting.
	Share float64
	// Trial lists the instances that get most of the new version's requests during the trial.
	Trial []membership.InstanceID
	// Barred lists other versions that get no requests.
	Barred []string
	// DecidedMillis is the time of day at which the order was completed. Instances that start later are not the old ones.
	DecidedMillis int64
	// Halted is set once the new version was found bad, which is before the store holds it. Withdrawn is set if the order was
	// removed before its end. Neither is taken back for the same order.
	Halted, Withdrawn bool
}

// Stopped reports whether the new version gets no requests any more.
func (p *Plan) Stopped() bool { return p.Halted || p.Withdrawn || p.Phase == PhaseRolledBack }

// Active reports whether nodes report what they see of the two versions.
func (p *Plan) Active() bool { return !p.Phase.Ended() && !p.Withdrawn }

// at is the latest known position of the order's object.
func (p *Plan) at() era.Position { return era.Position{Era: p.Era, Revision: p.Revision} }

func (p *Plan) setAt(at era.Position) { p.Era, p.Revision = at.Era, at.Revision }

// PlanOf returns the plan that follows from an object alone.
func PlanOf(o *Object) Plan {
	s := o.status()
	return Plan{Service: o.Name, Order: s.Order, Spec: o.Order.Spec(), Target: s.Target, Era: o.At.Era, Revision: o.At.Revision, Phase: s.Phase, Barred: s.Barred, DecidedMillis: s.DecidedMillis}
}

// continuing returns the plan of an order that goes on where an earlier plan of the same order was, which the store has lost.
func (p Plan) continuing(lost Plan) Plan {
	if lost.Phase > p.Phase {
		p.Phase, p.Step, p.Share, p.Trial, p.DecidedMillis = lost.Phase, lost.Step, lost.Share, lost.Trial, lost.DecidedMillis
	}
	p.Halted = (p.Halted || lost.Halted) && p.Phase != PhaseCompleted
	p.Barred = bar(p.Barred, p.Target, lost.Barred...)
	return p
}

// merge returns what follows from two plans of one service, and whether nodes must learn of the result. Of two orders, that with
// the later change in the store counts. The phases of one order only move forward, since each is written under a condition; within
// a phase the later step counts.
func merge(known, in Plan) (Plan, bool) {
	if known.Order != in.Order {
		if in.at().Compare(known.at()) <= 0 {
			return known, false
		}
		if known.Phase != PhaseCompleted {
			in.Barred = bar(in.Barred, in.Target, append(slices.Clone(known.Barred), known.Target)...)
		}
		return in, true
	}
	out := known
	if in.Phase > known.Phase || in.Phase == known.Phase && in.Step > known.Step {
		out = in
	}
	if out.setAt(known.at()); in.at().Compare(known.at()) > 0 {
		out.setAt(in.at())
	}
	out.Halted = (known.Halted || in.Halted) && out.Phase != PhaseCompleted
	out.Withdrawn = known.Withdrawn || in.Withdrawn
	out.Barred = bar(known.Barred, known.Target, in.Barred...)
	return out, !out.equal(known)
}

func (p Plan) equal(q Plan) bool {
	return p.Order == q.Order && p.Step == q.Step && p.Phase == q.Phase && p.Halted == q.Halted && p.Withdrawn == q.Withdrawn &&
		slices.Equal(p.Barred, q.Barred)
}

// Admission tells whether an instance takes new requests.
type Admission uint8

// Admissions of an instance.
const (
	// AdmitAll: the plan does not limit the instance.
	AdmitAll Admission = iota
	// AdmitGranted: the instance takes as many requests as it has been granted.
	AdmitGranted
	// AdmitNone: the instance takes no new requests.
	AdmitNone
)

// Admits returns what the plan says of an instance with the given version that started at a time of day. The zero plan limits
// nothing.
func (p *Plan) Admits(version string, startedMillis int64) Admission {
	switch {
	case p.Order == "":
		return AdmitAll
	case version == p.Target:
		return p.admitsTarget()
	case slices.Contains(p.Barred, version):
		return AdmitNone
	case p.Stopped():
		return AdmitAll
	case p.Phase == PhaseClosing, p.Phase == PhaseCompleted && startedMillis <= p.DecidedMillis:
		return AdmitNone
	}
	return AdmitAll
}

func (p *Plan) admitsTarget() Admission {
	switch {
	case p.Stopped() || p.Phase == PhasePending:
		return AdmitNone
	case p.Phase == PhaseTrial:
		return AdmitGranted
	}
	return AdmitAll
}

// Filter reports whether a request may be sent to an instance.
type Filter func(*membership.Instance) bool

// trialConcentration is the part of the new version's requests that goes to the instances in Plan.Trial. The others get the
// rest, so that a fault of single instances can be told from one of the version.
const trialConcentration = 0.85

// Choose returns the instances among which a request is to be sent, and those that are tried if none of them can take it; nil
// means none. a and b are random numbers in [0, 1). retry is set for a further attempt of a request, which goes to the old
// version during the trial: the first attempt may have failed because of the new one.
func (p *Plan) Choose(a, b float64, retry bool) (prefer, fallback Filter) {
	admitted := func(in *membership.Instance) bool { return p.Admits(in.Version, in.BackendStarted) != AdmitNone }
	target := func(in *membership.Instance) bool { return in.Version == p.Target && admitted(in) }
	other := func(in *membership.Instance) bool { return in.Version != p.Target && admitted(in) }
	if p.Stopped() || p.Phase != PhaseTrial && p.Phase != PhaseShifting {
		return admitted, nil
	}
	switch {
	case a >= p.Share || retry && p.Phase == PhaseTrial:
		return other, target
	case p.Phase == PhaseTrial && b < trialConcentration:
		return func(in *membership.Instance) bool { return target(in) && slices.Contains(p.Trial, in.ID) }, other
	}
	return target, other
}
