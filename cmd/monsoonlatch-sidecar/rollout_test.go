package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/monsoonlatch/monsoonlatch/internal/standin/metastore"
	"github.com/monsoonlatch/monsoonlatch/pkg/announce"
	"github.com/monsoonlatch/monsoonlatch/pkg/directory"
	"github.com/monsoonlatch/monsoonlatch/pkg/kernel"
	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
)

// versionVM starts a VM on which roll-outs are in force, with a backend server of the given version.
func versionVM(t *testing.T, store, name, service, version string, handler func(http.ResponseWriter, *http.Request) bool) *vm {
	t.Helper()
	return versionVMBornAt(t, store, name, service, version, 1000, handler)
}

// versionVMBornAt is versionVM for a backend server that names the given time of its start, in Unix milliseconds.
func versionVMBornAt(t *testing.T, store, name, service, version string, born int64, handler func(http.ResponseWriter, *http.Request) bool) *vm {
	t.Helper()
	v := &vm{backendServer: newTestBackendServer(t, "i-"+name)}
	v.backendServer.handler = handler
	template := vmSettings(t, v, store, name, service)
	template.Bounds.ExposeShare, template.Bounds.ExposeSlack, template.Bounds.Rollback = 0.1, 50, 5*time.Second
	v.VMSettings = template
	v.start(t)
	heartbeat := func() bool {
		v.sequence++
		return v.announce("instances.heartbeat", fmt.Sprintf(`{"service":%q,"zone":"west","version":%q,"slots":4,"state":"ready","coldLeftMs":0,"sequence":%d,"born":%d}`,
			service, version, v.sequence, born))
	}
	waitFor(t, "an acknowledged heartbeat of "+name, heartbeat)
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			select {
			case <-time.After(v.Heartbeat):
				heartbeat()
			case <-stop:
				return
			}
		}
	}()
	t.Cleanup(func() { close(stop); <-stopped })
	return v
}

func rolloutState(store *metastore.Store) (state, version string) {
	var status struct{ State, TargetVersion string }
	_ = json.Unmarshal([]byte(store.Status("rollouts", "office")), &status)
	return status.State, status.TargetVersion
}

// Guards against an order that real nodes do not carry out: they read it from the store, the traffic moves or comes back, and the
// status says so once.
func TestOrderIsCarriedOut(t *testing.T) {
	for _, c := range []struct {
		name, want string
		fails      bool
	}{{"good", "completed", false}, {"bad", "rolled_back", true}} {
		t.Run(c.name, func(t *testing.T) {
			store := metastore.New()
			store.Put("config", "main", configurationJSON(3, "/lodge/>office", "/safe/>office", "/desk/>desk"))
			srv := httptest.NewServer(store)
			t.Cleanup(srv.CloseClientConnections)
			addr := strings.TrimPrefix(srv.URL, "http://")
			var old, young atomic.Int64
			count := func(n *atomic.Int64, fails bool) func(http.ResponseWriter, *http.Request) bool {
				return func(w http.ResponseWriter, _ *http.Request) bool {
					if i := n.Add(1); fails && i%2 == 0 {
						w.WriteHeader(http.StatusInternalServerError)
						return true
					}
					return false
				}
			}
			vms := []*vm{versionVM(t, addr, "office-1", "office", "v1", count(&old, false)), versionVM(t, addr, "office-2", "office", "v1", count(&old, false)),
				versionVM(t, addr, "desk-1", "desk", "v1", nil)}
			for _, v := range vms {
				waitFor(t, v.Node+" to be ready", func() bool { return v.readyStatus() == http.StatusOK })
			}
			deskVM := vms[2]
			waitFor(t, "the first response", func() bool { return deskVM.call("GET", "/safe/x", "warm").status == 200 })
			store.Put("rollouts", "office", `{"service":"office","targetVersion":"v2","durationS":8}`)
			versionVM(t, addr, "office-3", "office", "v2", count(&young, c.fails))
			versionVM(t, addr, "office-4", "office", "v2", count(&young, c.fails))
			stop := make(chan struct{})
			var calls sync.WaitGroup
			var total, failed atomic.Int64
			for i := range 4 {
				calls.Go(func() {
					for n := 0; ; n++ {
						select {
						case <-stop:
							return
						case <-time.After(5 * time.Millisecond):
						}
						path := []string{"/safe/x", "/lodge/x"}[n%2]
						total.Add(1)
						if r := deskVM.call(map[bool]string{true: "GET", false: "POST"}[n%2 == 0], path, fmt.Sprintf("c%d-%d", i, n)); r.status == 503 {
							failed.Add(1)
						}
					}
				})
			}
			for range 120 {
				if state, _ := rolloutState(store); state != "running" && state != "" {
					break
				}
				time.Sleep(100 * time.Millisecond)
			}
			atEnd := [2]int64{old.Load(), young.Load()}
			time.Sleep(time.Second)
			after := [2]int64{old.Load() - atEnd[0], young.Load() - atEnd[1]}
			close(stop)
			calls.Wait()
			state, version := rolloutState(store)
			if state != c.want || version != "v2" {
				t.Fatalf("status %s, want %s; old %d, new %d requests", store.Status("rollouts", "office"), c.want, old.Load(), young.Load())
			}
			if c.fails && (float64(young.Load()) > 0.1*float64(total.Load())+50 || after[1] > 0) {
				t.Errorf("the bad version got %d of %d requests, %d after the end", young.Load(), total.Load(), after[1])
			}
			if !c.fails && (after[0] > 0 || after[1] == 0) {
				t.Errorf("after the end the old version got %d requests, the new one %d", after[0], after[1])
			}
			if failed.Load() > 0 {
				t.Errorf("%d of %d requests were refused", failed.Load(), total.Load())
			}
			checkRolloutReport(t, deskVM)
		})
	}
}

