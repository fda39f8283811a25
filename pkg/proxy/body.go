package proxy

import (
	"bytes"
	"errors"
	"io"
	"sync"

	"github.com/monsoonlatch/monsoonlatch/pkg/idempotency"
	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
)

var errTooLarge = errors.New("the request body is larger than the configuration allows")

// body is a request body in memory.
type body struct{ bytes.Reader }

func newBody(p []byte) io.ReadCloser {
	b := &body{}
	b.Reset(p)
	return b
}

func (*body) Close() error { return nil }

// closer calls after once when the rest of an answer is closed, and tells it whether the end was read.
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

// result turns the reply into the form that a record keeps. An answer too long to be kept counts as unknown.
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

// readRest completes the body of an answer of at most maxKept bytes.
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
		return errors.New("the answer is too long to be kept")
	}
	rep.body, rep.rest = append(rep.body, more...), nil
	rep.length = int64(len(rep.body))
	return nil
}

// fromResult turns the result of a keyed request into a reply. The stored answer is not changed.
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
