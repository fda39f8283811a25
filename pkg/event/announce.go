package event

import "github.com/rs/zerolog"

// Events of the announcements that the local backend server sends to its node.
var (
	BackendState = define(1600, "backend_state", zerolog.InfoLevel, "the backend server has announced a new state", "")
	BackendLost  = define(1601, "backend_lost", zerolog.WarnLevel,
		"the backend server has stopped announcing itself and gets no new calls",
		"Check that the backend server is running and can reach the node's admin address.")
	AnnouncementRefused = define(1602, "announcement_refused", zerolog.WarnLevel,
		"an announcement was refused",
		"Correct the backend server setting that the error names.")
	AnnouncementStale = define(1603, "announcement_stale", zerolog.InfoLevel,
		"an announcement from an earlier start of the backend server, or one that arrived out of order, was ignored", "")
	BackendReplaced = define(1604, "backend_replaced", zerolog.WarnLevel,
		"a start of the backend server other than the announced one responded; it gets no calls until it is announced", "")
	IncarnationRaised = define(1605, "incarnation_raised", zerolog.WarnLevel,
		"the node's incarnation is not above one that others know, or its record was removed; it publishes a higher one",
		"Check the VM's clock, and that no two nodes share a name.")
	AnnouncementUnchecked = define(1607, "announcement_unchecked", zerolog.WarnLevel,
		"the store does not tell what an earlier run of this node has published; the backend server is believed, since it has announced itself for long enough",
		"Check the store and the network path to the other nodes.")
	AnnouncementChecked = define(1606, "announcement_checked", zerolog.InfoLevel,
		"the backend server was asked whether it accepts calls, since the announcement is the first since the node's start; if it does not, the next announcement decides", "")
)
