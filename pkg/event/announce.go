package event

import "github.com/rs/zerolog"

// Events of announcements by the own backend server.
var (
	BackendState = define(1600, "backend_state", zerolog.InfoLevel, "the backend server has announced a new state", "")
	BackendLost  = define(1601, "backend_lost", zerolog.WarnLevel,
		"the backend server has stopped announcing itself and gets no new work",
		"Check that the backend server runs and reaches the node's admin address.")
	AnnouncementRefused = define(1602, "announcement_refused", zerolog.WarnLevel,
		"an announcement was refused", "Correct what the error names in the backend server's settings.")
	AnnouncementStale = define(1603, "announcement_stale", zerolog.InfoLevel,
		"an announcement of an earlier start, or a late one, was ignored", "")
	BackendReplaced = define(1604, "backend_replaced", zerolog.WarnLevel,
		"another start of the backend server answers; it gets no work until it announces itself", "")
	IncarnationRaised = define(1605, "incarnation_raised", zerolog.WarnLevel,
		"others know a later start of this node, or its record was removed; its record goes out with a higher incarnation",
		"Check the VM's time of day, and that no two nodes have one name.")
)
