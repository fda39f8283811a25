package main

import (
	"encoding/json"
	"fmt"
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
	ask := func(v *vm, method, path, body string) (int, string) {
		t.Helper()
		req, err := http.NewRequest(method, "http://"+v.operators+path, strings.NewReader(body))
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
	status, answer := ask(desk, "POST", "/explain", `{"host":"a.example","path":"/safe/1","key":"`+firstKey+`"}`)
	var report proxy.ExplainReport
	if err := json.Unmarshal([]byte(answer), &report); err != nil || status != 200 || report.Tenant != "pulo" || report.Refusal != nil || report.Version != 3 ||
		len(report.Candidates) != 1 || report.Candidates[0].Instance != "office-1" || report.Candidates[0].Chosen != report.Draws || report.Service != "office" {
		t.Errorf("status %d, answer %s, error %v", status, answer, err)
	}
	_, refused := ask(desk, "POST", "/explain", `{"host":"a.example","path":"/safe/1","key":"`+strangeKey+`"}`)
	if !strings.Contains(refused, `"status":401`) {
		t.Errorf("explained with an unknown key as %s", refused)
	}
	if runs() != before {
		t.Error("the explained request was sent")
	}
	var tenants admin.TenantReport
	status, listed := ask(desk, "GET", "/tenants?top=5", "")
	if err := json.Unmarshal([]byte(listed), &tenants); err != nil || status != 200 || tenants.Node != "desk-1" || tenants.Refusals["unknown_key"] == 0 {
		t.Errorf("status %d, answer %s, error %v", status, listed, err)
	}
	for i := range 10 { // The counts decay, so that a single request is soon rounded to none.
		if r := desk.call("GET", "/safe/1", fmt.Sprint("use-", i), "Authorization", "Bearer "+firstKey); r.status != 200 {
			t.Errorf("request of the workspace: %+v", r)
		}
	}
	var used admin.TenantReport
	_, users := ask(office, "GET", "/tenants", "")
	if err := json.Unmarshal([]byte(users), &used); err != nil || len(used.Top) != 1 || used.Top[0].Name != "pulo" || used.Top[0].Started < 5 {
		t.Errorf("answer of the node that served the workspace %s, error %v", users, err)
	}
	if status, _ := ask(desk, "GET", "/tenants?top=0", ""); status != http.StatusBadRequest {
		t.Errorf("no tenants asked for: status %d", status)
	}
	if _, text := ask(desk, "GET", "/metrics", ""); !strings.Contains(text, "refused.unknown_key") {
		t.Error("the metrics are gone")
	}
	for place, data := range map[string]string{"the answer": answer + refused + listed + users, "the messages between nodes": between.String(), "the logs": log.String()} {
		for _, key := range []string{firstKey, strangeKey} {
			if strings.Contains(data, key) {
				t.Errorf("%s contain the key %s", place, key)
			}
		}
	}
}
