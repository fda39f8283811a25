// Package soak injects random faults into nodes that run as separate processes and checks what callers and backend
// servers observe. The seed of a run determines its plan, but not the timing of the processes.
package soak

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/monsoonlatch/monsoonlatch/internal/standin/metastore"
	"github.com/monsoonlatch/monsoonlatch/pkg/clock"
)

// Settings configure a run.
type Settings struct {
	Seed   uint64
	Length time.Duration
	VMs    int
	// Program is the path of monsoonlatch-sidecar.
	Program string
	// Dir is the directory of the nodes' settings files and logs.
	Dir string
}

const (
	// startTimeout is how long the start of all nodes may take.
	startTimeout = 30 * time.Second
	// callersPerVM is the number of callers that keep a connection to each node.
	callersPerVM = 2
	// zoneCount is the number of availability zones.
	zoneCount = 2
	// minSuccessFraction is the fraction of all requests that must succeed in a run. It is low because faults are
	// active for about half of the run.
	minSuccessFraction = 0.25
)

// run is the state of a run in progress.
type run struct {
	Settings
	checker       *checker
	stallDetector *stallDetector
	store         *metastore.Store
	publisher     *publisher
	vms           []*vm
	callersDone   sync.WaitGroup
}

// Run executes one run. An error means that the run could not be executed; violations are in the report.
func Run(ctx context.Context, s Settings) (*Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &run{Settings: s, checker: newChecker(time.Now()), stallDetector: newStallDetector(ctx), store: metastore.New()}
	r.publisher = &publisher{store: r.store}
	r.publisher.publish()
	defer r.killAll()
	if err := r.startVMs(); err != nil {
		return nil, err
	}
	callersCtx, stopCallers := context.WithCancel(ctx)
	defer stopCallers()
	callers := r.startCallers(callersCtx)
	if err := r.awaitSuccesses(ctx, callers, startTimeout); err != nil {
		return nil, fmt.Errorf("start the mesh: %w; remedy: see the nodes' logs in %s", err, r.Dir)
	}
	r.runPlan(ctx)
	r.checkRecovery(ctx, callers)
	stopCallers()
	r.stopAll()
	r.checkLogs()
	return r.report(), ctx.Err()
}

func (r *run) startVMs() error {
	for i := range r.VMs {
		publicIP, nodeIP := vmAddresses(os.Getpid(), i)
		v := &vm{name: vmName(i), service: []string{"desk", "office"}[i%2], zone: fmt.Sprint("zone-", i/2%zoneCount),
			publicIP: publicIP, nodeIP: nodeIP, program: r.Program, dir: r.Dir, checker: r.checker,
			stallDetector: r.stallDetector}
		v.backend = &backendServer{vm: v, checker: r.checker}
		if err := v.setUp(r.store); err != nil {
			return err
		}
		if err := v.backend.start(false); err != nil {
			return err
		}
		if err := v.start(); err != nil {
			return err
		}
		r.vms = append(r.vms, v)
	}
	return nil
}

// startCallers starts all callers and probers and returns the callers.
func (r *run) startCallers(ctx context.Context) (callers []*caller) {
	for _, v := range r.vms {
		for i := range callersPerVM {
			c := newCaller(v, fmt.Sprintf("%s-caller-%d", v.name, i))
			callers = append(callers, c)
			r.callersDone.Go(func() { c.run(ctx) })
		}
		p := &prober{caller: newCaller(v, v.name+"-prober"), publisher: r.publisher}
		r.callersDone.Go(func() { p.run(ctx) })
	}
	return callers
}

// awaitSuccesses waits until every caller has received a success since the call began.
func (r *run) awaitSuccesses(ctx context.Context, callers []*caller, timeout time.Duration) error {
	start := time.Now()
	for _, c := range callers {
		for c.lastSuccess.Load() < start.UnixNano() {
			if time.Since(start) > timeout {
				return fmt.Errorf("%s received no success within %v", c.name, timeout)
			}
			if ctx.Err() != nil {
				return ctx.Err()
			}
			time.Sleep(requestPause)
		}
	}
	return nil
}

// runPlan executes the plan. Steps overlap; it returns when all of them have ended.
func (r *run) runPlan(ctx context.Context) {
	start := time.Now()
	var steps sync.WaitGroup
	defer steps.Wait()
	for _, s := range newPlan(r.Seed, r.Length, len(r.vms)) {
		clock.Sleep(ctx, time.Until(start.Add(s.at)))
		if ctx.Err() != nil {
			return
		}
		steps.Go(func() {
			if err := r.runStep(ctx, s); err != nil {
				r.checker.addViolation("soak", "step %q failed: %v", s.action, err)
			}
		})
	}
}

// runStep executes one step.
func (r *run) runStep(ctx context.Context, s step) error {
	v := r.vms[s.vm]
	if !slices.Contains(plannedActions, s.action) {
		return r.injectFault(ctx, s, v)
	}
	r.checker.countEvent(string(s.action))
	switch s.action {
	case actStop:
		v.plannedStop(s.duration / 2)
	case actReload:
		defer v.beginDisturbance()()
		v.signal(syscall.SIGHUP, false)
	case actReplace:
		return v.backend.replace(ctx)
	case actChange:
		r.publisher.publish()
	}
	return nil
}

