package proxy

import (
	"net/http"
	"net/netip"
	"runtime/debug"
	"time"

	"github.com/rs/zerolog"

	"github.com/monsoonlatch/monsoonlatch/pkg/event"
	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
)

// Limits of the HTTP servers.
const (
	readHeaderTimeout = 5 * time.Second
	// readTimeout bounds how long a slow caller can take to send a body of MaxBody.
	readTimeout = 30 * time.Second
	// idleTimeout is longer than the time that upstream keeps idle connections, so that a node never sends on a
	// connection that its peer is closing.
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
)

// NewServer returns a server for the callers or the peers listener.
func NewServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
}

// AllowNetworks refuses requests from outside the networks with 403 and counts them.
func AllowNetworks(networks []netip.Prefix, m *metric.Set, log zerolog.Logger, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if ap, err := netip.ParseAddrPort(r.RemoteAddr); err == nil && contains(networks, ap.Addr().Unmap()) {
			h.ServeHTTP(w, r)
			return
		}
		m.Refused(metric.RefusedForbidden)
		event.PeerRefused.Write(event.PeerRefused.Log(&log).Str("remote", r.RemoteAddr))
		_ = refuseUnread(metric.RefusedForbidden).write(w, r, "")
	})
}

func contains(networks []netip.Prefix, a netip.Addr) bool {
	for _, n := range networks {
		if n.Contains(a) {
			return true
		}
	}
	return false
}

// Settings of the garbage collector. The live heap of a node is a few megabytes, so that the default would collect many
// times a second and each collection slows calls down. The memory limit keeps the process small all the same.
const (
	gcPercent   = 400
	memoryLimit = 192 << 20
)

// TuneRuntime applies the settings of the garbage collector to the process.
func TuneRuntime() {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(memoryLimit)
}
