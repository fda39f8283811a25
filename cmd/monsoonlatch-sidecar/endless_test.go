package main

import (
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// writeEndlessly takes over the connection of a request and writes a start and then the same bytes until the node closes it. It
// allocates nothing in the loop, since the test measures the heap of the process.
func writeEndlessly(w http.ResponseWriter, start, repeated string, closed *atomic.Int64) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	block := []byte(strings.Repeat(repeated, 1+(64<<10)/len(repeated)))
	for data := append([]byte(start), block...); ; data = block {
		if _, err := conn.Write(data); err != nil {
			closed.Add(1)
			return
		}
	}
}

// Guards against a node that keeps all bytes that a faulty backend server sends without end, in a head, a trailer or a body,
// runs out of memory and ends with the requests of other clients; and against a connection that such bytes hold for good.
func TestEndlessBytesOfABackendServerStayBounded(t *testing.T) {
	const (
		callers   = 16
		maxGrowth = 96 << 20 // The VM has 284 MB, and all nodes and servers of the test share this process.
	)
	head := "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: s\r\n"
	for name, c := range map[string]struct{ start, repeated string }{
		"no answer":        {"", "x"},
		"lines":            {"", "no answer\r\n"},
		"interim answers":  {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"head":             {head, "X-More: of the same\r\n"},
		"header line":      {head + "X-More: ", "x"},
		"body":             {head + "\r\n", "x"},
		"chunks":           {head + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nmore\r\n"},
		"chunk extensions": {head + "Transfer-Encoding: chunked\r\n\r\n4;", "x"},
		"trailer":          {head + "Transfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n0\r\n", "X-Sum: 1\r\n"},
		"late answers":     {"", "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nContent-Length: 2\r\n\r\nno"},
		"late answer":      {"HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\n\r\n", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			_, officeVMs, deskVM := startMesh(t)
			var started, closed atomic.Int64
			for _, v := range officeVMs {
				v.backendServer.mu.Lock()
				v.backendServer.handler = func(w http.ResponseWriter, r *http.Request) bool {
					started.Add(1)
					writeEndlessly(w, strings.Replace(c.start, "%s", r.Header.Get("X-Attempt-Id"), 1), c.repeated, &closed)
					return true
				}
				v.backendServer.mu.Unlock()
			}
			runtime.GC()
			var before, now runtime.MemStats
			runtime.ReadMemStats(&before)
			var calls sync.WaitGroup
			for i := range callers {
				calls.Go(func() {
					via := []*vm{deskVM, officeVMs[0]}[i%2]
					req, err := http.NewRequest(http.MethodPost, "http://"+via.Callers.String()+"/lodge/1", strings.NewReader("x"))
					if err != nil {
						t.Error(err)
						return
					}
					req.Host = "a.example"
					req.Header.Set("X-Attempt-Id", fmt.Sprint("endless-", i))
					req.Header.Set("X-Deadline-Ms", "1500")
					resp, err := http.DefaultTransport.RoundTrip(req)
					if err != nil {
						return // The node has broken the answer off.
					}
					defer resp.Body.Close()
					if _, err := io.Copy(io.Discard, resp.Body); err == nil && resp.StatusCode == http.StatusOK {
						t.Error("an endless answer counts as whole")
					}
				})
			}
			ended := make(chan struct{})
			go func() { calls.Wait(); close(ended) }()
			peak := uint64(0)
			for running := true; running; {
				select {
				case <-ended:
					running = false
				case <-time.After(50 * time.Millisecond):
				}
				runtime.ReadMemStats(&now)
				peak = max(peak, now.HeapAlloc)
				if r := deskVM.call("GET", "/desk/1", "other"); r.status != http.StatusOK {
					t.Errorf("request of another client: %+v", r)
				}
			}
			if growth := int64(peak) - int64(before.HeapAlloc); growth > maxGrowth {
				t.Errorf("the heap has grown by %d bytes", growth)
			}
			if started.Load() == 0 {
				t.Fatal("no request reached a backend server")
			}
			waitFor(t, "the connections to be closed", func() bool { return closed.Load() == started.Load() })
		})
	}
}
