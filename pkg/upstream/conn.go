package upstream

import (
	"bufio"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// bufferSize is the size of read and write buffers. Most requests and answers fit, so that each takes one system call.
const bufferSize = 4 << 10

var (
	readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, bufferSize) }}
	writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, bufferSize) }}
)

// conn is one connection. Its buffers are attached only while an exchange uses it, so that idle connections stay small.
type conn struct {
	net.Conn
	host       *host
	raw        syscall.RawConn
	peek       func(fd uintptr) bool
	quiet      bool
	answeredAt time.Time
	sent       int64
	br         *bufio.Reader
	bw         *bufio.Writer
}

func newConn(nc net.Conn, h *host) *conn {
	c := &conn{Conn: nc, host: h}
	if sc, ok := nc.(syscall.Conn); ok {
		c.raw, _ = sc.SyscallConn()
	}
	c.peek = c.tryRead
	return c
}

// Write counts the bytes that the kernel took.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent += int64(n)
	return n, err
}

// attach gives the connection buffers for one exchange.
func (c *conn) attach() {
	c.sent = 0
	c.br = readers.Get().(*bufio.Reader)
	c.br.Reset(c.Conn)
	c.bw = writers.Get().(*bufio.Writer)
	c.bw.Reset(c)
}

// detach returns the buffers.
func (c *conn) detach() {
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
// The read may consume a byte, since a connection with an unexpected byte is dropped anyway.
func (c *conn) usable() bool {
	if c.raw == nil {
		return true
	}
	c.quiet = false
	return c.raw.Read(c.peek) == nil && c.quiet
}

// tryRead runs on the non-blocking descriptor.
func (c *conn) tryRead(fd uintptr) bool {
	var b [1]byte
	_, err := syscall.Read(int(fd), b[:])
	c.quiet = err == syscall.EAGAIN
	return true
}
