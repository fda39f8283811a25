package release_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	standin "github.com/monsoonlatch/monsoonlatch/internal/standin/platform"
	"github.com/monsoonlatch/monsoonlatch/pkg/config"
	"github.com/monsoonlatch/monsoonlatch/pkg/fault"
	"github.com/monsoonlatch/monsoonlatch/pkg/platform"
	"github.com/monsoonlatch/monsoonlatch/pkg/release"
	"github.com/monsoonlatch/monsoonlatch/pkg/status"
)

func startPlatform(t testing.TB) (*standin.Server, platform.Store) {
	t.Helper()
	server := standin.NewServer()
	listener := httptest.NewServer(server)
	t.Cleanup(listener.Close)
	client, err := platform.NewClient(platform.Settings{BaseURL: listener.URL, CallTimeout: 10 * time.Second})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(client.Close)
	return server, client
}

// firstNote returns a note that adds the service and the policy that the other notes refer to.
func firstNote() config.ReleaseNote {
	return config.ReleaseNote{ID: "first", Author: "ops", Add: config.Items{
		Services: []config.Service{{Name: "office"}},
		Policies: []config.Policy{{Name: "urgent", Target: config.Duration(time.Second), Deadline: config.Duration(2 * time.Second)}},
	}}
}

func addRoute(id, route string) config.ReleaseNote {
	return config.ReleaseNote{ID: id, Author: "ops", Add: config.Items{Routes: []config.Route{
		{Name: route, PathPrefix: "/" + route, Service: "office", Policy: "urgent"}}}}
}

func mustSubmit(t testing.TB, store platform.Store, note config.ReleaseNote) release.Result {
	t.Helper()
	r, err := release.Submit(t.Context(), store, note)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// Guards against a note that is applied twice because the response to its write was lost, by a retry within the same
// submit or by a later submit.
func TestNoteIsRecognisedAfterLostResponse(t *testing.T) {
	server, store := startPlatform(t)
	mustSubmit(t, store, firstNote())
	server.SetFaults(standin.Faults{LoseAnswers: 1})
	if r := mustSubmit(t, store, addRoute("second", "a")); !r.Recognised || r.Record.Version != 2 {
		t.Errorf("same submit: %+v", r)
	}
	if r := mustSubmit(t, store, addRoute("second", "a")); !r.Recognised || r.Record.Version != 2 {
		t.Errorf("later submit: %+v", r)
	}
	if _, err := release.Submit(t.Context(), store, addRoute("second", "b")); !fault.Is(err, fault.Conflict) || !strings.Contains(err.Error(), "choose another id") {
		t.Errorf("same id with different content: %v", err)
	}
	if head, _ := release.ReadHead(t.Context(), store); head.Version != 2 || len(head.Configuration.Routes) != 1 {
		t.Errorf("head %+v", head)
	}
}

// Guards against a definite result when the outcome is unknown because the platform failed during the write.
func TestUnknownOutcomeIsUnavailable(t *testing.T) {
	server, store := startPlatform(t)
	mustSubmit(t, store, firstNote())
	down := hookStore{Store: store, beforeUpdate: func() { server.SetFaults(standin.Faults{Down: true}) }}
	_, err := release.Submit(t.Context(), &down, addRoute("second", "a"))
	if !fault.Is(err, fault.Unavailable) || !strings.Contains(err.Error(), "submit the same note again") {
		t.Errorf("got %v", err)
	}
	server.SetFaults(standin.Faults{})
	if r := mustSubmit(t, store, addRoute("second", "a")); r.Record.Version != 2 {
		t.Errorf("got %+v", r)
	}
}

// hookStore calls beforeUpdate once, immediately before the first update.
type hookStore struct {
	platform.Store
	beforeUpdate func()
}

func (s *hookStore) Update(ctx context.Context, obj platform.Object) (platform.Object, error) {
	if s.beforeUpdate != nil {
		s.beforeUpdate()
		s.beforeUpdate = nil
	}
	return s.Store.Update(ctx, obj)
}

// Guards against a note that loses a write conflict and overwrites the accepted note, is applied partially, or fails
// without naming the accepted note.
func TestConcurrentSubmits(t *testing.T) {
	change := firstNote().Add.Policies[0]
	change.Worth = 5
	for name, c := range map[string]struct {
		winner config.ReleaseNote
		want   string
	}{
		"other names": {addRoute("winner", "b"), ""},
		"same name":   {addRoute("winner", "a"), "winner from ops was accepted first as version 2 and also affects route a"},
		"no longer valid": {config.ReleaseNote{ID: "winner", Author: "ops", Withdraw: config.Names{Services: []string{"office"}}},
			"no longer valid after release note winner was accepted"},
	} {
		t.Run(name, func(t *testing.T) {
			_, store := startPlatform(t)
			mustSubmit(t, store, firstNote())
			note := addRoute("loser", "a")
			note.Change.Policies = []config.Policy{change}
			raced := hookStore{Store: store, beforeUpdate: func() { mustSubmit(t, store, c.winner) }}
			r, err := release.Submit(t.Context(), &raced, note)
			head, headErr := release.ReadHead(t.Context(), store)
			if headErr != nil {
				t.Fatal(headErr)
			}
			if c.want == "" {
				if err != nil || r.Rebased != 1 || r.Record.Version != 3 || len(head.Configuration.Routes) != 2 {
					t.Errorf("got %+v %v, head %+v", r, err, head)
				}
				return
			}
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("got %v", err)
			}
			if _, ok := head.Note("loser"); ok || head.Version != 2 || head.Configuration.Policies["urgent"].Worth != 0 {
				t.Errorf("the rejected note changed the head: %+v", head)
			}
		})
	}
}

