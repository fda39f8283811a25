package idempotency

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
)

// delayChangesOf makes all hosts but the instance itself learn of the instance's changes only after lag.
func (s *scenario) delayChangesOf(id string, lag time.Duration) {
	s.learnDelay = func(_ *host, c change) time.Duration {
		if string(c.instance.ID) == id {
			return lag
		}
		return 0
	}
}

// setFault sets the faults of calls by their method.
func (s *scenario) setFault(f func(method string) (lostRequest, lostReply bool, delay time.Duration)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = func(_ *host, _, method string) (bool, bool, time.Duration) { return f(method) }
}

// keyWithHome returns a key whose home is h in h's own view.
func (s *scenario) keyWithHome(h *host) string {
	for i := range 10_000 {
		key := fmt.Sprint("key-", i)
		if s.home(h, key) == h {
			return key
		}
	}
	s.t.Fatal("no key has this host as its home")
	return ""
}

// keyWithPair returns a key with the given home and second holder.
func (s *scenario) keyWithPair(home, second *host) string {
	for i := range 10_000 {
		key := fmt.Sprint("key-", i)
		if h, other := s.pairOf(key); h == home && other == second {
			return key
		}
	}
	s.t.Fatal("no key has this home and second holder")
	return ""
}

// Guards against a key that runs twice, or never, when two hosts take themselves for its home and claim it at the same
// moment.
func TestTwoHomesClaimAtOnce(t *testing.T) {
	runScenario(t, fourZones, func(s *scenario) {
		s.setFault(func(string) (bool, bool, time.Duration) { return false, false, 10 * time.Millisecond })
		s.delayChangesOf("new", 20*time.Second)
		joined := s.start("new", "a", time.Now())
		time.Sleep(5 * time.Second)
		for i := range 100 {
			key := fmt.Sprint(i)
			old := s.home(s.hosts["h0"], key)
			if s.home(joined, key) != joined {
				continue
			}
			var both sync.WaitGroup
			for _, h := range []*host{joined, old} {
				both.Go(func() { s.wantResult(s.send(h, key), OutcomeAnswered, "", 1, key) })
			}
			both.Wait()
		}
	})
}

// Guards against treating a claim whose reply was lost as granted, and against leaving the key blocked by it.
func TestClaimReplyLost(t *testing.T) {
	runScenario(t, fourZones, func(s *scenario) {
		home, second := s.pairOf("k")
		s.setFault(func(method string) (bool, bool, time.Duration) { return false, method == methodClaim, 0 })
		s.store.setDown(true)
		s.wantResult(s.send(home, "k"), OutcomeNotRun, metric.RefusedKeyClaimUnavailable, 0, "k")
		synctest.Wait()
		if f := withTable(second.node, func(now time.Time, t *Table) Found { return t.Read(now, NewKey(testService, "k")) }); f.Status != ClaimNone {
			t.Errorf("the second holder kept the claim that was withdrawn: got %+v, want none", f)
		}
		s.store.setDown(false)
		s.wantResult(s.send(home, "k"), OutcomeAnswered, "", 1, "k")
		if s.store.count() != 1 {
			t.Errorf("%d claims on the platform, want 1", s.store.count())
		}
	})
}

// Guards against a run by a claimant that was suspended after its claims were granted, when holders may have dropped
// them already.
func TestPausedClaimantDoesNotRun(t *testing.T) {
	runScenario(t, fourZones, func(s *scenario) {
		home, _ := s.pairOf("k")
		home.node.opts.ClaimTimeout = time.Minute
		s.setFault(func(string) (bool, bool, time.Duration) {
			return false, false, DefaultMaxMembershipLag + time.Second
		})
		res := s.sendWith(home, "k", time.Hour, func(context.Context) Result { return answered("") })
		s.wantResult(res, OutcomeNotRun, metric.RefusedDeadline, 0, "k")
		s.setFault(func(string) (bool, bool, time.Duration) { return false, false, 6 * time.Second })
		s.wantResult(s.send(home, "k"), OutcomeNotRun, metric.RefusedDeadline, 0, "k")
	})
}

// Guards against a claim granted by a holder that is stopping and has already handed over its records.
func TestStoppingHolderDoesNotGrant(t *testing.T) {
	runScenario(t, fourZones, func(s *scenario) {
		home, second := s.pairOf("k")
		if err := second.node.HandOver(s.ctx); err != nil {
			t.Fatal(err)
		}
		s.store.setDown(true)
		s.wantResult(s.send(home, "k"), OutcomeNotRun, metric.RefusedKeyClaimUnavailable, 0, "k")
		s.store.setDown(false)
		s.wantResult(s.send(home, "k"), OutcomeAnswered, "", 1, "k")
		s.wantResult(s.send(second, "k"), OutcomeNotRun, metric.RefusedDraining, 1, "k")
	})
}

