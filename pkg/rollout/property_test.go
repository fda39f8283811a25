package rollout

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
)

// TestMain sets a fixed seed unless one is given, so that each run draws the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20261206")
	}
	m.Run()
}

// delayed is a message that has not arrived yet.
type delayed struct {
	report  *Report
	reply   *Reply
	to      int // index of the decider of a report, or of the instance of a reply
	from    int // index of the instance of a report
	process *Local
	sentAt  time.Time
}

// network holds the messages that are on their way, which arrive in any order, more than once, or never.
type network struct {
	s        *sim
	messages []delayed
}

func (n *network) deliver(t *rapid.T) {
	if len(n.messages) == 0 {
		return
	}
	i := rapid.IntRange(0, len(n.messages)-1).Draw(t, "message")
	m := n.messages[i]
	if rapid.IntRange(0, 9).Draw(t, "again") > 0 {
		n.messages = append(n.messages[:i], n.messages[i+1:]...)
	}
	if m.report != nil {
		d := n.s.deciders[m.to]
		reply := d.decider.ObserveReport(n.s.now, *m.report, !d.storeDown)
		n.messages = append(n.messages, delayed{reply: &reply, to: m.from, process: m.process, sentAt: m.sentAt})
		return
	}
	if in := n.s.instances[m.to]; in.local == m.process { // A reply to a process that has ended reaches nobody.
		in.local.Apply(m.sentAt, *m.reply)
	}
}

// flood sends a request to an instance of the new version whatever the plan says, and to an old one if it is refused.
func (s *sim) flood() {
	s.total++
	for _, version := range []string{simNew, simOld} {
		var candidates []*simInstance
		for _, in := range s.instances {
			if in.record.Version == version {
				candidates = append(candidates, in)
			}
		}
		if s.hand(candidates[s.rng.IntN(len(candidates))], "lookup") {
			return
		}
	}
}

// Guards against a sum of exposures over all nodes that exceeds the bound: whatever messages are lost, late, doubled or out of
// order, whichever nodes and deciders restart, and whatever becomes of writes to the store. The version is never found bad, and
// the order lasts too long for it to be found good.
func TestExposureStaysInBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t, rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 6).Draw(t, "old"), 20)
		s.order(time.Hour, rapid.IntRange(1, 5).Draw(t, "new"), healthy)
		n := &network{s: s}
		decider := rapid.IntRange(0, len(s.deciders)-1)
		s.store.lose = func() bool { return rapid.IntRange(0, 3).Draw(t, "lost") == 0 }
		var late []Write
		for range rapid.IntRange(100, 400).Draw(t, "steps") {
			s.now = s.now.Add(time.Duration(rapid.IntRange(1, 150).Draw(t, "ms")) * time.Millisecond)
			s.finish()
			switch rapid.IntRange(0, 13).Draw(t, "step") {
			case 0:
				for range rapid.IntRange(1, 60).Draw(t, "requests") {
					s.request("lookup")
				}
			case 1, 2, 3:
				// The bound does not rest on the share that ingresses keep to.
				for range rapid.IntRange(1, 60).Draw(t, "flood") {
					s.flood()
				}
			case 4, 5, 6:
				for i, in := range s.instances {
					if rep, ok := in.local.Report(in.record.ID); ok {
						n.messages = append(n.messages, delayed{report: &rep, to: decider.Draw(t, "to"), from: i, process: in.local, sentAt: s.now})
					}
				}
			case 7, 8, 9:
				for range 2 * len(n.messages) {
					n.deliver(t)
				}
			case 10, 11:
				d := s.deciders[decider.Draw(t, "acting")]
				for _, w := range d.decider.Tick(s.now, s.members, true) {
					result, obj := s.store.putStatus(w)
					if result == WriteUnknown {
						late = append(late, w)
					}
					d.decider.ObserveWrite(s.now, w, result, obj)
				}
				s.spread()
			case 12:
				s.restart(s.instances[rapid.IntRange(0, len(s.instances)-1).Draw(t, "node")])
			case 13:
				if len(late) > 0 {
					_, _ = s.store.putStatus(late[0]) // Done late, if its condition still holds.
					late = late[1:]
				} else {
					s.deciders[decider.Draw(t, "restarted")] = s.newDecider()
				}
			}
			got, limit := s.exposed(simNew), simSettings.ExposeShare*float64(s.total)+simSettings.ExposeSlack
			if float64(got) > limit {
				t.Fatalf("the new version got %d of %d requests, more than %.1f", got, s.total, limit)
			}
			// The rest of the bound must not make up for grants that nobody has reserved, or for reservations beyond it.
			granted := uint64(0)
			if st := s.store.object.Status; st != nil {
				granted = st.Granted
			}
			if uint64(got) > granted || float64(granted) > limit {
				t.Fatalf("the new version got %d requests, %d are reserved, %.1f allowed", got, granted, limit)
			}
		}
	})
}

