package idempotency

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
)

const (
	benchInstances = 34
	benchZones     = 16
)

// newBenchService returns a started service of benchInstances hosts, and its first host.
func newBenchService(b *testing.B) (*simulation, *host) {
	s := newSimulation(time.Now)
	s.nodeOptions.MaxRecords = 1 << 30
	for i := range benchInstances {
		h := s.join(fmt.Sprint("h", i), fmt.Sprint(i%benchZones), time.Now().Add(longAgo))
		_ = h.node.Start(b.Context())
		b.Cleanup(func() { _ = h.node.Stop(context.Background()) })
	}
	return s, s.hosts["h0"]
}

// benchKeys returns keys whose home is h.
func benchKeys(h *host, count int) []string {
	keys := make([]string, 0, count)
	for i := 0; len(keys) < count; i++ {
		key := fmt.Sprint("key-", i)
		if in, _ := h.node.Home(testService, key); in.ID == h.self.ID {
			keys = append(keys, key)
		}
	}
	return keys
}

// benchDo measures one Do call of a guard for each iteration. keys returns a function that gives the key of each.
func benchDo(b *testing.B, guard func(*host) doer, keys func(h *host, count int) func(i int) string) {
	_, h := newBenchService(b)
	ctx, cancel := context.WithTimeout(b.Context(), time.Hour)
	defer cancel()
	res := answered("answer")
	g, key := guard(h), keys(h, b.N)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		if r := g.Do(ctx, request(key(i)), func(context.Context) Result { return res }); r.Outcome != OutcomeAnswered {
			b.Fatalf("got %+v, want an answer", r)
		}
	}
}

// BenchmarkDo measures the overhead of the guard alone: a call to another host is a plain function call.
func BenchmarkDo(b *testing.B) {
	fresh := func(h *host, count int) func(int) string {
		keys := benchKeys(h, count)
		return func(i int) string { return keys[i] }
	}
	same := func(h *host, _ int) func(int) string {
		key := benchKeys(h, 1)[0]
		return func(int) string { return key }
	}
	byNode := func(h *host) doer { return h.node }
	b.Run("home-alone", func(b *testing.B) { benchDo(b, func(h *host) doer { return naiveGuard{h} }, fresh) })
	b.Run("two-of-three", func(b *testing.B) { benchDo(b, byNode, fresh) })
	b.Run("replay", func(b *testing.B) { benchDo(b, byNode, same) })
}

// benchSpans returns the spans of a service whose instances made the given number of restarts within the history
// retention.
func benchSpans(now time.Time, restarts int) []membership.Span {
	rng := rand.New(rand.NewPCG(1, 1))
	live := make([]membership.Span, benchInstances)
	for i := range live {
		live[i] = membership.Span{Joined: now.Add(longAgo), Instance: membership.Instance{
			ID: membership.InstanceID(fmt.Sprint("h", i)), AvailabilityZone: fmt.Sprint(i % benchZones),
			State: membership.StateReady, Incarnation: 1}}
	}
	var spans []membership.Span
	window := testTiming.HistoryRetention()
	for k := range restarts {
		i := rng.IntN(benchInstances)
		at := now.Add(-window + window*time.Duration(k)/time.Duration(restarts))
		gone := live[i]
		gone.Departed, gone.Instance.State, gone.Instance.HandedOver = at, membership.StateDeparted, true
		spans = append(spans, gone)
		live[i].Joined = at.Add(2 * time.Second)
		live[i].Instance.Incarnation++
	}
	return append(spans, live...)
}

// BenchmarkPlan measures finding a key's home, computing its plan, and building the membership history after a
// membership change.
func BenchmarkPlan(b *testing.B) {
	now := time.Now()
	for _, restarts := range []int{0, 1, 4, 230} {
		spans := benchSpans(now, restarts)
		build := func() *MembershipHistory {
			return NewMembershipHistory(spans, Claimant{}, now.Add(longAgo), now, testTiming)
		}
		history := build()
		name := fmt.Sprintf("restarts=%d", restarts)
		b.Run("home/"+name, func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				history.Home(Key{byte(i), byte(i >> 8)})
			}
		})
		b.Run("plan/"+name, func(b *testing.B) {
			b.ReportAllocs()
			pairs, holders := 0, 0
			for i := 0; b.Loop(); i++ {
				p := history.Plan(Key{byte(i), byte(i >> 8)})
				pairs += len(p.pairs)
				holders += len(p.Holders())
			}
			b.ReportMetric(float64(pairs)/float64(b.N), "pairs/plan")
			b.ReportMetric(float64(holders)/float64(b.N), "holders/plan")
		})
		b.Run("roster/"+name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				build()
			}
		})
	}
}

// BenchmarkRecordMemory measures the heap size of a record.
func BenchmarkRecordMemory(b *testing.B) {
	const records = 20_000
	for _, body := range []int{0, 200} {
		b.Run(fmt.Sprintf("records=%d/answer=%d", records, body), func(b *testing.B) {
			for b.Loop() {
				now := time.Now()
				before := heapInUse()
				tab := NewTable(now, MaxRecords, MaxTotalAnswerBytes)
				for i := range records {
					c := Claim{Key: NewKey(testService, fmt.Sprint(i)), Claimant: Claimant{ID: "a", Incarnation: 1}, Keep: time.Hour}
					tab.Claim(now, c)
					if body > 0 {
						tab.RecordOutcome(now, c, StateDone, &Answer{Status: 200, Body: make([]byte, body)})
					} else {
						tab.RecordOutcome(now, c, StateUnknown, nil)
					}
				}
				b.ReportMetric(float64(heapInUse()-before)/records, "B/record")
				runtime.KeepAlive(tab)
			}
		})
	}
}

func heapInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
