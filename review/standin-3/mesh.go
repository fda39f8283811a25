package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Ports of each machine, counted from the first port of the mesh.
const (
	portInbound = iota
	portOutbound
	portReady
	portControl
	portApp
	portStore
	portMetrics
	portInternal
	portCount = portInternal + 16
)

// Bounds of the settings. They are those of the small deployment that the claims name.
const (
	configApply = 2500 * time.Millisecond
	maxStretch  = 5 * time.Second
	stability   = 3 * time.Second
	drainBound  = 2500 * time.Millisecond
	heartbeat   = 1500 * time.Millisecond
	addrReuse   = 2 * time.Second
	// exposeShare and exposeSlack bound what a bad version gets.
	exposeShare, exposeSlack = 0.1, 50
)

var zones = []string{"anadolu-a", "anadolu-b", "anadolu-c"}

const sidecar = "target/monsoonlatch-sidecar"

// mesh is a small deployment on loopback addresses: a store, and machines with a node and an instance each.
type mesh struct {
	record   *record
	dir      string
	prefix   string
	port     int
	work     time.Duration // of each request
	store    *store
	machines []*machine
	attempts atomic.Int64
	// recordsRuns makes the record name each run.
	recordsRuns atomic.Bool
	runsMu      sync.Mutex
	runs        map[string]int // by service and version
}

func (m *mesh) countRun(service, version string) {
	m.runsMu.Lock()
	defer m.runsMu.Unlock()
	m.runs[service+" "+version]++
}

// ranSoFar returns the number of requests that the instances of a version have run.
func (m *mesh) ranSoFar(service, version string) int {
	m.runsMu.Lock()
	defer m.runsMu.Unlock()
	return m.runs[service+" "+version]
}

type machine struct {
	mesh             *mesh
	name, ip, zone   string
	service, version string
	bad              float64 // the share of requests that the instance fails
	cmd              *exec.Cmd
	ended            chan struct{}
	instance         *instance
}

// newMesh starts the store and picks addresses: a network of 127.0.0.0/8 and a range of ports that are free there.
func newMesh(rec *record) (*mesh, error) {
	dir, err := os.MkdirTemp("", "case-")
	if err != nil {
		return nil, err
	}
	m := &mesh{record: rec, dir: dir, work: 200 * time.Millisecond, runs: map[string]int{}}
	for range 50 {
		m.prefix = fmt.Sprintf("127.%d.%d.", 10+rand.IntN(200), rand.IntN(250))
		m.port = 12000 + rand.IntN(15000)
		if m.store, err = startStore(m.address(250, portStore), rec); err == nil {
			return m, nil
		}
	}
	return nil, fmt.Errorf("no free address: %w", err)
}

func (m *mesh) address(host, port int) string {
	return m.prefix + strconv.Itoa(host) + ":" + strconv.Itoa(m.port+port)
}

func (v *machine) address(port int) string { return v.ip + ":" + strconv.Itoa(v.mesh.port+port) }

// add adds a machine, with its instance and its node. After it boots for the first time, bootstrap is false.
func (m *mesh) add(service, version string, bad float64, bootstrap bool) (*machine, error) {
	return m.addIn(zones[len(m.machines)%len(zones)], service, version, bad, bootstrap)
}

// addIn adds a machine in a zone.
func (m *mesh) addIn(zone, service, version string, bad float64, bootstrap bool) (*machine, error) {
	i := len(m.machines)
	v := &machine{mesh: m, name: fmt.Sprint("sidecar-", i+1), ip: m.prefix + strconv.Itoa(i+1), zone: zone, service: service, version: version, bad: bad}
	m.machines = append(m.machines, v)
	if err := os.WriteFile(v.settingsPath(), []byte(v.settings(bootstrap)), 0o600); err != nil {
		return nil, err
	}
	if service != "" {
		if err := v.startInstance(fmt.Sprintf("i-%d-%d", i+1, rand.IntN(1_000_000))); err != nil {
			return nil, err
		}
	}
	return v, v.start()
}

