package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/monsoonlatch/monsoonlatch/internal/settingsdoc"
	"github.com/monsoonlatch/monsoonlatch/internal/standin/metastore"
	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
	"github.com/monsoonlatch/monsoonlatch/platform"
)

// Guards against documented settings that differ from the flags.
func TestSettingsPage(t *testing.T) {
	if err := settingsdoc.Check("../../docs/settings.md", "monsoonlatch-sidecar", &Settings{}); err != nil {
		t.Error(err)
	}
}

// application is a fake backend server. Unless answer, if set, has handled a request, it responds with its id and the
// request's method, path and body.
type application struct {
	id     string
	mu     sync.Mutex
	runs   map[string]int
	heads  []http.Header
	answer func(w http.ResponseWriter, r *http.Request) bool
	web    *httptest.Server
}

func newApplication(t *testing.T, id string) *application {
	a := &application{id: id, runs: make(map[string]int)}
	a.web = httptest.NewServer(a)
	t.Cleanup(func() { a.web.CloseClientConnections(); a.web.Close() })
	return a
}

func (a *application) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", attempt)
	if target := r.Header.Get("X-Target-Instance"); target != a.id {
		w.Header().Set("X-Instance-Id", a.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	a.mu.Lock()
	a.runs[attempt]++
	a.heads = append(a.heads, r.Header.Clone())
	answer := a.answer
	a.mu.Unlock()
	if answer != nil && answer(w, r) {
		return
	}
	w.Header().Set("X-Server-Seal", "seal-"+attempt)
	body, _ := io.ReadAll(r.Body) // A truncated body shows in the response.
	fmt.Fprintf(w, "%s %s %s %s", a.id, r.Method, r.URL.Path, body)
}

func (a *application) ran(attempt string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.runs[attempt]
}

// vm is a VM with a node, which runs in this process, and a fake backend server.
type vm struct {
	platform.Machine
	app    *application
	cancel context.CancelFunc
	done   chan error
	seq    int
}

// testIP is a loopback address that only this process uses. On 127.0.0.1, another process or the source port of a
// connection could take a port between the call of freePort and the start of the listener.
var testIP = netip.AddrFrom4([4]byte{127, 77, byte(os.Getpid() >> 8), byte(os.Getpid())})

// failedNodes receives the errors of nodes that end without being stopped.
var failedNodes = make(chan error, 16)

// handedOut holds the ports that freePort has returned.
var handedOut sync.Map

func freePort(t *testing.T) netip.AddrPort {
	for {
		ln, err := net.Listen("tcp", netip.AddrPortFrom(testIP, 0).String())
		if err != nil {
			t.Fatal(err)
		}
		addr := ln.Addr().(*net.TCPAddr).AddrPort()
		ln.Close()
		if _, taken := handedOut.LoadOrStore(addr.Port(), true); !taken {
			return addr
		}
	}
}

func startVM(t *testing.T, store, name, service string) *vm {
	v := &vm{app: newApplication(t, "i-"+name)}
	control := freePort(t)
	v.Machine = platform.Machine{Node: name, Service: service, AvailabilityZone: "west", IP: testIP,
		Backend: netip.MustParseAddrPort(v.app.web.Listener.Addr().String()), Callers: freePort(t), Peers: freePort(t), Ready: freePort(t),
		Announcements: freePort(t), FirstPort: int(control.Port()), LastPort: int(control.Port()), Store: store, Heartbeat: time.Second,
		MemoryBytes: 284 << 20, Bounds: platform.Bounds{Drain: 600 * time.Millisecond, Grace: 6 * time.Second, Apply: 2 * time.Second, RetryRatio: 0.2}}
	v.start(t)
	return v
}

func (v *vm) start(t *testing.T) {
	k, err := newNode(&Settings{Metrics: "127.0.0.1:0"}, v.Machine, zerolog.Nop(), metric.NewSet())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	v.cancel, v.done = cancel, make(chan error, 1)
	go func() {
		err := runNode(ctx, k, v.Bounds.Grace)
		if ctx.Err() == nil {
			failedNodes <- err
		}
		v.done <- err
	}()
	t.Cleanup(func() { v.cancel() })
}

// announce sends a heartbeat of the backend server and reports whether the node acknowledged it.
func (v *vm) announce(state string) bool {
	v.seq++
	body := fmt.Sprintf(`{"service":%q,"address":"127.0.0.1:1","zone":"west","slots":4,"state":%q,"sequence":%d,"born":1000}`, v.Service, state, v.seq)
	resp, err := http.Post("http://"+v.Announcements.String()+"/rpc?call=instances.heartbeat&of="+v.app.id, "application/json", strings.NewReader(body))
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// result is the response that a client receives, or the error of its request.
type result struct {
	status int
	header http.Header
	body   string
	err    error
}

func (v *vm) call(method, path, attempt string, headers ...string) result {
	req, err := http.NewRequest(method, "http://"+v.Callers.String()+path, strings.NewReader(""))
	if err != nil {
		return result{err: err}
	}
	req.Host = "a.example"
	req.Header.Set("X-Attempt-Id", attempt)
	req.Header.Set("X-Deadline-Ms", "2000")
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return result{err: err}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return result{resp.StatusCode, resp.Header, string(b), err}
}

func (v *vm) ready() int {
	resp, err := http.Get("http://" + v.Ready.String() + "/ready")
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

func await(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for range 1000 {
		select {
		case err := <-failedNodes:
			t.Fatalf("a node ended unexpectedly while waiting for %s: %v", what, err)
		default:
		}
		if ok() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("timeout after 10 s waiting for " + what)
}

func configuration(version int, routes ...string) string {
	entries := []string{`{"type":"services","metadata":{"name":"desk"},"spec":{}}`, `{"type":"services","metadata":{"name":"office"},"spec":{}}`}
	for i, r := range routes {
		path, service, _ := strings.Cut(r, ">")
		kind := "unsafe"
		if strings.HasPrefix(path, "/safe") {
			kind = "safe"
		}
		entries = append(entries, fmt.Sprintf(`{"type":"routes","metadata":{"name":"r%d"},"spec":{"host":"a.example","pathPrefix":%q,"kind":%q,"timeoutMs":1500,"targetLatencyMs":300,"priority":1,"service":%q,"maxAttempts":2}}`, i, path, kind, service))
	}
	return fmt.Sprintf(`{"version":%d,"resources":[%s]}`, version, strings.Join(entries, ","))
}

// mesh starts two VMs of the service office and one of the service desk, and waits until the desk's node sends calls to
// both offices. The store also holds an instance record that cannot be read.
func mesh(t *testing.T) (store *metastore.Store, offices []*vm, desk *vm) {
	store = metastore.New()
	store.Put("config", "main", configuration(3, "/lodge/>office", "/safe/>office", "/desk/>desk"))
	store.Put("instances", "stranger", `{"service":7}`)
	srv := httptest.NewServer(store)
	t.Cleanup(srv.CloseClientConnections)
	addr := strings.TrimPrefix(srv.URL, "http://")
	offices = []*vm{startVM(t, addr, "office-1", "office"), startVM(t, addr, "office-2", "office")}
	desk = startVM(t, addr, "desk-1", "desk")
	for _, v := range append([]*vm{desk}, offices...) {
		await(t, "an acknowledged heartbeat of "+v.Node, func() bool { return v.announce("ready") })
		await(t, v.Node+" to be ready", func() bool { return v.ready() == http.StatusOK })
	}
	await(t, "responses of both offices through the desk's node", func() bool {
		seen := make(map[string]bool)
		for i := range 20 {
			r := desk.call("GET", "/safe/x", fmt.Sprint("warm-", i))
			seen[strings.SplitN(r.body, " ", 2)[0]] = r.status == 200
		}
		return seen["i-office-1"] && seen["i-office-2"]
	})
	return store, offices, desk
}

// Guards against the path through two nodes losing or changing a part of a request or a response.
func TestRequestPassesThroughTheMesh(t *testing.T) {
	_, offices, desk := mesh(t)
	r := desk.call("POST", "/lodge/17", "a1", "X-Caller-Service", "forged", "X-Other", "kept")
	if r.status != 200 || r.header.Get("X-Server-Seal") != "seal-a1" || !strings.HasSuffix(r.body, " POST /lodge/17 ") {
		t.Fatalf("POST through the mesh: %+v", r)
	}
	ran := offices[0].app.ran("a1") + offices[1].app.ran("a1")
	if ran != 1 {
		t.Errorf("the request ran %d times, want 1", ran)
	}
	for _, v := range offices {
		for _, h := range v.app.heads {
			if h.Get("X-Attempt-Id") == "a1" && (h.Get("X-Caller-Service") != "desk" || h.Get("X-Other") != "kept" || h.Get("Ml-Rank") != "") {
				t.Errorf("the backend server received the headers %v", h)
			}
		}
	}
	if r := desk.call("GET", "/none/", "a2"); r.status != 404 {
		t.Errorf("request without a route: %+v", r)
	}
}

// Guards against a non-idempotent request that runs twice, or is refused as not run, when its response is lost.
func TestLostAnswerIsNotRepeated(t *testing.T) {
	_, offices, desk := mesh(t)
	for _, v := range offices {
		v.app.mu.Lock()
		v.app.answer = func(http.ResponseWriter, *http.Request) bool { panic(http.ErrAbortHandler) }
		v.app.mu.Unlock()
	}
	r := desk.call("POST", "/lodge/1", "lost")
	if r.status != 502 || r.header.Get("X-Server-Seal") != "" {
		t.Errorf("request whose response is lost: %+v", r)
	}
	if ran := offices[0].app.ran("lost") + offices[1].app.ran("lost"); ran != 1 {
		t.Errorf("the request ran %d times, want 1", ran)
	}
}

// Guards against a request that is reported as not run although an attempt ran: the first instance fails the request,
// and the second one is draining by the time of the retry.
func TestNoFalsePromiseAfterARun(t *testing.T) {
	_, offices, desk := mesh(t)
	for _, v := range offices {
		v.app.mu.Lock()
		v.app.answer = func(w http.ResponseWriter, _ *http.Request) bool {
			w.WriteHeader(http.StatusInternalServerError)
			for _, other := range offices {
				other.announce("draining")
			}
			time.Sleep(time.Second) // longer than a draining backend server accepts new requests
			return true
		}
		v.app.mu.Unlock()
	}
	if r := desk.call("GET", "/safe/1", "once"); r.status == 503 || r.status == 200 {
		t.Errorf("status %d for a request that ran and failed", r.status)
	}
}

// Guards against requests to a backend server whose drain was acknowledged while the store is down, and against a
// configuration change that is not applied after the store is back.
func TestDrainAndChangesWithoutTheStore(t *testing.T) {
	store, offices, desk := mesh(t)
	store.SetFaults(metastore.Faults{Status: http.StatusServiceUnavailable})
	if !offices[0].announce("draining") {
		t.Fatal("the drain was not acknowledged")
	}
	time.Sleep(offices[0].Bounds.Drain)
	before := len(offices[0].app.heads)
	for i := range 30 {
		if r := desk.call("POST", "/lodge/1", fmt.Sprint("d", i)); r.status != 200 || !strings.HasPrefix(r.body, "i-office-2") {
			t.Errorf("request while office-1 drains: %+v", r)
		}
	}
	if after := len(offices[0].app.heads); after != before {
		t.Errorf("%d requests reached a draining backend server", after-before)
	}
	store.SetFaults(metastore.Faults{})
	store.Put("config", "main", configuration(9, "/lodge/>office", "/new/>office"))
	await(t, "configuration version 9 in force", func() bool {
		return desk.call("POST", "/new/1", "n").status == 200 && desk.call("GET", "/desk/1", "n2").status == 404
	})
}

// Guards against a node that receives no work because other nodes consider its record outdated or have none: the record
// of an earlier start has a higher incarnation, as after the clock was set back, and an operator deletes the object.
func TestOwnRecordIsDefended(t *testing.T) {
	store, offices, desk := mesh(t)
	incarnation := func() (n uint64) {
		var r struct {
			Incarnation uint64
			State       string
		}
		_ = json.Unmarshal([]byte(store.Get("instances", "office-1")), &r) // A deleted object leaves r zero.
		return r.Incarnation
	}
	for _, v := range offices {
		v.app.mu.Lock()
		v.app.answer = func(http.ResponseWriter, *http.Request) bool { time.Sleep(50 * time.Millisecond); return false }
		v.app.mu.Unlock()
	}
	// More concurrent calls than one office has slots.
	works := func() bool {
		var wg sync.WaitGroup
		var seen atomic.Bool
		for i := range 8 {
			wg.Go(func() {
				r := desk.call("GET", "/safe/1", fmt.Sprint("w", i, time.Now().UnixNano()))
				if strings.HasPrefix(r.body, "i-office-1") {
					seen.Store(true)
				}
			})
		}
		wg.Wait()
		for _, v := range append(offices, desk) {
			v.announce("ready")
		}
		return seen.Load()
	}
	ghost := incarnation() + 1_000_000
	store.Put("instances", "office-1", fmt.Sprintf(`{"service":"office","availabilityZone":"west","peers":%q,"control":"127.0.0.1:1","slots":4,"incarnation":%d,"sequence":9,"state":"draining"}`,
		offices[0].Peers, ghost))
	await(t, "a record with a higher incarnation than that of the earlier start", func() bool { return incarnation() > ghost })
	await(t, "office-1 to receive a request", works)
	last := incarnation()
	store.Remove("instances", "office-1")
	await(t, "a new record after the deletion", func() bool { return incarnation() > last })
	await(t, "office-1 to receive a request", works)
}

// Guards against a planned stop that aborts requests, and against a restarted node that sends requests to its backend
// server before the first heartbeat has told the state of the server.
func TestPlannedStopAndRestart(t *testing.T) {
	_, offices, desk := mesh(t)
	slow := make(chan struct{})
	offices[0].app.mu.Lock()
	offices[0].app.answer = func(_ http.ResponseWriter, r *http.Request) bool {
		if r.Header.Get("X-Attempt-Id") == "slow" {
			<-slow
		}
		return false
	}
	offices[0].app.mu.Unlock()
	results := make(chan result, 1)
	go func() { results <- offices[0].call("POST", "/lodge/1", "slow") }()
	await(t, "the slow request to reach a backend server", func() bool {
		return offices[0].app.ran("slow")+offices[1].app.ran("slow") == 1
	})
	offices[0].cancel()
	await(t, "the stopping node to be not ready", func() bool { return offices[0].ready() != http.StatusOK })
	if r := offices[0].call("GET", "/safe/1", "late"); r.err != nil || r.header.Get("Connection") != "close" && r.status != 200 {
		t.Errorf("caller of a node that is shutting down: %+v", r)
	}
	close(slow)
	if r := <-results; r.status != 200 || r.err != nil {
		t.Errorf("request in flight during the stop: %+v", r)
	}
	if err := <-offices[0].done; err != nil {
		t.Errorf("stop: %v", err)
	}
	offices[0].start(t)
	await(t, "the restarted node to be ready", func() bool { return offices[0].ready() == http.StatusOK })
	before := len(offices[0].app.heads)
	for i := range 20 {
		if r := desk.call("GET", "/safe/1", fmt.Sprint("s", i)); r.status != 200 {
			t.Errorf("request after the restart: %+v", r)
		}
	}
	if len(offices[0].app.heads) != before {
		t.Error("requests reached the backend server before its first heartbeat")
	}
	offices[0].announce("ready")
	await(t, "a request to reach the backend server after its heartbeat", func() bool {
		return strings.HasPrefix(offices[0].call("GET", "/safe/1", "own").body, "i-office-1")
	})
}

// Guards against a metrics listener that cannot start, and against a log line of a refusal that lacks the inputs of the
// decision.
func TestRefusalIsLoggedWithItsInputs(t *testing.T) {
	var out strings.Builder
	var mu sync.Mutex
	set := metric.NewSet()
	log, ring := newLogger(writer(func(p []byte) (int, error) {
		mu.Lock()
		defer mu.Unlock()
		return out.Write(p)
	}), zerolog.InfoLevel, set)
	store := metastore.New()
	store.Put("config", "main", configuration(3, "/lodge/>office"))
	srv := httptest.NewServer(store)
	defer srv.CloseClientConnections()
	v := &vm{app: newApplication(t, "i-1")}
	v.Machine = platform.Machine{Node: "n", Service: "desk", IP: testIP, Callers: freePort(t), Peers: freePort(t),
		Ready: freePort(t), Announcements: freePort(t), FirstPort: int(freePort(t).Port()), Store: strings.TrimPrefix(srv.URL, "http://"),
		Heartbeat: time.Second, Backend: freePort(t), Bounds: platform.Bounds{Drain: time.Second, Grace: 6 * time.Second, Apply: 2 * time.Second}}
	k, err := newNode(&Settings{Metrics: "127.0.0.1:0"}, v.Machine, log, set)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { _ = runNode(ctx, k, time.Second); close(done) }() // This test does not check the stop.
	await(t, "the node to be ready", func() bool { return v.ready() == 200 })
	if r := v.call("POST", "/lodge/1", "refused-1"); r.status != 503 || r.header.Get("Retry-After") == "" {
		t.Errorf("request to a service without instances: %+v", r)
	}
	cancel()
	<-done
	ring.Close()
	for _, line := range strings.Split(out.String(), "\n") {
		var e map[string]any
		if json.Unmarshal([]byte(line), &e) != nil || e["request"] != "refused-1" {
			continue
		}
		if e["event"] != float64(1310) || e["reason"] != string(metric.RefusedNoInstance) || e["version"] != float64(3) || e["outcome"] != "not-run" {
			t.Errorf("log line of the refusal: %s", line)
		}
		return
	}
	t.Errorf("no log line about the refused request in:\n%s", out.String())
}

type writer func([]byte) (int, error)

func (w writer) Write(p []byte) (int, error) { return w(p) }
