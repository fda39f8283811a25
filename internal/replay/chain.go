package replay

import (
	"math/rand/v2"
	"slices"
)

// FailedCall describes a failed call in a chain to the function that decides whether to retry it.
type FailedCall struct {
	// Level is the depth of the caller in the chain, 0 for the outermost caller.
	Level int
	// Retries is the number of times that this caller has already retried the call.
	Retries int
	// MarkedRetried states that the call carries Ml-Retried: a call further down was retried, or this call is part of a
	// retry.
	MarkedRetried bool
}

// Chain models a chain of Depth calls, in which each level calls the next. A call to one of the last FailingLevels
// levels fails with probability FailureProbability, before that level calls the next one. Chains is the number of
// chains to run.
type Chain struct {
	Depth              int
	Chains             int
	FailingLevels      int
	FailureProbability float64
	Seed               uint64
	// ShouldRetry reports whether the caller retries a failed call.
	ShouldRetry func(FailedCall) bool
	// OnSuccess is called with the level of the caller for each successful call.
	OnSuccess func(level int)
	// MarkDenied states that a failure whose retry was denied is marked with Ml-Retried, so that no caller further up
	// retries it either.
	MarkDenied bool
	// MaxCalls is the number of calls, counted over all levels, after which the model ends. Without retry budgets, the
	// number of calls grows exponentially with the depth.
	MaxCalls int
}

// ChainLoad holds the load that the chains cause.
type ChainLoad struct {
	// CallsPerLevel holds the number of calls to each level, including retries.
	CallsPerLevel []int
	// Chains is the number of chains that ran before MaxCalls was reached, SucceededChains the number of those whose
	// outermost call succeeded.
	Chains, SucceededChains int
	// totalCalls is the sum of CallsPerLevel.
	totalCalls int
}

// AddedLoad returns the additional load as a fraction of the load of the same chains without failures. It is negative
// if failures prevent more calls than retries add.
func (l ChainLoad) AddedLoad() float64 {
	return float64(l.totalCalls)/float64(max(l.Chains, 1)*len(l.CallsPerLevel)) - 1
}

// AddedLoadAtWorstLevel returns the additional load of the level with the most calls, as a fraction of its load without
// failures.
func (l ChainLoad) AddedLoadAtWorstLevel() float64 {
	return float64(slices.Max(l.CallsPerLevel))/float64(max(l.Chains, 1)) - 1
}

type chainRun struct {
	Chain
	random *rand.Rand
	load   ChainLoad
}

// Run runs the chains one after the other, until MaxCalls is reached.
func (c Chain) Run() ChainLoad {
	r := &chainRun{Chain: c, random: rand.New(rand.NewPCG(c.Seed, 0))}
	r.load.CallsPerLevel = make([]int, c.Depth)
	for r.load.Chains < c.Chains && r.load.totalCalls < c.MaxCalls {
		r.load.Chains++
		if ok, _ := r.call(0, false); ok {
			r.load.SucceededChains++
		}
	}
	return r.load
}

// call runs one call to a level, including its retries. marked states that the call carries Ml-Retried. It returns
// whether the call succeeded and whether its response carries Ml-Retried.
func (r *chainRun) call(level int, marked bool) (ok, responseMarked bool) {
	for retries := 0; ; retries++ {
		ok, markedBelow := r.attempt(level, marked)
		if ok {
			r.OnSuccess(level)
			return true, marked
		}
		marked = marked || markedBelow
		if r.load.totalCalls >= r.MaxCalls || !r.ShouldRetry(FailedCall{level, retries, marked}) {
			return false, marked || r.MarkDenied
		}
		marked = true
	}
}

func (r *chainRun) attempt(level int, marked bool) (ok, responseMarked bool) {
	r.load.CallsPerLevel[level]++
	r.load.totalCalls++
	if level >= r.Depth-r.FailingLevels && r.random.Float64() < r.FailureProbability {
		return false, false
	}
	if level+1 == r.Depth {
		return true, false
	}
	return r.call(level+1, marked)
}
