// Package kernel starts and stops the services of a process in order and registers its components by name, so that they
// can look each other up.
package kernel

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/looplab/fsm"

	"github.com/monsoonlatch/monsoonlatch/pkg/fault"
)

// Service is a component with a lifecycle. Start returns when the service is ready for use; long-running work goes into
// separate goroutines. Stop returns when the work in progress is finished or ctx ends.
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

// Kernel owns the components of a process. They are registered before Start; afterwards the registry is read-only.
type Kernel struct {
	services     []Service
	components   map[string]any
	startedCount int
	lifecycle    *fsm.FSM
}

// New returns an empty kernel.
func New() *Kernel {
	return &Kernel{
		components: make(map[string]any),
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

// Provide adds a component that others can look up but that has nothing to start or stop.
func (k *Kernel) Provide(name string, component any) error {
	if k.lifecycle.Current() != StateNew {
		return fault.New(fault.Internal, "kernel: register "+name, "the kernel has already started",
			"register components before Start")
	}
	if _, ok := k.components[name]; ok {
		return fault.New(fault.Internal, "kernel: register "+name, "the name is already registered",
			"give each component a unique name")
	}
	k.components[name] = component
	return nil
}

// Find returns the component with the given name as type T. Services look up their dependencies once, when they are
// built.
func Find[T any](k *Kernel, name string) (T, error) {
	var zero T
	component, ok := k.components[name]
	if !ok {
		return zero, fault.New(fault.NotFound, "kernel: find "+name, "no component has this name",
			"register it before the components that use it")
	}
	t, ok := component.(T)
	if !ok {
		return zero, fault.New(fault.Internal, "kernel: find "+name, fmt.Sprintf("the component has type %T", component),
			"request a type or interface that the component implements")
	}
	return t, nil
}

// State returns the state of the lifecycle.
func (k *Kernel) State() string { return k.lifecycle.Current() }

// Start starts all services in order. If one fails to start, the services already started are stopped.
func (k *Kernel) Start(ctx context.Context) error {
	if err := k.lifecycle.Event(ctx, eventStart); err != nil {
		return fmt.Errorf("kernel: start: %w", err)
	}
	for _, s := range k.services {
		if err := s.Start(ctx); err != nil {
			err = fmt.Errorf("start %s: %w", s.Name(), err)
			return errors.Join(err, k.Stop(context.WithoutCancel(ctx)))
		}
		k.startedCount++
	}
	return k.lifecycle.Event(ctx, eventStarted)
}

// Stop stops the started services in reverse order. They share the deadline of ctx.
func (k *Kernel) Stop(ctx context.Context) error {
	if err := k.lifecycle.Event(ctx, eventStop); err != nil {
		return fmt.Errorf("kernel: stop: %w", err)
	}
	var errs []error
	for ; k.startedCount > 0; k.startedCount-- {
		s := k.services[k.startedCount-1]
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
