package platform_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	standin "github.com/monsoonlatch/monsoonlatch/internal/standin/platform"
	"github.com/monsoonlatch/monsoonlatch/internal/standin/rawhttp"
	"github.com/monsoonlatch/monsoonlatch/pkg/fault"
	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
	"github.com/monsoonlatch/monsoonlatch/pkg/platform"
)

// withVirtualPlatform runs f with a client and a platform stand-in in virtual time.
func withVirtualPlatform(t *testing.T, f func(t *testing.T, server *standin.Server, client *platform.Client)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		server := standin.NewServer()
		memory := server.ServeInMemory()
		client, err := platform.NewClient(platform.Settings{BaseURL: "http://platform", Dial: memory.Dial})
		if err != nil {
			t.Fatal(err)
		}
		f(t, server, client)
		client.Close()
		memory.Close()
	})
}

// Guards against a watch that hangs because its connection or the platform stopped responding, or because it expired.
func TestBrokenWatchEnds(t *testing.T) {
	for name, c := range map[string]struct {
		faults standin.Faults
		within time.Duration
		calls  int64
	}{
		"silent": {standin.Faults{SilentWatches: true}, platform.DefaultWatchIdleTimeout, 1},
		// The client retries once from the current state.
		"expired": {standin.Faults{ExpireWatches: true}, 0, 2},
		"down":    {standin.Faults{Down: true}, 0, 1},
	} {
		t.Run(name, func(t *testing.T) {
			withVirtualPlatform(t, func(t *testing.T, server *standin.Server, client *platform.Client) {
				ctx := t.Context()
				obj, err := client.Create(ctx, lease("a", `{"n":1}`))
				if err != nil {
					t.Fatal(err)
				}
				seen := make(chan platform.Object, 1)
				done := make(chan error, 1)
				go func() {
					done <- client.Watch(ctx, obj.Kind, "a", obj.Version, func(o platform.Object) error { seen <- o; return nil })
				}()
				if _, err := client.Create(ctx, lease("other", `{}`)); err != nil {
					t.Fatal(err)
				}
				obj.Spec = json.RawMessage(`{"n":2}`)
				if obj, err = client.Update(ctx, obj); err != nil {
					t.Fatal(err)
				}
				if got := <-seen; got.Version != obj.Version || string(got.Spec) != `{"n":2}` {
					t.Errorf("watch delivered %+v", got)
				}
				start := time.Now()
				server.SetFaults(c.faults)
				if err := <-done; !fault.Is(err, fault.Unavailable) || time.Since(start) > c.within {
					t.Errorf("got %v after %s", err, time.Since(start))
				}
				if got := server.Counts().Watch; got != c.calls {
					t.Errorf("%d watch calls, want %d", got, c.calls)
				}
			})
		})
	}
}

// Guards against a watch without events that ends although bookmarks arrive, and against a watch that continues after
// its requested duration, after its context ends, or after its handler fails.
func TestWatchDuration(t *testing.T) {
	withVirtualPlatform(t, func(t *testing.T, server *standin.Server, client *platform.Client) {
		ignore := func(platform.Object) error { return nil }
		start := time.Now()
		err := client.Watch(t.Context(), platform.KindRelayLease, "a", "0", ignore)
		if err != nil || time.Since(start) != platform.DefaultWatchDuration {
			t.Errorf("watch without events: %v after %s", err, time.Since(start))
		}
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		if err := client.Watch(ctx, platform.KindRelayLease, "a", "0", ignore); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("context deadline: %v", err)
		}
		if _, err := client.Create(t.Context(), lease("a", `{}`)); err != nil {
			t.Fatal(err)
		}
		failed := errors.New("handler failed")
		if err := client.Watch(t.Context(), platform.KindRelayLease, "a", "0", func(platform.Object) error { return failed }); !errors.Is(err, failed) {
			t.Errorf("handler: %v", err)
		}
	})
}

// Guards against an object that can no longer be watched because it changed long ago or the platform was restored from
// a backup, and against states that are delivered twice or missed when a watch is resumed.
func TestWatchResumes(t *testing.T) {
	withVirtualPlatform(t, func(t *testing.T, server *standin.Server, client *platform.Client) {
		const history = 8
		server.SetHistoryLength(history)
		ctx := t.Context()
		obj, err := client.Create(ctx, lease("a", `{}`))
		if err != nil {
			t.Fatal(err)
		}
		var seen []string
		watch := func(version string) {
			t.Helper()
			if err := client.Watch(ctx, obj.Kind, "a", version, func(o platform.Object) error { seen = append(seen, o.Version); return nil }); err != nil {
				t.Errorf("watch from %s: %v", version, err)
			}
		}
		evictHistory := func() {
			other, err := client.Create(ctx, lease("b", `{}`))
			for range 2 * history {
				if err == nil {
					other, err = client.Update(ctx, other)
				}
			}
			if err == nil {
				err = client.Delete(ctx, other.Kind, "b", other.Version)
			}
			if err != nil {
				t.Fatal(err)
			}
		}
		evictHistory()
		watch(obj.Version)
		if got := server.Counts().Watch; len(seen) != 0 || got != 2 {
			t.Errorf("start version too old: saw %v with %d calls", seen, got)
		}
		watch(obj.Version)
		if got := server.Counts().Watch; len(seen) != 0 || got != 3 {
			t.Errorf("resume at the last bookmark: saw %v with %d calls", seen, got)
		}
		server.Save()
		evictHistory()
		if obj, err = client.Update(ctx, obj); err != nil {
			t.Fatal(err)
		}
		server.Restore()
		watch(obj.Version)
		if len(seen) != 1 || seen[0] != "1" {
			t.Errorf("start version newer than the restored state: saw %v", seen)
		}
	})
}

