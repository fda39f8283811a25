package proxy

import (
	"cmp"
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"net/url"
	"slices"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/balance"
	"github.com/monsoonlatch/monsoonlatch/pkg/idempotency"
	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
)

const (
	// MaxExplainBytes limits the body of a request for an explanation.
	MaxExplainBytes = 16 << 10
	// MaxExplainCandidates limits the candidates in an explanation.
	MaxExplainCandidates = 200
	// explainDraws is the number of times that the choice of an instance is repeated on a copy, since it is partly random.
	explainDraws = 32
)

// ExplainRequest describes a request of a caller that is not sent.
type ExplainRequest struct {
	Host   string `json:"host,omitempty"`
	Method string `json:"method,omitempty"`
	Path   string `json:"path"`
	// BodyBytes is the size of the request body.
	BodyBytes int64 `json:"bodyBytes,omitempty"`
	// Key is the API key. It is never part of an explanation, of an error or of a log line.
	Key string `json:"key,omitempty"`
}

// Results of the quota in an ExplainReport.
const (
	QuotaNone      = "none"
	QuotaAvailable = "available"
	QuotaExceeded  = "exceeded"
	// QuotaNotAsked means that the node holds no token, and would have to ask another node.
	QuotaNotAsked = "not asked"
)

// ExplainReport tells what a node would do with a request now. Fields beyond the step that refuses the request are empty.
type ExplainReport struct {
	Node    membership.InstanceID `json:"node"`
	Version uint64                `json:"version"`
	Route   string                `json:"route,omitempty"`
	Policy  string                `json:"policy,omitempty"`
	Service string                `json:"service,omitempty"`
	// Split is set if the route divides its requests among services; Service is then the one for the next request.
	Split  bool   `json:"split,omitempty"`
	Tenant string `json:"tenant,omitempty"`
	Rank   int    `json:"rank"`
	// TargetMs and DeadlineMs follow from the policy. A caller's own deadline may be shorter.
	TargetMs     float64 `json:"targetMs,omitempty"`
	DeadlineMs   float64 `json:"deadlineMs,omitempty"`
	Quota        string  `json:"quota,omitempty"`
	RetryAfterMs float64 `json:"retryAfterMs,omitempty"`
	// Refusal is nil if the request would be sent.
	Refusal *ExplainRefusal `json:"refusal,omitempty"`
	// Balancing is the policy of the choice: "load", "completion" or "random". Draws is the number of times that the choice was
	// repeated on a copy of the node's knowledge.
	Balancing string `json:"balancing,omitempty"`
	Draws     int    `json:"draws,omitempty"`
	// Total is the number of instances of the service, of which Candidates holds MaxExplainCandidates at most.
	Total      int                `json:"total"`
	Candidates []ExplainCandidate `json:"candidates"`
}

// ExplainRefusal is the refusal that the caller would get.
type ExplainRefusal struct {
	Reason metric.Refusal `json:"reason"`
	Status int            `json:"status"`
}

// ExplainCandidate is an instance of the service.
type ExplainCandidate struct {
	Instance membership.InstanceID `json:"instance"`
	Zone     string                `json:"zone"`
	State    string                `json:"state"`
	Version  string                `json:"version,omitempty"`
	// Chosen is the number of draws in which the instance was chosen, Relation the relation to the own zone then.
	Chosen   int    `json:"chosen"`
	Relation string `json:"relation,omitempty"`
	// PassedOver is empty if the instance may be chosen. LastResort is set if it may be only because no other one can take the
	// request; PassedOverBut then tells why it would be passed over otherwise.
	PassedOver    string `json:"passedOver,omitempty"`
	LastResort    bool   `json:"lastResort,omitempty"`
	PassedOverBut string `json:"passedOverBut,omitempty"`
	Slots         int    `json:"slots"`
	// InFlight is the number of requests from the asked node.
	InFlight int `json:"inFlight"`
	// Load is nil if the instance has reported none lately.
	Load  *ExplainLoad `json:"load,omitempty"`
	Score float64      `json:"score"`
	// CompletionMs and CostMs are zero unless the choice is by expected completion.
	CompletionMs float64 `json:"completionMs,omitempty"`
	CostMs       float64 `json:"costMs,omitempty"`
}

// ExplainLoad is a reported load.
type ExplainLoad struct {
	InUse  int     `json:"inUse"`
	Limit  int     `json:"limit"`
	Queued int     `json:"queued"`
	AgeMs  float64 `json:"ageMs"`
}

