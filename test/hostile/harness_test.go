// Package hostile starts the real node binaries and sends them what clients outside the limits send. It checks that the
// process lives and stays within the memory and the descriptors of its VM, and that ordinary callers are answered
// afterwards. It checks no times and no share of served requests, so that its results don't depend on the machine.
package hostile

import (
	"bufio"
	"bytes"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/monsoonlatch/monsoonlatch/internal/standin/metastore"
)

const (
	// waitTimeout bounds every wait. It is far longer than any step takes.
	waitTimeout = 90 * time.Second
	// crowdTime is how long a crowd of clients sends.
	crowdTime = 2 * time.Second
	// returnTimeout is how long after a crowd the memory may take to be back.
	returnTimeout = 30 * time.Second
	// crowdSize is the number of connections of a crowd.
	crowdSize = 64
	// memoryMb is the memory of the VM in the settings file. It is lower than that of the smallest VM, 184 MB, so that a
	// crowd of tens of connections exceeds it if nothing bounds them.
	memoryMb = 64
	// maxFds is the number of descriptors of the smallest VM.
	maxFds = 4100
	// fewFds is the number of descriptors in the test with many connections.
	fewFds       = 128
	samplePeriod = 50 * time.Millisecond
)

// Ports of the node on its loopback address.
const (
	portCallers = 7001 + iota
	portPeers
	portReady
	portAnnouncements
	portControl
	portOperators
)

// binaries is the directory that holds the built commands.
var binaries string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "monsoonlatch-hostile-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binaries = dir
	if out, err := exec.Command("go", "build", "-o", dir, "../../cmd/...").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// node is a running node with its stand-ins.
type node struct {
	t       *testing.T
	ip      netip.Addr
	cmd     *exec.Cmd
	log     string
	ended   chan struct{}
	store   *metastore.Store
	backend *httptest.Server
	// ports maps the names of the listeners to their ports.
	ports map[string]int
	// path is the path of an ordinary request.
	path string
}

var addressCount atomic.Int32

// nextIP returns a loopback address that no other test run uses, so that ports can be fixed.
func nextIP() netip.Addr {
	pid := os.Getpid()
	return netip.AddrFrom4([4]byte{127, byte(80 + pid>>8%100), byte(pid), byte(addressCount.Add(1))})
}

// longAnswer is the size of the answer to paths that contain "long". It exceeds the socket buffers of a connection.
const longAnswer = 8 << 20

// bootID identifies the start of the backend server.
const bootID = "boot-1"

func serveBackend(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
	w.Header().Set("X-Instance-Id", bootID)
	w.Header().Set("X-Server-Seal", "seal")
	_, _ = io.Copy(io.Discard, r.Body) // The node closes the connection if its caller has gone.
	if !strings.Contains(r.URL.Path, "long") {
		_, _ = w.Write([]byte("ok")) // Fails only if the node has gone.
		return
	}
	part := bytes.Repeat([]byte("x"), 64<<10)
	for range longAnswer / len(part) {
		if _, err := w.Write(part); err != nil {
			return
		}
	}
}

const configuration = `{"version":1,"resources":[
 {"type":"services","metadata":{"name":"desk"},"spec":{}},
 {"type":"routes","metadata":{"name":"desk"},"spec":{"host":"desk.test","pathPrefix":"/","kind":"safe","timeoutMs":10000,"targetLatencyMs":400,"priority":1,"service":"desk","maxAttempts":1}},
 {"type":"limits","metadata":{},"spec":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}]}`

