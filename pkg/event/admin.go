package event

import "github.com/rs/zerolog"

// Events of the listeners.
var (
	ListenerFailed = define(1650, "listener_failed", zerolog.ErrorLevel, "a listener ended unexpectedly",
		"Look for the cause in the field error; restart the node if the listener's traffic has stopped.")
	SourceRefused = define(1651, "source_refused", zerolog.WarnLevel, "a connection from outside the allowed networks was closed",
		"If the source belongs to the mesh, add its network to --peer-networks.")
)