func (v *machine) settingsPath() string { return filepath.Join(v.mesh.dir, v.name+".toml") }

func (v *machine) settings(bootstrap bool) string {
	return fmt.Sprintf(`[self]
nodeName = %q
role = "node"
machineClass = "sidecar"
serves = ["sidecar"]
ip = %q
zone = %q
region = "anadolu"
countsAsLoss = false
bootstrap = %v
appAddr = %q
service = %q

[self.limits]
cpuShare = 0.8
cores = 1
memoryMb = 536
maxFds = 8192
linkMbps = 200.0
diskMb = 0

[network]
internalPorts = [%d,%d]
seeds = []

[network.listen]
inbound = %q
outbound = %q
ready = %q
control = %q

[network.zones]
anadolu-a = "anadolu"
anadolu-b = "anadolu"
anadolu-c = "anadolu"

[platform]
discovery = "local"
entry = "local"
heartbeatMs = %d

[platform.platform]
address = %q
form = "objects"
writesPerS = 1200
readsPerS = 6000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000

[terms]
contracts = ["base","drain","config","cost","retry","recover","health","pool","rollout","tenants","quota","platform"]

[terms.faultTolerance]
machines = 2
zones = 1
regions = 0

[terms.bounds]
seedLagS = 3
addrReuseS = %d
stabilityMs = %d
ackMs = 5000
catchUpS = 6
drainMs = %d
graceS = 6
lossSlackMs = 200
configApplyMs = %d
rollbackSlackMs = 250
maxStretchMs = %d
revokeFailClosed = false
revokeMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
retryBudgetSlack = 202
quotaWindowS = 5
quotaOvershoot = 0.1
quotaSlack = 20
exposeShare = %v
exposeSlack = %v
rollbackMs = 5000
recoveryS = 15
`, v.name, v.ip, v.zone, bootstrap, v.address(portApp), v.service, v.mesh.port+portInternal, v.mesh.port+portInternal+15,
		v.address(portInbound), v.address(portOutbound), v.address(portReady), v.address(portControl),
		heartbeat.Milliseconds(), v.mesh.address(250, portStore), int(addrReuse.Seconds()), stability.Milliseconds(),
		drainBound.Milliseconds(), configApply.Milliseconds(), maxStretch.Milliseconds(), exposeShare, exposeSlack)
}

// start starts the node with the command of the deploy file.
func (v *machine) start() error {
	out, err := os.OpenFile(filepath.Join(v.mesh.dir, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	v.cmd = exec.Command(sidecar)
	v.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "MONSOONLATCH_NODE_FILE=" + v.settingsPath(),
		// The machines of a case share one host.
		"MONSOONLATCH_BIND=" + v.ip, "MONSOONLATCH_METRICS=" + v.address(portMetrics)}
	v.cmd.Stdout, v.cmd.Stderr = out, out
	v.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := v.cmd.Start(); err != nil {
		return err
	}
	v.ended = make(chan struct{})
	v.mesh.record.line("node %s: started", v.name)
	go func(cmd *exec.Cmd, ended chan struct{}) {
		err := cmd.Wait()
		v.mesh.record.line("node %s: ended: %v", v.name, err)
		close(ended)
	}(v.cmd, v.ended)
	return nil
}

func (v *machine) running() bool {
	select {
	case <-v.ended:
		return false
	default:
		return true
	}
}

func (v *machine) signal(s syscall.Signal) {
	v.mesh.record.line("node %s: gets %v", v.name, s)
	_ = v.cmd.Process.Signal(s) // Fails only if it has ended.
}

// close ends all processes and removes the temporary folder.
func (m *mesh) close() {
	for _, v := range m.machines {
		if v.cmd != nil && v.running() {
			_ = v.cmd.Process.Kill()
			<-v.ended
		}
		if v.instance != nil {
			v.instance.crash()
		}
	}
	_ = m.store.server.Close()
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs:", m.dir)
		return
	}
	_ = os.RemoveAll(m.dir)
}

