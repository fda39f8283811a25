package soak

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/clock"
)

const (
	// slots is the number of requests that a backend server processes concurrently.
	slots = 8
	// heartbeatInterval is the mean interval between the heartbeats of a backend server.
	heartbeatInterval = time.Second
	// announceTimeout is how long one announcement may take.
	announceTimeout = time.Second
	// maxDrainAnnouncements is how often a backend server announces a drain without an acknowledgement before it drains
	// anyway.
	maxDrainAnnouncements = 5
	// lateGap is the time between two announcements that arrive late.
	lateGap = 200 * time.Millisecond
	// maxServiceTime is the upper limit of the service time of most requests.
	maxServiceTime = 40 * time.Millisecond
	// longServiceTime is the service time of one request in longServiceTimeEvery, so that stops and faults hit requests
	// in progress.
	longServiceTime      = 700 * time.Millisecond
	longServiceTimeEvery = 20
	// maxBodyBytes is the upper limit of a response body in bytes: about a dozen chunks of a link.
	maxBodyBytes = 120 << 10
	// receiveBuffer is the size in bytes of the receive buffers of a backend server. Long requests don't fit.
	receiveBuffer = 16 << 10
	// listenTimeout is how long a backend server tries to listen while its address is in use.
	listenTimeout = time.Second
	// healthPath is the path of the health check.
	healthPath = "/healthz"
)

// backendServer is a simulated backend server beside a node: it announces itself, runs requests and reports them to the
// checker. Its boots follow each other at the same address.
type backendServer struct {
	vm      *vm
	checker *checker
	mu      sync.Mutex // Serialises replacements and crashes.
	boot    atomic.Pointer[boot]
	// bootNumber is the number in the ID of the current boot. A boot that keeps the ID of the one before does not raise
	// it.
	bootNumber int
}

// boot is one start of a backend server with its own HTTP server.
type boot struct {
	*backendServer
	id            string
	startedMillis int64
	sequence      atomic.Uint64
	state         atomic.Value // string
	// drainAcknowledged is the Unix time in nanoseconds at which the node acknowledged the drain, or 0.
	drainAcknowledged atomic.Int64
	// leaving is set from the first announcement of the drain or departure; departed once a departure came first, after
	// which the boot sends no heartbeats.
	leaving, departed atomic.Bool
	slotsInUse        chan struct{}
	failing           atomic.Bool
	server            *http.Server
	cancel            context.CancelFunc
}

// start starts a boot. If sameID is set, the boot has the ID of the one before.
func (s *backendServer) start(sameID bool) error {
	if !sameID || s.bootNumber == 0 {
		s.bootNumber++
	}
	ln, err := s.listen()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	b := &boot{backendServer: s, id: fmt.Sprintf("%s-boot-%d", s.vm.name, s.bootNumber),
		startedMillis: time.Now().UnixMilli(), slotsInUse: make(chan struct{}, slots), cancel: cancel}
	b.state.Store("ready")
	b.server = &http.Server{Handler: b, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 10 * time.Second}
	s.boot.Store(b)
	go func() { _ = b.server.Serve(ln) }() // Returns when the boot ends.
	go b.sendHeartbeats(ctx)
	return nil
}

// listen listens on the address of the backend server. Each process that is being started holds a copy of the listener of the boot
// before for some milliseconds, until its exec has closed it, so that the address may still be in use.
func (s *backendServer) listen() (net.Listener, error) {
	config := net.ListenConfig{Control: limitReceiveBuffer}
	for deadline := time.Now().Add(listenTimeout); ; time.Sleep(time.Millisecond) {
		ln, err := config.Listen(context.Background(), "tcp", s.vm.backendAddress())
		if !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(deadline) {
			return ln, err
		}
	}
}

// limitReceiveBuffer limits the receive buffers of the connections of a listener.
func limitReceiveBuffer(_, _ string, c syscall.RawConn) error {
	var optionErr error
	err := c.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
	})
	return errors.Join(err, optionErr)
}

// sendHeartbeats sends heartbeats until the boot ends.
func (b *boot) sendHeartbeats(ctx context.Context) {
	for ctx.Err() == nil && !b.departed.Load() {
		b.sendAnnouncement(ctx, "instances.heartbeat")
		clock.Sleep(ctx, heartbeatInterval-heartbeatInterval/10+rand.N(heartbeatInterval/5))
	}
}

