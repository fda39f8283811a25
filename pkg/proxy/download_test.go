package proxy

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/monsoonlatch/monsoonlatch/internal/standin/backend"
)

// Guards against a receiver that takes a download slowly and holds a slot of the backend server for it, over one hop and
// over two, although the response fits into the memory for reading ahead.
func TestSlowDownloadReleasesItsSlotEarly(t *testing.T) {
	// Larger than what the kernel buffers between the nodes, and a deadline that the test does not reach.
	const size = 48 << 20
	m := newMesh(t, "desk", "office")
	egress := m.nodes[0].eg
	egress.ReadAhead, egress.ReadAheadBytes = NewBodyBudget(4*size), 2*size
	for i, n := range m.nodes {
		c, err := net.Dial("tcp", n.callers.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		start := time.Now()
		fmt.Fprintf(c, "GET /lookups HTTP/1.1\r\nHost: x\r\n%s: %d\r\n\r\n", backend.HeaderBytes, size)
		waitUntil(func() bool { return m.runs() == i+1 })
		waitUntil(func() bool { return len(m.nodes[0].gate.slots) == 0 || time.Since(start) > 8*time.Second })
		if took := time.Since(start); took > 8*time.Second {
			t.Errorf("via node %d: the slot was held until the deadline", i)
		}
		c.Close()
	}
	waitUntil(func() bool { return egress.ReadAhead.used.Load() == 0 })
}

// streamingServer is a backend server whose responses are as long as the query says, without holding them in memory.
func streamingServer(t *testing.T, n *node) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var size int
		_, _ = fmt.Sscan(r.URL.RawQuery, &size)
		w.Header().Set("Content-Length", fmt.Sprint(size))
		block := bytes.Repeat([]byte("x"), 64<<10)
		for ; size > 0; size -= len(block) {
			_, _ = w.Write(block[:min(size, len(block))])
		}
	}))
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	n.mu.Lock()
	defer n.mu.Unlock()
	n.addr = s.Listener.Addr().String()
}

// maxDownloadMemory is the memory that a node may spend beside its data; docs/design.md, 1.6.
const maxDownloadMemory = 32 << 20

// Guards against downloads that a node keeps whole: several at a time, each larger than the bound, must pass two nodes within
// it, whether their receivers are fast or slow.
func TestDownloadsTakeBoundedMemory(t *testing.T) {
	const size, downloads = 96 << 20, 4
	m := newMesh(t, "desk", "office")
	streamingServer(t, m.nodes[0])
	m.nodes[0].eg.ReadAhead = NewBodyBudget(8 << 20)
	var before, now runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var wg sync.WaitGroup
	for i := range downloads {
		wg.Go(func() {
			resp, err := m.nodes[1].callers.Client().Get(fmt.Sprintf("%s/lookups?%d", m.nodes[1].callers.URL, size))
			if err != nil {
				t.Error(err)
				return
			}
			defer resp.Body.Close()
			if i%2 == 0 {
				_, _ = io.CopyN(io.Discard, resp.Body, 1<<20)
				time.Sleep(300 * time.Millisecond)
			}
			rest, err := io.Copy(io.Discard, resp.Body)
			if got := rest + int64(1-i%2)<<20; got != size || err != nil {
				t.Errorf("got %d bytes of %d, error %v", got, size, err)
			}
		})
	}
	done := make(chan struct{})
	go func() { wg.Wait(); close(done) }()
	for peak := uint64(0); ; {
		select {
		case <-done:
			if peak > maxDownloadMemory {
				t.Errorf("%d downloads of %d bytes took up to %d bytes of memory, more than %d", downloads, size, peak, maxDownloadMemory)
			}
			t.Logf("peak %.1f MB", float64(peak)/1e6)
			waitUntil(func() bool { return m.nodes[0].eg.ReadAhead.used.Load() == 0 })
			return
		case <-time.After(5 * time.Millisecond):
			runtime.GC()
			if runtime.ReadMemStats(&now); now.HeapAlloc > before.HeapAlloc {
				peak = max(peak, now.HeapAlloc-before.HeapAlloc)
			}
		}
	}
}

// randomSource returns its data in pieces of random size and then its error.
type randomSource struct {
	data   []byte
	err    error
	random *rand.Rand
	once   sync.Once
	closed chan struct{}
}

func (s *randomSource) Read(p []byte) (int, error) {
	if len(s.data) == 0 {
		return 0, s.err
	}
	n := copy(p[:min(len(p), 1+s.random.IntN(3*readAheadChunk))], s.data)
	s.data = s.data[n:]
	return n, nil
}

func (s *randomSource) Close() error {
	s.once.Do(func() { close(s.closed) })
	return nil
}

// Guards against bytes that are lost, repeated or changed by reading ahead, against an incomplete body that looks complete,
// and against memory or a source that is not released, whenever the receiver stops.
func TestReadAhead(t *testing.T) {
	random := rand.New(rand.NewPCG(4, 20261206))
	errCut := errors.New("cut")
	for i := range 300 {
		data := make([]byte, random.IntN(12*readAheadChunk))
		for j := range data {
			data[j] = byte(random.Uint32())
		}
		source := &randomSource{data: data, err: io.EOF, random: rand.New(rand.NewPCG(5, uint64(i))), closed: make(chan struct{})}
		if random.IntN(2) == 0 {
			source.err = errCut
		}
		length := int64(len(data))
		if random.IntN(2) == 0 {
			length = -1
		}
		want := len(data)
		if random.IntN(3) == 0 {
			want = random.IntN(len(data) + 1) // The receiver stops early.
		}
		budget := NewBodyBudget([]int64{10 * readAheadChunk, 0}[random.IntN(2)])
		ctx, cancel := context.WithCancel(t.Context())
		body := newReadAhead(source, length, 8*readAheadChunk, budget, cancel)
		got := make([]byte, want)
		if _, err := io.ReadFull(body, got); err != nil || !bytes.Equal(got, data[:want]) {
			t.Fatalf("case %d: error %v, equal bytes %v", i, err, bytes.Equal(got, data[:want]))
		}
		if want == len(data) {
			if n, err := body.Read(make([]byte, 1)); n != 0 || err != source.err {
				t.Fatalf("case %d: %d bytes and error %v at the end, want %v", i, n, err, source.err)
			}
		}
		body.Close()
		body.Close()
		<-ctx.Done()
		<-source.closed
		waitUntil(func() bool { return budget.used.Load() == 0 })
	}
}
