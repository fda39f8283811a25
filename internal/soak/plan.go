package soak

import (
	"math/rand/v2"
	"slices"
	"time"
)

// action is a kind of step.
type action string

// Actions of a plan. The report shows these names.
const (
	actLinkSlow   action = "link slow"
	actLinkSilent action = "link stalled"
	actLinkDeaf   action = "link stalled one way"
	actLinkReset  action = "link reset"
	actStoreDown  action = "store returns errors"
	actStoreMute  action = "store does not answer"
	actStoreLost  action = "store drops answers to writes"
	actStoreDeaf  action = "store does not answer watches"
	actStoreForgo action = "store compacts its history"
	actPause      action = "node paused"
	actKill       action = "node killed"
	actCrash      action = "backend server crashed"
	actFailing    action = "backend server returns faulty answers"

	actStop    action = "node stopped and started"
	actReload  action = "settings reloaded"
	actReplace action = "backend server replaced"
	actChange  action = "configuration changed"
)

// unplanned are the actions that are faults.
var unplanned = []action{actLinkSlow, actLinkSilent, actLinkDeaf, actLinkReset, actStoreDown, actStoreMute, actStoreLost, actStoreDeaf,
	actStoreForgo, actPause, actKill, actCrash, actFailing}

// plannedWork are the operators' actions, which must not make requests fail. Listing actChange twice doubles its
// weight.
var plannedWork = []action{actStop, actReload, actReplace, actChange, actChange}

// step is one scheduled action of a plan.
type step struct {
	at time.Duration
	action
	// vm is the index of the VM that the action affects.
	vm int
	// lasts is how long the action takes.
	lasts time.Duration
	// choice selects a variant of the action; it is a number from 0 to 999.
	choice int
}

const (
	// stormSpell is the length of a phase with faults of all kinds. The phase with planned actions only that follows it
	// lasts calmSpell, which is three times the undisturbed time after which time limits are checked.
	stormSpell = 7 * time.Second
	calmSpell  = 9 * time.Second
	// shortest and longest limit how long a step lasts.
	shortest = 200 * time.Millisecond
	longest  = 3 * time.Second
	// stormPause and calmPause are the mean pauses between steps in the two phases.
	stormPause = 500 * time.Millisecond
	calmPause  = 1200 * time.Millisecond
	// pairShare is how many of 1000 steps are followed by another one within pairGap.
	pairShare = 250
	pairGap   = 50 * time.Millisecond
)

// newPlan returns the steps of a run. The same arguments give the same steps.
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
