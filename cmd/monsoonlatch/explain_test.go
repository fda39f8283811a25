package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/monsoonlatch/monsoonlatch/pkg/proxy"
)

// Guards against output that hides why a request goes where it goes, forges lines, shows the key, or sends it elsewhere than in the
// body, and against exit codes other than the documented ones.
func TestExplainCommand(t *testing.T) {
	const key = "explained-key-77"
	report := proxy.ExplainReport{Node: "a", Version: 4, Route: "safe", Policy: "urgent", Service: "office", Tenant: "pulo\nforged", Quota: proxy.QuotaNotAsked,
		TargetMs: 250, DeadlineMs: 2000, Balancing: "completion", Draws: 32, Total: 2, Candidates: []proxy.ExplainCandidate{
			{Instance: "office-1", Zone: "west", State: "ready", Chosen: 32, Relation: "in_zone", Load: &proxy.ExplainLoad{InUse: 3, Limit: 4, Queued: 1}, CompletionMs: 12.5},
			{Instance: "office-2", Zone: "east", State: "ready", PassedOver: "zone_cut_off"}}}
	var asked proxy.ExplainRequest
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.String() != "/explain" || r.Method != http.MethodPost || r.Header.Get("Authorization") != "" {
			t.Errorf("%s %s", r.Method, r.URL)
		}
		_ = json.NewDecoder(r.Body).Decode(&asked)
		w.Header().Set("Content-Type", "application/json")
		if asked.Path == "bad" {
			w.WriteHeader(http.StatusBadRequest)
			_, _ = w.Write([]byte(`{"error":"the path is invalid"}`))
			return
		}
		_ = json.NewEncoder(w).Encode(report)
	}))
	defer srv.Close()
	address := strings.TrimPrefix(srv.URL, "http://")
	do := func(stdin string, args ...string) (int, string, string) {
		var out, errOut bytes.Buffer
		code := run(t.Context(), append([]string{"explain"}, args...), strings.NewReader(stdin), &out, &errOut)
		if strings.Contains(out.String()+errOut.String(), key) {
			t.Errorf("%v: the key is shown: %s%s", args, out.String(), errOut.String())
		}
		return code, out.String(), errOut.String()
	}
	code, out, errOut := do(key+"\n", "/safe/7", "--method", "POST", "--body-bytes", "9", "--host", "h", "--key-file", "-", "--node", address)
	if want := (proxy.ExplainRequest{Host: "h", Method: "POST", Path: "/safe/7", BodyBytes: 9, Key: key}); code != exitOK || asked != want {
		t.Errorf("code %d, errors %q, asked for a path %q", code, errOut, asked.Path)
	}
	for _, want := range []string{"configuration version 4", "route safe", "not asked", "3+1/4", "12.5ms", "chosen: in_zone", "passed over: zone_cut_off", "rank 0"} {
		if !strings.Contains(strings.Join(strings.Fields(out), " "), want) {
			t.Errorf("%q is missing in:\n%s", want, out)
		}
	}
	if strings.Contains(out, "\nforged") {
		t.Errorf("a name forges a line:\n%s", out)
	}
	file := filepath.Join(t.TempDir(), "key")
	if err := os.WriteFile(file, []byte(key), 0o600); err != nil {
		t.Fatal(err)
	}
	code, out, _ = do("", "/safe/7", "--key-file", file, "--node", address, "--json")
	var got proxy.ExplainReport
	if err := json.Unmarshal([]byte(out), &got); err != nil || code != exitOK || len(got.Candidates) != 2 || asked.Key != key {
		t.Errorf("code %d, output %q, error %v", code, out, err)
	}
	for name, c := range map[string]struct {
		stdin string
		args  []string
		code  int
	}{
		"no node":      {"", []string{"/safe/7"}, exitUsage},
		"no path":      {"", []string{"--node", address}, exitUsage},
		"bad path":     {key, []string{"bad", "--key-file", "-", "--node", address}, exitUsage},
		"empty key":    {"\n", []string{"/safe/7", "--key-file", "-", "--node", address}, exitUsage},
		"missing file": {"", []string{"/safe/7", "--key-file", file + "x", "--node", address}, exitUsage},
		"no listener":  {key, []string{"/safe/7", "--key-file", "-", "--node", "127.0.0.1:1"}, exitFailed},
	} {
		if code, _, errOut := do(c.stdin, c.args...); code != c.code || errOut == "" {
			t.Errorf("%s: code %d, want %d; errors %q", name, code, c.code, errOut)
		}
	}
	srv.Config.Handler = http.NotFoundHandler()
	if code, _, errOut := do("", "/safe/7", "--node", address); code != exitFailed || !strings.Contains(errOut, "remedy") {
		t.Errorf("at a node that explains nothing: code %d, errors %q", code, errOut)
	}
}
