package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"runtime/pprof"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rs/zerolog"

	"github.com/monsoonlatch/monsoonlatch/pkg/balance"
	"github.com/monsoonlatch/monsoonlatch/pkg/clock"
	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
	"github.com/monsoonlatch/monsoonlatch/pkg/retry"
	"github.com/monsoonlatch/monsoonlatch/pkg/upstream"
)

// The benchmark runs the backend server and each node in a separate process, as in a deployment, so that they share
// neither a garbage collector nor a scheduler. The environment tells the test binary which role to run.
const (
	envRole = "MONSOONLATCH_BENCH_ROLE"
	// envNext is the address to which the role forwards requests.
	envNext = "MONSOONLATCH_BENCH_NEXT"
	// envProcs, if set, overrides DefaultTuning.Procs.
	envProcs = "MONSOONLATCH_BENCH_PROCS"
	// envProfile, if set, is the directory for the CPU profile of each role.
	envProfile = "MONSOONLATCH_BENCH_PROFILE"

	roleBackend   = "backend"
	roleEgress    = "egress"
	roleIngress   = "ingress"
	roleTransport = "transport"
)

func TestMain(m *testing.M) {
	if role := os.Getenv(envRole); role != "" {
		serveRole(role, os.Getenv(envNext))
		return
	}
	os.Exit(m.Run())
}

// serveRole prints the addresses of its listeners and serves requests until its standard input is closed.
func serveRole(role, next string) {
	if role != roleBackend {
		t := DefaultTuning
		if n, err := strconv.Atoi(os.Getenv(envProcs)); err == nil {
			t.Procs = n
		}
		t.Apply()
	}
	if dir := os.Getenv(envProfile); dir != "" {
		if f, err := os.Create(dir + "/" + role + ".prof"); err == nil {
			_ = pprof.StartCPUProfile(f)
			defer pprof.StopCPUProfile()
		}
	}
	var handlers []http.Handler
	switch role {
	case roleBackend:
		handlers = []http.Handler{http.HandlerFunc(answerBench)}
	case roleTransport:
		handlers = []http.Handler{transportNode(next)}
	default:
		in, eg := benchNode(role, next)
		handlers = []http.Handler{in, eg}
	}
	var addrs []string
	for i, h := range handlers {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			panic(err)
		}
		addrs = append(addrs, ln.Addr().String())
		server := NewServer(h)
		if i == 1 {
			server = NewPeerServer(h)
		}
		go server.Serve(ln) //nolint:errcheck // ends with the process
	}
	fmt.Println(strings.Join(addrs, " "))
	_, _ = io.Copy(io.Discard, os.Stdin)
}

// answerBench is the handler of the backend server.
func answerBench(w http.ResponseWriter, r *http.Request) {
	w.Header()[HeaderRequestID] = r.Header[HeaderRequestID]
	w.Header()["Content-Type"] = []string{"application/json"}
	_, _ = w.Write(benchBody)
}

var benchBody = []byte(strings.Repeat("capsule ", 32))

// transportNode returns the baseline for comparison: a hop that only forwards with http.Transport.
func transportNode(next string) http.Handler {
	tr := &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		out := r.Clone(r.Context())
		out.URL.Scheme, out.URL.Host, out.RequestURI = "http", next, ""
		resp, err := tr.RoundTrip(out)
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		defer resp.Body.Close()
		for k, v := range resp.Header {
			w.Header()[k] = v
		}
		w.WriteHeader(resp.StatusCode)
		_, _ = io.Copy(w, resp.Body)
	})
}

// benchNode returns a node that forwards calls to the single instance of a service: for roleEgress its local backend
// server at next, for roleIngress a peer node at next.
func benchNode(role, next string) (*Ingress, *Egress) {
	m := newMesh(benchTB{})
	n := &node{id: "own", gate: &fifoGate{slots: make(chan struct{}, 64)}, addr: next, metrics: metric.NewSet(),
		own: membership.Instance{ID: "own", Service: "desk", Slots: 64, State: membership.StateReady}}
	m.nodes = []*node{n}
	if role == roleIngress {
		n.own.Service = "archive"
		m.nodes = append(m.nodes, &node{own: membership.Instance{ID: "peer", Service: "desk", Slots: 64, State: membership.StateReady, PeerAddress: next}})
	}
	calls := NewCalls()
	eg := NewEgress(EgressSettings{Local: n, Gate: benchGate{}, Guard: &sharedGuard{m: m}, Calls: calls, Metrics: n.metrics,
		Clock: clock.System{}, Log: zerolog.Nop(), Backend: upstream.NewPool(upstream.Settings{})})
	in := NewIngress(IngressSettings{Self: "own", Source: m, View: m, Guard: &sharedGuard{m: m}, Egress: eg, Calls: calls,
		Peers: upstream.NewPool(upstream.Settings{}), Picker: balance.New(balance.Settings{}),
		Retry: retry.NewBudgets(retry.Settings{}), Metrics: n.metrics, Clock: clock.System{}, Log: zerolog.Nop()})
	return in, eg
}

// benchTB is a testing.TB for code that runs outside of a test.
type benchTB struct{ testing.TB }

func (benchTB) Helper()           {}
func (benchTB) Fatal(args ...any) { panic(fmt.Sprint(args...)) }

// benchGate admits all work. Package admission has its own benchmarks.
type benchGate struct{}

func (benchGate) Acquire(context.Context, AdmissionRequest) (func(bool, bool, time.Duration), *AdmissionRefusal) {
	return func(bool, bool, time.Duration) {}, nil
}
func (benchGate) SetRate(float64) {}

func (benchGate) Load() Load { return Load{InUse: 1, Limit: 64} }

