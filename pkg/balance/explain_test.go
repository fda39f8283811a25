package balance

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
)

// explainedPicker returns a picker with a random past: instances in all states and zones, refusals, failures and requests in
// flight.
func explainedPicker(t *rapid.T) (*Picker, time.Time) {
	settings := Settings{AvailabilityZone: "a", ZonePreference: 0.3, LateZonePreference: 1, RandomSource: rand.NewPCG(1, uint64(rapid.IntRange(0, 1<<20).Draw(t, "seed")))}
	switch rapid.IntRange(0, 4).Draw(t, "policy") {
	case 0:
		settings.Random = true
	case 1, 2:
		settings.Completion = Completion{MaxSlots: 6, Sample: rapid.SampledFrom([]int{-1, 0, 2}).Draw(t, "sample")}
	}
	p, now := New(settings), t0
	records := make([]membership.Instance, rapid.IntRange(0, 8).Draw(t, "instances"))
	for i := range records {
		records[i] = membership.Instance{ID: membership.InstanceID(fmt.Sprint("i", i)), Service: "desk", Slots: 6, Incarnation: 1,
			AvailabilityZone: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone"), State: membership.StateReady}
		if rapid.IntRange(0, 5).Draw(t, "draining") == 0 {
			records[i].State = membership.StateDraining
		}
	}
	p.Update(t0, "desk", records)
	for range rapid.IntRange(0, 60).Draw(t, "attempts") {
		now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "step")) * time.Millisecond)
		if len(records) == 0 {
			break
		}
		id := records[rapid.IntRange(0, len(records)-1).Draw(t, "instance")].ID
		p.Reserve(id)
		if rapid.IntRange(0, 3).Draw(t, "held") == 0 {
			continue
		}
		latency := time.Duration(rapid.IntRange(1, 300).Draw(t, "latency")) * time.Millisecond
		o := Observation{Event: Event(rapid.IntRange(0, int(EventErrored)).Draw(t, "event")), Full: rapid.IntRange(0, 3).Draw(t, "full") == 0,
			Silent: rapid.Bool().Draw(t, "silent"), Rank: 1, Latency: latency, Route: "lookup", RouteTime: latency}
		if rapid.Bool().Draw(t, "reports") {
			o.Load = &Load{InUse: rapid.IntRange(0, 6).Draw(t, "inUse"), Limit: 6, Queued: rapid.IntRange(0, 9).Draw(t, "queued"), SlotTime: latency}
		}
		p.Observe(now, id, o)
	}
	return p, now
}

func explainedRequest(t *rapid.T, p *Picker) Request {
	r := Request{Service: "desk", Rank: 1, Route: "lookup", TargetLeft: time.Duration(rapid.IntRange(-1, 8).Draw(t, "target")) * 100 * time.Millisecond,
		DeadlineLeft: time.Second}
	if list := p.services["desk"]; len(list) > 0 && rapid.IntRange(0, 2).Draw(t, "retry") == 0 {
		r.Exclude = []membership.InstanceID{list[0].record.ID}
	}
	if rapid.IntRange(0, 3).Draw(t, "limited") == 0 {
		r.Allow = func(in *membership.Instance) bool { return in.ID != "i1" }
	}
	return r
}

// Guards against an explanation that differs from the decision: an instance that is said to be passed over is chosen, or the
// explanation finds an instance where the decision finds none, or the reverse.
func TestExplanationAgreesWithTheChoice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, now := explainedPicker(t)
		r := explainedRequest(t, p)
		explanation := p.Snapshot("desk", "lookup").Explain(now, r)
		eligible := make(map[membership.InstanceID]bool)
		for _, c := range explanation.Candidates {
			if c.Reason == Eligible {
				eligible[c.Instance.ID] = true
			}
		}
		if len(explanation.Candidates) != len(p.services["desk"]) {
			t.Fatalf("%d candidates of %d instances", len(explanation.Candidates), len(p.services["desk"]))
		}
		for range 50 {
			// Each decision is made by the picker of the data path with the state that was explained.
			in, _ := p.decide(now, &r)
			if (in != nil) != (len(eligible) > 0) || in != nil && !eligible[in.record.ID] {
				t.Fatalf("the decision is %+v; explained as %+v", in, explanation.Candidates)
			}
		}
	})
}

