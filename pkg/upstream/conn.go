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

	"github.com/monsoonlatch/monsoonlatch/pkg/network"
)

// bufferSize is the size of the read and write buffers. Most requests and responses fit, so that each takes one system
// call.
const bufferSize = 4 << 10

var (
	readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, bufferSize) }}
	writerPool = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, bufferSize) }}
)

// conn is one connection. Buffers are attached only while an exchange uses it, so that idle connections need little
// memory.
type conn struct {
	net.Conn
	host           *host
	raw            syscall.RawConn
	probe          func(fd uintptr) bool
	wouldBlock     bool
	lastResponseAt time.Time
	// bytesSent counts the bytes of the request that the kernel accepted. It is atomic because a long request is written
	// concurrently with reading the response.
	bytesSent atomic.Int64
	// incomplete is set when the kernel has refused a part of the request; nothing is written after that.
	incomplete atomic.Bool
	// writeErr is the error with which a write of the request has failed. net/http hides it if the body is being written.
	writeErr error

	// ctx and deadline are those of the current exchange. Each change of a deadline costs a change of a runtime timer.
	// Therefore, if earlyReadDeadline is set, reads keep the deadline Exchange.ResponseCheckAt until a response has begun
	// and more of it must be awaited, and writes get a deadline only when they can block.
	ctx               context.Context
	deadline          time.Time
	earlyReadDeadline bool
	responseBegan     bool
	writeDeadlineSet  bool
	// readBudget is the number of bytes that may still be read while limitReads is set.
	readBudget int64
	limitReads bool

	br *bufio.Reader
	bw *bufio.Writer
}

func newConn(nc net.Conn, h *host) *conn {
	c := &conn{Conn: network.DetectReset(nc), host: h}
	if sc, ok := nc.(syscall.Conn); ok {
		c.raw, _ = sc.SyscallConn()
	}
	c.probe = c.probeRead
	return c
}

// Write counts the bytes that the kernel accepts. It sets no write deadline for the first buffer of a request: that one
// fits into the empty socket buffer, so the write does not block.
func (c *conn) Write(p []byte) (int, error) {
	if (c.bytesSent.Load() > 0 || len(p) > bufferSize) && !c.writeDeadlineSet {
		c.writeDeadlineSet = true
		if err := c.SetWriteDeadline(c.deadline); err != nil {
			c.writeErr = err
			c.incomplete.Store(true)
			return 0, err
		}
	}
	n, err := c.Conn.Write(p)
	c.bytesSent.Add(int64(n))
	c.writeErr = err
	if err != nil && n < len(p) {
		c.incomplete.Store(true)
	}
	return n, err
}

// Read extends an early read deadline to that of the exchange once a response has begun.
func (c *conn) Read(p []byte) (int, error) {
	if c.earlyReadDeadline && c.responseBegan {
		c.earlyReadDeadline = false
		if err := c.extendReadDeadline(c.deadline); err != nil {
			return 0, err
		}
	}
	if !c.limitReads {
		return c.Conn.Read(p)
	}
	if c.readBudget <= 0 {
		return 0, errReadBudget
	}
	n, err := c.Conn.Read(p[:min(int64(len(p)), c.readBudget)])
	c.readBudget -= int64(n)
	return n, err
}

// limitBytes limits the bytes that are read until unlimitBytes is called.
func (c *conn) limitBytes(n int64) { c.limitReads, c.readBudget = true, n }

func (c *conn) unlimitBytes() { c.limitReads = false }

// startExchange prepares the connection for an exchange and sets its first read deadline.
func (c *conn) startExchange(ctx context.Context, ex *Exchange) error {
	c.ctx, c.deadline, c.responseBegan = ctx, ex.Deadline, false
	if c.earlyReadDeadline = ex.OnNoResponse != nil; c.earlyReadDeadline {
		return c.Conn.SetReadDeadline(ex.ResponseCheckAt)
	}
	return c.Conn.SetReadDeadline(ex.Deadline)
}

// clearWriteDeadline clears the write deadline of the last exchange.
func (c *conn) clearWriteDeadline() {
	if c.writeDeadlineSet {
		c.writeDeadlineSet = false
		_ = c.SetWriteDeadline(time.Time{})
	}
}

// extendReadDeadline sets the read deadline. Cancelling the context also sets a deadline, which this call may
// overwrite, so it returns the context's error.
func (c *conn) extendReadDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.ctx.Err()
}

// attachBuffers takes buffers from the pools for one exchange.
func (c *conn) attachBuffers() {
	c.bytesSent.Store(0)
	c.incomplete.Store(false)
	c.writeErr = nil
	c.br = readerPool.Get().(*bufio.Reader)
	c.br.Reset(c)
	c.bw = writerPool.Get().(*bufio.Writer)
	c.bw.Reset(c)
}

// detachBuffers ends the exchange and returns the buffers to the pools.
func (c *conn) detachBuffers() {
	c.ctx = nil
	c.unlimitBytes()
	c.clearWriteDeadline()
	if c.br == nil {
		return
	}
	c.br.Reset(nil)
	readerPool.Put(c.br)
	c.bw.Reset(io.Discard)
	writerPool.Put(c.bw)
	c.br, c.bw = nil, nil
}

// usable reports whether the peer has neither closed the idle connection nor sent anything on it. It does not block.
// Its read may consume a byte; that is harmless, since a connection with unexpected data is closed anyway.
func (c *conn) usable() bool {
	if c.raw == nil {
		return true
	}
	c.wouldBlock = false
	return c.raw.Read(c.probe) == nil && c.wouldBlock
}

// probeRead reads from the non-blocking descriptor and records whether the read would block.
func (c *conn) probeRead(fd uintptr) bool {
	var b [1]byte
	_, err := syscall.Read(int(fd), b[:])
	c.wouldBlock = err == syscall.EAGAIN
	return true
}
