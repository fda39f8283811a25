package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/monsoonlatch/monsoonlatch/pkg/directory"
	"github.com/monsoonlatch/monsoonlatch/pkg/rollout"
)

// Guards against output that hides what a judgement rests on, or forges lines with names from outside.
func TestRolloutCommand(t *testing.T) {
	report := directory.RolloutReport{Node: "a", Known: true, Decider: "127.0.0.1:1", Plans: []directory.RolloutPlan{{Service: "desk", Target: "v2", Phase: "trial", Share: 0.08}, {Service: "office", Target: "v3", Phase: "completed"}},
		Orders: []rollout.View{{Service: "desk", Target: "v2\nforged", Phase: "trial", AgeSeconds: 3, DurationSecs: 20, Exposed: 41, Requests: 900, Allowed: 111, Granted: 90, Answers: 40, Failures: 2, Judgement: "not clear"}}}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/rollouts" {
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(report)
	}))
	defer srv.Close()
	address := strings.TrimPrefix(srv.URL, "http://")
	do := func(args ...string) (int, string, string) {
		var out, errOut bytes.Buffer
		code := run(t.Context(), append([]string{"rollout"}, args...), strings.NewReader(""), &out, &errOut)
		return code, out.String(), errOut.String()
	}
	if code, out, errOut := do("desk", "--node", address); code != exitOK || !strings.Contains(out, "41 of 900 requests, 111 allowed, 90 granted") ||
		strings.Contains(out, "\nforged") || strings.Contains(out, "office") {
		t.Errorf("code %d, output %q, errors %q", code, out, errOut)
	}
	code, out, _ := do("--node", address, "--json")
	var got directory.RolloutReport
	if err := json.Unmarshal([]byte(out), &got); err != nil || code != exitOK || len(got.Plans) != 2 || got.Orders[0].Judgement != "not clear" {
		t.Errorf("code %d, output %q, error %v", code, out, err)
	}
	if code, _, errOut := do(); code != exitUsage || !strings.Contains(errOut, "--node") {
		t.Errorf("without a node: code %d, errors %q", code, errOut)
	}
	srv.Config.Handler = http.NotFoundHandler()
	if code, _, errOut := do("--node", address); code != exitFailed || !strings.Contains(errOut, "remedy") {
		t.Errorf("at a node without roll-outs: code %d, errors %q", code, errOut)
	}
}

// Guards against a question to the wrong address: the decider is known by its control address, whose port differs.
func TestDeciderAddress(t *testing.T) {
	for _, c := range [][3]string{{"10.0.0.1:7990", "10.0.0.2:7700", "10.0.0.2:7990"}, {"10.0.0.1:7990", "10.0.0.1:7700", ""}, {"10.0.0.1:7990", "", ""}} {
		if got := deciderAddress(c[0], c[1]); got != c[2] {
			t.Errorf("decider %q of the node at %s: %q, want %q", c[1], c[0], got, c[2])
		}
	}
}
