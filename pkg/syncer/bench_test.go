package syncer

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/config"
	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
)

func benchConfig(routes, serial int) WholeConfig {
	c := config.Configuration{Services: map[string]config.Service{}, Policies: map[string]config.Policy{}, Routes: map[string]config.Route{}}
	for i := range 61 {
		name := fmt.Sprintf("service-%02d", i)
		c.Services[name] = config.Service{Name: name}
	}
	c.Policies["urgent"] = config.Policy{Name: "urgent", Target: config.Duration(time.Second), Deadline: config.Duration(3 * time.Second), GuaranteedShare: 0.5}
	for i := range routes {
		name := fmt.Sprintf("county-capsule-registry-route-%05d", i)
		c.Routes[name] = config.Route{Name: name, PathPrefix: fmt.Sprintf("/registry/%05d/entries", i), Methods: []string{"GET", "POST"},
			Service: fmt.Sprintf("service-%02d", i%61), Policy: "urgent", Idempotent: i == serial%routes}
	}
	h, err := c.Hash()
	if err != nil {
		panic(err)
	}
	return WholeConfig{Version: config.Version(serial + 1), Hash: h, Configuration: c}
}

// BenchmarkAccept measures the cost of one configuration change at a node: apply the delta, hash and validate the
// result, and build the routing table.
func BenchmarkAccept(b *testing.B) {
	for _, routes := range []int{1000, 4000, 10000} {
		b.Run(fmt.Sprint("routes=", routes), func(b *testing.B) {
			one, two := benchConfig(routes, 0), benchConfig(routes, 1)
			delta := config.NewDelta(1, one.Configuration, 2, two.Hash, two.Configuration)
			for b.Loop() {
				b.StopTimer()
				a := NewAcceptor()
				if _, err := a.UpdateWhole(one); err != nil {
					b.Fatal(err)
				}
				b.StartTimer()
				if v, err := a.Update(ConfigUpdate{Deltas: []config.Delta{delta}}); v != Accepted {
					b.Fatal(v, err)
				}
			}
		})
	}
}

func gobSize(v any) float64 {
	var buf bytes.Buffer
	enc := gob.NewEncoder(&buf)
	_ = enc.Encode(v)
	types := buf.Len()
	_ = enc.Encode(v) // the second message has no type descriptions, as on an established connection
	return float64(buf.Len() - types)
}

// BenchmarkSizes reports the sizes of control messages on an established connection.
func BenchmarkSizes(b *testing.B) {
	inst := membership.Instance{ID: "instance-0001", Service: "service-01", AvailabilityZone: "zone-01", Region: "region-1", PeerAddress: "10.0.0.1:8081",
		ControlAddress: "10.0.0.1:8082", Slots: 20, Incarnation: 1764820800000, Sequence: 2, State: membership.StateReady}
	records := make([]membership.Record, 2100)
	for i := range records {
		records[i] = membership.Record{Instance: inst, JoinedAge: time.Hour}
	}
	one, two := benchConfig(1000, 0), benchConfig(1000, 1)
	state := ConfigState{Version: 1000, Hash: Hash(one.Hash)}
	poll := &SyncArgs{Node: inst.ID, Config: state, Digest: 1 << 60, Mark: membership.Mark{Epoch: 1 << 60, Revision: 9999}, Relays: 1 << 60}
	idle := &SyncReply{Config: ConfigState{Version: 1000}, Digest: 1 << 60, Mark: poll.Mark, Synchronised: true, Authoritative: true}
	delta := *idle
	delta.Update.Deltas = []config.Delta{config.NewDelta(1, one.Configuration, 2, two.Hash, two.Configuration)}
	member := *idle
	member.Records = records[:1]
	full := *idle
	full.Records = records
	whole := *idle
	whole.Update.Whole = &one
	for b.Loop() {
		b.ReportMetric(gobSize(poll), "poll-B")
		b.ReportMetric(gobSize(idle), "idle-answer-B")
		b.ReportMetric(gobSize(&delta)-gobSize(idle), "delta-B")
		b.ReportMetric(gobSize(&member)-gobSize(idle), "record-B")
		b.ReportMetric(gobSize(&full)-gobSize(idle), "2100-records-B")
		b.ReportMetric(gobSize(&whole)-gobSize(idle), "1000-routes-B")
	}
}

// BenchmarkSnapshotHeap measures the heap memory of a snapshot in force.
func BenchmarkSnapshotHeap(b *testing.B) {
	for _, routes := range []int{1000, 4000, 10000} {
		b.Run(fmt.Sprint("routes=", routes), func(b *testing.B) {
			for b.Loop() {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				a := NewAcceptor()
				if _, err := a.UpdateWhole(benchConfig(routes, 0)); err != nil {
					b.Fatal(err)
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1024, "KB")
				runtime.KeepAlive(a)
			}
		})
	}
}
