package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/clock"
)

const (
	// slots is the number of requests that a backend server processes concurrently.
	slots = 8
	// heartbeat is the mean interval between announcements.
	heartbeat = time.Second
	// ackTimeout is how long one announcement may take.
	ackTimeout = time.Second
	// leaveTries is how often a backend server announces a drain without an acknowledgement before it drains anyway.
	leaveTries = 5
	// work is the upper limit of the service time of most requests.
	work = 40 * time.Millisecond
	// longWork is the service time of one request in longShare, so that stops and faults hit requests in progress.
	longWork  = 700 * time.Millisecond
	longShare = 20
	// largest is the upper limit of a response body in bytes: about a dozen chunks of a link.
	largest = 120 << 10
)

// backendServer is a simulated backend server beside a node: it announces itself, runs requests and reports them to the
// ledger. Its boots follow each other at the same address.
type backendServer struct {
	vm     *vm
	ledger *ledger
	mu     sync.Mutex // Serialises replacements and crashes.
	boot   atomic.Pointer[boot]
	boots  int
}

// boot is one start of a backend server with its own HTTP server.
type boot struct {
	*backendServer
	id       string
	born     int64
	sequence atomic.Uint64
	state    atomic.Value // string
	// left is the Unix time in nanoseconds at which the node acknowledged the drain, or 0.
	left    atomic.Int64
	busy    chan struct{}
	failing atomic.Bool
	server  *http.Server
	cancel  context.CancelFunc
}

// start starts a boot. If same is set, it keeps the id of the boot before.
func (s *backendServer) start(same bool) error {
	if !same || s.boots == 0 {
		s.boots++
	}
	ln, err := net.Listen("tcp", s.vm.backendAddress())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	b := &boot{backendServer: s, id: fmt.Sprintf("%s-boot-%d", s.vm.name, s.boots), born: time.Now().UnixMilli(),
		busy: make(chan struct{}, slots), cancel: cancel}
	b.state.Store("ready")
	b.server = &http.Server{Handler: b, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 10 * time.Second}
	s.boot.Store(b)
	go func() { _ = b.server.Serve(ln) }() // Returns when the boot ends.
	go b.announce(ctx)
	return nil
}

// announce sends heartbeats until the boot ends.
func (b *boot) announce(ctx context.Context) {
	for ctx.Err() == nil {
		b.beat(ctx, "instances.heartbeat")
		clock.Sleep(ctx, heartbeat-heartbeat/10+rand.N(heartbeat/5))
	}
}

// beat sends one announcement call to the node and reports whether the node acknowledged it.
func (b *boot) beat(ctx context.Context, call string) bool {
	ctx, cancel := context.WithTimeout(ctx, ackTimeout)
	defer cancel()
	body, err := json.Marshal(map[string]any{"service": b.vm.service, "address": b.vm.backendAddress(), "zone": b.vm.zone, "version": "v1",
		"slots": slots, "state": b.state.Load(), "coldLeftMs": 0, "sequence": b.sequence.Add(1), "born": b.born})
	if err != nil {
		return false
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+b.vm.address(portAnnouncements)+"/rpc?call="+call+"&of="+b.id,
		strings.NewReader(string(body)))
	if err != nil {
		return false
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode/100 == 2
}

// replace drains and stops the boot in the planned way and starts the next one.
func (s *backendServer) replace(ctx context.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.boot.Load()
	b.state.Store("draining")
	for range leaveTries {
		if b.beat(ctx, "instances.heartbeat") {
			b.left.Store(time.Now().UnixNano())
			break
		}
		time.Sleep(heartbeat)
	}
	time.Sleep(drainTime + time.Second)
	b.beat(ctx, "instances.deregister")
	stop, cancel := context.WithTimeout(context.Background(), 2*longWork)
	defer cancel()
	_ = b.server.Shutdown(stop) // b.end closes the connections that are left.
	b.end()
	return s.start(false)
}

// crash ends the boot without a drain and starts the next one after a down time.
func (s *backendServer) crash(lasts time.Duration, same bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.boot.Load().end()
	time.Sleep(lasts)
	return s.start(same)
}

func (b *boot) end() {
	b.cancel()
	b.server.Close()
}

func (b *boot) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	w.Header().Set("X-Instance-Id", b.id)
	if r.Header.Get("X-Target-Instance") != b.id {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	b.judgeDrain(id)
	select {
	case b.busy <- struct{}{}:
		defer func() { <-b.busy }()
	default:
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	b.ledger.ran(id, b.id)
	if r.Header.Get("X-Caller-Service") == "" {
		b.ledger.violate("unasked", "request %s arrived without the header X-Caller-Service", id)
	}
	_, _ = io.Copy(io.Discard, r.Body) // A truncated body shows in the caller's answer.
	b.work(r.Context())
	b.answer(w, r, id)
}

// judgeDrain checks that no request arrives later than the drain limit after an acknowledged drain, whatever happens to
// links and the store meanwhile. A node that was paused may still forward late what it accepted before.
func (b *boot) judgeDrain(id string) {
	left := b.left.Load()
	if left == 0 {
		return
	}
	now := time.Now()
	late := now.Sub(time.Unix(0, left)) - drainTime
	if late > 0 && b.ledger.calm(&b.vm.frozen, now, stability) && !b.vm.stalls.within(now.Add(-stability), now) {
		b.ledger.violate("drain", "request %s reached %s %v after its drain limit", id, b.id, late.Round(time.Millisecond))
	}
}

func (b *boot) work(ctx context.Context) {
	d := rand.N(work)
	if rand.IntN(longShare) == 0 {
		d = longWork
	}
	clock.Sleep(ctx, d)
}

// answer sends the response that the caller expects, or a faulty one while the fault is active.
func (b *boot) answer(w http.ResponseWriter, r *http.Request, id string) {
	body := expectedBody(id, r.URL.Path)
	w.Header().Set("X-Server-Seal", "seal-"+id)
	kind := rand.IntN(8)
	if !b.failing.Load() {
		kind = 7
	}
	switch kind {
	case 0:
		w.WriteHeader(http.StatusInternalServerError)
	case 1: // Truncated body with a Content-Length.
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = io.WriteString(w, body[:len(body)/2]) // The caller may have disconnected.
		panic(http.ErrAbortHandler)
	case 2: // Truncated body without a Content-Length.
		_, _ = io.WriteString(w, body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case 3, 4: // Response sent twice, or bytes that are not HTTP.
		b.stray(w, id, body, kind == 4)
	default:
		if len(id)%2 == 0 {
			w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		}
		_, _ = io.WriteString(w, body)
	}
}

// stray sends the response twice, or bytes that are not HTTP in its place.
func (b *boot) stray(w http.ResponseWriter, id, body string, garbage bool) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	if garbage {
		_, _ = io.WriteString(conn, "these bytes are no answer\r\n\r\n")
		return
	}
	whole := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: seal-%s\r\nContent-Length: %d\r\n\r\n%s", id, id, len(body), body)
	_, _ = io.WriteString(conn, whole)
	time.Sleep(rand.N(work))
	_, _ = io.WriteString(conn, whole)
}

// expectedBody returns the body of the answer to an attempt. The id determines its size.
func expectedBody(id, path string) string {
	line := id + " " + path + "\n"
	size := 0
	for _, c := range id {
		size = (size*31 + int(c)) % largest
	}
	if size%4 != 0 {
		size %= 200
	}
	return strings.Repeat(line, 1+size/len(line))
}
