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

// tasks is a kernel service that runs background tasks until Stop.
type tasks struct {
	name   string
	duties []func(context.Context)
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

var _ kernel.Service = (*tasks)(nil)

func newTasks(name string, duties ...func(context.Context)) *tasks {
	return &tasks{name: name, duties: duties}
}

func (t *tasks) Name() string { return t.name }

func (t *tasks) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	t.cancel = cancel
	for _, duty := range t.duties {
		t.wg.Go(func() { duty(ctx) })
	}
	return nil
}

func (t *tasks) Stop(context.Context) error {
	t.cancel()
	t.wg.Wait()
	return nil
}

// readiness is the handler of the platform's readiness probe. The platform sends callers only to nodes that are ready.
type readiness struct {
	source  config.Source
	listed  func() bool
	leaving atomic.Bool
}

// ready reports whether the node can route requests and is not shutting down.
func (r *readiness) ready() bool {
	return !r.leaving.Load() && r.source.Current() != nil && r.listed()
}

func (r *readiness) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	if !r.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

const (
	// collectPercent keeps peak memory use close to the live heap, which is a few megabytes. Memory costs the owner of
	// the VM more than the processor time of garbage collection.
	collectPercent = 25
	// memoryPart is the soft memory limit of the Go runtime as a fraction of the platform's hard limit for the process.
	memoryPart = 0.6
)

func tune(memory int64) {
	debug.SetGCPercent(collectPercent)
	if memory > 0 {
		debug.SetMemoryLimit(int64(memoryPart * float64(memory)))
	}
}
