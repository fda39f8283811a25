package proxy

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"
)

// BodyBudget limits the memory that the request bodies of all calls in a node take together. Bodies are read into
// memory completely, so that a slow caller occupies no slot and a call can be retried at another instance.
type BodyBudget struct {
	limit int64
	used  atomic.Int64
}

// NewBodyBudget returns a budget of limit bytes.
func NewBodyBudget(limit int64) *BodyBudget { return &BodyBudget{limit: limit} }

// errBodyMemory is returned when a body does not fit into the budget beside the bodies of other calls.
var errBodyMemory = errors.New("memory budget for request bodies is exhausted")

// reserve reserves n bytes, or reports false if the budget is exhausted. A nil budget is unlimited.
func (b *BodyBudget) reserve(n int64) bool {
	if b == nil {
		return true
	}
	if b.used.Add(n) > b.limit {
		b.used.Add(-n)
		return false
	}
	return true
}

// fits reports whether n bytes could be reserved now.
func (b *BodyBudget) fits(n int64) bool { return b == nil || n == 0 || b.used.Load()+n <= b.limit }

func (b *BodyBudget) release(n int64) {
	if b != nil {
		b.used.Add(-n)
	}
}

// minBufferBytes is the initial buffer size in bytes for a body of unknown length; the buffer doubles when it is full.
const minBufferBytes = 16 << 10

// readBody reads a request body of at most limit bytes; it returns errTooLarge for a longer one. The bytes are reserved
// in the budget; the caller must release as many bytes as the body is long.
func readBody(r *http.Request, limit int64, budget *BodyBudget) ([]byte, error) {
	switch {
	case r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0:
		return nil, nil
	case r.ContentLength > limit:
		return nil, errTooLarge
	case r.ContentLength > 0:
		if !budget.reserve(r.ContentLength) {
			return nil, errBodyMemory
		}
		body := make([]byte, r.ContentLength)
		if _, err := io.ReadFull(r.Body, body); err != nil {
			budget.release(r.ContentLength)
			return nil, err
		}
		return body, nil
	}
	return readUnknownLength(r.Body, limit, budget)
}

// readUnknownLength reads a body of unknown length. While it reads, it reserves the size of the buffer in the budget.
func readUnknownLength(r io.Reader, limit int64, budget *BodyBudget) ([]byte, error) {
	var body []byte
	taken := int64(0)
	fail := func(err error) ([]byte, error) {
		budget.release(taken)
		return nil, err
	}
	for {
		if len(body) == cap(body) {
			grow := max(minBufferBytes, int64(cap(body)))
			if !budget.reserve(grow) {
				return fail(errBodyMemory)
			}
			taken += grow
			body = append(make([]byte, 0, int64(cap(body))+grow), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > limit:
			return fail(errTooLarge)
		case err == io.EOF:
			budget.release(taken - int64(len(body)))
			return body, nil
		case err != nil:
			return fail(err)
		}
	}
}
