package main

import (
	"fmt"

	"github.com/monsoonlatch/monsoonlatch/internal/replay"
	"github.com/monsoonlatch/monsoonlatch/pkg/fault"
)

type retriesCommand struct {
	Depth   int       `help:"Calls in a chain." default:"14"`
	Calls   int       `help:"Chains." default:"100000"`
	Failure []float64 `help:"Probability that a call fails at its receiver." default:"0.01,0.1,0.5,1"`
	Failing []int     `help:"Number of last levels whose calls fail." default:"1,14"`
	Ratio   float64   `help:"Retries per success." default:"0.1"`
	Floor   float64   `help:"Retries that a level may make before any success." default:"3"`
	Limit   int       `help:"Calls between hops after which the model ends." default:"20000000"`
	Seed    uint64    `help:"Seed of the failures." default:"1"`
}

// Run prints the load that retries add in a chain of calls.
func (c *retriesCommand) Run() error {
	if c.Depth < 1 || c.Depth > 20 || c.Calls < 1 || c.Limit < 1 || c.Limit > 1e9 {
		return fault.New(fault.Invalid, "retries", "depth, calls or limit out of range", "use up to 20 calls in a chain and a limit up to 1000000000")
	}
	fmt.Println("| levels that fail | failure | rule | chains run | chains that succeeded | load added | at the worst level |")
	fmt.Println("|---|---|---|---|---|---|---|")
	for _, failing := range c.Failing {
		for _, failure := range c.Failure {
			c.compare(replay.Chain{Depth: c.Depth, Chains: c.Calls, FailingLevels: failing, FailureProbability: failure, Seed: c.Seed, MaxCalls: c.Limit})
		}
	}
	return nil
}

func (c *retriesCommand) compare(m replay.Chain) {
	for _, markDenied := range []bool{true, false} {
		m.MarkDenied = markDenied
		m.ShouldRetry, m.OnSuccess = replay.RetryBudget(c.Depth, c.Ratio, c.Floor)
		c.print(fmt.Sprintf("budget, denial marked: %t", markDenied), m)
	}
	m.ShouldRetry, m.OnSuccess = replay.UnbudgetedRetries(1)
	c.print("one retry at each level", m)
}

func (c *retriesCommand) print(rule string, m replay.Chain) {
	l := m.Run()
	fmt.Printf("| %d | %g | %s | %d | %.4f | %.1f%% | %.1f%% |\n", m.FailingLevels, m.FailureProbability, rule, l.Chains,
		float64(l.SucceededChains)/float64(l.Chains), 100*l.AddedLoad(), 100*l.AddedLoadAtWorstLevel())
}
