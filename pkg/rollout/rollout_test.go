package rollout

import (
	"slices"
	"testing"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/era"
)

const testDuration = 20 * time.Second

// Guards against a roll-out that takes a good version for a bad one, or ends with requests at instances that stop at once. The
// new instances are slow for three seconds after their start.
func TestGoodVersionIsCompleted(t *testing.T) {
	for _, c := range []struct {
		name                string
		old, new, perSecond int
		duration            time.Duration
	}{
		{"usual", 14, 14, 600, testDuration},
		{"few instances, few requests", 3, 3, 60, testDuration},
		{"many instances", 38, 38, 800, testDuration},
		{"short order", 14, 14, 600, 12 * time.Second},
		{"long order", 14, 14, 400, time.Minute},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(5) {
				s := newSim(t, seed, c.old, c.perSecond)
				s.run(2 * time.Second)
				s.order(c.duration, c.new, healthy)
				s.run(c.duration + 2*time.Second)
				if s.phase() != PhaseCompleted || s.endedAt.Sub(s.orderAt) > c.duration {
					t.Errorf("seed %d: phase %v after %v: %s", seed, s.phase(), s.endedAt.Sub(s.orderAt), s.reason())
				}
				if s.strandedAtEnd > 0 {
					t.Errorf("seed %d: %d requests were at the old version at the end", seed, s.strandedAtEnd)
				}
				if s.refused > 0 {
					t.Errorf("seed %d: %d requests found no instance", seed, s.refused)
				}
			}
		})
	}
}

// Guards against a bad version that is completed, gets more than its share, or is used for long after its bad answers.
func TestBadVersionIsRolledBack(t *testing.T) {
	underLoad := func(s *sim, in *simInstance, route string) (time.Duration, bool) {
		took, _ := healthy(s, in, route)
		return took, len(in.running) >= 3 && s.rng.Float64() < 0.6
	}
	later := func(after time.Duration, b behaviour) behaviour {
		return func(s *sim, in *simInstance, route string) (time.Duration, bool) {
			if s.now.Sub(in.started) < after {
				return healthy(s, in, route)
			}
			return b(s, in, route)
		}
	}
	oneRoute := func(b behaviour) behaviour {
		return func(s *sim, in *simInstance, route string) (time.Duration, bool) {
			if route != "lodge" {
				return healthy(s, in, route)
			}
			return b(s, in, route)
		}
	}
	for name, bad := range map[string]behaviour{
		"fails at once":             failing(0.3),
		"fails always":              failing(1),
		"fails a little":            failing(0.15),
		"slow at once":              slow(0.4, 4),
		"slow always":               slow(1, 3),
		"fails later":               later(8*time.Second, failing(0.3)),
		"slow later":                later(8*time.Second, slow(0.5, 5)),
		"fails under load":          underLoad,
		"fails on one route":        oneRoute(failing(0.4)),
		"slow on one route":         oneRoute(slow(0.5, 5)),
		"fails later, on one route": later(7*time.Second, oneRoute(failing(0.5))),
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(5) {
				s := newSim(t, seed, 14, 600)
				s.run(2 * time.Second)
				s.order(testDuration, 14, bad)
				s.run(testDuration + 5*time.Second)
				if s.phase() != PhaseRolledBack || s.endedAt.Sub(s.orderAt) > testDuration {
					t.Errorf("seed %d: phase %v after %v: %s", seed, s.phase(), s.endedAt.Sub(s.orderAt), s.reason())
				}
				s.mustKeepExposure()
			}
		})
	}
}

// Guards against a good version that is rolled back because its instances are several times slower for some seconds after their
// start.
func TestColdStartIsNoFault(t *testing.T) {
	for seed := range uint64(5) {
		s := newSim(t, seed, 14, 600)
		s.order(testDuration, 14, func(s *sim, in *simInstance, route string) (time.Duration, bool) {
			took, failed := healthy(s, in, route)
			if s.now.Sub(in.started) < 3*time.Second {
				took *= 4
			}
			return took, failed
		})
		s.run(testDuration)
		if s.phase() != PhaseCompleted {
			t.Errorf("seed %d: phase %v: %s", seed, s.phase(), s.reason())
		}
	}
}

// Guards against good answers of a long time that hide the bad ones of a version that turns bad.
func TestVersionTurnsBadLate(t *testing.T) {
	for name, bad := range map[string]behaviour{"fails": failing(0.3), "slow": slow(0.5, 5)} {
		s := newSim(t, 21, 14, 600)
		s.order(4*time.Minute, 14, func(s *sim, in *simInstance, route string) (time.Duration, bool) {
			if s.now.Sub(s.orderAt) < 2*time.Minute {
				return healthy(s, in, route)
			}
			return bad(s, in, route)
		})
		s.run(150 * time.Second)
		if s.phase() != PhaseRolledBack {
			t.Errorf("%s: phase %v: %s", name, s.phase(), s.reason())
		}
		s.mustKeepExposure()
	}
}

