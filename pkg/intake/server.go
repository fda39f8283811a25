package intake

import (
	"context"
	"io"
	"net"
	"net/http"

	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
)

// Refuser answers a request that is not run.
type Refuser func(w http.ResponseWriter, r *http.Request, reason metric.Refusal)

// refusePlainly is the default Refuser.
func refusePlainly(w http.ResponseWriter, _ *http.Request, reason metric.Refusal) {
	w.Header().Set("Connection", "close")
	status := http.StatusRequestHeaderFieldsTooLarge
	if reason != metric.RefusedHeadTooLarge {
		status = http.StatusServiceUnavailable
		w.Header().Set("Retry-After", "1")
	}
	http.Error(w, string(reason), status)
}

type connKey struct{}

// Protect sets up a server whose listener is that of Class.Listener. It must be called last, since it wraps the handler
// and the hooks of the server. A nil refuse answers in plain text. A nil class changes nothing.
func (cl *Class) Protect(s *http.Server, refuse Refuser) {
	if cl == nil {
		return
	}
	if refuse == nil {
		refuse = refusePlainly
	}
	limitBodies := s.ReadTimeout == 0
	next, connState, connContext := s.Handler, s.ConnState, s.ConnContext
	s.ConnState = func(nc net.Conn, state http.ConnState) {
		if c, ok := nc.(*Conn); ok {
			c.setState(state)
		}
		if connState != nil {
			connState(nc, state)
		}
	}
	s.ConnContext = func(ctx context.Context, nc net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, nc)
		}
		return context.WithValue(ctx, connKey{}, nc)
	}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*Conn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		c.serve(w, r, next, refuse, limitBodies)
	})
}

// setState follows the states of net/http, which calls it from the goroutine that reads heads. StateActive comes when a
// head is complete or has failed, StateIdle when the answer is written.
func (c *Conn) setState(state http.ConnState) {
	b := c.class.budget
	switch state {
	case http.StateActive:
		c.phase.CompareAndSwap(phaseHead, phaseServing)
		if c.charge.Load() != 0 {
			b.reading.Add(-c.charge.Swap(0))
		}
	case http.StateIdle:
		c.headBytes, c.headLines = 0, 0
		c.started.Store(false)
		c.since.Store(b.now.Load())
		c.phase.CompareAndSwap(phaseServing, phaseHead)
	}
}

// serve runs the handler unless the connection was evicted or the head finds no room beside other large ones.
func (c *Conn) serve(w http.ResponseWriter, r *http.Request, next http.Handler, refuse Refuser, limitBody bool) {
	b := c.class.budget
	if c.phase.Load() != phaseServing {
		panic(http.ErrAbortHandler)
	}
	c.served.Store(true)
	size, fields := c.requestSize(r)
	if size > b.headerBytes.Load()+c.class.extraHead {
		b.refuse(headTooLarge)
		refuse(w, r, metric.RefusedHeadTooLarge)
		return
	}
	if cost := headCost(size, fields); cost > 0 {
		defer b.serving.Add(-cost)
		if b.serving.Add(cost) > b.settings.Memory/headDivisor {
			b.refuse(headMemory)
			refuse(w, r, metric.RefusedHeadMemory)
			return
		}
	}
	if (r.ContentLength < 0 || r.ContentLength > receiveBuffer) && r.Body != http.NoBody {
		defer c.enlargeReceiveBuffer()()
	}
	if limitBody && r.Body != http.NoBody {
		r = c.trackBody(r)
		defer c.bodySince.Store(0)
	}
	next.ServeHTTP(w, r)
}

// trackedBody is a request body whose progress is checked periodically.
type trackedBody struct {
	io.ReadCloser
	c *Conn
}

func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.c.bodyBytes.Add(int64(n))
	if err != nil {
		b.c.bodySince.Store(0)
	}
	return n, err
}

// trackBody returns a copy of the request with a tracked body. The original keeps its body, whose type net/http checks.
func (c *Conn) trackBody(r *http.Request) *http.Request {
	tracked := *r
	tracked.Body = &trackedBody{r.Body, c}
	c.bodyBytes.Store(0)
	c.bodySince.Store(c.class.budget.now.Load())
	return &tracked
}

// bodyLate reports whether the body of the request in progress is not complete though its time has passed.
func (c *Conn) bodyLate(now int64) bool {
	since := c.bodySince.Load()
	return since > 0 && now-since > ticks(bodyTimeout)+c.bodyBytes.Load()/bodyRate
}

// requestSize returns the bytes and the fields of a parsed head, without white space that was not kept. It returns zeros
// for short heads; they are not counted, since the read-ahead of net/http holds no more than freeBytes of a head that was
// not counted when it was read.
func (c *Conn) requestSize(r *http.Request) (size, fields int64) {
	if c.headBytes <= freeBytes && len(r.Header) <= freeFields {
		return 0, 0
	}
	size = int64(len(r.Method) + len(r.RequestURI) + len(r.Host))
	for name, values := range r.Header {
		fields += int64(len(values))
		for _, v := range values {
			size += int64(len(name) + len(v) + len(":\n"))
		}
	}
	return size, fields
}

// enlargeReceiveBuffer enlarges the receive buffer for a long body if enough memory is left, until the returned function
// is called.
func (c *Conn) enlargeReceiveBuffer() (restore func()) {
	b := c.class.budget
	if b.longBodies.Add(longBodyCost) > b.settings.Memory/longBodyDivisor {
		return func() { b.longBodies.Add(-longBodyCost) }
	}
	c.setReceiveBuffer(longBodyBuffer)
	return func() {
		c.setReceiveBuffer(receiveBuffer)
		b.longBodies.Add(-longBodyCost)
	}
}