// Guards against an order of candidates that is not the one of the decision, where that has no random part.
func TestFirstCandidateIsTheChosenOne(t *testing.T) {
	chosen := 0
	rapid.Check(t, func(t *rapid.T) {
		p, now := explainedPicker(t)
		r := explainedRequest(t, p)
		// All instances are compared, and only the best one is near enough to the best.
		p.settings.Completion.Sample, p.settings.Completion.Spread = -1, 1e-9
		candidates := p.Snapshot("desk", "lookup").Explain(now, r).Candidates
		counts := make(map[string]int)
		for _, c := range candidates {
			if c.Reason == Eligible {
				counts[map[bool]string{true: "own", false: "other"}[c.Instance.AvailabilityZone == "a"]]++
			}
		}
		if len(candidates) == 0 || candidates[0].Reason != Eligible || candidates[0].LastResort || p.settings.Random {
			return
		}
		compact := p.known["desk"].compact
		if !compact && (counts["own"] > 2 || counts["other"] > 2) {
			return // The choice is among two random instances of more.
		}
		near := candidates[0].Cost + minSpread
		for _, c := range candidates[1:] {
			if compact && c.Reason == Eligible && c.Cost <= near ||
				!compact && c.Reason == Eligible && c.Score == candidates[0].Score {
				return // The choice between equal instances is random.
			}
		}
		in, _ := p.decide(now, &r)
		if in == nil || in.record.ID != candidates[0].Instance.ID {
			t.Fatalf("the decision is %+v; explained as %+v", in, candidates)
		}
		chosen++
	})
	if chosen < 10 {
		t.Errorf("only %d cases without a random part", chosen)
	}
}

// Guards against an explanation that changes what the data path decides next, by its counts, its random numbers or its loads.
func TestExplanationChangesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, now := explainedPicker(t)
		r := explainedRequest(t, p)
		before := p.Snapshot("desk", "lookup")
		source := *p.settings.RandomSource.(*rand.PCG)
		s := p.Snapshot("desk", "lookup")
		s.Explain(now, r)
		for range 5 {
			_, _, _ = s.Choose(now, r)
		}
		s.Learn(now, []News{{ID: "i0", Load: Load{InUse: 1, Limit: 1}, Age: 0}})
		after := p.Snapshot("desk", "lookup")
		if !reflect.DeepEqual(before.picker.services, after.picker.services) || !reflect.DeepEqual(before.picker.known, after.picker.known) ||
			!reflect.DeepEqual(before.picker.zones, after.picker.zones) || source != *p.settings.RandomSource.(*rand.PCG) {
			t.Fatal("the explanation has changed the picker")
		}
	})
}

// Guards against reasons that do not name what keeps an instance from being chosen.
func TestReasonsOfCandidates(t *testing.T) {
	p := completionPicker(2, 100)
	records := []membership.Instance{p.byID["a0"].record, p.byID["a1"].record, p.byID["b0"].record, p.byID["b1"].record}
	records[1].State = membership.StateDraining
	p.Update(t0, "desk", records)
	p.byID["b0"].setUnreachable(t0, time.Second)
	p.byID["b1"].fullAt[0] = t0
	want := map[membership.InstanceID]Reason{"a0": Eligible, "a1": NotReady, "b0": Unreachable, "b1": QueueFull}
	r := Request{Service: "desk", Rank: 1, Route: "lookup"}
	for _, c := range p.Snapshot("desk", "lookup").Explain(t0, r).Candidates {
		if c.Reason != want[c.Instance.ID] {
			t.Errorf("%s: reason %q, want %q", c.Instance.ID, c.Reason, want[c.Instance.ID])
		}
	}
	records[0].State = membership.StateDraining
	p.Update(t0, "desk", records)
	for _, c := range p.Snapshot("desk", "lookup").Explain(t0, r).Candidates {
		if last := c.Instance.ID == "b0" || c.Instance.ID == "b1"; c.LastResort != last || last && c.Avoided != want[c.Instance.ID] {
			t.Errorf("%s: last resort %v in spite of %q", c.Instance.ID, c.LastResort, c.Avoided)
		}
	}
}
