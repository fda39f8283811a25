package rollout

import (
	"fmt"
	"testing"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
)

// Guards against a roll-out that stops, or a bad version that stays in use, when a decider fails at any point.
func TestDeciderFails(t *testing.T) {
	for name, answers := range map[string]behaviour{"good": healthy, "bad": failing(0.3)} {
		for _, at := range []time.Duration{0, time.Second, 2 * time.Second, 5 * time.Second, 12 * time.Second, 13 * time.Second, 14 * time.Second} {
			t.Run(name+" at "+at.String(), func(t *testing.T) {
				s := newSim(t, 3, 14, 600)
				s.order(testDuration, 14, answers)
				s.onStep = func() {
					if since := s.now.Sub(s.orderAt); since == at {
						s.deciders[0].down = true
					} else if since == at+3*time.Second {
						// The process starts again and knows nothing.
						s.deciders[0] = s.newDecider()
						s.deciders[1].down = true
					}
				}
				s.run(testDuration + 5*time.Second)
				s.mustEnd(map[string]Phase{"good": PhaseCompleted, "bad": PhaseRolledBack}[name])
				if name == "bad" {
					s.mustKeepExposure()
				}
			})
		}
	}
}

func (s *sim) mustEnd(want Phase) {
	s.t.Helper()
	ended := 0
	for _, p := range s.store.history {
		if p.Ended() {
			ended++
		}
	}
	if s.phase() != want || ended != 1 {
		s.t.Errorf("phase %v after %v (%s), want %v; history %v", s.phase(), s.endedAt.Sub(s.orderAt), s.reason(), want, s.store.history)
	}
	if s.strandedAtEnd > 0 {
		s.t.Errorf("%d requests were at the old version at the end", s.strandedAtEnd)
	}
}

// Guards against grants that add up to more than the bound when two nodes decide at the same time, each with a part of the
// reports.
func TestTwoDeciders(t *testing.T) {
	for name, answers := range map[string]behaviour{"good": healthy, "bad": failing(0.2)} {
		t.Run(name, func(t *testing.T) {
			s := newSim(t, 4, 14, 600)
			s.order(testDuration, 14, answers)
			s.onStep = func() {
				// The first decider loses the store again and again, so that reports go to both by turns.
				s.deciders[0].storeDown = s.now.Sub(s.orderAt)/(700*time.Millisecond)%2 == 1
			}
			s.run(testDuration + 5*time.Second)
			s.mustEnd(map[string]Phase{"good": PhaseCompleted, "bad": PhaseRolledBack}[name])
			if name == "bad" {
				s.mustKeepExposure()
			}
		})
	}
}

// Guards against requests to the new version while nobody decides.
func TestNoDecider(t *testing.T) {
	s := newSim(t, 5, 14, 600)
	s.order(testDuration, 14, failing(0.3))
	for _, d := range s.deciders {
		d.down = true
	}
	s.run(testDuration)
	if got := s.exposed(simNew); got > 0 || s.refused > 0 {
		t.Errorf("the new version got %d requests, %d were refused; want none", got, s.refused)
	}
}

// Guards against a bad version that stays in use while the store is down: the judgement spreads without it, and is written when
// it is back. A trial that is under way goes on with what was reserved, and no further.
func TestStoreDownDuringTrial(t *testing.T) {
	for name, answers := range map[string]behaviour{"bad": failing(0.3), "bad later": func(s *sim, in *simInstance, route string) (time.Duration, bool) {
		if s.now.Sub(s.orderAt) < 6*time.Second {
			return healthy(s, in, route)
		}
		return failing(0.5)(s, in, route)
	}} {
		t.Run(name, func(t *testing.T) {
			s := newSim(t, 6, 14, 600)
			s.order(testDuration, 14, answers)
			s.onStep = func() {
				since := s.now.Sub(s.orderAt)
				for _, d := range s.deciders {
					d.storeDown = since > 1500*time.Millisecond && since < 15*time.Second
				}
				for _, in := range s.instances {
					if since == 14*time.Second && name == "bad" && !in.local.Table.Get(simService).Halted {
						t.Errorf("node %s has not heard of the judgement", in.record.ID)
					}
				}
			}
			s.run(testDuration + 5*time.Second)
			s.mustEnd(PhaseRolledBack)
			s.mustKeepExposure()
		})
	}
}