// Guards against plans that differ between nodes for good because they arrived in different orders.
func TestMergeIsIndependentOfOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		order := rapid.IntRange(0, 2)
		plans := make([]Plan, rapid.IntRange(1, 8).Draw(t, "plans"))
		for i := range plans {
			o := order.Draw(t, "order")
			// As in the store: a later order has later revisions, and one phase and step have one content.
			phase, step := Phase(rapid.IntRange(0, 5).Draw(t, "phase")), uint64(rapid.IntRange(0, 3).Draw(t, "step"))
			plans[i] = Plan{Service: simService, Order: OrderID(fmt.Sprint("o", o)), Target: fmt.Sprint("v", o), Revision: uint64(o*100 + rapid.IntRange(1, 99).Draw(t, "revision")),
				Phase: phase, Step: step, Share: float64(step), Halted: rapid.Bool().Draw(t, "halted") && phase != PhaseCompleted, Withdrawn: rapid.Bool().Draw(t, "withdrawn")}
		}
		a, b := NewTable(true), NewTable(true)
		a.Merge(plans...)
		for _, i := range rapid.Permutation(indexes(len(plans))).Draw(t, "permutation") {
			b.Merge(plans[i])
		}
		// The nodes exchange what they have, as with each pull.
		a.Merge(b.All()...)
		b.Merge(a.All()...)
		x, y := a.Get(simService), b.Get(simService)
		halted := false
		for _, p := range plans {
			halted = halted || p.Order == x.Order && p.Halted
		}
		if want := halted && x.Phase != PhaseCompleted; x.Halted != want && !completedBefore(plans, x.Order) {
			t.Fatalf("halted %v, want %v: %+v", x.Halted, want, plans)
		}
		if x.Order != y.Order || x.Phase != y.Phase || x.Step != y.Step || x.Halted != y.Halted || x.Withdrawn != y.Withdrawn {
			t.Fatalf("%+v and %+v", x, y)
		}
	})
}

// completedBefore reports whether an order was completed, after which a plan that is halted is an old one.
func completedBefore(plans []Plan, order OrderID) bool {
	return slices.ContainsFunc(plans, func(p Plan) bool { return p.Order == order && p.Phase == PhaseCompleted })
}

func indexes(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}

// stateInput is an operation on the state of an order: a read of the store, or a write of a phase.
type stateInput struct {
	write bool
	phase Phase
	// unknown is set for a write whose answer was lost: it takes effect at one moment from its sending on, or never.
	unknown bool
}

// lifecycleModel is a register that only moves along the lifecycle of an order.
var lifecycleModel = porcupine.Model{
	Init: func() any { return PhasePending },
	Step: func(state, input, output any) (bool, any) {
		at, in := state.(Phase), input.(stateInput)
		if !in.write {
			return output.(Phase) == at, at
		}
		legal := in.phase == at && !at.Ended()
		for _, event := range []string{eventBegin, eventGood, eventClose, eventDone, eventBad} {
			l := newLifecycle(at)
			legal = legal || l.Event(context.Background(), event) == nil && l.Current() == in.phase.String()
		}
		switch {
		case legal:
			return true, in.phase
		case in.unknown:
			return true, at
		}
		return false, at
	},
}

