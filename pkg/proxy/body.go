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

// memoryBody is a request body held in memory.
type memoryBody struct{ bytes.Reader }

func newBody(p []byte) io.ReadCloser {
	b := &memoryBody{}
	b.Reset(p)
	return b
}

func (*memoryBody) Close() error { return nil }

// closeNotifier calls onClose once when the unread part of a response body is closed. The argument reports whether the
// body was read to its end.
type closeNotifier struct {
	io.ReadCloser
	onClose    func(reachedEOF bool)
	once       sync.Once
	reachedEOF bool
}

func (c *closeNotifier) Read(p []byte) (int, error) {
	n, err := c.ReadCloser.Read(p)
	c.reachedEOF = c.reachedEOF || err == io.EOF
	return n, err
}

func (c *closeNotifier) Close() error {
	err := c.ReadCloser.Close()
	c.once.Do(func() { c.onClose(c.reachedEOF) })
	return err
}

// storedResult converts the reply for an idempotency record. If the response body is cut off or longer than
// maxStoredBodyBytes, the outcome is unknown.
func (rep *reply) storedResult() idempotency.Result {
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

// readRest reads the remaining body into memory. It fails if more than maxStoredBodyBytes bytes remain.
func (rep *reply) readRest() error {
	if rep.rest == nil {
		return nil
	}
	defer rep.rest.Close()
	more, err := io.ReadAll(io.LimitReader(rep.rest, maxStoredBodyBytes+1))
	if err != nil {
		return err
	}
	if len(more) > maxStoredBodyBytes {
		return errors.New("response body is too long to be stored in an idempotency record")
	}
	rep.body, rep.rest = append(rep.body, more...), nil
	rep.length = int64(len(rep.body))
	return nil
}

// replyFromResult converts the result of a keyed request to a reply. It does not modify the stored response.
func replyFromResult(res idempotency.Result) *reply {
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
