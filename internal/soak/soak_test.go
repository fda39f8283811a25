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
			if at := s.at % (stormSpell + calmSpell); at >= stormSpell && slices.Contains(unplanned, s.action) {
				t.Errorf("fault %q at %v, in a calm phase", s.action, s.at)
			}
		}
	}
	for _, k := range slices.Concat(unplanned, plannedWork) {
		if !seen[k] {
			t.Errorf("none of 20 plans has the action %q", k)
		}
	}
}

// Guards against nodes that violate a rule while faults and planned work follow each other and overlap.
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

// Guards against a ledger that misses a violation or reports an allowed sequence as one.
func TestLedgerJudges(t *testing.T) {
	for _, c := range []struct {
		name, rule string
		play       func(l *ledger)
	}{
		{"second run", "twice", func(l *ledger) { l.ran("once", "a"); l.ran("once", "b") }},
		{"second run that is allowed", "", func(l *ledger) { l.ran("any", "a"); l.ran("any", "b") }},
		{"refusal after a run", "refused", func(l *ledger) { l.ran("once", "a"); l.refusal("once", 503) }},
		{"run after a refusal", "refused", func(l *ledger) { l.refusal("once", 503); l.ran("once", "a") }},
		{"refusal without a run", "", func(l *ledger) { l.refusal("once", 503) }},
		{"run of a request that was not sent", "unasked", func(l *ledger) { l.ran("other", "a") }},
	} {
		l := newLedger(time.Now())
		l.sent("once", true)
		l.sent("any", false)
		c.play(l)
		rule := ""
		if v := l.violations(); len(v) > 0 {
			rule = v[0].Rule
		}
		if rule != c.rule {
			t.Errorf("%s: rule %q, want %q", c.name, rule, c.rule)
		}
	}
}

// Guards against a caller that accepts a truncated answer, the answer of another request, a wrong status or a closed
// connection.
func TestCallerJudgesAnswers(t *testing.T) {
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
		{"dropped", "lost", func(http.ResponseWriter, string, string) { panic(http.ErrAbortHandler) }},
	} {
		l := newLedger(time.Now().Add(-time.Minute))
		outside, inside := ips(os.Getpid(), 120)
		v := &vm{name: "vm", outside: outside, inside: inside, ledger: l, stalls: newStallMeter(t.Context())}
		ln, err := net.Listen("tcp", v.address(portCallers))
		if err != nil {
			t.Fatal(err)
		}
		srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			id := r.Header.Get("X-Attempt-Id")
			l.ran(id, "instance")
			c.answer(w, id, expectedBody(id, r.URL.Path))
		}))
		srv.Listener.Close()
		srv.Listener = ln
		srv.Start()
		newCaller(v, "caller").call(context.Background(), http.MethodPost, "/lodge/x")
		srv.Close()
		rule := ""
		if v := l.violations(); len(v) > 0 {
			rule = v[0].Rule
		}
		if rule != c.rule {
			t.Errorf("%s: rule %q, want %q: %v", c.name, rule, c.rule, l.violations())
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
		resp, err := client.Get("http://" + l.ln.Addr().String())
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
	}{{linkSound, true}, {linkSlow, true}, {linkSilent, false}, {linkDeafIn, false}, {linkDeafOut, false}, {linkBroken, false}, {linkSound, true}} {
		l.set(c.fault)
		if got := ask(); got != c.want {
			t.Errorf("fault %d: answered %v, want %v", c.fault, got, c.want)
		}
	}
}