// Guards against an order with two ends, or one whose phase goes back, when several nodes decide, the store does writes late or
// loses its answers, and the version turns bad in the middle of the shift.
func TestHistoryOfStatesIsLinearizable(t *testing.T) {
	for seed := range uint64(10) {
		s := newSim(t, seed, 8, 400)
		var history []porcupine.Operation
		var late []Write
		clock := int64(0)
		tick := func() int64 { clock++; return clock }
		s.order(12*time.Second, 6, func(s *sim, in *simInstance, route string) (time.Duration, bool) {
			took, _ := healthy(s, in, route)
			return took, seed%2 == 1 && s.now.Sub(s.orderAt) > 8*time.Second && s.rng.Float64() < 0.4
		})
		for range 280 { // 14 s
			s.finish()
			s.traffic()
			step := int(s.now.Sub(s.orderAt) / simStep)
			if step%10 == 0 {
				s.report()
			}
			if step%5 == 0 {
				for i, d := range s.deciders {
					for _, w := range d.decider.Tick(s.now, s.members, true) {
						call := tick()
						in := stateInput{write: true, phase: w.Status.Phase}
						if s.rng.Float64() < 0.25 { // Lost; half of them are done, some of those late.
							in.unknown = true
							if s.rng.Float64() < 0.5 {
								late = append(late, w)
							}
							history = append(history, porcupine.Operation{ClientId: i, Input: in, Call: call, Return: 1 << 40})
							d.decider.ObserveWrite(s.now, w, WriteUnknown, nil)
							continue
						}
						result, obj := s.store.putStatus(w)
						if result == WriteDone {
							history = append(history, porcupine.Operation{ClientId: i, Input: in, Call: call, Return: tick()})
						}
						d.decider.ObserveWrite(s.now, w, result, obj)
					}
				}
				if len(late) > 0 && s.rng.Float64() < 0.3 {
					_, _ = s.store.putStatus(late[0])
					late = late[1:]
				}
				history = append(history, porcupine.Operation{ClientId: 10, Input: stateInput{}, Call: tick(), Output: s.phase(), Return: tick()})
				s.spread()
			}
			s.now = s.now.Add(simStep)
		}
		if result := porcupine.CheckOperationsTimeout(lifecycleModel, history, time.Minute); result != porcupine.Ok {
			t.Errorf("seed %d: the history of states is %v", seed, result)
		}
		s.mustEnd(map[bool]Phase{false: PhaseCompleted, true: PhaseRolledBack}[seed%2 == 1])
	}
}

// Guards against a filter of the ingress and a gate of the egress that disagree, so that requests are refused for good.
func TestChoiceFitsAdmission(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := Plan{Service: simService, Order: "a", Target: simNew, Phase: Phase(rapid.IntRange(0, 5).Draw(t, "phase")), Share: rapid.Float64Range(0, 1).Draw(t, "share"),
			Halted: rapid.Bool().Draw(t, "halted"), Withdrawn: rapid.Bool().Draw(t, "withdrawn"), Barred: []string{"v0"}, DecidedMillis: 100}
		a, b := rapid.Float64Range(0, 0.999).Draw(t, "a"), rapid.Float64Range(0, 0.999).Draw(t, "b")
		prefer, fallback := p.Choose(a, b, rapid.Bool().Draw(t, "retry"))
		for _, version := range []string{"v0", simOld, simNew, ""} {
			in := membership.Instance{ID: "x", Version: version, BackendStarted: int64(rapid.IntRange(0, 200).Draw(t, "started"))}
			allowed := prefer(&in) || fallback != nil && fallback(&in)
			if allowed && p.Admits(version, in.BackendStarted) == AdmitNone {
				t.Fatalf("version %q may be chosen and takes nothing: %+v", version, p)
			}
		}
	})
}
