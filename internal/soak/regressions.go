package soak

import "time"

// Regression describes a run that found a violation before.
type Regression struct {
	Seed   uint64
	Length time.Duration
	Cause  string
}

// Regressions are the runs that mlsoak --regressions repeats. The seed determines the plan but not the timing of the
// processes, so a repeated run may miss the fault; each fault therefore has a test of its own as well.
var Regressions = []Regression{
	{Seed: 1, Length: 40 * time.Second, Cause: "SIGHUP ended a node that was starting; TestHangupDuringStart"},
}
