package release_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	standin "github.com/monsoonlatch/monsoonlatch/internal/standin/platform"
	"github.com/monsoonlatch/monsoonlatch/pkg/config"
	"github.com/monsoonlatch/monsoonlatch/pkg/fault"
	"github.com/monsoonlatch/monsoonlatch/pkg/platform"
	"github.com/monsoonlatch/monsoonlatch/pkg/release"
)

const (
	raceSeed          = 20261204
	operators         = 5
	notesPerOperator  = 8
	sharedNotes       = 6
	outcomeRead       = "read"
	outcomeAccepted   = "accepted"
	outcomeRecognised = "recognised"
	outcomeRejected   = "rejected"
	outcomeUnknown    = "unknown"
)

// observation is the result that an operator observed: the outcome and version of its note, or for a read the note ids
// ordered by version.
type observation struct {
	outcome string
	version int
	ids     string
}

// headModel models the head as the comma-separated list of accepted note ids. The version is the length of the list.
var headModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{""} },
	Step: func(state, input, output any) []any {
		ids, id, out := splitIDs(state.(string)), input.(string), output.(observation)
		appended := strings.Join(append(slices.Clone(ids), id), ",")
		position := slices.Index(ids, id) + 1
		switch {
		case out.outcome == outcomeRead && out.ids == state.(string),
			out.outcome == outcomeRejected && position == 0,
			out.outcome == outcomeRecognised && position == out.version:
			return []any{state}
		case out.outcome == outcomeAccepted || out.outcome == outcomeRecognised:
			if position == 0 && out.version == len(ids)+1 {
				return []any{appended}
			}
		case out.outcome == outcomeUnknown && position == 0:
			return []any{state, appended}
		case out.outcome == outcomeUnknown:
			return []any{state}
		}
		return nil
	},
	Equal: func(a, b any) bool { return a == b },
}

func splitIDs(s string) []string {
	if s == "" {
		return nil
	}
	return strings.Split(s, ",")
}

// history records the operations of all operators for the linearizability check.
type history struct {
	server *standin.Server
	store  platform.Store
	start  time.Time

	mu  sync.Mutex
	ops []porcupine.Operation
}

// record runs f and records it as an operation of the client on the note id, or as a read of the head if id is empty.
func (h *history) record(client int, id string, f func() observation) observation {
	call := time.Since(h.start).Nanoseconds()
	out := f()
	end := time.Since(h.start).Nanoseconds()
	if out.outcome == outcomeUnknown {
		end = math.MaxInt64 // The write may still take effect at any later time.
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: id, Call: call, Output: out, Return: end})
	return out
}

// runOperator submits notes while it injects platform faults, resubmits notes with an unknown outcome, and reads the
// head after each note.
func (h *history) runOperator(t *testing.T, client int) {
	server, store := h.server, h.store
	random := rand.New(rand.NewPCG(raceSeed, uint64(client)))
	for i := range notesPerOperator {
		note := randomNote(random, client, i)
		switch random.IntN(6) {
		case 0, 1:
			server.SetFaults(standin.Faults{LoseAnswers: 1 + random.IntN(2)})
		case 2:
			server.SetFaults(standin.Faults{Down: true})
			time.AfterFunc(time.Duration(random.IntN(40))*time.Millisecond, func() { server.SetFaults(standin.Faults{}) })
		}
		for range 20 {
			out := h.record(client, note.ID, func() observation { return observeSubmit(t, store, note) })
			if out.outcome != outcomeUnknown {
				break
			}
			client += operators // A client runs one operation at a time, and the one with unknown outcome is still pending.
		}
		h.record(client, "", func() observation {
			head, err := release.ReadHead(t.Context(), store)
			if err != nil {
				return observation{outcome: outcomeUnknown}
			}
			return observation{outcome: outcomeRead, ids: noteIDs(head)}
		})
	}
}

// randomNote returns a random note: one with names that no other operator uses, one that several operators submit, or
// one that changes the policy that other operators change as well.
func randomNote(random *rand.Rand, client, i int) config.ReleaseNote {
	switch random.IntN(4) {
	case 0:
		n := random.IntN(sharedNotes)
		return addRoute(fmt.Sprintf("shared-%d", n), fmt.Sprintf("shared-%d", n))
	case 1:
		p := firstNote().Add.Policies[0]
		p.Worth = client*notesPerOperator + i
		return config.ReleaseNote{ID: fmt.Sprintf("change-%d-%d", client, i), Author: "ops", Change: config.Items{Policies: []config.Policy{p}}}
	}
	name := fmt.Sprintf("own-%d-%d", client, i)
	return addRoute(name, name)
}

// noteIDs returns the ids of the accepted notes, joined by commas.
func noteIDs(head config.Head) string {
	var out []string
	for _, n := range head.Notes {
		out = append(out, n.ID)
	}
	return strings.Join(out, ",")
}

// observeSubmit submits the note and classifies the result.
func observeSubmit(t *testing.T, store platform.Store, note config.ReleaseNote) observation {
	r, err := release.Submit(t.Context(), store, note)
	switch {
	case fault.Is(err, fault.Unavailable):
		return observation{outcome: outcomeUnknown}
	case fault.Is(err, fault.Conflict) || fault.Is(err, fault.Invalid):
		return observation{outcome: outcomeRejected}
	case err != nil:
		t.Errorf("%s: %v", note.ID, err)
		return observation{outcome: outcomeUnknown}
	case r.Recognised:
		return observation{outcome: outcomeRecognised, version: int(r.Record.Version)}
	}
	return observation{outcome: outcomeAccepted, version: int(r.Record.Version)}
}

// Guards against two notes with the same head version, a note that is applied twice or after it was rejected, and a
// read of a state that the head never had. Operators submit concurrently while responses are lost and the platform
// fails.
func TestRacingOperatorsAreLinearizable(t *testing.T) {
	server, store := startPlatform(t)
	h := &history{server: server, store: store, start: time.Now()}
	h.record(0, "first", func() observation { return observeSubmit(t, store, firstNote()) })
	var wg sync.WaitGroup
	for client := range operators {
		wg.Go(func() { h.runOperator(t, client) })
	}
	wg.Wait()
	server.SetFaults(standin.Faults{})
	head, err := release.ReadHead(t.Context(), store)
	if err != nil {
		t.Fatal(err)
	}
	h.record(0, "", func() observation { return observation{outcome: outcomeRead, ids: noteIDs(head)} })
	model := headModel.ToModel()
	if result := porcupine.CheckOperationsTimeout(model, h.ops, time.Minute); result != porcupine.Ok {
		t.Errorf("seed %d: linearizability check of %d operations: %s", raceSeed, len(h.ops), result)
	}
	outcomes := make(map[string]int)
	for _, op := range h.ops {
		outcomes[op.Output.(observation).outcome]++
	}
	t.Logf("version %d, outcomes %v", head.Version, outcomes)
	checkApplied(t, head)
}

// checkApplied compares the configuration with the records of accepted notes in the head.
func checkApplied(t *testing.T, head config.Head) {
	routes := 0
	for _, n := range head.Notes {
		for _, r := range n.Touched.Routes {
			routes++
			if _, ok := head.Configuration.Routes[r]; !ok {
				t.Errorf("route %s of note %s is missing", r, n.ID)
			}
		}
	}
	if routes != len(head.Configuration.Routes) || int(head.Version) != len(head.Notes) {
		t.Errorf("version %d with %d notes, %d routes, want %d", head.Version, len(head.Notes), len(head.Configuration.Routes), routes)
	}
}
