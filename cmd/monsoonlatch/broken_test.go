package main

import (
	"bytes"
	"fmt"
	"maps"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/monsoonlatch/monsoonlatch/internal/standin/rawhttp"
)

// Guards against a malformed answer of a node, or one that was cut after its JSON value, that a command shows as the node's.
func TestBrokenAnswerOfANode(t *testing.T) {
	for _, c := range []struct{ status, contentType, body string }{{"200 OK", "application/json", `{"node":"a"}`},
		{"400 Bad Request", "application/json", `{"error":"the path is invalid"}`}, {"404 Not Found", "text/plain", "404 page not found"}} {
		head := "HTTP/1.1 " + c.status + "\r\nContent-Type: " + c.contentType + "\r\n"
		answers := rawhttp.InvalidNames(head, c.body)
		maps.Copy(answers, rawhttp.Cut(head, c.body))
		if c.status == "200 OK" {
			answers["more than the value"] = fmt.Sprintf("%sContent-Length: %d\r\n\r\n%[3]s%[3]s", head, 2*len(c.body), c.body)
		}
		for name, raw := range answers {
			srv := httptest.NewServer(rawhttp.Handler(raw))
			address := strings.TrimPrefix(srv.URL, "http://")
			for _, args := range [][]string{{"tenants", "--json", "--node", address}, {"explain", "/safe/7", "--json", "--node", address}} {
				var out, errOut bytes.Buffer
				if code := run(t.Context(), args, strings.NewReader(""), &out, &errOut); code != exitFailed || !strings.Contains(out.String(), `"unavailable"`) {
					t.Errorf("%s, status %s, %s: code %d, output %q, errors %q", args[0], c.status, name, code, out.String(), errOut.String())
				}
			}
			srv.Close()
		}
	}
}
