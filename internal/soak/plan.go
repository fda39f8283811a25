package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// action is a kind of step.
type action string

// Actions of a plan. The report shows these names.
const (
	actLinkSlow            action = "link slow"
	actLinkStalled         action = "link stalled"
	actLinkOneWay          action = "link stalled one way"
	actLinkReset           action = "link reset"
	actStoreErrors         action = "store returns errors"
	actStoreSilent         action = "store does not respond"
	actStoreDropsResponses action = "store drops responses to writes"
	actWatchesSilent       action = "store does not respond to watches"
	actStoreCompacts       action = "store compacts its history"
	actStoreRestored       action = "store restored from a copy"
	actPause               action = "node paused"
	actKill                action = "node killed"
	actCrash               action = "backend server crashed"
	actFaultyResponses     action = "backend server returns faulty responses"

	actStop    action = "node stopped and started"
	actReload  action = "settings reloaded"
	actReplace action = "backend server replaced"
	actChange  action = "configuration changed"
)

// faultActions are the actions that are faults.
var faultActions = []action{actLinkSlow, actLinkStalled, actLinkOneWay, actLinkReset, actStoreErrors, actStoreSilent,
	actStoreDropsResponses, actWatchesSilent, actStoreCompacts, actPause, actKill, actCrash, actFaultyResponses}

// restoresPerThousand is how many of 1000 phases with faults have a restore of the store. Restores are drawn apart from the other
// actions, so that a seed keeps its other steps.
const restoresPerThousand = 600

// plannedActions are the operators' actions, which must not make requests fail. Listing actChange twice doubles its
// weight.
var plannedActions = []action{actStop, actReload, actReplace, actChange, actChange}

// step is one scheduled action of a plan.
type step struct {
	at time.Duration
	action
	// vm is the index of the VM that the action affects.
	vm int
	// duration is how long the action takes.
	duration time.Duration
	// variant selects a variant of the action; it is a number from 0 to 999.
	variant int
}

const (
	// faultPhase is the length of a phase with faults of all kinds. The phase with planned actions only that follows it
	// lasts calmPhase, which is three times settleTime.
	faultPhase = 7 * time.Second
	calmPhase  = 9 * time.Second
	// minDuration and maxDuration limit how long a step lasts.
	minDuration = 200 * time.Millisecond
	maxDuration = 3 * time.Second
	// faultPhasePause and calmPhasePause are the mean pauses between steps in the two phases.
	faultPhasePause = 500 * time.Millisecond
	calmPhasePause  = 1200 * time.Millisecond
	// pairsPerThousand is how many of 1000 steps are followed by another one within pairGap.
	pairsPerThousand = 250
	pairGap          = 50 * time.Millisecond
)

// newPlan returns the steps of a run. The same arguments give the same steps.
func newPlan(seed uint64, length time.Duration, vms int) []step {
	r := rand.New(rand.NewPCG(seed, 0))
	var plan []step
	for at := time.Second; at < length; {
		faulty := at%(faultPhase+calmPhase) < faultPhase
		actions, pause := plannedActions, calmPhasePause
		if faulty {
			actions, pause = slices.Concat(faultActions, plannedActions), faultPhasePause
		}
		plan = append(plan, step{at: at, action: actions[r.IntN(len(actions))], vm: r.IntN(vms), variant: r.IntN(1000),
			duration: minDuration + time.Duration(r.Int64N(int64(maxDuration-minDuration)))})
		if r.IntN(1000) < pairsPerThousand {
			at += time.Duration(r.Int64N(int64(50 * time.Millisecond)))
		} else {
			at += time.Duration(r.ExpFloat64() * float64(pause))
		}
	}
	plan = append(plan, restores(seed, length)...)
	slices.SortStableFunc(plan, func(a, b step) int { return cmp.Compare(a.at, b.at) })
	return plan
}

// restores returns the steps in which the store comes back from a copy. The duration is the age of the copy when the store goes away.
func restores(seed uint64, length time.Duration) (steps []step) {
	r := rand.New(rand.NewPCG(seed, 1))
	for phase := time.Duration(0); phase < length; phase += faultPhase + calmPhase {
		at, duration, variant := phase+time.Second+time.Duration(r.Int64N(int64(faultPhase-time.Second))), minDuration+time.Duration(r.Int64N(int64(maxDuration-minDuration))), r.IntN(1000)
		if r.IntN(1000) < restoresPerThousand && at < length {
			steps = append(steps, step{at: at, action: actStoreRestored, variant: variant, duration: duration})
		}
	}
	return steps
}
