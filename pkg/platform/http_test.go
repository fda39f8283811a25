package platform_test

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	standin "github.com/monsoonlatch/monsoonlatch/internal/standin/platform"
	"github.com/monsoonlatch/monsoonlatch/internal/standin/rawhttp"
	"github.com/monsoonlatch/monsoonlatch/pkg/fault"
	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
	"github.com/monsoonlatch/monsoonlatch/pkg/platform"
)

func newClient(t *testing.T, h http.Handler) *platform.Client {
	t.Helper()
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	client, err := platform.NewClient(platform.Settings{BaseURL: server.URL, CallTimeout: 5 * time.Second})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(client.Close)
	return client
}

func lease(name, spec string) platform.Object {
	return platform.Object{Kind: platform.KindRelayLease, Name: name, Spec: json.RawMessage(spec)}
}

// Guards against a refusal that was cut and that counts: an object is taken for missing, or a write for one that can't be done.
func TestCutRefusalIsUnavailable(t *testing.T) {
	for _, status := range []string{"404 Not Found", "409 Conflict", "403 Forbidden", "429 Too Many Requests", "422 Unprocessable Entity"} {
		for name, raw := range rawhttp.Cut("HTTP/1.1 "+status+"\r\n", `{"message":"refused"}`) {
			client := newClient(t, rawhttp.Handler(raw))
			if _, err := client.Get(t.Context(), platform.KindRelayLease, "a"); !fault.Is(err, fault.Unavailable) {
				t.Errorf("read, status %s %s: error %v, want kind unavailable", status, name, err)
			}
			if _, err := client.Create(t.Context(), lease("a", "{}")); !fault.Is(err, fault.Unavailable) {
				t.Errorf("write, status %s %s: error %v, want kind unavailable", status, name, err)
			}
		}
	}
}

// Guards against an update or deletion that overwrites another writer's change, and against errors of the wrong kind.
func TestConditionalUpdates(t *testing.T) {
	ctx, client := t.Context(), newClient(t, standin.NewServer())
	first, err := client.Create(ctx, lease("a", `{"n":1}`))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := client.Create(ctx, lease("a", `{"n":1}`)); !fault.Is(err, fault.Conflict) {
		t.Errorf("second create: %v", err)
	}
	second := first
	second.Spec = json.RawMessage(`{"n":2}`)
	if second, err = client.Update(ctx, second); err != nil {
		t.Fatal(err)
	}
	if _, err := client.Update(ctx, first); !fault.Is(err, fault.Conflict) {
		t.Errorf("update of an older version: %v", err)
	}
	if got, err := client.Get(ctx, platform.KindRelayLease, "a"); err != nil || string(got.Spec) != `{"n":2}` || got.Version != second.Version {
		t.Errorf("get: %+v %v", got, err)
	}
	if all, err := client.List(ctx, platform.KindRelayLease); err != nil || len(all) != 1 {
		t.Errorf("list: %+v %v", all, err)
	}
	if err := client.Delete(ctx, platform.KindRelayLease, "a", first.Version); !fault.Is(err, fault.Conflict) {
		t.Errorf("delete of an older version: %v", err)
	}
	if err := client.Delete(ctx, platform.KindRelayLease, "a", second.Version); err != nil {
		t.Error(err)
	}
	if _, err := client.Get(ctx, platform.KindRelayLease, "a"); !fault.Is(err, fault.NotFound) {
		t.Errorf("get after delete: %v", err)
	}
	if _, err := client.Create(ctx, lease("b", `"`+strings.Repeat("x", platform.MaxObjectBytes)+`"`)); !fault.Is(err, fault.Invalid) {
		t.Errorf("oversized create: %v", err)
	}
}

// Guards against net/http repeating a write by itself after a redirect or when a reused connection fails. The transport
// repeats a request only if its connection was used before, so each write must have a new connection.
func TestWritesAreSentOnce(t *testing.T) {
	for name, fail := range map[string]http.HandlerFunc{
		"cut": func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"redirect": func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, r.URL.Path, http.StatusTemporaryRedirect)
		},
		"retry later": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Retry-After", "0")
			w.WriteHeader(http.StatusServiceUnavailable)
		},
	} {
		t.Run(name, func(t *testing.T) {
			var writes atomic.Int64
			var connections sync.Map
			working := standin.NewServer()
			client := newClient(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if _, used := connections.Swap(r.RemoteAddr, true); used && r.Method != http.MethodGet {
					t.Errorf("%s arrived on a reused connection", r.Method)
				}
				if r.Method == http.MethodGet {
					working.ServeHTTP(w, r)
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				writes.Add(1)
				fail(w, r)
			}))
			ctx := t.Context()
			calls := []func() error{
				func() error { _, err := client.Create(ctx, lease("a", `{}`)); return err },
				func() error { o := lease("a", `{}`); o.Version = "1"; _, err := client.Update(ctx, o); return err },
				func() error { return client.Delete(ctx, platform.KindRelayLease, "a", "1") },
			}
			for i, call := range calls {
				// A read leaves an idle connection behind. If a write reused it, net/http would repeat the write.
				if _, err := client.List(ctx, platform.KindRelayLease); err != nil {
					t.Fatal(err)
				}
				if err := call(); !fault.Is(err, fault.Unavailable) {
					t.Errorf("call %d: %v", i, err)
				}
				if got := writes.Load(); got != int64(i+1) {
					t.Fatalf("call %d: %d writes arrived, want %d", i, got, i+1)
				}
			}
		})
	}
}

// Guards against calls beyond the rate limit, and against calls that are not counted.
func TestLimit(t *testing.T) {
	server, metrics := standin.NewServer(), metric.NewSet()
	store := platform.Limit(newClient(t, server), 0, 2, metrics)
	for i := range 4 {
		_, err := store.Get(t.Context(), platform.KindRelayLease, "a")
		if want := []fault.Kind{fault.NotFound, fault.NotFound, fault.Limited, fault.Limited}[i]; !fault.Is(err, want) {
			t.Errorf("call %d: %v", i, err)
		}
	}
	counted := metrics.Snapshot()
	if counted["platform.calls.get"] != 2 || counted["platform.limited.get"] != 2 || server.Counts().Total() != 2 {
		t.Errorf("counted %v and %+v", counted, server.Counts())
	}
}