// Guards against a roll-out that ends twice, or not at all, when answers of the store are lost, whether the write was done or not.
func TestAnswersOfTheStoreLost(t *testing.T) {
	for name, answers := range map[string]behaviour{"good": healthy, "bad": failing(0.3)} {
		for seed := range uint64(5) {
			s := newSim(t, seed, 14, 600)
			s.store.lose = func() bool { return s.rng.Float64() < 0.35 }
			s.order(testDuration, 14, answers)
			s.run(testDuration + 5*time.Second)
			s.mustEnd(map[string]Phase{"good": PhaseCompleted, "bad": PhaseRolledBack}[name])
			if name == "bad" {
				s.mustKeepExposure()
			}
		}
	}
}

// Guards against an exposure or an end that depends on each report arriving.
func TestReportsLost(t *testing.T) {
	for name, answers := range map[string]behaviour{"good": healthy, "bad": failing(0.3)} {
		s := newSim(t, 7, 14, 600)
		s.lossy = 0.2
		s.order(testDuration, 14, answers)
		s.run(testDuration + 5*time.Second)
		s.mustEnd(map[string]Phase{"good": PhaseCompleted, "bad": PhaseRolledBack}[name])
		if name == "bad" {
			s.mustKeepExposure()
		}
	}
}

// Guards against a bad version that is used on behind a cut: its node has grants, and hears neither of the judgement nor of the
// store.
func TestNewVersionBehindACut(t *testing.T) {
	s := newSim(t, 8, 14, 600)
	s.order(testDuration, 14, failing(0.3))
	s.onStep = func() {
		since := s.now.Sub(s.orderAt)
		for _, in := range s.instances {
			in.silent = in.record.Version == simNew && since > 1200*time.Millisecond && since < 12*time.Second
		}
	}
	s.run(testDuration + 5*time.Second)
	s.mustEnd(PhaseRolledBack)
	s.mustKeepExposure()
}

// Guards against a roll-out that waits for good for an old instance whose VM is gone, and against one that does not wait for an
// instance that is only slow.
func TestOldInstanceSilentOrBusy(t *testing.T) {
	t.Run("silent", func(t *testing.T) {
		s := newSim(t, 9, 14, 600)
		s.order(testDuration, 14, healthy)
		s.instances[0].silent = true
		s.run(testDuration + 5*time.Second)
		s.mustEnd(PhaseCompleted)
	})
	t.Run("busy", func(t *testing.T) {
		s := newSim(t, 10, 14, 600)
		s.instances[0].answers = func(s *sim, in *simInstance, route string) (time.Duration, bool) { return 2 * time.Second, false }
		s.order(testDuration, 14, healthy)
		s.run(testDuration + 5*time.Second)
		s.mustEnd(PhaseCompleted)
	})
}

// Guards against a decider that ends a trial for lack of answers because the reports go to another node by now, or have just begun to
// come. Seen over real listeners when the first watcher changed as the new instances started.
func TestReportsMoveToAnotherDecider(t *testing.T) {
	for _, at := range []time.Duration{time.Second, 10 * time.Second, 11500 * time.Millisecond, 14 * time.Second, 14900 * time.Millisecond} {
		s := newSim(t, 20, 14, 600)
		s.order(testDuration, 14, healthy)
		s.onStep = func() {
			if s.now.Sub(s.orderAt) == at {
				// The first decider goes on, but is the last one now.
				s.deciders = append(s.deciders[1:], s.deciders[0])
			}
		}
		s.run(testDuration + 2*time.Second)
		s.mustEnd(PhaseCompleted)
	}
}

// Guards against a version that comes back after its roll-back: with the order, after restarts of all nodes, and under a later order
// for another version.
func TestRolledBackVersionGetsNothingMore(t *testing.T) {
	s := newSim(t, 11, 14, 600)
	s.order(testDuration, 14, failing(0.4))
	s.run(testDuration)
	s.mustEnd(PhaseRolledBack)
	got := s.exposed(simNew)
	for _, in := range s.instances {
		s.restart(in)
	}
	for i := range s.deciders {
		s.deciders[i] = s.newDecider()
	}
	s.run(5 * time.Second)
	o := s.store.object
	o.Order.Target = "v3"
	s.store.put(o)
	s.spread()
	s.addInstance("third-0", "v3", healthy)
	s.addInstance("third-1", "v3", healthy)
	s.run(testDuration)
	if after := s.exposed(simNew); after != got {
		t.Errorf("the version got %d more requests", after-got)
	}
	if s.phase() != PhaseCompleted || s.store.object.Status.Target != "v3" {
		t.Errorf("the later order is %v: %s", s.phase(), s.reason())
	}
}

