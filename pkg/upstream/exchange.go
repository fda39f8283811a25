package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/idempotency"
	"github.com/monsoonlatch/monsoonlatch/pkg/strict"
)

// HeaderRequestID is the header that identifies a request between nodes; the response repeats it.
const HeaderRequestID = "Ml-Request-Id"

// minStatus and maxStatus are the range of statuses in HTTP (RFC 9110, section 15). http.ReadResponse accepts any three digits.
const (
	minStatus = 100
	maxStatus = 599
)

// pastDeadline, set as a deadline, makes blocked reads and writes return.
var pastDeadline = time.Unix(1, 0)

// Exchange is one request and the rules for its response. Request must have a Host and a body of known length.
type Exchange struct {
	Request *http.Request
	// RequestID is compared with the ID in the response, unless it is empty.
	RequestID string
	// EchoHeader is the response header that repeats RequestID; empty means HeaderRequestID.
	EchoHeader string
	// RequireEcho rejects a response without a request ID. Peer nodes always repeat the ID; backend servers may omit it.
	RequireEcho bool
	// AllowUnframed accepts a response with neither Content-Length nor chunked encoding, which ends when the connection
	// is closed. A response whose connection is reset is still rejected as truncated.
	AllowUnframed bool
	// SkipLateResponses discards responses that carry the ID of another request and continues with the next one; at most
	// maxResponses responses are read. Without it, such a response ends the exchange.
	SkipLateResponses bool
	// Idempotent requests may use any pooled connection, others only one with a response within
	// Settings.MaxNonIdempotentIdle.
	Idempotent bool
	// StartsWhenComplete states that the server acts on a request only once it has read all of it, as other nodes do. If the
	// connection fails before the kernel has accepted the last byte, the request has then not run.
	StartsWhenComplete bool
	// Dedicated makes the exchange use a new connection, which is closed afterwards. It is for requests without an ID: on a
	// connection that others use, a second copy of a response without an ID could be taken for the response to any of them.
	Dedicated bool
	// Deadline is when the exchange fails; zero means that only the context bounds it.
	Deadline time.Time
	// OnNoResponse, if set, is called in the exchange's goroutine if no response has begun by ResponseCheckAt. It returns
	// the time of the next call, or zero to give up. After an informational response, which shows that the connection is
	// alive, the exchange waits until its deadline.
	OnNoResponse    func() time.Time
	ResponseCheckAt time.Time
	// BeforeSend, if set, is called once a connection is ready, before the first byte of the request is sent. If it returns
	// an error, the request is not sent. Opening a connection may have taken seconds.
	BeforeSend func() error
}

// Do sends the request to addr and reads the response. Cancelling ctx closes the connection.
func (p *Pool) Do(ctx context.Context, addr string, ex *Exchange) Result {
	if err := ctx.Err(); err != nil {
		return failedResult(FailCancelled, err)
	}
	now := p.settings.Clock.Now()
	if !ex.Deadline.IsZero() && !now.Before(ex.Deadline) {
		return failedResult(FailDeadline, os.ErrDeadlineExceeded)
	}
	c, res := p.acquire(ctx, addr, ex, now)
	if c == nil {
		return res
	}
	if ex.BeforeSend != nil {
		if err := ex.BeforeSend(); err != nil {
			c.host.discard(c)
			return failedResult(FailWithheld, err)
		}
	}
	c.attachBuffers()
	stopCancel := context.AfterFunc(ctx, func() { c.SetDeadline(pastDeadline) })
	res = c.roundTrip(ctx, ex)
	if res.Response != nil && res.Response.Remainder != nil {
		stream := res.Response.Remainder.(*bodyStream)
		stream.stopCancel = stopCancel
		stream.closeConn = stream.closeConn || ex.Dedicated
		return res
	}
	if cancelled := !stopCancel(); cancelled || res.Response == nil || ex.Dedicated || wantsClose(res.Response.Header) {
		c.host.discard(c)
		return res
	}
	c.host.release(c, p.settings.Clock.Now())
	return res
}

// acquire returns a connection that is ready for the exchange, from the pool or newly opened. If there is none, it
// returns nil and the result of the exchange.
func (p *Pool) acquire(ctx context.Context, addr string, ex *Exchange, now time.Time) (*conn, Result) {
	h, max := p.host(addr)
	if !ex.Dedicated {
		if c := h.takeIdle(ctx, ex, now); c != nil {
			return c, Result{}
		}
	}
	c, err := h.dial(ctx, max)
	if err != nil {
		return nil, failedResult(classifyDialError(ctx, err), err)
	}
	if err := c.startExchange(ctx, ex); err != nil {
		h.discard(c)
		return nil, failedResult(FailConnect, err)
	}
	return c, Result{}
}

func classifyDialError(ctx context.Context, err error) Failure {
	switch {
	case errors.Is(err, errConnectionLimit):
		return FailConnections
	case ctx.Err() != nil:
		return FailCancelled
	}
	return FailConnect
}

func wantsClose(h http.Header) bool { return h.Get("Connection") == "close" }

