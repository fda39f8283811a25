package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/monsoonlatch/monsoonlatch/internal/standin/metastore"
	"github.com/monsoonlatch/monsoonlatch/pkg/directory"
	"github.com/monsoonlatch/monsoonlatch/pkg/kernel"
)

// API keys of the test. No workspace holds strangeKey.
const (
	firstKey   = "firstkey4c2f81d07a"
	secondKey  = "secondkey93be5510c"
	strangeKey = "strangekey77a0de31"
)

// tenantsJSON returns a configuration in which the workspace pulo holds the given keys. The route /safe-open/ is public.
func tenantsJSON(version int, keys ...string) string {
	document := configurationJSON(version, "/lodge/>office", "/safe/>office", "/safe-open/>office")
	document = strings.Replace(document, `"pathPrefix":"/safe-open/",`, `"pathPrefix":"/safe-open/","public":true,`, 1)
	tenant := fmt.Sprintf(`{"type":"tenants","metadata":{"name":"pulo"},"spec":{"apiKeys":["%s"],"priority":1,"ratePerS":500,"burst":500}},`, strings.Join(keys, `","`))
	return strings.Replace(document, `"resources":[`, `"resources":[`+tenant, 1)
}

// lockedBuffer is a buffer that several goroutines may use.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

// listenIP is the address on which the nodes behind a tap listen. Other nodes know them by testIP.
var listenIP = netip.AddrFrom4([4]byte{127, 78, testIP.As4()[2], testIP.As4()[3]})

