package event

import "github.com/rs/zerolog"

// Events of the network listeners.
var (
	ListenerFailed = define(1650, "listener_failed", zerolog.ErrorLevel, "a listener stopped unexpectedly",
		"See the field error for the cause; restart the node if it no longer accepts connections on that listener.")
	SourceRefused = define(1651, "source_refused", zerolog.WarnLevel,
		"a connection from outside the allowed networks was closed",
		"If the source belongs to the mesh, add its network to --peer-networks.")
)
