package proxy

import (
	"net/http"
	"runtime"
	"runtime/debug"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
)

// Limits of the HTTP servers.
const (
	// readTimeout bounds the time that a slow caller may take to send a request with a body of DefaultMaxBodyBytes. There
	// is no separate, shorter timeout for the header, because each change of a deadline modifies a runtime timer, which
	// slows down every call.
	readTimeout = 15 * time.Second
	// idleTimeout is longer than package upstream keeps idle connections, so that a node never sends on a connection
	// that its peer is closing.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes limits the header of a request. Operators may allow callers less, but not more.
	maxHeaderBytes = 1 << 20
	// meshHeaderBytes is the room for the headers that a node adds to a request. Without it, another node would refuse a
	// request in a form that does not show to which request it belongs.
	meshHeaderBytes = 64 << 10
)

// NewServer returns an HTTP server for the listener that accepts calls from callers.
func NewServer(h http.Handler) *http.Server {
	s := NewPeerServer(h)
	s.ReadTimeout, s.MaxHeaderBytes = readTimeout, maxHeaderBytes
	s.ConnContext = withCallerConn
	return s
}

// NewPeerServer returns an HTTP server for the listener that accepts calls from other nodes. It has no read timeout:
// nodes write a request without pauses, and a read timeout shorter than the idle timeout would interrupt the runtime's
// network poller for each request.
func NewPeerServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes + meshHeaderBytes}
}

// Refuser returns a function that refuses a caller's request, before its handler runs, in the given dialect.
func Refuser(d Dialect) func(http.ResponseWriter, *http.Request, metric.Refusal) {
	return func(w http.ResponseWriter, r *http.Request, reason metric.Refusal) {
		// Fails only while a response is streamed, which a refusal is not.
		_ = refuseUnread(reason).write(w, r, d, d.ParseIncoming(r).ID, time.Time{})
	}
}

// RefuseCall refuses a call of another node before its handler runs. It repeats the ID of the call, without which the other
// node could not tell that the refusal belongs to it.
func RefuseCall(w http.ResponseWriter, r *http.Request, reason metric.Refusal) {
	// Fails only while a response is streamed, which a refusal is not.
	_ = refuseUnread(reason).write(w, r, Native{}, first(r.Header, HeaderRequestID), time.Time{})
}

// Tuning holds the Go runtime settings of a node. Zero values keep the defaults of the runtime.
type Tuning struct {
	Procs       int
	GCPercent   int
	MemoryLimit int64
}

// DefaultTuning suits a node beside a backend server. With a goroutine per request and one more per connection, each
// call wakes idle threads: with ten processors a call took 1.5 to 1.8 times the processor time that it took with one.
// With two, one still forwards calls while the other applies a configuration. The live heap is only a few megabytes, so
// that the default GC percentage would cause many collections a second under load; the memory limit keeps the process
// small despite the higher percentage. It is 0.6 of the smallest VM, 184 MB: the runtime exceeds it while a crowd of clients
// allocates faster than it collects.
var DefaultTuning = Tuning{Procs: 2, GCPercent: 400, MemoryLimit: 110 << 20}

// Apply applies the settings to the process. It lowers the number of processors but never raises it.
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
