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

// Chain models a chain of Depth calls, in which each level calls the next. A call to one of the last Failing levels
// fails with probability Failure, before that level calls the next one. Calls is the number of chains to run.
type Chain struct {
	Depth   int
	Calls   int
	Failing int
	Failure float64
	Seed    uint64
	// Decide reports whether the caller retries a failed call.
	Decide func(FailedCall) bool
	// Succeeded is called with the level of the caller for each successful call.
	Succeeded func(level int)
	// MarkDenied states that a failure whose retry was denied is marked with Ml-Retried, so that no caller further up
	// retries it either.
	MarkDenied bool
	// Limit is the number of calls, counted over all levels, after which the model ends. Without retry budgets, the
	// number of calls grows exponentially with the depth.
	Limit int
}

// ChainLoad holds the load that the chains cause.
type ChainLoad struct {
	// Calls holds the number of calls to each level, including retries.
	Calls []int
	// Chains is the number of chains that ran before the limit, Succeeded that of chains whose outermost call succeeded.
	Chains, Succeeded int
	// total is the sum of Calls.
	total int
}

// Added returns the additional load as a fraction of the load of the same chains without failures. It is negative if
// failures end more calls early than retries add.
func (l ChainLoad) Added() float64 {
	return float64(l.total)/float64(max(l.Chains, 1)*len(l.Calls)) - 1
}

// AddedAtWorst returns the additional load of the level with the most calls, as a fraction of its load without
// failures.
func (l ChainLoad) AddedAtWorst() float64 {
	return float64(slices.Max(l.Calls))/float64(max(l.Chains, 1)) - 1
}

type chainRun struct {
	Chain
	random *rand.Rand
	load   ChainLoad
}

// Run runs the chains one after the other, up to Limit calls.
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

// call runs one call to a level, including its retries. marked states that the call carries Ml-Retried. It returns
// whether the call succeeded and whether its response carries Ml-Retried.
func (r *chainRun) call(level int, marked bool) (ok, answerMarked bool) {
	for retries := 0; ; retries++ {
		ok, markedBelow := r.attempt(level, marked)
		if ok {
			r.Succeeded(level)
			return true, marked
		}
		marked = marked || markedBelow
		if r.load.total >= r.Limit || !r.Decide(FailedCall{level, retries, marked}) {
			return false, marked || r.MarkDenied
		}
		marked = true
	}
}

func (r *chainRun) attempt(level int, marked bool) (ok, answerMarked bool) {
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
