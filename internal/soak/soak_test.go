package soak

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/monsoonlatch/monsoonlatch/internal/standin/metastore"
)

// Guards against plans that a seed does not reproduce, that miss an action, or that put faults into a calm phase.
func TestPlanFollowsFromSeed(t *testing.T) {
	a, b, other := newPlan(7, time.Minute, 6), newPlan(7, time.Minute, 6), newPlan(8, time.Minute, 6)
	if !slices.Equal(a, b) {
		t.Error("two plans of the same seed differ")
	}
	if slices.Equal(a, other) {
		t.Error("two seeds give the same plan")
	}
	seen := make(map[action]bool)
	for seed := range uint64(20) {
		for _, s := range newPlan(seed, time.Minute, 6) {
			seen[s.action] = true
			if at := s.at % (faultPhase + calmPhase); at >= faultPhase && !slices.Contains(plannedActions, s.action) {
				t.Errorf("fault %q at %v, in a calm phase", s.action, s.at)
			}
		}
	}
	for _, k := range slices.Concat(faultActions, plannedActions, []action{actStoreRestored}) {
		if !seen[k] {
			t.Errorf("none of 20 plans has the action %q", k)
		}
	}
}

// Guards against nodes that violate a rule while faults and planned actions follow each other and overlap.
func TestShortSoak(t *testing.T) {
	dir := t.TempDir()
	program := filepath.Join(dir, "monsoonlatch-sidecar")
	if out, err := exec.Command("go", "build", "-o", program, "../../cmd/monsoonlatch-sidecar").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	rep, err := Run(t.Context(), Settings{Seed: 3, Length: 12 * time.Second, VMs: 6, Program: program, Dir: dir})
	if err != nil {
		t.Fatal(err)
	}
	t.Log(rep)
	if !rep.Passed() {
		t.Error("the run found violations; logs of the nodes:")
		logs, _ := filepath.Glob(filepath.Join(dir, "*.log")) // Fails only for a malformed pattern.
		for _, path := range logs {
			b, err := os.ReadFile(path)
			t.Logf("%s (%v)\n%s", filepath.Base(path), err, b)
		}
	}
}

// Guards against a checker that misses a violation or reports an allowed sequence as one.
func TestCheckerFindsViolations(t *testing.T) {
	for _, c := range []struct {
		name, rule string
		play       func(c *checker)
	}{
		{"second run", "twice", func(c *checker) { c.recordRun("once", "a"); c.recordRun("once", "b") }},
		{"second run that is allowed", "", func(c *checker) { c.recordRun("any", "a"); c.recordRun("any", "b") }},
		{"refusal after a run", "refused", func(c *checker) { c.recordRun("once", "a"); c.recordRefusal("once", 503) }},
		{"run after a refusal", "refused", func(c *checker) { c.recordRefusal("once", 503); c.recordRun("once", "a") }},
		{"refusal without a run", "", func(c *checker) { c.recordRefusal("once", 503) }},
		{"run of a request that was not sent", "unasked", func(c *checker) { c.recordRun("other", "a") }},
		{"right workspace", "", func(c *checker) { c.checkTenant("any", http.Header{"X-Tenant": {"lasting"}}) }},
		{"wrong workspace", "unasked", func(c *checker) { c.checkTenant("any", http.Header{"X-Tenant": {"forged"}}) }},
		{"two workspaces", "unasked", func(c *checker) { c.checkTenant("any", http.Header{"X-Tenant": {"lasting", "forged"}}) }},
		{"no workspace", "unasked", func(c *checker) { c.checkTenant("any", http.Header{}) }},
		{"key passed on", "unasked", func(c *checker) {
			c.checkTenant("any", http.Header{"X-Tenant": {"lasting"}, "Authorization": {"Bearer x"}})
		}},
	} {
		check := newChecker(time.Now())
		check.recordRequest("once", true, "lasting")
		check.recordRequest("any", false, "lasting")
		c.play(check)
		rule := ""
		if v := check.violations(); len(v) > 0 {
			rule = v[0].Rule
		}
		if rule != c.rule {
			t.Errorf("%s: rule %q, want %q", c.name, rule, c.rule)
		}
	}
}

