package proxy

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/monsoonlatch/monsoonlatch/pkg/balance"
	"github.com/monsoonlatch/monsoonlatch/pkg/config"
	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
	"github.com/monsoonlatch/monsoonlatch/pkg/rollout"
)

// previewedQuota is a quota that answers a preview and counts the tokens that are taken.
type previewedQuota struct {
	known, ok bool
	taken     int
}

func (q *previewedQuota) Admit(context.Context, *config.Tenant, time.Time) (bool, time.Duration) {
	q.taken++
	return q.ok, time.Second
}

func (q *previewedQuota) Preview(*config.Tenant, time.Time) (known, ok bool, retryAfter time.Duration) {
	return q.known, q.ok, time.Second
}

// explain asks the node's operators' handler.
func (n *node) explain(t *testing.T, q ExplainRequest) (report ExplainReport, body string) {
	t.Helper()
	data, err := json.Marshal(q)
	if err != nil {
		t.Fatal(err)
	}
	w := httptest.NewRecorder()
	n.in.ServeExplain(w, httptest.NewRequest(http.MethodPost, "/explain", bytes.NewReader(data)))
	body = w.Body.String()
	if w.Code != http.StatusOK {
		t.Fatalf("status %d: %s", w.Code, body)
	}
	if err := json.Unmarshal(w.Body.Bytes(), &report); err != nil {
		t.Fatal(err)
	}
	return report, body
}

// counters returns the values of all counters.
func counters(m *metric.Set) string {
	w := httptest.NewRecorder()
	m.ServeText(w, nil)
	return w.Body.String()
}

// Guards against an explanation that names another refusal, status or tenant than the caller gets, that counts or logs, or that
// shows the key.
func TestExplanationIsWhatTheCallerGets(t *testing.T) {
	m := newMesh(t, "desk", "desk", "office")
	m.setTenants(acme(), bulk())
	n := m.nodes[0]
	var log bytes.Buffer
	quota := &previewedQuota{known: true, ok: true}
	n.in.Quota = quota
	for _, c := range []struct {
		name, method, path, key string
		bytes                   int
		reason                  metric.Refusal
		tenant, quota           string
		rank                    int
		deny                    bool
	}{
		{name: "valid key", path: "/lookups/1", key: acmeKey, tenant: "acme", quota: QuotaNone},
		{name: "rank of the class", path: "/lookups/1", key: bulkKey, tenant: "bulk", rank: 6, quota: QuotaAvailable},
		{name: "public", path: "/listings", rank: 5, quota: QuotaNone},
		{name: "no key", path: "/lookups/1", reason: metric.RefusedUnknownKey},
		{name: "unknown key", path: "/lookups/1", key: strangeKey, reason: metric.RefusedUnknownKey},
		{name: "no route", path: "/nothing", key: acmeKey, reason: metric.RefusedNoRoute},
		{name: "no instance", path: "/archive", key: acmeKey, reason: metric.RefusedNoInstance, tenant: "acme", quota: QuotaNone},
		{name: "over the quota", path: "/lookups/1", key: bulkKey, reason: metric.RefusedQuotaExceeded, tenant: "bulk", rank: 6, quota: QuotaExceeded, deny: true},
		{name: "too large", method: "POST", path: "/lookups/1", key: acmeKey, bytes: DefaultMaxBodyBytes + 1, reason: metric.RefusedTooLarge, tenant: "acme", quota: QuotaNone},
	} {
		quota.ok = !c.deny
		n.in.Log = zerolog.New(&log)
		log.Reset()
		taken, before := quota.taken, counters(n.metrics)
		report, body := n.explain(t, ExplainRequest{Method: c.method, Path: c.path, Key: c.key, BodyBytes: int64(c.bytes)})
		if quota.taken != taken || counters(n.metrics) != before || log.Len() > 0 {
			t.Errorf("%s: the explanation has taken a token, counted or logged %q", c.name, log.String())
		}
		if c.key != "" && strings.Contains(body, c.key) || strings.Contains(body, config.KeyDigest(c.key)) {
			t.Errorf("%s: the explanation shows the key", c.name)
		}
		n.in.Log = zerolog.Nop()
		headers := []string{}
		if c.key != "" {
			headers = []string{"Authorization", "Bearer " + c.key}
		}
		method := c.method
		if method == "" {
			method = http.MethodGet
		}
		got := n.call(t.Context(), method, c.path, strings.Repeat("x", c.bytes), headers...)
		if c.reason == "" {
			if report.Refusal != nil || got.status != http.StatusOK || len(report.Candidates) != 2 || report.Total != 2 {
				t.Errorf("%s: status %d, explained as %s", c.name, got.status, body)
			}
		} else if report.Refusal == nil || report.Refusal.Reason != c.reason || got.err == nil && (report.Refusal.Status != got.status || got.header.Get(HeaderReason) != string(c.reason)) {
			t.Errorf("%s: status %d, reason %q, explained as %s", c.name, got.status, got.header.Get(HeaderReason), body)
		}
		if report.Tenant != c.tenant || report.Rank != c.rank || report.Quota != c.quota || report.Version != uint64(m.snap.Version) {
			t.Errorf("%s: explained as %s", c.name, body)
		}
	}
	quota.known = false
	if report, _ := n.explain(t, ExplainRequest{Path: "/lookups", Key: bulkKey}); report.Quota != QuotaNotAsked || report.Refusal != nil {
		t.Errorf("without a token at the node: %+v", report)
	}
	n.in.BeginDrain()
	if report, _ := n.explain(t, ExplainRequest{Path: "/lookups", Key: acmeKey}); report.Refusal == nil || report.Refusal.Reason != metric.RefusedDraining {
		t.Errorf("during a drain: %+v", report)
	}
}

