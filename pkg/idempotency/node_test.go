package idempotency

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
)

// longAgo is an offset from now to a time before every window. The presence of hosts that joined then is certain.
const longAgo = -time.Hour

// scenario is a simulation under virtual time whose hosts are started and which counts the runs of each key.
type scenario struct {
	*simulation
	t    *testing.T
	ctx  context.Context
	runs map[string]int
}

// runScenario runs f in a synctest bubble with hosts h0, h1, ... in the given zones.
func runScenario(t *testing.T, zones []string, f func(s *scenario)) {
	synctest.Test(t, func(t *testing.T) {
		s := &scenario{simulation: newSimulation(time.Now), t: t, runs: make(map[string]int)}
		s.ctx = context.WithValue(t.Context(), virtualTimeKey{}, true)
		for i, z := range zones {
			s.start(fmt.Sprint("h", i), z, time.Now().Add(longAgo))
		}
		f(s)
	})
}

// start adds a host that has been a member since joined, and starts its node.
func (s *scenario) start(id, zone string, joined time.Time) *host {
	h := s.join(id, zone, joined)
	if err := h.node.Start(s.ctx); err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = h.node.Stop(context.Background()) })
	return h
}

// send sends a request to a host. The backend server answers with the key.
func (s *scenario) send(h *host, key string) Result {
	return s.sendWith(h, key, 5*time.Second, func(context.Context) Result { return answered(key) })
}

// sendWith sends a request to a host with the given deadline. run is the backend server; its calls are counted.
func (s *scenario) sendWith(h *host, key string, deadline time.Duration, run func(context.Context) Result) Result {
	ctx, cancel := context.WithTimeout(s.ctx, deadline)
	defer cancel()
	return h.node.Do(ctx, request(key), func(ctx context.Context) Result {
		s.mu.Lock()
		s.runs[key]++
		s.mu.Unlock()
		return run(ctx)
	})
}

func request(key string) Request {
	return Request{Service: testService, Key: key, Window: 10 * time.Minute}
}

func answered(body string) Result {
	return Result{Outcome: OutcomeAnswered, Answer: &Answer{Status: 200, Body: []byte(body)}}
}

// home returns the home of the key in h's view.
func (s *scenario) home(h *host, key string) *host {
	in, ok := h.node.Home(testService, key)
	if !ok {
		s.t.Fatal("no instance is the home of the key in the host's view")
	}
	return s.hosts[string(in.ID)]
}

// pairOf returns the current home and second holder of a key.
func (s *scenario) pairOf(key string) (home, second *host) {
	home = s.home(s.hosts["h0"], key)
	p := home.node.membershipHistory(testService, time.Minute).Plan(NewKey(testService, key))
	return home, s.hosts[string(p.history.members[p.pairs[0].second].instance.ID)]
}

// wantResult checks a result and the number of times that the key was run.
func (s *scenario) wantResult(res Result, outcome Outcome, reason metric.Refusal, runs int, key string) {
	s.t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	if res.Outcome != outcome || res.Reason != reason || s.runs[key] != runs {
		s.t.Errorf("outcome %d reason %q after %d runs, want %d %q after %d", res.Outcome, res.Reason, s.runs[key],
			outcome, reason, runs)
	}
}

var fourZones = []string{"a", "b", "c", "d"}

// Guards against a repeated request that runs again instead of replaying the answer, at the home and, after the home
// crashed, at the next home.
func TestResendIsReplayed(t *testing.T) {
	runScenario(t, fourZones, func(s *scenario) {
		home, _ := s.pairOf("k")
		s.wantResult(s.send(home, "k"), OutcomeAnswered, "", 1, "k")
		res := s.send(home, "k")
		s.wantResult(res, OutcomeAnswered, "", 1, "k")
		if !res.Replayed || string(res.Answer.Body) != "k" {
			t.Errorf("replayed %v, body %q, want the replayed answer k", res.Replayed, res.Answer.Body)
		}
		synctest.Wait()
		s.depart(home, false, time.Now())
		next := s.home(s.anyLive(), "k")
		s.wantResult(s.send(next, "k"), OutcomeAnswered, "", 1, "k")
	})
}