// Guards against grants that hold for longer than a judgement may take to spread, or that come back with an old reply.
func TestGrantsLapse(t *testing.T) {
	now := time.Now()
	plan := Plan{Service: simService, Order: "a", Target: simNew, Revision: 1, Phase: PhaseTrial}
	local := NewLocal(&Local{Table: NewTable(true), Service: simService, GrantTime: time.Second, Version: func() (string, int64) { return simNew, 1 }})
	local.Table.SetKnown()
	local.Table.Merge(plan)
	if _, ok := local.Report("x"); !ok {
		t.Fatal("no report")
	}
	local.Apply(now, Reply{Able: true, Plan: plan, Decider: 1, Granted: 3})
	local.Apply(now.Add(-time.Minute), Reply{Able: true, Plan: plan, Decider: 1, Granted: 2})
	permit := local.Enter(now)
	if permit == nil {
		t.Fatal("a granted request is refused")
	}
	permit.Leave() // It was never sent, so that its grant is there again.
	for i, c := range []struct {
		at   time.Duration
		want bool
	}{{0, true}, {time.Second, true}, {1001 * time.Millisecond, false}, {time.Second, true}, {time.Second, false}} {
		permit := local.Enter(now.Add(c.at))
		permit.Sent()
		if (permit != nil) != c.want {
			t.Errorf("request %d after %v: taken %v, want %v", i, c.at, permit != nil, c.want)
		}
	}
	local.Apply(now, Reply{Able: true, Plan: Plan{Service: simService, Order: "old", Target: simNew, Phase: PhaseTrial}, Decider: 2, Granted: 9})
	if local.Enter(now) != nil {
		t.Error("grants of another order are used")
	}
}

// Guards against a version that a later order lets in: that of an earlier order that was not completed stays barred, also when only the
// store knows of it.
func TestBarredVersionsInTheStatus(t *testing.T) {
	order := Order{Service: simService, Target: "v3", Duration: time.Minute}
	for _, c := range []struct {
		phase Phase
		want  []string
	}{{PhaseTrial, []string{"v1", simNew}}, {PhaseRolledBack, []string{"v1", simNew}}, {PhaseCompleted, []string{"v1"}}} {
		o := Object{Name: simService, Created: "1", At: era.Position{Revision: 5}, Order: order, Status: &Status{Order: "earlier", Target: simNew, Phase: c.phase, Barred: []string{"v1", "v3"}}}
		if p := PlanOf(&o); !slices.Equal(p.Barred, c.want) || p.Phase != PhasePending {
			t.Errorf("after %v: barred %v in phase %v, want %v", c.phase, p.Barred, p.Phase, c.want)
		}
	}
}

// Guards against an order that is dropped, or a plan that is taken up again, because revisions of two eras of the store are compared.
func TestPlansOfTwoEras(t *testing.T) {
	now := time.Now()
	object := func(at era.Position, target string, phase Phase) *Object {
		o := &Object{Name: simService, Created: "1", At: at, Order: Order{Service: simService, Target: target, Duration: time.Minute}}
		o.Status = &Status{Order: o.ID(), Target: target, Phase: phase}
		return o
	}
	earlier, later := object(era.Position{Era: 1, Revision: 60}, "v2", PhaseCompleted), object(era.Position{Era: 2, Revision: 17}, "v3", PhasePending)
	for _, sequence := range [][]*Object{{earlier, later}, {later, earlier}, {earlier, later, earlier}} {
		table, decider := NewTable(true), NewDecider(simSettings, 1)
		for _, o := range sequence {
			table.Merge(PlanOf(o))
			decider.ObserveObject(now, *o)
		}
		if p := table.Get(simService); p.Order != later.ID() || p.at() != later.At {
			t.Errorf("after %d objects the plan is %+v, want that of version v3", len(sequence), p)
		}
		if !decider.Knows(simService, later.ID()) {
			t.Errorf("after %d objects the decider does not know the order of version v3", len(sequence))
		}
	}
}

// Guards against an order that is taken for an earlier equal one and not carried out: it is one only if the store has come back from a copy
// and the operator writes it again.
func TestEqualOrderIsANewOneWithoutARestore(t *testing.T) {
	object := func(at era.Position, created, target string, phase Phase) Plan {
		o := Object{Name: simService, Created: created, At: at, Order: Order{Service: simService, Target: target, Duration: time.Minute}}
		o.Status = &Status{Order: o.ID(), Target: target, Phase: phase}
		return PlanOf(&o)
	}
	ended, other := object(era.Position{Era: 1, Revision: 10}, "5", simNew, PhaseRolledBack), object(era.Position{Era: 1, Revision: 20}, "5", simOld, PhaseCompleted)
	for name, c := range map[string]struct {
		forget bool
		before []Plan
		again  Plan
		want   Phase
	}{
		"same era, after another order":     {before: []Plan{ended, other}, again: object(era.Position{Era: 1, Revision: 30}, "5", simNew, PhasePending), want: PhasePending},
		"same era, removed and given again": {before: []Plan{ended}, again: object(era.Position{Era: 1, Revision: 30}, "30", simNew, PhasePending), want: PhasePending},
		"written again after a restore":     {before: []Plan{ended}, again: object(era.Position{Era: 2, Revision: 8}, "8", simNew, PhasePending), want: PhaseRolledBack},
		"the same, after another order": {before: []Plan{object(era.Position{Era: 1, Revision: 5}, "5", simOld, PhaseCompleted), ended, object(era.Position{Era: 2, Revision: 7}, "5", simOld, PhaseTrial)},
			again: object(era.Position{Era: 2, Revision: 8}, "5", simNew, PhasePending), want: PhaseRolledBack},
		"long after a restore": {forget: true, before: []Plan{ended, object(era.Position{Era: 2, Revision: 7}, "5", simOld, PhaseCompleted)},
			again: object(era.Position{Era: 2, Revision: 80}, "5", simNew, PhasePending), want: PhasePending},
	} {
		t.Run(name, func(t *testing.T) {
			table := NewTable(true)
			for _, p := range c.before {
				table.Merge(p)
			}
			if c.forget {
				table.ForgetPast()
			}
			if table.Merge(c.again); table.Get(simService).Phase != c.want {
				t.Errorf("phase %v, want %v", table.Get(simService).Phase, c.want)
			}
		})
	}
}
