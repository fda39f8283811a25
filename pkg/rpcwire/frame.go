package rpcwire

import (
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"errors"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/fault"
)

const (
	// DefaultMaxFrame is the default limit on the size of a frame, in bytes. It fits the gob encoding of the largest
	// configuration that the platform stores, 1 MB of JSON.
	DefaultMaxFrame = 4 << 20
	// DefaultWriteTimeout limits one write. net/rpc serialises the writes of a connection, so a write to a peer that
	// has stopped reading would block all other calls on the connection.
	DefaultWriteTimeout = 2 * time.Second

	frameHeaderSize = 4
	// maxRetainedBuffer is the largest buffer in bytes that a connection keeps between frames. Otherwise each
	// connection that once carried a full configuration would keep memory for it.
	maxRetainedBuffer = 16 << 10
)

var errBroken = errors.New("connection closed after an earlier error")

// frameConn sends and receives gob values in length-prefixed frames. The gob streams continue across frames, so that
// type descriptions are sent once per connection. Only one goroutine may read and one may write at a time.
type frameConn struct {
	conn         net.Conn
	maxFrame     int
	writeTimeout time.Duration
	readTimeout  time.Duration

	// callDeadline ends the next write if that is earlier than writeTimeout; zero means no such limit.
	callDeadline time.Time

	out    bytes.Buffer
	enc    *gob.Encoder
	in     bytes.Reader
	buf    []byte
	dec    *gob.Decoder
	broken atomic.Bool
	// lastFrameSize is the size in bytes of the last frame read, including its header.
	lastFrameSize int
	counters      byteCounters
	// lastRead is the time when the last frame arrived, in Unix nanoseconds.
	lastRead atomic.Int64
}

func newFrameConn(conn net.Conn, maxFrame int, writeTimeout, readTimeout time.Duration, counters byteCounters) *frameConn {
	f := &frameConn{conn: conn, maxFrame: maxFrame, writeTimeout: writeTimeout, readTimeout: readTimeout, counters: counters}
	f.enc = gob.NewEncoder(&f.out)
	f.dec = gob.NewDecoder(&f.in)
	f.lastRead.Store(time.Now().UnixNano())
	return f
}

// write sends values in one frame, which is counted for the method. After an error the gob streams of both ends may
// differ, so the connection is closed.
func (f *frameConn) write(method string, values ...any) (err error) {
	if f.broken.Load() {
		return errBroken
	}
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("encode: panic: %v", r)
		}
		if err != nil {
			f.close()
		}
	}()
	f.out.Reset()
	f.out.Write(make([]byte, frameHeaderSize))
	for _, v := range values {
		if err := f.enc.Encode(v); err != nil {
			return fmt.Errorf("encode: %w", err)
		}
	}
	return f.flush(method)
}

func (f *frameConn) flush(method string) error {
	size := f.out.Len() - frameHeaderSize
	if size > f.maxFrame {
		return fault.New(fault.Limited, "send frame", fmt.Sprintf("frame of %d bytes exceeds the limit of %d", size, f.maxFrame),
			"make the message smaller or raise the limit at both ends")
	}
	binary.BigEndian.PutUint32(f.out.Bytes(), uint32(size))
	deadline := time.Now().Add(f.writeTimeout)
	if !f.callDeadline.IsZero() && f.callDeadline.Before(deadline) {
		deadline = f.callDeadline
	}
	if err := f.conn.SetWriteDeadline(deadline); err != nil {
		return err
	}
	n, err := f.conn.Write(f.out.Bytes())
	f.counters.forMethod(method).out.Inc(int64(n))
	if f.out.Cap() > maxRetainedBuffer {
		// The encoder holds a pointer to f.out, so the buffer is replaced in place.
		f.out = bytes.Buffer{}
	}
	return err
}

// readFrame reads a whole frame. It checks the size before it allocates memory or decodes anything.
func (f *frameConn) readFrame() error {
	if f.broken.Load() {
		return errBroken
	}
	if f.in.Len() > 0 {
		return f.fail(fmt.Errorf("the previous frame has %d undecoded bytes", f.in.Len()))
	}
	if f.readTimeout > 0 {
		if err := f.conn.SetReadDeadline(time.Now().Add(f.readTimeout)); err != nil {
			return f.fail(err)
		}
	}
	var header [frameHeaderSize]byte
	if _, err := io.ReadFull(f.conn, header[:]); err != nil {
		return f.fail(err)
	}
	size := int(binary.BigEndian.Uint32(header[:]))
	if size > f.maxFrame {
		return f.fail(fault.New(fault.Limited, "receive frame", fmt.Sprintf("frame of %d bytes exceeds the limit of %d", size, f.maxFrame),
			"check that the peer is a node of this mesh"))
	}
	if err := f.readBody(size); err != nil {
		return f.fail(err)
	}
	f.in.Reset(f.buf)
	f.lastFrameSize = frameHeaderSize + size
	f.lastRead.Store(time.Now().UnixNano())
	return nil
}

// readBody reads the rest of a frame of size bytes into f.buf. The buffer grows as the bytes arrive, and is charged to the
// budget of the process before: otherwise a peer that announces long frames takes memory without sending them.
func (f *frameConn) readBody(size int) error {
	if cap(f.buf) > maxRetainedBuffer {
		f.buf = nil
	}
	if f.buf == nil {
		f.buf = make([]byte, 0, min(size, maxRetainedBuffer))
	}
	f.buf = f.buf[:0]
	budget, limited := f.conn.(frameBudget)
	for len(f.buf) < size {
		if len(f.buf) == cap(f.buf) {
			grown := min(size, max(2*cap(f.buf), maxRetainedBuffer))
			if limited && grown > maxRetainedBuffer && !budget.Reserve(grown-len(f.buf)) {
				return errFrameMemory
			}
			if grown > cap(f.buf) {
				f.buf = append(make([]byte, 0, grown), f.buf...)
			}
		}
		end := min(size, cap(f.buf))
		n, err := io.ReadFull(f.conn, f.buf[len(f.buf):end])
		f.buf = f.buf[:len(f.buf)+n]
		if err != nil {
			return err
		}
	}
	return nil
}

// frameBudget is implemented by connections whose frames are charged to a budget, such as intake.Conn.
type frameBudget interface {
	Reserve(n int) bool
	BeginCall()
	EndCall()
}

var errFrameMemory = errors.New("no memory is left for unfinished frames")

// beginCall returns the charge of a request that has been decoded.
func (f *frameConn) beginCall() {
	if budget, ok := f.conn.(frameBudget); ok {
		budget.BeginCall()
	}
}

func (f *frameConn) endCall() {
	if budget, ok := f.conn.(frameBudget); ok {
		budget.EndCall()
	}
}

// decode decodes the next value of the current frame into v; a nil v skips the value. A malformed value or a panic in
// the decoder closes the connection, because the rest of the stream cannot be trusted.
func (f *frameConn) decode(v any) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("panic: %v", r)
		}
		if err != nil {
			err = f.fail(fmt.Errorf("decode: %w", err))
		}
	}()
	if f.broken.Load() {
		return errBroken
	}
	return f.dec.Decode(v)
}

func (f *frameConn) fail(err error) error {
	f.close()
	return err
}

func (f *frameConn) close() error {
	if f.broken.Swap(true) {
		return nil
	}
	return f.conn.Close()
}