// injectFault injects the fault of a step and returns when the fault has ended.
func (r *run) injectFault(ctx context.Context, s step, v *vm) error {
	affected := []*disturbance{&v.disturbance}
	allVMs := s.variant%3 == 0 || s.action == actStoreRestored // A fault of the store then affects all VMs.
	if allVMs {
		affected = r.vmDisturbances()
	}
	if s.action == actPause {
		affected = append(affected, &v.pauses)
	}
	defer r.checker.beginFault(string(s.action), affected...)()
	duringStep := func(begin, end func()) {
		begin()
		clock.Sleep(ctx, s.duration)
		end()
	}
	faultLink := func(f linkFault) {
		l := v.links[s.variant%len(v.links)]
		duringStep(func() { l.setFault(f) }, func() { l.setFault(linkOK) })
	}
	faultStore := func(f metastore.Faults) {
		duringStep(func() { r.store.SetFaults(f) }, func() { r.store.SetFaults(metastore.Faults{}) })
	}
	switch s.action {
	case actLinkSlow:
		faultLink(linkSlow)
	case actLinkStalled:
		faultLink(linkStalled)
	case actLinkOneWay:
		faultLink([]linkFault{linkStalledIn, linkStalledOut}[s.variant/3%2])
	case actLinkReset:
		faultLink(linkReset)
	case actStoreErrors, actStoreSilent:
		stores := []*storeFrontend{v.store}
		if allVMs {
			stores = stores[:0]
			for _, other := range r.vms {
				stores = append(stores, other.store)
			}
		}
		status := []int64{503, 429}[s.variant/3%2]
		duringStep(func() { setStoreFaults(stores, s.action == actStoreSilent, status) },
			func() { setStoreFaults(stores, false, 0) })
	case actStoreDropsResponses:
		f := metastore.Faults{LoseWriteResponses: true}
		if s.variant%2 == 0 {
			f = metastore.Faults{DelayWrites: s.duration}
		}
		faultStore(f)
	case actWatchesSilent:
		faultStore(metastore.Faults{HangWatches: true})
	case actStoreCompacts:
		r.store.Compact()
	case actStoreRestored:
		r.restoreStore(ctx, s)
	case actPause:
		v.pause(s.duration)
	case actKill:
		v.kill(s.duration / 2)
	case actCrash:
		return v.backend.crash(s.duration/2, s.variant%2 == 0)
	case actFaultyResponses:
		b := v.backend.boot.Load()
		duringStep(func() { b.failing.Store(true) }, func() { b.failing.Store(false) })
	}
	return nil
}

// maxRestoreAway is how long the store is away at most before it comes back from a copy, and secondRestoreGap the time until it does so
// again in one step of two.
const (
	maxRestoreAway   = time.Second
	secondRestoreGap = 700 * time.Millisecond
)

// restoreStore takes a copy of the store, brings the store back from it later, and writes the configuration again as operators do.
func (r *run) restoreStore(ctx context.Context, s step) {
	before := r.store.Copy()
	clock.Sleep(ctx, s.duration)
	for again := range 1 + s.variant%2 {
		if again > 0 {
			clock.Sleep(ctx, secondRestoreGap)
		}
		r.store.SetFaults(metastore.Faults{Away: true})
		clock.Sleep(ctx, time.Duration(s.variant)*maxRestoreAway/1000)
		r.store.Restore(before)
		r.store.SetFaults(metastore.Faults{})
		r.publisher.publishAgain()
	}
}

func setStoreFaults(stores []*storeFrontend, silent bool, status int64) {
	for _, store := range stores {
		store.silent.Store(silent)
		if silent {
			status = 0
		}
		store.status.Store(status)
	}
}

// checkRecovery kills all nodes at once, starts them again and checks that all callers are served within recoveryLimit.
func (r *run) checkRecovery(ctx context.Context, callers []*caller) {
	end := r.checker.beginFault("all nodes killed", r.vmDisturbances()...)
	for _, v := range r.vms {
		v.processMu.Lock()
		v.signal(syscall.SIGKILL, true)
	}
	for _, v := range r.vms {
		<-v.ended
		v.restart()
		v.processMu.Unlock()
	}
	end()
	start := time.Now()
	err := r.awaitSuccesses(ctx, callers, recoveryLimit)
	if err != nil && ctx.Err() == nil && !r.stallDetector.stalledBetween(start, time.Now()) {
		r.checker.addViolation("recover", "after all nodes were killed and restarted: %v", err)
	}
}

func (r *run) vmDisturbances() (all []*disturbance) {
	for _, v := range r.vms {
		all = append(all, &v.disturbance)
	}
	return all
}

// stopAll waits for the callers to end and then stops all nodes with SIGTERM at the same time.
func (r *run) stopAll() {
	r.callersDone.Wait()
	var wg sync.WaitGroup
	for _, v := range r.vms {
		wg.Go(func() {
			if err := v.stop(); err != nil {
				r.checker.addViolation("stop", "node %s: %v", v.name, err)
			}
		})
	}
	wg.Wait()
}

// checkLogs checks that no node has written an API key to its log.
func (r *run) checkLogs() {
	for _, v := range r.vms {
		text, err := os.ReadFile(v.logPath())
		if err != nil {
			r.checker.addViolation("soak", "read the log of %s: %v", v.name, err)
		}
		if bytes.Contains(text, []byte(keyPrefix)) {
			r.checker.addViolation("unasked", "the log of node %s contains an API key", v.name)
		}
	}
}

// killAll kills the nodes that still run and closes the backend servers and the links.
func (r *run) killAll() {
	for _, v := range r.vms {
		if v.running() {
			<-v.signal(syscall.SIGKILL, true)
		}
		v.backend.boot.Load().end()
		for _, l := range v.links {
			l.close()
		}
	}
}

// FindProgram returns the path of the monsoonlatch-sidecar executable in the directory of this program.
func FindProgram() (string, error) {
	self, err := os.Executable()
	if err != nil {
		return "", err
	}
	path := filepath.Join(filepath.Dir(self), "monsoonlatch-sidecar")
	if _, err := os.Stat(path); err != nil {
		return "", errors.New("monsoonlatch-sidecar not found beside this program; remedy: run make build, or set --program")
	}
	return path, nil
}
