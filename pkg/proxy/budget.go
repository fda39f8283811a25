package proxy

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"
)

// BodyBudget bounds the memory that request bodies take in a node, for all calls together. Bodies are held whole, so that
// a slow caller takes no slot and a call can go to another instance.
type BodyBudget struct {
	limit int64
	used  atomic.Int64
}

// NewBodyBudget returns a budget of limit bytes.
func NewBodyBudget(limit int64) *BodyBudget { return &BodyBudget{limit: limit} }

// errNoMemory is returned when the bodies of other calls take the memory.
var errNoMemory = errors.New("request bodies take all the memory that they may")

// take reserves n bytes. A nil budget has no bound.
func (b *BodyBudget) take(n int64) bool {
	if b == nil {
		return true
	}
	if b.used.Add(n) > b.limit {
		b.used.Add(-n)
		return false
	}
	return true
}

func (b *BodyBudget) give(n int64) {
	if b != nil {
		b.used.Add(-n)
	}
}

// readStep is by how much the buffer of a body of unknown length grows at first.
const readStep = 16 << 10

// readBody reads a request body of at most most bytes; errTooLarge marks a longer one. The bytes are taken from the
// budget; the caller gives len of the body back.
func readBody(r *http.Request, most int64, budget *BodyBudget) ([]byte, error) {
	switch {
	case r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0:
		return nil, nil
	case r.ContentLength > most:
		return nil, errTooLarge
	case r.ContentLength > 0:
		if !budget.take(r.ContentLength) {
			return nil, errNoMemory
		}
		body := make([]byte, r.ContentLength)
		if _, err := io.ReadFull(r.Body, body); err != nil {
			budget.give(r.ContentLength)
			return nil, err
		}
		return body, nil
	}
	return readChunks(r.Body, most, budget)
}

// readChunks reads a body of unknown length. What it takes from the budget is the size of the buffer.
func readChunks(r io.Reader, most int64, budget *BodyBudget) ([]byte, error) {
	var body []byte
	taken := int64(0)
	fail := func(err error) ([]byte, error) {
		budget.give(taken)
		return nil, err
	}
	for {
		if len(body) == cap(body) {
			grow := max(readStep, int64(cap(body)))
			if !budget.take(grow) {
				return fail(errNoMemory)
			}
			taken += grow
			body = append(make([]byte, 0, int64(cap(body))+grow), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > most:
			return fail(errTooLarge)
		case err == io.EOF:
			budget.give(taken - int64(len(body)))
			return body, nil
		case err != nil:
			return fail(err)
		}
	}
}