// checkRolloutReport checks what an operator reads at a node.
func checkRolloutReport(t *testing.T, v *vm) {
	t.Helper()
	rollouts, err := kernel.Find[*directory.Rollouts](v.kernel, nameRollouts)
	if err != nil {
		t.Fatal(err)
	}
	w := httptest.NewRecorder()
	rollouts.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/rollouts", nil))
	var report directory.RolloutReport
	if err := json.Unmarshal(w.Body.Bytes(), &report); err != nil || len(report.Plans) != 1 || report.Decider == "" || !report.Known {
		t.Errorf("report %s, error %v", w.Body, err)
	}
}

// Guards against a heartbeat whose version or cold time does not reach the instance record.
func TestVersionOfAHeartbeat(t *testing.T) {
	store := metastore.New()
	store.Put("config", "main", configurationJSON(3, "/safe/>office"))
	srv := httptest.NewServer(store)
	t.Cleanup(srv.CloseClientConnections)
	v := versionVM(t, strings.TrimPrefix(srv.URL, "http://"), "office-1", "office", "v7", nil)
	waitFor(t, "the version in the record", func() bool { return strings.Contains(store.Get("instances", "office-1"), `"version":"v7"`) })
	tracker, err := kernel.Find[*announce.BackendTracker](v.kernel, nameAnnounce)
	if err != nil {
		t.Fatal(err)
	}
	if tracker.Cold(time.Now()) {
		t.Error("cold without an announced time")
	}
	v.sequence += 100
	v.announce("instances.heartbeat", fmt.Sprintf(`{"service":"office","version":7,"slots":4,"state":"ready","coldLeftMs":60000,"sequence":%d,"born":1000}`, v.sequence))
	if !tracker.Cold(time.Now()) {
		t.Error("not cold after an announcement of 60 s")
	}
}

// Guards against calls of the store, or components, that only roll-outs need where none are in force.
func TestNothingOfRolloutsWithoutTheBound(t *testing.T) {
	v := &vm{backendServer: newTestBackendServer(t, "i-a")}
	settings := vmSettings(t, v, "127.0.0.1:1", "a", "office")
	k, err := newNode(&Settings{Metrics: "127.0.0.1:0"}, settings, zerolog.Nop(), metric.NewSet())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := kernel.Find[*directory.Rollouts](k, nameRollouts); err == nil {
		t.Error("roll-outs are set up")
	}
	follower, err := kernel.Find[*directory.Follower](k, nameFollower)
	if err != nil || follower.OnRollouts != nil {
		t.Errorf("orders are watched; error %v", err)
	}
}