// Guards against a second run when several instances join, crash and stop at once and nodes learn of it in different
// orders.
func TestManyChangesAtOnce(t *testing.T) {
	runScenario(t, []string{"a", "b", "c", "d", "a", "b"}, func(s *scenario) {
		const keys = 100
		sendAll := func() {
			for i := range keys {
				key := fmt.Sprint(i)
				for _, h := range s.hosts {
					if !h.dead && s.home(h, key) == h {
						s.send(h, key)
					}
				}
			}
		}
		sendAll()
		s.learnDelay = func(h *host, c change) time.Duration {
			return time.Duration((uint64(len(h.self.ID))+h.self.Incarnation*7+c.instance.Incarnation*5)%13) * 2 * time.Second
		}
		if err := s.hosts["h1"].node.HandOver(s.ctx); err != nil {
			t.Fatal(err)
		}
		s.depart(s.hosts["h1"], true, time.Now())
		s.depart(s.hosts["h4"], false, time.Now())
		for i := range 3 {
			s.start(fmt.Sprint("n", i), fourZones[i], time.Now())
		}
		for range 10 {
			time.Sleep(4 * time.Second)
			sendAll()
		}
		for i := range keys {
			if n := s.runs[fmt.Sprint(i)]; n != 1 {
				t.Errorf("key %d ran %d times, want 1", i, n)
			}
		}
	})
}

// Guards against a key that runs on both sides of a partition. Each side needs the claim on the platform, and only one
// gets it. Once its membership is stale, the side that cannot reach most zones must refuse to run, since it no longer
// learns of new instances.
func TestPartition(t *testing.T) {
	runScenario(t, []string{"a", "a", "b", "b"}, func(s *scenario) {
		s.partitionSide["b"] = 1
		cut := time.Now()
		s.hosts["h2"].minoritySince, s.hosts["h3"].minoritySince = cut, cut
		s.notify()
		for i := range 50 {
			key := fmt.Sprint(i)
			one, other := s.home(s.hosts["h0"], key), s.home(s.hosts["h2"], key)
			if one.zone == other.zone {
				t.Fatal("the homes on both sides are in the same zone")
			}
			first, second := s.sendOnSide(one, key), s.sendOnSide(other, key)
			s.wantResult(first, OutcomeAnswered, "", 1, key)
			if second.Outcome == OutcomeAnswered {
				t.Errorf("key %s was answered on both sides", key)
			}
			time.Sleep(200 * time.Millisecond)
		}
		s.wantResult(s.sendOnSide(s.home(s.hosts["h2"], "late"), "late"), OutcomeNotRun, metric.RefusedNotReady, 0, "late")
	})
}

// sendOnSide sends with the platform on the host's side of the partition. The deadline is short, so that the host's
// membership does not become stale while it waits.
func (s *scenario) sendOnSide(h *host, key string) Result {
	s.partitionSide["platform"] = s.partitionSide[h.zone]
	return s.sendWith(h, key, 50*time.Millisecond+DefaultClaimTimeout, func(context.Context) Result { return answered(key) })
}

// Guards against counting a holder that restarted under the same name as the incarnation that held the records, before
// others have learned of the restart.
func TestFastRestartUnderTheSameName(t *testing.T) {
	runScenario(t, fourZones, func(s *scenario) {
		home, second := s.pairOf("k")
		neverSent := s.keyWithPair(home, second)
		s.wantResult(s.send(home, "k"), OutcomeAnswered, "", 1, "k")
		synctest.Wait()
		s.delayChangesOf(string(second.self.ID), 20*time.Second)
		s.restart(second)
		restarted := s.restart(home)
		time.Sleep(DefaultSettlingTime)
		// The restarted home still knows the old incarnation of the second holder; the new one replies but has no records.
		s.wantResult(s.send(restarted, "k"), OutcomeNotRun, metric.RefusedKeyClaimUnavailable, 1, "k")
		time.Sleep(30 * time.Second)
		s.wantResult(s.send(restarted, "k"), OutcomeUnknown, metric.RefusedOutcomeUnknown, 1, "k")
		s.wantResult(s.send(restarted, neverSent), OutcomeUnknown, metric.RefusedOutcomeUnknown, 0, neverSent)
		time.Sleep(12 * time.Minute)
		s.wantResult(s.send(restarted, "k"), OutcomeAnswered, "", 2, "k")
	})
}

