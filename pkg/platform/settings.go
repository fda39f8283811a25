package platform

import (
	"context"
	"net"
	"strings"
	"time"
)

// Settings configures the HTTP client. Zero values mean the defaults.
type Settings struct {
	// BaseURL is the address of the object API, such as http://10.0.0.5:8001.
	BaseURL string
	// Token is sent as a bearer token if it is not empty.
	Token string
	// CallTimeout limits each call except Watch. The platform normally responds within milliseconds.
	CallTimeout time.Duration
	// WatchIdleTimeout is the time without an event or bookmark after which a watch fails. The platform must send
	// bookmarks more often.
	WatchIdleTimeout time.Duration
	// WatchDuration is the time that the client asks the platform to keep a watch open.
	WatchDuration time.Duration
	// Dial opens connections; nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Defaults of Settings.
const (
	DefaultCallTimeout = 2 * time.Second
	// DefaultWatchIdleTimeout takes less than half of the 7 s within which a change must be in force on every node.
	DefaultWatchIdleTimeout = 3 * time.Second
	DefaultWatchDuration    = 60 * time.Second
)

func (s Settings) withDefaults() Settings {
	s.BaseURL = strings.TrimRight(s.BaseURL, "/")
	s.CallTimeout = orDefault(s.CallTimeout, DefaultCallTimeout)
	s.WatchIdleTimeout = orDefault(s.WatchIdleTimeout, DefaultWatchIdleTimeout)
	s.WatchDuration = orDefault(s.WatchDuration, DefaultWatchDuration)
	return s
}

func orDefault(d, other time.Duration) time.Duration {
	if d <= 0 {
		return other
	}
	return d
}
