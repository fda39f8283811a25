package proxy

import (
	"net/http"
	"net/netip"
	"runtime"
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
		_ = refuseUnread(metric.RefusedForbidden).write(w, r, "", time.Time{})
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

// Tuning is the settings of the Go runtime for a node. Zero values leave the runtime's own.
type Tuning struct {
	Procs       int
	GCPercent   int
	MemoryLimit int64
}

// DefaultTuning suits a node beside a backend server. With a goroutine per request and one more per connection, each
// call wakes idle threads: ten threads spent up to twice the processor time of one for a call. Two keep the data path
// going while the other works on a configuration. The live heap is a few megabytes, so that the default percentage
// would collect many times a second under load; the limit keeps the process small all the same.
var DefaultTuning = Tuning{Procs: 2, GCPercent: 400, MemoryLimit: 192 << 20}

// Apply changes the settings of the process.
func (t Tuning) Apply() {
	if t.Procs > 0 && t.Procs < runtime.GOMAXPROCS(0) {
		runtime.GOMAXPROCS(t.Procs)
	}
	if t.GCPercent > 0 {
		debug.SetGCPercent(t.GCPercent)
	}
	if t.MemoryLimit > 0 {
		debug.SetMemoryLimit(t.MemoryLimit)
	}
}
