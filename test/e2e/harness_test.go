// Package e2e starts the real binaries as separate processes, kills and pauses them, cuts the links between them, and
// checks the outcomes against the request counts of the backend stand-ins.
package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/monsoonlatch/monsoonlatch/internal/forwarder"
	"github.com/monsoonlatch/monsoonlatch/internal/standin/backend"
	"github.com/monsoonlatch/monsoonlatch/pkg/admin"
)

// waitTimeout bounds every wait. It is far longer than any step takes, so that no test fails on a slow machine.
const waitTimeout = 90 * time.Second

// membershipLag is the value of --membership-lag for all nodes, the bound on the spread of a membership change.
const membershipLag = "2s"

// binaries is the directory that holds the built commands.
var binaries string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

// buildAndRun builds the commands, reserves the ports and runs the tests.
func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "monsoonlatch-e2e-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binaries = dir
	reserved, err := reservePorts()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer reserved.Close()
	out, err := exec.Command("go", "build", "-o", dir, "../../cmd/...").CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// process is a running binary with its output.
type process struct {
	cmd  *exec.Cmd
	log  *bytes.Buffer
	done chan struct{}
}

// start runs a binary until the test ends. If the test fails, the end of the binary's output is logged.
func start(t *testing.T, binary string, args ...string) *process {
	t.Helper()
	p := &process{cmd: exec.Command(filepath.Join(binaries, binary), args...), log: &bytes.Buffer{}, done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { _ = p.cmd.Wait(); close(p.done) }()
	t.Cleanup(func() {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		<-p.done
		if t.Failed() {
			t.Logf("%s %v:\n%s", binary, args, tail(p.log.Bytes()))
		}
	})
	return p
}

func tail(b []byte) []byte {
	const maxBytes = 4 << 10
	return b[max(0, len(b)-maxBytes):]
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill sends SIGKILL and waits until the process has ended.
func (p *process) kill() { p.signal(syscall.SIGKILL); <-p.done }

// stop sends SIGTERM and waits until the process has ended.
func (p *process) stop(t *testing.T) {
	t.Helper()
	p.signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(waitTimeout):
		t.Fatal("the process did not stop after SIGTERM")
	}
}

// instance is a node with its backend server. Other nodes reach it through forwarders that a test can cut.
type instance struct {
	id, service, zone, ip                          string
	callers, peers, control, admin, backendAddress string
	peerLink, controlLink                          *forwarder.Forwarder
	node, backend                                  *process
	nodeArgs                                       []string
}

// mesh is a platform stand-in with the nodes and backend servers of one test.
type mesh struct {
	t               *testing.T
	platformAddress string
	platformStandin *process
	// platformLinks holds the forwarder to the platform for each availability zone.
	platformLinks map[string]*forwarder.Forwarder
	instances     []*instance
	keyCount      int
}

// newMesh starts one instance of each service in each zone and waits until the relays report all of them.
func newMesh(t *testing.T, zones, services []string) *mesh {
	t.Helper()
	m := &mesh{t: t, platformAddress: freeAddress(t, loopback), platformLinks: make(map[string]*forwarder.Forwarder)}
	m.platformStandin = start(t, "platform-standin", "--listen", m.platformAddress)
	for _, z := range zones {
		m.platformLinks[z] = m.newForwarder(m.platformAddress)
		for _, s := range services {
			m.instances = append(m.instances, m.newInstance(z, s))
		}
	}
	for _, in := range m.instances {
		m.startInstance(in)
	}
	m.waitMembers(len(m.instances))
	return m
}

func (m *mesh) newForwarder(target string) *forwarder.Forwarder {
	f, err := forwarder.New(target)
	if err != nil {
		m.t.Fatal(err)
	}
	m.t.Cleanup(f.Close)
	return f
}

// newInstance reserves the addresses of an instance and creates its forwarders, but starts no process.
func (m *mesh) newInstance(zone, service string) *instance {
	// A node dials others from the IP address of its peers listener, by which the forwarders identify it.
	in := &instance{id: zone + "-" + service, service: service, zone: zone, ip: fmt.Sprintf("127.0.1.%d", len(m.instances)+1)}
	for _, a := range []*string{&in.callers, &in.admin, &in.backendAddress} {
		*a = freeAddress(m.t, loopback)
	}
	in.peers, in.control = freeAddress(m.t, in.ip), freeAddress(m.t, in.ip)
	in.peerLink, in.controlLink = m.newForwarder(in.peers), m.newForwarder(in.control)
	return in
}

// startInstance starts the node and the backend server of an instance. The seeds of the node are all instances.
func (m *mesh) startInstance(in *instance) {
	seeds := ""
	for i, other := range m.instances {
		if i > 0 {
			seeds += ","
		}
		seeds += other.controlLink.Addr()
	}
	in.nodeArgs = []string{"--id", in.id, "--service", in.service, "--availability-zone", in.zone,
		"--callers", in.callers, "--peers", in.peers, "--control", in.control, "--admin", in.admin,
		"--advertise-peers", in.peerLink.Addr(), "--advertise-control", in.controlLink.Addr(),
		"--backend-server", in.backendAddress, "--platform", "http://" + m.platformLinks[in.zone].Addr(), "--seeds", seeds,
		"--membership-lag", membershipLag}
	m.startNode(in)
	m.startBackend(in)
}

func (m *mesh) startNode(in *instance) { in.node = start(m.t, "monsoonlatchd", in.nodeArgs...) }

func (m *mesh) startBackend(in *instance, args ...string) {
	in.backend = start(m.t, "backend-standin", append([]string{"--listen", in.backendAddress, "--service", in.service,
		"--node-admin", in.admin, "--node-callers", in.callers}, args...)...)
}

// waitMembers waits until the relays report n nodes with a ready backend server.
func (m *mesh) waitMembers(n int) {
	m.t.Helper()
	m.eventually(fmt.Sprintf("%d nodes in the status", n), func() bool {
		out, err := m.cli("nodes", "--json")
		return err == nil && bytes.Count(out, []byte(`"ready"`)) >= n
	})
}

// cli runs the operators' command monsoonlatch and returns its standard output.
func (m *mesh) cli(args ...string) ([]byte, error) {
	cmd := exec.Command(filepath.Join(binaries, "monsoonlatch"), args...)
	cmd.Env = append(os.Environ(), "MONSOONLATCH_PLATFORM=http://"+m.platformAddress)
	return cmd.Output()
}

// submit submits a release note from the examples folder and waits until every node serves its version.
func (m *mesh) submit(file string, version uint64) {
	m.t.Helper()
	if out, err := m.cli("note", "submit", filepath.Join("..", "..", "examples", file)); err != nil {
		m.t.Fatalf("submit %s: %v\n%s", file, err, out)
	}
	m.eventually(fmt.Sprintf("version %d on every node", version), func() bool {
		for _, in := range m.instances {
			if in.state().Version != version {
				return false
			}
		}
		return true
	})
}

// eventually polls until ok returns true. It fails the test if that takes longer than waitTimeout; what says in the
// message what the test has waited for.
func (m *mesh) eventually(what string, ok func() bool) {
	m.t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if ok() {
			return
		}
	}
	m.t.Fatalf("timed out waiting for %s", what)
}