// roundTrip writes the request and reads the response.
func (c *conn) roundTrip(ctx context.Context, ex *Exchange) Result {
	if ex.Request.ContentLength > bufferSize {
		return c.roundTripLong(ctx, ex)
	}
	if res := c.send(ctx, ex); res.Failure != FailNone {
		return c.receiveEarly(ctx, ex, res)
	}
	return c.receive(ctx, ex)
}

// receiveEarly returns the response that the server has sent before it ended the connection, so that the rest of the request
// could not be written. If there is none, it returns sent, the result of the write.
func (c *conn) receiveEarly(ctx context.Context, ex *Exchange, sent Result) Result {
	ended := errors.Is(c.writeErr, syscall.EPIPE) || errors.Is(c.writeErr, syscall.ECONNRESET)
	if sent.Failure != FailWrite || !ended || c.bytesSent.Load() == 0 {
		return sent
	}
	// On an ended connection, reads do not block.
	res := c.receive(ctx, ex)
	if res.Response == nil {
		return sent
	}
	res.Response.closeConnection()
	return res
}

// roundTripLong writes a request that may not fit into the socket buffer concurrently with reading the response: a
// server may respond before it has read the whole body and then never read the rest. The connection is used again only if
// the whole request was written.
func (c *conn) roundTripLong(ctx context.Context, ex *Exchange) Result {
	c.writeDeadlineSet = true
	if err := c.SetWriteDeadline(c.deadline); err != nil {
		return failedResult(FailWrite, err)
	}
	written := make(chan Result, 1)
	go func() {
		sent := c.send(ctx, ex)
		written <- sent
		if sent.Failure == FailRequest {
			c.Close() // Ends the read: the server waits for the rest of the request and sends no response.
		}
	}()
	res := c.receive(ctx, ex)
	if res.Response == nil {
		return c.stopWriter(ex, res, written)
	}
	if !c.awaitWriter(written) {
		// The server would read the next request as the rest of the body.
		res.Response.closeConnection()
	}
	return res
}

// awaitWriter waits for the writer of a request whose response has been read, and stops it after writerGrace. It reports
// whether the whole request was written.
func (c *conn) awaitWriter(written <-chan Result) bool {
	grace := time.NewTimer(writerGrace)
	defer grace.Stop()
	select {
	case sent := <-written:
		return sent.Failure == FailNone
	case <-grace.C:
		c.SetWriteDeadline(pastDeadline) //nolint:errcheck // fails only on a closed connection, where the write ends too
		return (<-written).Failure == FailNone
	}
}

// stopWriter ends the writer of a request whose response could not be read, and returns the result of the exchange.
// Whether the request was sent is known only when the writer has ended: bytes that belong to no response may arrive
// before the first byte of the request is written. A failure of the writer itself takes precedence.
func (c *conn) stopWriter(ex *Exchange, res Result, written <-chan Result) Result {
	select {
	case sent := <-written:
		if sent.Failure != FailNone {
			return sent
		}
	default:
		c.SetWriteDeadline(pastDeadline) //nolint:errcheck // fails only on a closed connection, where the write ends too
		<-written
	}
	res.Outcome = c.outcomeOfFailure(ex)
	return res
}

// writerGrace is how long the writer of a long request may take to end after the response has arrived. A server that
// has read the whole body responds after the last write, but the writer goroutine may not have been scheduled yet.
const writerGrace = 100 * time.Millisecond

// send writes the request. The Failure of its result is FailNone if the whole request was written.
func (c *conn) send(ctx context.Context, ex *Exchange) Result {
	err := ex.Request.Write(c.bw)
	if err == nil {
		err = c.bw.Flush()
	}
	switch {
	case err == nil:
		return Result{}
	case c.writeErr != nil:
		return c.failedResult(ex, c.classifyError(ctx, c.writeErr, FailWrite), c.writeErr)
	}
	return c.failedResult(ex, c.classifyError(ctx, err, FailRequest), err)
}

const (
	// maxHeadBytes limits the head of a response together with the interim ones before it. A faulty server may send a head
	// that never ends.
	maxHeadBytes = 256 << 10
	// maxDiscardedBytes limits the body of a response to another request that is read to get to the next response.
	maxDiscardedBytes = 1 << 20
)

// maxResponses is the maximum number of responses read while looking for the one to this request.
const maxResponses = 4

// receive reads the response. A response with the ID of another request is taken for a late duplicate to an earlier
// request on the connection: with Exchange.SkipLateResponses it is discarded, since the response to this request may
// follow.
func (c *conn) receive(ctx context.Context, ex *Exchange) Result {
	for range maxResponses {
		resp, err := c.readHead(ex)
		if err != nil {
			return c.failedResult(ex, c.classifyError(ctx, err, FailMalformed), err)
		}
		switch err := verifyHead(resp, ex); {
		case err == nil:
			return c.readBody(ctx, resp, ex)
		case !errors.Is(err, ErrRequestIDMismatch):
			return c.failedResult(ex, FailCut, err)
		case !ex.SkipLateResponses || resp.Close || resp.Header.Get(ex.echoHeader()) == "":
			return c.failedResult(ex, FailMismatch, err)
		}
		c.limitBytes(maxDiscardedBytes)
		if _, err := io.Copy(io.Discard, resp.Body); errors.Is(err, errReadBudget) {
			return c.failedResult(ex, FailMismatch, err)
		} else if err != nil {
			return c.failedResult(ex, c.classifyError(ctx, err, FailCut), err)
		}
	}
	return c.failedResult(ex, FailMismatch, ErrRequestIDMismatch)
}

