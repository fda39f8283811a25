package soak

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/monsoonlatch/monsoonlatch/internal/standin/metastore"
)

// Ports of a VM, the same on each VM.
const (
	portCallers = 7001 + iota
	portPeers
	portReady
	portAnnouncements
	portControl
	portMetrics
	portBackend
	portStore
)

const (
	// drainLimit, gracePeriod and applyLimit are the time limits in the settings file of each VM: from an acknowledged
	// drain to the last new request, for a stop of the node, and for applying a new configuration.
	drainLimit  = 2 * time.Second
	gracePeriod = 6 * time.Second
	applyLimit  = 2 * time.Second
	// settleTime is how long a node must have been undisturbed before time limits are checked for it.
	settleTime = 3 * time.Second
	// recoveryLimit is the time within which the mesh must serve again after all its node processes were killed.
	recoveryLimit = 15 * time.Second
)

// vm is a simulated VM of the mesh: a node in a separate process, the links to the node and from it to the store, and a
// backend server in this process.
type vm struct {
	name, service, zone string
	// publicIP is the IP address that other VMs use; the links listen on it. The node listens on nodeIP.
	publicIP, nodeIP netip.Addr
	program, dir     string
	checker          *checker
	stallDetector    *stallDetector
	backend          *backendServer
	// store is the frontend through which this VM reaches the store.
	store *storeFrontend
	// links forward connections to the node, and from it to the store.
	links []*link
	// disturbance is the disturbance by any fault or planned action on the VM.
	disturbance disturbance
	// pauses is the disturbance by pauses of the node.
	pauses disturbance

	processMu sync.Mutex // Serialises stops, kills and pauses of the process.
	mu        sync.Mutex
	cmd       *exec.Cmd
	// endExpected states that the process was sent a signal that ends it.
	endExpected bool
	ended       chan struct{}
	// nodeStarts counts the starts of the node.
	nodeStarts atomic.Int64
}

// storeFrontend is the store's HTTP frontend for one VM. It can reject this VM's calls or leave them without a
// response.
type storeFrontend struct {
	store *metastore.Store
	// status is the HTTP status with which calls are rejected, or 0.
	status atomic.Int64
	// silent states that calls get no response.
	silent atomic.Bool
}

func (f *storeFrontend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch status := int(f.status.Load()); {
	case f.silent.Load():
		<-r.Context().Done()
	case status != 0:
		w.WriteHeader(status)
	default:
		f.store.ServeHTTP(w, r)
	}
}

func (v *vm) address(port int) string { return netip.AddrPortFrom(v.nodeIP, uint16(port)).String() }

func (v *vm) publicAddress(port int) string {
	return netip.AddrPortFrom(v.publicIP, uint16(port)).String()
}

func (v *vm) backendAddress() string { return v.address(portBackend) }

// setUp starts the store's frontend and the links and writes the settings file.
func (v *vm) setUp(store *metastore.Store) error {
	v.store = &storeFrontend{store: store}
	ln, err := net.Listen("tcp", v.address(portStore))
	if err != nil {
		return err
	}
	server := &http.Server{Handler: v.store, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(ln) }() // Runs until this process ends.
	for _, port := range []int{portPeers, portControl, portStore} {
		l, err := newLink(v.publicAddress(port), v.address(port))
		if err != nil {
			return err
		}
		v.links = append(v.links, l)
	}
	return os.WriteFile(v.settingsPath(), []byte(v.settings()), 0o600)
}

func (v *vm) settingsPath() string { return filepath.Join(v.dir, v.name+".toml") }

func (v *vm) logPath() string { return filepath.Join(v.dir, v.name+".log") }

func (v *vm) settings() string {
	return fmt.Sprintf(`[self]
nodeName = %q
ip = %q
zone = %q
region = "region"
appAddr = %q
service = %q
limits = { memoryMb = 200 }
[network]
internalPorts = [%d, %d]
[network.listen]
inbound = %q
outbound = %q
ready = %q
control = %q
[platform]
heartbeatMs = %d
platform = { address = %q }
[terms.bounds]
drainMs = %d
graceS = %d
configApplyMs = %d
retryBudgetRatio = 0.2
retryBudgetSlack = 60
budgetWindowS = 10
revokeMs = 5000
revokeFailClosed = false
`, v.name, v.publicIP, v.zone, v.backendAddress(), v.service, portControl, portControl,
		v.publicAddress(portPeers), v.publicAddress(portCallers), v.publicAddress(portReady),
		v.publicAddress(portAnnouncements), heartbeatInterval.Milliseconds(), v.publicAddress(portStore),
		drainLimit.Milliseconds(), int(gracePeriod.Seconds()), applyLimit.Milliseconds())
}

