package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/idempotency"
)

// HeaderRequestID identifies a request between nodes and is echoed in its answer.
const HeaderRequestID = "Ml-Request-Id"

// maxInformational bounds the 1xx answers before the final one.
const maxInformational = 8

// longAgo unblocks reads and writes in progress when it is set as a deadline.
var longAgo = time.Unix(1, 0)

// Exchange is one request. Its Request must carry a Host and a body of known length.
type Exchange struct {
	Request *http.Request
	// RequestID is compared with the answer's, unless it is empty.
	RequestID string
	// EchoHeader is the header of the answer that repeats RequestID; empty means HeaderRequestID.
	EchoHeader string
	// RequireEcho refuses an answer without a request id: peer nodes always echo it, backend servers may.
	RequireEcho bool
	// AllowUnframed accepts an answer that has neither a length nor chunks and ends with its connection. An answer whose
	// connection is reset is still refused as cut.
	AllowUnframed bool
	// SkipLate discards up to maxLate answers that carry the id of another request and reads on. Without it such an answer
	// ends the exchange.
	SkipLate bool
	// Idempotent work may use a connection that has been idle for longer.
	Idempotent bool
	// Deadline is when the exchange fails; zero means that only the context bounds it.
	Deadline time.Time
	// OnWait, if set, is called in the exchange's goroutine when no answer has begun at Patience. It returns until when
	// to wait next, or zero to give up. After an informational answer, which shows that the connection is alive, the
	// exchange waits until its deadline.
	OnWait   func() time.Time
	Patience time.Time
}

// Do sends the request to addr and reads its answer. Cancelling ctx closes the connection.
func (p *Pool) Do(ctx context.Context, addr string, ex *Exchange) Result {
	if err := ctx.Err(); err != nil {
		return failed(FailCancelled, 0, err)
	}
	now := p.set.Clock.Now()
	if !ex.Deadline.IsZero() && !now.Before(ex.Deadline) {
		return failed(FailDeadline, 0, os.ErrDeadlineExceeded)
	}
	c, res := p.connect(ctx, addr, ex, now)
	if c == nil {
		return res
	}
	c.attach()
	stop := context.AfterFunc(ctx, func() { c.SetDeadline(longAgo) })
	res = c.run(ctx, ex)
	if res.Answer != nil && res.Answer.Rest != nil {
		res.Answer.Rest.(*rest).stop = stop
		return res
	}
	if cancelled := !stop(); cancelled || res.Answer == nil || wantsClose(res.Answer.Header) {
		c.host.drop(c)
		return res
	}
	c.host.put(c, p.set.Clock.Now())
	return res
}

func (p *Pool) connect(ctx context.Context, addr string, ex *Exchange, now time.Time) (*conn, Result) {
	h, max := p.host(addr)
	if c := h.take(ctx, ex, now); c != nil {
		return c, Result{}
	}
	c, err := h.dial(ctx, max)
	if err != nil {
		return nil, failed(connectFailure(ctx, err), 0, err)
	}
	if err := c.begin(ctx, ex); err != nil {
		h.drop(c)
		return nil, failed(FailConnect, 0, err)
	}
	return c, Result{}
}

func connectFailure(ctx context.Context, err error) Failure {
	switch {
	case errors.Is(err, errTooMany):
		return FailConnections
	case ctx.Err() != nil:
		return FailCancelled
	}
	return FailConnect
}

func wantsClose(h http.Header) bool { return h.Get("Connection") == "close" }

// run writes the request and reads the answer.
func (c *conn) run(ctx context.Context, ex *Exchange) Result {
	if ex.Request.ContentLength > bufferSize {
		return c.runLong(ctx, ex)
	}
	if res := c.send(ctx, ex); res.Failure != FailNone {
		return res
	}
	return c.receive(ctx, ex)
}

// runLong writes a request that may not fit into the socket buffer beside reading its answer: a server may answer
// before it has read the body, and would never take the rest. The connection is dropped then, since the server would
// read the rest of the body as the next request.
func (c *conn) runLong(ctx context.Context, ex *Exchange) Result {
	c.writeBounded = true
	if err := c.SetWriteDeadline(c.deadline); err != nil {
		return failed(FailWrite, 0, err)
	}
	written := make(chan Result, 1)
	go func() { written <- c.send(ctx, ex) }()
	res := c.receive(ctx, ex)
	grace := time.NewTimer(writerGrace)
	defer grace.Stop()
	select {
	case sent := <-written:
		if sent.Failure != FailNone && res.Answer == nil {
			return sent
		}
	case <-grace.C:
		c.SetWriteDeadline(longAgo) //nolint:errcheck // fails only on a closed connection, where the write ends too
		<-written
		if res.Answer != nil {
			res.Answer.Header.Set("Connection", "close")
			if r, ok := res.Answer.Rest.(*rest); ok {
				r.close = true
			}
		}
	}
	return res
}

// writerGrace is how long the writer of a long request may take to end after its answer has arrived. A server that has read
// the whole body has answered after the last write, but the writer may still wait for a processor.
const writerGrace = 100 * time.Millisecond

// send writes the request. Its result has no failure if all of it was written.
func (c *conn) send(ctx context.Context, ex *Exchange) Result {
	if err := ex.Request.Write(c.bw); err != nil {
		return failed(c.classify(ctx, err, c.writeFailure(err)), c.sent.Load(), err)
	}
	if err := c.bw.Flush(); err != nil {
		return failed(c.classify(ctx, err, FailWrite), c.sent.Load(), err)
	}
	return Result{}
}

