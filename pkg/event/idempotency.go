package event

import "github.com/rs/zerolog"

// Events of requests with an idempotency key.
var (
	KeyRecordLost = define(1400, "key_record_lost", zerolog.WarnLevel,
		"both holders of an idempotency record departed without a hand-over; the outcome is unknown until its window ends",
		"Look for crashes of several instances of the service within one idempotency window.")
	KeyHandedOver = define(1401, "key_records_handed_over", zerolog.InfoLevel,
		"all idempotency records were handed over to other nodes", "")
	KeyHandOverIncomplete = define(1402, "key_hand_over_incomplete", zerolog.WarnLevel,
		"some idempotency records could not be handed over to enough holders; the departure counts as a crash",
		"Stop fewer instances of the service at once, or allow a longer grace period.")
	KeyPlatformClaimFailed = define(1403, "key_platform_claim_failed", zerolog.WarnLevel,
		"a request with an idempotency key was refused because the platform denied its claim or did not respond",
		"Check the platform and the network; callers may send the request again.")
	KeyClaimDeleteFailed = define(1404, "key_claim_delete_failed", zerolog.WarnLevel,
		"a claim object on the platform could not be deleted; the deletion is retried", "")
	KeyOutboxFull = define(1405, "key_outbox_full", zerolog.WarnLevel,
		"an outcome or a withdrawn claim was not sent to a holder because the send queue is full",
		"Look for holders that respond slowly; nodes that claim the key later ask this node instead.")
)
