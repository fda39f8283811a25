package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/monsoonlatch/monsoonlatch/internal/standin/metastore"
)

// Ports of a VM. Each VM has a loopback address of its own, so that all VMs use the same ports.
const (
	portInbound  = 8300
	portBackend  = 8301
	portReady    = 8302
	portOutbound = 8304
	portControl  = 8306
	portInternal = 7620
	portMetrics  = 7990
	portStore    = 8309
)

// bounds are the figures of terms.bounds that the cases use, with the values of a small deployment.
type bounds struct {
	drainMs, graceS, configApplyMs int
}

var smallDeployment = bounds{drainMs: 2000, graceS: 6, configApplyMs: 2000}

const (
	// nodeProgram is the program that the deploy file starts on each VM.
	nodeProgram = "target/monsoonlatch-sidecar"
	// heartbeat is heartbeatMs of a small deployment.
	heartbeat = 1500 * time.Millisecond
	// stability is stabilityMs of a small deployment.
	stability = 3 * time.Second
	// restartDelay is the time after which the platform starts a process again that has ended.
	restartDelay = 300 * time.Millisecond
)

// world is a small deployment: VMs with a node process each, the platform's store, and the record of what was seen.
type world struct {
	dir    string
	prefix string
	store  *metastore.Store
	vms    []*vm

	mu      sync.Mutex
	started time.Time
	record  *os.File
}

func newWorld(recordPath string) (*world, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, store: metastore.New(), started: time.Now(), record: record}
	for range 50 {
		w.prefix = fmt.Sprintf("127.%d.%d.", 1+rand.IntN(250), 1+rand.IntN(250))
		ln, err := net.Listen("tcp", w.address(250, portStore))
		if err != nil {
			continue
		}
		server := &http.Server{Handler: w.store, ReadHeaderTimeout: 5 * time.Second}
		go func() { _ = server.Serve(ln) }() // Runs until this process ends.
		return w, nil
	}
	return nil, errors.New("no free loopback addresses")
}

func (w *world) address(host, port int) string {
	return w.prefix + strconv.Itoa(host) + ":" + strconv.Itoa(port)
}

// note writes a line to the record, with the time since the start in seconds.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all node processes and removes the temporary folder.
func (w *world) close() {
	for _, v := range w.vms {
		v.kill()
	}
	_ = w.record.Close()
	_ = os.RemoveAll(w.dir)
}

// vm is a VM with a node process. The backend server beside it is an instance in this process.
type vm struct {
	w             *world
	host          int
	name          string
	zone, service string
	bounds        bounds

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
}

func (w *world) addVM(zone, service string, b bounds) (*vm, error) {
	host := 1 + len(w.vms)
	v := &vm{w: w, host: host, name: fmt.Sprintf("sidecar-%s-%d", zone, host), zone: zone, service: service, bounds: b}
	w.vms = append(w.vms, v)
	if err := v.writeSettings(); err != nil {
		return nil, err
	}
	return v, v.start()
}

func (v *vm) address(port int) string { return v.w.address(v.host, port) }

func (v *vm) settingsPath() string { return filepath.Join(v.w.dir, v.name+".toml") }

// writeSettings writes the settings file in one step, so that the node never reads a part of it.
func (v *vm) writeSettings() error {
	text := fmt.Sprintf(`[self]
nodeName = %q
role = "node"
machineClass = "sidecar"
serves = ["sidecar"]
ip = %q
zone = %q
region = "region"
countsAsLoss = false
bootstrap = true
appAddr = %q
service = %q
[self.limits]
cpuShare = 0.32
cores = 1
memoryMb = 284
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[network]
internalPorts = [%d, %d]
seeds = []
[network.listen]
inbound = %q
outbound = %q
ready = %q
control = %q
[network.zones]
zone-a = "region"
zone-b = "region"
[platform]
discovery = "local"
entry = "local"
heartbeatMs = %d
[platform.platform]
address = %q
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
[terms]
contracts = ["base", "drain", "config", "cost", "retry", "recover", "platform"]
[terms.bounds]
seedLagS = 3
addrReuseS = 2
stabilityMs = %d
ackMs = 4000
catchUpS = 4
drainMs = %d
graceS = %d
lossSlackMs = 200
configApplyMs = %d
rollbackSlackMs = 250
maxStretchMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
retryBudgetSlack = 56
recoveryS = 15
`, v.name, v.w.prefix+strconv.Itoa(v.host), v.zone, v.address(portBackend), v.service, portInternal, portInternal+15,
		v.address(portInbound), v.address(portOutbound), v.address(portReady), v.address(portControl), heartbeat.Milliseconds(),
		v.w.address(250, portStore), stability.Milliseconds(), v.bounds.drainMs, v.bounds.graceS, v.bounds.configApplyMs)
	next := v.settingsPath() + ".next"
	if err := os.WriteFile(next, []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(next, v.settingsPath())
}

// start starts the node as the deploy file says.
func (v *vm) start() error {
	out, err := os.OpenFile(filepath.Join(v.w.dir, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(nodeProgram)
	cmd.Env = append(os.Environ(), "MONSOONLATCH_NODE_FILE="+v.settingsPath(), "MONSOONLATCH_METRICS="+v.address(portMetrics))
	cmd.Stdout, cmd.Stderr = out, out
	// The kernel kills the node when this process ends, whatever the cause.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	v.mu.Lock()
	v.cmd, v.ended = cmd, ended
	v.mu.Unlock()
	v.w.note("node %s starts", v.name)
	go func() {
		err := cmd.Wait()
		v.w.note("node %s has ended: %v", v.name, err)
		close(ended)
	}()
	return nil
}

func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.w.note("node %s gets %v", v.name, s)
	_ = v.cmd.Process.Signal(s) // Fails only if the process has ended.
}

// stop stops the node as the platform does: SIGTERM, and SIGKILL after graceS.
func (v *vm) stop() {
	v.signal(syscall.SIGTERM)
	select {
	case <-v.ended:
	case <-time.After(time.Duration(v.bounds.graceS) * time.Second):
		v.kill()
	}
}

func (v *vm) kill() {
	v.mu.Lock()
	cmd, ended := v.cmd, v.ended
	v.mu.Unlock()
	select {
	case <-ended:
		return
	default:
	}
	v.w.note("node %s gets SIGKILL", v.name)
	_ = cmd.Process.Kill() // Fails only if the process has ended.
	<-ended
}

// ready asks the node whether it is ready.
func (v *vm) ready(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+v.address(portReady)+"/ready", http.NoBody)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all nodes are ready.
func (w *world) awaitReady() error {
	deadline := time.Now().Add(20 * time.Second)
	for _, v := range w.vms {
		for !v.ready(context.Background()) {
			if time.Now().After(deadline) {
				return fmt.Errorf("node %s does not become ready", v.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