// maxLate bounds the late answers to earlier requests that are skipped before the one to this request.
const maxLate = 4

// receive reads the answer. An answer that carries the id of another request is a late one to an earlier request of the
// connection; it is discarded, and the answer to this request may follow.
func (c *conn) receive(ctx context.Context, ex *Exchange) Result {
	for range maxLate {
		resp, err := c.readHead(ex)
		if err != nil {
			return failed(c.classify(ctx, err, FailMalformed), c.sent.Load(), err)
		}
		switch err := verifyHead(resp, ex); {
		case err == nil:
			return c.readBody(ctx, resp, ex)
		case !errors.Is(err, ErrMismatch):
			return failed(FailCut, c.sent.Load(), err)
		case !ex.SkipLate || resp.Close || resp.Header.Get(ex.echoHeader()) == "":
			return failed(FailMismatch, c.sent.Load(), err)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return failed(c.classify(ctx, err, FailCut), c.sent.Load(), err)
		}
	}
	return failed(FailMismatch, c.sent.Load(), ErrMismatch)
}

func (ex *Exchange) echoHeader() string {
	if ex.EchoHeader != "" {
		return ex.EchoHeader
	}
	return HeaderRequestID
}

// writeFailure tells a request that cannot be encoded from a connection that failed.
func (c *conn) writeFailure(err error) Failure {
	var ne *net.OpError
	if errors.As(err, &ne) {
		return FailWrite
	}
	return FailRequest
}

// readHead reads the head of the final answer.
func (c *conn) readHead(ex *Exchange) (*http.Response, error) {
	if c.early {
		if err := c.await(ex); err != nil {
			return nil, err
		}
	}
	for range maxInformational {
		resp, err := http.ReadResponse(c.br, ex.Request)
		if err != nil || resp.StatusCode >= 200 {
			return resp, err
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			break
		}
	}
	return nil, errors.New("unexpected informational answer")
}

// await returns when the first byte of an answer has arrived.
func (c *conn) await(ex *Exchange) error {
	for {
		_, err := c.br.Peek(1)
		if err == nil {
			c.began = true
			return nil
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || c.ctx.Err() != nil || !time.Now().Before(ex.Deadline) {
			return err
		}
		until := ex.OnWait()
		if until.IsZero() {
			return err
		}
		if err := c.waitUntil(until); err != nil {
			return err
		}
	}
}

// verifyHead checks that the answer belongs to the request and that its end can be recognised.
func verifyHead(resp *http.Response, ex *Exchange) error {
	id := resp.Header.Get(ex.echoHeader())
	if ex.RequestID != "" && id != ex.RequestID && (id != "" || ex.RequireEcho) {
		return ErrMismatch
	}
	chunked := len(resp.TransferEncoding) > 0 && resp.TransferEncoding[0] == "chunked"
	if resp.ContentLength < 0 && !chunked && resp.Body != http.NoBody && !ex.AllowUnframed {
		return ErrNoEnd
	}
	if resp.Close {
		resp.Header.Set("Connection", "close")
	}
	return nil
}

func (c *conn) readBody(ctx context.Context, resp *http.Response, ex *Exchange) Result {
	a := &Answer{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength}
	limit := c.host.pool.set.MaxWhole
	body, whole, err := readUpTo(resp, limit)
	if err != nil {
		return failed(c.classify(ctx, err, FailCut), c.sent.Load(), err)
	}
	a.Body = body
	if !whole {
		a.Rest = &rest{Reader: resp.Body, conn: c, ctx: ctx, close: wantsClose(resp.Header)}
	}
	return Result{Outcome: idempotency.OutcomeAnswered, Answer: a}
}

// readUpTo reads at most limit bytes and reports whether they are the whole body.
func readUpTo(resp *http.Response, limit int) ([]byte, bool, error) {
	if resp.Body == http.NoBody || resp.ContentLength == 0 {
		return nil, true, nil
	}
	if n := resp.ContentLength; n > 0 && n <= int64(limit) {
		body := make([]byte, n)
		_, err := io.ReadFull(resp.Body, body)
		return body, true, err
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, int64(limit)+1))
	return body, len(body) <= limit, err
}

// classify finds the cause of an I/O error: the context, the deadline, the end of the stream, or other.
func (c *conn) classify(ctx context.Context, err error, other Failure) Failure {
	var ne *net.OpError
	switch {
	case ctx.Err() != nil:
		return FailCancelled
	case errors.Is(err, os.ErrDeadlineExceeded):
		return FailDeadline
	case errors.Is(err, syscall.ETIMEDOUT):
		return FailSilent
	case other == FailWrite || other == FailRequest:
		return other
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &ne):
		return FailCut
	}
	return other
}

// rest streams the part of an answer beyond Settings.MaxWhole. It returns io.EOF only at the verified end.
type rest struct {
	io.Reader
	conn  *conn
	ctx   context.Context
	stop  func() bool
	close bool
	ended bool
}

func (r *rest) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.ended = r.ended || err == io.EOF
	return n, err
}

// Close keeps the connection if the answer was read to its end, and drops it otherwise.
func (r *rest) Close() error {
	if r.conn == nil {
		return nil
	}
	c := r.conn
	r.conn = nil
	if cancelled := !r.stop(); cancelled || !r.ended || r.close {
		c.host.drop(c)
		return nil
	}
	c.host.put(c, c.host.pool.set.Clock.Now())
	return nil
}
