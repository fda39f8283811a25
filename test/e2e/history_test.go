package e2e

import (
	"fmt"
	"math"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/monsoonlatch/monsoonlatch/internal/standin/backend"
)

// request is a request with an idempotency key. name identifies it in the counts of the backend servers.
type request struct{ name, key, path, body string }

// result is the outcome of a request for its caller, the text of the response, and how often backend servers ran it.
type result struct {
	outcome string
	text    string
	runs    int
}

// recorder records the history of requests with an idempotency key.
type recorder struct {
	m     *mesh
	start time.Time
	mu    sync.Mutex
	ops   []porcupine.Operation
}

func newRecorder(m *mesh) *recorder { return &recorder{m: m, start: time.Now()} }

// send sends a request with an idempotency key and records it. A request with an unknown outcome has no return time in
// the history, because it may still run later.
func (r *recorder) send(in *instance, path, key, body string, headers ...string) response {
	r.mu.Lock()
	id := len(r.ops)
	name := fmt.Sprintf("%s-call-%d", r.m.t.Name(), id)
	r.ops = append(r.ops, porcupine.Operation{ClientId: id, Input: request{name, key, path, body},
		Output: result{outcome: "unknown"}, Call: int64(time.Since(r.start)), Return: math.MaxInt64})
	r.mu.Unlock()
	resp := call(in.callers, http.MethodPost, path, key, body, append(headers, backend.HeaderCaller, name)...)
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case resp.succeeded():
		r.ops[id].Output, r.ops[id].Return = result{outcome: "answered", text: resp.body}, int64(time.Since(r.start))
	case resp.err == nil && resp.outcome == "not-run":
		r.ops[id].Output, r.ops[id].Return = result{outcome: "not-run"}, int64(time.Since(r.start))
	}
	return resp
}

// check fails the test unless the history and the counts of the backend servers are consistent with the model.
func (r *recorder) check() {
	r.m.t.Helper()
	runs := make(map[string]int)
	for _, in := range r.m.instances {
		for name, n := range in.counts().Callers {
			runs[name] += n
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	history, totals := make([]porcupine.Operation, len(r.ops)), make(map[string]int)
	for i, op := range r.ops {
		out := op.Output.(result)
		out.runs = runs[op.Input.(request).name]
		op.Output = out
		totals[out.outcome]++
		totals["run"] += out.runs
		history[i] = op
	}
	r.m.t.Logf("%d requests: %v", len(history), totals)
	for _, part := range partitionByKey(history) {
		if !porcupine.CheckOperations(model, part) {
			r.m.t.Errorf("no order of these calls has at most one run, no run of a refused call and a single response text:\n%s",
				describe(part))
		}
	}
}

func describe(ops []porcupine.Operation) string {
	var b strings.Builder
	for _, op := range ops {
		fmt.Fprintf(&b, "%+v -> %+v\n", op.Input, op.Output)
	}
	return b.String()
}

func partitionByKey(history []porcupine.Operation) [][]porcupine.Operation {
	byKey := make(map[string][]porcupine.Operation)
	for _, op := range history {
		key := op.Input.(request).key
		byKey[key] = append(byKey[key], op)
	}
	parts := make([][]porcupine.Operation, 0, len(byKey))
	for _, ops := range byKey {
		parts = append(parts, ops)
	}
	return parts
}

// keyState states whether a request with the key has run. text is its response, empty until a caller has received it.
type keyState struct {
	ran        bool
	body, text string
}

// model allows one run per key: a refused request has not run, and every response is that of the single run.
var model = porcupine.Model{
	Init: func() any { return keyState{} },
	Step: func(state, input, output any) (bool, any) {
		return step(state.(keyState), input.(request), output.(result))
	},
}

// step reports whether the result of a request is possible in a state, and returns the next state.
func step(s keyState, in request, out result) (bool, keyState) {
	if out.runs > 0 {
		if s.ran || out.runs > 1 || out.outcome == "not-run" {
			return false, s
		}
		s = keyState{ran: true, body: in.body}
	}
	if out.outcome != "answered" {
		return true, s
	}
	ownResponse := strings.HasPrefix(out.text, "ran POST "+in.path+" ")
	if !s.ran || s.body != in.body || !ownResponse || (s.text != "" && s.text != out.text) {
		return false, s
	}
	s.text = out.text
	return true, s
}

// Guards against a model that accepts a history with a second run, a run of a refused request, or a response that is
// not that of the run.
func TestModelRefusesFaults(t *testing.T) {
	text := "ran POST /deposits 1"
	op := func(at int64, name, body string, out result) porcupine.Operation {
		return porcupine.Operation{ClientId: int(at), Input: request{name, "k", "/deposits", body}, Output: out, Call: at,
			Return: at}
	}
	ran, replay := result{"answered", text, 1}, result{"answered", text, 0}
	for name, tc := range map[string]struct {
		ops  []porcupine.Operation
		want bool
	}{
		"run and replay":     {[]porcupine.Operation{op(1, "a", "x", ran), op(3, "b", "x", replay)}, true},
		"refused, then run":  {[]porcupine.Operation{op(1, "a", "x", result{"not-run", "", 0}), op(3, "b", "x", ran)}, true},
		"second run":         {[]porcupine.Operation{op(1, "a", "x", result{"unknown", "", 1}), op(3, "b", "x", ran)}, false},
		"one call, two runs": {[]porcupine.Operation{op(1, "a", "x", result{"answered", text, 2})}, false},
		"refused but run":    {[]porcupine.Operation{op(1, "a", "x", result{"not-run", "", 1})}, false},
		"other response": {[]porcupine.Operation{op(1, "a", "x", ran),
			op(3, "b", "x", result{"answered", text + "2", 0})}, false},
		"replay without run": {[]porcupine.Operation{op(1, "a", "x", replay)}, false},
		"replay, other body": {[]porcupine.Operation{op(1, "a", "x", ran), op(3, "b", "y", replay)}, false},
	} {
		if got := porcupine.CheckOperations(model, tc.ops); got != tc.want {
			t.Errorf("%s: accepted %v, want %v", name, got, tc.want)
		}
	}
}
