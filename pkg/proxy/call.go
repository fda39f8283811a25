package proxy

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/balance"
	"github.com/monsoonlatch/monsoonlatch/pkg/config"
	"github.com/monsoonlatch/monsoonlatch/pkg/idempotency"
	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
	"github.com/monsoonlatch/monsoonlatch/pkg/rollout"
)

// call is one request that a node is forwarding.
type call struct {
	id      string
	method  string
	url     *url.URL
	host    string
	header  http.Header
	body    []byte
	version config.Version
	// bodyLimit is the maximum size of the body.
	bodyLimit int64

	service       string
	route         string
	policy        string
	rank          int
	maxRetries    int
	latencyTarget time.Duration
	// idempotencyWindow is how long the result of a keyed call is kept.
	idempotencyWindow time.Duration
	idempotent        bool
	// key is the idempotency key of the request.
	key string
	// caller is the service on the VM at which the request entered the mesh.
	caller string
	// hasTenants is set if the configuration has tenants; tenant is then the one that the call belongs to, or empty.
	hasTenants bool
	tenant     string

	arrived  time.Time
	deadline time.Time
	// due is the time by which the policy's latency target is met; a later response is worth less.
	due     time.Time
	attempt int
	hops    int
	// retried is set if the call is a retry, or is nested in a call that is one.
	retried bool
	parent  *activeCall

	// tried lists the instances to which an attempt was sent.
	tried []membership.InstanceID
	// attemptTimeout is how long an attempt of an idempotent call waits for a response before it may be abandoned for a
	// retry.
	attemptTimeout time.Duration
	// requestRetry, set by the ingress, asks for a retry at another instance when attemptTimeout has passed. It reports
	// whether the retry is granted, in which case the attempt is abandoned.
	requestRetry func() bool
	// sendProcessing, set by the egress, sends status 102 (Processing) to the ingress, which then keeps waiting.
	sendProcessing func()
	// relation is that of the instance of the last attempt to the own availability zone.
	relation balance.Relation
	// news is the value of HeaderNews in a request from another node.
	news string
	// retryTarget is the instance chosen for a retry that the budget has allowed and that is not sent yet.
	retryTarget *membership.Instance
	// permit, set by the egress, is the right to send the call to the local backend server during a roll-out.
	permit *rollout.Permit
}

// keyed reports whether the call needs an idempotency record, which makes it run at most once.
func (c *call) keyed() bool { return !c.idempotent && c.key != "" }

// workContext returns the context for the backend server's work: when the caller disconnects, idempotent work is
// cancelled and other work runs to its end.
func (c *call) workContext(ctx context.Context) context.Context {
	if c.idempotent {
		return ctx
	}
	return context.WithoutCancel(ctx)
}

// request encodes the call for the next hop.
func (c *call) request(h http.Header) *http.Request {
	r := &http.Request{Method: c.method, URL: c.url, Host: c.host, Header: h, ContentLength: int64(len(c.body))}
	if len(c.body) > 0 {
		r.Body = newBody(c.body)
	} else if c.method != http.MethodGet && c.method != http.MethodHead {
		r.Body = http.NoBody
	}
	if _, ok := h[headerUserAgent]; !ok {
		// An empty value keeps net/http from adding its default user agent.
		h[headerUserAgent] = []string{""}
	}
	return r
}

var commonHeaders = [...]string{HeaderRequestID, HeaderRemaining, HeaderRank, HeaderConfigVersion, HeaderService,
	HeaderRoute}

// outgoing returns what the next hop is told about the call.
func (c *call) outgoing(now time.Time) Outgoing {
	return Outgoing{ID: c.id, Service: c.service, Route: c.route, Rank: c.rank, Version: c.version, Attempt: c.attempt,
		Retried: c.retried || c.attempt > 0, Remaining: wireRemaining(now, c.deadline), Caller: c.caller,
		HasTenants: c.hasTenants, Tenant: c.tenant}
}

// setCommonHeaders sets the headers that are sent to the egress and, in the native dialect, also to the backend server.
func setCommonHeaders(h http.Header, o Outgoing) {
	values := []string{o.ID, strconv.FormatInt(o.Remaining.Microseconds(), 10), strconv.Itoa(o.Rank),
		strconv.FormatUint(uint64(o.Version), 10), escapeName(o.Service), escapeName(o.Route)}
	for i, name := range commonHeaders {
		// The values share one allocation.
		h[name] = values[i : i+1 : i+1]
	}
	setCount(h, HeaderAttempt, int64(o.Attempt))
	setFlag(h, HeaderRetried, o.Retried)
}