func (s *scenario) anyLive() *host {
	for _, id := range slices.Sorted(maps.Keys(s.hosts)) {
		if h := s.hosts[id]; !h.dead {
			return h
		}
	}
	s.t.Fatal("no live host")
	return nil
}

// Guards against a stored answer for a request with another body, against accepting keys of another service or with too
// long a window, and against refusals with the wrong reason.
func TestRefusalsOfKeys(t *testing.T) {
	runScenario(t, fourZones, func(s *scenario) {
		home, _ := s.pairOf("k")
		s.send(home, "k")
		req := request("k")
		req.Digest[0] = 1
		run := func(context.Context) Result { t.Error("a request that must be refused was run"); return Result{} }
		s.wantResult(home.node.Do(s.ctx, req, run), OutcomeNotRun, metric.RefusedKeyMismatch, 1, "k")
		req.Service = "other"
		s.wantResult(home.node.Do(s.ctx, req, run), OutcomeNotRun, metric.RefusedWrongService, 1, "k")
		req = request("k")
		req.Window = time.Hour
		s.wantResult(home.node.Do(s.ctx, req, run), OutcomeNotRun, metric.RefusedMalformed, 1, "k")
		home.node.table.maxRecords = 1
		s.wantResult(s.send(home, s.keyWithHome(home)), OutcomeNotRun, metric.RefusedKeyCapacity, 0, "x")
	})
}

// Guards against cancelling a run because its caller disconnected, and against running a repeated request at the same
// time.
func TestResendWaitsForTheFirstRun(t *testing.T) {
	runScenario(t, fourZones, func(s *scenario) {
		home, _ := s.pairOf("k")
		ctx, leave := context.WithCancel(s.ctx)
		first := make(chan Result)
		go func() {
			first <- home.node.Do(ctx, request("k"), func(ctx context.Context) Result {
				time.Sleep(time.Second)
				s.mu.Lock()
				s.runs["k"]++
				s.mu.Unlock()
				if ctx.Err() != nil {
					t.Error("the run was cancelled")
				}
				return answered("k")
			})
		}()
		synctest.Wait()
		leave()
		s.wantResult(s.sendWith(home, "k", 500*time.Millisecond, nil), OutcomeUnknown, metric.RefusedKeyRunning, 0, "k")
		s.wantResult(s.send(home, "k"), OutcomeAnswered, "", 1, "k")
		s.wantResult(<-first, OutcomeAnswered, "", 1, "k")
	})
}

// Guards against confusing outcomes: a request that the backend server shed frees the key, a run with a broken answer
// or a panic does not, and an answer too large to keep is not replayed in part.
func TestOutcomesOfRuns(t *testing.T) {
	runScenario(t, fourZones, func(s *scenario) {
		home, second := s.pairOf("k")
		shed := func(context.Context) Result { return notRun(metric.RefusedBackendShed) }
		s.wantResult(s.sendWith(home, "k", time.Second, shed), OutcomeNotRun, metric.RefusedBackendShed, 1, "k")
		synctest.Wait()
		if second.node.table.Len() != 0 {
			t.Error("the second holder kept the claim of a request that was not run")
		}
		large := func(context.Context) Result { return answered(string(make([]byte, MaxAnswerBytes+1))) }
		s.wantResult(s.sendWith(home, "k", time.Second, large), OutcomeAnswered, "", 2, "k")
		s.wantResult(s.send(home, "k"), OutcomeUnknown, metric.RefusedAnswerNotKept, 2, "k")
		key := s.keyWithHome(home) + "#"
		for i := 0; s.home(home, key) != home; i++ {
			key = fmt.Sprint("broken-", i)
		}
		broken := func(context.Context) Result { return unknown(metric.RefusedAnswerBroken) }
		s.wantResult(s.sendWith(home, key, time.Second, broken), OutcomeUnknown, metric.RefusedAnswerBroken, 1, key)
		s.wantResult(s.send(home, key), OutcomeUnknown, metric.RefusedOutcomeUnknown, 1, key)
		key = s.keyWithHome(home)
		func() {
			defer func() { _ = recover() }()
			s.sendWith(home, key, time.Second, func(context.Context) Result { panic("backend") })
		}()
		s.wantResult(s.send(home, key), OutcomeUnknown, metric.RefusedOutcomeUnknown, 1, key)
	})
}
