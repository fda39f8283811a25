package clock

import (
	"context"
	"time"
)

// Sleep waits for d on the system clock; false means that the context has ended.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
