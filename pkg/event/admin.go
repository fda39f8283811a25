package event

import "github.com/rs/zerolog"

// Events of the network listeners.
var (
	ListenerFailed = define(1650, "listener_failed", zerolog.ErrorLevel, "a listener stopped unexpectedly",
		"See the field error for the cause; restart the node if it no longer accepts connections on that listener.")
	SourceRefused = define(1651, "source_refused", zerolog.WarnLevel,
		"a connection from outside the allowed networks was closed",
		"If the source belongs to the mesh, add its network to --peer-networks.")
	HeadTooLarge = define(1652, "head_too_large", zerolog.WarnLevel,
		"request heads exceeded the limit of the configuration and were refused",
		"Find the clients; if they are right, raise maxHeaderBytes.")
	HeadTimeout = define(1653, "head_timeout", zerolog.WarnLevel,
		"request heads did not arrive within the time limit of the configuration; their connections were closed",
		"Find the clients; if they are right, raise headerTimeoutMs.")
	HeadMemory = define(1654, "head_memory", zerolog.WarnLevel,
		"request heads took more memory together than the node has for them; the largest were closed or refused",
		"Look for clients that send heads of thousands of fields.")
	ConnectionsExceeded = define(1655, "connections_exceeded", zerolog.WarnLevel,
		"a listener has as many connections as the node allows; waiting ones or new ones were closed",
		"Look for clients that open connections and send nothing.")
	AnswerUnread = define(1656, "answer_unread", zerolog.WarnLevel,
		"clients did not read their answers; their connections were closed",
		"Look for clients that send requests without reading the answers.")
	RequestUnread = define(1657, "request_unread", zerolog.WarnLevel,
		"bytes that clients sent ahead took more memory than the node has for them; their connections were closed",
		"Look for clients that send requests without waiting for the answers.")
	BodyTimeout = define(1658, "body_timeout", zerolog.WarnLevel,
		"request bodies did not arrive in time; their connections were closed",
		"Look for clients that send bodies slowly, and at the network path to them.")
)
