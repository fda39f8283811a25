package relay

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/monsoonlatch/monsoonlatch/pkg/clock"
	"github.com/monsoonlatch/monsoonlatch/pkg/event"
	"github.com/monsoonlatch/monsoonlatch/pkg/fault"
	"github.com/monsoonlatch/monsoonlatch/pkg/platform"
	"github.com/monsoonlatch/monsoonlatch/pkg/syncer"
)

const (
	// watchRetrySpread is the upper bound of the random delay before a failed watch is reopened. It spreads the relays
	// after an outage of the platform.
	watchRetrySpread = 2 * time.Second
	// headRetryDelay is the shortest delay between reads while the head object cannot be read.
	headRetryDelay = time.Second
	// leaseListPeriod is the mean time between two reads of the lease objects, which varies from half of this to one and
	// a half times as much.
	leaseListPeriod = 10 * time.Second
	// confirmInterval is the delay between two confirming reads. It lets one read serve many nodes in a mass restart.
	confirmInterval = 250 * time.Millisecond
)

// watchLoop keeps a watch open on the head, the platform object with the latest configuration.
func (a *activeRelay) watchLoop(ctx context.Context) {
	for ctx.Err() == nil {
		version, ok := a.readHead(ctx)
		if !ok {
			clock.Sleep(ctx, headRetryDelay+a.settings.Jitter(watchRetrySpread))
			continue
		}
		began := a.clock.Now()
		err := a.store.Watch(ctx, platform.KindConfiguration, platform.HeadName, version, func(o platform.Object) error {
			a.applyHead(o)
			return nil
		})
		if err == nil && a.clock.Now().Sub(began) > watchRetrySpread {
			continue // The platform ends each watch after some time; a pause here would delay changes.
		}
		if ctx.Err() == nil {
			a.reportRateLimited(err, "watch")
			logWith(&a.log, event.RelayWatchLost, func(e *zerolog.Event) { e.Err(err) })
			clock.Sleep(ctx, a.settings.Jitter(watchRetrySpread))
		}
	}
}

// readHead reads the head, applies it and returns its object version; ok is false if it cannot be read.
func (a *activeRelay) readHead(ctx context.Context) (version string, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, a.settings.PlatformTimeout)
	defer cancel()
	o, err := a.store.Get(ctx, platform.KindConfiguration, platform.HeadName)
	if err != nil {
		a.reportRateLimited(err, "head")
		return "", false
	}
	a.applyHead(o)
	return o.Version, true
}

// applyHead applies a head object that was read or watched on the platform.
func (a *activeRelay) applyHead(o platform.Object) {
	w, err := syncer.ParseHead(o)
	if err != nil {
		syncer.LogVerdict(&a.log, a.metrics, syncer.Invalid, err, "platform", a.acceptor.State())
		return
	}
	if a.acceptUpdate(syncer.ConfigUpdate{Whole: &w}, "platform") == syncer.Older {
		// The platform was restored to an older state, and the status objects with it. The submit of a release note
		// detects the restore from the status, so it is written again at once.
		notify(a.statusTrigger)
	}
}

// requestConfirm waits for a read of the head that starts after the call and reports whether it succeeded. Calls that
// wait at the same time share one read.
func (a *activeRelay) requestConfirm(ctx context.Context) bool {
	done := make(chan bool, 1)
	select {
	case a.confirmRequests <- done:
	default:
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, 2*a.settings.PlatformTimeout)
	defer cancel()
	select {
	case ok := <-done:
		return ok
	case <-ctx.Done():
		return false
	}
}

func (a *activeRelay) confirmLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-a.confirmRequests:
			waiting := []chan bool{first}
			for len(a.confirmRequests) > 0 {
				waiting = append(waiting, <-a.confirmRequests)
			}
			ok := a.confirmHead(ctx)
			for _, w := range waiting {
				w <- ok
			}
			clock.Sleep(ctx, confirmInterval)
		}
	}
}

// confirmHead reads and applies the head. That there is no head object counts as a successful read.
func (a *activeRelay) confirmHead(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, a.settings.PlatformTimeout)
	defer cancel()
	o, err := a.store.Get(ctx, platform.KindConfiguration, platform.HeadName)
	if err == nil {
		a.applyHead(o)
	} else {
		a.reportRateLimited(err, "confirm")
	}
	return err == nil || fault.Is(err, fault.NotFound)
}

// leaseListLoop finds the relays of all zones by listing their lease objects.
func (a *activeRelay) leaseListLoop(ctx context.Context) {
	for {
		a.listLeases(ctx)
		if !clock.Sleep(ctx, leaseListPeriod/2+a.settings.Jitter(leaseListPeriod)) {
			return
		}
	}
}

func (a *activeRelay) listLeases(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, a.settings.PlatformTimeout)
	defer cancel()
	objects, err := a.store.List(ctx, platform.KindRelayLease)
	if err != nil {
		a.reportRateLimited(err, "list")
		return
	}
	now := a.clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, o := range objects {
		if r, ok := syncer.ParseLease(o); ok && (r.Zone != a.selfInfo.Zone || r.Slot != a.selfInfo.Slot) {
			if a.directory.recordLease(now, r, o.Version) {
				a.exchangeState(r.Zone).retryAt = time.Time{}
			}
		}
	}
}
