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

// longAgo is before every window, so that hosts that joined then are certain members.
const longAgo = -time.Hour

// scene is a world under virtual time whose hosts deliver outcomes.
type scene struct {
	*world
	t    *testing.T
	ctx  context.Context
	runs map[string]int
}

// play runs f in a bubble with hosts h0, h1, ... in the given zones.
func play(t *testing.T, zones []string, f func(s *scene)) {
	synctest.Test(t, func(t *testing.T) {
		s := &scene{world: newWorld(time.Now), t: t, runs: make(map[string]int)}
		s.ctx = context.WithValue(t.Context(), virtualTime{}, true)
		for i, z := range zones {
			s.start(fmt.Sprint("h", i), z, time.Now().Add(longAgo))
		}
		f(s)
	})
}

func (s *scene) start(id, zone string, joined time.Time) *host {
	h := s.join(id, zone, joined)
	if err := h.node.Start(s.ctx); err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = h.node.Stop(context.Background()) })
	return h
}

func (s *scene) send(h *host, key string) Result {
	return s.sendWith(h, key, 5*time.Second, func(context.Context) Result { return answered(key) })
}

func (s *scene) sendWith(h *host, key string, deadline time.Duration, run func(context.Context) Result) Result {
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

// home returns the host that h takes for the home of the key.
func (s *scene) home(h *host, key string) *host {
	in, ok := h.node.Home(testService, key)
	if !ok {
		s.t.Fatal("no home")
	}
	return s.hosts[string(in.ID)]
}

// pairOf returns the present home and second of a key.
func (s *scene) pairOf(key string) (home, second *host) {
	home = s.home(s.hosts["h0"], key)
	p := home.node.roster(testService, time.Minute).Plan(NewKey(testService, key))
	return home, s.hosts[string(p.roster.members[p.pairs[0].second].instance.ID)]
}

func (s *scene) want(res Result, outcome Outcome, reason metric.Refusal, runs int, key string) {
	s.t.Helper()
	if res.Outcome != outcome || res.Reason != reason || s.runs[key] != runs {
		s.t.Errorf("outcome %d reason %q after %d runs, want %d %q after %d", res.Outcome, res.Reason, s.runs[key],
			outcome, reason, runs)
	}
}

var fourZones = []string{"a", "b", "c", "d"}

// Guards against a resend that runs the work again instead of replaying the answer, at the home and after its crash.
func TestResendIsReplayed(t *testing.T) {
	play(t, fourZones, func(s *scene) {
		home, _ := s.pairOf("k")
		s.want(s.send(home, "k"), OutcomeAnswered, "", 1, "k")
		res := s.send(home, "k")
		s.want(res, OutcomeAnswered, "", 1, "k")
		if !res.Replayed || string(res.Answer.Body) != "k" {
			t.Errorf("replayed %v, body %q", res.Replayed, res.Answer.Body)
		}
		synctest.Wait()
		s.depart(home, false, time.Now())
		next := s.home(s.anyLive(), "k")
		s.want(s.send(next, "k"), OutcomeAnswered, "", 1, "k")
	})
}

func (s *scene) anyLive() *host {
	for _, id := range slices.Sorted(maps.Keys(s.hosts)) {
		if h := s.hosts[id]; !h.dead {
			return h
		}
	}
	s.t.Fatal("no live host")
	return nil
}
