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

const goodNote = `id: first
author: ops
summary: "first\troutes"
add:
  services: [{name: office}]
  policies: [{name: urgent, rank: 0, target: 250ms, deadline: 2s, worth: 10, guaranteedShare: 0.5, maxRetries: 1}]
  routes:
    - {name: lodge, pathPrefix: /deposits, methods: [POST], service: office, policy: urgent, idempotent: false}
`

// bench holds a platform stand-in, a client for it and a directory with release notes.
type bench struct {
	t     *testing.T
	fault *standin.Server
	store platform.Store
	url   string
	dir   string
}

func newBench(t *testing.T) *bench {
	server := standin.NewServer()
	listener := httptest.NewServer(server)
	t.Cleanup(listener.Close)
	store, err := platform.NewClient(platform.Settings{BaseURL: listener.URL})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(store.Close)
	t.Setenv("MONSOONLATCH_PLATFORM", listener.URL)
	return &bench{t, server, store, listener.URL, t.TempDir()}
}

func (b *bench) file(name, content string) string {
	b.t.Helper()
	path := filepath.Join(b.dir, name)
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		b.t.Fatal(err)
	}
	return path
}

// run executes a command and checks its exit code and a part of its output.
func (b *bench) run(code int, contains string, args ...string) string {
	b.t.Helper()
	var out, errOut bytes.Buffer
	got := run(b.t.Context(), args, strings.NewReader(goodNote), &out, &errOut)
	if text := out.String() + errOut.String(); got != code || !strings.Contains(text, contains) {
		b.t.Errorf("%v: exit code %d, want %d with %q:\n%s", args, got, code, contains, text)
	}
	return out.String()
}

func (b *bench) report(zone string, nodes ...status.NodeStatus) {
	b.t.Helper()
	spec, _ := json.Marshal(status.ZoneStatus{Zone: zone, Slot: "0", Relay: "r", WrittenAt: time.Now(), Nodes: nodes})
	obj := platform.Object{Kind: platform.KindZoneStatus, Name: status.ObjectName(zone, "0"), Spec: spec}
	old, err := b.store.Get(b.t.Context(), obj.Kind, obj.Name)
	if obj.Version = old.Version; err == nil {
		_, err = b.store.Update(b.t.Context(), obj)
	} else {
		_, err = b.store.Create(b.t.Context(), obj)
	}
	if err != nil {
		b.t.Fatal(err)
	}
}

func (b *bench) node(id string, version config.Version) status.NodeStatus {
	head, err := release.ReadHead(b.t.Context(), b.store)
	if err != nil {
		b.t.Fatal(err)
	}
	return status.NodeStatus{ID: id, Service: "office", Version: version, Hash: head.Hash, State: status.StateReady}
}

// Guards against wrong exit codes and error messages of the note commands, which scripts and operators rely on.
func TestNoteCommands(t *testing.T) {
	b := newBench(t)
	good := b.file("good.yaml", goodNote)
	bad := b.file("bad.yaml", strings.Replace(goodNote, "policy: urgent", "policy: none", 1))
	typo := b.file("typo.yaml", strings.Replace(goodNote, "author: ops", "autor: ops", 1))
	b.run(exitUsage, "no such file", "note", "check", "missing.yaml")
	b.run(exitUsage, "unknown flag", "note", "check", good, "--what")
	b.run(exitUsage, "must be above 0", "note", "check", good, "--timeout=0s")
	b.run(exitUsage, "is not an HTTP address", "note", "list", "--platform=nowhere")
	b.run(exitFailed, "bad.yaml:8: route lodge: policy \"none\" does not exist; remedy: add the policy", "note", "check", bad)
	b.run(exitFailed, "typo.yaml:2: release note: field autor not found", "note", "check", typo)
	b.run(exitFailed, `"line": 8`, "note", "check", bad, "--json")
	b.run(exitOK, "is valid on top of version 0 of the platform", "note", "check", good)
	b.run(exitOK, "is valid on top of an empty configuration", "note", "check", "--offline", "-")
	b.run(exitUsage, "id first was accepted", "note", "check", "--after", good, "--after", good, good)
	b.run(exitFailed, "bad.yaml:8:", "note", "submit", bad)
	b.run(exitFailed, "no release note has been accepted", "note", "status")
	b.run(exitOK, "accepted as version 1", "note", "submit", good)
	b.run(exitOK, "accepted before as version 1", "note", "submit", good)
	b.run(exitFailed, "choose another id", "note", "submit", b.file("other.yaml", goodNote+"\n  \n"+"withdraw: {routes: [x]}"))
	b.run(exitOK, "first routes", "note", "list")
	var notes []config.NoteRecord
	if err := json.Unmarshal([]byte(b.run(exitOK, "", "note", "list", "--json")), &notes); err != nil || len(notes) != 1 {
		t.Errorf("note list: %v %v", notes, err)
	}
	b.fault.SetFaults(standin.Faults{Down: true})
	b.run(exitFailed, "remedy: check the platform's address", "note", "list")
	b.run(exitFailed, `"kind": "unavailable"`, "note", "list", "--json")
}

// Guards against a note that is shown as in force everywhere while a node lags or is cut off, or while no node is
// reported.
func TestStatusCommands(t *testing.T) {
	b := newBench(t)
	good := b.file("good.yaml", goodNote)
	b.run(exitNotEverywhere, "no node is reported", "note", "submit", good, "--wait=1ms")
	b.report("langata", b.node("n1", 1), b.node("n2", 0))
	b.run(exitNotEverywhere, "in force at 1 nodes, lagging at 1, diverged at 0, cut off 0", "note", "status")
	b.run(exitNotEverywhere, `"everywhere": false`, "note", "submit", good, "--wait=1ms", "--json")
	b.run(exitOK, "lagging", "nodes")
	b.run(exitOK, "[]", "nodes", "--json", "--zone=elsewhere")
	silent := b.node("n2", 1)
	silent.LastPollAgeMillis = 60_000
	b.report("langata", b.node("n1", 1), silent)
	b.run(exitNotEverywhere, "cut off 1", "note", "status", "first")
	time.AfterFunc(10*time.Millisecond, func() { b.report("langata", b.node("n1", 1), b.node("n2", 1)) })
	b.run(exitOK, "in force at all 2 nodes", "note", "submit", good, "--wait=1m")
	b.run(exitOK, `"everywhere": true`, "note", "status", "--json")
	b.run(exitFailed, "not among the last", "note", "status", "other")
	b.report("langata", b.node("n1", 1), b.node("n2", 2))
	b.run(exitNotEverywhere, "remedy: if the platform was restored", "note", "status")
	b.report("langata", b.node("n1", 1), b.node("n2", 1))
	var list []serviceReport
	if err := json.Unmarshal([]byte(b.run(exitOK, "", "services", "--json")), &list); err != nil || len(list) != 1 || list[0].Ready != 2 || len(list[0].Routes) != 1 {
		t.Errorf("services: %+v %v", list, err)
	}
	b.run(exitOK, "CALLABLE-FROM", "services")
}