// process is the test binary running in a role.
type process struct {
	pid   int
	addrs []string
}

// cpu returns the CPU time that the process has used. It is far less sensitive to other load on the machine than the
// latency of calls.
func (p *process) cpu() (total time.Duration) {
	files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", p.pid))
	for _, f := range files {
		if text, err := os.ReadFile(f); err == nil {
			var ns int64
			_, _ = fmt.Sscan(string(text), &ns)
			total += time.Duration(ns)
		}
	}
	return total
}

// start runs the test binary in a role and waits for the addresses of its listeners.
func start(b *testing.B, role, next string) *process {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), envRole+"="+role, envNext+"="+next)
	cmd.Stderr = os.Stderr
	in, err1 := cmd.StdinPipe()
	out, err2 := cmd.StdoutPipe()
	if err1 != nil || err2 != nil || cmd.Start() != nil {
		b.Fatal("cannot start a process in the role " + role)
	}
	b.Cleanup(func() { in.Close(); _ = cmd.Wait() })
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		b.Fatal(role, err)
	}
	return &process{pid: cmd.Process.Pid, addrs: strings.Fields(line)}
}

// callPath is a way to the backend server over a number of hops.
type callPath struct {
	name string
	hist *hdrhistogram.Histogram
	mu   sync.Mutex
	// firstHop is the process that receives the calls of this path, and cpu the CPU time that it has used.
	firstHop *process
	cpu      time.Duration
}

func (p *callPath) call(b *testing.B, pool *upstream.Pool, sent time.Time) {
	res := pool.Do(context.Background(), p.firstHop.addrs[0], &upstream.Exchange{Idempotent: true, Deadline: sent.Add(5 * time.Second),
		Request: &http.Request{Method: http.MethodGet, URL: &url.URL{Path: "/lookups/17"}, Host: "desk", Header: http.Header{
			"Accept": {"application/json"}, "User-Agent": {"bench"}}}})
	took := time.Since(sent)
	if res.Response == nil || res.Response.Status != 200 {
		b.Errorf("path %s: got %+v, want status 200", p.name, res)
	}
	p.mu.Lock()
	_ = p.hist.RecordValue(took.Nanoseconds())
	p.mu.Unlock()
}

// round sends calls for the given time, at exponentially distributed intervals with the given mean rate. It does not
// wait for a response before it sends the next call.
func (p *callPath) round(b *testing.B, pool *upstream.Pool, rate float64, length time.Duration, rng *rand.Rand) {
	var wg sync.WaitGroup
	before := p.firstHop.cpu()
	defer func() { p.cpu += p.firstHop.cpu() - before }()
	begin := time.Now()
	for at := time.Duration(0); at < length; at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second)) {
		time.Sleep(at - time.Since(begin))
		wg.Go(func() { p.call(b, pool, time.Now()) })
	}
	wg.Wait()
}

// BenchmarkAddedLatency measures calls over loopback directly, over one hop and over two hops, in turns of half a
// second, and reports the latency that the hops add. Each iteration is one turn of every path. Hops with http.Transport
// are measured for comparison.
func BenchmarkAddedLatency(b *testing.B) {
	server := start(b, roleBackend, "")
	egress := start(b, roleEgress, server.addrs[0])
	ingress := start(b, roleIngress, egress.addrs[1])
	transport := start(b, roleTransport, server.addrs[0])
	second := start(b, roleTransport, transport.addrs[0])
	for _, rate := range []float64{340, 2000} {
		b.Run(fmt.Sprintf("rate=%.0f", rate), func(b *testing.B) {
			paths := []*callPath{{name: "direct", firstHop: server}, {name: "one", firstHop: egress},
				{name: "two", firstHop: ingress}, {name: "transport-one", firstHop: transport},
				{name: "transport-two", firstHop: second}}
			pool := upstream.NewPool(upstream.Settings{})
			defer pool.CloseIdle()
			rng := rand.New(rand.NewPCG(uint64(rate), 1))
			for i := -1; i < b.N; i++ {
				for _, p := range paths {
					if i <= 0 {
						p.cpu, p.hist = 0, hdrhistogram.New(1000, int64(10*time.Second), 3)
					}
					p.round(b, pool, rate, 500*time.Millisecond, rng)
				}
			}
			report(b, paths)
		})
	}
}

// BenchmarkServe measures time and allocations of a call through one node, from the ingress to the local backend
// server and back. The HTTP server in front of the ingress is left out.
func BenchmarkServe(b *testing.B) {
	in, _ := benchNode(roleEgress, start(b, roleBackend, "").addrs[0])
	b.ReportAllocs()
	for b.Loop() {
		r := httptest.NewRequest(http.MethodGet, "/lookups/17", nil)
		w := httptest.NewRecorder()
		in.ServeHTTP(w, r)
		if w.Code != http.StatusOK {
			b.Fatal(w.Code, w.Body)
		}
	}
}

// report reports the CPU time per call of each path, and the latency that it adds to that of the first path.
func report(b *testing.B, paths []*callPath) {
	b.ReportMetric(0, "ns/op")
	us := func(p *callPath, q float64) float64 { return float64(p.hist.ValueAtQuantile(q)) / 1000 }
	for _, p := range paths {
		b.ReportMetric(float64(p.cpu.Microseconds())/float64(p.hist.TotalCount()), p.name+"-cpu-us")
	}
	for _, q := range []float64{50, 90, 99} {
		b.ReportMetric(us(paths[0], q), fmt.Sprintf("direct-p%.0f-us", q))
		for _, p := range paths[1:] {
			b.ReportMetric(us(p, q)-us(paths[0], q), fmt.Sprintf("%s-p%.0f-added-us", p.name, q))
		}
	}
}
