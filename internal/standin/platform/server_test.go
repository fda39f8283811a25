package platform_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/monsoonlatch/monsoonlatch/internal/standin/platform"
)

const leases = "/apis/monsoonlatch.dev/v1/relayleases"

func call(t *testing.T, base, method, path, body string) (int, string) {
	t.Helper()
	req, err := http.NewRequest(method, base+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	data, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data)
}

// Guards against injected faults that do not have the effects that other tests rely on.
func TestInjectedFaults(t *testing.T) {
	server := httptest.NewServer(platform.NewServer())
	defer server.Close()
	step := func(method, path, body string, code int, contains string) {
		t.Helper()
		if got, text := call(t, server.URL, method, path, body); got != code || !strings.Contains(text, contains) {
			t.Errorf("%s %s %s: got %d %s", method, path, body, got, text)
		}
	}
	fault := func(body string) { t.Helper(); step("POST", "/_standin/faults", body, 200, "") }
	fault(`{"loseAnswers":1,"save":true}`)
	step("POST", leases, `{"metadata":{"name":"a"},"spec":{"n":1}}`, 0, "EOF")
	step("POST", leases, `{"metadata":{"name":"a"},"spec":{"n":1}}`, 409, "exists")
	fault(`{"staleReads":true}`)
	step("PUT", leases+"/a", `{"metadata":{"name":"a","resourceVersion":"1"},"spec":{"n":2}}`, 200, `"2"`)
	step("GET", leases+"/a", "", 200, `"n":1`)
	fault(`{}`)
	step("GET", leases+"/a", "", 200, `"n":2`)
	fault(`{"down":true}`)
	step("GET", leases+"/a", "", 0, "EOF")
	fault(`{"restore":true}`)
	step("GET", leases+"/a", "", 404, "not found")
	step("GET", leases+"?watch=true&resourceVersion=2", "", 410, "not available")
	step("POST", leases, "{", 400, "not an object")
	step("POST", leases, strings.Repeat(" ", 1<<20+1), 413, "1 MiB")
	step("POST", "/_standin/faults", `{"dwon":true}`, 400, "unknown field")
	step("GET", "/_standin/counts", "", 200, `"create":4,"update":1,"delete":0,"watch":1,"other":0,"total":`)
}
