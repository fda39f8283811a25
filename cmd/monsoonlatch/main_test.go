package main

import (
	"bytes"
	"encoding/json"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	standin "github.com/monsoonlatch/monsoonlatch/internal/standin/platform"
	"github.com/monsoonlatch/monsoonlatch/pkg/config"
	"github.com/monsoonlatch/monsoonlatch/pkg/platform"
	"github.com/monsoonlatch/monsoonlatch/pkg/release"
	"github.com/monsoonlatch/monsoonlatch/pkg/status"
)

const validNote = `id: first
author: ops
summary: "first\troutes"
add:
  services: [{name: office}]
  policies: [{name: urgent, rank: 0, target: 250ms, deadline: 2s, worth: 10, guaranteedShare: 0.5, maxRetries: 1}]
  routes:
    - {name: lodge, pathPrefix: /deposits, methods: [POST], service: office, policy: urgent, idempotent: false}
`

// fixture holds a platform stand-in, a client for it and a directory with release notes.
type fixture struct {
	t        *testing.T
	platform *standin.Server
	store    platform.Store
	url      string
	dir      string
}

func newFixture(t *testing.T) *fixture {
	server := standin.NewServer()
	listener := httptest.NewServer(server)
	t.Cleanup(listener.Close)
	store, err := platform.NewClient(platform.Settings{BaseURL: listener.URL})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(store.Close)
	t.Setenv("MONSOONLATCH_PLATFORM", listener.URL)
	return &fixture{t, server, store, listener.URL, t.TempDir()}
}

func (f *fixture) writeFile(name, content string) string {
	f.t.Helper()
	path := filepath.Join(f.dir, name)
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		f.t.Fatal(err)
	}
	return path
}

// run executes a command and checks its exit code and a part of its output.
func (f *fixture) run(code int, contains string, args ...string) string {
	f.t.Helper()
	var out, errOut bytes.Buffer
	got := run(f.t.Context(), args, strings.NewReader(validNote), &out, &errOut)
	if text := out.String() + errOut.String(); got != code || !strings.Contains(text, contains) {
		f.t.Errorf("%v: exit code %d, want %d with %q:\n%s", args, got, code, contains, text)
	}
	return out.String()
}

func (f *fixture) putZoneStatus(zone string, nodes ...status.NodeStatus) {
	f.t.Helper()
	spec, _ := json.Marshal(status.ZoneStatus{Zone: zone, Slot: "0", Relay: "r", WrittenAt: time.Now(), Nodes: nodes})
	obj := platform.Object{Kind: platform.KindZoneStatus, Name: status.ObjectName(zone, "0"), Spec: spec}
	old, err := f.store.Get(f.t.Context(), obj.Kind, obj.Name)
	if obj.Version = old.Version; err == nil {
		_, err = f.store.Update(f.t.Context(), obj)
	} else {
		_, err = f.store.Create(f.t.Context(), obj)
	}
	if err != nil {
		f.t.Fatal(err)
	}
}

func (f *fixture) nodeStatus(id string, version config.Version) status.NodeStatus {
	head, err := release.ReadHead(f.t.Context(), f.store)
	if err != nil {
		f.t.Fatal(err)
	}
	return status.NodeStatus{ID: id, Service: "office", Version: version, Hash: head.Hash, State: status.StateReady}
}

