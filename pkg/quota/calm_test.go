package quota

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
)

// calmRates are rates of tenants of the sizes in use, the low ones several times so that their shares can be measured.
// Their usual demand is the rate divided by usualShare.
var calmRates = []float64{3, 3, 3, 3, 3, 3, 3, 3, 3, 3, 8, 8, 8, 8, 20, 20, 60, 180, 560}

// warmUp is the time between the start of the nodes and of the demand. On the users' platform it is 10 s.
const warmUp = 10 * time.Second

const usualShare = 1.6

func tenants(rates ...float64) (out []Limit) {
	for i, r := range rates {
		out = append(out, Limit{Tenant: string(rune('a'+i)) + "-tenant", Rate: r, Burst: r})
	}
	return out
}

// runCalm sends usual demand of all tenants for some seconds without faults and checks the share that is admitted after the
// first second.
func runCalm(t *testing.T, pick func(m *mesh, elapsed time.Duration, random float64) *meshNode) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(3, 3, 9)
		limits := tenants(calmRates...)
		time.Sleep(warmUp)
		start := time.Now()
		var wg sync.WaitGroup
		for _, l := range limits {
			m.load(&wg, l, l.Rate/usualShare, 30*time.Second, func(r float64) *meshNode { return pick(m, time.Since(start), r) })
		}
		wg.Wait()
		m.stop()
		admitted, asked := make(map[float64]int), make(map[float64]int)
		for _, l := range limits {
			m.checkQuota(t, l)
			admitted[l.Rate] += between(m.admitted[l.Tenant], start.Add(time.Second), start.Add(time.Minute))
			asked[l.Rate] += between(m.asked[l.Tenant], start.Add(time.Second), start.Add(time.Minute))
		}
		for rate, n := range asked {
			share := float64(admitted[rate]) / float64(n)
			t.Logf("rate %.0f: %.4f of %d requests admitted", rate, share, n)
			if share < 0.97 {
				t.Errorf("rate %.0f: %.4f of %d requests within the quota admitted, want 0.97", rate, share, n)
			}
		}
		t.Logf("%d calls, %d of them between zones", m.calls, m.crossZone)
	})
}

// Guards against refusals of usual demand that enters at all nodes.
func TestUsualDemandSpread(t *testing.T) {
	runCalm(t, func(m *mesh, _ time.Duration, r float64) *meshNode { return m.any(r) })
}

// Guards against a tenant that is held to the part of one zone although the others do not use theirs.
func TestUsualDemandAtOneNode(t *testing.T) {
	runCalm(t, func(m *mesh, _ time.Duration, _ float64) *meshNode { return m.nodes[4] })
}

// Guards against parts that stay in a zone after the demand has moved to another one.
func TestUsualDemandWandersBetweenZones(t *testing.T) {
	runCalm(t, func(m *mesh, elapsed time.Duration, r float64) *meshNode {
		zone := int(elapsed/(3*time.Second)) % 3
		return m.nodes[3*int(r*9)+zone]
	})
}

// Guards against a quota that is not used up when the demand is a multiple of it, and against one that is exceeded then.
func TestDemandBeyondQuota(t *testing.T) {
	for _, one := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			m := newMesh(5, 3, 9)
			limits := tenants(3, 60, 560)
			start := time.Now()
			var wg sync.WaitGroup
			for _, l := range limits {
				m.load(&wg, l, 3*l.Rate, 20*time.Second, func(r float64) *meshNode {
					if one {
						return m.nodes[4]
					}
					return m.any(r)
				})
			}
			wg.Wait()
			m.stop()
			for _, l := range limits {
				m.checkQuota(t, l)
				got := float64(between(m.admitted[l.Tenant], start.Add(time.Second), start.Add(20*time.Second))) / 19 / l.Rate
				t.Logf("one node %v, rate %.0f: %.3f of the rate admitted", one, l.Rate, got)
				if got < 0.9 {
					t.Errorf("one node %v, rate %.0f: %.3f of the rate admitted, want 0.9", one, l.Rate, got)
				}
			}
			t.Logf("%d calls, %d of them between zones", m.calls, m.crossZone)
		})
	}
}

// Guards against refusals of tenants with low rates in a large mesh, in calm and while nodes join: most homes hold less than
// one token more than the next request needs, and what is missing lies in other zones.
func TestUsualDemandOfLowRates(t *testing.T) {
	const perZone, joining, tenantsPerRate = 27, 8, 40
	for _, joins := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			m := newMesh(4, 3, perZone)
			late := m.nodes[3*perZone-joining:]
			if joins {
				for _, n := range late {
					n.kill()
					n.announce(membership.StateDeparted)
				}
			}
			var limits []Limit
			for _, rate := range []float64{0.4, 0.6, 0.8, 1} {
				for i := range tenantsPerRate {
					limits = append(limits, Limit{Tenant: fmt.Sprintf("low-%.1f-%d", rate, i), Rate: rate, Burst: rate})
				}
			}
			time.Sleep(warmUp)
			if joins {
				for i, n := range late {
					time.AfterFunc(5*time.Second+time.Duration(i)*500*time.Millisecond, func() {
						n.start()
						n.announce(membership.StateReady)
					})
				}
			}
			var wg sync.WaitGroup
			for _, l := range limits {
				m.load(&wg, l, l.Rate/usualShare, 30*time.Second, func(r float64) *meshNode {
					n := m.any(r)
					for n.running() == nil {
						n = m.any(m.random())
					}
					return n
				})
			}
			wg.Wait()
			m.stop()
			admitted, asked := 0, 0
			for _, l := range limits {
				m.checkQuota(t, l)
				admitted, asked = admitted+len(m.admitted[l.Tenant]), asked+len(m.asked[l.Tenant])
			}
			share := float64(admitted) / float64(asked)
			t.Logf("nodes join %v: %.4f of %d requests admitted", joins, share, asked)
			if share < 0.98 {
				t.Errorf("nodes join %v: %.4f of %d requests within the quota admitted, want 0.98", joins, share, asked)
			}
		})
	}
}