// instance is a stand-in for an instance: it sends heartbeats to the node of its machine, and runs requests.
type instance struct {
	machine  *machine
	id       string
	service  string
	born     int64
	sequence atomic.Int64
	state    atomic.Value
	server   *http.Server
	ctx      context.Context
	cancel   context.CancelFunc
	mu       sync.Mutex
	runs     map[string]int
	// quiet is set while the instance sends no heartbeats.
	quiet atomic.Bool
}

func (v *machine) startInstance(id string) error { return v.startInstanceOf(id, v.service) }

func (v *machine) startInstanceOf(id, service string) error {
	ln, err := net.Listen("tcp", v.address(portApp))
	if err != nil {
		return err
	}
	i := &instance{machine: v, id: id, service: service, born: time.Now().UnixMilli(), runs: map[string]int{}}
	i.state.Store("ready")
	i.ctx, i.cancel = context.WithCancel(context.Background())
	i.server = &http.Server{Handler: i, IdleTimeout: 10 * time.Second}
	v.instance = i
	v.mesh.record.line("instance %s of %s: started on %s", id, service, v.name)
	go func() { _ = i.server.Serve(ln) }()
	go i.beat()
	return nil
}

func (i *instance) crash() {
	i.cancel()
	_ = i.server.Close()
}

func (i *instance) beat() {
	for i.ctx.Err() == nil && i.state.Load() != "gone" {
		if !i.quiet.Load() {
			i.announce("instances.heartbeat", time.Second)
		}
		select {
		case <-i.ctx.Done():
		case <-time.After(heartbeat):
		}
	}
}

// ran returns the number of requests that the instance has begun to run.
func (i *instance) ran() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return len(i.runs)
}

func (i *instance) body() string {
	b, _ := json.Marshal(map[string]any{"service": i.service, "address": i.machine.address(portApp), "zone": i.machine.zone, "version": i.machine.version,
		"slots": 12, "state": i.state.Load(), "coldLeftMs": 0, "sequence": i.sequence.Add(1), "born": i.born})
	return string(b)
}

func (i *instance) announce(call string, timeout time.Duration) bool {
	return i.send(call, i.body(), timeout)
}

func (i *instance) send(call, body string, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+i.machine.address(portControl)+"/rpc?call="+call+"&of="+i.id, strings.NewReader(body))
	if err != nil {
		return false
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode/100 == 2
}