// Guards against wrong exit codes and error messages of the note commands, which scripts and operators rely on.
func TestNoteCommands(t *testing.T) {
	f := newFixture(t)
	good := f.writeFile("good.yaml", validNote)
	bad := f.writeFile("bad.yaml", strings.Replace(validNote, "policy: urgent", "policy: none", 1))
	typo := f.writeFile("typo.yaml", strings.Replace(validNote, "author: ops", "autor: ops", 1))
	f.run(exitUsage, "no such file", "note", "check", "missing.yaml")
	f.run(exitUsage, "unknown flag", "note", "check", good, "--what")
	f.run(exitUsage, "must be above 0", "note", "check", good, "--timeout=0s")
	f.run(exitUsage, "is not an HTTP address", "note", "list", "--platform=nowhere")
	f.run(exitFailed, "bad.yaml:8: route lodge: policy \"none\" does not exist; remedy: add the policy", "note", "check", bad)
	f.run(exitFailed, "typo.yaml:2: release note: field autor not found", "note", "check", typo)
	f.run(exitFailed, `"line": 8`, "note", "check", bad, "--json")
	f.run(exitOK, "is valid on top of version 0 of the platform", "note", "check", good)
	f.run(exitOK, "is valid on top of an empty configuration", "note", "check", "--offline", "-")
	f.run(exitUsage, "id first was accepted", "note", "check", "--after", good, "--after", good, good)
	f.run(exitFailed, "bad.yaml:8:", "note", "submit", bad)
	f.run(exitFailed, "no release note has been accepted", "note", "status")
	f.run(exitOK, "accepted as version 1", "note", "submit", good)
	f.run(exitOK, "accepted before as version 1", "note", "submit", good)
	f.run(exitFailed, "choose another id", "note", "submit", f.writeFile("other.yaml", validNote+"\n  \n"+"withdraw: {routes: [x]}"))
	f.run(exitOK, "first routes", "note", "list")
	var notes []config.NoteRecord
	if err := json.Unmarshal([]byte(f.run(exitOK, "", "note", "list", "--json")), &notes); err != nil || len(notes) != 1 {
		t.Errorf("note list: %v %v", notes, err)
	}
	f.platform.SetFaults(standin.Faults{Down: true})
	f.run(exitFailed, "remedy: check the platform's address", "note", "list")
	f.run(exitFailed, `"kind": "unavailable"`, "note", "list", "--json")
}

// Guards against a note that is shown as in force everywhere while a node lags or is cut off, or while no node is
// reported.
func TestStatusCommands(t *testing.T) {
	f := newFixture(t)
	good := f.writeFile("good.yaml", validNote)
	f.run(exitNotInForce, "no node is reported", "note", "submit", good, "--wait=1ms")
	f.putZoneStatus("langata", f.nodeStatus("n1", 1), f.nodeStatus("n2", 0))
	f.run(exitNotInForce, "in force at 1 nodes, lagging at 1, diverged at 0, cut off 0", "note", "status")
	f.run(exitNotInForce, `"everywhere": false`, "note", "submit", good, "--wait=1ms", "--json")
	f.run(exitOK, "lagging", "nodes")
	f.run(exitOK, "[]", "nodes", "--json", "--zone=elsewhere")
	silent := f.nodeStatus("n2", 1)
	silent.LastPollAgeMillis = 60_000
	f.putZoneStatus("langata", f.nodeStatus("n1", 1), silent)
	f.run(exitNotInForce, "cut off 1", "note", "status", "first")
	time.AfterFunc(10*time.Millisecond, func() { f.putZoneStatus("langata", f.nodeStatus("n1", 1), f.nodeStatus("n2", 1)) })
	f.run(exitOK, "in force at all 2 nodes", "note", "submit", good, "--wait=1m")
	f.run(exitOK, `"everywhere": true`, "note", "status", "--json")
	f.run(exitFailed, "not among the last", "note", "status", "other")
	f.putZoneStatus("langata", f.nodeStatus("n1", 1), f.nodeStatus("n2", 2))
	f.run(exitNotInForce, "remedy: if the platform was restored", "note", "status")
	f.putZoneStatus("langata", f.nodeStatus("n1", 1), f.nodeStatus("n2", 1))
	var list []serviceReport
	if err := json.Unmarshal([]byte(f.run(exitOK, "", "services", "--json")), &list); err != nil || len(list) != 1 || list[0].Ready != 2 || len(list[0].Routes) != 1 {
		t.Errorf("services: %+v %v", list, err)
	}
	f.run(exitOK, "CALLABLE-FROM", "services")
}
