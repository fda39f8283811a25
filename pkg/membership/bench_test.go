package membership

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/clock"
)

// Size of the mesh that the design must support.
const (
	benchInstances = 2100
	benchServices  = 61
	benchZones     = 16
)

func benchRecords() []Record {
	out := make([]Record, benchInstances)
	for i := range out {
		out[i] = Record{Instance: Instance{
			ID: InstanceID(fmt.Sprintf("instance-%04d", i)), Service: fmt.Sprintf("service-%02d", i%benchServices),
			AvailabilityZone: fmt.Sprintf("zone-%02d", i%benchZones), Region: fmt.Sprintf("region-%d", i%7),
			PeerAddress: fmt.Sprintf("10.0.%d.%d:8081", i/250, i%250), ControlAddress: fmt.Sprintf("10.0.%d.%d:8082", i/250, i%250),
			Slots: 20, Incarnation: 1764820800000, Sequence: 2, State: StateReady,
		}, JoinedAge: time.Hour}
	}
	return out
}

func newBenchTable() *Table {
	t := NewTable(clock.System{}, 1, testRetention)
	t.Merge(benchRecords()...)
	return t
}

// BenchmarkTable measures operations on a table of 2,100 records.
func BenchmarkTable(b *testing.B) {
	records := benchRecords()
	b.Run("merge-all", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			NewTable(clock.System{}, 1, testRetention).Merge(records...)
		}
		b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/benchInstances, "ns/record")
	})
	t := newBenchTable()
	b.Run("merge-one-and-view", func(b *testing.B) {
		i := records[7].Instance
		for b.Loop() {
			i.Sequence++
			t.Put(i)
			t.Instances(i.Service)
		}
	})
	b.Run("since", func(b *testing.B) {
		mark := t.Mark()
		t.Put(Instance{ID: "one", Service: "s", Incarnation: 1, Sequence: 1})
		for b.Loop() {
			t.ChangesSince(mark, anyInstance)
		}
	})
	b.Run("digest", func(b *testing.B) {
		for b.Loop() {
			t.Digest(anyService)
		}
	})
	b.Run("expire", func(b *testing.B) {
		for b.Loop() {
			t.Expire()
		}
	})
	b.Run("instances", func(b *testing.B) {
		for b.Loop() {
			t.Instances("service-07")
		}
	})
}

// BenchmarkTableHeap measures the heap use of a table of 2,100 records with the views of all services.
func BenchmarkTableHeap(b *testing.B) {
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		t := newBenchTable()
		for i := range benchServices {
			t.Instances(fmt.Sprintf("service-%02d", i))
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1024, "KB")
		runtime.KeepAlive(t)
	}
}
