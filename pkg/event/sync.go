package event

import "github.com/rs/zerolog"

// Events of control connections, configuration and synchronisation.
var (
	ControlRefused = define(1100, "control_refused", zerolog.WarnLevel,
		"a control connection from outside the allowed networks was refused",
		"If the address is a node of the mesh, add its network to --peer-networks.")
	ControlPanic = define(1101, "control_panic", zerolog.ErrorLevel, "the handler of a control call panicked",
		"Report the stack trace and the version of the node's software.")
	ConfigAccepted = define(1110, "config_accepted", zerolog.InfoLevel, "a new configuration is in force", "")
	ConfigOlder    = define(1111, "config_older", zerolog.ErrorLevel,
		"a configuration older than the one in force was refused",
		"If the platform was restored, raise the version of the head object above the version in force.")
	ConfigConflict = define(1112, "config_conflict", zerolog.ErrorLevel,
		"a configuration with the version of the one in force but a different hash was refused",
		"The head object has two diverging histories; find the right one and submit a release note based on it.")
	ConfigInvalid = define(1113, "config_invalid", zerolog.ErrorLevel,
		"a configuration that failed validation was refused",
		"Submit a release note that corrects what the error names; the node keeps its current configuration.")
	ConfigMismatch = define(1114, "config_mismatch", zerolog.WarnLevel,
		"applying a configuration delta gave an unexpected hash, so the full configuration is requested", "")
	SyncReady = define(1120, "sync_ready", zerolog.InfoLevel,
		"the node has completed its initial synchronisation", "")
	SyncWaiting = define(1121, "sync_waiting", zerolog.WarnLevel,
		"the node is not ready: too few peers have responded and the platform does not respond",
		"Check the platform and the network path to the seeds.")
	SyncRelayLost = define(1122, "sync_relay_lost", zerolog.WarnLevel,
		"a relay does not respond; the node switches to another one", "")
	SyncRelay = define(1123, "sync_relay", zerolog.InfoLevel,
		"the node has selected a relay to synchronise with", "")
	SyncDeparted = define(1124, "sync_departed", zerolog.WarnLevel,
		"the node was marked as departed and announces itself again with a higher incarnation",
		"Check whether the node was paused or lost its network connection.")
	ZoneUnreachable = define(1125, "zone_unreachable", zerolog.WarnLevel,
		"an availability zone is unreachable; its instances get no new calls",
		"Check the network between the availability zones.")
	ZoneReachable = define(1126, "zone_reachable", zerolog.InfoLevel,
		"an availability zone is reachable again", "")
)
