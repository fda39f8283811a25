package proxy

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/monsoonlatch/monsoonlatch/pkg/config"
	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
)

// Keys of the tenants acme and bulk, and one that no tenant holds.
const (
	acmeKey    = "acme-key-5f1c77"
	bulkKey    = "bulk-key-09ab31"
	strangeKey = "strange-key-e43d20"
)

// setTenants puts the tenants in force in place of those before. The route listings is public then.
func (m *mesh) setTenants(tenants ...config.Tenant) {
	c := m.snap.Configuration.Clone()
	c.Tenants = make(map[string]config.Tenant)
	for _, t := range tenants {
		c.Tenants[t.Name] = t
	}
	listings := c.Routes["listings"]
	listings.Public = true
	c.Routes["listings"] = listings
	urgent := c.Policies["urgent"]
	urgent.ClassRanks = map[string]int{"low": 6}
	c.Policies["urgent"] = urgent
	snap, err := config.Build(m.snap.Version+1, "h", c)
	if err != nil {
		m.t.Fatal(err)
	}
	m.snap = snap
}

func acme() config.Tenant {
	return config.Tenant{Name: "acme", Keys: []string{config.KeyDigest(acmeKey)}}
}

func bulk() config.Tenant {
	return config.Tenant{Name: "bulk", Keys: []string{config.KeyDigest(bulkKey)}, PriorityClass: "low", Rate: 5, Burst: 10}
}

// recordingServer is a backend server that keeps the requests that it gets.
type recordingServer struct {
	*httptest.Server
	mu       sync.Mutex
	headers  []http.Header
	received bytes.Buffer
}

// record replaces the node's backend server by a recording one.
func (n *node) record(t *testing.T) *recordingServer {
	s := &recordingServer{}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		dump, _ := httputil.DumpRequest(r, true)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.received.Write(dump)
		s.headers = append(s.headers, r.Header.Clone())
		fmt.Fprint(w, "ok")
	}))
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	n.mu.Lock()
	defer n.mu.Unlock()
	n.addr = s.Listener.Addr().String()
	return s
}

// last returns the number of requests and the header of the last one.
func (s *recordingServer) last() (int, http.Header) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.headers) == 0 {
		return 0, nil
	}
	return len(s.headers), s.headers[len(s.headers)-1]
}

// Guards against a request that runs without a valid key or under another tenant's name, and against a valid key that is
// refused because of its form.
func TestKeyDecidesTheTenant(t *testing.T) {
	m := newMesh(t, "desk", "office")
	m.setTenants(acme(), bulk())
	server := m.nodes[0].record(t)
	for _, c := range []struct {
		name   string
		values []string
		tenant string
	}{
		{"valid", []string{"Bearer " + acmeKey}, "acme"},
		{"scheme in another case", []string{"bEARER " + bulkKey}, "bulk"},
		{"several spaces", []string{"Bearer   " + acmeKey}, "acme"},
		{"none", nil, ""},
		{"unknown", []string{"Bearer " + strangeKey}, ""},
		{"digest in place of the key", []string{"Bearer " + config.KeyDigest(acmeKey)}, ""},
		{"prefix of a key", []string{"Bearer " + acmeKey[:8]}, ""},
		{"another case", []string{"Bearer " + strings.ToUpper(acmeKey)}, ""},
		{"two headers", []string{"Bearer " + acmeKey, "Bearer " + bulkKey}, ""},
		{"the same header twice", []string{"Bearer " + acmeKey, "Bearer " + acmeKey}, ""},
		{"empty header", []string{""}, ""},
		{"empty key", []string{"Bearer "}, ""},
		{"no scheme", []string{acmeKey}, ""},
		{"another scheme", []string{"Basic " + acmeKey}, ""},
		{"list of schemes", []string{"Bearer " + acmeKey + ", Basic x"}, ""},
		{"space in the key", []string{"Bearer acme key"}, ""},
		{"no ASCII", []string{"Bearer " + acmeKey + "\xe9"}, ""},
		{"too long", []string{"Bearer " + strings.Repeat("k", MaxCredentialBytes+1)}, ""},
	} {
		for via, n := range m.nodes {
			for _, path := range []string{"/lookups", "/listings"} {
				before, _ := server.last()
				req, _ := http.NewRequest(http.MethodGet, n.callers.URL+path, nil)
				req.Header["Authorization"] = c.values
				req.Header.Set("Connection", "keep-alive")
				req.Header.Set(HeaderTenant, "forged")
				resp, err := n.callers.Client().Do(req)
				if err != nil {
					t.Fatal(err)
				}
				resp.Body.Close()
				runs, h := server.last()
				if path == "/lookups" && c.tenant == "" {
					if resp.StatusCode != 401 || resp.Header.Get(HeaderReason) != string(metric.RefusedUnknownKey) || resp.Header.Get("WWW-Authenticate") != "Bearer" ||
						runs != before || resp.Close {
						t.Errorf("%s via node %d: status %d, header %v, %d runs, connection closed %v; want 401 without a run on an open connection",
							c.name, via, resp.StatusCode, resp.Header, runs-before, resp.Close)
					}
					continue
				}
				if resp.StatusCode != 200 || runs != before+1 || h.Get(HeaderTenant) != c.tenant || h["Authorization"] != nil || len(h[HeaderTenant]) > 1 {
					t.Errorf("%s via node %d, %s: status %d, %d runs with the header %v, want one for tenant %q", c.name, via, path, resp.StatusCode, runs-before, h, c.tenant)
				}
			}
		}
	}
	if a := m.nodes[1].post("/deposits"); a.status != 401 || !a.closes {
		t.Errorf("request with a body and without a key: %+v, want 401 and the end of the connection, since the body is unread", a)
	}
}