// startSidecar starts monsoonlatch-sidecar on a VM with the given number of descriptors, and stand-ins for the store and
// the backend server.
func startSidecar(t *testing.T, fds int) *node {
	t.Helper()
	n := &node{t: t, ip: nextIP(), store: metastore.New(), path: "/",
		ports: map[string]int{"callers": portCallers, "peers": portPeers, "ready": portReady, "announcements": portAnnouncements,
			"control": portControl, "operators": portOperators}}
	n.backend = httptest.NewServer(http.HandlerFunc(serveBackend))
	t.Cleanup(n.backend.Close)
	store := httptest.NewServer(n.store)
	t.Cleanup(func() { store.CloseClientConnections(); store.Close() })
	settings := fmt.Sprintf(`[self]
nodeName = "node-1"
ip = %q
zone = "zone-a"
region = "region"
appAddr = %q
service = "desk"
limits = { memoryMb = %d, maxFds = %d }
[network]
internalPorts = [%d, %d]
[network.listen]
inbound = %q
outbound = %q
ready = %q
control = %q
[platform]
heartbeatMs = 1000
platform = { address = %q }
[terms.bounds]
drainMs = 2000
graceS = 6
configApplyMs = 2000
retryBudgetRatio = 0.2
retryBudgetSlack = 60
`, n.ip, n.backend.Listener.Addr(), memoryMb, fds, portControl, portControl, n.address("peers"), n.address("callers"),
		n.address("ready"), n.address("announcements"), store.Listener.Addr())
	path := filepath.Join(t.TempDir(), "settings.toml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	n.start("monsoonlatch-sidecar", "--file", path, "--metrics", n.address("operators"))
	t.Cleanup(n.announceRegularly())
	return n
}

// daemonMemoryMb is the memory of the smallest VM. monsoonlatchd has no setting for it.
const daemonMemoryMb = 184

// startDaemon starts monsoonlatchd with stand-ins for the platform and the backend server, and waits until it answers.
func startDaemon(t *testing.T) *node {
	t.Helper()
	n := &node{t: t, ip: nextIP(), path: "/capsules/1",
		ports: map[string]int{"callers": portCallers, "peers": portPeers, "control": portControl, "operators": portOperators}}
	platform, backend := &node{t: t}, &node{t: t}
	platformAddress, backendAddress := n.ip.String()+":7101", n.ip.String()+":7102"
	platform.start("platform-standin", "--listen", platformAddress)
	n.start("monsoonlatchd", "--id", "node-1", "--service", "lookup-desk", "--availability-zone", "zone-a", "--callers", n.address("callers"),
		"--peers", n.address("peers"), "--control", n.address("control"), "--admin", n.address("operators"),
		"--backend-server", backendAddress, "--platform", "http://"+platformAddress, "--membership-lag", "2s")
	backend.start("backend-standin", "--listen", backendAddress, "--service", "lookup-desk", "--node-admin", n.address("operators"),
		"--node-callers", n.address("callers"))
	if !n.eventually(func() bool {
		cmd := exec.Command(filepath.Join(binaries, "monsoonlatch"), "note", "submit", "../../examples/nairobi/01-initial.yaml")
		cmd.Env = append(os.Environ(), "MONSOONLATCH_PLATFORM=http://"+platformAddress)
		return cmd.Run() == nil
	}) {
		t.Fatal("the release note cannot be submitted")
	}
	n.mustAnswer("before the crowd")
	return n
}

// startSettled starts a sidecar, gives it a configuration and waits until it answers.
func startSettled(t *testing.T, fds int) *node {
	t.Helper()
	n := startSidecar(t, fds)
	n.publish()
	n.mustAnswer("before the crowd")
	return n
}

func (n *node) publish() { n.store.Put("config", "main", configuration) }

func (n *node) address(listener string) string {
	return netip.AddrPortFrom(n.ip, uint16(n.ports[listener])).String()
}

// start starts the node's process until the test ends. If the test fails, the end of its log is written.
func (n *node) start(binary string, args ...string) {
	n.t.Helper()
	n.log = filepath.Join(n.t.TempDir(), "log")
	out, err := os.Create(n.log)
	if err != nil {
		n.t.Fatal(err)
	}
	defer out.Close()
	n.cmd, n.ended = exec.Command(filepath.Join(binaries, binary), args...), make(chan struct{})
	n.cmd.Stdout, n.cmd.Stderr = out, out
	// The kernel kills the node when the test process ends, whatever the cause.
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		n.t.Fatal(err)
	}
	go func() { _ = n.cmd.Wait(); close(n.ended) }()
	n.t.Cleanup(func() {
		_ = n.cmd.Process.Kill() // Fails only if the process has ended.
		<-n.ended
		if n.t.Failed() {
			b, _ := os.ReadFile(n.log)
			n.t.Logf("%s:\n%s", binary, b[max(0, len(b)-2<<10):])
		}
	})
}

func (n *node) running() bool {
	select {
	case <-n.ended:
		return false
	default:
		return true
	}
}

// announceRegularly sends the heartbeats of the backend server until the returned function is called.
func (n *node) announceRegularly() (stop func()) {
	done := make(chan struct{})
	born := time.Now().UnixMilli()
	go func() {
		client := &http.Client{Timeout: time.Second}
		for sequence := 1; ; sequence++ {
			body, _ := json.Marshal(map[string]any{"service": "desk", "address": n.backend.Listener.Addr().String(), "zone": "zone-a",
				"version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0, "sequence": sequence, "born": born})
			resp, err := client.Post("http://"+n.address("announcements")+"/rpc?call=instances.heartbeat&of="+bootID, "application/json", bytes.NewReader(body))
			if err == nil {
				resp.Body.Close()
			}
			select {
			case <-done:
				return
			case <-time.After(time.Second):
			}
		}
	}()
	return func() { close(done) }
}

// ordinary sends one ordinary request on a connection of its own and returns the status, or 0 without an answer.
func (n *node) ordinary() int {
	client := &http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(http.MethodGet, "http://"+n.address("callers")+n.path, strings.NewReader("order"))
	if err != nil {
		n.t.Fatal(err)
	}
	req.Host = "desk.test"
	req.Header.Set("X-Attempt-Id", "ordinary")
	req.Header.Set("X-Deadline-Ms", "5000")
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

func (n *node) mustAnswer(when string) {
	n.t.Helper()
	status := 0
	if !n.eventually(func() bool { status = n.ordinary(); return status == http.StatusOK }) {
		n.t.Fatalf("%s: no ordinary request is answered with 200; last status %d, process running: %v", when, status, n.running())
	}
}

// eventually polls until ok returns true, and reports false if it does not within waitTimeout or the process ends.
func (n *node) eventually(ok func() bool) bool { return n.within(waitTimeout, ok) }

func (n *node) within(timeout time.Duration, ok func() bool) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end) && n.running(); time.Sleep(samplePeriod) {
		if ok() {
			return true
		}
	}
	return false
}

// statusKB returns a size from /proc/PID/status in kB, or 0 if the process has ended.
func (n *node) statusKB(field string) int {
	b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.cmd.Process.Pid))
	for _, line := range strings.Split(string(b), "\n") {
		if rest, ok := strings.CutPrefix(line, field+":"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb
		}
	}
	return 0
}

