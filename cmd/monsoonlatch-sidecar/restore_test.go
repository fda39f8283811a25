package main

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/monsoonlatch/monsoonlatch/internal/standin/metastore"
)

// startStore starts a store with a configuration and returns its address.
func startStore(t *testing.T, routes ...string) (store *metastore.Store, addr string) {
	store = metastore.New()
	store.Put("config", "main", configurationJSON(3, routes...))
	srv := httptest.NewServer(store)
	t.Cleanup(srv.CloseClientConnections)
	return store, strings.TrimPrefix(srv.URL, "http://")
}

// restore makes the store unreachable for a while, and brings it back from a copy.
func restore(store *metastore.Store, c *metastore.Copy, away time.Duration) {
	store.SetFaults(metastore.Faults{Away: true})
	time.Sleep(away)
	store.Restore(c)
	store.SetFaults(metastore.Faults{})
}

// Guards against an order that is dropped as older than the last one, since the store has come back from a copy and has given its
// revision out before: a bad version then gets its full share of the requests.
func TestOrderAfterTheStoreIsRestored(t *testing.T) {
	store, addr := startStore(t, "/safe/>office", "/desk/>desk")
	var all, bad atomic.Int64
	answer := func(fails bool) func(http.ResponseWriter, *http.Request) bool {
		return func(w http.ResponseWriter, _ *http.Request) bool {
			all.Add(1)
			if !fails {
				return false
			}
			if bad.Add(1)%2 == 0 {
				w.WriteHeader(http.StatusInternalServerError)
				return true
			}
			return false
		}
	}
	vms := []*vm{versionVM(t, addr, "office-1", "office", "v2", answer(false)), versionVM(t, addr, "office-2", "office", "v2", answer(false)),
		versionVM(t, addr, "desk-1", "desk", "v1", nil)}
	for _, v := range vms {
		waitFor(t, v.Node+" to be ready", func() bool { return v.readyStatus() == http.StatusOK })
	}
	deskVM := vms[2]
	waitFor(t, "the first response", func() bool { return deskVM.call("GET", "/safe/x", "warm").status == 200 })
	store.Put("rollouts", "office", `{"service":"office","targetVersion":"v2","durationS":8}`)
	before := store.Copy()
	for i := range 30 { // Other writes, so that the later order gets a revision that was given out before.
		store.Put("others", "a", fmt.Sprint(i))
	}
	waitFor(t, "the end of the first order", func() bool { state, _ := rolloutState(store); return state == "completed" })
	restore(store, before, 300*time.Millisecond)
	for _, name := range []string{"office-3", "office-4"} {
		versionVMBornAt(t, addr, name, "office", "v3", time.Now().UnixMilli(), answer(true))
	}
	store.Put("rollouts", "office", `{"service":"office","targetVersion":"v3","durationS":8}`)
	all.Store(0)
	stop := make(chan struct{})
	var calls sync.WaitGroup
	for i := range 4 {
		calls.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(5 * time.Millisecond):
				}
				deskVM.call("GET", "/safe/x", fmt.Sprintf("c%d-%d", i, n))
			}
		})
	}
	for range 90 {
		if state, version := rolloutState(store); version == "v3" && state == "rolled_back" {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	close(stop)
	calls.Wait()
	if state, version := rolloutState(store); state != "rolled_back" || version != "v3" {
		t.Errorf("status %s, want rolled_back", store.Status("rollouts", "office"))
	}
	if limit := 0.1*float64(all.Load()) + 50; float64(bad.Load()) > limit {
		t.Errorf("the bad version got %d of %d requests, more than %.0f", bad.Load(), all.Load(), limit)
	}
}

// Guards against a configuration that never comes in force, since its revision was given out before the store came back from a copy:
// routes that were dropped stay in use until the next change.
func TestConfigurationAfterTheStoreIsRestored(t *testing.T) {
	store, addr := startStore(t, "/safe/first/>office", "/lodge/>office")
	vms := []*vm{startVM(t, addr, "office-1", "office"), startVM(t, addr, "office-2", "office"), startVM(t, addr, "desk-1", "desk")}
	for _, v := range vms {
		v := v
		waitFor(t, "an acknowledged heartbeat of "+v.Node, func() bool { return v.sendHeartbeat("ready") })
		waitFor(t, v.Node+" to be ready", func() bool { return v.readyStatus() == http.StatusOK })
		v.keepAnnouncing(t)
	}
	served := func(v *vm, path string) bool { return v.call("GET", path, "x"+path).status == http.StatusOK }
	before := store.Copy()
	for i := range 10 { // Other writes, which are lost too.
		store.Put("others", "a", fmt.Sprint(i))
	}
	store.Put("config", "main", configurationJSON(5, "/safe/first/>office", "/safe/second/>office"))
	for _, v := range vms {
		waitFor(t, "the second version at "+v.Node, func() bool { return served(v, "/safe/second/x") })
	}
	time.Sleep(1500 * time.Millisecond) // All nodes watch on from the last revision.
	store.SetFaults(metastore.Faults{Away: true})
	last := store.Revision()
	time.Sleep(time.Second)
	store.Restore(before)
	store.Put("config", "main", configurationJSON(5, "/safe/first/>office", "/safe/second/>office"))
	for store.Revision() < last-1 {
		store.Put("others", "a", "again")
	}
	store.Put("config", "main", configurationJSON(9, "/safe/first/>office", "/safe/third/>office"))
	store.SetFaults(metastore.Faults{})
	time.Sleep(5 * time.Second)
	for _, v := range vms {
		if !served(v, "/safe/third/x") {
			t.Errorf("%s does not serve the route of version 9, which was accepted 5 s ago", v.Node)
		}
		if served(v, "/safe/second/x") {
			t.Errorf("%s serves a route that version 9 has dropped", v.Node)
		}
	}
}

// Guards against a backend server that gets no more requests although it is well: the store has lost the record of its node in a restore,
// so that the other nodes take it for departed, and the node does not write it again.
func TestRecordThatTheStoreHasLostIsWrittenAgain(t *testing.T) {
	store, addr := startStore(t, "/safe/office/>office", "/safe/desk/>desk")
	vms := []*vm{startVM(t, addr, "office-1", "office"), startVM(t, addr, "office-2", "office")}
	for _, v := range vms {
		waitFor(t, "an acknowledged heartbeat of "+v.Node, func() bool { return v.sendHeartbeat("ready") })
		waitFor(t, v.Node+" to be ready", func() bool { return v.readyStatus() == http.StatusOK })
		v.keepAnnouncing(t)
	}
	time.Sleep(time.Second)
	before := store.Copy()
	deskVM := startVM(t, addr, "desk-1", "desk")
	waitFor(t, "an acknowledged heartbeat of the desk", func() bool { return deskVM.sendHeartbeat("ready") })
	deskVM.keepAnnouncing(t)
	served := func(v *vm) bool { return v.call("GET", "/safe/desk/x", "desk").status == http.StatusOK }
	for _, v := range vms {
		waitFor(t, "an answer of the desk through "+v.Node, func() bool { return served(v) })
	}
	time.Sleep(2 * time.Second)
	restore(store, before, 250*time.Millisecond)
	time.Sleep(5 * time.Second)
	for _, v := range vms {
		if !served(v) {
			t.Errorf("%s does not serve the desk 5 s after the restore", v.Node)
		}
	}
	if store.Get("instances", "desk-1") == "" {
		t.Error("the store does not hold the record of the desk's node")
	}
}

// Guards against an acknowledged departure that is forgotten: the store loses its record when it comes back from a copy, all nodes are
// killed at that moment, and several announcements from before arrive late.
func TestDepartureOutlastsARestoreAndAllNodes(t *testing.T) {
	store, officeVMs, deskVM := startMesh(t)
	leaving := officeVMs[0]
	before := store.Copy()
	leaving.backendServer.leaving.Store(true)
	waitFor(t, "an acknowledged departure", func() bool { return leaving.announce("instances.deregister", `{"born":1000}`) })
	store.SetFaults(metastore.Faults{Away: true})
	leaving.kill()
	store.Restore(before)
	store.SetFaults(metastore.Faults{})
	killAllNodes(t, leaving.Bounds.Drain, officeVMs[1], deskVM)
	checkLateHeartbeats(t, store, leaving, deskVM)
}
