package main

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/monsoonlatch/monsoonlatch/pkg/admin"
	"github.com/monsoonlatch/monsoonlatch/pkg/proxy"
)

// Guards against a node that does not answer operators' questions, that sends a request which it only explains, or that passes the
// key on to other nodes, to logs or to the answer.
func TestOperatorsQuestions(t *testing.T) {
	_, desk, office, between, log := startTenantMesh(t, func(v *vm) { v.operators = freePort(t).String() })
	ask := func(method, path, body string) (int, string) {
		t.Helper()
		req, err := http.NewRequest(method, "http://"+desk.operators+path, strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		answer, err := io.ReadAll(resp.Body)
		if err != nil {
			t.Fatal(err)
		}
		return resp.StatusCode, string(answer)
	}
	runs := func() int {
		office.backendServer.mu.Lock()
		defer office.backendServer.mu.Unlock()
		return len(office.backendServer.headers)
	}
	before := runs()
	status, answer := ask("POST", "/explain", `{"host":"a.example","path":"/safe/1","key":"`+firstKey+`"}`)
	var report proxy.ExplainReport
	if err := json.Unmarshal([]byte(answer), &report); err != nil || status != 200 || report.Tenant != "pulo" || report.Refusal != nil || report.Version != 3 ||
		len(report.Candidates) != 1 || report.Candidates[0].Instance != "office-1" || report.Candidates[0].Chosen != report.Draws || report.Service != "office" {
		t.Errorf("status %d, answer %s, error %v", status, answer, err)
	}
	_, refused := ask("POST", "/explain", `{"host":"a.example","path":"/safe/1","key":"`+strangeKey+`"}`)
	if !strings.Contains(refused, `"status":401`) {
		t.Errorf("explained with an unknown key as %s", refused)
	}
	if runs() != before {
		t.Error("the explained request was sent")
	}
	var tenants admin.TenantReport
	status, listed := ask("GET", "/tenants?top=5", "")
	if err := json.Unmarshal([]byte(listed), &tenants); err != nil || status != 200 || tenants.Node != "desk-1" || tenants.Refusals["unknown_key"] == 0 {
		t.Errorf("status %d, answer %s, error %v", status, listed, err)
	}
	if status, _ := ask("GET", "/tenants?top=0", ""); status != http.StatusBadRequest {
		t.Errorf("no tenants asked for: status %d", status)
	}
	if _, text := ask("GET", "/metrics", ""); !strings.Contains(text, "refused.unknown_key") {
		t.Error("the metrics are gone")
	}
	for place, data := range map[string]string{"the answer": answer + refused + listed, "the messages between nodes": between.String(), "the logs": log.String()} {
		for _, key := range []string{firstKey, strangeKey} {
			if strings.Contains(data, key) {
				t.Errorf("%s contain the key %s", place, key)
			}
		}
	}
}