// sendAnnouncement sends one announcement call to the node and reports whether the node acknowledged it.
func (b *boot) sendAnnouncement(ctx context.Context, call string) bool {
	return b.post(ctx, call, b.announcement())
}

// announcement returns the body of the next announcement.
func (b *boot) announcement() string {
	body, _ := json.Marshal(map[string]any{"service": b.vm.service, "address": b.vm.backendAddress(),
		"zone": b.vm.zone, "version": "v1", "slots": slots, "state": b.state.Load(), "coldLeftMs": 0,
		"sequence": b.sequence.Add(1), "born": b.startedMillis}) // Encoding a map of strings and numbers cannot fail.
	return string(body)
}

// post sends an announcement call to the node and reports whether the node acknowledged it.
func (b *boot) post(ctx context.Context, call, body string) bool {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost,
		"http://"+b.vm.address(portAnnouncements)+"/rpc?call="+call+"&of="+b.id, strings.NewReader(body))
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

// replace performs a planned replacement: it drains and stops the boot and starts the next one. Half of the boots announce
// their departure without a drain. Two announcements that were made before arrive late.
func (s *backendServer) replace(ctx context.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.boot.Load()
	late, call := []string{b.announcement(), b.announcement()}, "instances.heartbeat"
	if rand.IntN(2) == 0 {
		call = "instances.deregister"
		b.departed.Store(true)
	}
	b.state.Store("draining")
	b.leaving.Store(true)
	for range maxDrainAnnouncements {
		if b.sendAnnouncement(ctx, call) {
			b.drainAcknowledged.Store(time.Now().UnixNano())
			break
		}
		time.Sleep(heartbeatInterval)
	}
	delay := rand.N(drainLimit)
	time.Sleep(delay)
	for _, body := range late {
		b.post(ctx, "instances.heartbeat", body)
		time.Sleep(lateGap)
	}
	time.Sleep(drainLimit - delay + time.Second)
	b.sendAnnouncement(ctx, "instances.deregister")
	stop, cancel := context.WithTimeout(context.Background(), 2*longServiceTime)
	defer cancel()
	_ = b.server.Shutdown(stop) // b.end closes the connections that are left.
	b.end()
	return s.start(false)
}

// crash ends the boot without a drain and starts the next one after a down time.
func (s *backendServer) crash(downTime time.Duration, sameID bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.boot.Load().end()
	time.Sleep(downTime)
	return s.start(sameID)
}

func (b *boot) end() {
	b.cancel()
	b.server.Close()
}