// Guards against a deployment without tenants that changes: Authorization belongs to the backend servers there.
func TestAuthorizationPassesWithoutTenants(t *testing.T) {
	m := newMesh(t, "desk", "office")
	server := m.nodes[0].record(t)
	for _, n := range m.nodes {
		a := n.get("/lookups", "Authorization", "Bearer "+acmeKey)
		if _, h := server.last(); a.status != 200 || h.Get("Authorization") != "Bearer "+acmeKey || h[HeaderTenant] != nil {
			t.Errorf("status %d, the backend server received %v", a.status, h)
		}
	}
}

// olderSource serves a configuration of its own in place of the mesh's.
type olderSource struct{ snap *config.Snapshot }

func (s olderSource) Current() *config.Snapshot { return s.snap }

// Guards against a key that reaches a backend server during the introduction of tenants: the first node does not know them
// yet, the second one does.
func TestKeyIsRemovedAtTheEgress(t *testing.T) {
	m := newMesh(t, "desk", "office")
	server := m.nodes[0].record(t)
	older := m.snap
	m.setTenants(acme())
	m.nodes[0].eg.Source, m.nodes[1].in.Source = olderSource{m.snap}, olderSource{older}
	a := m.nodes[1].get("/lookups", "Authorization", "Bearer "+acmeKey)
	if _, h := server.last(); a.status != 200 || h["Authorization"] != nil {
		t.Errorf("status %d, the backend server received %v", a.status, h)
	}
}

