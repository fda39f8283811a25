package event

import "github.com/rs/zerolog"

// Events of the process as a whole.
var (
	NodeStarted  = define(1000, "node_started", zerolog.InfoLevel, "the node has started", "")
	NodeStopping = define(1001, "node_stopping", zerolog.InfoLevel, "the node drains and stops", "")
	NodeStopped  = define(1002, "node_stopped", zerolog.InfoLevel, "the node has stopped", "")
	NodeFailed   = define(1003, "node_failed", zerolog.ErrorLevel, "the node cannot run",
		"Correct what the error names and start the node again.")
)