// setPeerHeaders sets the headers that are sent only to the egress of another node.
func (c *call) setPeerHeaders(h http.Header, now time.Time) {
	set(h, HeaderPolicy, escapeName(c.policy))
	setFlag(h, HeaderIdempotent, c.idempotent)
	setCount(h, HeaderHops, int64(c.hops))
	if !c.due.IsZero() {
		setInt(h, HeaderDue, c.due.Sub(now).Microseconds())
	}
	if c.caller != "" {
		set(h, HeaderCaller, escapeName(c.caller))
	}
	if c.hasTenants {
		set(h, HeaderTenant, escapeName(c.tenant))
	}
	if c.keyed() {
		setInt(h, HeaderWindow, c.idempotencyWindow.Microseconds())
	}
}

// clearPeerHeaders removes the headers set by setPeerHeaders, which are not sent to the backend server.
func clearPeerHeaders(h http.Header) {
	delete(h, HeaderPolicy)
	delete(h, HeaderIdempotent)
	delete(h, HeaderHops)
	delete(h, HeaderWindow)
	delete(h, HeaderCaller)
	delete(h, HeaderDue)
	delete(h, HeaderTenant)
	delete(h, HeaderNews)
}

// digest hashes the parts that must be equal in two requests with the same idempotency key. Each part is preceded by
// its length.
func (c *call) digest() [32]byte {
	d := sha256.New()
	for _, part := range [][]byte{[]byte(c.method), []byte(c.url.RequestURI()), c.body} {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(part)))
		d.Write(n[:])
		d.Write(part)
	}
	return [32]byte(d.Sum(nil))
}

// recordKey returns the name of the call's idempotency record. Each tenant has records of its own, so that none can get the
// response to another's request. The separator cannot occur in a header value.
func (c *call) recordKey() string {
	if c.tenant == "" {
		return c.key
	}
	return c.tenant + "\x00" + c.key
}

func (c *call) keyRequest() idempotency.Request {
	return idempotency.Request{Service: c.service, Key: c.recordKey(), Digest: c.digest(), Window: c.idempotencyWindow}
}

// newID returns 128 random bits in hexadecimal form. The generator is seeded by the operating system and cannot be
// predicted.
func newID() string {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], rand.Uint64())
	binary.LittleEndian.PutUint64(b[8:], rand.Uint64())
	return hex.EncodeToString(b[:])
}

// activeCall is a call that is in progress at the local backend server.
type activeCall struct {
	rank     int
	hops     int
	retried  bool
	tenant   string
	deadline time.Time
	// hasNestedCall is set by the first nested call, which shows that the backend server is working on this call.
	hasNestedCall atomic.Bool
	// retriedBelow is set by a nested call that was retried, or that failed and was denied a retry.
	retriedBelow atomic.Bool
}

// Calls is the table of calls in flight at the local backend server, shared by the ingress and the egress of a node.
type Calls struct {
	mu   sync.Mutex
	byID map[string]*activeCall
}

// NewCalls returns an empty table.
func NewCalls() *Calls { return &Calls{byID: make(map[string]*activeCall)} }

func (t *Calls) add(e *activeCall) string {
	id := newID()
	t.mu.Lock()
	t.byID[id] = e
	t.mu.Unlock()
	return id
}

func (t *Calls) remove(id string) {
	t.mu.Lock()
	delete(t.byID, id)
	t.mu.Unlock()
}

// find returns the call in flight with the given ID, or nil.
func (t *Calls) find(id string) *activeCall {
	if id == "" {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.byID[id]
}

// inheritLimits makes a nested call at most as urgent as its parent call, and lets its deadline be no later. A higher
// rank is less urgent.
func (c *call) inheritLimits(e *activeCall) {
	c.parent = e
	e.hasNestedCall.Store(true)
	c.rank = max(c.rank, e.rank)
	c.hops = e.hops + 1
	c.retried = c.retried || e.retried
	if e.deadline.Before(c.deadline) {
		c.deadline = e.deadline
	}
}
