package proxy

import (
	"bytes"
	"errors"
	"io"
	"sync"

	"github.com/monsoonlatch/monsoonlatch/pkg/idempotency"
	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
)

var errTooLarge = errors.New("request body exceeds the configured maximum size")

// body is a request body held in memory.
type body struct{ bytes.Reader }

func newBody(p []byte) io.ReadCloser {
	b := &body{}
	b.Reset(p)
	return b
}

func (*body) Close() error { return nil }

// closer calls after once when the unread part of a response body is closed. The argument reports whether the body was
// read to its end.
type closer struct {
	io.ReadCloser
	after func(ended bool)
	once  sync.Once
	ended bool
}

func (c *closer) Read(p []byte) (int, error) {
	n, err := c.ReadCloser.Read(p)
	c.ended = c.ended || err == io.EOF
	return n, err
}

func (c *closer) Close() error {
	err := c.ReadCloser.Close()
	c.once.Do(func() { c.after(c.ended) })
	return err
}

// result converts the reply for an idempotency record. If the response body is cut off or longer than maxKept, the
// outcome is unknown.
func (rep *reply) result() idempotency.Result {
	res := idempotency.Result{Outcome: rep.outcome, Reason: rep.reason, RetryAfter: rep.retryAfter}
	if rep.outcome != idempotency.OutcomeAnswered {
		return res
	}
	if err := rep.readRest(); err != nil {
		return idempotency.Result{Outcome: idempotency.OutcomeUnknown, Reason: metric.RefusedAnswerBroken}
	}
	res.Answer = &idempotency.Answer{Status: rep.status, Header: rep.header, Body: rep.body}
	return res
}

// readRest reads the remaining body into memory. It fails if more than maxKept bytes remain.
func (rep *reply) readRest() error {
	if rep.rest == nil {
		return nil
	}
	defer rep.rest.Close()
	more, err := io.ReadAll(io.LimitReader(rep.rest, maxKept+1))
	if err != nil {
		return err
	}
	if len(more) > maxKept {
		return errors.New("response body is too long to be stored in an idempotency record")
	}
	rep.body, rep.rest = append(rep.body, more...), nil
	rep.length = int64(len(rep.body))
	return nil
}

// fromResult converts the result of a keyed request to a reply. It does not modify the stored response.
func fromResult(res idempotency.Result) *reply {
	rep := &reply{outcome: res.Outcome, reason: res.Reason, retryAfter: res.RetryAfter, replayed: res.Replayed}
	switch {
	case res.Outcome == idempotency.OutcomeAnswered && res.Answer != nil:
		rep.reason = ""
		rep.status, rep.header, rep.body = res.Answer.Status, res.Answer.Header, res.Answer.Body
		rep.length = int64(len(rep.body))
	case res.Outcome != idempotency.OutcomeNotRun:
		rep.outcome = idempotency.OutcomeUnknown
		if rep.reason == "" {
			rep.reason = metric.RefusedOutcomeUnknown
		}
	case rep.reason == "":
		rep.reason = metric.RefusedNotReady
	}
	return rep
}
