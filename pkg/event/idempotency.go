package event

import "github.com/rs/zerolog"

// Events of keyed requests.
var (
	KeyRecordLost = define(1400, "key_record_lost", zerolog.WarnLevel,
		"both holders of a key's record departed without handing over; the outcome is unknown until the window has passed",
		"Look for crashes of several instances of the service within one window.")
	KeyHandedOver = define(1401, "key_records_handed_over", zerolog.InfoLevel,
		"all idempotency records were handed over", "")
	KeyHandOverIncomplete = define(1402, "key_hand_over_incomplete", zerolog.WarnLevel,
		"some idempotency records have too few new holders; the node departs as if it had crashed",
		"Stop fewer instances of the service at once, or allow a longer grace period.")
	KeyPlatformClaimFailed = define(1403, "key_platform_claim_failed", zerolog.WarnLevel,
		"a keyed request was refused because the platform did not grant or answer its claim",
		"Check the platform and the network; callers may send the request again.")
	KeyClaimDeleteFailed = define(1404, "key_claim_delete_failed", zerolog.WarnLevel,
		"a claim object on the platform could not be deleted and is tried again", "")
	KeyOutboxFull = define(1405, "key_outbox_full", zerolog.WarnLevel,
		"an outcome or a withdrawal was not sent to a holder because the queue is full",
		"Look for holders that answer slowly; later claimants ask this node instead.")
)
