// Package kernel starts and stops the services of a process in order and lets its parts find each other by name.
package kernel

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/looplab/fsm"

	"github.com/monsoonlatch/monsoonlatch/pkg/fault"
)

// Service is one duty of the process. Start returns when the service can be used; long work runs in goroutines of
// its own. Stop returns when the work in progress is finished or ctx ends.
type Service interface {
	Name() string
	Start(ctx context.Context) error
	Stop(ctx context.Context) error
}

// States of the kernel's lifecycle.
const (
	StateNew      = "new"
	StateStarting = "starting"
	StateRunning  = "running"
	StateStopping = "stopping"
	StateStopped  = "stopped"
)

const (
	eventStart   = "start"
	eventStarted = "started"
	eventStop    = "stop"
	eventStopped = "stopped"
)

// Kernel owns the services of a process. Register is for the time before Start; the registry is read-only after it.
type Kernel struct {
	services  []Service
	byName    map[string]any
	started   int
	lifecycle *fsm.FSM
}

// New returns an empty kernel.
func New() *Kernel {
	return &Kernel{
		byName: make(map[string]any),
		lifecycle: fsm.NewFSM(StateNew, fsm.Events{
			{Name: eventStart, Src: []string{StateNew}, Dst: StateStarting},
			{Name: eventStarted, Src: []string{StateStarting}, Dst: StateRunning},
			{Name: eventStop, Src: []string{StateStarting, StateRunning}, Dst: StateStopping},
			{Name: eventStopped, Src: []string{StateStopping}, Dst: StateStopped},
		}, fsm.Callbacks{}),
	}
}

// Register adds a service. Services start in the order of registration and stop in the reverse order.
func (k *Kernel) Register(s Service) error {
	if err := k.Provide(s.Name(), s); err != nil {
		return err
	}
	k.services = append(k.services, s)
	return nil
}

// Provide adds a part that others can find but that has nothing to start or stop.
func (k *Kernel) Provide(name string, part any) error {
	if k.lifecycle.Current() != StateNew {
		return fault.New(fault.Internal, "kernel: register "+name, "the kernel has started", "register services before Start")
	}
	if _, ok := k.byName[name]; ok {
		return fault.New(fault.Internal, "kernel: register "+name, "the name is taken", "give each service a name of its own")
	}
	k.byName[name] = part
	return nil
}

// Find returns the part with the given name as type T. Services call it once, when they are built.
func Find[T any](k *Kernel, name string) (T, error) {
	var zero T
	s, ok := k.byName[name]
	if !ok {
		return zero, fault.New(fault.NotFound, "kernel: find "+name, "no such service", "register it before the services that use it")
	}
	t, ok := s.(T)
	if !ok {
		return zero, fault.New(fault.Internal, "kernel: find "+name, fmt.Sprintf("has type %T", s), "ask for an interface that the service implements")
	}
	return t, nil
}

// State returns the state of the lifecycle.
func (k *Kernel) State() string { return k.lifecycle.Current() }

// Start starts all services in order. If one fails, those already started are stopped.
func (k *Kernel) Start(ctx context.Context) error {
	if err := k.lifecycle.Event(ctx, eventStart); err != nil {
		return fmt.Errorf("kernel: start: %w", err)
	}
	for _, s := range k.services {
		if err := s.Start(ctx); err != nil {
			err = fmt.Errorf("start %s: %w", s.Name(), err)
			return errors.Join(err, k.Stop(context.WithoutCancel(ctx)))
		}
		k.started++
	}
	return k.lifecycle.Event(ctx, eventStarted)
}

// Stop stops the started services in reverse order. Each gets what is left of ctx.
func (k *Kernel) Stop(ctx context.Context) error {
	if err := k.lifecycle.Event(ctx, eventStop); err != nil {
		return fmt.Errorf("kernel: stop: %w", err)
	}
	var errs []error
	for ; k.started > 0; k.started-- {
		s := k.services[k.started-1]
		if err := s.Stop(ctx); err != nil {
			errs = append(errs, fmt.Errorf("stop %s: %w", s.Name(), err))
		}
	}
	errs = append(errs, k.lifecycle.Event(context.WithoutCancel(ctx), eventStopped))
	return errors.Join(errs...)
}

// Run starts the services, waits until ctx ends, and stops them within the grace period.
func (k *Kernel) Run(ctx context.Context, grace time.Duration) error {
	if err := k.Start(ctx); err != nil {
		return err
	}
	<-ctx.Done()
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), grace)
	defer cancel()
	return k.Stop(stopCtx)
}
