package main

import (
	"context"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"

	"github.com/monsoonlatch/monsoonlatch/pkg/config"
	"github.com/monsoonlatch/monsoonlatch/pkg/kernel"
)

// backgroundTasks is a kernel service that runs background tasks until Stop.
type backgroundTasks struct {
	name   string
	tasks  []func(context.Context)
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

var _ kernel.Service = (*backgroundTasks)(nil)

func newBackgroundTasks(name string, tasks ...func(context.Context)) *backgroundTasks {
	return &backgroundTasks{name: name, tasks: tasks}
}

func (t *backgroundTasks) Name() string { return t.name }

func (t *backgroundTasks) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	t.cancel = cancel
	for _, task := range t.tasks {
		t.wg.Go(func() { task(ctx) })
	}
	return nil
}

func (t *backgroundTasks) Stop(context.Context) error {
	t.cancel()
	t.wg.Wait()
	return nil
}

// readiness is the handler of the platform's readiness probe. The platform sends callers only to nodes that are ready.
type readiness struct {
	source          config.Source
	instancesListed func() bool
	shuttingDown    atomic.Bool
}

// ready reports whether the node can route requests and is not shutting down.
func (r *readiness) ready() bool {
	return !r.shuttingDown.Load() && r.source.Current() != nil && r.instancesListed()
}

func (r *readiness) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	if !r.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

const (
	// gcPercent keeps peak memory use close to the live heap, which is a few megabytes, since memory is expensive for the
	// owner of the VM. A lower value costs more processor time than it is worth: at 25, garbage collection took almost a
	// third of a node's processor time in a mesh of 296 nodes, on VMs with a sixth of a core.
	gcPercent = 50
	// memoryLimitFraction is the soft memory limit of the Go runtime as a fraction of the platform's hard limit for the
	// process.
	memoryLimitFraction = 0.6
)

func setRuntimeLimits(memoryBytes int64) {
	debug.SetGCPercent(gcPercent)
	if memoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(memoryBytes)))
	}
}
