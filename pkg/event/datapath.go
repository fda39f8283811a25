package event

import "github.com/rs/zerolog"

// Events of the data path.
var (
	AnswerCut = define(1300, "answer_cut", zerolog.WarnLevel,
		"a long answer was cut; the caller's connection is aborted", "Look for restarts of the named service.")
	AnswerCrossed = define(1301, "answer_crossed", zerolog.ErrorLevel,
		"an answer carried the id of another request and was discarded",
		"Check the backend server of the named instance: it mixes up answers.")
	HopLimit = define(1302, "hop_limit", zerolog.ErrorLevel,
		"a call was refused because it passed too many hops", "Look for a loop between the named services.")
	DrainStarted = define(1303, "drain_started", zerolog.InfoLevel, "the data path takes no new work", "")
	CallRefused  = define(1310, "call_refused", zerolog.InfoLevel,
		"a call ended without an answer of a backend server", "Look up the reason in docs/reasons.md.")
	CallRetried    = define(1311, "call_retried", zerolog.InfoLevel, "a call is sent to another instance", "")
	CallTurnedAway = define(1312, "call_turned_away", zerolog.InfoLevel,
		"the node beside the backend server did not hand it a call of another node", "Look up the reason in docs/reasons.md.")
	CallFailed = define(1313, "call_failed", zerolog.InfoLevel, "a backend server answered a call with an error",
		"Look for the request in the backend server's log, and for calls that it made.")
	DrainEnded = define(1304, "drain_ended", zerolog.InfoLevel, "the data path has no work in flight", "")
)
