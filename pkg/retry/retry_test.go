package retry

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/monsoonlatch/monsoonlatch/pkg/idempotency"
	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
)

// A fixed seed makes failures reproducible.
func init() { _ = flag.Set("rapid.seed", "20") }

// Guards against a retry that may run a request twice, that comes too close to the deadline, or that another hop has
// made already.
func TestDecide(t *testing.T) {
	now := time.Unix(100, 0)
	ok := Attempt{Cause: metric.RetryConnectFailed, Outcome: idempotency.OutcomeNotRun, MaxRetries: 2, Deadline: now.Add(time.Second)}
	with := func(change func(*Attempt)) Attempt { a := ok; change(&a); return a }
	for name, c := range map[string]struct {
		a    Attempt
		want metric.Retry
	}{
		"not run":            {ok, metric.RetryConnectFailed},
		"unknown":            {with(func(a *Attempt) { a.Outcome = idempotency.OutcomeUnknown }), metric.DeniedNotIdempotent},
		"unknown idempotent": {with(func(a *Attempt) { a.Outcome, a.Idempotent = idempotency.OutcomeUnknown, true }), metric.RetryConnectFailed},
		"answered":           {with(func(a *Attempt) { a.Outcome, a.Idempotent = idempotency.OutcomeAnswered, true }), metric.DeniedNotIdempotent},
		"retried below":      {with(func(a *Attempt) { a.RetriedBelow = true }), metric.DeniedRetriedBelow},
		"too many":           {with(func(a *Attempt) { a.Retries = 2 }), metric.DeniedMaxRetries},
		"deadline":           {with(func(a *Attempt) { a.Deadline = now.Add(time.Millisecond) }), metric.DeniedDeadline},
	} {
		d := New(Settings{}).Decide(now, c.a)
		if d.Reason != c.want || d.Retry != (c.want == ok.Cause) {
			t.Errorf("%s: decision %+v, want reason %s", name, d, c.want)
		}
	}
}

// Guards against more retries than a tenth of the successes and the floor allow, in any order of events. Without the
// budget, the same events pass all retries.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now, start := time.Unix(100, 0), time.Unix(100, 0)
		limited, unlimited := New(Settings{}), New(Settings{Unlimited: true})
		successes, retries, baseline, asked := 0, 0, 0, 0
		for _, step := range rapid.SliceOfN(rapid.IntRange(0, 3), 1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(step) * 10 * time.Millisecond)
			if step > 1 {
				limited.Success()
				successes++
				continue
			}
			a := Attempt{Outcome: idempotency.OutcomeNotRun, MaxRetries: 1, Deadline: now.Add(time.Second)}
			asked++
			if limited.Decide(now, a).Retry {
				retries++
			}
			if unlimited.Decide(now, a).Retry {
				baseline++
			}
		}
		most := 0.1*float64(successes) + DefaultFloorBurst + DefaultFloor*now.Sub(start).Seconds()
		if float64(retries) > most+1e-6 || baseline != asked {
			t.Fatalf("%d retries for %d successes, want at most %.1f; %d of %d without a budget",
				retries, successes, most, baseline, asked)
		}
	})
}
