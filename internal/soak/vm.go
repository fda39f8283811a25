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

// Time limits. The settings file of each VM holds the first three.
const (
	drainTime = 2 * time.Second
	grace     = 6 * time.Second
	apply     = 2 * time.Second
	// stability is how long a node must have been undisturbed before time limits are checked for it.
	stability = 3 * time.Second
	// recovery is the time within which the mesh must serve again after all its node processes were killed.
	recovery = 15 * time.Second
)

// vm is a simulated VM of the mesh: a node in a separate process, the links to the node and from it to the store, and a
// backend server in this process.
type vm struct {
	name, service, zone string
	// outside is the IP address that other VMs use; the links listen on it. inside is the one that the node listens on.
	outside, inside netip.Addr
	program, dir    string
	ledger          *ledger
	stalls          *stallMeter
	backend         *backendServer
	// store is the frontend through which this VM reaches the store.
	store *storeView
	// links forward connections to the node, and from it to the store.
	links []*link
	// touch is the disturbance by any fault or planned work on the VM.
	touch disturbance
	// frozen is the disturbance by pauses of the node.
	frozen disturbance

	work sync.Mutex // Serialises stops, kills and pauses of the process.
	mu   sync.Mutex
	cmd  *exec.Cmd
	// expected states that the process was sent a signal that ends it.
	expected bool
	ended    chan struct{}
	// boots counts the starts of the node.
	boots atomic.Int64
}

// storeView is the store's HTTP frontend for one VM. It can reject calls of this VM, or leave them without an answer.
type storeView struct {
	store  *metastore.Store
	status atomic.Int64
	silent atomic.Bool
}

func (v *storeView) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch status := int(v.status.Load()); {
	case v.silent.Load():
		<-r.Context().Done()
	case status != 0:
		w.WriteHeader(status)
	default:
		v.store.ServeHTTP(w, r)
	}
}

func (v *vm) address(port int) string { return netip.AddrPortFrom(v.inside, uint16(port)).String() }

func (v *vm) public(port int) string { return netip.AddrPortFrom(v.outside, uint16(port)).String() }

func (v *vm) backendAddress() string { return v.address(portBackend) }

// open starts the store's frontend and the links and writes the settings file.
func (v *vm) open(store *metastore.Store) error {
	v.store = &storeView{store: store}
	ln, err := net.Listen("tcp", v.address(portStore))
	if err != nil {
		return err
	}
	server := &http.Server{Handler: v.store, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(ln) }() // Runs until this process ends.
	for _, port := range []int{portPeers, portControl, portStore} {
		l, err := newLink(v.public(port), v.address(port))
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
`, v.name, v.outside, v.zone, v.backendAddress(), v.service, portControl, portControl, v.public(portPeers), v.public(portCallers),
		v.public(portReady), v.public(portAnnouncements), heartbeat.Milliseconds(), v.public(portStore), drainTime.Milliseconds(),
		int(grace.Seconds()), apply.Milliseconds())
}

// start starts the node's process.
func (v *vm) start() error {
	out, err := os.OpenFile(v.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(v.program, "--file", v.settingsPath(), "--bind", v.inside.String(), "--metrics", v.address(portMetrics))
	cmd.Stdout, cmd.Stderr = out, out
	// The kernel kills the node when this process ends, whatever the cause.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	end := v.disturb()
	defer end()
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	v.mu.Lock()
	v.cmd, v.expected, v.ended = cmd, false, ended
	v.mu.Unlock()
	v.boots.Add(1)
	go func() {
		err := cmd.Wait()
		v.mu.Lock()
		expected := v.expected
		v.mu.Unlock()
		if !expected {
			v.ledger.violate("ended", "node %s exited unexpectedly: %v", v.name, err)
		}
		close(ended)
	}()
	return nil
}

// disturb begins a planned disturbance of this VM only.
func (v *vm) disturb() (end func()) { return v.ledger.disturb(&v.touch) }

// signal sends a signal to the process; last states that the signal ends the process.
func (v *vm) signal(s syscall.Signal, last bool) (ended <-chan struct{}) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.expected = v.expected || last
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
	case <-time.After(grace + time.Second):
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
		v.ledger.violate("ended", "node %s failed to start: %v", v.name, err)
	}
}

func (v *vm) kill(lasts time.Duration) {
	if !v.work.TryLock() {
		v.signal(syscall.SIGKILL, true) // The holder of the lock restarts the process.
		return
	}
	defer v.work.Unlock()
	<-v.signal(syscall.SIGKILL, true)
	time.Sleep(lasts)
	v.restart()
}

func (v *vm) pause(lasts time.Duration) {
	v.work.Lock()
	defer v.work.Unlock()
	v.signal(syscall.SIGSTOP, false)
	time.Sleep(lasts)
	v.signal(syscall.SIGCONT, false)
	v.restart()
}

func (v *vm) planStop(lasts time.Duration) {
	v.work.Lock()
	defer v.work.Unlock()
	defer v.disturb()()
	if err := v.stop(); err != nil && v.ledger.calm(&v.ledger.all, time.Now(), grace+stability) {
		v.ledger.violate("stop", "node %s: %v", v.name, err)
	}
	time.Sleep(lasts)
	v.restart()
}

// ips returns the IP addresses of a VM. They depend on the process id, so that concurrent runs do not compete for the
// same ports.
func ips(pid, index int) (outside, inside netip.Addr) {
	at := func(last int) netip.Addr {
		return netip.AddrFrom4([4]byte{127, byte(100 + (pid>>8)%100), byte(pid), byte(last)})
	}
	return at(2*index + 1), at(2*index + 2)
}

func vmName(index int) string { return "vm-" + strconv.Itoa(index) }
