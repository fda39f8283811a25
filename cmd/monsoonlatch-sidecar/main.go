// Command monsoonlatch-sidecar is the mesh node for the users' platform. It runs beside one backend server, forwards
// callers' requests to the instances of the services, passes other nodes' calls to its backend server, and watches the
// platform's metadata store.
package main

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/rs/zerolog"

	"github.com/monsoonlatch/monsoonlatch/pkg/event"
	"github.com/monsoonlatch/monsoonlatch/pkg/kernel"
	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
	"github.com/monsoonlatch/monsoonlatch/pkg/rpcwire"
	"github.com/monsoonlatch/monsoonlatch/platform"
)

// Exit codes.
const (
	exitFailed      = 1
	exitBadSettings = 2
)

// maxHedgeShare bounds the extra work that second requests may put on backend servers.
const maxHedgeShare = 0.2

// Settings are the node's command-line flags. The settings of the VM are in a file that the platform writes.
type Settings struct {
	File       string  `env:"MONSOONLATCH_FILE" help:"Settings file that the platform writes for this VM; by default at the path that the platform provides."`
	Metrics    string  `env:"MONSOONLATCH_METRICS" default:":7990" help:"Listen address for metrics and state (HTTP)."`
	Bind       string  `env:"MONSOONLATCH_BIND" help:"IP address to listen on and to connect from, if it differs from the one in the settings file; the ports stay the same."`
	HedgeShare float64 `env:"MONSOONLATCH_HEDGE_SHARE" default:"0" help:"Second requests for calls that may be repeated and take longer than usual, as a fraction of the requests of each service (0 to 0.2); 0 sends none."`
	LogLevel   string  `env:"MONSOONLATCH_LOG_LEVEL" enum:"debug,info,warn,error" default:"info" help:"Lowest level that is logged."`
}

func main() {
	// Registered before any step of the start that takes time: a SIGHUP without a handler would end the process.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	os.Exit(run(os.Args[1:], hup))
}

func run(args []string, hup <-chan os.Signal) int {
	var s Settings
	parser, err := kong.New(&s, kong.Name("monsoonlatch-sidecar"),
		kong.Description("Node of the mesh on the users' platform. Settings are flags or environment variables."))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	if _, err := parser.Parse(args); err != nil {
		fmt.Fprintf(os.Stderr, "monsoonlatch-sidecar: %v; remedy: see --help for the settings\n", err)
		return exitBadSettings
	}
	if s.HedgeShare < 0 || s.HedgeShare > maxHedgeShare {
		fmt.Fprintf(os.Stderr, "monsoonlatch-sidecar: --hedge-share: %g is out of range; remedy: give a fraction from 0 to %g\n", s.HedgeShare, maxHedgeShare)
		return exitBadSettings
	}
	if s.File == "" {
		s.File = platform.SettingsPath()
	}
	vm, err := platform.ReadSettings(s.File)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitBadSettings
	}
	level, _ := zerolog.ParseLevel(s.LogLevel) // The parser has checked it.
	if s.Bind != "" {
		if _, err := netip.ParseAddr(s.Bind); err != nil {
			fmt.Fprintf(os.Stderr, "monsoonlatch-sidecar: --bind: %v; remedy: give an IP address\n", err)
			return exitBadSettings
		}
	}
	metrics := metric.NewSet()
	metric.WatchProcess(metrics)
	log, logBuffer := newLogger(os.Stdout, level, metrics)
	defer func() { _ = logBuffer.Close() }() // An error can no longer be logged.
	log = log.With().Str("node", vm.Node).Logger()
	if err := serve(&s, vm, log, metrics, hup); err != nil {
		event.NodeFailed.Write(event.NodeFailed.Log(&log).Err(err))
		return exitFailed
	}
	return 0
}

// serve runs the node until SIGTERM or SIGINT. It reloads the settings file on each signal from hup.
func serve(s *Settings, vm platform.VMSettings, log zerolog.Logger, metrics *metric.Set, hup <-chan os.Signal) error {
	setRuntimeLimits(vm.MemoryBytes)
	k, err := newNode(s, vm, log, metrics)
	if err != nil {
		return err
	}
	settingsReloader, err := kernel.Find[*reloader](k, nameReloader)
	if err != nil {
		return err
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	go settingsReloader.run(ctx, hup)
	event.NodeStarted.Write(event.NodeStarted.Log(&log).Str("service", vm.Service).Str("zone", vm.AvailabilityZone))
	err = runNode(ctx, k, vm.Bounds.Grace-exitMargin)
	if err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	event.NodeStopped.Write(event.NodeStopped.Log(&log).AnErr("cut_short_by", err))
	return nil
}

// runNode runs all services until ctx ends. The connections to other nodes are closed last, since services use them
// until they have stopped.
func runNode(ctx context.Context, k *kernel.Kernel, grace time.Duration) error {
	err := k.Run(ctx, grace)
	if pool, findErr := kernel.Find[*rpcwire.Pool](k, nameRPCPool); findErr == nil {
		pool.Close()
	}
	return err
}
