package replay

import (
	"math/rand/v2"
	"slices"
)

// Hop is a failed call in a chain, as the retry decision sees it.
type Hop struct {
	// Level is the depth of the caller; the outermost caller is 0.
	Level   int
	Retries int
	// Marked states that the call carries Ml-Retried: a lower hop has retried it, or it is part of a retry.
	Marked bool
}

// Chain models calls that are Depth deep, each level calling the next. A call to one of the last Failing levels fails
// with probability Failure, before it has called the next one.
type Chain struct {
	Depth   int
	Calls   int
	Failing int
	Failure float64
	Seed    uint64
	// Decide tells whether the caller sends a failed call again.
	Decide func(Hop) bool
	// Succeeded is told of each successful call, by the level of its caller.
	Succeeded func(level int)
	// MarkDenied marks a failure whose retry was denied, so that no upper hop retries it either.
	MarkDenied bool
	// Limit ends the model after this many calls between hops, since unlimited retries grow exponentially with the depth.
	Limit int
}

// ChainLoad is the load that the chains cause.
type ChainLoad struct {
	// Calls counts the calls to each level, with retries.
	Calls []int
	// Chains counts the chains that ran before the limit, Succeeded those whose outermost call succeeded.
	Chains, Succeeded int
	total             int
}

// Added is the load over that of the same chains without any failure, as a part of it; it is below zero where chains
// end early and few calls are retried.
func (l ChainLoad) Added() float64 {
	return float64(l.total)/float64(max(l.Chains, 1)*len(l.Calls)) - 1
}

// AddedAtWorst is the same for the level with the most calls.
func (l ChainLoad) AddedAtWorst() float64 {
	return float64(slices.Max(l.Calls))/float64(max(l.Chains, 1)) - 1
}

type chainRun struct {
	Chain
	random *rand.Rand
	load   ChainLoad
}

// Run sends all calls through the chain, one after the other.
func (c Chain) Run() ChainLoad {
	r := &chainRun{Chain: c, random: rand.New(rand.NewPCG(c.Seed, 0))}
	r.load.Calls = make([]int, c.Depth)
	for r.load.Chains < c.Calls && r.load.total < c.Limit {
		r.load.Chains++
		if ok, _ := r.call(0, false); ok {
			r.load.Succeeded++
		}
	}
	return r.load
}

// call runs one call to a level with its retries. marked states that it carries Ml-Retried. It returns whether the call
// succeeded, and whether its answer carries the mark.
func (r *chainRun) call(level int, marked bool) (ok, answerMarked bool) {
	for retries := 0; ; retries++ {
		ok, below := r.attempt(level, marked)
		if ok {
			r.Succeeded(level)
			return true, marked
		}
		marked = marked || below
		if r.load.total >= r.Limit || !r.Decide(Hop{level, retries, marked}) {
			return false, marked || r.MarkDenied
		}
		marked = true
	}
}

func (r *chainRun) attempt(level int, marked bool) (ok, below bool) {
	r.load.Calls[level]++
	r.load.total++
	if level >= r.Depth-r.Failing && r.random.Float64() < r.Failure {
		return false, false
	}
	if level+1 == r.Depth {
		return true, false
	}
	return r.call(level+1, marked)
}
