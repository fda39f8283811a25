// Package soak plays random faults against nodes that run as processes of their own, and judges what callers and backend
// servers see. The plan of a run follows from its seed; the times of processes do not.
package soak

import (
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

// Settings of a run.
type Settings struct {
	Seed   uint64
	Length time.Duration
	VMs    int
	// Program is the path of monsoonlatch-sidecar.
	Program string
	// Dir keeps the settings files and the logs of the nodes.
	Dir string
}

const (
	// startTimeout bounds the start of all nodes.
	startTimeout = 30 * time.Second
	// callersPerVM is how many callers keep a connection to each node.
	callersPerVM = 2
	// zones is the number of availability zones.
	zones = 2
	// leastServed of all requests must be served in a run; faults of all kinds are in force for half of it.
	leastServed = 0.25
)

// run is a run in progress.
type run struct {
	Settings
	ledger  *ledger
	stalls  *stallMeter
	store   *metastore.Store
	changes *changes
	vms     []*vm
	wg      sync.WaitGroup
}

// Run plays one run. An error means that it could not be played; broken rules are in the report.
func Run(ctx context.Context, s Settings) (*Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &run{Settings: s, ledger: newLedger(time.Now()), stalls: newStallMeter(ctx), store: metastore.New()}
	r.changes = &changes{store: r.store}
	r.changes.accept()
	defer r.killAll()
	if err := r.open(); err != nil {
		return nil, err
	}
	callersCtx, stopCallers := context.WithCancel(ctx)
	defer stopCallers()
	callers := r.call(callersCtx)
	if err := r.awaitService(ctx, callers, startTimeout); err != nil {
		return nil, fmt.Errorf("%w; remedy: see the nodes' logs in %s", err, r.Dir)
	}
	r.play(ctx)
	r.recover(ctx, callers)
	stopCallers()
	r.stopAll()
	return r.report(), ctx.Err()
}

func (r *run) open() error {
	for i := range r.VMs {
		outside, inside := ips(os.Getpid(), i)
		v := &vm{name: vmName(i), service: []string{"desk", "office"}[i%2], zone: fmt.Sprint("zone-", i/2%zones), outside: outside, inside: inside,
			program: r.Program, dir: r.Dir, ledger: r.ledger, stalls: r.stalls}
		v.backend = &backendServer{vm: v, ledger: r.ledger}
		if err := v.open(r.store); err != nil {
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

// call starts all callers.
func (r *run) call(ctx context.Context) (callers []*caller) {
	for _, v := range r.vms {
		for i := range callersPerVM {
			c := newCaller(v, fmt.Sprintf("%s-caller-%d", v.name, i))
			callers = append(callers, c)
			r.wg.Go(func() { c.run(ctx) })
		}
		p := &prober{caller: newCaller(v, v.name+"-prober"), changes: r.changes}
		r.wg.Go(func() { p.run(ctx) })
	}
	return callers
}

// awaitService waits until every caller has been served.
func (r *run) awaitService(ctx context.Context, callers []*caller, limit time.Duration) error {
	since := time.Now()
	for _, c := range callers {
		for c.served.Load() < since.UnixNano() {
			if time.Since(since) > limit {
				return fmt.Errorf("%s was not served within %v", c.name, limit)
			}
			if ctx.Err() != nil {
				return ctx.Err()
			}
			time.Sleep(between)
		}
	}
	return nil
}

// play carries out the plan. Steps overlap; it returns when all have ended.
func (r *run) play(ctx context.Context) {
	start := time.Now()
	var steps sync.WaitGroup
	defer steps.Wait()
	for _, s := range newPlan(r.Seed, r.Length, len(r.vms)) {
		clock.Sleep(ctx, time.Until(start.Add(s.at)))
		if ctx.Err() != nil {
			return
		}
		steps.Go(func() {
			if err := r.take(ctx, s); err != nil {
				r.ledger.violate("soak", "step %q cannot be played: %v", s.action, err)
			}
		})
	}
}

// take carries out one step.
func (r *run) take(ctx context.Context, s step) error {
	v := r.vms[s.vm]
	if !slices.Contains(plannedWork, s.action) {
		return r.fail(ctx, s, v)
	}
	r.ledger.happened(string(s.action))
	switch s.action {
	case actStop:
		v.planStop(s.lasts / 2)
	case actReload:
		defer v.disturb()()
		v.signal(syscall.SIGHUP, false)
	case actReplace:
		return v.backend.replace(ctx)
	case actChange:
		r.changes.accept()
	}
	return nil
}

// fail carries out a fault.
func (r *run) fail(ctx context.Context, s step, v *vm) error {
	on := []*disturbance{&v.touch}
	whole := s.choice%3 == 0 // a fault of the store for all VMs
	if whole {
		on = r.touches()
	}
	if s.action == actPause {
		on = append(on, &v.frozen)
	}
	defer r.ledger.fault(string(s.action), on...)()
	lasting := func(begin, end func()) {
		begin()
		clock.Sleep(ctx, s.lasts)
		end()
	}
	links := func(f linkFault) {
		l := v.links[s.choice%len(v.links)]
		lasting(func() { l.set(f) }, func() { l.set(linkSound) })
	}
	faults := func(f metastore.Faults) {
		lasting(func() { r.store.SetFaults(f) }, func() { r.store.SetFaults(metastore.Faults{}) })
	}
	switch s.action {
	case actLinkSlow:
		links(linkSlow)
	case actLinkSilent:
		links(linkSilent)
	case actLinkDeaf:
		links([]linkFault{linkDeafIn, linkDeafOut}[s.choice/3%2])
	case actLinkReset:
		links(linkBroken)
	case actStoreDown, actStoreMute:
		views := []*storeView{v.store}
		if whole {
			views = views[:0]
			for _, other := range r.vms {
				views = append(views, other.store)
			}
		}
		status := []int64{503, 429}[s.choice/3%2]
		lasting(func() { setViews(views, s.action == actStoreMute, status) }, func() { setViews(views, false, 0) })
	case actStoreLost:
		faults(metastore.Faults{LoseWriteResponses: true})
	case actStoreDeaf:
		faults(metastore.Faults{HangWatches: true})
	case actStoreForgo:
		r.store.Compact()
	case actPause:
		v.pause(s.lasts)
	case actKill:
		v.kill(s.lasts / 2)
	case actCrash:
		return v.backend.crash(s.lasts/2, s.choice%2 == 0)
	case actFailing:
		b := v.backend.boot.Load()
		lasting(func() { b.failing.Store(true) }, func() { b.failing.Store(false) })
	}
	return nil
}

func setViews(views []*storeView, silent bool, status int64) {
	for _, v := range views {
		v.silent.Store(silent)
		if silent {
			status = 0
		}
		v.status.Store(status)
	}
}

// recover kills all nodes at once and checks that a new start serves in time.
func (r *run) recover(ctx context.Context, callers []*caller) {
	end := r.ledger.fault("all nodes killed", r.touches()...)
	for _, v := range r.vms {
		v.work.Lock()
		v.signal(syscall.SIGKILL, true)
	}
	for _, v := range r.vms {
		<-v.ended
		v.restart()
		v.work.Unlock()
	}
	end()
	since := time.Now()
	err := r.awaitService(ctx, callers, recovery)
	if err != nil && ctx.Err() == nil && !r.stalls.within(since, time.Now()) {
		r.ledger.violate("recover", "after the death of all nodes %v", err)
	}
}

func (r *run) touches() (all []*disturbance) {
	for _, v := range r.vms {
		all = append(all, &v.touch)
	}
	return all
}

// stopAll ends all nodes with SIGTERM, together.
func (r *run) stopAll() {
	r.wg.Wait()
	var wg sync.WaitGroup
	for _, v := range r.vms {
		wg.Go(func() {
			if err := v.stop(); err != nil {
				r.ledger.violate("stop", "node %s: %v", v.name, err)
			}
		})
	}
	wg.Wait()
}

// killAll ends what still runs and closes the links.
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

// FindProgram returns the path of monsoonlatch-sidecar beside this program.
func FindProgram() (string, error) {
	self, err := os.Executable()
	if err != nil {
		return "", err
	}
	path := filepath.Join(filepath.Dir(self), "monsoonlatch-sidecar")
	if _, err := os.Stat(path); err != nil {
		return "", errors.New("monsoonlatch-sidecar is not beside this program; remedy: run make build, or give --program")
	}
	return path, nil
}
