package event

import "github.com/rs/zerolog"

// Events of the process as a whole.
var (
	NodeStarted  = define(1000, "node_started", zerolog.InfoLevel, "the node has started", "")
	NodeStopping = define(1001, "node_stopping", zerolog.InfoLevel, "the node is draining and then stops", "")
	NodeStopped  = define(1002, "node_stopped", zerolog.InfoLevel, "the node has stopped", "")
	NodeFailed   = define(1003, "node_failed", zerolog.ErrorLevel, "the node cannot run",
		"Correct what the error names and start the node again.")
	DepartFailed = define(1004, "depart_failed", zerolog.WarnLevel,
		"no relay acknowledged the departure of this node",
		"None; the relays mark the node as departed after three missed polls.")
	HandOverFailed = define(1005, "hand_over_failed", zerolog.WarnLevel,
		"not all idempotency records could be handed over to other nodes",
		"Expect outcome_unknown refusals for some keys until the idempotency window has passed; stop fewer nodes at a time.")
	SettingsReloaded = define(1006, "settings_reloaded", zerolog.InfoLevel, "the settings file was reloaded",
		"Restart the node if needs_restart is true: changed addresses and names take effect only at start.")
	SettingsRefused = define(1007, "settings_refused", zerolog.ErrorLevel,
		"the settings file could not be loaded; the current settings remain in force",
		"Correct the field that the error names.")
)
