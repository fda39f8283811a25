package platform

import (
	"context"
	"net"
	"strings"
	"time"
)

// Settings of the HTTP client. Zero values stand for the defaults.
type Settings struct {
	// BaseURL is the address of the object API, such as http://10.0.0.5:8001.
	BaseURL string
	// Token is sent as a bearer token if it is not empty.
	Token string
	// CallTimeout bounds each call but watches. The platform answers in milliseconds.
	CallTimeout time.Duration
	// WatchSilence is the longest time without an event or bookmark on a watch before it counts as silent. The
	// platform must send bookmarks more often.
	WatchSilence time.Duration
	// WatchDuration is how long the platform is asked to keep one watch open.
	WatchDuration time.Duration
	// Dial opens connections; nil stands for TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Defaults of Settings.
const (
	DefaultCallTimeout = 2 * time.Second
	// DefaultWatchSilence leaves more than half of the 7 s in which a change must be in force everywhere.
	DefaultWatchSilence  = 3 * time.Second
	DefaultWatchDuration = 60 * time.Second
)

func (s Settings) withDefaults() Settings {
	s.BaseURL = strings.TrimRight(s.BaseURL, "/")
	s.CallTimeout = orDefault(s.CallTimeout, DefaultCallTimeout)
	s.WatchSilence = orDefault(s.WatchSilence, DefaultWatchSilence)
	s.WatchDuration = orDefault(s.WatchDuration, DefaultWatchDuration)
	return s
}

func orDefault(d, other time.Duration) time.Duration {
	if d <= 0 {
		return other
	}
	return d
}
