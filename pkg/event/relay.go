package event

import "github.com/rs/zerolog"

// Events of nodes that act as a relay.
var (
	RelayStarted  = define(1200, "relay_started", zerolog.InfoLevel, "the node starts to act as a relay", "")
	RelayStopped  = define(1201, "relay_stopped", zerolog.InfoLevel, "the node no longer acts as a relay", "")
	RelayReplaced = define(1202, "relay_replaced", zerolog.WarnLevel,
		"another node holds the relay lease, so this node stops acting as a relay",
		"If this happens often, check whether the VM is paused or overloaded.")
	RelayWatchLost = define(1203, "relay_watch_lost", zerolog.WarnLevel,
		"the watch on the head object ended early and is reopened",
		"Check the platform if this persists; nodes keep their current configuration.")
	RelayDeparture = define(1204, "relay_departure", zerolog.WarnLevel,
		"an instance whose node stopped polling was marked as departed",
		"Check the VM of the instance.")
	RelayExchangeFailed = define(1205, "relay_exchange_failed", zerolog.WarnLevel,
		"a relay in another availability zone does not respond",
		"Check the network between the availability zones.")
	RelayLimited = define(1206, "relay_limited", zerolog.WarnLevel,
		"the rate limit for platform calls is reached, so a call is postponed",
		"Find out what calls the platform so often; the platform.calls counters are split by kind of call.")
	RelayStatusFailed = define(1207, "relay_status_failed", zerolog.WarnLevel,
		"the status object of the zone could not be written",
		"Check the platform; the command note status shows the zone as of the last successful write.")
	RelayPaused = define(1208, "relay_paused", zerolog.WarnLevel,
		"the relay process was paused; polls missed during the pause are not counted",
		"Check whether the VM is paused or overloaded.")
)
