// Command mlsoak plays random faults against nodes of the mesh on one machine and judges what callers and backend servers
// see. It exits with 1 if a rule is broken.
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
	exitBroken      = 1
	exitBadSettings = 2
	exitFailed      = 3
)

type settings struct {
	Seed        uint64        `env:"SOAK_SEED" default:"1" help:"Seed of the plan."`
	Length      time.Duration `env:"SOAK_LENGTH" default:"60s" help:"How long faults are played."`
	VMs         int           `name:"vms" env:"SOAK_VMS" default:"6" help:"Number of VMs, each with a node and a backend server."`
	Program     string        `env:"SOAK_PROGRAM" help:"Path of monsoonlatch-sidecar; without it the one beside this program."`
	Regressions bool          `help:"Play the runs again that once broke a rule, in place of --seed and --length."`
	Logs        string        `env:"SOAK_LOGS" help:"Directory for settings files and logs of the nodes; without it a temporary one, which is kept if a rule is broken."`
}

// Bounds of the settings: a service needs two instances for a test of retries, and the addresses of a run are 127.x.y.1 to 254.
const (
	leastVMs = 4
	mostVMs  = 100
)

func (s *settings) Validate() error {
	if s.VMs < leastVMs || s.VMs > mostVMs {
		return fmt.Errorf("--vms is not within %d and %d", leastVMs, mostVMs)
	}
	if s.Length <= 0 {
		return fmt.Errorf("--length is not above 0")
	}
	return nil
}

func main() { os.Exit(play(os.Args[1:])) }

func play(args []string) int {
	var s settings
	parser, err := kong.New(&s, kong.Name("mlsoak"), kong.Description("Plays random faults against nodes of the mesh and judges what callers and backend servers see."))
	if err == nil {
		_, err = parser.Parse(args)
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "mlsoak: %v; remedy: see --help for the settings\n", err)
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
			fmt.Printf("broke a rule before: %s\n", r.Cause)
		}
		code = max(code, one(ctx, &s, r))
	}
	return code
}

// one plays one run and prints its report.
func one(ctx context.Context, s *settings, r soak.Regression) int {
	dir := s.Logs
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "mlsoak-"); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitFailed
		}
	}
	rep, err := soak.Run(ctx, soak.Settings{Seed: r.Seed, Length: r.Length, VMs: s.VMs, Program: s.Program, Dir: dir})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	fmt.Print(rep)
	if !rep.Passed() {
		fmt.Printf("logs of the nodes: %s\n", dir)
		return exitBroken
	}
	if s.Logs == "" {
		_ = os.RemoveAll(dir) // What is left is in the temporary directory.
	}
	return 0
}
