package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/monsoonlatch/monsoonlatch/internal/convergence"
)

type convergenceCommand struct {
	Node     []string      `help:"Admin addresses (host:port) of all nodes." required:"" env:"MLLOAD_NODE"`
	Platform string        `help:"URL of the platform's object API." required:"" env:"MONSOONLATCH_PLATFORM"`
	Counts   bool          `help:"Read the call counts of the platform stand-in." default:"true" negatable:"" env:"MLLOAD_PLATFORM_COUNTS"`
	Notes    int           `help:"Number of release notes to submit; 0 measures the resource usage only." default:"20" env:"MLLOAD_NOTES"`
	Rate     float64       `help:"Release notes per second." default:"1" env:"MLLOAD_RATE"`
	Routes   int           `help:"Number of routes added by an initial note, which is not measured." default:"100" env:"MLLOAD_ROUTES"`
	Poll     time.Duration `help:"Time between two polls of a node, which is the resolution of the measured times." default:"100ms" env:"MLLOAD_POLL"`
	Wait     time.Duration `help:"Maximum wait for the last release note to be in force everywhere." default:"60s" env:"MLLOAD_WAIT"`
	Duration time.Duration `help:"Minimum duration of the measurement of resource usage." default:"0s" env:"MLLOAD_DURATION"`
	Seed     uint64        `help:"Seed of the generated notes." default:"1" env:"MLLOAD_SEED"`
	JSON     bool          `help:"Report as JSON." name:"json"`
}

// errNotInForce is returned if notes were not accepted, did not come into force everywhere, or were reverted.
var errNotInForce = errors.New("a release note was not accepted, is not in force at every node, or was reverted; " +
	"remedy: see monsoonlatch note status")

// Run submits the release notes and reports when they came into force.
func (c *convergenceCommand) Run(ctx context.Context) error {
	report, err := convergence.Run(ctx, convergence.Options{
		Nodes: c.Node, Platform: strings.TrimSuffix(c.Platform, "/"), PlatformCounts: c.Counts,
		NamePrefix: "conv-" + strconv.FormatInt(time.Now().UnixMilli(), 36),
		Seed:       c.Seed, Notes: c.Notes, Rate: c.Rate, Routes: c.Routes, PollInterval: c.Poll, MaxWait: c.Wait, MinDuration: c.Duration,
	})
	if err != nil {
		return err
	}
	if c.JSON {
		enc := json.NewEncoder(os.Stdout)
		enc.SetIndent("", "  ")
		err = enc.Encode(report)
	} else {
		err = report.WriteTable(os.Stdout)
	}
	if err != nil {
		return err
	}
	if report.Refused > 0 || report.Convergence.Missing > 0 || report.Convergence.Reverts > 0 {
		return errNotInForce
	}
	return nil
}

type compareCommand struct {
	Files []string `arg:"" help:"Reports written with --json; each is a column named after its file." type:"existingfile"`
}

// Run prints the reports as one table.
func (c *compareCommand) Run() error {
	var names []string
	var reports []*convergence.Report
	for _, file := range c.Files {
		data, err := os.ReadFile(file)
		if err != nil {
			return fmt.Errorf("read report: %w", err)
		}
		var r convergence.Report
		if err := json.Unmarshal(data, &r); err != nil {
			return fmt.Errorf("read report %s: %w", file, err)
		}
		names = append(names, strings.TrimSuffix(filepath.Base(file), ".json"))
		reports = append(reports, &r)
	}
	return convergence.WriteComparison(os.Stdout, names, reports)
}
