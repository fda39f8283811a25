package event

import "github.com/rs/zerolog"

// Events of roll-outs, in which the traffic of a service moves to another version.
var (
	RolloutOrdered = define(1704, "rollout_ordered", zerolog.InfoLevel, "the store holds an order to roll out a version", "")
	RolloutRefused = define(1705, "rollout_refused", zerolog.WarnLevel,
		"an order to roll out a version has an odd field; it is not carried out",
		"Write the order again with the field corrected that the error names, or delete it.")
	RolloutPlan = define(1706, "rollout_plan", zerolog.InfoLevel, "this node follows another plan for a service", "")
	RolloutBad  = define(1707, "rollout_halted", zerolog.WarnLevel,
		"the new version gets no more requests",
		"The field reason names the difference to the old version; look at the new version's instances on that route.")
	RolloutWritten = define(1708, "rollout_written", zerolog.InfoLevel,
		"this node has written the status of a roll-out", "")
	RolloutNotWritten = define(1709, "rollout_not_written", zerolog.WarnLevel,
		"writing the status of a roll-out failed; the store is read again, and this or another node tries again",
		"Check the store if this lasts; a version that was found bad gets no requests meanwhile.")
	RolloutWithdrawn = define(1710, "rollout_withdrawn", zerolog.WarnLevel,
		"the order to roll out a version was removed before its end; the version gets no requests",
		"Write the order again if the version is to be rolled out, or stop its instances.")
	RolloutReportLost = define(1711, "rollout_report_lost", zerolog.WarnLevel,
		"no node has taken a report about the versions of a service; an instance of the new version gets no requests until one does",
		"Check the store and the network path to the nodes that watch it.")
)
