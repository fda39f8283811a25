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
	// watchPause spreads the relays that open their watch again after an outage of the platform.
	watchPause = 2 * time.Second
	// noHeadPause is the time between reads while there is no head object to watch.
	noHeadPause = time.Second
	listPeriod  = 10 * time.Second
	// confirmPause gathers the nodes of a herd of restarts for one read.
	confirmPause = 250 * time.Millisecond
)

// watchLoop keeps one watch on the head.
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
			continue // The platform ends each watch after a time; a pause would make the relay miss changes.
		}
		if ctx.Err() == nil {
			d.limited(err, "watch")
			logWith(&d.log, event.RelayWatchLost, func(e *zerolog.Event) { e.Err(err) })
			clock.Sleep(ctx, d.settings.Jitter(watchPause))
		}
	}
}

// readHead reads the head and offers it; ok is false if there is nothing to watch from.
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

func (d *duty) head(o platform.Object) {
	w, err := syncer.ParseHead(o)
	if err != nil {
		syncer.LogVerdict(&d.log, d.metrics, syncer.Invalid, err, "platform", d.acceptor.State())
		return
	}
	if d.accept(syncer.ConfigUpdate{Whole: &w}, "platform") == syncer.Older {
		// A restore has taken back the reports too; a submit detects the restore by them.
		poke(d.statusNow)
	}
}

// confirm reports whether the head was read after the call began. Nodes that start together share one read.
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

// confirmHead reads the head; a head object that does not exist is an answer too.
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

// listLoop learns the relays of all zones from their lease objects.
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
