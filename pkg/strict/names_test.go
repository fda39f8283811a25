package strict

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/monsoonlatch/monsoonlatch/internal/standin/rawhttp"
)

// get returns what a client gets that reads the raw bytes of a response.
func get(t *testing.T, raw string) (status int, body string, err error) {
	srv := httptest.NewServer(rawhttp.Handler(raw))
	defer srv.Close()
	transport := NewTransport(&http.Transport{})
	defer transport.CloseIdleConnections()
	resp, err := (&http.Client{Transport: transport}).Get(srv.URL)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}

// Guards against a response that counts although a name in its head, in the head of an interim response, or in its trailer is
// invalid.
func TestInvalidFieldNames(t *testing.T) {
	for name, raw := range rawhttp.InvalidNames("HTTP/1.1 200 OK\r\n", "whole") {
		if status, body, err := get(t, raw); err == nil {
			t.Errorf("%s: got status %d with %q, want an error", name, status, body)
		}
	}
	for name, raw := range rawhttp.InvalidNames("HTTP/1.1 409 Conflict\r\n", "") {
		if status, _, err := get(t, raw); err == nil {
			t.Errorf("%s: got status %d, want an error", name, status)
		}
	}
}

// Guards against valid responses that the transport rejects, and against more informational responses than it should read.
func TestValidResponses(t *testing.T) {
	ok := "HTTP/1.1 200 OK\r\nX-Odd: a\r\n b : c\r\nContent-Length: 5\r\n\r\nwhole"
	interim := "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"
	for name, raw := range map[string]string{
		"length":        ok,
		"no length":     "HTTP/1.1 200 OK\r\n\r\nwhole",
		"interim heads": strings.Repeat(interim, MaxInformational) + ok,
		"trailer":       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum, X Sum\r\n\r\n5\r\nwhole\r\n0\r\nX-Sum: 1\r\n\r\n",
	} {
		if status, body, err := get(t, raw); err != nil || status != http.StatusOK || body != "whole" {
			t.Errorf("%s: got status %d, %q and error %v, want the response", name, status, body, err)
		}
	}
	if _, _, err := get(t, strings.Repeat(interim, MaxInformational+1)+ok); !errors.Is(err, errInformational) {
		t.Errorf("got error %v, want that for too many informational responses", err)
	}
}
