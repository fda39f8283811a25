package proxy

import (
	"context"
	"io"
	"slices"
	"sync"
)

// readAheadChunk is the size of the buffers of a readAhead. A body with a known length is read ahead by one chunk more than
// its length, so that its end is seen too.
const readAheadChunk = 32 << 10

// DefaultReadAhead is how much of one response is read ahead if EgressSettings sets no limit. Most downloads are shorter.
const DefaultReadAhead = 1 << 20

// readAhead reads a response body from the backend server into memory before the receiver takes it, up to a limit. The
// source is closed as soon as it has ended, so that a slow receiver of a response within the limit does not hold a slot of
// the backend server. One goroutine reads from the source; when the limit is reached it waits for the receiver.
type readAhead struct {
	source io.ReadCloser
	// interrupt ends a pending Read of the source.
	interrupt context.CancelFunc
	limit     int
	// release returns the reserved memory. It is called when both the reading goroutine and the receiver are done.
	release func()

	mu      sync.Mutex
	changed sync.Cond
	// chunks holds the chunks that have not been taken, and spare those that can be filled again; together at most limit.
	chunks []*chunk
	spare  []*chunk
	err    error
	closed bool
	users  int
}

// chunk is a buffer that is filled up to written and read up to taken.
type chunk struct {
	data           [readAheadChunk]byte
	taken, written int
}

// newReadAhead returns a body that reads ahead. It takes over the source, whose unread part is length bytes long, or of
// unknown length if that is negative. If the budget has too little room, it returns the source itself.
func newReadAhead(source io.ReadCloser, length, limit int64, budget *BodyBudget, interrupt context.CancelFunc) io.ReadCloser {
	reserved := limit
	if length >= 0 {
		reserved = min(limit, length+2*readAheadChunk)
	}
	reserved = max(reserved, 2*readAheadChunk)
	if !budget.reserve(reserved) {
		return &closeNotifier{ReadCloser: source, onClose: func(bool) { interrupt() }}
	}
	a := &readAhead{source: source, interrupt: interrupt, limit: int(reserved / readAheadChunk), release: func() { budget.release(reserved) }, users: 2}
	a.changed.L = &a.mu
	go a.fill()
	return a
}

// fill reads from the source until its end, or until the receiver is done.
func (a *readAhead) fill() {
	for {
		c := a.nextChunk()
		if c == nil {
			break
		}
		n, err := a.source.Read(c.data[c.written:]) // Only this goroutine uses the part from written on.
		a.mu.Lock()
		c.written += n
		a.err = err
		a.changed.Broadcast()
		a.mu.Unlock()
		if err != nil {
			break
		}
	}
	a.source.Close()
	a.interrupt()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leave()
}

// nextChunk returns a chunk with room. It waits while the limit is reached, and returns nil if the receiver is done.
func (a *readAhead) nextChunk() *chunk {
	a.mu.Lock()
	defer a.mu.Unlock()
	for {
		if a.closed {
			return nil
		}
		if n := len(a.chunks); n > 0 && a.chunks[n-1].written < readAheadChunk {
			return a.chunks[n-1]
		}
		if len(a.chunks) < a.limit {
			var c *chunk
			if n := len(a.spare); n > 0 {
				c, a.spare = a.spare[n-1], a.spare[:n-1]
			} else {
				c = &chunk{}
			}
			a.chunks = append(a.chunks, c)
			return c
		}
		a.changed.Wait()
	}
}

// Read implements io.Reader. It returns the error of the source after all bytes before it.
func (a *readAhead) Read(p []byte) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for {
		if a.closed {
			return 0, io.ErrClosedPipe
		}
		if len(a.chunks) > 0 {
			c := a.chunks[0]
			if c.taken < c.written {
				n := copy(p, c.data[c.taken:c.written])
				c.taken += n
				if c.taken == readAheadChunk {
					c.taken, c.written, a.spare = 0, 0, append(a.spare, c)
					a.chunks = slices.Delete(a.chunks, 0, 1)
					a.changed.Broadcast()
				}
				return n, nil
			}
		}
		if a.err != nil {
			return 0, a.err
		}
		a.changed.Wait()
	}
}

// Close discards what has not been read and ends the reading from the source.
func (a *readAhead) Close() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return nil
	}
	a.closed, a.chunks, a.spare = true, nil, nil
	a.changed.Broadcast()
	a.interrupt()
	a.leave()
	return nil
}

// leave ends the use by the reading goroutine or by the receiver. The caller holds mu.
func (a *readAhead) leave() {
	if a.users--; a.users == 0 {
		a.release()
	}
}
