package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/monsoonlatch/monsoonlatch/pkg/admin"
)

// Guards against a list that leaves out a node, hides that one did not answer, or forges lines with names from outside.
func TestTenantsCommand(t *testing.T) {
	serve := func(report admin.TenantReport) string {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.String() != "/tenants?top=7" {
				t.Errorf("asked for %s", r.URL)
			}
			w.Header().Set("Content-Type", "application/json")
			_ = json.NewEncoder(w).Encode(report)
		}))
		t.Cleanup(srv.Close)
		return strings.TrimPrefix(srv.URL, "http://")
	}
	first := serve(admin.TenantReport{Node: "a", InUse: 3, Limit: 4, Queued: 2, Tenants: 2, Top: []admin.TenantUse{{Name: "pulo\nforged", SlotMs: 812.5, InUse: 3, Asked: 41, Started: 39}},
		Refusals: map[string]int64{"queue_full": 17}})
	second := serve(admin.TenantReport{Node: "b", Top: []admin.TenantUse{{SlotMs: 4}}})
	do := func(args ...string) (int, string, string) {
		var out, errOut bytes.Buffer
		code := run(t.Context(), append([]string{"tenants", "--top", "7"}, args...), strings.NewReader(""), &out, &errOut)
		return code, out.String(), errOut.String()
	}
	code, out, errOut := do("--node", first+","+second, "--all")
	for _, want := range []string{"a: 3 of 4 slots in use, 2 requests waiting", "812.5ms", "41", "queue_full", "17", "(none)"} {
		if code != exitOK || !strings.Contains(out, want) || strings.Contains(out, "\nforged") {
			t.Errorf("code %d, errors %q, %q is missing in:\n%s", code, errOut, want, out)
		}
	}
	var got []admin.TenantReport
	code, out, errOut = do("--node", first, "--node", "127.0.0.1:1", "--all", "--json")
	if err := json.Unmarshal([]byte(out), &got); err != nil || code != exitFailed || len(got) != 1 || got[0].Refusals["queue_full"] != 17 || !strings.Contains(errOut, "127.0.0.1:1") {
		t.Errorf("with one node down: code %d, output %q, errors %q, error %v", code, out, errOut, err)
	}
	if code, out, errOut := do("--node", first, "--node", "127.0.0.1:1", "--all"); code != exitFailed || !strings.Contains(out, "queue_full") || !strings.Contains(errOut, "127.0.0.1:1") {
		t.Errorf("with one node down: code %d, output %q, errors %q", code, out, errOut)
	}
	for _, args := range [][]string{{}, {"--node", first, "--node", second}, {"--node", first, "--top", "0"}, {"--node", first, "--top", "201"}} {
		if code, _, errOut := do(args...); code != exitUsage || errOut == "" {
			t.Errorf("%v: code %d, errors %q", args, code, errOut)
		}
	}
}
