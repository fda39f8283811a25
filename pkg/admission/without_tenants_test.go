package admission

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"time"
)

// traceDigest drives a queue with a generated trace without tenants and returns a digest of all its decisions. Times to
// return are rounded to milliseconds, so that the rounding of the processor does not matter.
func traceDigest(seed uint64, s Settings, targets bool) string {
	random, digest := rand.New(rand.NewPCG(seed, 0)), fnv.New64a()
	q, now := New(s), time.Unix(1000, 0)
	type run struct {
		req     Request
		started time.Time
		ends    time.Time
	}
	var running []run
	waiting := make(map[Ticket]Request)
	start := func(req Request) {
		took := time.Duration(1+random.IntN(20*(1+req.Rank))) * time.Millisecond
		running = append(running, run{req, now, now.Add(took)})
	}
	record := func(format string, args ...any) { fmt.Fprintf(digest, format+"\n", args...) }
	notify := func(notices []Notice) {
		for _, n := range notices {
			record("notice %d %s %d", n.Ticket, n.Refusal.Reason, n.Refusal.RetryAfter.Milliseconds())
			if n.Granted() {
				start(waiting[n.Ticket])
			}
			delete(waiting, n.Ticket)
		}
	}
	for range 20_000 {
		now = now.Add(time.Duration(random.IntN(4000)) * time.Microsecond)
		for {
			first := -1
			for i, r := range running {
				if !r.ends.After(now) && (first < 0 || r.ends.Before(running[first].ends)) {
					first = i
				}
			}
			if first < 0 {
				break
			}
			r := running[first]
			running = slices.Delete(running, first, first+1)
			shed := random.IntN(50) == 0
			notify(q.Done(r.ends, r.req, Result{Served: !shed, Shed: shed, ServiceTime: r.ends.Sub(r.started)}))
		}
		switch random.IntN(200) {
		case 0:
			notify(q.SetSlots(now, 4+random.IntN(12)))
		case 1:
			notify(q.SetRate(now, float64(random.IntN(3)*200)))
		case 2:
			for t := range waiting {
				if random.IntN(2) == 0 && len(waiting) == 1 {
					record("cancel %t", q.Cancel(now, t))
					delete(waiting, t)
				}
			}
		}
		if after, ok := q.NextWake(now); ok {
			record("wake in %d", after.Milliseconds())
			notify(q.Wake(now))
		}
		notify(q.Expire(now))
		req := Request{Rank: random.IntN(Ranks), Policy: fmt.Sprint(random.IntN(4)), Arrived: now, Deadline: now.Add(time.Duration(20+random.IntN(400)) * time.Millisecond)}
		if targets {
			req.Target = now.Add(req.Deadline.Sub(now) / 2)
		}
		d := q.Offer(now, req)
		record("offer %d %d %s %d %d", d.Verdict, d.Ticket, d.Refusal.Reason, d.Refusal.RetryAfter.Milliseconds(), d.Displaced)
		delete(waiting, d.Displaced)
		switch d.Verdict {
		case Run:
			start(req)
		case Wait:
			waiting[d.Ticket] = req
		}
	}
	return fmt.Sprintf("%016x", digest.Sum64())
}

// Guards against a change of the order, the refusals or the times to return of deployments without tenants. The file
// holds the digests of the queue before it knew tenants.
func TestWithoutTenantsAsBefore(t *testing.T) {
	var got []string
	for seed := range uint64(4) {
		for _, targets := range []bool{false, true} {
			for name, s := range map[string]Settings{
				"sidecar": {Slots: 12, WarmStart: true, ExactSlots: true},
				"shares":  {Slots: 10, Shares: map[int]float64{0: 0.3, 3: 0.1, 7: 0.2}, Headroom: 0.1},
			} {
				got = append(got, fmt.Sprintf("%s seed %d targets %t %s", name, seed, targets, traceDigest(seed, s, targets)))
			}
		}
	}
	slices.Sort(got)
	text, err := os.ReadFile("testdata/without-tenants.txt")
	if err != nil {
		t.Fatal(err)
	}
	if want := strings.Split(strings.TrimSpace(string(text)), "\n"); !slices.Equal(got, want) {
		t.Errorf("decisions differ from those before tenants:\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
}