func (i *instance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Instance-Id", i.id)
	if r.URL.Path == "/healthz" {
		if i.state.Load() != "ready" {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	if id != "" {
		w.Header().Set("X-Attempt-Id", id)
	}
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != i.id {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	body, _ := io.ReadAll(r.Body)
	i.mu.Lock()
	i.runs[id]++
	i.mu.Unlock()
	if i.state.Load() != "ready" {
		w.Header().Set("Connection", "close")
	}
	if i.machine.mesh.recordsRuns.Load() {
		i.machine.mesh.record.line("instance %s of %s on %s: runs %s %s (%s) of tenant %q", i.id, i.service, i.machine.name, r.Method, r.RequestURI, id, r.Header.Get("X-Tenant"))
	}
	i.machine.mesh.countRun(i.service, i.machine.version)
	time.Sleep(i.machine.mesh.work)
	if rand.Float64() < i.machine.bad {
		w.Header().Set("X-Server-Seal", "seal-"+id)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("X-Server-Seal", "seal-"+id)
	answer := "ran " + id + " " + r.URL.Path + " " + strconv.Itoa(len(body)) + " by " + i.service
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = io.WriteString(w, answer)
}

// remove ends the instance of a machine and then stops the node.
func (v *machine) remove() {
	if v.instance != nil {
		v.mesh.record.line("instance %s of %s: ended on %s", v.instance.id, v.version, v.name)
		v.instance.crash()
	}
	v.signal(syscall.SIGTERM)
}

// load sends requests from the clients of the machine until ctx ends, perSecond in all.
func (v *machine) load(ctx context.Context, path string, perSecond int) {
	tick := time.NewTicker(time.Second / time.Duration(perSecond))
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			go v.ask(http.MethodGet, path, 1500*time.Millisecond)
		case <-ctx.Done():
			return
		}
	}
}

// answer is what a client got.
type answer struct {
	id, body string
	status   int
	seal     string
	err      error
	took     time.Duration
}

func (m *mesh) newID() string { return fmt.Sprintf("a-%d-%06d", os.Getpid(), m.attempts.Add(1)) }

// ranBy reports whether an instance of the service has run the request.
func (a answer) ranBy(service string) bool {
	return a.seal != "" && strings.HasSuffix(a.body, " by "+service)
}

// ask sends one request of a client on the machine, on a new connection, and returns its answer.
func (v *machine) ask(method, path string, deadline time.Duration) answer {
	return v.askAs(v.mesh.newID(), method, path, deadline, defaultKey)
}

// askAs sends a request with an id and, unless it is empty, a tenant's key.
func (v *machine) askAs(id, method, path string, deadline time.Duration, key string) answer {
	start := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	a := answer{id: id}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+v.address(portOutbound)+path, http.NoBody)
	if err != nil {
		a.err = err
		return a
	}
	req.Host = host
	req.Close = true
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("X-Deadline-Ms", strconv.Itoa(int(deadline.Milliseconds())))
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		a.err, a.took = err, time.Since(start)
		return a
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	a.status, a.body, a.err, a.seal, a.took = resp.StatusCode, string(data), err, resp.Header.Get("X-Server-Seal"), time.Since(start)
	return a
}

const (
	host       = "jepu9.example"
	tenant     = "pulo780"
	defaultKey = "hhacruddedev3nax7u27"
)

type route struct{ name, prefix, kind, service string }

// settings is a configuration as the operator writes it. Besides defaultKey its tenant has the keys in keys.
type settings struct {
	version int
	routes  []route
	keys    []string
}

func (s settings) String() string {
	routes := s.routes
	var resources []string
	seen := map[string]bool{}
	for _, r := range routes {
		if !seen[r.service] {
			seen[r.service] = true
			resources = append(resources, fmt.Sprintf(`{"type":"services","metadata":{"name":%q},"spec":{"healthPath":"/healthz"}}`, r.service))
		}
	}
	for _, r := range routes {
		resources = append(resources, fmt.Sprintf(`{"type":"routes","metadata":{"name":%q},"spec":{"host":%q,"pathPrefix":%q,"kind":%q,"timeoutMs":2000,"targetLatencyMs":400,"priority":1,"service":%q,"maxAttempts":3}}`,
			r.name, host, r.prefix, r.kind, r.service))
	}
	resources = append(resources, `{"type":"limits","metadata":{"name":"limits"},"spec":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutMs":5000,"idleTimeoutMs":15000}}`)
	keys := append([]string{defaultKey}, s.keys...)
	resources = append(resources, fmt.Sprintf(`{"type":"tenants","metadata":{"name":%q},"spec":{"apiKeys":["%s"],"priority":1,"ratePerS":0,"burst":0}}`,
		tenant, strings.Join(keys, `","`)))
	return fmt.Sprintf(`{"version":%d,"resources":[%s]}`, s.version, strings.Join(resources, ","))
}

// publish writes a configuration as soon as the store takes it, and returns when it was acknowledged.
func (m *mesh) publish(s settings) time.Time {
	for {
		at := time.Now()
		if revision, ok := m.store.put("config", "main", s.String()); ok {
			m.record.line("operator: version %d acknowledged at revision %d", s.version, revision)
			return at
		}
		time.Sleep(20 * time.Millisecond)
	}
}

var errNotServed = errors.New("not served in time")

// awaitServed waits until each machine serves the path.
func (m *mesh) awaitServed(path string, limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, v := range m.machines {
		for v.running() {
			a := v.ask(http.MethodGet, path, time.Second)
			if a.status == http.StatusOK && a.seal != "" {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s on %s: %w (status %d, %v)", path, v.name, errNotServed, a.status, a.err)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
