package idempotency

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
)

// doer is the part of a Guard that random schedules call.
type doer interface {
	Do(ctx context.Context, req Request, run func(context.Context) Result) Result
}

// callInput is the input of an operation in the history: one request.
type callInput struct{ key string }

// callOutput is the output of an operation in the history: the result of the request and whether it was run.
type callOutput struct {
	outcome Outcome
	answer  string
	// ran is set if the backend server ran this request; ranAnswer is its answer then.
	ran       bool
	ranAnswer string
}

// keyState is the state of one key in the porcupine model: whether it was run, and the answer of that run.
type keyState struct {
	ran    bool
	answer string
}

// atMostOnce accepts histories in which each key runs at most once, requests reported as not run were not run, and all
// answers are those of the run.
var atMostOnce = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := make(map[string][]porcupine.Operation)
		for _, o := range history {
			key := o.Input.(callInput).key
			byKey[key] = append(byKey[key], o)
		}
		return slices.Collect(maps.Values(byKey))
	},
	Init: func() any { return keyState{} },
	Step: func(state, _, output any) (bool, any) {
		s, o := state.(keyState), output.(callOutput)
		if o.ran {
			if s.ran || o.outcome == OutcomeNotRun {
				return false, s
			}
			s = keyState{ran: true, answer: o.ranAnswer}
		}
		return o.outcome != OutcomeAnswered || s.ran && s.answer == o.answer, s
	},
}

// Guards against a key that runs twice, a false report that a request was not run, and differing answers, under random
// schedules of joins, crashes, restarts, planned stops, partitions, lost messages, stale views, platform outages and
// repeated requests.
func TestAtMostOnceUnderRandomSchedules(t *testing.T) {
	counts := make(map[string]int)
	rapid.Check(t, func(t *rapid.T) {
		rapid.SyncTest(t, func(t *rapid.T) {
			m := runRandomSchedule(t, func(h *host) doer { return h.node })
			if !porcupine.CheckOperations(atMostOnce, m.history) {
				t.Fatalf("a key ran twice, a request reported as not run was run, or answers differ:\n%s", m.describe())
			}
			for _, o := range m.history {
				counts[o.Output.(callOutput).kind()]++
			}
		})
	})
	if counts["ran"] == 0 || counts["replayed"] == 0 {
		t.Errorf("the schedules must include requests that ran and replayed answers: %v", counts)
	}
	t.Log(counts)
}

// kind returns the class of the output for counting.
func (o callOutput) kind() string {
	switch {
	case o.ran:
		return "ran"
	case o.outcome == OutcomeAnswered:
		return "replayed"
	case o.outcome == OutcomeNotRun:
		return "not run"
	}
	return "unknown"
}

// describe returns the history as text, with times in milliseconds.
func (m *randomSimulation) describe() string {
	out := ""
	for _, o := range m.history {
		out += fmt.Sprintf("%d-%d key %s: %+v\n", o.Call/1e6%1e9, o.Return/1e6%1e9, o.Input.(callInput).key, o.Output)
	}
	return out
}

// naiveGuard keeps the record at the home only. With it, a key can run twice; see TestNaiveGuardIsRejected.
type naiveGuard struct{ h *host }

func (g naiveGuard) Do(ctx context.Context, req Request, run func(context.Context) Result) Result {
	n := g.h.node
	c := Claim{Key: NewKey(req.Service, req.Key), Claimant: g.h.identity(), Attempt: 1, Keep: req.Window}
	if in, ok := n.Home(req.Service, req.Key); !ok || in.ID != membership.InstanceID(c.Claimant.ID) {
		return notRun(metric.RefusedKeyNotHome)
	}
	done, started := n.beginAttempt(c.Key)
	if !started {
		return keyRunning()
	}
	defer n.endAttempt(c.Key, done)
	found := withTable(n, func(now time.Time, t *Table) Found { return t.Claim(now, c) })
	switch {
	case found.Status == ClaimConflict && found.State == StateDone && found.Answer != nil:
		return Result{Outcome: OutcomeAnswered, Answer: found.Answer, Replayed: true}
	case found.Status != ClaimGranted:
		return unknown(metric.RefusedOutcomeUnknown)
	}
	res := run(ctx)
	state := map[Outcome]State{OutcomeUnknown: StateUnknown, OutcomeAnswered: StateDone}[res.Outcome]
	withTable(n, func(now time.Time, t *Table) bool {
		if res.Outcome == OutcomeNotRun {
			return t.Withdraw(now, c)
		}
		return t.RecordOutcome(now, c, state, res.Answer)
	})
	return res
}

// Guards against a history check that accepts everything: it must reject the guard that keeps records at the home only.
func TestNaiveGuardIsRejected(t *testing.T) {
	rejected := 0
	rapid.Check(t, func(t *rapid.T) {
		rapid.SyncTest(t, func(t *rapid.T) {
			m := runRandomSchedule(t, func(h *host) doer { return naiveGuard{h} })
			if !porcupine.CheckOperations(atMostOnce, m.history) {
				rejected++
			}
		})
	})
	if rejected == 0 {
		t.Error("no schedule made the naive guard run a key twice")
	}
	t.Logf("%d schedules rejected", rejected)
}