// tap accepts connections at addr, forwards them to the same port of listenIP and records all bytes of both directions.
func tap(t *testing.T, addr netip.AddrPort, record io.Writer) {
	ln, err := net.Listen("tcp", addr.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	target := netip.AddrPortFrom(listenIP, addr.Port()).String()
	go func() {
		for {
			client, err := ln.Accept()
			if err != nil {
				return
			}
			server, err := net.Dial("tcp", target)
			if err != nil {
				client.Close()
				continue
			}
			forward := func(dst, src net.Conn) {
				_, _ = io.Copy(io.MultiWriter(record, dst), src) // Either end may close at any time.
				dst.Close()
				src.Close()
			}
			go forward(client, server)
			go forward(server, client)
		}
	}()
}

// startTenantMesh starts a VM of the service desk and one of the service office with the workspace pulo. All bytes between
// the nodes and all log lines are recorded.
func startTenantMesh(t *testing.T, prepare func(*vm)) (store *metastore.Store, desk, office *vm, between, log *lockedBuffer) {
	store = metastore.New()
	store.Put("config", "main", tenantsJSON(3, firstKey, secondKey))
	srv := httptest.NewServer(store)
	t.Cleanup(srv.CloseClientConnections)
	between, log = &lockedBuffer{}, &lockedBuffer{}
	start := func(name, service string) *vm {
		v := newVM(t, strings.TrimPrefix(srv.URL, "http://"), name, service)
		v.bind, v.log = listenIP.String(), log
		tap(t, v.Peers, between)
		tap(t, netip.AddrPortFrom(v.IP, uint16(v.FirstPort)), between)
		prepare(v)
		v.start(t)
		for _, addr := range []*netip.AddrPort{&v.Callers, &v.Ready, &v.Announcements} {
			*addr = netip.AddrPortFrom(listenIP, addr.Port())
		}
		waitFor(t, "an acknowledged heartbeat of "+name, func() bool { return v.sendHeartbeat("ready") })
		v.keepAnnouncing(t)
		return v
	}
	office, desk = start("office-1", "office"), start("desk-1", "desk")
	waitFor(t, "a response through both nodes", func() bool {
		return desk.call("GET", "/safe/1", "warm", "Authorization", "Bearer "+firstKey).status == 200
	})
	for _, v := range []*vm{desk, office} {
		// Until the store has confirmed the listing of the start, which may be old, the key could be a new one.
		waitFor(t, "a confirmed configuration at "+v.Node, func() bool {
			return v.call("GET", "/safe/1", "unknown", "Authorization", "Bearer "+strangeKey).status == 401
		})
	}
	return store, desk, office, between, log
}

// Guards against an API key that leaves the node at which a request arrives, through messages between nodes, requests to
// backend servers, logs, metrics or the state of a node, and against a request under another name than its tenant's.
func TestKeysStayAtTheFirstNode(t *testing.T) {
	store, desk, office, between, log := startTenantMesh(t, func(*vm) {})
	for i, c := range []struct {
		method, path, key string
		status            int
		tenant            string
	}{
		{"GET", "/safe/1", firstKey, 200, "pulo"}, {"POST", "/lodge/1", secondKey, 200, "pulo"}, {"GET", "/safe/1", strangeKey, 401, ""},
		{"POST", "/lodge/1", "", 401, ""}, {"GET", "/safe-open/1", "", 200, ""}, {"GET", "/safe-open/1", strangeKey, 200, ""},
		{"GET", "/safe-open/1", firstKey, 200, "pulo"}, {"GET", "/none/1", firstKey, 404, ""},
	} {
		attempt := fmt.Sprint("attempt-", i)
		headers := []string{"X-Tenant", "forged"}
		if c.key != "" {
			headers = append(headers, "Authorization", "Bearer "+c.key)
		}
		r := desk.call(c.method, c.path, attempt, headers...)
		if r.status != c.status || office.backendServer.runCount(attempt) != map[bool]int{true: 1, false: 0}[c.status == 200] {
			t.Errorf("%+v: %+v with %d runs", c, r, office.backendServer.runCount(attempt))
		}
		office.backendServer.mu.Lock()
		for _, h := range office.backendServer.headers {
			if h.Get("X-Attempt-Id") == attempt && (strings.Join(h["X-Tenant"], ",") != c.tenant || h["Authorization"] != nil) {
				t.Errorf("%+v: the backend server received %v", c, h)
			}
		}
		office.backendServer.mu.Unlock()
	}
	store.Put("config", "main", tenantsJSON(4, secondKey))
	waitFor(t, "the revocation of a key at both nodes", func() bool {
		return desk.call("GET", "/safe/1", "revoked", "Authorization", "Bearer "+firstKey).status == 401 &&
			office.call("GET", "/safe/1", "revoked", "Authorization", "Bearer "+firstKey).status == 401
	})
	if r := desk.call("GET", "/safe/1", "kept", "Authorization", "Bearer "+secondKey); r.status != 200 {
		t.Errorf("request with a key that was not revoked: %+v", r)
	}
	places := map[string]string{"the messages between nodes": between.String(), "the logs": log.String()}
	for _, v := range []*vm{desk, office} {
		text := httptest.NewRecorder()
		v.metrics.ServeText(text, httptest.NewRequest(http.MethodGet, "/metrics", nil))
		places["the metrics of "+v.Node] = text.Body.String()
		state, err := kernel.Find[*directory.State](v.kernel, nameDirectoryState)
		if err != nil {
			t.Fatal(err)
		}
		places["the state of "+v.Node] = fmt.Sprintf("%+v", *state.Current())
		places["the record of "+v.Node] = store.Get("instances", v.Node)
	}
	for place, data := range places {
		if data == "" {
			t.Errorf("nothing was recorded of %s", place)
		}
		for _, key := range []string{firstKey, secondKey, strangeKey} {
			if strings.Contains(data, key) {
				t.Errorf("%s contain the key %s", place, key)
			}
		}
	}
}

// Guards against a node that refuses a new key for good while it cannot know the newest configuration, that accepts keys
// beyond the time to revoke them although the platform asks to fail closed, or that refuses known keys although it does not,
// and against one that does not recover.
func TestKeysWithoutTheStore(t *testing.T) {
	const revoke = 5 * time.Second
	store, open, closed, _, _ := startTenantMesh(t, func(v *vm) { v.Bounds.Revoke, v.Bounds.RevokeFailClosed = revoke, v.Service == "office" })
	status := func(v *vm, key string) int {
		return v.call("GET", "/safe/1", fmt.Sprint(time.Now().UnixNano()), "Authorization", "Bearer "+key).status
	}
	if got := status(open, strangeKey); got != 401 {
		t.Errorf("unknown key in a confirmed configuration: status %d", got)
	}
	store.SetFaults(metastore.Faults{Silent: true})
	waitFor(t, "a refusal of the unknown key as not run", func() bool { return status(open, strangeKey) == 503 && status(closed, strangeKey) == 503 })
	waitFor(t, "the node that fails closed to refuse keys", func() bool { return status(closed, firstKey) == 503 })
	if got := status(open, firstKey); got != 200 {
		t.Errorf("known key at the node that fails open: status %d", got)
	}
	if got := closed.call("GET", "/safe-open/1", "public").status; got != 200 {
		t.Errorf("public route at the node that fails closed: status %d", got)
	}
	store.SetFaults(metastore.Faults{})
	waitFor(t, "both nodes to recover", func() bool {
		return status(closed, firstKey) == 200 && status(closed, strangeKey) == 401 && status(open, strangeKey) == 401
	})
}