// Guards against the traffic of a version whose order was replaced: it was not found good.
func TestSecondOrderReplacesTheFirst(t *testing.T) {
	s := newSim(t, 12, 14, 600)
	s.order(testDuration, 14, failing(0.02))
	s.run(5 * time.Second)
	got := s.exposed(simNew)
	o := s.store.object
	o.Order.Target = "v3"
	s.store.put(o)
	s.spread()
	for _, id := range []string{"third-0", "third-1", "third-2"} {
		s.addInstance(id, "v3", healthy)
	}
	s.run(testDuration + 2*time.Second)
	if after := s.exposed(simNew); after > got {
		t.Errorf("the version of the first order got %d more requests", after-got)
	}
	if st := s.store.object.Status; st == nil || st.Target != "v3" || st.Phase != PhaseCompleted {
		t.Errorf("status %+v, want v3 completed", st)
	}
}

// Guards against an order without instances that ends well, or never.
func TestOrderForAVersionThatNobodyRuns(t *testing.T) {
	s := newSim(t, 13, 14, 600)
	s.order(testDuration, 0, nil)
	s.run(testDuration)
	s.mustEnd(PhaseRolledBack)
	if s.refused > 0 {
		t.Errorf("%d requests were refused", s.refused)
	}
}

// Guards against a trial without an old version: an order for what already runs is carried out.
func TestOrderForTheVersionThatAllRun(t *testing.T) {
	s := newSim(t, 14, 0, 600)
	for i := range 5 {
		s.addInstance(string(rune('a'+i)), simNew, healthy)
	}
	s.order(testDuration, 0, nil)
	s.run(testDuration)
	s.mustEnd(PhaseCompleted)
	if s.endedAt.Sub(s.orderAt) > 5*time.Second {
		t.Errorf("ended after %v", s.endedAt.Sub(s.orderAt))
	}
}

// Guards against traffic at an unjudged version after its order was removed, and against nodes that keep the old version from
// its traffic then.
func TestWithdrawnOrder(t *testing.T) {
	s := newSim(t, 15, 14, 600)
	s.order(testDuration, 14, healthy)
	s.run(5 * time.Second)
	s.store.exists = false
	removed := s.store.object
	removed.Removed = true
	for _, d := range s.deciders {
		d.decider.ObserveObject(s.now, removed)
		d.table.Withdraw(simService)
	}
	s.spread()
	got := s.exposed(simNew)
	s.run(testDuration)
	if after := s.exposed(simNew); after != got || s.refused > 0 {
		t.Errorf("the version got %d more requests, %d were refused", after-got, s.refused)
	}
}

// Guards against a completed order without evidence.
func TestTooFewRequests(t *testing.T) {
	s := newSim(t, 16, 4, 20)
	s.perStep = 0
	s.order(testDuration, 4, healthy)
	s.onStep = func() {
		if s.now.UnixMilli()%1000 == 0 {
			s.request("lookup")
		}
	}
	s.run(testDuration)
	s.mustEnd(PhaseRolledBack)
}

// Guards against a good version that is rolled back because the old one is sick, as when both call a service that fails.
func TestOldVersionIsSick(t *testing.T) {
	for name, answers := range map[string]behaviour{"new well": healthy, "new as sick": failing(0.3)} {
		t.Run(name, func(t *testing.T) {
			s := newSim(t, 17, 14, 600)
			for _, in := range s.instances {
				in.answers = failing(0.3)
			}
			s.order(testDuration, 14, answers)
			s.run(testDuration + time.Second)
			s.mustEnd(PhaseCompleted)
		})
	}
}

