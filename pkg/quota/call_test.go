package quota

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/rpcwire"
)

// callerFunc makes a function an rpcwire.Caller.
type callerFunc func(addr string, reply any)

func (f callerFunc) Call(_ context.Context, addr, _ string, _, reply any) error {
	f(addr, reply)
	return nil
}

var _ rpcwire.Caller = callerFunc(nil)

// Guards against a late answer of the home whose tokens live until 300 ms after the call to the next node, not after their
// own, and against a data race between the two.
func TestLateTokensExpireByTheirOwnCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(1, 1, 5)
		time.Sleep(time.Second)
		synctest.Wait() // The calls at the start use another caller.
		s := m.nodes[0].service
		l := Limit{Rate: 10, Burst: 10}
		var ranked []Node
		for i := 0; len(ranked) == 0 || ranked[0].ID == s.Self || ranked[1].ID == s.Self; i++ {
			l.Tenant = fmt.Sprintf("tenant-%d", i)
			ranked = s.topology.Load().Ranked(l.Tenant)
		}
		s.Caller = callerFunc(func(addr string, reply any) {
			g, ok := reply.(*GrantReply)
			switch {
			case !ok:
			case addr == ranked[0].Address:
				time.Sleep(silentAfter + 40*time.Millisecond)
				g.Grant.Tokens = 2
			default:
				g.Grant.Wait = time.Second
			}
		})
		start := time.Now()
		s.Admit(t.Context(), l, start)
		time.Sleep(time.Until(start.Add(callTimeout)))
		s.mu.Lock()
		lots := s.accounts[l.Tenant].lots
		s.mu.Unlock()
		if len(lots) != 1 || !lots[0].expires.Equal(start.Add(testTerms.hold())) {
			t.Errorf("lots %v after a late answer to a call at %v, want one that expires %v later", lots, start, testTerms.hold())
		}
		m.stop()
	})
}

// Guards against a node that stays recorded as silent although its answer has arrived: after a stall of the asking process
// the timer and the answer are due together, and either may be handled first.
func TestAnswerAtTheTimeout(t *testing.T) {
	stuck := 0
	for range 400 {
		synctest.Test(t, func(*testing.T) {
			m := newMesh(1, 1, 2)
			time.Sleep(time.Second)
			synctest.Wait()
			s := m.nodes[0].service
			s.Caller = callerFunc(func(string, any) { time.Sleep(silentAfter) })
			call[ProbeReply](s, Node{ID: "node-1"}, methodProbe, &ProbeArgs{}, nil)
			synctest.Wait()
			if s.condition("node-1") != Unknown {
				stuck++
			}
			m.stop()
		})
	}
	if stuck > 0 {
		t.Errorf("after %d of 400 answers at the timeout the node was recorded as silent", stuck)
	}
}
