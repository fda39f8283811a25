package event

import "github.com/rs/zerolog"

// Events of the data path.
var (
	AnswerCut = define(1300, "answer_cut", zerolog.WarnLevel,
		"a response broke off while it was forwarded; the caller's connection is aborted",
		"Look for restarts of the named service.")
	AnswerCrossed = define(1301, "answer_crossed", zerolog.ErrorLevel,
		"a response with the ID of another request was discarded",
		"Check the backend server of the named instance or address: it mixes up responses.")
	HopLimit = define(1302, "hop_limit", zerolog.ErrorLevel,
		"a call was refused because it exceeded the hop limit",
		"Look for a call loop between services, starting with the named one.")
	DrainStarted = define(1303, "drain_started", zerolog.InfoLevel, "the data path has started to drain", "")
	CallRefused  = define(1310, "call_refused", zerolog.InfoLevel,
		"a call ended without a response from a backend server",
		"Look up the reason in docs/reasons.md.")
	CallRetried    = define(1311, "call_retried", zerolog.InfoLevel, "a call is retried on another instance", "")
	CallTurnedAway = define(1312, "call_turned_away", zerolog.InfoLevel,
		"a call from another node ended without a response from the local backend server",
		"Look up the reason in docs/reasons.md.")
	CallFailed = define(1313, "call_failed", zerolog.InfoLevel,
		"a backend server responded to a call with a server error",
		"Look for the request in the backend server's log, and check the calls that the backend server made for it.")
	SentLeaving = define(1314, "sent_leaving", zerolog.InfoLevel,
		"a call was sent to a backend server that has announced that it leaves",
		"If leaving_ms exceeds the drain time, compare it with the announcements in 1600 and with since_admission_ms.")
	BackendAdvice = define(1315, "backend_advice", zerolog.InfoLevel,
		"the responses of the backend server name another limit on its requests per second, or say that it leaves or no longer leaves",
		"Find out why the backend server takes less; limit 0 means that it names none.")
	CallHedged = define(1316, "call_hedged", zerolog.InfoLevel,
		"a call has waited longer than usual, and a second request for it is sent to another instance", "")
	DrainEnded = define(1304, "drain_ended", zerolog.InfoLevel, "the data path has no calls in flight", "")

	QuotaRefused = define(1330, "quota_refused", zerolog.InfoLevel,
		"a tenant's requests are refused because they exceed its quota",
		"Compare the tenant's demand with its rate and burst in the configuration.")
	QuotaHomeLost = define(1331, "quota_home_lost", zerolog.WarnLevel,
		"a node that keeps quotas of tenants does not answer; the next node stands in for it",
		"Check the VM of the named node and the network to it.")
	QuotaHomeBack = define(1332, "quota_home_back", zerolog.InfoLevel, "a node that keeps quotas of tenants answers again", "")
	QuotaLone     = define(1333, "quota_lone", zerolog.WarnLevel,
		"no node of the zone answers for the quota of a tenant; this node admits a small part of it alone",
		"Check the network between the VMs of the zone.")
	QuotaIsolated = define(1334, "quota_isolated", zerolog.WarnLevel,
		"no other node of the zone answers this one, which keeps quotas of tenants; it grants none until one does",
		"Check the network between this VM and the others of the zone.")
	QuotaRejoined = define(1335, "quota_rejoined", zerolog.InfoLevel,
		"another node of the zone has been reached again; this node grants quotas of tenants again", "")
	QuotaLimitChanged = define(1336, "quota_limit_changed", zerolog.InfoLevel,
		"the limit of a tenant has changed and is in force at the node that keeps its quota", "")
	QuotaTransferFailed = define(1337, "quota_transfer_failed", zerolog.InfoLevel,
		"another zone did not answer a request for a part of a tenant's quota", "")
)
