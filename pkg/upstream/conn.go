package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// bufferSize is the size of the read and write buffers. Most requests and responses fit, so that each takes one system
// call.
const bufferSize = 4 << 10

var (
	readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, bufferSize) }}
	writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, bufferSize) }}
)

// conn is one connection. Buffers are attached only while an exchange uses it, so that idle connections need little
// memory.
type conn struct {
	net.Conn
	host       *host
	raw        syscall.RawConn
	peek       func(fd uintptr) bool
	quiet      bool
	answeredAt time.Time
	// sent counts the bytes of the request that the kernel accepted. It is atomic because a long request is written
	// concurrently with reading the response.
	sent atomic.Int64

	// ctx and deadline are those of the current exchange. Each change of a deadline costs a change of a runtime timer.
	// Therefore, if early is set, reads keep the deadline Exchange.Patience until a response has begun and more of it
	// must be awaited, and writes get a deadline only when they can block.
	ctx          context.Context
	deadline     time.Time
	early        bool
	began        bool
	writeBounded bool

	br *bufio.Reader
	bw *bufio.Writer
}

func newConn(nc net.Conn, h *host) *conn {
	c := &conn{Conn: nc, host: h}
	if sc, ok := nc.(syscall.Conn); ok {
		c.raw, _ = sc.SyscallConn()
	}
	c.peek = c.tryRead
	return c
}

// Write counts the bytes that the kernel accepts. It sets no write deadline for the first buffer of a request: that one
// fits into the empty socket buffer, so the write does not block.
func (c *conn) Write(p []byte) (int, error) {
	if (c.sent.Load() > 0 || len(p) > bufferSize) && !c.writeBounded {
		c.writeBounded = true
		if err := c.SetWriteDeadline(c.deadline); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Write(p)
	c.sent.Add(int64(n))
	return n, err
}

// Read extends an early read deadline to that of the exchange once a response has begun.
func (c *conn) Read(p []byte) (int, error) {
	if c.early && c.began {
		c.early = false
		if err := c.waitUntil(c.deadline); err != nil {
			return 0, err
		}
	}
	return c.Conn.Read(p)
}

// begin prepares the connection for an exchange and sets its first read deadline.
func (c *conn) begin(ctx context.Context, ex *Exchange) error {
	c.ctx, c.deadline, c.began = ctx, ex.Deadline, false
	if c.early = ex.OnWait != nil; c.early {
		return c.Conn.SetReadDeadline(ex.Patience)
	}
	return c.Conn.SetReadDeadline(ex.Deadline)
}

// unboundWrites clears the write deadline of the last exchange.
func (c *conn) unboundWrites() {
	if c.writeBounded {
		c.writeBounded = false
		_ = c.SetWriteDeadline(time.Time{})
	}
}

// waitUntil sets the read deadline. Cancelling the context also sets a deadline, which this call may overwrite, so it
// returns the context's error.
func (c *conn) waitUntil(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.ctx.Err()
}

// attach takes buffers from the pools for one exchange.
func (c *conn) attach() {
	c.sent.Store(0)
	c.br = readers.Get().(*bufio.Reader)
	c.br.Reset(c)
	c.bw = writers.Get().(*bufio.Writer)
	c.bw.Reset(c)
}

// detach ends the exchange and returns the buffers to the pools.
func (c *conn) detach() {
	c.ctx = nil
	c.unboundWrites()
	if c.br == nil {
		return
	}
	c.br.Reset(nil)
	readers.Put(c.br)
	c.bw.Reset(io.Discard)
	writers.Put(c.bw)
	c.br, c.bw = nil, nil
}

// usable reports whether the peer has neither closed the idle connection nor sent anything on it. It does not block.
// Its read may consume a byte; that is harmless, since a connection with unexpected data is closed anyway.
func (c *conn) usable() bool {
	if c.raw == nil {
		return true
	}
	c.quiet = false
	return c.raw.Read(c.peek) == nil && c.quiet
}

// tryRead reads from the non-blocking descriptor and records whether the read would block.
func (c *conn) tryRead(fd uintptr) bool {
	var b [1]byte
	_, err := syscall.Read(int(fd), b[:])
	c.quiet = err == syscall.EAGAIN
	return true
}
