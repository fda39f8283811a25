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
	Flood         []string  `help:"Classes that flood, one replay each." required:""`
	Factor        []float64 `help:"Load of the flood as multiples of the capacity." default:"1.5,3,10"`
	Discipline    []string  `help:"Disciplines to compare." default:"rank,fifo" enum:"rank,fifo"`
	Instances     int       `help:"Instances of the service." default:"4"`
	Slots         int       `help:"Slots of an instance." default:"20"`
	Seed          uint64    `help:"First seed of arrivals and choices." default:"1"`
	Seeds         int       `help:"Number of seeds; the worst figures over all of them are shown." default:"1"`
	Headroom      float64   `help:"Part of the slots that only the top ranks may use." default:"0"`
	Reserve       float64   `help:"Slots not lent to slow work beyond the usual use of more urgent ranks, times the square root of that use; below 0 for no reserve." default:"0.25"`
	HeadroomRanks int       `help:"Number of top ranks." default:"2"`
	QueueFactor   float64   `help:"Waiting work per announced slot." default:"2"`
	MinPlaces     int       `help:"Places of the queue that each rank with a share keeps; below 0 for none." default:"8"`
	Deviations    float64   `help:"Mean deviations added to the estimate of service time; below 0 for none." default:"2"`
}

// Run replays the floods on a virtual clock and prints a table.
func (c *policyCommand) Run() error {
	if c.Instances < 1 || c.Instances > 64 || c.Slots < 1 || c.Slots > 1024 || c.Seeds < 1 || c.Seeds > 100 {
		return fault.New(fault.Invalid, "policy", "instances, slots or seeds out of range", "use up to 64 instances, 1024 slots and 100 seeds")
	}
	data, err := os.ReadFile(c.Profile)
	if err != nil {
		return fmt.Errorf("read profile: %w", err)
	}
	p, err := load.ParseProfile(data)
	if err != nil {
		return err
	}
	fmt.Println("| flood | factor | order | seeds | goodput | rank: in target / kept | longest answer of rank 0 | goals missed |")
	fmt.Println("|---|---|---|---|---|---|---|---|")
	for _, flood := range c.Flood {
		for _, factor := range c.Factor {
			s := replay.Scenario{Profile: p, Instances: c.Instances, Slots: c.Slots, FloodClass: flood, FloodFactor: factor,
				Settings: admission.Settings{Headroom: c.Headroom, HeadroomRanks: c.HeadroomRanks, Reserve: c.Reserve, QueueFactor: c.QueueFactor, MinPlaces: c.MinPlaces, Deviations: c.Deviations}}
			if err := c.replay(s); err != nil {
				return err
			}
		}
	}
	return nil
}

func (c *policyCommand) replay(s replay.Scenario) error {
	for _, d := range c.Discipline {
		var worst replay.Summary
		for s.Seed = c.Seed; s.Seed < c.Seed+uint64(c.Seeds); s.Seed++ {
			result, err := s.Run(d == "fifo")
			if err != nil {
				return err
			}
			worst.Add(result, replay.Shares(s.Profile))
		}
		fmt.Println(row(s, d, worst))
	}
	return nil
}

// row shows the worst figures over all seeds.
func row(s replay.Scenario, discipline string, w replay.Summary) string {
	var ranks []string
	for rank, got := range w.Ranks {
		if got.Offered > 0 {
			ranks = append(ranks, fmt.Sprintf("%d: %.4f / %.3f", rank, got.InTarget, got.ShareKept))
		}
	}
	missed := strings.Join(w.Misses(s.FloodRank()), ", ")
	if missed == "" {
		missed = "none"
	}
	return fmt.Sprintf("| %s | %g | %s | %d | %.3f | %s | %s | %s |", s.FloodClass, s.FloodFactor, discipline, w.Seeds, w.Goodput,
		strings.Join(ranks, "; "), w.Ranks[0].MaxLatency.Round(time.Millisecond), missed)
}