// state reads GET /v1/state of the node. The zero state means that the node did not answer.
func (in *instance) state() admin.State {
	var st admin.State
	_ = getJSON("http://"+in.admin+"/v1/state", &st)
	return st
}

// counts returns the request counts of the backend server.
func (in *instance) counts() backend.Counts {
	var c backend.Counts
	if err := getJSON("http://"+in.backendAddress+"/_standin/counts", &c); err != nil {
		panic(fmt.Sprintf("cannot read the request counts of the backend server of %s: %v", in.id, err))
	}
	return c
}

// runs returns how often requests with the key ran at all backend servers together.
func (m *mesh) runs(key string) int {
	n := 0
	for _, in := range m.instances {
		n += in.counts().Keys[key]
	}
	return n
}

var client = &http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func getJSON(url string, v any) error {
	resp, err := client.Get(url)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(v)
}

// response holds the parts of an HTTP response that tests check, or the error of the call.
type response struct {
	status          int
	outcome, reason string
	body            string
	err             error
}

// call sends one request to the callers address of a node. key may be empty; headers alternates names and values.
func call(callers, method, path, key, body string, headers ...string) response {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+callers+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return response{err: err}
	}
	// Without GetBody the HTTP client cannot resend the request after a connection failure.
	req.GetBody = nil
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := client.Do(req)
	if err != nil {
		return response{err: err}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, outcome: resp.Header.Get("Ml-Outcome"),
		reason: resp.Header.Get("Ml-Reason"), body: string(b), err: err}
}

func (resp response) succeeded() bool { return resp.err == nil && resp.status == http.StatusOK }

// Listeners use ports below the ephemeral range, so that no outgoing connection can take a port between its selection
// and the start of the process that listens on it. Each test run on a machine reserves a block of ports by listening on
// the first port of the block.
const (
	firstPort     = 11000
	portsPerBlock = 1000
	blockCount    = 20
)

var lastPort atomic.Int32

// reservePorts reserves a block of ports until the returned listener is closed.
func reservePorts() (net.Listener, error) {
	for b := range int32(blockCount) {
		first := firstPort + b*portsPerBlock
		if l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", loopback, first)); err == nil {
			lastPort.Store(first)
			return l, nil
		}
	}
	return nil, fmt.Errorf("all %d port blocks from port %d are in use", blockCount, firstPort)
}

const loopback = "127.0.0.1"

// freeAddress returns an address on ip that no other test uses.
func freeAddress(t *testing.T, ip string) string {
	t.Helper()
	for {
		port := lastPort.Add(1)
		if port%portsPerBlock == 0 {
			t.Fatal("no free port left in the port block of this run")
		}
		address := fmt.Sprintf("%s:%d", ip, port)
		if canListen(address) {
			return address
		}
	}
}

// canListen reports whether a process can listen on the address. The lock keeps other goroutines from starting a process
// meanwhile: until its exec, the child would hold a copy of the listener, and the port would stay in use after Close.
func canListen(address string) bool {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	l, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	l.Close()
	return true
}
