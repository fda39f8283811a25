// Package e2e starts the real binaries as separate processes, kills, freezes and cuts them, and judges the outcomes by
// the counts of the backend stand-ins.
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

// patience bounds every wait. It is far above the time that anything takes, so that a slow machine changes no verdict.
const patience = 90 * time.Second

// keySlack is the bound on membership lag that the nodes are started with; see --membership-lag.
const keySlack = "2s"

var binaries string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

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

// process is one started binary.
type process struct {
	cmd  *exec.Cmd
	log  *bytes.Buffer
	done chan struct{}
}

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
	const most = 4 << 10
	return b[max(0, len(b)-most):]
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

func (p *process) kill() { p.signal(syscall.SIGKILL); <-p.done }

// stop asks for a graceful stop and waits for its end.
func (p *process) stop(t *testing.T) {
	t.Helper()
	p.signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(patience):
		t.Fatal("the process did not stop after SIGTERM")
	}
}

// instance is a node with its backend server. Other nodes reach it through forwarders that a test can cut.
type instance struct {
	id, service, zone, ip                   string
	callers, peers, control, admin, address string
	peerLink, controlLink                   *forwarder.Forwarder
	node, backend                           *process
	nodeArgs                                []string
}

// mesh is a running system.
type mesh struct {
	t        *testing.T
	platform string
	standin  *process
	// platformLinks holds the way to the platform of each availability zone.
	platformLinks map[string]*forwarder.Forwarder
	instances     []*instance
	keys          int
}

// newMesh starts one instance of each service in each zone and waits until they know each other.
func newMesh(t *testing.T, zones, services []string) *mesh {
	t.Helper()
	m := &mesh{t: t, platform: freeAddress(t, loopback), platformLinks: make(map[string]*forwarder.Forwarder)}
	m.standin = start(t, "platform-standin", "--listen", m.platform)
	for _, z := range zones {
		m.platformLinks[z] = m.forward(m.platform)
		for _, s := range services {
			m.instances = append(m.instances, m.prepare(z, s))
		}
	}
	for _, in := range m.instances {
		m.startInstance(in)
	}
	m.waitMembers(len(m.instances))
	return m
}

func (m *mesh) forward(target string) *forwarder.Forwarder {
	f, err := forwarder.New(target)
	if err != nil {
		m.t.Fatal(err)
	}
	m.t.Cleanup(f.Close)
	return f
}

func (m *mesh) prepare(zone, service string) *instance {
	// A node dials others from the address of its peers listener, so that a forwarder can tell the nodes apart.
	in := &instance{id: zone + "-" + service, service: service, zone: zone, ip: fmt.Sprintf("127.0.1.%d", len(m.instances)+1)}
	for _, a := range []*string{&in.callers, &in.admin, &in.address} {
		*a = freeAddress(m.t, loopback)
	}
	in.peers, in.control = freeAddress(m.t, in.ip), freeAddress(m.t, in.ip)
	in.peerLink, in.controlLink = m.forward(in.peers), m.forward(in.control)
	return in
}

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
		"--backend-server", in.address, "--platform", "http://" + m.platformLinks[in.zone].Addr(), "--seeds", seeds,
		"--membership-lag", keySlack}
	m.startNode(in)
	m.startBackend(in)
}

func (m *mesh) startNode(in *instance) { in.node = start(m.t, "monsoonlatchd", in.nodeArgs...) }

func (m *mesh) startBackend(in *instance, args ...string) {
	in.backend = start(m.t, "backend-standin", append([]string{"--listen", in.address, "--service", in.service,
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

func (m *mesh) cli(args ...string) ([]byte, error) {
	cmd := exec.Command(filepath.Join(binaries, "monsoonlatch"), args...)
	cmd.Env = append(os.Environ(), "MONSOONLATCH_PLATFORM=http://"+m.platform)
	return cmd.Output()
}

// submit submits a note of the examples and waits until every node serves its version.
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

func (m *mesh) eventually(what string, ok func() bool) {
	m.t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if ok() {
			return
		}
	}
	m.t.Fatalf("not reached: %s", what)
}

// state reads the node's own view; the zero state means that it did not answer.
func (in *instance) state() admin.State {
	var st admin.State
	_ = getJSON("http://"+in.admin+"/v1/state", &st)
	return st
}

func (in *instance) counts() backend.Counts {
	var c backend.Counts
	if err := getJSON("http://"+in.address+"/_standin/counts", &c); err != nil {
		panic(fmt.Sprintf("no counts at the backend server of %s, so no verdict: %v", in.id, err))
	}
	return c
}

// runs adds up the runs of a key at all backend servers.
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

// answer is what a caller got.
type answer struct {
	status          int
	outcome, reason string
	body            string
	err             error
}

// call sends one request to a node as a caller does. The key may be empty. headers are names and values in turn.
func call(callers, method, path, key, body string, headers ...string) answer {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+callers+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return answer{err: err}
	}
	// A body that cannot be rewound keeps the client library from sending the request twice.
	req.GetBody = nil
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := client.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, outcome: resp.Header.Get("Ml-Outcome"), reason: resp.Header.Get("Ml-Reason"), body: string(b), err: err}
}

func (a answer) answered() bool { return a.err == nil && a.status == http.StatusOK }

// Ports of listeners are below the range from which the system takes ports for outgoing connections, so that none of
// these can take a port between its choice and the start of the process that listens there. Test runs on one machine
// take different blocks of ports; each holds the first port of its block.
const (
	firstPort  = 11000
	blockPorts = 1000
	blocks     = 20
)

var lastPort atomic.Int32

// reservePorts takes a block of ports until the listener is closed.
func reservePorts() (net.Listener, error) {
	for b := range int32(blocks) {
		first := firstPort + b*blockPorts
		if l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", loopback, first)); err == nil {
			lastPort.Store(first)
			return l, nil
		}
	}
	return nil, fmt.Errorf("all %d blocks of ports from %d are in use", blocks, firstPort)
}

const loopback = "127.0.0.1"

// freeAddress returns an address that no other test has got.
func freeAddress(t *testing.T, ip string) string {
	t.Helper()
	for {
		port := lastPort.Add(1)
		if port%blockPorts == 0 {
			t.Fatal("no free port is left in the block of this run")
		}
		address := fmt.Sprintf("%s:%d", ip, port)
		l, err := net.Listen("tcp", address)
		if err == nil {
			l.Close()
			return address
		}
	}
}
