package main

import (
	"context"
	"os"
	"time"

	"github.com/rs/zerolog"

	"github.com/monsoonlatch/monsoonlatch/pkg/event"
	"github.com/monsoonlatch/monsoonlatch/platform"
)

// reloadPeriod is the interval at which the settings file is read without a signal, since the platform may change the
// file without sending SIGHUP.
const reloadPeriod = 5 * time.Second

// reloader rereads the settings file on SIGHUP and periodically. A changed drain time, or a changed time limit for
// applying a configuration, takes effect at once; all other changes, such as to addresses and names, need a restart of
// the node.
type reloader struct {
	path    string
	current platform.VMSettings
	apply   func(platform.Bounds)
	log     zerolog.Logger
}

func (r *reloader) run(ctx context.Context, hup <-chan os.Signal) {
	tick := time.NewTicker(reloadPeriod)
	defer tick.Stop()
	for {
		select {
		case <-hup:
			r.reload(true)
		case <-tick.C:
			r.reload(false)
		case <-ctx.Done():
			return
		}
	}
}

// reload passes the bounds in the file to apply. If the file cannot be read, the settings in force stay unchanged.
func (r *reloader) reload(signalled bool) {
	next, err := platform.ReadSettings(r.path)
	if err != nil {
		event.SettingsRefused.Write(event.SettingsRefused.Log(&r.log).Err(err))
		return
	}
	if next == r.current && !signalled {
		return
	}
	old := r.current
	r.current = next
	r.apply(next.Bounds)
	exceptBounds := next
	exceptBounds.Bounds = old.Bounds
	event.SettingsReloaded.Write(event.SettingsReloaded.Log(&r.log).Bool("signal", signalled).Bool("bounds_changed", next.Bounds != old.Bounds).
		Bool("needs_restart", exceptBounds != old).Dur("drain", next.Bounds.Drain).Dur("apply", next.Bounds.Apply))
}