// Guards against a call without a time limit, and against a slow write that is reported as not applied: Unavailable
// leaves open whether it took effect.
func TestSlowPlatform(t *testing.T) {
	withVirtualPlatform(t, func(t *testing.T, server *standin.Server, client *platform.Client) {
		server.SetFaults(standin.Faults{SlowMillis: 5000})
		start := time.Now()
		_, err := client.Create(t.Context(), lease("a", `{}`))
		if !fault.Is(err, fault.Unavailable) || time.Since(start) != platform.DefaultCallTimeout {
			t.Errorf("got %v after %s", err, time.Since(start))
		}
		time.Sleep(5 * time.Second)
		server.SetFaults(standin.Faults{})
		if _, err := client.Get(t.Context(), platform.KindRelayLease, "a"); err != nil {
			t.Errorf("the write took effect, but: %v", err)
		}
	})
}

// Guards against accepting malformed responses, such as those of a proxy, as objects, and against responses that
// exhaust the memory.
func TestMalformedResponses(t *testing.T) {
	huge := strings.Repeat("x", 2*platform.MaxObjectBytes)
	for name, body := range map[string]string{
		"page": "<html>", "cut": `{"metadata":{"name":"a"`, "other object": `{"metadata":{"name":"b","resourceVersion":"1"}}`,
		"no version": `{"metadata":{"name":"a"}}`, "empty": "", "huge": `{"metadata":{"name":"a","resourceVersion":"1"},"spec":"` + huge + `"}`,
	} {
		client := newClient(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(body)) }))
		if obj, err := client.Get(t.Context(), platform.KindRelayLease, "a"); !fault.Is(err, fault.Unavailable) {
			t.Errorf("%s: got %+v %v", name, obj, err)
		}
	}
	for name, body := range map[string]string{
		"not JSON": "<html>", "unknown type": `{"type":"SURPRISE","object":1}`, "not an object": `{"type":"ADDED","object":1}`,
		"huge": `{"type":"ADDED","object":{"metadata":{"name":"a"},"spec":"` + huge + `"}}`, "deleted": `{"type":"DELETED","object":{}}`,
	} {
		client := newClient(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(body)) }))
		err := client.Watch(t.Context(), platform.KindRelayLease, "a", "1", func(o platform.Object) error {
			t.Errorf("%s: handled object %s", name, o.Name)
			return nil
		})
		if !fault.Is(err, fault.Unavailable) {
			t.Errorf("%s: got %v", name, err)
		}
	}
}

// Guards against a response of the platform that counts although it is malformed, in particular for a write that is then taken for
// done, or an object that is taken for missing.
func TestInvalidFieldNames(t *testing.T) {
	object := `{"metadata":{"name":"a","resourceVersion":"7"},"spec":{}}`
	for name, raw := range rawhttp.InvalidNames("HTTP/1.1 200 OK\r\n", object) {
		client := newClient(t, rawhttp.Handler(raw))
		if _, err := client.Get(t.Context(), platform.KindRelayLease, "a"); !fault.Is(err, fault.Unavailable) {
			t.Errorf("read, %s: error %v, want kind unavailable", name, err)
		}
		if _, err := client.Create(t.Context(), lease("a", "{}")); !fault.Is(err, fault.Unavailable) {
			t.Errorf("write, %s: error %v, want kind unavailable", name, err)
		}
		if err := client.Delete(t.Context(), platform.KindRelayLease, "a", "6"); !fault.Is(err, fault.Unavailable) {
			t.Errorf("removal, %s: error %v, want kind unavailable", name, err)
		}
	}
	for name, raw := range rawhttp.InvalidNames("HTTP/1.1 200 OK\r\n", `{"type":"BOOKMARK","object":{"metadata":{"resourceVersion":"8"}}}`) {
		client := newClient(t, rawhttp.Handler(raw))
		if err := client.Watch(t.Context(), platform.KindRelayLease, "a", "1", func(platform.Object) error { return nil }); !fault.Is(err, fault.Unavailable) {
			t.Errorf("watch, %s: error %v, want kind unavailable", name, err)
		}
	}
}

// Guards against an outage that is logged on each call or not at all.
func TestObserveLogsOutageOnce(t *testing.T) {
	server, metrics := standin.NewServer(), metric.NewSet()
	var out bytes.Buffer
	log := zerolog.New(&out)
	store := platform.Observe(newClient(t, server), &log, metrics)
	for _, down := range []bool{false, true, true, false, false} {
		server.SetFaults(standin.Faults{Down: down})
		if _, err := store.Get(t.Context(), platform.KindRelayLease, "a"); fault.Is(err, fault.Unavailable) != down {
			t.Errorf("down %t: %v", down, err)
		}
	}
	if strings.Count(out.String(), `"event":1500`) != 1 || strings.Count(out.String(), `"event":1501`) != 1 {
		t.Errorf("log:\n%s", out.String())
	}
	if got := metrics.Snapshot()["platform.failed.unavailable"]; got != 2 {
		t.Errorf("%d failures counted", got)
	}
}