func (b *boot) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	w.Header().Set("X-Instance-Id", b.id)
	if b.leaving.Load() {
		w.Header().Set("Server-Leaving", "1")
	}
	if r.URL.Path == healthPath {
		if b.leaving.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	if r.Header.Get("X-Target-Instance") != b.id {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	b.checkDrain(id)
	select {
	case b.slotsInUse <- struct{}{}:
		defer func() { <-b.slotsInUse }()
	default:
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	b.checker.recordRun(id, b.id)
	b.checker.checkTenant(id, r.Header)
	if r.Header.Get("X-Caller-Service") == "" {
		b.checker.addViolation("unasked", "request %s arrived without the header X-Caller-Service", id)
	}
	fault := b.nextFault()
	if fault == faultEarlyReset {
		b.respondEarly(w, r, id)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body) // A truncated body shows in the caller's response.
	b.waitServiceTime(r.Context())
	b.respond(w, r, id, fault)
}

// responseFault is a fault of a response.
type responseFault int

const (
	faultNone responseFault = iota
	// faultStatus500 is no broken response, but a failure of the backend server.
	faultStatus500
	faultCutLength
	faultCutChunks
	// faultRepeated sends the response twice, faultGarbage bytes that are not HTTP.
	faultRepeated
	faultGarbage
	// faultStatus sends a status that HTTP does not have, faultName a field whose name has a blank.
	faultStatus
	faultName
	// faultEarlyReset sends a part of a response without a length before the request has been read, and resets the connection.
	faultEarlyReset
	faultCount
)

// nextFault returns the fault of a response: while the backend server is faulty, any fault for two of three requests.
func (b *boot) nextFault() responseFault {
	if !b.failing.Load() || rand.IntN(3) == 0 {
		return faultNone
	}
	return 1 + rand.N(faultCount-1)
}

// checkDrain checks that no request arrives later than the drain limit after an acknowledged drain, whatever happens to
// links and the store meanwhile. A node that was paused may still forward late what it accepted before.
func (b *boot) checkDrain(id string) {
	acknowledged := b.drainAcknowledged.Load()
	if acknowledged == 0 {
		return
	}
	now := time.Now()
	late := now.Sub(time.Unix(0, acknowledged)) - drainLimit
	if late > 0 && b.checker.undisturbed(&b.vm.pauses, now, settleTime) &&
		!b.vm.stallDetector.stalledBetween(now.Add(-settleTime), now) {
		b.checker.addViolation("drain", "request %s reached %s %v after its drain limit",
			id, b.id, late.Round(time.Millisecond))
	}
}

func (b *boot) waitServiceTime(ctx context.Context) {
	d := rand.N(maxServiceTime)
	if rand.IntN(longServiceTimeEvery) == 0 {
		d = longServiceTime
	}
	clock.Sleep(ctx, d)
}

// respond sends the response that the caller expects, or a faulty one. The header X-Server-Seal shows the caller which request
// the response belongs to.
func (b *boot) respond(w http.ResponseWriter, r *http.Request, id string, fault responseFault) {
	body := expectedBody(id, r.URL.Path)
	w.Header().Set("X-Server-Seal", "seal-"+id)
	switch fault {
	case faultStatus500:
		w.WriteHeader(http.StatusInternalServerError)
	case faultCutLength:
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = io.WriteString(w, body[:len(body)/2]) // The caller may have disconnected.
		panic(http.ErrAbortHandler)
	case faultCutChunks:
		_, _ = io.WriteString(w, body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case faultRepeated, faultGarbage, faultStatus, faultName:
		b.respondRaw(w, id, body, fault)
	default:
		if len(id)%2 == 0 {
			w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		}
		_, _ = io.WriteString(w, body)
	}
}

// respondRaw sends a response with a fault that net/http does not send.
func (b *boot) respondRaw(w http.ResponseWriter, id, body string, fault responseFault) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	head := fmt.Sprintf("X-Attempt-Id: %s\r\nX-Server-Seal: seal-%s\r\n", id, id)
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	whole := "HTTP/1.1 200 OK\r\n" + head + length + "\r\n" + body
	switch fault {
	case faultGarbage:
		_, _ = io.WriteString(conn, "these bytes are no answer\r\n\r\n")
	case faultStatus:
		_, _ = io.WriteString(conn, "HTTP/1.1 000 Trouble\r\n"+head+"\r\n"+whole)
	case faultName:
		odd := []string{"X Odd: 1\r\n", "X-Odd : 1\r\n", "Content-Length : 1\r\n"}[rand.IntN(3)]
		_, _ = io.WriteString(conn, []string{
			"HTTP/1.1 200 OK\r\n" + head + odd + length + "\r\n" + body,
			"HTTP/1.1 200 OK\r\n" + head + odd + "\r\n" + body + "more",
			"HTTP/1.1 103 Early Hints\r\n" + odd + "\r\n" + whole,
		}[rand.IntN(3)])
	default:
		_, _ = io.WriteString(conn, whole)
		time.Sleep(rand.N(maxServiceTime))
		_, _ = io.WriteString(conn, whole)
	}
}

// respondEarly sends a part of the response before it has read the request, and resets the connection at once or soon.
func (b *boot) respondEarly(w http.ResponseWriter, r *http.Request, id string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	body := expectedBody(id, r.URL.Path)
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: seal-%s\r\n\r\n%s", id, id, body[:len(body)/2])
	if rand.IntN(4) == 0 {
		time.Sleep(rand.N(maxServiceTime))
	}
	if c, ok := conn.(*net.TCPConn); ok {
		_ = c.SetLinger(0)
	}
}

// expectedBody returns the body of the response to a request. The id determines its size.
func expectedBody(id, path string) string {
	line := id + " " + path + "\n"
	size := 0
	for _, c := range id {
		size = (size*31 + int(c)) % maxBodyBytes
	}
	if size%4 != 0 {
		size %= 200
	}
	return strings.Repeat(line, 1+size/len(line))
}
