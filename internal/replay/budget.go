package replay

// RetryBudget returns the ShouldRetry and OnSuccess functions of a Chain with retry budgets. The budget of each level
// starts at floor retries and grows by ratio for each successful call. A call that carries Ml-Retried is never retried.
func RetryBudget(depth int, ratio, floor float64) (shouldRetry func(FailedCall) bool, onSuccess func(level int)) {
	tokens := make([]float64, depth)
	for i := range tokens {
		tokens[i] = floor
	}
	shouldRetry = func(call FailedCall) bool {
		if call.MarkedRetried || tokens[call.Level] < 1 {
			return false
		}
		tokens[call.Level]--
		return true
	}
	return shouldRetry, func(level int) { tokens[level] += ratio }
}

// UnbudgetedRetries returns the functions of the baseline without budgets: each level retries a failed call up to
// maxRetries times, whether or not it carries Ml-Retried.
func UnbudgetedRetries(maxRetries int) (shouldRetry func(FailedCall) bool, onSuccess func(level int)) {
	return func(call FailedCall) bool { return call.Retries < maxRetries }, func(int) {}
}
