package soak

import (
	"math/rand/v2"
	"slices"
	"time"
)

// action is a kind of step.
type action string

// Steps of a plan. The names appear in the report.
const (
	actLinkSlow   action = "link slow"
	actLinkSilent action = "link silent"
	actLinkDeaf   action = "link cut one way"
	actLinkReset  action = "link reset"
	actStoreDown  action = "store refuses"
	actStoreMute  action = "store silent"
	actStoreLost  action = "store loses answers"
	actStoreDeaf  action = "store's watches silent"
	actStoreForgo action = "store forgets history"
	actPause      action = "node paused"
	actKill       action = "node killed"
	actCrash      action = "backend server crashed"
	actFailing    action = "backend server fails"

	actStop    action = "node stopped and started"
	actReload  action = "settings read again"
	actReplace action = "backend server replaced"
	actChange  action = "configuration changed"
)

var unplanned = []action{actLinkSlow, actLinkSilent, actLinkDeaf, actLinkReset, actStoreDown, actStoreMute, actStoreLost, actStoreDeaf,
	actStoreForgo, actPause, actKill, actCrash, actFailing}

var plannedWork = []action{actStop, actReload, actReplace, actChange, actChange}

// step is one event of a plan.
type step struct {
	at time.Duration
	action
	// vm is the VM that it happens on, lasts how long it does, and choice a number below 1000 for variants.
	vm     int
	lasts  time.Duration
	choice int
}

const (
	// stormSpell is the length of a span with faults of all kinds, and calmSpell that of the span with planned work only
	// after it: three times the stability that the bounds in time ask for.
	stormSpell = 7 * time.Second
	calmSpell  = 9 * time.Second
	// shortest and longest bound a fault.
	shortest = 200 * time.Millisecond
	longest  = 3 * time.Second
	// stormPause and calmPause are mean pauses between steps.
	stormPause = 500 * time.Millisecond
	calmPause  = 1200 * time.Millisecond
	// pairShare of steps, out of 1000, are followed by another one within pairGap.
	pairShare = 250
	pairGap   = 50 * time.Millisecond
)

// newPlan returns the steps of a run; the same seed gives the same steps.
func newPlan(seed uint64, length time.Duration, vms int) []step {
	r := rand.New(rand.NewPCG(seed, 0))
	var plan []step
	for at := time.Second; at < length; {
		storm := at%(stormSpell+calmSpell) < stormSpell
		kinds, pause := plannedWork, calmPause
		if storm {
			kinds, pause = slices.Concat(unplanned, plannedWork), stormPause
		}
		plan = append(plan, step{at: at, action: kinds[r.IntN(len(kinds))], vm: r.IntN(vms), choice: r.IntN(1000),
			lasts: shortest + time.Duration(r.Int64N(int64(longest-shortest)))})
		if r.IntN(1000) < pairShare {
			at += time.Duration(r.Int64N(int64(50 * time.Millisecond)))
		} else {
			at += time.Duration(r.ExpFloat64() * float64(pause))
		}
	}
	return plan
}