func (n *node) descriptors() int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", n.cmd.Process.Pid))
	return len(entries)
}

// unreadBytes returns the bytes that wait in the receive buffers of connections to the node's addresses, and of those that
// it has opened to its backend server and other nodes.
func (n *node) unreadBytes() int {
	a := n.ip.As4()
	local := strings.ToUpper(hex.EncodeToString([]byte{a[3], a[2], a[1], a[0]})) + ":"
	f, err := os.Open("/proc/net/tcp")
	if err != nil {
		n.t.Fatal(err)
	}
	defer f.Close()
	own := n.sockets()
	sum := 0
	for s := bufio.NewScanner(f); s.Scan(); {
		fields := strings.Fields(s.Text())
		// The second field is the local address, the fourth the state (0A: listening), the fifth the sizes of the queues,
		// the tenth the inode.
		if len(fields) < 10 || fields[3] == "0A" || !strings.HasPrefix(fields[1], local) && !own[fields[9]] {
			continue
		}
		_, queue, _ := strings.Cut(fields[4], ":")
		size, _ := strconv.ParseInt(queue, 16, 64)
		sum += int(size)
	}
	return sum
}

// sockets returns the inodes of the node's sockets.
func (n *node) sockets() map[string]bool {
	inodes := make(map[string]bool)
	links, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", n.cmd.Process.Pid)) // Fails only for a malformed pattern.
	for _, link := range links {
		target, _ := os.Readlink(link) // Fails if the descriptor has been closed.
		if inode, ok := strings.CutPrefix(target, "socket:["); ok {
			inodes[strings.TrimSuffix(inode, "]")] = true
		}
	}
	return inodes
}

// usage is the highest use of memory and descriptors that was sampled.
type usage struct{ memoryKB, unreadKB, descriptors int }

// watch samples the usage until done is closed.
func (n *node) watch(done <-chan struct{}) (u usage) {
	for {
		unread := n.unreadBytes() / 1024
		u.memoryKB = max(u.memoryKB, n.statusKB("VmRSS")+unread)
		u.unreadKB, u.descriptors = max(u.unreadKB, unread), max(u.descriptors, n.descriptors())
		select {
		case <-done:
			u.memoryKB = max(u.memoryKB, n.statusKB("VmHWM"))
			return u
		case <-time.After(samplePeriod):
		}
	}
}

// endure sends a crowd of clients to a listener and checks the node during and after it.
func (n *node) endure(listener string, size, maxMemoryKB, fds int, client func(c net.Conn, end time.Time)) {
	n.t.Helper()
	before, descriptorsBefore := n.statusKB("VmRSS"), n.descriptors()
	done, result := make(chan struct{}), make(chan usage)
	go func() { result <- n.watch(done) }()
	connections := n.sendCrowd(listener, size, client)
	close(done)
	u := <-result
	n.t.Logf("%d connections: at most %d kB with %d kB unread (bound %d kB), %d descriptors; before %d kB and %d descriptors",
		connections, u.memoryKB, u.unreadKB, maxMemoryKB, u.descriptors, before, descriptorsBefore)
	if !n.running() {
		n.t.Fatal("the process has ended")
	}
	if u.memoryKB > maxMemoryKB {
		n.t.Errorf("the node used %d kB, the VM has %d kB", u.memoryKB, maxMemoryKB)
	}
	if u.descriptors > fds {
		n.t.Errorf("the node used %d descriptors, the VM has %d", u.descriptors, fds)
	}
	n.mustAnswer("after the crowd")
	// An eighth of the memory may stay with the allocator and with caches.
	if !n.within(returnTimeout, func() bool {
		return n.statusKB("VmRSS") <= before+maxMemoryKB/8 && n.descriptors() <= descriptorsBefore+8
	}) {
		n.t.Errorf("long after the crowd the node uses %d kB and %d descriptors, before it %d kB and %d",
			n.statusKB("VmRSS"), n.descriptors(), before, descriptorsBefore)
	}
}

// sendCrowd runs clients that connect again and again, and returns the number of connections that they made.
func (n *node) sendCrowd(listener string, size int, client func(c net.Conn, end time.Time)) int64 {
	var connections atomic.Int64
	var wg sync.WaitGroup
	end := time.Now().Add(crowdTime)
	for range size {
		wg.Go(func() {
			for time.Now().Before(end) {
				if c, err := net.DialTimeout("tcp", n.address(listener), time.Second); err == nil {
					connections.Add(1)
					_ = c.SetDeadline(end) // Fails only if the connection is closed.
					client(c, end)
					c.Close()
				}
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	return connections.Load()
}
