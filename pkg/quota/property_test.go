package quota

import (
	"flag"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
)

// A fixed seed makes failures reproducible.
func init() {
	for name, value := range map[string]string{"rapid.seed": "11", "rapid.nofailfile": "true", "rapid.checks": "40"} {
		_ = flag.Set(name, value)
	}
}

// disruption is a disturbance of some nodes or of a zone.
type disruption struct {
	At, Length time.Duration
	Kind       string
	// Share is the share of the nodes concerned, Zone the zone, Tenant the tenant whose homes are concerned and Zones the
	// number of zones in which they are.
	Share               float64
	Zone, Tenant, Zones int
}

// scenario is a run of the simulated mesh.
type scenario struct {
	Seed                uint64
	Zones, PerZone      int
	Loss, Late, Doubled float64
	// Demand is the demand of each tenant as a multiple of its rate, Entry says where it enters.
	Demand      []float64
	Entry       []string
	Disruptions []disruption
}

var (
	propertyRates = []float64{3, 20, 120, 560}
	kinds         = []string{"kill homes", "cut homes", "stall homes", "kill share", "kill all", "cut zone", "leave"}
)

func drawScenario(t *rapid.T) (s scenario) {
	s.Seed = rapid.Uint64().Draw(t, "seed")
	s.Zones, s.PerZone = rapid.IntRange(1, 4).Draw(t, "zones"), rapid.IntRange(2, 7).Draw(t, "perZone")
	s.Loss = rapid.SampledFrom([]float64{0, 0, 0.02, 0.2}).Draw(t, "loss")
	s.Late = rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(t, "late")
	s.Doubled = rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "doubled")
	for range propertyRates {
		s.Demand = append(s.Demand, rapid.SampledFrom([]float64{0.6, 1, 2, 5}).Draw(t, "demand"))
		s.Entry = append(s.Entry, rapid.SampledFrom([]string{"any", "any", "one", "wandering", "pulsed"}).Draw(t, "entry"))
	}
	for range rapid.IntRange(0, 6).Draw(t, "disruptions") {
		s.Disruptions = append(s.Disruptions, disruption{
			At:     time.Duration(rapid.IntRange(0, 14000).Draw(t, "at")) * time.Millisecond,
			Length: time.Duration(rapid.IntRange(200, 5000).Draw(t, "length")) * time.Millisecond,
			Kind:   rapid.SampledFrom(kinds).Draw(t, "kind"), Share: rapid.SampledFrom([]float64{0.16, 0.5}).Draw(t, "share"),
			Zone: rapid.IntRange(0, s.Zones-1).Draw(t, "zone"), Tenant: rapid.IntRange(0, len(propertyRates)-1).Draw(t, "tenant"),
			Zones: rapid.IntRange(1, s.Zones).Draw(t, "homes")})
	}
	return s
}

// run plays the scenario and returns the tenants that exceeded their quotas.
func (s scenario) run(t *testing.T) (exceeded []string) {
	const length = 16 * time.Second
	synctest.Test(t, func(*testing.T) {
		m := newMesh(s.Seed, s.Zones, s.PerZone)
		m.set(func() { m.loss, m.late, m.doubled = s.Loss, s.Late, s.Doubled })
		limits := tenants(propertyRates...)
		start := time.Now()
		var wg sync.WaitGroup
		for i, l := range limits {
			m.load(&wg, l, l.Rate*s.Demand[i], length, s.pick(m, i, start))
		}
		for _, d := range s.Disruptions {
			wg.Go(func() {
				time.Sleep(d.At)
				m.disrupt(d, limits[d.Tenant].Tenant)
			})
		}
		wg.Wait()
		m.stop()
		for _, l := range limits {
			if worst, permitted := m.excess(l); float64(worst) > permitted {
				exceeded = append(exceeded, fmt.Sprintf("rate %.0f: %d requests admitted in a window, %.0f permitted", l.Rate, worst, permitted))
			}
		}
	})
	return exceeded
}

// pick returns the choice of the node for the requests of a tenant.
func (s scenario) pick(m *mesh, tenant int, start time.Time) func(float64) *meshNode {
	return func(r float64) *meshNode {
		elapsed := time.Since(start)
		switch s.Entry[tenant] {
		case "one":
			return m.nodes[tenant%len(m.nodes)]
		case "wandering":
			zone := int(elapsed/(1500*time.Millisecond)) % s.Zones
			return m.nodes[s.Zones*int(r*float64(s.PerZone))+zone]
		case "pulsed":
			// One node at a time, so that tokens taken ahead are left behind at the others.
			return m.nodes[int(elapsed/(200*time.Millisecond))%len(m.nodes)]
		}
		return m.any(r)
	}
}

