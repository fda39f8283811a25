package directory

import (
	"context"
	"time"
)

const (
	// maxStall is how long a response of the store may pause once it has begun. A packet that is lost twice in a row takes
	// 0.6 s.
	maxStall = time.Second
	// maxCallTime limits a call whose response keeps arriving. A response of 4 MB takes 5 s on a link of 7 Mbit/s that carries
	// nothing else.
	maxCallTime = 20 * time.Second
)

type progressKey struct{}

// withStallLimit returns a context for a call to the store that ends if no response has begun within limit, or if the response
// pauses for longer than maxStall. A limit on the whole call would keep large objects from a node with a slow link for good.
func withStallLimit(ctx context.Context, limit time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, maxCallTime)
	timer := time.AfterFunc(limit, cancel)
	ctx = context.WithValue(ctx, progressKey{}, func() { timer.Reset(maxStall) })
	return ctx, func() {
		timer.Stop()
		cancel()
	}
}

// ReportProgress tells that a part of the response to the call with the given context has arrived. A Store calls it while it
// reads a response.
func ReportProgress(ctx context.Context) {
	if report, ok := ctx.Value(progressKey{}).(func()); ok {
		report()
	}
}
