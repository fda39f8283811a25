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

	"github.com/monsoonlatch/monsoonlatch/pkg/config"
	"github.com/monsoonlatch/monsoonlatch/pkg/idempotency"
	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
)

// call is one request on its way through a node.
type call struct {
	id      string
	method  string
	url     *url.URL
	host    string
	header  http.Header
	body    []byte
	version config.Version

	service    string
	route      string
	policy     string
	rank       int
	maxRetries int
	target     time.Duration
	window     time.Duration
	idempotent bool
	key        string
	// caller is the service on the VM at which the request entered the mesh.
	caller string

	arrived  time.Time
	deadline time.Time
	// due is when the answer is due; an answer after it is worth less.
	due     time.Time
	attempt int
	hops    int
	// retried states that the call is a retry, or is made for a call that is one.
	retried bool
	parent  *entry

	// tried is the instances that an attempt was made at.
	tried []membership.InstanceID
	// patience is how long an idempotent call waits for a sign of life before it may be sent elsewhere.
	patience time.Duration
	// giveUp, set by the ingress, reports whether the call may be sent elsewhere now.
	giveUp func() bool
	// signal, set by the egress, sends a sign of life to the ingress.
	signal func()
	// granted is the instance of a retry that giveUp has decided on.
	granted *membership.Instance
}

// keyed reports whether the call needs a record so that it runs at most once.
func (c *call) keyed() bool { return !c.idempotent && c.key != "" }

// workContext returns the context of the work: idempotent work ends when its caller goes away, other work goes on.
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
		// An empty value keeps net/http from adding a user agent of its own.
		h[headerUserAgent] = []string{""}
	}
	return r
}

var commonHeaders = [...]string{HeaderRequestID, HeaderRemaining, HeaderRank, HeaderConfigVersion, HeaderService,
	HeaderRoute}

// outgoing describes the call to the next hop.
func (c *call) outgoing(now time.Time) Outgoing {
	return Outgoing{ID: c.id, Service: c.service, Route: c.route, Rank: c.rank, Version: c.version, Attempt: c.attempt,
		Retried: c.retried || c.attempt > 0, Remaining: wireRemaining(now, c.deadline), Caller: c.caller}
}

// setCommon sets the headers that both the egress and, in the native dialect, the backend server get.
func setCommon(h http.Header, o Outgoing) {
	values := []string{o.ID, strconv.FormatInt(o.Remaining.Microseconds(), 10), strconv.Itoa(o.Rank),
		strconv.FormatUint(uint64(o.Version), 10), o.Service, o.Route}
	for i, name := range commonHeaders {
		// The values share one allocation.
		h[name] = values[i : i+1 : i+1]
	}
	setCount(h, HeaderAttempt, int64(o.Attempt))
	setFlag(h, HeaderRetried, o.Retried)
}

// setPeer sets the headers that only the egress gets.
func (c *call) setPeer(h http.Header, now time.Time) {
	set(h, HeaderPolicy, c.policy)
	setFlag(h, HeaderIdempotent, c.idempotent)
	setCount(h, HeaderHops, int64(c.hops))
	if !c.due.IsZero() {
		setInt(h, HeaderDue, c.due.Sub(now).Microseconds())
	}
	if c.caller != "" {
		set(h, HeaderCaller, c.caller)
	}
	if c.keyed() {
		setInt(h, HeaderWindow, c.window.Microseconds())
	}
}

// clearPeer removes what the backend server does not get.
func clearPeer(h http.Header) {
	delete(h, HeaderPolicy)
	delete(h, HeaderIdempotent)
	delete(h, HeaderHops)
	delete(h, HeaderWindow)
	delete(h, HeaderCaller)
	delete(h, HeaderDue)
}

// digest covers what makes two requests with one key the same.
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

func (c *call) keyRequest() idempotency.Request {
	return idempotency.Request{Service: c.service, Key: c.key, Digest: c.digest(), Window: c.window}
}

// newID returns 128 random bits in hexadecimal form. The generator is seeded from the system and cannot be predicted.
func newID() string {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], rand.Uint64())
	binary.LittleEndian.PutUint64(b[8:], rand.Uint64())
	return hex.EncodeToString(b[:])
}

// entry is a call that the own backend server is working on.
type entry struct {
	rank     int
	hops     int
	retried  bool
	deadline time.Time
	// called is set by the first nested call. It shows that the backend server is alive.
	called atomic.Bool
	// retriedBelow is set by nested calls that failed and for which a retry was made or denied.
	retriedBelow atomic.Bool
}

// Calls is the table of calls in flight at the own backend server, shared by the ingress and the egress of a node.
type Calls struct {
	mu sync.Mutex
	m  map[string]*entry
}

// NewCalls returns an empty table.
func NewCalls() *Calls { return &Calls{m: make(map[string]*entry)} }

func (t *Calls) add(e *entry) string {
	id := newID()
	t.mu.Lock()
	t.m[id] = e
	t.mu.Unlock()
	return id
}

func (t *Calls) remove(id string) {
	t.mu.Lock()
	delete(t.m, id)
	t.mu.Unlock()
}

// find returns nil for an id that belongs to no call in flight.
func (t *Calls) find(id string) *entry {
	if id == "" {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.m[id]
}

// inherit makes a nested call no more urgent and no longer than the call that it is made for.
func (c *call) inherit(e *entry) {
	c.parent = e
	e.called.Store(true)
	c.rank = max(c.rank, e.rank)
	c.hops = e.hops + 1
	c.retried = c.retried || e.retried
	if e.deadline.Before(c.deadline) {
		c.deadline = e.deadline
	}
}