// restart crashes a host and starts it again at once with a new incarnation.
func (s *scenario) restart(h *host) *host {
	now := time.Now()
	s.depart(h, false, now)
	return s.start(string(h.self.ID), h.zone, now)
}

// Guards against losing a record when the home restarts again and again.
func TestFlappingInstance(t *testing.T) {
	runScenario(t, fourZones, func(s *scenario) {
		home, _ := s.pairOf("k")
		s.wantResult(s.send(home, "k"), OutcomeAnswered, "", 1, "k")
		for range 6 {
			synctest.Wait()
			home = s.restart(home)
			time.Sleep(4 * time.Second)
			s.wantResult(s.send(home, "k"), OutcomeAnswered, "", 1, "k")
		}
	})
}

// Guards against a second run when the second holder restarts between claim and outcome and the home restarts after it.
func TestHolderRestartsBetweenClaimAndOutcome(t *testing.T) {
	runScenario(t, fourZones, func(s *scenario) {
		home, second := s.pairOf("k")
		res := s.sendWith(home, "k", time.Second, func(context.Context) Result {
			s.restart(second)
			return answered("k")
		})
		s.wantResult(res, OutcomeAnswered, "", 1, "k")
		synctest.Wait()
		next := s.restart(home)
		time.Sleep(DefaultSettlingTime)
		s.wantResult(s.send(next, "k"), OutcomeUnknown, metric.RefusedOutcomeUnknown, 1, "k")
	})
}

// Guards against a second run, and against waiting for an outcome, after the home crashed during the first run.
func TestCrashedRunIsUnknown(t *testing.T) {
	runScenario(t, fourZones, func(s *scenario) {
		home, _ := s.pairOf("k")
		s.sendWith(home, "k", time.Second, func(context.Context) Result {
			s.depart(home, false, time.Now())
			return answered("k")
		})
		s.wantResult(s.send(s.home(s.anyLive(), "k"), "k"), OutcomeUnknown, metric.RefusedOutcomeUnknown, 1, "k")
	})
}

// Guards against a run by a node that was marked as departed while it claimed and has a new incarnation since then.
func TestNewIncarnationDoesNotRunOldClaims(t *testing.T) {
	runScenario(t, fourZones, func(s *scenario) {
		home, _ := s.pairOf("k")
		s.setFault(func(method string) (bool, bool, time.Duration) {
			if method == methodClaim {
				home.self.Incarnation += 100
			}
			return false, false, 0
		})
		s.wantResult(s.send(home, "k"), OutcomeNotRun, metric.RefusedKeyClaimUnavailable, 0, "k")
	})
}

// Guards against losing records when the home and the second holder stop together and hand over to each other.
func TestHandOverToDrainingNode(t *testing.T) {
	runScenario(t, []string{"a", "b", "c", "d", "a"}, func(s *scenario) {
		home, second := s.pairOf("k")
		s.wantResult(s.send(home, "k"), OutcomeAnswered, "", 1, "k")
		synctest.Wait()
		var leaving sync.WaitGroup
		for _, h := range []*host{home, second} {
			leaving.Go(func() { s.depart(h, h.node.HandOver(s.ctx) == nil, time.Now()) })
		}
		leaving.Wait()
		for range 10 {
			res := s.send(s.home(s.anyLive(), "k"), "k")
			s.wantResult(res, OutcomeAnswered, "", 1, "k")
			time.Sleep(time.Minute)
		}
	})
}

// Guards against losing records or refusing keys in a rolling restart of a whole service, and against depending on the
// platform for it.
func TestRollingRestart(t *testing.T) {
	runScenario(t, fourZones, func(s *scenario) {
		for i := range 50 {
			s.send(s.home(s.hosts["h0"], fmt.Sprint(i)), fmt.Sprint(i))
		}
		s.store.setDown(true)
		for i := range fourZones {
			synctest.Wait()
			h := s.hosts[fmt.Sprint("h", i)]
			if err := h.node.HandOver(s.ctx); err != nil {
				t.Fatal(err)
			}
			s.depart(h, true, time.Now())
			s.start(string(h.self.ID), h.zone, time.Now())
			time.Sleep(time.Minute)
		}
		for i := range 100 {
			key := fmt.Sprint(i)
			s.wantResult(s.send(s.home(s.hosts["h0"], key), key), OutcomeAnswered, "", 1, key)
		}
	})
}

// Guards against reporting a complete hand-over although no holder accepted the records.
func TestHandOverIncomplete(t *testing.T) {
	runScenario(t, []string{"a", "b"}, func(s *scenario) {
		home, second := s.pairOf("k")
		s.send(home, "k")
		synctest.Wait()
		second.isolatedSince = time.Now()
		if err := home.node.HandOver(s.ctx); err == nil || !strings.Contains(err.Error(), "1 of 1 records") {
			t.Errorf("hand-over to a holder out of reach: got error %v, want one that counts 1 of 1 records", err)
		}
	})
}