// Guards against a roll-back after the shift, when only the new version answers and shares a fault that the old one had.
func TestSharedFaultAfterTheShift(t *testing.T) {
	s := newSim(t, 19, 14, 600)
	for _, in := range s.instances {
		in.answers = failing(0.3)
	}
	s.order(time.Minute, 14, failing(0.3))
	s.instances[0].silent = true // The order stays in closing until little time is left.
	s.run(62 * time.Second)
	s.mustEnd(PhaseCompleted)
	if s.endedAt.Sub(s.orderAt) < 50*time.Second {
		t.Errorf("ended after %v", s.endedAt.Sub(s.orderAt))
	}
}

// Guards against a fault under load that the trial does not show because there are fewer new instances, which have more to do after
// the shift.
func TestFewerNewInstancesUnderLoad(t *testing.T) {
	for seed := range uint64(5) {
		s := newSim(t, seed, 14, 600)
		s.order(testDuration, 7, func(s *sim, in *simInstance, route string) (time.Duration, bool) {
			took, _ := healthy(s, in, route)
			return took, len(in.running) >= 4 && s.rng.Float64() < 0.6
		})
		s.run(testDuration + 2*time.Second)
		s.mustEnd(PhaseRolledBack)
		s.mustKeepExposure()
	}
}

// Guards against a good version that is rolled back because one of its instances is sick.
func TestOneInstanceIsSick(t *testing.T) {
	s := newSim(t, 18, 38, 1600)
	s.order(30*time.Second, 38, healthy)
	for _, in := range s.instances {
		if in.record.ID == "new-1" {
			in.answers = failing(0.3)
		}
	}
	s.run(32 * time.Second)
	if s.phase() != PhaseCompleted {
		t.Errorf("phase %v: %s", s.phase(), s.reason())
	}
}

// Guards against requests at a node that does not know yet whether there is an order, and against a node that never serves when
// nobody can tell.
func TestNodeThatKnowsNoOrders(t *testing.T) {
	now := time.Now()
	local := NewLocal(&Local{Table: NewTable(true), Service: simService, GrantTime: time.Second, Version: func() (string, int64) { return simNew, 1 }})
	if local.Enter(now) != nil {
		t.Error("a node that knows no orders takes a request")
	}
	if local.Enter(now.Add(failOpenAfter)) == nil {
		t.Error("a node takes no requests for good")
	}
	local.Table.SetKnown()
	if local.Enter(now) == nil {
		t.Error("without an order, a request is refused")
	}
	if NewLocal(&Local{Table: NewTable(false), Service: simService, Version: local.Version}).Enter(now) == nil {
		t.Error("without roll-outs, a request is refused")
	}
}

// Guards against a change where nothing is ordered: an instance of a version that nobody has ordered gets requests like any
// other, and one that starts after an order was completed too.
func TestUnorderedVersions(t *testing.T) {
	var none Plan
	if none.Admits("v9", 5) != AdmitAll {
		t.Error("without an order, a version is limited")
	}
	if prefer, fallback := NewTable(true).Choose(simService, false); prefer != nil || fallback != nil {
		t.Error("without an order, the choice is limited")
	}
	done := Plan{Service: simService, Order: "a", Target: simNew, Phase: PhaseCompleted, DecidedMillis: 100}
	prefer, _ := done.Choose(0, 0, false)
	for _, c := range []struct {
		version string
		started int64
		want    bool
	}{{simNew, 1, true}, {simOld, 1, false}, {"v9", 101, true}} {
		if got := prefer(&membership.Instance{Version: c.version, BackendStarted: c.started}); got != c.want {
			t.Errorf("version %s started at %d: %v, want %v", c.version, c.started, got, c.want)
		}
	}
}