// versionFilter allows one instance, and others if that cannot take the request.
type versionFilter struct{ prefer, fallback membership.InstanceID }

func (f versionFilter) Choose(string, bool) (prefer, fallback rollout.Filter) {
	return func(in *membership.Instance) bool { return in.ID == f.prefer }, func(in *membership.Instance) bool { return in.ID == f.fallback }
}

// Guards against an explanation that ignores the limits of a roll-out, and against one that makes the node follow a service that
// it has sent nothing to.
func TestExplanationDuringARollout(t *testing.T) {
	m := newMesh(t, "desk", "desk", "desk")
	n := m.nodes[0]
	n.in.selector.versions = versionFilter{prefer: "i1", fallback: "i2"}
	report, body := n.explain(t, ExplainRequest{Path: "/lookups"})
	if len(report.Candidates) != 3 || report.Candidates[0].Instance != "i1" || report.Candidates[0].Chosen != explainDraws || report.Candidates[1].PassedOver == "" {
		t.Errorf("explained as %s", body)
	}
	if n.in.selector.picker.HasService("desk") {
		t.Error("the explanation has changed the services of the picker")
	}
	m.nodes[1].setState(membership.StateDraining)
	report, body = n.explain(t, ExplainRequest{Path: "/lookups"})
	if report.Candidates[0].Instance != "i2" || report.Candidates[0].Chosen != explainDraws || report.Candidates[0].PassedOver != "" {
		t.Errorf("with the fallback explained as %s", body)
	}
}

// Guards against descriptions without limits, and against errors that repeat a key.
func TestExplainRefusesBadDescriptions(t *testing.T) {
	m := newMesh(t, "desk")
	for _, c := range []struct {
		body   string
		status int
	}{
		{`{"path":"/lookups","key":"` + strings.Repeat("k", MaxExplainBytes) + `"}`, http.StatusRequestEntityTooLarge},
		{`{"path":"/lookups","key":5` + acmeKey, http.StatusBadRequest},
		{`{"path":"/lookups","` + acmeKey + `":1}`, http.StatusBadRequest},
		{`{"path":"lookups","key":"` + acmeKey + `"}`, http.StatusBadRequest},
		{`{"path":"","key":"` + acmeKey + `"}`, http.StatusBadRequest},
		{`{"path":"/lookups","method":"G T","key":"` + acmeKey + `"}`, http.StatusBadRequest},
		{`{"path":"/lookups","bodyBytes":-1,"key":"` + acmeKey + `"}`, http.StatusBadRequest},
	} {
		w := httptest.NewRecorder()
		m.nodes[0].in.ServeExplain(w, httptest.NewRequest(http.MethodPost, "/explain", strings.NewReader(c.body)))
		if w.Code != c.status || strings.Contains(w.Body.String(), acmeKey) || strings.Contains(w.Body.String(), "kkkk") {
			t.Errorf("status %d, want %d; answer %.200q", w.Code, c.status, w.Body)
		}
	}
}

// Guards against an answer that grows with the size of the service.
func TestExplainedCandidatesAreBounded(t *testing.T) {
	m := newMesh(t, "desk")
	n := m.nodes[0]
	many := &manyInstances{n: 3 * MaxExplainCandidates}
	n.in.selector.view = many
	report, body := n.explain(t, ExplainRequest{Path: "/lookups"})
	if report.Total != many.n || len(report.Candidates) != MaxExplainCandidates {
		t.Errorf("%d of %d candidates in %d bytes", len(report.Candidates), report.Total, len(body))
	}
}

type manyInstances struct{ n int }

func (v *manyInstances) Instances(service string) []membership.Instance {
	out := make([]membership.Instance, v.n)
	for i := range out {
		out[i] = membership.Instance{ID: membership.InstanceID("n" + string(rune('0'+i%10)) + strings.Repeat("x", i/10)), Service: service,
			AvailabilityZone: "a", Slots: 4, Incarnation: 1, State: membership.StateReady}
	}
	return out
}

func (v *manyInstances) Subscribe() <-chan struct{} { return nil }

// Guards against an explanation that reads what requests change at the same time; the race detector finds it.
func TestExplanationsBesideTraffic(t *testing.T) {
	m := newMesh(t, "desk", "desk")
	n := m.nodes[0]
	n.in.selector.picker = balance.New(balance.Settings{AvailabilityZone: "a", Completion: balance.Completion{MaxSlots: 20}})
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 50 {
			if a := n.get("/lookups"); a.status != http.StatusOK {
				t.Errorf("status %d, error %v", a.status, a.err)
			}
		}
	}()
	for explaining := true; explaining; {
		select {
		case <-done:
			explaining = false
		default:
			if report, body := n.explain(t, ExplainRequest{Path: "/lookups"}); report.Balancing != "completion" && report.Total > 0 {
				t.Errorf("explained as %s", body)
			}
		}
	}
}