// request returns the HTTP request that is explained, or an error that names the field at fault.
func (q *ExplainRequest) request() (*http.Request, error) {
	u, err := url.ParseRequestURI(q.Path)
	if err != nil || q.Path[0] != '/' {
		return nil, errors.New("the path is invalid; remedy: begin it with a slash, and escape characters as in a URL")
	}
	if q.BodyBytes < 0 || q.BodyBytes > math.MaxInt32 {
		return nil, errors.New("the size of the body is out of range; remedy: give 0 to 2147483647 bytes")
	}
	method := cmp.Or(q.Method, http.MethodGet)
	for i := range len(method) {
		if method[i] <= ' ' || method[i] >= 0x7f {
			return nil, errors.New("the method is invalid; remedy: give a method such as GET")
		}
	}
	h := make(http.Header)
	if q.Key != "" {
		h[headerAuthorization] = []string{"Bearer " + q.Key}
	}
	return &http.Request{Method: method, URL: u, Host: q.Host, Header: h, ContentLength: q.BodyBytes, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1}, nil
}

// Explain tells what the node would do with a request now. It takes the steps of ServeHTTP up to the first attempt, without
// sending, counting or logging anything, and without using a token of a quota.
func (in *Ingress) Explain(q ExplainRequest) (*ExplainReport, error) {
	r, err := q.request()
	if err != nil {
		return nil, err
	}
	now := in.Clock.Now()
	report := &ExplainReport{Node: in.Self, Candidates: []ExplainCandidate{}}
	if rep := in.explainUntilPick(r, now, report); rep != nil {
		report.refuse(in.Dialect, rep)
	}
	return report, nil
}

// explainUntilPick fills the report. The reply is nil unless the request would be refused.
func (in *Ingress) explainUntilPick(r *http.Request, now time.Time, report *ExplainReport) *reply {
	if snap := in.Source.Current(); snap != nil {
		report.Version = uint64(snap.Version)
	}
	incoming := in.Dialect.ParseIncoming(r)
	if in.tracker.refusesNew() {
		return refuse(metric.RefusedDraining)
	}
	c := &call{method: r.Method, url: r.URL, host: r.Host, header: r.Header, arrived: now, caller: in.Caller}
	m, tenant, rep := in.resolve(r, c, incoming, nil)
	if m != nil && len(m.Route.Split) > 0 {
		report.Split = true
		c.service = in.splitter.Peek(m.Route.Name, m.Route.Split)
	}
	report.Version, report.Route, report.Policy, report.Service = uint64(c.version), c.route, c.policy, c.service
	report.Tenant, report.Rank = c.tenant, c.rank
	if m != nil {
		report.TargetMs, report.DeadlineMs = milliseconds(c.latencyTarget), milliseconds(c.deadline.Sub(now))
	}
	if rep != nil {
		return rep
	}
	quota, wait := QuotaNone, time.Duration(0)
	if in.Quota != nil && hasQuota(tenant) {
		quota = QuotaNotAsked
		if p, ok := in.Quota.(QuotaPreviewer); ok {
			if known, ok, after := p.Preview(tenant, now); known && ok {
				quota = QuotaAvailable
			} else if known {
				quota, wait = QuotaExceeded, max(after, minQuotaRetryAfter)
			}
		}
	}
	report.Quota = quota
	switch {
	case quota == QuotaExceeded:
		rep = refuse(metric.RefusedQuotaExceeded)
		rep.retryAfter = wait
		return rep
	case r.ContentLength > c.bodyLimit:
		return refuse(metric.RefusedTooLarge)
	case !in.Bodies.fits(r.ContentLength):
		return refuse(metric.RefusedBodyMemory)
	case in.stop.before(c.deadline):
		return refuse(metric.RefusedDraining)
	}
	request := c.balanceRequest(now)
	request.Bytes = int(r.ContentLength)
	if !in.selector.explain(now, request, report) {
		return refuse(metric.RefusedNoInstance)
	}
	return nil
}

// refuse adds the refusal to the report in the form that callers get.
func (e *ExplainReport) refuse(d Dialect, rep *reply) {
	status, _ := d.EncodeRefusal(make(http.Header), RefusalInfo{Outcome: idempotency.OutcomeNotRun, Reason: rep.reason, RetryAfter: rep.retryAfter})
	e.Refusal, e.RetryAfterMs = &ExplainRefusal{Reason: rep.reason, Status: status}, milliseconds(rep.retryAfter)
}

func milliseconds(d time.Duration) float64 {
	return float64(d.Round(time.Microsecond)) / float64(time.Millisecond)
}

// copyFor copies what decides on a request, so that the lock is held no longer than for a choice, which reads all instances too.
func (s *selector) copyFor(now time.Time, r *balance.Request) *balance.Snapshot {
	s.mu.Lock()
	known, snapshot := s.picker.HasService(r.Service), s.picker.Snapshot(r.Service, r.Route)
	s.mu.Unlock()
	if !known {
		snapshot.Update(now, r.Service, s.instances(r.Service))
	}
	return snapshot
}

