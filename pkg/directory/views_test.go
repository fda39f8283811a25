package directory

import (
	"cmp"
	"flag"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
)

// A fixed seed makes failures reproducible.
func init() { _ = flag.Set("rapid.seed", "20") }

// Guards against views that differ from the records after a series of changes, since they are updated change by change:
// the lists of the services, the number of nodes, and the checksum by which nodes compare their records.
func TestViewsFollowTheRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewState()
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			before := s.Instances("desk")
			kept := slices.Clone(before)
			var batch []membership.Instance
			for range rapid.IntRange(1, 4).Draw(t, "batch") {
				in := instance(fmt.Sprint("n", rapid.IntRange(0, 9).Draw(t, "node")), 1, uint64(rapid.IntRange(1, 40).Draw(t, "sequence")),
					membership.State(rapid.IntRange(0, 3).Draw(t, "state")))
				in.Service = rapid.SampledFrom([]string{"desk", "office"}).Draw(t, "service")
				if rapid.IntRange(0, 4).Draw(t, "control") == 0 {
					in.ControlAddress = ""
				}
				batch = append(batch, in)
			}
			if rapid.Bool().Draw(t, "departs") {
				s.MarkDeparted(batch[0].ID)
			} else {
				s.Merge(batch...)
			}
			if !slices.Equal(before, kept) {
				t.Fatal("a list that a reader holds has changed")
			}
		}
		want, nodes, sum := make(map[string][]membership.Instance), 0, uint64(0)
		for _, in := range s.All() {
			sum ^= recordSum(in)
			if isNode(in) {
				nodes++
			}
			if in.State != membership.StateDeparted {
				want[in.Service] = append(want[in.Service], in)
			}
		}
		for _, service := range []string{"desk", "office"} {
			slices.SortFunc(want[service], func(a, b membership.Instance) int { return cmp.Compare(a.ID, b.ID) })
			if !slices.Equal(s.Instances(service), want[service]) {
				t.Fatalf("%s lists %v, want %v", service, s.Instances(service), want[service])
			}
		}
		if s.Digest().Sum != sum || s.NodeCount() != nodes {
			t.Fatalf("checksum %x and %d nodes, want %x and %d", s.Digest().Sum, s.NodeCount(), sum, nodes)
		}
	})
}

// BenchmarkMergeOne measures the change of one record among those of a large fleet, which each node makes for each change
// of any other.
func BenchmarkMergeOne(b *testing.B) {
	for _, n := range []int{300, 2100} {
		b.Run(fmt.Sprint("nodes=", n), func(b *testing.B) {
			s := NewState()
			for i := range n {
				in := instance(fmt.Sprintf("sidecar-zone-%04d", i), 1, 1, membership.StateReady)
				in.Service = fmt.Sprint("service-", i%3)
				s.Merge(in)
			}
			in := s.All()[0]
			b.ReportAllocs()
			for b.Loop() {
				in.Sequence++
				s.Merge(in)
			}
		})
	}
}

// BenchmarkTopology measures the computation of the distribution tree, which each node repeats after changes.
func BenchmarkTopology(b *testing.B) {
	for _, n := range []int{300, 2100} {
		b.Run(fmt.Sprint("nodes=", n), func(b *testing.B) {
			var all []membership.Instance
			for i := range n {
				in := instance(fmt.Sprintf("sidecar-zone-%04d", i), 1, 1, membership.StateReady)
				in.AvailabilityZone = fmt.Sprint("zone-", i%6)
				all = append(all, in)
			}
			b.ReportAllocs()
			for b.Loop() {
				newTopology(all)
			}
		})
	}
}
