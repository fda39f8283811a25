package event

import "github.com/rs/zerolog"

// Events of the relay duty.
var (
	RelayStarted  = define(1200, "relay_started", zerolog.InfoLevel, "the node takes up the relay duty", "")
	RelayStopped  = define(1201, "relay_stopped", zerolog.InfoLevel, "the node gives up the relay duty", "")
	RelayReplaced = define(1202, "relay_replaced", zerolog.WarnLevel, "another node holds the lease, so this node steps down",
		"If it happens often, check whether the VM is paused or overloaded.")
	RelayWatchLost = define(1203, "relay_watch_lost", zerolog.WarnLevel, "the watch of the head has ended and is opened again",
		"Check the platform if it goes on; nodes keep the configuration that they serve.")
	RelayDeparture = define(1204, "relay_departure", zerolog.WarnLevel, "an instance whose node has not polled is recorded as departed",
		"Check the VM of the instance.")
	RelayExchangeFailed = define(1205, "relay_exchange_failed", zerolog.WarnLevel, "a relay of another zone does not answer", "Check the network between the availability zones.")
	RelayLimited        = define(1206, "relay_limited", zerolog.WarnLevel, "the budget of platform calls is spent, so a call is put off",
		"Check what calls the platform so often; the counters platform.calls tell the kinds.")
	RelayStatusFailed = define(1207, "relay_status_failed", zerolog.WarnLevel, "the status object of the zone was not written",
		"Check the platform; note status shows the zone as of its last write.")
	RelayPaused = define(1208, "relay_paused", zerolog.WarnLevel, "the relay was paused, so it counts no missed polls from that time",
		"Check whether the VM is paused or overloaded.")
)
