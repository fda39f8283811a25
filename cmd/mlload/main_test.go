package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/monsoonlatch/monsoonlatch/pkg/fault"
)

const profile = `{duration: 50ms, classes: [{name: a, path: /a, rate: 200, target: 1s}]}`

// Guards against a run that succeeds although responses belong to other requests, against a trace that cannot be
// replayed, and against an invalid profile that is not reported as such.
func TestRunAndReplay(t *testing.T) {
	crossed := false
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path == "/_standin/counts":
			fmt.Fprint(w, `{"keys":{}}`)
		case crossed:
			fmt.Fprint(w, "another")
		default:
			fmt.Fprint(w, r.URL.Path)
		}
	}))
	defer server.Close()
	dir := t.TempDir()
	file, trace := filepath.Join(dir, "profile.yaml"), filepath.Join(dir, "trace.jsonl")
	if err := os.WriteFile(file, []byte(profile), 0o600); err != nil {
		t.Fatal(err)
	}
	address := []string{server.Listener.Addr().String()}
	run := runCommand{Profile: file, output: output{Target: address, Counts: address, Trace: trace}}
	if err := run.Run(context.Background()); err != nil {
		t.Fatalf("correct responses: %v", err)
	}
	replay := replayCommand{File: trace, MaxInFlight: 10, output: output{Target: address, JSON: true}}
	if err := replay.Run(context.Background()); err != nil {
		t.Fatalf("replay: %v", err)
	}
	crossed = true
	if err := replay.Run(context.Background()); !errors.Is(err, errIncorrectOutcomes) {
		t.Fatalf("crossed responses: error %v, want %v", err, errIncorrectOutcomes)
	}
	if err := os.WriteFile(file, []byte(strings.Replace(profile, "200", "-1", 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := run.Run(context.Background()); !fault.Is(err, fault.Invalid) {
		t.Fatalf("invalid profile: error %v, want kind invalid", err)
	}
}
