package soak

import "time"

// Regression is a run that once broke a rule.
type Regression struct {
	Seed   uint64
	Length time.Duration
	Cause  string
}

// Regressions are played again by mlsoak --regressions. Their plans follow from the seeds, the times of processes do not,
// so that each fault also has a test of its own.
var Regressions = []Regression{
	{Seed: 1, Length: 40 * time.Second, Cause: "SIGHUP ended a node that was starting; TestHangupDuringStart"},
}
