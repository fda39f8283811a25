package rollout

import (
	"testing"
	"time"
)

const testDuration = 20 * time.Second

// Guards against a roll-out that takes a good version for a bad one, or ends with requests at instances that stop at once. The
// new instances are slow for three seconds after their start.
func TestGoodVersionIsCompleted(t *testing.T) {
	for _, c := range []struct {
		name                string
		old, new, perSecond int
		duration            time.Duration
	}{
		{"usual", 14, 14, 600, testDuration},
		{"few instances, few requests", 3, 3, 60, testDuration},
		{"many instances", 38, 38, 800, testDuration},
		{"short order", 14, 14, 600, 12 * time.Second},
		{"long order", 14, 14, 400, time.Minute},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(5) {
				s := newSim(t, seed, c.old, c.perSecond)
				s.run(2 * time.Second)
				s.order(c.duration, c.new, healthy)
				s.run(c.duration + 2*time.Second)
				if s.phase() != PhaseCompleted || s.endedAt.Sub(s.orderAt) > c.duration {
					t.Errorf("seed %d: phase %v after %v: %s", seed, s.phase(), s.endedAt.Sub(s.orderAt), s.reason())
				}
				if s.strandedAtEnd > 0 {
					t.Errorf("seed %d: %d requests were at the old version at the end", seed, s.strandedAtEnd)
				}
				if s.refused > 0 {
					t.Errorf("seed %d: %d requests found no instance", seed, s.refused)
				}
			}
		})
	}
}

// Guards against a bad version that is completed, gets more than its share, or is used for long after its bad answers.
func TestBadVersionIsRolledBack(t *testing.T) {
	underLoad := func(s *sim, in *simInstance, route string) (time.Duration, bool) {
		took, _ := healthy(s, in, route)
		return took, len(in.running) >= 2 && s.rng.Float64() < 0.5
	}
	later := func(after time.Duration, b behaviour) behaviour {
		return func(s *sim, in *simInstance, route string) (time.Duration, bool) {
			if s.now.Sub(in.started) < after {
				return healthy(s, in, route)
			}
			return b(s, in, route)
		}
	}
	oneRoute := func(b behaviour) behaviour {
		return func(s *sim, in *simInstance, route string) (time.Duration, bool) {
			if route != "lodge" {
				return healthy(s, in, route)
			}
			return b(s, in, route)
		}
	}
	for name, bad := range map[string]behaviour{
		"fails at once":             failing(0.3),
		"fails always":              failing(1),
		"fails a little":            failing(0.15),
		"slow at once":              slow(0.4, 4),
		"slow always":               slow(1, 3),
		"fails later":               later(8*time.Second, failing(0.3)),
		"slow later":                later(8*time.Second, slow(0.5, 5)),
		"fails under load":          underLoad,
		"fails on one route":        oneRoute(failing(0.4)),
		"slow on one route":         oneRoute(slow(0.5, 5)),
		"fails later, on one route": later(7*time.Second, oneRoute(failing(0.5))),
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(5) {
				s := newSim(t, seed, 14, 600)
				s.run(2 * time.Second)
				s.order(testDuration, 14, bad)
				s.run(testDuration + 5*time.Second)
				if s.phase() != PhaseRolledBack || s.endedAt.Sub(s.orderAt) > testDuration {
					t.Errorf("seed %d: phase %v after %v: %s", seed, s.phase(), s.endedAt.Sub(s.orderAt), s.reason())
				}
				s.mustKeepExposure()
			}
		})
	}
}