// Guards against running a key at a node that is not its home, at a node that has just joined, and in a service whose
// members are too new to be known everywhere.
func TestNotHomeOrTooNew(t *testing.T) {
	runScenario(t, nil, func(s *scenario) {
		h := s.start("h0", "a", time.Now())
		s.start("h1", "b", time.Now())
		key := s.keyWithHome(h)
		s.wantResult(s.send(h, key), OutcomeNotRun, metric.RefusedNotReady, 0, key)
		time.Sleep(DefaultSettlingTime)
		s.wantResult(s.send(h, key), OutcomeNotRun, metric.RefusedKeyClaimUnavailable, 0, key)
		s.wantResult(s.send(s.hosts["h1"], key), OutcomeNotRun, metric.RefusedKeyNotHome, 0, key)
		time.Sleep(DefaultMaxMembershipLag)
		s.wantResult(s.send(h, key), OutcomeAnswered, "", 1, key)
	})
}

// Guards against sending clock readings between hosts: hosts whose clocks differ by hours must still agree.
func TestClocksAreLocal(t *testing.T) {
	runScenario(t, nil, func(s *scenario) {
		for i, z := range fourZones {
			s.newClockOffset = func() time.Duration { return time.Duration(i-2) * 5 * time.Hour }
			s.start(fmt.Sprint("h", i), z, time.Now().Add(longAgo))
		}
		home, _ := s.pairOf("k")
		s.wantResult(s.send(home, "k"), OutcomeAnswered, "", 1, "k")
		synctest.Wait()
		s.depart(home, false, time.Now())
		next := s.home(s.anyLive(), "k")
		time.Sleep(8 * time.Minute)
		s.wantResult(s.send(next, "k"), OutcomeAnswered, "", 1, "k")
	})
}

// Guards against a key that stays blocked because a withdrawal was lost.
func TestLostWithdrawalIsCleared(t *testing.T) {
	runScenario(t, fourZones, func(s *scenario) {
		home, second := s.pairOf("k")
		s.store.setDown(true)
		s.setFault(func(method string) (bool, bool, time.Duration) {
			return method == methodWithdraw, method == methodClaim, 0
		})
		s.wantResult(s.send(home, "k"), OutcomeNotRun, metric.RefusedKeyClaimUnavailable, 0, "k")
		synctest.Wait()
		s.setFault(func(string) (bool, bool, time.Duration) { return false, false, 0 })
		s.store.setDown(false)
		s.learnDelay = func(h *host, c change) time.Duration { return 20 * time.Second }
		joined := s.start("h9", "a", time.Now())
		time.Sleep(5 * time.Second)
		a := &attempt{node: joined.node, ctx: s.ctx, claim: Claim{Key: NewKey(testService, "k"), Claimant: joined.self}}
		a.history = second.node.membershipHistory(testService, time.Minute)
		a.conflicting = append(a.conflicting, s.instance(string(second.self.ID), second.zone, second.self.Incarnation))
		a.readAtClaimant(Found{State: StateRunning, Claimant: home.self})
		synctest.Wait()
		if f := second.node.table.Read(time.Now(), a.claim.Key); f.Status != ClaimNone {
			t.Errorf("the stale claim was not removed: %+v", f)
		}
	})
}

// Guards against two draining nodes that hand over a record to each other and both depart as handed over, so that the
// record is lost. A random schedule showed this failure (-rapid.seed=15365207).
func TestOnlyOneOfTwoDrainingNodesAcceptsRecords(t *testing.T) {
	runScenario(t, fourZones, func(s *scenario) {
		h := s.hosts["h1"]
		h.node.setPhase(phaseDraining)
		c := Claim{Key: Key{1}, Claimant: s.hosts["h3"].self, Attempt: 1, Keep: time.Minute}
		h.node.handedOver[c.Key] = StateDone
		for from, accepted := range map[string]bool{"h2": false, "h0": true} {
			args := &HandOverArgs{Holder: h.self.Incarnation, From: s.hosts[from].self.ID, Entries: []Entry{{Claim: c, State: StateDone}}}
			var ack Ack
			if err := h.node.Keys().HandOver(args, &ack); err != nil || ack.OK != accepted {
				t.Errorf("records of %s: accepted %v, error %v, want accepted %v", from, ack.OK, err, accepted)
			}
		}
		if h.node.handedOver[c.Key] != StateNone {
			t.Error("a record that arrived while the node was draining is not handed over again")
		}
	})
}