// explain adds the candidates to the report, and reports whether an instance can take the request.
func (s *selector) explain(now time.Time, r balance.Request, report *ExplainReport) (found bool) {
	snapshot := s.copyFor(now, &r)
	draws := explainDraws
	merged := newCandidateSet()
	for i := range draws {
		chosen, relation, err := s.choose(r, func(r balance.Request) (membership.Instance, balance.Relation, error) {
			if i == 0 || r.Allow != nil { // Without a roll-out all draws have the same explanation.
				merged.add(snapshot.Explain(now, r))
			}
			return snapshot.Choose(now, r)
		})
		if err == nil {
			found = true
			merged.count(chosen.ID, relation)
		}
	}
	report.Balancing, report.Draws, report.Total = merged.policy, draws, len(merged.order)
	report.Candidates = merged.list(MaxExplainCandidates)
	return found
}

// candidateSet merges explanations that differ in the instances that a roll-out allows.
type candidateSet struct {
	policy string
	order  []*ExplainCandidate
	byID   map[membership.InstanceID]*ExplainCandidate
}

func newCandidateSet() *candidateSet {
	return &candidateSet{byID: make(map[membership.InstanceID]*ExplainCandidate)}
}

// add takes over an explanation. An instance is passed over only if all explanations say so.
func (s *candidateSet) add(e balance.Explanation) {
	s.policy = e.Policy
	for i := range e.Candidates {
		c := &e.Candidates[i]
		known := s.byID[c.Instance.ID]
		switch {
		case known == nil:
			known = &ExplainCandidate{}
			s.byID[c.Instance.ID] = known
			s.order = append(s.order, known)
		case known.PassedOver == "" && (!known.LastResort || c.LastResort):
			continue
		case c.Reason == balance.NotAllowed || known.PassedOver != balance.NotAllowed.String() && c.Reason != balance.Eligible:
			continue
		}
		*known = describeCandidate(c, known)
	}
}

func describeCandidate(c *balance.Candidate, known *ExplainCandidate) ExplainCandidate {
	out := ExplainCandidate{Instance: c.Instance.ID, Zone: c.Instance.AvailabilityZone, State: c.Instance.State.String(), Version: c.Instance.Version,
		Chosen: known.Chosen, Relation: known.Relation, PassedOver: c.Reason.String(), LastResort: c.LastResort, PassedOverBut: c.Avoided.String(),
		Slots: c.Instance.Slots, InFlight: c.InFlight, Score: c.Score, CompletionMs: milliseconds(c.Completion), CostMs: milliseconds(c.Cost)}
	if c.Reported != nil {
		out.Load = &ExplainLoad{InUse: c.Reported.InUse, Limit: c.Reported.Limit, Queued: c.Reported.Queued, AgeMs: milliseconds(c.ReportAge)}
	}
	return out
}

func (s *candidateSet) count(id membership.InstanceID, relation balance.Relation) {
	if c := s.byID[id]; c != nil {
		c.Chosen++
		c.Relation = balance.Relations[relation]
	}
}

// list returns the first candidates, those that may be chosen before the others.
func (s *candidateSet) list(limit int) []ExplainCandidate {
	slices.SortStableFunc(s.order, func(a, b *ExplainCandidate) int {
		return cmp.Compare(passedRank(a), passedRank(b))
	})
	out := make([]ExplainCandidate, 0, min(limit, len(s.order)))
	for _, c := range s.order[:min(limit, len(s.order))] {
		out = append(out, *c)
	}
	return out
}

func passedRank(c *ExplainCandidate) int {
	if c.PassedOver != "" {
		return 1
	}
	return 0
}

// ServeExplain answers operators' requests for an explanation: POST with an ExplainRequest. Errors do not repeat the body, which
// may hold a key.
func (in *Ingress) ServeExplain(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Cache-Control", "no-store")
	fail := func(status int, message string) {
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(map[string]string{"error": message})
	}
	var q ExplainRequest
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, MaxExplainBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&q); err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			fail(http.StatusRequestEntityTooLarge, "the body has more than 16 KiB; remedy: shorten the path")
			return
		}
		fail(http.StatusBadRequest, "the body is no valid description of a request; remedy: use monsoonlatch explain of the same version")
		return
	}
	report, err := in.Explain(q)
	if err != nil {
		fail(http.StatusBadRequest, err.Error())
		return
	}
	_ = json.NewEncoder(w).Encode(report) // An error means that the client has closed the connection.
}
