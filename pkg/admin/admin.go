// Package admin implements the node's HTTP admin endpoint. The local backend server sends its announcements to it, and
// operators read metrics, health and the state of the node from it.
package admin

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"github.com/monsoonlatch/monsoonlatch/pkg/event"
	"github.com/monsoonlatch/monsoonlatch/pkg/intake"
	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
	"github.com/monsoonlatch/monsoonlatch/pkg/network"
)

const (
	readHeaderTimeout = 2 * time.Second
	// readTimeout limits the time to read a whole request, so that clients that never finish a body don't hold all
	// connections that the endpoint may have.
	readTimeout    = 5 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 16 << 10
	// maxBodyBytes limits the size of announcements, the only request bodies that this endpoint reads.
	maxBodyBytes = 64 << 10
)

// State is the response to GET /v1/state.
type State struct {
	ID               string `json:"id"`
	Service          string `json:"service"`
	AvailabilityZone string `json:"availabilityZone"`
	// Lifecycle is the state of the node's kernel.
	Lifecycle string `json:"lifecycle"`
	// BackendServer is the state of the instance that other nodes know, which follows the backend server's
	// announcements.
	BackendServer string `json:"backendServer"`
	// Version and Hash identify the configuration in force.
	Version uint64 `json:"version"`
	Hash    string `json:"hash"`
	// Relay is true if the node acts as a relay.
	Relay bool `json:"relay"`
	// MembershipSettled is true if the node knows the instances of all services that its routes reach, and the
	// membership has been complete for long enough to run requests with an idempotency key.
	MembershipSettled bool `json:"membershipSettled"`
}

// Settings configures the endpoint.
type Settings struct {
	Listen string
	// Operators lists the networks from which reads are allowed. The Announce handler restricts its own senders.
	Operators network.Set
	State     func() State
	// Ready reports whether the node accepts calls.
	Ready    func() bool
	Announce http.Handler
	Metrics  *metric.Set
	// Class bounds the connections; nil means no bound.
	Class *intake.Class
	Log   zerolog.Logger
}

// Server runs the endpoint as a kernel service.
type Server struct {
	settings Settings
	http     *http.Server
	addr     string
}

// New returns a server that starts to listen in Start.
func New(s Settings) *Server {
	srv := &Server{settings: s}
	mux := http.NewServeMux()
	mux.Handle("/v1/announce", s.Announce)
	mux.Handle("GET /metrics", srv.operatorsOnly(s.Metrics))
	mux.Handle("GET /v1/state", srv.operatorsOnly(http.HandlerFunc(srv.writeState)))
	mux.Handle("GET /healthz", srv.operatorsOnly(http.HandlerFunc(srv.writeHealth)))
	srv.http = &http.Server{
		Handler:           http.MaxBytesHandler(mux, maxBodyBytes),
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	s.Class.Protect(srv.http, nil)
	return srv
}

// Name implements kernel.Service.
func (s *Server) Name() string { return "admin" }

// Start opens the listener and serves requests in the background.
func (s *Server) Start(context.Context) error {
	l, err := net.Listen("tcp", s.settings.Listen)
	if err != nil {
		return err
	}
	s.addr = l.Addr().String()
	l = s.settings.Class.Listener(l)
	go func() {
		if err := s.http.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			event.ListenerFailed.Write(event.ListenerFailed.Log(&s.settings.Log).Err(err).Str("listener", "admin"))
		}
	}()
	return nil
}

// Stop waits until the requests in progress are finished or ctx ends.
func (s *Server) Stop(ctx context.Context) error { return s.http.Shutdown(ctx) }

// Addr returns the address that the server listens on. It is empty before Start.
func (s *Server) Addr() string { return s.addr }

func (s *Server) operatorsOnly(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !s.settings.Operators.Contains(r.RemoteAddr) {
			s.settings.Metrics.CountRefusal(metric.RefusedForbidden)
			http.Error(w, "reads are accepted from --operator-networks only; add the source there", http.StatusForbidden)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Server) writeState(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.settings.State())
}

func (s *Server) writeHealth(w http.ResponseWriter, _ *http.Request) {
	if !s.settings.Ready() {
		http.Error(w, "not ready: no configuration accepted yet, instances of the services that its routes reach not yet known, or draining", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}
