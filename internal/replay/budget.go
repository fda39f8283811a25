package replay

// Budget returns a retry rule and its success counter: each level keeps a budget of ratio retries per success, starting
// with floor retries, and a call that carries Ml-Retried is never retried.
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

// Unlimited returns the baseline: each level retries a failed call up to most times, marked or not.
func Unlimited(most int) (decide func(Hop) bool, succeeded func(level int)) {
	return func(h Hop) bool { return h.Retries < most }, func(int) {}
}
