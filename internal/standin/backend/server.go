package backend

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Server is the backend server stand-in. Create it with New.
type Server struct {
	settings     Settings
	started      time.Time
	slots        chan struct{}
	counters     counters
	draining     atomic.Bool
	departed     atomic.Bool
	drainStarted chan struct{}
	drainOnce    sync.Once
	client       *http.Client
	lateReleases chan struct{}

	mu          sync.Mutex
	faults      []Fault
	silentConns []net.Conn
	closed      bool
}

// New returns a backend server that accepts requests immediately.
func New(s Settings) *Server {
	s = s.withDefaults()
	return &Server{
		settings: s, started: time.Now(), slots: make(chan struct{}, s.Slots),
		counters:     counters{counts: Counts{Runs: map[string]int{}, Keys: map[string]int{}, Callers: map[string]int{}}},
		drainStarted: make(chan struct{}),
		client:       &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: s.Slots}},
		lateReleases: make(chan struct{}, 1024),
	}
}

// Counts returns the counts so far.
func (s *Server) Counts() Counts { return s.counters.copy() }

// InjectFaults queues faults. Each following request that has no HeaderFault gets the next one.
func (s *Server) InjectFaults(f ...Fault) {
	s.mu.Lock()
	s.faults = append(s.faults, f...)
	s.mu.Unlock()
}

// ReleaseLate sends the response to one request with FaultLate.
func (s *Server) ReleaseLate() { s.lateReleases <- struct{}{} }

// Close closes the connections that are held open without a response, and the idle connections to the node.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, c := range s.silentConns {
		c.Close()
	}
	s.silentConns = nil
	s.client.CloseIdleConnections()
}

// Draining returns a channel that is closed when a drain starts.
func (s *Server) Draining() <-chan struct{} { return s.drainStarted }

// Drain makes the server announce that it accepts no new requests. It still serves those that it receives.
func (s *Server) Drain() {
	s.draining.Store(true)
	s.drainOnce.Do(func() { close(s.drainStarted) })
}

// Idle reports whether no request is running.
func (s *Server) Idle() bool { return len(s.slots) == 0 }

// ServeHTTP runs a request, or serves a control request under /_standin/.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/_standin/counts":
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(s.Counts())
	case "/_standin/health":
		if s.draining.Load() && !s.settings.MisleadingHealth {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	case "/_standin/drain":
		s.Drain()
		w.WriteHeader(http.StatusNoContent)
	case "/_standin/fault":
		s.handleFault(w, r)
	default:
		s.serve(w, r)
	}
}

func (s *Server) handleFault(w http.ResponseWriter, r *http.Request) {
	n, err := strconv.Atoi(r.FormValue("count"))
	if err != nil || n < 1 || n > 100_000 {
		http.Error(w, "count must be a number from 1 to 100000", http.StatusBadRequest)
		return
	}
	for range n {
		s.InjectFaults(Fault(r.FormValue("kind")))
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) nextFault(r *http.Request) Fault {
	if f := r.Header.Get(HeaderFault); f != "" {
		return Fault(f)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.faults) == 0 {
		return FaultNone
	}
	f := s.faults[0]
	s.faults = s.faults[1:]
	return f
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	fault := s.nextFault(r)
	if fault == FaultSilentUnread {
		s.holdConn(w)
		return
	}
	if fault == FaultShed || !s.acquireSlot(r) {
		s.counters.increment(&s.counters.counts.Shed)
		w.Header().Set("Ml-Not-Run", "1")
		s.echoRequestID(w, r)
		http.Error(w, "shed", http.StatusServiceUnavailable)
		return
	}
	defer func() { <-s.slots }()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.counters.runStarted(r.Header)
	defer s.counters.runEnded()
	if !s.simulateWork(r) {
		s.counters.increment(&s.counters.counts.Cancelled)
		return
	}
	response, status := s.buildResponse(r, body)
	s.respond(w, r, fault, status, response)
}

// acquireSlot acquires a slot. It returns false if the server sheds the request, or if the caller disconnects while it
// waits.
func (s *Server) acquireSlot(r *http.Request) bool {
	if s.settings.Shed {
		select {
		case s.slots <- struct{}{}:
			return true
		default:
			return false
		}
	}
	select {
	case s.slots <- struct{}{}:
		return true
	case <-r.Context().Done():
		return false
	}
}

// simulateWork waits for the service time of the request. It returns false if the caller cancels the request.
func (s *Server) simulateWork(r *http.Request) bool {
	d := s.settings.ServiceTime
	if v, err := time.ParseDuration(r.Header.Get(HeaderServiceTime)); err == nil {
		d = v
	}
	if s.settings.ColdStart > 0 && time.Since(s.started) < s.settings.ColdStart {
		d *= time.Duration(s.settings.ColdFactor)
	}
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// buildResponse returns the body and status of the response. A request with HeaderDepth above zero gets them from a
// nested call through the server's own node.
func (s *Server) buildResponse(r *http.Request, body []byte) ([]byte, int) {
	status := headerInt(r.Header, HeaderStatus, http.StatusOK)
	depth := headerInt(r.Header, HeaderDepth, 0)
	if depth == 0 || s.settings.NodeCallers == "" {
		if n := headerInt(r.Header, HeaderBytes, -1); n >= 0 {
			return bytes.Repeat([]byte("x"), n), status
		}
		return fmt.Appendf(nil, "ran %s %s %s", r.Method, r.URL.Path, r.Header.Get("Ml-Request-Id")), status
	}
	req, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+s.settings.NodeCallers+r.URL.RequestURI(),
		bytes.NewReader(body))
	if err != nil {
		return []byte(err.Error()), http.StatusInternalServerError
	}
	for _, h := range []string{"Ml-Call", HeaderServiceTime, HeaderFault, HeaderBytes, HeaderStatus} {
		if v := r.Header.Get(h); v != "" {
			req.Header.Set(h, v)
		}
	}
	if key := r.Header.Get("Idempotency-Key"); key != "" {
		req.Header.Set("Idempotency-Key", key+"/nested")
	}
	req.Header.Set(HeaderDepth, strconv.Itoa(depth-1))
	resp, err := s.client.Do(req)
	if err != nil {
		return []byte(err.Error()), http.StatusBadGateway
	}
	defer resp.Body.Close()
	response, err := io.ReadAll(resp.Body)
	if err != nil {
		return []byte(err.Error()), http.StatusBadGateway
	}
	return response, resp.StatusCode
}
