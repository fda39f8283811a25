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

// Ports of a node at its own addresses.
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

// Bounds that the settings file of each VM holds.
const (
	drainTime = 2 * time.Second
	grace     = 6 * time.Second
	apply     = 2 * time.Second
	// stability is how long a node must have been without disturbance before bounds in time hold for it.
	stability = 3 * time.Second
	// recovery is the time in which a mesh whose processes have all died must serve again.
	recovery = 15 * time.Second
)

// vm is a VM of the mesh: a node in a process of its own, the links to it and from it to the store, and a backend server
// within this process.
type vm struct {
	name, service, zone string
	// outside is the IP number that others use; links listen there. inside is the one that the node listens at.
	outside, inside netip.Addr
	program, dir    string
	ledger          *ledger
	stalls          *stallMeter
	backend         *backendServer
	// store is the store as this VM sees it.
	store *storeView
	// links lead to the node, and from it to the store.
	links []*link
	// touch is disturbed by everything that happens to the VM, planned or not.
	touch disturbance
	// frozen is disturbed while the node is paused.
	frozen disturbance

	work sync.Mutex // held by one change of the process at a time
	mu   sync.Mutex
	cmd  *exec.Cmd
	// expected states that the process was told to end.
	expected bool
	ended    chan struct{}
	// boots counts the starts of the node.
	boots atomic.Int64
}

// storeView refuses calls of single callers before they reach the store.
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

// open makes the links, the store's listener and the settings file.
func (v *vm) open(store *metastore.Store) error {
	v.store = &storeView{store: store}
	ln, err := net.Listen("tcp", v.address(portStore))
	if err != nil {
		return err
	}
	server := &http.Server{Handler: v.store, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(ln) }() // It ends with the process.
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
	// The node ends with this process, however that ends.
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
			v.ledger.violate("ended", "node %s ended by itself: %v", v.name, err)
		}
		close(ended)
	}()
	return nil
}

// disturb notes a planned disturbance of this VM alone.
func (v *vm) disturb() (end func()) { return v.ledger.disturb(&v.touch) }

// signal sends a signal to the process; last states that it ends it.
func (v *vm) signal(s syscall.Signal, last bool) (ended <-chan struct{}) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.expected = v.expected || last
	_ = v.cmd.Process.Signal(s) // A process that has ended needs none.
	return v.ended
}

// running reports whether the process has not ended.
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

// stop ends the node with SIGTERM and reports whether it ended in time by itself.
func (v *vm) stop() error {
	ended := v.signal(syscall.SIGTERM, true)
	select {
	case <-ended:
	case <-time.After(grace + time.Second):
		<-v.signal(syscall.SIGKILL, true)
		return errors.New("the process did not end within its grace")
	}
	return nil
}

// restart starts the node again if it has ended.
func (v *vm) restart() {
	if v.running() {
		return
	}
	if err := v.start(); err != nil {
		v.ledger.violate("ended", "node %s does not start: %v", v.name, err)
	}
}

func (v *vm) kill(lasts time.Duration) {
	if !v.work.TryLock() {
		v.signal(syscall.SIGKILL, true) // Whoever changes the process starts it again.
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

// ips returns the addresses of a VM of this run. They belong to this process alone, so that runs beside each other do not
// take each other's ports.
func ips(pid, index int) (outside, inside netip.Addr) {
	at := func(last int) netip.Addr {
		return netip.AddrFrom4([4]byte{127, byte(100 + (pid>>8)%100), byte(pid), byte(last)})
	}
	return at(2*index + 1), at(2*index + 2)
}

func vmName(index int) string { return "vm-" + strconv.Itoa(index) }
