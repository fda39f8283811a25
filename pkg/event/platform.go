package event

import "github.com/rs/zerolog"

// Events of the platform client.
var (
	PlatformUnavailable = define(1500, "platform_unavailable", zerolog.WarnLevel, "the platform does not answer",
		"Check the platform and the network. Nodes go on with the configuration that they serve; release notes cannot be submitted.")
	PlatformAnswers = define(1501, "platform_answers", zerolog.InfoLevel, "the platform answers again", "")
	PlatformRefuses = define(1502, "platform_refuses", zerolog.ErrorLevel, "the platform refuses a call for lack of permission",
		"Check the token and the platform's access rules.")
	WatchBroken = define(1503, "watch_broken", zerolog.InfoLevel, "a watch expired, went silent or was cut", "")
)