func (ex *Exchange) echoHeader() string {
	if ex.EchoHeader != "" {
		return ex.EchoHeader
	}
	return HeaderRequestID
}

// readHead reads the status line and header of the final response.
func (c *conn) readHead(ex *Exchange) (*http.Response, error) {
	if c.earlyReadDeadline {
		if err := c.awaitResponse(ex); err != nil {
			return nil, err
		}
	}
	c.limitBytes(maxHeadBytes)
	defer c.unlimitBytes()
	for range strict.MaxInformational {
		resp, err := http.ReadResponse(c.br, ex.Request)
		switch {
		case err != nil:
			return nil, err
		case resp.StatusCode < minStatus || resp.StatusCode > maxStatus:
			return nil, fmt.Errorf("%w: %d", errStatus, resp.StatusCode)
		}
		if err := strict.CheckResponse(resp); err != nil {
			return nil, err
		}
		switch {
		case resp.StatusCode >= http.StatusOK:
			return resp, nil
		case resp.StatusCode == http.StatusSwitchingProtocols:
			return nil, errInformational
		}
	}
	return nil, errInformational
}

// awaitResponse returns when the first byte of a response has arrived.
func (c *conn) awaitResponse(ex *Exchange) error {
	for {
		_, err := c.br.Peek(1)
		if err == nil {
			c.responseBegan = true
			return nil
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || c.ctx.Err() != nil || !time.Now().Before(ex.Deadline) {
			return err
		}
		until := ex.OnNoResponse()
		if until.IsZero() {
			return err
		}
		if err := c.extendReadDeadline(until); err != nil {
			return err
		}
	}
}

// verifyHead checks that the response belongs to the request and that its end can be detected.
func verifyHead(resp *http.Response, ex *Exchange) error {
	id := resp.Header.Get(ex.echoHeader())
	if ex.RequestID != "" && id != ex.RequestID && (id != "" || ex.RequireEcho) {
		return ErrRequestIDMismatch
	}
	chunked := len(resp.TransferEncoding) > 0 && resp.TransferEncoding[0] == "chunked"
	if resp.ContentLength < 0 && !chunked && resp.Body != http.NoBody && !ex.AllowUnframed {
		return ErrUnframed
	}
	if resp.Close {
		resp.Header.Set("Connection", "close")
	}
	return nil
}

func (c *conn) readBody(ctx context.Context, resp *http.Response, ex *Exchange) Result {
	a := &Response{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength}
	limit := c.host.pool.settings.MaxBufferedBody
	body, complete, err := readBounded(resp, limit)
	if err != nil {
		return c.failedResult(ex, c.classifyError(ctx, err, FailCut), err)
	}
	a.Body = body
	if !complete {
		a.Remainder = &bodyStream{Reader: resp.Body, conn: c, ctx: ctx, closeConn: wantsClose(resp.Header)}
	}
	return Result{Outcome: idempotency.OutcomeAnswered, Response: a}
}

// readBounded reads a body of at most limit bytes and reports whether it is complete. Of a longer one it may return the
// first limit+1 bytes.
func readBounded(resp *http.Response, limit int) ([]byte, bool, error) {
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

// classifyError returns the failure for an I/O error; fallback is used if no more specific one applies.
func (c *conn) classifyError(ctx context.Context, err error, fallback Failure) Failure {
	var ne *net.OpError
	switch {
	case ctx.Err() != nil:
		return FailCancelled
	case errors.Is(err, os.ErrDeadlineExceeded):
		return FailDeadline
	case errors.Is(err, syscall.ETIMEDOUT):
		return FailSilent
	case errors.Is(err, strict.ErrMalformed):
		return FailMalformed
	case fallback == FailWrite || fallback == FailRequest:
		return fallback
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &ne):
		return FailCut
	}
	return fallback
}

// bodyStream streams the part of a response body beyond Settings.MaxBufferedBody. It returns io.EOF only at the
// verified end.
type bodyStream struct {
	io.Reader
	conn       *conn
	ctx        context.Context
	stopCancel func() bool
	closeConn  bool
	ended      bool
}

func (r *bodyStream) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.ended = r.ended || err == io.EOF
	return n, err
}

// Close returns the connection to the pool if the response was read to its end, and closes it otherwise.
func (r *bodyStream) Close() error {
	if r.conn == nil {
		return nil
	}
	c := r.conn
	r.conn = nil
	if cancelled := !r.stopCancel(); cancelled || !r.ended || r.closeConn {
		c.host.discard(c)
		return nil
	}
	c.host.release(c, c.host.pool.settings.Clock.Now())
	return nil
}
