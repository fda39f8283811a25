package event

import "github.com/rs/zerolog"

// Events of the platform client.
var (
	PlatformUnavailable = define(1500, "platform_unavailable", zerolog.WarnLevel, "the platform does not respond",
		"Check the platform and the network. Nodes keep their current configuration; release notes cannot be submitted.")
	PlatformAnswers = define(1501, "platform_answers", zerolog.InfoLevel, "the platform responds again", "")
	PlatformRefuses = define(1502, "platform_refuses", zerolog.ErrorLevel,
		"the platform rejected a call for lack of permission",
		"Check the token and the platform's access rules.")
	WatchBroken = define(1503, "watch_broken", zerolog.InfoLevel,
		"a watch on the platform expired, timed out or lost its connection", "")
)