// Guards against a caller that accepts a truncated response, the response to another request, a wrong status or a
// closed connection.
func TestCallerChecksResponses(t *testing.T) {
	for _, c := range []struct {
		name, rule string
		answer     func(w http.ResponseWriter, id, body string)
	}{
		{"whole", "", func(w http.ResponseWriter, id, body string) {
			w.Header().Set("X-Server-Seal", "seal-"+id)
			_, _ = io.WriteString(w, body)
		}},
		{"short", "mixed", func(w http.ResponseWriter, id, body string) {
			w.Header().Set("X-Server-Seal", "seal-"+id)
			_, _ = io.WriteString(w, body[:len(body)-1])
		}},
		{"foreign", "mixed", func(w http.ResponseWriter, id, body string) {
			w.Header().Set("X-Server-Seal", "seal-other")
			_, _ = io.WriteString(w, body)
		}},
		{"without seal", "mixed", func(w http.ResponseWriter, _, body string) { _, _ = io.WriteString(w, body) }},
		{"denied", "denied", func(w http.ResponseWriter, _, _ string) { w.WriteHeader(http.StatusForbidden) }},
		{"known key refused", "denied", func(w http.ResponseWriter, _, _ string) { w.WriteHeader(http.StatusUnauthorized) }},
		{"dropped", "lost", func(http.ResponseWriter, string, string) { panic(http.ErrAbortHandler) }},
	} {
		check := newChecker(time.Now().Add(-time.Minute))
		publicIP, nodeIP := vmAddresses(os.Getpid(), 120)
		v := &vm{name: "vm", publicIP: publicIP, nodeIP: nodeIP, checker: check,
			stallDetector: newStallDetector(t.Context())}
		ln, err := net.Listen("tcp", v.address(portCallers))
		if err != nil {
			t.Fatal(err)
		}
		srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			id := r.Header.Get("X-Attempt-Id")
			check.recordRun(id, "instance")
			c.answer(w, id, expectedBody(id, r.URL.Path))
		}))
		srv.Listener.Close()
		srv.Listener = ln
		srv.Start()
		newCaller(v, "caller").call(context.Background(), http.MethodPost, "/lodge/x", lasting)
		srv.Close()
		rule := ""
		if v := check.violations(); len(v) > 0 {
			rule = v[0].Rule
		}
		if rule != c.rule {
			t.Errorf("%s: rule %q, want %q: %v", c.name, rule, c.rule, check.violations())
		}
	}
}

// Guards against a prober that misses a new key which is refused or a revoked one which runs, or that reports a node which
// has time left for the latest configuration.
func TestProberChecksKeys(t *testing.T) {
	for _, c := range []struct {
		name            string
		newest, revoked int
		age             time.Duration
		// dropped is set if two more generations are published while the request with the newest key is in progress.
		dropped bool
		rule    string
	}{
		{"in force", 200, 401, time.Minute, false, ""},
		{"not confirmed", 503, 503, time.Minute, false, ""},
		{"new key refused", 401, 401, time.Minute, false, "config"},
		{"revoked key runs", 200, 200, time.Minute, false, "config"},
		{"just published", 401, 200, 0, false, ""},
		{"revoked meanwhile", 401, 401, time.Minute, true, ""},
	} {
		check := newChecker(time.Now().Add(-time.Minute))
		publicIP, nodeIP := vmAddresses(os.Getpid(), 121)
		v := &vm{name: "vm", publicIP: publicIP, nodeIP: nodeIP, checker: check, stallDetector: newStallDetector(t.Context())}
		ln, err := net.Listen("tcp", v.address(portCallers))
		if err != nil {
			t.Fatal(err)
		}
		published := &publisher{store: metastore.New(), generation: 5, published: time.Now().Add(-c.age)}
		srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			id, status := r.Header.Get("X-Attempt-Id"), c.revoked
			if r.Header.Get("Authorization") == "Bearer "+rotating(5).key {
				status = c.newest
				if c.dropped {
					published.publish()
					published.publish()
				}
			}
			if status == http.StatusOK {
				check.recordRun(id, "instance")
				w.Header().Set("X-Server-Seal", "seal-"+id)
				_, _ = io.WriteString(w, expectedBody(id, r.URL.Path))
				return
			}
			w.WriteHeader(status)
		}))
		srv.Listener.Close()
		srv.Listener = ln
		srv.Start()
		p := &prober{caller: newCaller(v, "prober"), publisher: published}
		for p.rounds = range 2 {
			p.probeKeys(context.Background())
		}
		srv.Close()
		rule := ""
		if v := check.violations(); len(v) > 0 {
			rule = v[0].Rule
		}
		if rule != c.rule {
			t.Errorf("%s: rule %q, want %q: %v", c.name, rule, c.rule, check.violations())
		}
	}
}

// Guards against a link that forwards bytes which its fault must hold back, or the reverse.
func TestLinkFaults(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") }))
	defer srv.Close()
	l, err := newLink("127.0.0.1:0", strings.TrimPrefix(srv.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer l.close()
	client := &http.Client{Timeout: 300 * time.Millisecond, Transport: &http.Transport{}}
	ask := func() bool {
		resp, err := client.Get("http://" + l.listener.Addr().String())
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		b, err := io.ReadAll(resp.Body)
		return err == nil && string(b) == "answer"
	}
	for _, c := range []struct {
		fault linkFault
		want  bool
	}{{linkOK, true}, {linkSlow, true}, {linkStalled, false}, {linkStalledIn, false}, {linkStalledOut, false},
		{linkReset, false}, {linkOK, true}} {
		l.setFault(c.fault)
		if got := ask(); got != c.want {
			t.Errorf("fault %d: complete response %v, want %v", c.fault, got, c.want)
		}
	}
}
