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
	// watchPause is the upper bound of the random delay before a failed watch is reopened. It spreads the relays after an
	// outage of the platform.
	watchPause = 2 * time.Second
	// noHeadPause is the shortest delay between reads while the head object cannot be read.
	noHeadPause = time.Second
	listPeriod  = 10 * time.Second
	// confirmPause is the delay between two confirming reads. It lets one read serve many nodes in a mass restart.
	confirmPause = 250 * time.Millisecond
)

// watchLoop keeps a watch open on the head.
func (d *duty) watchLoop(ctx context.Context) {
	for ctx.Err() == nil {
		version, ok := d.readHead(ctx)
		if !ok {
			clock.Sleep(ctx, noHeadPause+d.settings.Jitter(watchPause))
			continue
		}
		began := d.clock.Now()
		err := d.store.Watch(ctx, platform.KindConfiguration, platform.HeadName, version, func(o platform.Object) error {
			d.head(o)
			return nil
		})
		if err == nil && d.clock.Now().Sub(began) > watchPause {
			continue // The platform ends each watch after some time; a pause here would delay changes.
		}
		if ctx.Err() == nil {
			d.limited(err, "watch")
			logWith(&d.log, event.RelayWatchLost, func(e *zerolog.Event) { e.Err(err) })
			clock.Sleep(ctx, d.settings.Jitter(watchPause))
		}
	}
}

// readHead reads the head, applies it and returns its object version; ok is false if it cannot be read.
func (d *duty) readHead(ctx context.Context) (version string, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, d.settings.PlatformTimeout)
	defer cancel()
	o, err := d.store.Get(ctx, platform.KindConfiguration, platform.HeadName)
	if err != nil {
		d.limited(err, "head")
		return "", false
	}
	d.head(o)
	return o.Version, true
}

// head applies a head object that was read or watched on the platform.
func (d *duty) head(o platform.Object) {
	w, err := syncer.ParseHead(o)
	if err != nil {
		syncer.LogVerdict(&d.log, d.metrics, syncer.Invalid, err, "platform", d.acceptor.State())
		return
	}
	if d.accept(syncer.ConfigUpdate{Whole: &w}, "platform") == syncer.Older {
		// The platform was restored to an older state, and the status objects with it. The submit of a release note
		// detects the restore from the status, so it is written again at once.
		poke(d.statusNow)
	}
}

// confirm waits for a read of the head that starts after the call and reports whether it succeeded. Calls that wait at
// the same time share one read.
func (d *duty) confirm(ctx context.Context) bool {
	done := make(chan bool, 1)
	select {
	case d.confirms <- done:
	default:
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, 2*d.settings.PlatformTimeout)
	defer cancel()
	select {
	case ok := <-done:
		return ok
	case <-ctx.Done():
		return false
	}
}

func (d *duty) confirmLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-d.confirms:
			waiting := []chan bool{first}
			for len(d.confirms) > 0 {
				waiting = append(waiting, <-d.confirms)
			}
			ok := d.confirmHead(ctx)
			for _, w := range waiting {
				w <- ok
			}
			clock.Sleep(ctx, confirmPause)
		}
	}
}

// confirmHead reads and applies the head. That there is no head object counts as a successful read.
func (d *duty) confirmHead(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, d.settings.PlatformTimeout)
	defer cancel()
	o, err := d.store.Get(ctx, platform.KindConfiguration, platform.HeadName)
	if err == nil {
		d.head(o)
	} else {
		d.limited(err, "confirm")
	}
	return err == nil || fault.Is(err, fault.NotFound)
}

// listLoop finds the relays of all zones by listing their lease objects.
func (d *duty) listLoop(ctx context.Context) {
	for {
		d.listLeases(ctx)
		if !clock.Sleep(ctx, listPeriod/2+d.settings.Jitter(listPeriod)) {
			return
		}
	}
}

func (d *duty) listLeases(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, d.settings.PlatformTimeout)
	defer cancel()
	objects, err := d.store.List(ctx, platform.KindRelayLease)
	if err != nil {
		d.limited(err, "list")
		return
	}
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, o := range objects {
		if r, ok := syncer.ParseLease(o); ok && (r.Zone != d.info.Zone || r.Slot != d.info.Slot) {
			if d.directory.lease(now, r, o.Version) {
				d.target(r.Zone).retryAt = time.Time{}
			}
		}
	}
}
