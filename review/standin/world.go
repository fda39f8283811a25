package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Bounds in the settings of each node, as in the settings of a small deployment.
const (
	heartbeatInterval = 1500 * time.Millisecond
	drainTime         = 2 * time.Second
	grace             = 6 * time.Second
	applyTime         = 2 * time.Second
	// stability is how long a machine must have been undisturbed to be in touch.
	stability = 3 * time.Second
)

// Offsets from the first port, which is the same on all machines.
const (
	portOutbound = iota
	portInbound
	portReady
	portControl
	portMetrics
	portApp
	portInternal
	portCount
)

// world holds all parts of one case.
type world struct {
	trouble   bool
	store     *store
	storeAddr string
	dir       string
	firstPort int
	network   [2]byte
	nodes     []*node
	instances []*instance

	start  time.Time
	mu     sync.Mutex
	file   *os.File
	record *bufio.Writer
}

func newWorld(recordPath string, trouble bool) (*world, error) {
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	w := &world{trouble: trouble, store: newStore(), dir: dir, start: time.Now(), file: file, record: bufio.NewWriter(file),
		firstPort: 20000 + rand.IntN(10000), network: [2]byte{byte(20 + rand.IntN(200)), byte(rand.IntN(250))}}
	ln, err := net.Listen("tcp", w.ip(250)+":0")
	if err != nil {
		return nil, err
	}
	w.storeAddr = ln.Addr().String()
	go func() { _ = http.Serve(ln, w.store) }() // Runs until this process ends.
	w.logf("world", "trouble %v", trouble)
	return w, nil
}

// ip returns the loopback address of a machine.
func (w *world) ip(n int) string { return fmt.Sprintf("127.%d.%d.%d", w.network[0], w.network[1], n) }

// logf adds a line to the record: milliseconds since the start, who, what.
func (w *world) logf(who, format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.1f %-12s %s\n", float64(time.Since(w.start).Microseconds())/1000, who, fmt.Sprintf(format, args...))
}

// close ends all processes and removes the temporary folder. KEEP=1 keeps it.
func (w *world) close() {
	for _, n := range w.nodes {
		n.kill()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = w.record.Flush() // The exit code tells the result.
	_ = w.file.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	}
}

// node is one process of the project on a machine of its own.
type node struct {
	w                   *world
	name, service, zone string
	ip                  string

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
}

// addNode adds a machine without starting its process.
func (w *world) addNode(name, service, zone string) *node {
	n := &node{w: w, name: name, service: service, zone: zone, ip: w.ip(len(w.nodes) + 1)}
	w.nodes = append(w.nodes, n)
	return n
}

func (n *node) addr(port int) string { return fmt.Sprintf("%s:%d", n.ip, n.w.firstPort+port) }

const settingsFormat = `[self]
nodeName = %q
role = "node"
machineClass = "sidecar"
serves = ["sidecar"]
ip = %q
zone = %q
region = "region"
bootstrap = true
appAddr = %q
service = %q
[self.limits]
cpuShare = 0.32
cores = 1
memoryMb = 284
maxFds = 4100
linkMbps = 1000.0
[network]
internalPorts = [%d, %d]
seeds = []
[network.listen]
inbound = %q
outbound = %q
ready = %q
control = %q
[platform]
discovery = "local"
entry = "local"
heartbeatMs = 1500
[platform.platform]
address = %q
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
[terms]
contracts = ["base","drain","config","cost","retry","recover","platform"]
[terms.bounds]
seedLagS = 3
addrReuseS = 2
stabilityMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 6
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
maxStretchMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
retryBudgetSlack = 56
recoveryS = 15
`

// run starts the process with the command of the deploy file. The bind address is set because all machines share the
// loopback interface.
func (n *node) run() error {
	first := n.w.firstPort
	text := fmt.Sprintf(settingsFormat, n.name, n.ip, n.zone, n.addr(portApp), n.service, first+portInternal, first+portCount-1,
		n.addr(portInbound), n.addr(portOutbound), n.addr(portReady), n.addr(portControl), n.w.storeAddr)
	path := filepath.Join(n.w.dir, n.name+".toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(n.w.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command("target/monsoonlatch-sidecar")
	cmd.Env = append(os.Environ(), "MONSOONLATCH_NODE_FILE="+path, "MONSOONLATCH_BIND="+n.ip, "MONSOONLATCH_METRICS="+n.addr(portMetrics))
	cmd.Stdout, cmd.Stderr = log, log
	// The kernel kills the node if this process ends first.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	n.mu.Lock()
	n.cmd, n.ended = cmd, ended
	n.mu.Unlock()
	n.w.logf(n.name, "node process started")
	return nil
}

// signal sends a signal to the process and returns a channel that is closed when the process has ended.
func (n *node) signal(s syscall.Signal) <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd == nil {
		done := make(chan struct{})
		close(done)
		return done
	}
	_ = n.cmd.Process.Signal(s) // Fails only if the process has ended.
	return n.ended
}

func (n *node) kill() { <-n.signal(syscall.SIGKILL) }

// isReady asks the node as the platform does.
func (n *node) isReady() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + n.addr(portReady) + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// startAll starts all processes and instances and waits until all nodes are ready and the instances are announced.
func (w *world) startAll() error {
	for _, n := range w.nodes {
		if err := n.run(); err != nil {
			return err
		}
	}
	for _, in := range w.instances {
		if err := in.listen(); err != nil {
			return err
		}
		go in.heartbeats()
	}
	deadline := time.Now().Add(15 * time.Second)
	for _, n := range w.nodes {
		for !n.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("node %s is not ready", n.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	w.logf("world", "all nodes are ready")
	// Traffic starts some seconds after the machines, as on the platform.
	time.Sleep(8 * time.Second)
	return nil
}
