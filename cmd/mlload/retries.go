package main

import (
	"fmt"

	"github.com/monsoonlatch/monsoonlatch/internal/replay"
	"github.com/monsoonlatch/monsoonlatch/pkg/fault"
)

type retriesCommand struct {
	Depth   int       `help:"Number of calls in a chain." default:"14"`
	Calls   int       `help:"Number of chains." default:"100000"`
	Failure []float64 `help:"Probability that a call to a failing level fails." default:"0.01,0.1,0.5,1"`
	Failing []int     `help:"Number of levels at the end of the chain whose calls fail." default:"1,14"`
	Ratio   float64   `help:"Retries allowed per successful call." default:"0.1"`
	Floor   float64   `help:"Retries that a level may make before any success." default:"3"`
	Limit   int       `help:"Total number of calls, at all levels, after which the model stops." default:"20000000"`
	Seed    uint64    `help:"Seed of the failures." default:"1"`
}

// Run prints a Markdown table of the load that retries add in a chain of calls.
func (c *retriesCommand) Run() error {
	if c.Depth < 1 || c.Depth > 20 || c.Calls < 1 || c.Limit < 1 || c.Limit > 1e9 {
		return fault.New(fault.Invalid, "retries", "depth, calls or limit out of range",
			"use 1 to 20 calls in a chain, at least 1 chain and a limit of 1 to 1000000000")
	}
	fmt.Println("| failing levels | failure probability | retry rule | " +
		"chains | fraction succeeded | added load | added load at the worst level |")
	fmt.Println("|---|---|---|---|---|---|---|")
	for _, failing := range c.Failing {
		for _, failure := range c.Failure {
			c.printRules(replay.Chain{
				Depth: c.Depth, Chains: c.Calls, FailingLevels: failing, FailureProbability: failure, Seed: c.Seed, MaxCalls: c.Limit,
			})
		}
	}
	return nil
}

func (c *retriesCommand) printRules(chain replay.Chain) {
	for _, markDenied := range []bool{true, false} {
		chain.MarkDenied = markDenied
		chain.ShouldRetry, chain.OnSuccess = replay.RetryBudget(c.Depth, c.Ratio, c.Floor)
		c.printRow(fmt.Sprintf("retry budget, denied retries marked: %t", markDenied), chain)
	}
	chain.ShouldRetry, chain.OnSuccess = replay.UnbudgetedRetries(1)
	c.printRow("one retry at each level", chain)
}

func (c *retriesCommand) printRow(rule string, chain replay.Chain) {
	load := chain.Run()
	fmt.Printf("| %d | %g | %s | %d | %.4f | %.1f%% | %.1f%% |\n", chain.FailingLevels, chain.FailureProbability, rule, load.Chains,
		float64(load.SucceededChains)/float64(load.Chains), 100*load.AddedLoad(), 100*load.AddedLoadAtWorstLevel())
}
