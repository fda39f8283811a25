package proxy

import (
	"net/http"
	"runtime"
	"runtime/debug"
	"time"
)

// Limits of the HTTP servers.
const (
	// readTimeout bounds how long a slow caller can take to send a request with a body of MaxBody. The header has no
	// shorter one, since each change of a deadline costs the path of the call a change of a runtime timer.
	readTimeout = 15 * time.Second
	// idleTimeout is longer than the time that upstream keeps idle connections, so that a node never sends on a
	// connection that its peer is closing.
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
)

// NewServer returns a server for the callers listener.
func NewServer(h http.Handler) *http.Server {
	s := NewPeerServer(h)
	s.ReadTimeout = readTimeout
	return s
}

// NewPeerServer returns a server for the peers listener. Nodes write a request at once, so that there is no timeout for
// reads: one that ends before the idle timeout would interrupt the runtime's network poller for each request.
func NewPeerServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
}

// Tuning is the settings of the Go runtime for a node. Zero values leave the runtime's own.
type Tuning struct {
	Procs       int
	GCPercent   int
	MemoryLimit int64
}

// DefaultTuning suits a node beside a backend server. With a goroutine per request and one more per connection, each
// call wakes idle threads: with ten processors a call took 1.5 to 1.8 times the processor time of one. Two keep the data path
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
