package network

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// expired, set as a deadline, makes a blocked write return.
var expired = time.Unix(1, 0)

// resetConn is a connection on which a reset is not mistaken for the end of the stream; see DetectReset.
type resetConn struct {
	net.Conn
	// mu is held during writes.
	mu sync.Mutex
	// failure is the error of the first write that shows that the connection has failed.
	failure error
}

// DetectReset returns a connection that reads and writes on nc. If nc fails while it is written to, its reads return an error,
// not io.EOF. On a TCP connection the kernel reports a failure, such as a reset, to only one system call. If that is a write,
// a later read finds the end of the stream, and a message that ends with its connection looks complete. There may be one
// writer at a time. A read that finds the end of the stream ends a pending write.
func DetectReset(nc net.Conn) net.Conn { return &resetConn{Conn: nc} }

// Write implements io.Writer.
func (c *resetConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil && c.failure == nil && connectionFailed(err) {
		c.failure = err
	}
	return n, err
}

// Read implements io.Reader.
func (c *resetConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF {
		err = c.endOfStream()
	}
	return n, err
}

// endOfStream returns io.EOF, or an error if a write has got the report of a failure. A pending write may have got it
// without having returned yet.
func (c *resetConn) endOfStream() error {
	if !c.mu.TryLock() {
		if err := c.SetWriteDeadline(expired); err != nil {
			return err
		}
		c.mu.Lock()
	}
	defer c.mu.Unlock()
	if c.failure != nil {
		return fmt.Errorf("the connection failed before the end of the stream: %w", c.failure)
	}
	return io.EOF
}

// connectionFailed reports whether the error of a write shows that the connection failed before the peer closed it. Linux
// reports EPIPE instead if the connection is reset after the peer has closed its side.
func connectionFailed(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && errno != syscall.EPIPE
}
