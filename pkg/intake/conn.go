package intake

import (
	"bytes"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"
)

// Phases of a connection.
const (
	// phaseHead lasts from the accept, or from the end of a request, until the next request is complete enough for its
	// handler. Only in this phase may a connection be evicted.
	phaseHead = iota
	// phaseServing lasts while the handler works.
	phaseServing
	// phaseEvicted means that no further request of the connection runs.
	phaseEvicted
)

const (
	// refusalWriteTimeout bounds the write of a refusal to a client that may not read.
	refusalWriteTimeout = 10 * time.Millisecond
	// lingerTime and lingerBytes bound what is read after a refusal, since unread bytes make the kernel reset the
	// connection before the client reads the refusal.
	lingerTime  = 100 * time.Millisecond
	lingerBytes = 64 << 10
)

// Conn is a bounded connection.
type Conn struct {
	net.Conn
	class  *Class
	framed bool
	phase  atomic.Int32
	// charge is the part of Budget.reading that this connection holds.
	charge atomic.Int64
	// since is the tick at which the connection began to wait, or the first byte of its head arrived.
	since atomic.Int64
	// started states that a byte of the next head has arrived, served that an earlier request was complete.
	started, served atomic.Bool
	lastRead        atomic.Int64
	// writing is the tick at which the pending write began; 0 if there is none.
	writing atomic.Int64
	removed atomic.Bool
	// calls is the number of calls in progress on a connection that carries frames.
	calls atomic.Int32
	// bodySince is the tick at which a handler began to read a body that is not complete; 0 if there is none. bodyBytes is
	// what has been read of it.
	bodySince, bodyBytes atomic.Int64
	// headBytes and headLines count what was read for the current head. Only the reading goroutine uses them.
	headBytes, headLines int64
}

func (cl *Class) newConn(nc net.Conn, framed bool) *Conn {
	c := &Conn{Conn: nc, class: cl, framed: framed}
	c.setReceiveBuffer(receiveBuffer)
	c.since.Store(cl.budget.now.Load())
	cl.count.Add(1)
	b := cl.budget
	b.mu.Lock()
	b.conns[c] = struct{}{}
	b.mu.Unlock()
	return c
}

func (c *Conn) setReceiveBuffer(size int) {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(size) // Fails only if the connection is closed.
	}
}

// evictedError makes net/http close the connection without an answer.
var evictedError = &net.OpError{Op: "read", Net: "tcp", Err: net.ErrClosed}

// Read implements net.Conn. It counts what is read for a request head.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.lastRead.Store(c.class.budget.now.Load())
	if n > 0 && !c.framed && c.phase.Load() != phaseServing && !c.countHead(p[:n]) {
		return 0, evictedError
	}
	return n, err
}

// countHead charges the bytes of an unfinished head. It returns false if the connection is closed.
func (c *Conn) countHead(p []byte) bool {
	if c.phase.Load() == phaseEvicted {
		return false
	}
	b := c.class.budget
	if !c.started.Load() {
		c.since.Store(b.now.Load())
		c.started.Store(true)
	}
	c.headBytes += int64(len(p))
	c.headLines += int64(bytes.Count(p, []byte{'\n'}))
	if c.headBytes > b.headerBytes.Load()+c.class.extraHead+readAhead {
		c.refuseHead(headTooLarge, "431 Request Header Fields Too Large")
		return false
	}
	cost := headCost(c.headBytes, c.headLines) - c.charge.Load()
	return cost <= 0 || b.reserve(c, cost)
}

// headCost returns the charge of a head, which is zero for ordinary heads.
func headCost(size, fields int64) int64 {
	if size <= freeBytes && fields <= freeFields {
		return 0
	}
	return size*byteCost + fields*fieldCost
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	written := 0
	for {
		c.writing.Store(c.class.budget.now.Load())
		n, err := c.Conn.Write(p[written:min(len(p), written+maxWrite)])
		c.writing.Store(0)
		written += n
		if err != nil || written >= len(p) {
			return written, err
		}
	}
}

// CloseWrite implements the interface by which net/http ends its answer before it closes a connection.
func (c *Conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// SyscallConn implements syscall.Conn, so that the state of the connection can be asked for through the wrapper.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, syscall.EINVAL
	}
	return sc.SyscallConn()
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.remove()
	return c.Conn.Close()
}

// remove returns what the connection holds. Its count ends here, since the descriptor is closed at once.
func (c *Conn) remove() {
	b := c.class.budget
	b.reading.Add(-c.charge.Swap(0))
	if c.removed.Swap(true) {
		return
	}
	c.class.count.Add(-1)
	b.mu.Lock()
	delete(b.conns, c)
	b.mu.Unlock()
}

// evict closes the connection unless a handler works on a request of it. No request of it runs afterwards.
func (c *Conn) evict(k kind) bool {
	if !c.phase.CompareAndSwap(phaseHead, phaseEvicted) {
		return false
	}
	c.class.budget.refuse(k)
	_ = c.Close() // The client is not told anything that could fail.
	return true
}

// refuseHead answers an unfinished head with a status and closes the connection.
func (c *Conn) refuseHead(k kind, status string) {
	if !c.phase.CompareAndSwap(phaseHead, phaseEvicted) {
		return
	}
	c.class.budget.refuse(k)
	c.class.budget.reading.Add(-c.charge.Swap(0))
	// The errors of this answer don't matter, since the connection is closed in any case.
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalWriteTimeout))
	_, _ = io.WriteString(c.Conn, "HTTP/1.1 "+status+"\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
	_ = c.CloseWrite()
	if k == headTooLarge {
		_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime))
		_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
	}
	_ = c.Close()
}

// cut closes the connection in any phase.
func (c *Conn) cut(k kind) {
	if c.removed.Load() {
		return
	}
	c.phase.CompareAndSwap(phaseHead, phaseEvicted)
	c.class.budget.refuse(k)
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // Drops what the client has not read.
	}
	_ = c.Close() // The client is not told anything that could fail.
}

// unread returns the number of bytes in the receive buffer.
func (c *Conn) unread() int64 {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	var n int32
	_ = raw.Control(func(fd uintptr) { // Fails only if the connection is closed.
		_, _, _ = syscall.Syscall(syscall.SYS_IOCTL, fd, syscall.TIOCINQ, uintptr(unsafe.Pointer(&n)))
	})
	return int64(n)
}

// Reserve charges the bytes of an unfinished frame. It returns false if the connection is closed.
func (c *Conn) Reserve(n int) bool {
	return c.phase.Load() == phaseHead && c.class.budget.reserve(c, int64(n))
}

// BeginCall returns the charge of a frame that has been decoded. Until EndCall the connection is not closed in favour of
// others.
func (c *Conn) BeginCall() {
	c.calls.Add(1)
	c.served.Store(true)
	c.since.Store(c.class.budget.now.Load())
	c.class.budget.reading.Add(-c.charge.Swap(0))
}

// EndCall must be called when the response to the call is to be written.
func (c *Conn) EndCall() { c.calls.Add(-1) }
