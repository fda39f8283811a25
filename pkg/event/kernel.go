package event

import "github.com/rs/zerolog"

// Events of the process as a whole.
var (
	NodeStarted  = define(1000, "node_started", zerolog.InfoLevel, "the node has started", "")
	NodeStopping = define(1001, "node_stopping", zerolog.InfoLevel, "the node drains and stops", "")
	NodeStopped  = define(1002, "node_stopped", zerolog.InfoLevel, "the node has stopped", "")
	NodeFailed   = define(1003, "node_failed", zerolog.ErrorLevel, "the node cannot run",
		"Correct what the error names and start the node again.")
	DepartFailed = define(1004, "depart_failed", zerolog.WarnLevel, "no relay took the departure of this node",
		"None; the relays record the departure after three missed polls.")
	HandOverFailed = define(1005, "hand_over_failed", zerolog.WarnLevel, "not all idempotency records were passed on",
		"Expect outcome_unknown refusals for some keys until the idempotency window has passed; stop fewer nodes at a time.")
	SettingsReloaded = define(1006, "settings_reloaded", zerolog.InfoLevel, "the settings file was read again",
		"Restart the node if needs_restart is true: addresses and names change at a start only.")
	SettingsRefused = define(1007, "settings_refused", zerolog.ErrorLevel,
		"the settings file cannot be used; the settings in force stay", "Correct the field that the error names.")
)
