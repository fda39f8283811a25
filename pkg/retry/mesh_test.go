package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/idempotency"
)

// meshNodes are the Budgets of all nodes of a mesh, whose requests are skewed: the first nodes get most of them.
type meshNodes struct {
	budgets []*Budgets
	rng     *rand.Rand
}

func newMeshNodes(n int, slack float64) *meshNodes {
	m := &meshNodes{rng: rand.New(rand.NewPCG(7, uint64(n)))}
	for range n {
		m.budgets = append(m.budgets, m.start(slack))
	}
	return m
}

func (m *meshNodes) start(slack float64) *Budgets {
	return NewBudgets(Settings{Ratio: 0.1, Burst: 4, Floor: 0.1, FloorBurst: 1, MeshBurst: slack, BudgetPerRequest: true})
}

// attempts lets n requests arrive, each of which is retried up to three times if failing is set, and returns the retries.
func (m *meshNodes) attempts(now time.Time, n int, failing bool) (retries int) {
	for range n {
		f := m.rng.Float64()
		b := m.budgets[int(f*f*float64(len(m.budgets)))]
		b.Request("desk")
		a := Attempt{Outcome: idempotency.OutcomeNotRun, ReachedBackend: true, MaxRetries: 3, Deadline: now.Add(time.Minute)}
		for failing && b.Decide(now, "desk", a).Retry {
			a.Retries++
			retries++
		}
	}
	return retries
}

// Guards against a retry budget that grows with the number of nodes: a burst of four at each of 296 nodes made 1,184
// retries where the mesh allowed 630. All backend servers fail after a long time without failures, and after three
// seconds all processes start again; the retries in any ten seconds must stay within a fifth of the requests and the
// slack, at each size and however skewed the requests are.
func TestRetriesOfAllNodesStayWithinTheBudgetOfTheMesh(t *testing.T) {
	const (
		step           = 100 * time.Millisecond
		windowSteps    = 100
		slackPerNode   = 2.1
		warmUpSteps    = 10 * windowSteps
		requestsPerSec = 1 // of each node
	)
	for _, n := range []int{10, 25, 100, 300, 2100} {
		slack := slackPerNode * float64(n)
		m, now := newMeshNodes(n, slack), time.Unix(100, 0)
		perStep := max(1, n*requestsPerSec/10)
		requests, retries := 0, 0
		for i := range warmUpSteps + windowSteps {
			now = now.Add(step)
			for _, b := range m.budgets {
				b.SetNodes(n)
			}
			failing := i >= warmUpSteps
			if i == warmUpSteps+30 {
				for k := range m.budgets {
					m.budgets[k] = m.start(slack)
				}
			}
			r := m.attempts(now, perStep, failing)
			if failing {
				requests, retries = requests+perStep, retries+r
			}
		}
		if allowed := 0.2*float64(requests) + slack; float64(retries) > allowed {
			t.Errorf("%d nodes: %d retries for %d requests in 10 s, want at most %.0f", n, retries, requests, allowed)
		}
		if retries < requests/20 {
			t.Errorf("%d nodes: %d retries for %d requests in 10 s, want at least a twentieth", n, retries, requests)
		}
	}
}

// Guards against a service without any retry at a node of a small mesh, right after its start and with few requests.
func TestSmallMeshKeepsARetryWithoutRequests(t *testing.T) {
	now := time.Unix(100, 0)
	m := newMeshNodes(12, 56)
	for _, b := range m.budgets {
		b.SetNodes(12)
		if d := b.Decide(now, "desk", Attempt{Outcome: idempotency.OutcomeNotRun, ReachedBackend: true, MaxRetries: 1, Deadline: now.Add(time.Second)}); !d.Retry {
			t.Fatalf("no retry at the start of one of 12 nodes: %s", d.Reason)
		}
	}
}

// Guards against retries that were saved up as a share of a small mesh and are spent after the mesh has grown.
func TestSavedRetriesShrinkWhenTheMeshGrows(t *testing.T) {
	m, now := newMeshNodes(1, 56), time.Unix(100, 0)
	m.budgets[0].SetNodes(12)
	m.attempts(now, 100, false)
	m.budgets[0].SetNodes(56)
	if got := m.attempts(now, 0, true); got != 0 {
		t.Fatalf("%d retries without requests", got)
	}
	retries := 0
	for range 10 {
		if m.budgets[0].Decide(now, "desk", Attempt{Outcome: idempotency.OutcomeNotRun, ReachedBackend: true, MaxRetries: 1, Deadline: now.Add(time.Second)}).Retry {
			retries++
		}
	}
	if retries != 1 {
		t.Errorf("%d saved retries after the mesh has grown to a share of one retry, want 1", retries)
	}
}