// disrupt plays a disruption and returns when it has ended.
func (m *mesh) disrupt(d disruption, tenant string) {
	var nodes []*meshNode
	zones := NewTopology(time.Now(), "", "", m.records(), nil)
	for i, z := range zones.names {
		if home, ok := zones.Home(z, tenant); ok && i < d.Zones {
			nodes = append(nodes, m.byIP[home.Address])
		}
	}
	switch d.Kind {
	case "kill share", "kill all":
		nodes = nil
		for _, n := range m.nodes {
			if d.Kind == "kill all" || m.random() < d.Share {
				nodes = append(nodes, n)
			}
		}
		fallthrough
	case "kill homes":
		for _, n := range nodes {
			n.kill()
		}
		for _, n := range nodes {
			time.AfterFunc(time.Duration((0.5+m.random()/2)*float64(d.Length)), n.startOnce)
		}
		time.Sleep(d.Length)
	case "cut homes":
		m.set(func() { setAll(m.cutNode, nodes, true) })
		time.Sleep(d.Length)
		m.set(func() { setAll(m.cutNode, nodes, false) })
	case "stall homes":
		m.set(func() {
			for _, n := range nodes {
				n.stalled = true
			}
		})
		time.Sleep(d.Length)
		m.set(func() {
			for _, n := range nodes {
				n.stalled = false
			}
		})
	case "cut zone":
		z := zones.names[d.Zone%len(zones.names)]
		m.set(func() { m.cutZone[z] = true })
		time.Sleep(d.Length)
		m.set(func() { m.cutZone[z] = false })
	case "leave":
		for _, n := range nodes {
			n.announce(membership.StateDeparted)
		}
		time.Sleep(d.Length / 2)
		for _, n := range nodes {
			n.kill()
		}
		time.Sleep(d.Length / 2)
		for _, n := range nodes {
			n.announce(membership.StateReady)
			n.startOnce()
		}
	}
}

func setAll(set map[*meshNode]bool, nodes []*meshNode, v bool) {
	for _, n := range nodes {
		set[n] = v
	}
}

func (m *mesh) set(f func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f()
}

// records returns the records of all nodes, as the store holds them.
func (m *mesh) records() (out []membership.Instance) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, n := range m.nodes {
		out = append(out, n.record)
	}
	return out
}

// startOnce starts the node's process unless it runs or the test has ended.
func (n *meshNode) startOnce() {
	n.mesh.mu.Lock()
	skip := n.service != nil || n.mesh.stopped
	n.mesh.mu.Unlock()
	if !skip {
		n.start()
	}
}

// Guards against any split of demand, and any faults of nodes, links and messages, by which all nodes together admit more
// requests of a tenant in some window than its quota permits.
func TestQuotaHoldsUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := drawScenario(rt)
		if exceeded := s.run(t); len(exceeded) > 0 {
			// The order of goroutines may hide the failure in a repeated run, so that rapid does not show the scenario.
			t.Logf("%v in scenario %+v", exceeded, s)
			rt.Fatalf("%v in scenario %+v", exceeded, s)
		}
	})
}

// Guards against faults that random scenarios have found: a home that returned at once after a planned leave granted beside
// the node whose directory was behind, and a stand-in granted too much beside a home that lost a fifth of its messages.
func TestScenariosFound(t *testing.T) {
	const second = time.Second
	for _, s := range []scenario{
		{Seed: 341, Zones: 1, PerZone: 2, Late: 0.02, Demand: []float64{1, 0.6, 1, 5}, Entry: []string{"wandering", "pulsed", "wandering", "one"},
			Disruptions: []disruption{{At: 11 * second, Length: second / 5, Kind: "leave", Tenant: 2, Zones: 1}}},
		{Seed: 341, Zones: 1, PerZone: 2, Demand: []float64{5, 5, 5, 5}, Entry: []string{"any", "any", "any", "any"},
			Disruptions: []disruption{{At: 9 * second, Length: second / 5, Kind: "leave", Tenant: 3, Zones: 1}, {At: 11 * second, Length: second / 5, Kind: "leave", Tenant: 3, Zones: 1}}},
		{Seed: 10, Zones: 1, PerZone: 2, Loss: 0.2, Demand: []float64{5, 5, 0.6, 5}, Entry: []string{"wandering", "wandering", "any", "wandering"},
			Disruptions: []disruption{{At: 0, Length: 4 * second, Kind: "cut homes", Tenant: 2, Zones: 1}, {At: 6500 * time.Millisecond, Length: second / 5, Kind: "kill all"}}},
		{Seed: 3973487, Zones: 1, PerZone: 7, Loss: 0.2, Demand: []float64{0.6, 1, 1, 5}, Entry: []string{"any", "any", "one", "any"},
			Disruptions: []disruption{{At: second / 20, Length: second / 5, Kind: "kill all", Tenant: 3, Zones: 1},
				{At: 2846 * time.Millisecond, Length: 1162 * time.Millisecond, Kind: "kill homes", Tenant: 1, Zones: 1},
				{At: second / 20, Length: 5 * second, Kind: "cut homes", Tenant: 1, Zones: 1}}},
	} {
		for seed := range uint64(5) {
			s.Seed += seed
			if exceeded := s.run(t); len(exceeded) > 0 {
				t.Errorf("%v in scenario %+v", exceeded, s)
			}
		}
	}
}
