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

// sent is a keyed request as a caller sent it. name is the caller's own name for it.
type sent struct{ name, key, path, body string }

// got is how the request ended for its caller, and how often the backend servers ran this request of the key.
type got struct {
	outcome string
	text    string
	runs    int
}

// recorder keeps the history of keyed requests.
type recorder struct {
	m     *mesh
	begin time.Time
	mu    sync.Mutex
	ops   []porcupine.Operation
}

func newRecorder(m *mesh) *recorder { return &recorder{m: m, begin: time.Now()} }

// send sends a keyed request and records it. The return of a request with an unknown outcome is open: it may run later.
func (r *recorder) send(in *instance, path, key, body string, headers ...string) answer {
	r.mu.Lock()
	id := len(r.ops)
	name := fmt.Sprintf("%s-call-%d", r.m.t.Name(), id)
	r.ops = append(r.ops, porcupine.Operation{ClientId: id, Input: sent{name, key, path, body}, Output: got{outcome: "unknown"},
		Call: int64(time.Since(r.begin)), Return: math.MaxInt64})
	r.mu.Unlock()
	a := call(in.callers, http.MethodPost, path, key, body, append(headers, backend.HeaderCaller, name)...)
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case a.answered():
		r.ops[id].Output, r.ops[id].Return = got{outcome: "answered", text: a.body}, int64(time.Since(r.begin))
	case a.err == nil && a.outcome == "not-run":
		r.ops[id].Output, r.ops[id].Return = got{outcome: "not-run"}, int64(time.Since(r.begin))
	}
	return a
}

// judge fails the test unless the history and the counts of the backend servers agree with at most one run per key.
func (r *recorder) judge() {
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
		out := op.Output.(got)
		out.runs = runs[op.Input.(sent).name]
		op.Output = out
		totals[out.outcome]++
		totals["run"] += out.runs
		history[i] = op
	}
	r.m.t.Logf("%d requests: %v", len(history), totals)
	for _, part := range partition(history) {
		if !porcupine.CheckOperations(model, part) {
			r.m.t.Errorf("no order of these requests has at most one run, true refusals and the run's own answer:\n%s", describe(part))
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

func partition(history []porcupine.Operation) [][]porcupine.Operation {
	byKey := make(map[string][]porcupine.Operation)
	for _, op := range history {
		key := op.Input.(sent).key
		byKey[key] = append(byKey[key], op)
	}
	parts := make([][]porcupine.Operation, 0, len(byKey))
	for _, ops := range byKey {
		parts = append(parts, ops)
	}
	return parts
}

// keyState is the run of a key. text is its answer, empty until a caller has seen it.
type keyState struct {
	ran        bool
	body, text string
}

// model allows one run per key. A refused request has not run, and an answered one carries the answer of the one run.
var model = porcupine.Model{
	Init: func() any { return keyState{} },
	Step: func(state, input, output any) (bool, any) { return step(state.(keyState), input.(sent), output.(got)) },
}

func step(s keyState, in sent, out got) (bool, keyState) {
	if out.runs > 0 {
		if s.ran || out.runs > 1 || out.outcome == "not-run" {
			return false, s
		}
		s = keyState{ran: true, body: in.body}
	}
	if out.outcome != "answered" {
		return true, s
	}
	whole := strings.HasPrefix(out.text, "ran POST "+in.path+" ")
	if !s.ran || s.body != in.body || !whole || (s.text != "" && s.text != out.text) {
		return false, s
	}
	s.text = out.text
	return true, s
}

// Guards against a judgement that passes histories with a doubled run, a false refusal or a foreign answer.
func TestModelRefusesFaults(t *testing.T) {
	text := "ran POST /deposits 1"
	op := func(at int64, name, body string, out got) porcupine.Operation {
		return porcupine.Operation{ClientId: int(at), Input: sent{name, "k", "/deposits", body}, Output: out, Call: at, Return: at}
	}
	ran, replay := got{"answered", text, 1}, got{"answered", text, 0}
	for name, tc := range map[string]struct {
		ops  []porcupine.Operation
		want bool
	}{
		"run and replay":       {[]porcupine.Operation{op(1, "a", "x", ran), op(3, "b", "x", replay)}, true},
		"refused and run":      {[]porcupine.Operation{op(1, "a", "x", got{"not-run", "", 0}), op(3, "b", "x", ran)}, true},
		"doubled run":          {[]porcupine.Operation{op(1, "a", "x", got{"unknown", "", 1}), op(3, "b", "x", ran)}, false},
		"doubled by one call":  {[]porcupine.Operation{op(1, "a", "x", got{"answered", text, 2})}, false},
		"false refusal":        {[]porcupine.Operation{op(1, "a", "x", got{"not-run", "", 1})}, false},
		"foreign answer":       {[]porcupine.Operation{op(1, "a", "x", ran), op(3, "b", "x", got{"answered", text + "2", 0})}, false},
		"answer without a run": {[]porcupine.Operation{op(1, "a", "x", replay)}, false},
		"replay to other body": {[]porcupine.Operation{op(1, "a", "x", ran), op(3, "b", "y", replay)}, false},
	} {
		if got := porcupine.CheckOperations(model, tc.ops); got != tc.want {
			t.Errorf("%s: passed %v, want %v", name, got, tc.want)
		}
	}
}
