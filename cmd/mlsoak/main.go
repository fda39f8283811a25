// Command mlsoak injects random faults into a mesh of nodes on one machine and checks that what callers and backend
// servers observe follows a set of rules. It exits with 1 if a rule is violated.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"github.com/monsoonlatch/monsoonlatch/internal/soak"
)

// Exit codes.
const (
	exitViolation   = 1
	exitBadSettings = 2
	exitFailed      = 3
)

type settings struct {
	Seed        uint64        `env:"SOAK_SEED" default:"1" help:"Seed of the random plan of faults and other events."`
	Length      time.Duration `env:"SOAK_LENGTH" default:"60s" help:"Time during which faults are injected."`
	VMs         int           `name:"vms" env:"SOAK_VMS" default:"6" help:"Number of VMs, each with a node and a backend server."`
	Program     string        `env:"SOAK_PROGRAM" help:"Path of monsoonlatch-sidecar; if unset, the one in the directory of this program."`
	Regressions bool          `help:"Repeat the runs that once violated a rule, instead of using --seed and --length."`
	Logs        string        `env:"SOAK_LOGS" help:"Directory for settings files and logs of the nodes; if unset, a temporary one, which is kept if a rule is violated."`
}

// Limits of --vms. The VMs alternate between two services, and each service needs two instances to test retries. A VM
// takes two of the addresses 127.x.y.1 to 127.x.y.254 of a run.
const (
	minVMs = 4
	maxVMs = 100
)

func (s *settings) Validate() error {
	if s.VMs < minVMs || s.VMs > maxVMs {
		return fmt.Errorf("--vms must be between %d and %d", minVMs, maxVMs)
	}
	if s.Length <= 0 {
		return fmt.Errorf("--length must be above 0")
	}
	return nil
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	var s settings
	parser, err := kong.New(&s, kong.Name("mlsoak"), kong.Description("Injects random faults into a mesh of nodes and "+
		"checks the behaviour that callers and backend servers observe."))
	if err == nil {
		_, err = parser.Parse(args)
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "mlsoak: %v; remedy: see mlsoak --help\n", err)
		return exitBadSettings
	}
	if s.Program == "" {
		if s.Program, err = soak.FindProgram(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitBadSettings
		}
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer cancel()
	runs := []soak.Regression{{Seed: s.Seed, Length: s.Length}}
	if s.Regressions {
		runs = soak.Regressions
	}
	code := 0
	for _, r := range runs {
		if r.Cause != "" {
			fmt.Printf("repeating a run that once violated a rule: %s\n", r.Cause)
		}
		code = max(code, runOnce(ctx, &s, r))
	}
	return code
}

// runOnce performs a run and prints its report.
func runOnce(ctx context.Context, s *settings, r soak.Regression) int {
	dir := s.Logs
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "mlsoak-"); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitFailed
		}
	}
	report, err := soak.Run(ctx, soak.Settings{Seed: r.Seed, Length: r.Length, VMs: s.VMs, Program: s.Program, Dir: dir})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	fmt.Print(report)
	if !report.Passed() {
		fmt.Printf("node logs: %s\n", dir)
		return exitViolation
	}
	if s.Logs == "" {
		_ = os.RemoveAll(dir) // If this fails, the files remain in the temporary directory.
	}
	return 0
}
