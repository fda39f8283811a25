package main

import (
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/monsoonlatch/monsoonlatch/internal/load"
	"github.com/monsoonlatch/monsoonlatch/internal/replay"
	"github.com/monsoonlatch/monsoonlatch/pkg/admission"
	"github.com/monsoonlatch/monsoonlatch/pkg/fault"
)

type policyCommand struct {
	Profile       string    `help:"Load profile (YAML)." required:"" type:"existingfile"`
	Flood         []string  `help:"Classes that flood the service, each in a simulation of its own." required:""`
	Factor        []float64 `help:"Load of the flooding class, as multiples of the capacity." default:"1.5,3,10"`
	Discipline    []string  `help:"Queue disciplines to compare." default:"rank,fifo" enum:"rank,fifo"`
	Instances     int       `help:"Number of instances of the service." default:"4"`
	Slots         int       `help:"Slots of each instance." default:"20"`
	Seed          uint64    `help:"First seed of the arrivals and of the choice of instances." default:"1"`
	Seeds         int       `help:"Number of seeds; the worst figures over all of them are shown." default:"1"`
	Headroom      float64   `help:"Fraction of the slots that only the top ranks may use." default:"0"`
	Reserve       float64   `help:"Slots not lent to slow ranks in addition to the average use of more urgent ranks, as a multiple of the square root of that average; below 0 for no reserve." default:"0.25"`
	HeadroomRanks int       `help:"Number of top ranks." default:"2"`
	QueueFactor   float64   `help:"Limit of the waiting requests, as a multiple of the announced slots." default:"2"`
	MinPlaces     int       `help:"Minimum number of queue places of each rank with a guaranteed share; below 0 for none." default:"8"`
	Deviations    float64   `help:"Number of mean deviations added to the estimate of the service time; below 0 for none." default:"2"`
}

// Run simulates each flood on a virtual clock and prints a Markdown table.
func (c *policyCommand) Run() error {
	if c.Instances < 1 || c.Instances > 64 || c.Slots < 1 || c.Slots > 1024 || c.Seeds < 1 || c.Seeds > 100 {
		return fault.New(fault.Invalid, "policy", "instances, slots or seeds out of range",
			"use 1 to 64 instances, 1 to 1024 slots and 1 to 100 seeds")
	}
	data, err := os.ReadFile(c.Profile)
	if err != nil {
		return fmt.Errorf("read profile: %w", err)
	}
	p, err := load.ParseProfile(data)
	if err != nil {
		return err
	}
	fmt.Println("| flood | factor | discipline | seeds | goodput | rank: in target / kept | " +
		"maximum latency of rank 0 | goals missed |")
	fmt.Println("|---|---|---|---|---|---|---|---|")
	for _, flood := range c.Flood {
		for _, factor := range c.Factor {
			s := replay.Scenario{Profile: p, Instances: c.Instances, Slots: c.Slots, FloodClass: flood, FloodFactor: factor,
				Settings: admission.Settings{Headroom: c.Headroom, HeadroomRanks: c.HeadroomRanks, Reserve: c.Reserve,
					QueueFactor: c.QueueFactor, MinPlaces: c.MinPlaces, Deviations: c.Deviations}}
			if err := c.runScenario(s); err != nil {
				return err
			}
		}
	}
	return nil
}

func (c *policyCommand) runScenario(scenario replay.Scenario) error {
	for _, discipline := range c.Discipline {
		var worst replay.Summary
		for scenario.Seed = c.Seed; scenario.Seed < c.Seed+uint64(c.Seeds); scenario.Seed++ {
			result, err := scenario.Run(discipline == "fifo")
			if err != nil {
				return err
			}
			worst.Add(result, replay.Shares(scenario.Profile))
		}
		fmt.Println(formatRow(scenario, discipline, worst))
	}
	return nil
}

// formatRow formats the worst figures over all seeds as a table row.
func formatRow(scenario replay.Scenario, discipline string, worst replay.Summary) string {
	var ranks []string
	for rank, figures := range worst.Ranks {
		if figures.Offered > 0 {
			ranks = append(ranks, fmt.Sprintf("%d: %.4f / %.3f", rank, figures.InTargetFraction, figures.ShareKept))
		}
	}
	missed := strings.Join(worst.Misses(scenario.FloodRank()), ", ")
	if missed == "" {
		missed = "none"
	}
	return fmt.Sprintf("| %s | %g | %s | %d | %.3f | %s | %s | %s |",
		scenario.FloodClass, scenario.FloodFactor, discipline, worst.Seeds, worst.Goodput,
		strings.Join(ranks, "; "), worst.Ranks[0].MaxLatency.Round(time.Millisecond), missed)
}