// Guards against writing a head that exceeds the platform's object size limit, and against submits onto a malformed
// head.
func TestHeadTooLargeOrMalformed(t *testing.T) {
	_, store := startPlatform(t)
	mustSubmit(t, store, firstNote())
	big := addRoute("big", "a")
	for i := range 5000 {
		big.Add.Routes = append(big.Add.Routes, config.Route{Name: fmt.Sprintf("route-%04d-%s", i, strings.Repeat("x", 40)),
			PathPrefix: fmt.Sprintf("/%04d/%s", i, strings.Repeat("y", 40)), Service: "office", Policy: "urgent"})
	}
	if _, err := release.Submit(t.Context(), store, big); !fault.Is(err, fault.Invalid) || !strings.Contains(err.Error(), "remedy: withdraw routes") {
		t.Errorf("oversized: %v", err)
	}
	obj, err := store.Get(t.Context(), platform.KindConfiguration, platform.HeadName)
	if err != nil {
		t.Fatal(err)
	}
	if head, _ := config.ParseHead(obj.Spec); head.Version != 1 {
		t.Errorf("version %d", head.Version)
	}
	for _, spec := range []string{`{"version":2,"hash":"0","configuration":{}}`, `[]`, `{"version":-1}`} {
		obj.Spec = json.RawMessage(spec)
		if obj, err = store.Update(t.Context(), obj); err != nil {
			t.Fatal(err)
		}
		if _, err := release.Submit(t.Context(), store, addRoute("second", "a")); !fault.Is(err, fault.Invalid) {
			t.Errorf("%s: %v", spec, err)
		}
	}
}

// Guards against assigning versions that nodes already know after the platform was restored to an older state.
func TestRestoredPlatformRequiresRaiseAbove(t *testing.T) {
	server, store := startPlatform(t)
	mustSubmit(t, store, firstNote())
	server.Save()
	mustSubmit(t, store, addRoute("second", "a"))
	mustSubmit(t, store, addRoute("third", "b"))
	server.Restore()
	spec, _ := json.Marshal(status.ZoneStatus{Zone: "langata", Slot: "0", WrittenAt: time.Now(), Version: 3,
		Nodes: []status.NodeStatus{{ID: "n1", Version: 3, State: status.StateReady}}})
	if _, err := store.Create(t.Context(), platform.Object{Kind: platform.KindZoneStatus, Name: "langata-0", Spec: spec}); err != nil {
		t.Fatal(err)
	}
	if _, err := store.Create(t.Context(), platform.Object{Kind: platform.KindZoneStatus, Name: "langata-1", Spec: json.RawMessage(`"?"`)}); err != nil {
		t.Fatal(err)
	}
	_, err := release.Submit(t.Context(), store, addRoute("second", "a"))
	if !fault.Is(err, fault.Stale) || !strings.Contains(err.Error(), "--raise-above=3") {
		t.Fatalf("got %v", err)
	}
	r, err := release.Submit(t.Context(), store, addRoute("second", "a"), release.RaiseAbove(3))
	if err != nil || r.Record.Version != 4 {
		t.Errorf("got %+v %v", r, err)
	}
	o, err := release.Status(t.Context(), store)
	if err != nil || len(o.Unreadable) != 1 || o.Nodes(4)[0].Rollout != status.Lagging {
		t.Errorf("got %+v %v", o, err)
	}
}

// Guards against a note that is applied twice because its first write arrives after the submit timed out and retried.
func TestLateWriteIsNotAppliedTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := standin.NewServer()
		memory := server.ServeInMemory()
		defer memory.Close()
		store, err := platform.NewClient(platform.Settings{BaseURL: "http://platform", Dial: memory.Dial})
		if err != nil {
			t.Fatal(err)
		}
		defer store.Close()
		mustSubmit(t, store, firstNote())
		slow := hookStore{Store: store, beforeUpdate: func() {
			server.SetFaults(standin.Faults{SlowMillis: 30_000})
			time.AfterFunc(time.Second, func() { server.SetFaults(standin.Faults{}) })
		}}
		if r := mustSubmit(t, &slow, addRoute("second", "a")); r.Record.Version != 2 || r.Recognised {
			t.Errorf("got %+v", r)
		}
		time.Sleep(time.Minute) // The first write arrives in this time.
		head, err := release.ReadHead(t.Context(), store)
		if err != nil || head.Version != 2 || len(head.Notes) != 2 {
			t.Errorf("head %+v %v", head, err)
		}
		if got := server.Counts().Update; got != 2 {
			t.Errorf("%d updates were sent, want 2", got)
		}
	})
}