// Guards against an order whose progress is taken back, judged or counted again, or ended in another way, since the store has come back
// from a copy that lacks the last writes of its status; also if the deciders that knew them have ended with the restore.
func TestProgressOutlastsARestore(t *testing.T) {
	const lost = 4 * time.Second
	for name, answers := range map[string]behaviour{"good": healthy, "bad": failing(0.3)} {
		for _, deciders := range []string{"go on", "are new"} {
			for at := lost; at <= testDuration; at += time.Second {
				t.Run(fmt.Sprintf("%s, deciders %s, at %v", name, deciders, at), func(t *testing.T) {
					s := newSim(t, uint64(at/time.Second), 14, 600)
					s.store.era = 1
					s.order(testDuration, 14, answers)
					var before simStore
					var end Phase
					s.onStep = func() {
						switch s.now.Sub(s.orderAt) {
						case at - lost:
							before = s.store.copy()
						case at:
							s.store.restore(before)
							if deciders == "are new" {
								for i := range s.deciders {
									s.deciders[i] = s.newDecider()
									s.deciders[i].table.Merge(s.instances[i].local.Table.All()...) // As with the first pull.
								}
							}
						}
						plan := s.instances[0].local.Table.Get(simService)
						if end != PhasePending && plan.Phase != end {
							t.Errorf("the plan went from %v to %v", end, plan.Phase)
						}
						if plan.Phase.Ended() {
							end = plan.Phase
						}
					}
					s.run(testDuration + 5*time.Second)
					want := map[string]Phase{"good": PhaseCompleted, "bad": PhaseRolledBack}[name]
					if s.phase() != want || end != want {
						t.Errorf("the store holds phase %v (%s) and the nodes follow %v, want %v", s.phase(), s.reason(), end, want)
					}
					for _, p := range s.store.history {
						if p.Ended() && p != want {
							t.Errorf("history %v", s.store.history)
						}
					}
					if name == "bad" {
						s.mustKeepExposure()
					}
					if s.refused > 0 {
						t.Errorf("%d requests found no instance", s.refused)
					}
				})
			}
		}
	}
}

// Guards against an order that begins anew, so that a bad version gets its share again or a completed one no requests, since the operator
// has written it again after a restore: the object has another time of creation if it is younger than the copy, and holds an earlier
// order until then if that is older.
func TestOrderIsWrittenAgainAfterARestore(t *testing.T) {
	for name, answers := range map[string]behaviour{"good": healthy, "bad": failing(0.3)} {
		for _, held := range []string{"nothing", "an earlier order, completed", "an earlier order, running"} {
			for at := 3 * time.Second; at <= testDuration+time.Second; at += 3 * time.Second {
				t.Run(fmt.Sprintf("%s, copy holds %s, at %v", name, held, at), func(t *testing.T) {
					s := newSim(t, uint64(at/time.Second), 14, 600)
					s.store.era = 1
					if held != "nothing" {
						earlier := Object{Name: simService, Created: "1", Order: Order{Service: simService, Target: simOld, Duration: time.Minute}}
						earlier.Status = &Status{Order: earlier.ID(), Target: simOld, Phase: PhaseTrial, Granted: 30}
						s.store.put(earlier)
					}
					before := s.store.copy()
					if held != "nothing" {
						completed := s.store.object
						completed.Status = &Status{Order: completed.ID(), Target: simOld, Phase: PhaseCompleted, DecidedMillis: s.now.Add(-time.Minute).UnixMilli()}
						s.store.put(completed)
						if held == "an earlier order, completed" {
							before = s.store.copy()
						}
						s.spread()
					}
					s.order(testDuration, 14, answers)
					order := s.store.object
					order.Status = nil
					var end Phase
					s.onStep = func() {
						switch s.now.Sub(s.orderAt) {
						case at:
							s.store.restore(before)
						case at + time.Second:
							again := order
							again.Status = s.store.object.Status
							if held == "nothing" {
								again.Created = "2"
							}
							s.store.put(again)
						}
						plan := s.instances[0].local.Table.Get(simService)
						if plan.Target == simNew && plan.Phase.Ended() {
							if end != PhasePending && plan.Phase != end {
								t.Errorf("the plan went from %v to %v", end, plan.Phase)
							}
							end = plan.Phase
						} else if plan.Target == simNew && end != PhasePending {
							t.Errorf("the plan went from %v to %v", end, plan.Phase)
							end = PhasePending
						}
					}
					s.run(testDuration + 10*time.Second)
					want := map[string]Phase{"good": PhaseCompleted, "bad": PhaseRolledBack}[name]
					if s.phase() != want || end != want {
						t.Errorf("the store holds phase %v (%s) and the nodes follow %v, want %v", s.phase(), s.reason(), end, want)
					}
					if name == "bad" {
						s.mustKeepExposure()
					}
					if s.refused > 0 {
						t.Errorf("%d requests found no instance", s.refused)
					}
				})
			}
		}
	}
}