// start starts the node's process.
func (v *vm) start() error {
	out, err := os.OpenFile(v.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(v.program, "--file", v.settingsPath(), "--bind", v.nodeIP.String(),
		"--metrics", v.address(portMetrics))
	cmd.Stdout, cmd.Stderr = out, out
	// The kernel kills the node when this process ends, whatever the cause.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	end := v.beginDisturbance()
	defer end()
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	v.mu.Lock()
	v.cmd, v.endExpected, v.ended = cmd, false, ended
	v.mu.Unlock()
	v.nodeStarts.Add(1)
	go func() {
		err := cmd.Wait()
		v.mu.Lock()
		endExpected := v.endExpected
		v.mu.Unlock()
		if !endExpected {
			v.checker.addViolation("ended", "node %s exited unexpectedly: %v", v.name, err)
		}
		close(ended)
	}()
	return nil
}

// beginDisturbance begins a planned disturbance of this VM only.
func (v *vm) beginDisturbance() (end func()) { return v.checker.beginDisturbance(&v.disturbance) }

// signal sends a signal to the process; final states that the signal ends the process.
func (v *vm) signal(s syscall.Signal, final bool) (ended <-chan struct{}) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.endExpected = v.endExpected || final
	_ = v.cmd.Process.Signal(s) // Fails only if the process has exited.
	return v.ended
}

// running reports whether the process has not exited yet.
func (v *vm) running() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	select {
	case <-v.ended:
		return false
	default:
		return true
	}
}

// stop sends SIGTERM to the node. It kills the node and returns an error if the node does not exit within its grace
// period.
func (v *vm) stop() error {
	ended := v.signal(syscall.SIGTERM, true)
	select {
	case <-ended:
	case <-time.After(gracePeriod + time.Second):
		<-v.signal(syscall.SIGKILL, true)
		return errors.New("process did not exit within its grace period and was killed")
	}
	return nil
}

// restart starts the node again unless it is running.
func (v *vm) restart() {
	if v.running() {
		return
	}
	if err := v.start(); err != nil {
		v.checker.addViolation("ended", "node %s failed to start: %v", v.name, err)
	}
}

func (v *vm) kill(downTime time.Duration) {
	if !v.processMu.TryLock() {
		v.signal(syscall.SIGKILL, true) // The holder of the lock restarts the process.
		return
	}
	defer v.processMu.Unlock()
	<-v.signal(syscall.SIGKILL, true)
	time.Sleep(downTime)
	v.restart()
}

func (v *vm) pause(duration time.Duration) {
	v.processMu.Lock()
	defer v.processMu.Unlock()
	v.signal(syscall.SIGSTOP, false)
	time.Sleep(duration)
	v.signal(syscall.SIGCONT, false)
	v.restart()
}

func (v *vm) plannedStop(downTime time.Duration) {
	v.processMu.Lock()
	defer v.processMu.Unlock()
	defer v.beginDisturbance()()
	if err := v.stop(); err != nil && v.checker.undisturbed(&v.checker.faults, time.Now(), gracePeriod+settleTime) {
		v.checker.addViolation("stop", "node %s: %v", v.name, err)
	}
	time.Sleep(downTime)
	v.restart()
}

// vmAddresses returns the IP addresses of a VM. They depend on the process id, so that concurrent runs do not compete
// for the same ports.
func vmAddresses(pid, index int) (publicIP, nodeIP netip.Addr) {
	address := func(lastByte int) netip.Addr {
		return netip.AddrFrom4([4]byte{127, byte(100 + (pid>>8)%100), byte(pid), byte(lastByte)})
	}
	return address(2*index + 1), address(2*index + 2)
}

func vmName(index int) string { return "vm-" + strconv.Itoa(index) }
