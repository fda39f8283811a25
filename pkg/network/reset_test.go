package network

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"
)

// connect returns both ends of a TCP connection whose buffers are small, so that long writes block.
func connect(t *testing.T) (client, server *net.TCPConn) {
	ln, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	client, err = net.DialTCP("tcp", nil, ln.Addr().(*net.TCPAddr))
	if err != nil {
		t.Fatal(err)
	}
	if server, err = ln.AcceptTCP(); err != nil {
		t.Fatal(err)
	}
	for _, c := range []*net.TCPConn{client, server} {
		_, _ = c.SetReadBuffer(16<<10), c.SetWriteBuffer(16<<10) // The tests fail if the buffers hold a whole message.
		t.Cleanup(func() { c.Close() })
	}
	return client, server
}

// Guards against a reset that looks like the end of the stream to a reader, since the kernel has reported it to the writer, and
// against an end that looks like a reset, since the connection was reset after it.
func TestResetThatAWriteHasSeenIsNoEndOfTheStream(t *testing.T) {
	for name, c := range map[string]struct {
		end   func(*net.TCPConn)
		whole bool
	}{
		"reset":              {func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() }, false},
		"closed, not read":   {func(c *net.TCPConn) { _ = c.Close() }, false},
		"closed, then reset": {func(c *net.TCPConn) { _ = c.CloseWrite(); _ = c.SetLinger(0); _ = c.Close() }, true},
	} {
		t.Run(name, func(t *testing.T) {
			client, server := connect(t)
			conn := DetectReset(client)
			written := make(chan error, 1)
			go func() {
				_, err := conn.Write(make([]byte, 1<<20))
				written <- err
			}()
			if _, err := server.Read(make([]byte, 1)); err != nil {
				t.Fatal(err)
			}
			if _, err := io.WriteString(server, "part"); err != nil {
				t.Fatal(err)
			}
			if _, err := io.ReadFull(conn, make([]byte, 2)); err != nil {
				t.Fatal(err)
			}
			c.end(server)
			if err := <-written; err == nil {
				t.Fatal("the write did not fail")
			}
			rest, err := io.ReadAll(conn)
			if string(rest) != "rt" || (err == nil) != c.whole {
				t.Errorf("read %q and error %v, want whole %v", rest, err, c.whole)
			}
		})
	}
}

// Guards against a read that waits for a write which blocks for good, when the peer has closed its side and reads no more.
func TestEndOfTheStreamDoesNotWaitForABlockedWrite(t *testing.T) {
	client, server := connect(t)
	conn := DetectReset(client)
	go conn.Write(make([]byte, 1<<20)) //nolint:errcheck // ends with the connection
	if _, err := server.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	if err := server.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { _, err := conn.Read(make([]byte, 1)); ended <- err }()
	select {
	case err := <-ended:
		if err != io.EOF {
			t.Errorf("got error %v, want the end of the stream", err)
		}
	case <-time.After(10 * time.Second):
		t.Error("the read does not end")
	}
}

// lateReport is a connection at its end whose pending write gets a report, but returns only once it is interrupted.
type lateReport struct {
	net.Conn
	report                error
	writing, interrupting chan struct{}
}

func (c *lateReport) Write([]byte) (int, error) {
	close(c.writing)
	<-c.interrupting
	return 0, c.report
}

func (c *lateReport) Read([]byte) (int, error)         { return 0, io.EOF }
func (c *lateReport) SetWriteDeadline(time.Time) error { close(c.interrupting); return nil }

// Guards against a reset whose report the pending write has got, but not returned when the reader finds the end of the stream.
func TestPendingWriteMayHaveSeenTheReset(t *testing.T) {
	for _, c := range []struct {
		report error
		whole  bool
	}{
		{syscall.ECONNRESET, false}, {syscall.ETIMEDOUT, false}, {syscall.EHOSTUNREACH, false},
		{syscall.EPIPE, true}, {net.ErrClosed, true}, {errors.New("deadline"), true}, {nil, true},
	} {
		inner := &lateReport{report: &net.OpError{Op: "write", Err: c.report}, writing: make(chan struct{}), interrupting: make(chan struct{})}
		if c.report == nil {
			inner.report = nil
		}
		conn := DetectReset(inner)
		go conn.Write([]byte("request")) //nolint:errcheck // its error is that of the report
		<-inner.writing
		if _, err := conn.Read(make([]byte, 1)); (err == io.EOF) != c.whole {
			t.Errorf("report %v: got %v, want whole %v", c.report, err, c.whole)
		}
		if _, err := conn.Read(make([]byte, 1)); (err == io.EOF) != c.whole {
			t.Errorf("report %v, read again: got %v, want whole %v", c.report, err, c.whole)
		}
	}
}
