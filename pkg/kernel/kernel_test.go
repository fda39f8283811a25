package kernel

import (
	"context"
	"errors"
	"slices"
	"testing"
)

type recorder struct {
	name     string
	log      *[]string
	startErr error
}

func (r recorder) Name() string { return r.name }

func (r recorder) Start(context.Context) error {
	*r.log = append(*r.log, "start "+r.name)
	return r.startErr
}

func (r recorder) Stop(context.Context) error {
	*r.log = append(*r.log, "stop "+r.name)
	return nil
}

// Services register after the ones that they use, so stopping in reverse order keeps a service running until its users
// have stopped.
func TestStopRunsInReverseOrder(t *testing.T) {
	var log []string
	k := New()
	for _, name := range []string{"a", "b"} {
		if err := k.Register(recorder{name: name, log: &log}); err != nil {
			t.Fatal(err)
		}
	}
	if err := k.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	if err := k.Stop(t.Context()); err != nil {
		t.Fatal(err)
	}
	want := []string{"start a", "start b", "stop b", "stop a"}
	if !slices.Equal(log, want) {
		t.Fatalf("calls in order %v, want %v", log, want)
	}
	if k.State() != StateStopped {
		t.Fatalf("state %s after Stop, want stopped", k.State())
	}
}

// Services that are already running must not be left behind when a later one fails to start.
func TestFailedStartStopsStartedServices(t *testing.T) {
	var log []string
	broken := errors.New("address in use")
	k := New()
	_ = k.Register(recorder{name: "a", log: &log})
	_ = k.Register(recorder{name: "b", log: &log, startErr: broken})
	if err := k.Start(t.Context()); !errors.Is(err, broken) {
		t.Fatalf("Start returned error %v, want %v", err, broken)
	}
	want := []string{"start a", "start b", "stop a"}
	if !slices.Equal(log, want) {
		t.Fatalf("calls in order %v, want %v", log, want)
	}
}

// A name must identify one service: with a duplicate, Find could return the wrong one.
func TestRegisterRefusesTakenName(t *testing.T) {
	var log []string
	k := New()
	if err := k.Register(recorder{name: "a", log: &log}); err != nil {
		t.Fatal(err)
	}
	if err := k.Register(recorder{name: "a", log: &log}); err == nil {
		t.Fatal("Register accepted a second service with the same name")
	}
	if _, err := Find[recorder](k, "missing"); err == nil {
		t.Fatal("Find returned a component that is not registered")
	}
}
