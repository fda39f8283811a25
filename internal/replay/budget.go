package replay

// Budget returns the Decide and Succeeded functions of a Chain with retry budgets: each level starts with floor retries
// and earns ratio retries per success. A call that carries Ml-Retried is never retried.
func Budget(depth int, ratio, floor float64) (decide func(Hop) bool, succeeded func(level int)) {
	tokens := make([]float64, depth)
	for i := range tokens {
		tokens[i] = floor
	}
	decide = func(h Hop) bool {
		if h.Marked || tokens[h.Level] < 1 {
			return false
		}
		tokens[h.Level]--
		return true
	}
	return decide, func(level int) { tokens[level] += ratio }
}

// Unlimited returns the functions of the baseline without budgets: each level retries a failed call up to most times,
// whether or not it carries Ml-Retried.
func Unlimited(most int) (decide func(Hop) bool, succeeded func(level int)) {
	return func(h Hop) bool { return h.Retries < most }, func(int) {}
}
