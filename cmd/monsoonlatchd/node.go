package main

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/monsoonlatch/monsoonlatch/pkg/admin"
	"github.com/monsoonlatch/monsoonlatch/pkg/event"
	"github.com/monsoonlatch/monsoonlatch/pkg/kernel"
	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
	"github.com/monsoonlatch/monsoonlatch/pkg/network"
)

// node is the kernel with its services.
type node struct {
	settings *Settings
	kernel   *kernel.Kernel
	metrics  *metric.Set
	log      zerolog.Logger
}

func newNode(s *Settings, log zerolog.Logger) (*node, error) {
	operators, err := network.Parse(s.OperatorNetworks)
	if err != nil {
		return nil, err
	}
	n := &node{settings: s, kernel: kernel.New(), metrics: metric.NewSet(), log: log}
	return n, n.kernel.Register(admin.New(admin.Settings{
		Listen: s.Admin, Operators: operators, State: n.state, Ready: func() bool { return true }, Metrics: n.metrics, Log: log,
	}))
}

func (n *node) state() admin.State {
	return admin.State{ID: n.settings.ID, Service: n.settings.Service, AvailabilityZone: n.settings.AvailabilityZone, Lifecycle: n.kernel.State()}
}

// run starts the services and stops them gracefully on a signal.
func (n *node) run(log zerolog.Logger, grace time.Duration) error {
	ctx, cancel := untilStopped()
	defer cancel()
	if err := n.kernel.Run(ctx, grace); err != nil {
		return err
	}
	event.NodeStopped.Write(event.NodeStopped.Log(&log))
	return nil
}
