// Command mlload sends open-loop load to the ingresses of a mesh and reports the quality of service by rank. It also
// measures how fast release notes come into force, and models admission policies and retries.
//
// It exits with 1 if a command fails, a response was cut or crossed, a request was doubled or a note did not come into
// force everywhere, and with 2 on usage errors. A cut response is truncated, a crossed one belongs to another request,
// and a doubled request ran more than once.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"iter"
	"os"
	"os/signal"
	"slices"
	"strconv"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"github.com/monsoonlatch/monsoonlatch/internal/load"
	"github.com/monsoonlatch/monsoonlatch/pkg/fault"
)

type commands struct {
	Run         runCommand         `cmd:"" help:"Send the load of a profile."`
	Replay      replayCommand      `cmd:"" help:"Send the requests of a recorded trace at the recorded times."`
	Retries     retriesCommand     `cmd:"" help:"Model the load that retries add in a chain of calls."`
	Policy      policyCommand      `cmd:"" help:"Simulate floods of single request classes under admission policies on a virtual clock."`
	Compare     compareCommand     `cmd:"" help:"Print convergence reports as one Markdown table."`
	Convergence convergenceCommand `cmd:"" help:"Submit generated release notes and measure the time until each is in force at every node, and the resources that the control plane uses."`
}

type output struct {
	Target []string `help:"Ingress addresses (host:port), used in turn." required:"" env:"MLLOAD_TARGET"`
	Counts []string `help:"Addresses of the backend stand-ins whose counts are checked at the end for requests that ran more than once." env:"MLLOAD_COUNTS"`
	Trace  string   `help:"Write the requests and their outcomes to this file (JSON Lines)." type:"path"`
	JSON   bool     `help:"Report as JSON." name:"json"`
}

type runCommand struct {
	output
	Profile string  `help:"Load profile (YAML)." required:"" type:"existingfile" env:"MLLOAD_PROFILE"`
	Seed    *uint64 `help:"Seed that replaces the seed of the profile." env:"MLLOAD_SEED"`
}

type replayCommand struct {
	output
	File        string `arg:"" help:"Trace to send." type:"existingfile"`
	MaxInFlight int    `help:"Maximum number of requests in flight." default:"1024" env:"MLLOAD_MAX_IN_FLIGHT"`
}

// errIncorrectOutcomes is returned if responses were cut or crossed, or requests were doubled.
var errIncorrectOutcomes = errors.New("responses were truncated (cut) or belong to other requests (crossed), " +
	"or requests ran more than once (doubled); remedy: look up their request ids in the trace (--trace)")

func main() {
	var c commands
	k := kong.Parse(&c, kong.Name("mlload"), kong.Description("Open-loop load generator for monsoonlatch."),
		kong.UsageOnError(), kong.Exit(func(code int) { os.Exit(exitCode(code)) }))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	k.BindTo(ctx, (*context.Context)(nil))
	err := k.Run()
	stop()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "mlload:", err)
	if fault.Is(err, fault.Invalid) {
		os.Exit(2)
	}
	os.Exit(1)
}

// exitCode maps the exit code of kong: any error is a usage error, with code 2.
func exitCode(code int) int {
	if code == 0 {
		return 0
	}
	return 2
}

// Run sends the load of the profile.
func (c *runCommand) Run(ctx context.Context) error {
	data, err := os.ReadFile(c.Profile)
	if err != nil {
		return fmt.Errorf("read profile: %w", err)
	}
	p, err := load.ParseProfile(data)
	if err != nil {
		return err
	}
	if c.Seed != nil {
		p.Seed = *c.Seed
	}
	return c.sendLoad(ctx, p.Arrivals(), p.MaxInFlight, load.NewReport(p.Name, p.Seed))
}

// Run sends the requests of the trace.
func (c *replayCommand) Run(ctx context.Context) error {
	if c.MaxInFlight < 1 || c.MaxInFlight > load.MaxInFlight {
		return fault.New(fault.Invalid, "max-in-flight", "out of range", fmt.Sprintf("use 1 to %d", load.MaxInFlight))
	}
	f, err := os.Open(c.File)
	if err != nil {
		return fmt.Errorf("open trace: %w", err)
	}
	defer f.Close()
	records, err := load.ReadTrace(f)
	if err != nil {
		return err
	}
	return c.sendLoad(ctx, slices.Values(records), c.MaxInFlight, load.NewReport(c.File, 0))
}

func (o *output) sendLoad(
	ctx context.Context, arrivals iter.Seq[load.Record], maxInFlight int, report *load.Report,
) error {
	runID := "m" + strconv.FormatInt(time.Now().UnixNano(), 36)
	var completed []load.Record
	load.Run(ctx, arrivals, load.Options{
		Targets: o.Target, MaxInFlight: maxInFlight, RunID: runID, OnFinished: func(r load.Record) {
			report.Add(r)
			if o.Trace != "" {
				completed = append(completed, r)
			}
		},
	})
	report.Finish()
	if len(o.Counts) > 0 {
		doubled, err := load.CountDoubledKeys(ctx, o.Counts, runID)
		if err != nil {
			return err
		}
		report.Doubled = doubled
	}
	if err := o.writeTrace(completed); err != nil {
		return err
	}
	if err := o.writeReport(report); err != nil {
		return err
	}
	if report.IntegrityErrors() > 0 {
		return errIncorrectOutcomes
	}
	return nil
}

func (o *output) writeTrace(completed []load.Record) error {
	if o.Trace == "" {
		return nil
	}
	slices.SortStableFunc(completed, func(a, b load.Record) int { return int(a.AtUs - b.AtUs) })
	f, err := os.Create(o.Trace)
	if err != nil {
		return fmt.Errorf("create trace: %w", err)
	}
	if err := load.WriteTrace(f, completed); err != nil {
		f.Close()
		return err
	}
	return f.Close()
}

func (o *output) writeReport(report *load.Report) error {
	if !o.JSON {
		return report.WriteTable(os.Stdout)
	}
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(report)
}