// Guards against a revoked key that still runs requests on connections that were open before the revocation, and against
// other keys that the revocation affects.
func TestRevokedKeyRunsNothing(t *testing.T) {
	m := newMesh(t, "desk", "office")
	server := m.nodes[0].record(t)
	m.setTenants(acme(), bulk())
	conn, err := net.Dial("tcp", m.nodes[1].callers.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	answers := bufio.NewReader(conn)
	request := func(key string) int {
		fmt.Fprintf(conn, "GET /lookups HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n\r\n", key)
		resp, err := http.ReadResponse(answers, nil)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		return resp.StatusCode
	}
	if status := request(acmeKey); status != 200 {
		t.Fatalf("status %d before the revocation", status)
	}
	m.setTenants(config.Tenant{Name: "acme"}, bulk())
	before, _ := server.last()
	if status := request(acmeKey); status != 401 {
		t.Errorf("status %d after the revocation, want 401", status)
	}
	if after, _ := server.last(); after != before {
		t.Error("a request with a revoked key ran")
	}
	if status := request(bulkKey); status != 200 {
		t.Errorf("status %d for another key after the revocation", status)
	}
}

// Guards against a node that refuses a new key for good, or accepts a revoked one beyond the allowed time, although it
// cannot know the newest configuration, and against refusals of known keys where they may be accepted.
func TestUnconfirmedConfiguration(t *testing.T) {
	for _, c := range []struct {
		name           string
		age            time.Duration
		failClosed     bool
		known, unknown int
	}{
		{"confirmed", time.Second, true, 200, 401},
		{"perhaps behind", 4 * time.Second, true, 200, 503},
		{"silent, fail open", time.Hour, false, 200, 503},
		{"silent, fail closed", 6 * time.Second, true, 503, 503},
	} {
		m := newMesh(t, "desk", "office")
		m.setTenants(acme())
		n := m.nodes[1]
		n.in.ConfigurationAge = func() time.Duration { return c.age }
		n.in.KeyRules = func() KeyRules {
			if c.failClosed {
				return KeyRules{MaxLag: 3 * time.Second, MaxRevocationLag: 5 * time.Second}
			}
			return KeyRules{MaxLag: 3 * time.Second}
		}
		for key, want := range map[string]int{acmeKey: c.known, strangeKey: c.unknown} {
			a := n.get("/lookups", "Authorization", "Bearer "+key)
			refused := want != 503 || a.refusedWith(503, "not-run", metric.RefusedConfigUnconfirmed)
			if a.status != want || !refused {
				t.Errorf("%s: key %s: got %+v, want status %d", c.name, key, a, want)
			}
		}
		if a := n.get("/lookups"); a.status != 401 {
			t.Errorf("%s: request without a key: status %d, want 401: no configuration allows it", c.name, a.status)
		}
		for _, headers := range [][]string{nil, {"Authorization", "Bearer " + strangeKey}} {
			if a := n.get("/listings", headers...); a.status != 200 {
				t.Errorf("%s: public route with the headers %v: status %d, want 200", c.name, headers, a.status)
			}
		}
	}
}

// fakeQuota refuses all requests while refuse is set.
type fakeQuota struct {
	refuse time.Duration
	asked  []string
}

func (q *fakeQuota) Admit(_ context.Context, tenant *config.Tenant, _ time.Time) (bool, time.Duration) {
	q.asked = append(q.asked, tenant.Name)
	return q.refuse == 0, q.refuse
}

// Guards against refusals by the quota that run, spend a retry or close a connection needlessly, and against a quota that is
// asked for requests without a limit, twice for one request, or for a request that is refused anyway.
func TestQuota(t *testing.T) {
	m := newMesh(t, "desk", "office")
	m.setTenants(acme(), bulk())
	n, q := m.nodes[1], &fakeQuota{}
	n.in.Quota = q
	for _, key := range []string{acmeKey, strangeKey, ""} {
		n.get("/lookups", "Authorization", "Bearer "+key)
		n.get("/listings", "Authorization", "Bearer "+key)
	}
	if len(q.asked) != 0 {
		t.Errorf("the quota was asked for %v, none of which has a limit", q.asked)
	}
	if a := n.get("/lookups", "Authorization", "Bearer "+bulkKey); a.status != 200 || len(q.asked) != 1 || q.asked[0] != "bulk" {
		t.Errorf("request within the quota: %+v, asked for %v", a, q.asked)
	}
	before := m.runs()
	q.refuse = 2300 * time.Millisecond
	for _, a := range []answer{n.get("/lookups", "Authorization", "Bearer "+bulkKey), n.post("/deposits", "Authorization", "Bearer "+bulkKey)} {
		if !a.refusedWith(429, "not-run", metric.RefusedQuotaExceeded) || a.header.Get("Retry-After") != "3" || !strings.Contains(a.body, `"retryAfterMs":2300`) {
			t.Errorf("request beyond the quota: %+v", a)
		}
	}
	if a := n.get("/lookups", "Authorization", "Bearer "+bulkKey); a.status != 429 || a.closes {
		t.Errorf("a refusal of a request without a body closes the connection: %v", a.header)
	}
	if a := n.get("/none", "Authorization", "Bearer "+bulkKey); a.status != 404 || len(q.asked) != 4 {
		t.Errorf("request without a route: status %d, the quota was asked %d times, want 4", a.status, len(q.asked))
	}
	metrics := n.metrics.Snapshot()
	for name, count := range metrics {
		if strings.HasPrefix(name, "retry.") && count != 0 {
			t.Errorf("%s is %d, want no retry", name, count)
		}
	}
	if m.runs() != before || metrics["refused.quota_exceeded"] != 3 {
		t.Errorf("%d runs, metrics %v", m.runs()-before, metrics)
	}
}

// Guards against a tenant's priority or name that does not reach the queue at the backend server's node.
func TestTenantReachesTheQueue(t *testing.T) {
	m := newMesh(t, "desk", "office")
	m.setTenants(acme(), bulk())
	gate := m.nodes[0].gate
	for _, n := range m.nodes {
		for key, want := range map[string]AdmissionRequest{acmeKey: {Rank: 0, Tenant: "acme"}, bulkKey: {Rank: 6, Tenant: "bulk"}} {
			if a := n.get("/lookups", "Authorization", "Bearer "+key); a.status != 200 {
				t.Fatalf("status %d", a.status)
			}
			gate.mu.Lock()
			got := gate.requests[len(gate.requests)-1]
			gate.mu.Unlock()
			if got.Rank != want.Rank || got.Tenant != want.Tenant {
				t.Errorf("rank %d, tenant %q at the queue, want %d and %q", got.Rank, got.Tenant, want.Rank, want.Tenant)
			}
		}
	}
}

// Guards against a tenant that gets the stored response to another tenant's request by using its idempotency key.
func TestIdempotencyKeysAreSeparate(t *testing.T) {
	m := newMesh(t, "office", "desk")
	m.setTenants(acme(), bulk())
	for i, key := range []string{acmeKey, bulkKey, acmeKey} {
		a := m.nodes[i%2].post("/deposits", "Authorization", "Bearer "+key, headerKey, "k1")
		if replayed := a.header.Get(HeaderReplayed) == "1"; a.status != 200 || replayed != (i == 2) {
			t.Errorf("request %d: %+v", i, a)
		}
	}
	if m.runs() != 2 {
		t.Errorf("%d runs, want one for each tenant", m.runs())
	}
}

// Guards against nested calls that need a key, which backend servers never learn, or that are made under no name, and
// against a caller that claims to be a nested call.
func TestNestedCallBelongsToTheTenant(t *testing.T) {
	m := newMesh(t, "desk", "office")
	m.setTenants(acme())
	server := m.nodes[0].record(t)
	id := m.nodes[0].in.Calls.add(&activeCall{tenant: "acme", deadline: time.Now().Add(time.Minute)})
	if a := m.nodes[0].get("/lookups", HeaderCall, id); a.status != 200 {
		t.Errorf("nested call: %+v", a)
	}
	if _, h := server.last(); h.Get(HeaderTenant) != "acme" {
		t.Errorf("nested call with the header %v", h)
	}
	if a := m.nodes[0].get("/lookups", HeaderCall, "guessed"); a.status != 401 {
		t.Errorf("call with an unknown parent: status %d, want 401", a.status)
	}
}

// Guards against an API key that leaves the node at which it arrives, in whatever form, or that shows there in logs, metrics
// or responses.
func TestKeyStaysAtTheFirstNode(t *testing.T) {
	m := newMesh(t, "desk", "office")
	m.setTenants(acme(), bulk())
	server := m.nodes[0].record(t)
	var between, shown bytes.Buffer
	egress := m.nodes[0].peers.Config.Handler
	m.nodes[0].peers.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		dump, _ := httputil.DumpRequest(r, true)
		between.Write(dump)
		egress.ServeHTTP(w, r)
	})
	n := m.nodes[1]
	var log syncBuffer
	for _, x := range m.nodes {
		x.in.Log, x.eg.Log = zerolog.New(&log), zerolog.New(&log)
	}
	n.in.Quota = &fakeQuota{refuse: time.Second}
	for _, key := range []string{acmeKey, bulkKey, strangeKey} {
		for _, path := range []string{"/lookups", "/listings", "/none", "/deposits"} {
			a := n.get(path, "Authorization", "Bearer "+key, "Connection", "Authorization")
			fmt.Fprintln(&shown, a)
		}
	}
	m.nodes[0].setState(membership.StateDraining)
	fmt.Fprintln(&shown, n.get("/lookups", "Authorization", "Bearer "+acmeKey))
	if between.Len() == 0 || server.received.Len() == 0 || len(log.String()) == 0 {
		t.Fatal("nothing was recorded")
	}
	text := httptest.NewRecorder()
	n.metrics.ServeText(text, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	stored, err := json.Marshal(m.snap.Configuration)
	if err != nil {
		t.Fatal(err)
	}
	for where, data := range map[string]string{"message between nodes": between.String(), "request to the backend server": server.received.String(),
		"response": shown.String(), "log": log.String(), "metrics": text.Body.String(), "configuration": string(stored),
		"snapshot": fmt.Sprintf("%+v", *m.snap)} {
		for _, key := range []string{acmeKey, bulkKey, strangeKey} {
			if strings.Contains(data, key) {
				t.Errorf("%s contains the key %s", where, key)
			}
		}
	}
}

// syncBuffer is a buffer that several goroutines may write to.
type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}
