package event

import "github.com/rs/zerolog"

// Events of control connections, configuration and synchronisation.
var (
	ControlRefused = define(1100, "control_refused", zerolog.WarnLevel, "a control connection from a network that is not allowed was refused",
		"If the address is a node of the mesh, add its network to --peer-networks.")
	ControlPanic = define(1101, "control_panic", zerolog.ErrorLevel, "the handler of a control call failed and was stopped",
		"Report the stack with the release of the node.")
	ConfigAccepted = define(1110, "config_accepted", zerolog.InfoLevel, "a configuration is in force", "")
	ConfigOlder    = define(1111, "config_older", zerolog.ErrorLevel, "a configuration older than the one in force was refused",
		"If the platform was restored, raise the version of the head object above the version in force.")
	ConfigConflict = define(1112, "config_conflict", zerolog.ErrorLevel, "a configuration with the version in force and another hash was refused",
		"Two histories of the head exist; find the right one and submit a release note on it.")
	ConfigInvalid = define(1113, "config_invalid", zerolog.ErrorLevel, "a configuration that does not pass its checks was refused",
		"Submit a release note that corrects what the error names; the node keeps the configuration that it serves.")
	ConfigMismatch = define(1114, "config_mismatch", zerolog.WarnLevel, "a configuration delta led to another hash, so the whole configuration is requested", "")
	SyncReady      = define(1120, "sync_ready", zerolog.InfoLevel, "the node has synchronised and can be ready", "")
	SyncWaiting    = define(1121, "sync_waiting", zerolog.WarnLevel, "the node is not ready: too few peers have answered and the platform does not",
		"Check the platform and the network path to the seeds.")
	SyncRelayLost = define(1122, "sync_relay_lost", zerolog.WarnLevel, "a relay does not answer, so the node tries another one", "")
	SyncRelay     = define(1123, "sync_relay", zerolog.InfoLevel, "the node synchronises with a relay", "")
	SyncDeparted  = define(1124, "sync_departed", zerolog.WarnLevel, "the node was recorded as departed and announces itself again with a higher incarnation",
		"Check whether the node was paused or cut off.")
	ZoneUnreachable = define(1125, "zone_unreachable", zerolog.WarnLevel, "an availability zone cannot be reached; its instances get no new work",
		"Check the network between the availability zones.")
	ZoneReachable = define(1126, "zone_reachable", zerolog.InfoLevel, "an availability zone can be reached again", "")
)
