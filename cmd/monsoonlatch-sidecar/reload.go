package main

import (
	"context"
	"os"
	"time"

	"github.com/rs/zerolog"

	"github.com/monsoonlatch/monsoonlatch/pkg/event"
	"github.com/monsoonlatch/monsoonlatch/platform"
)

// rereadPeriod is how often the settings file is read without a signal; the platform may change it without one.
const rereadPeriod = 5 * time.Second

// reloader reads the settings file again at SIGHUP and from time to time. Bounds take effect at once; addresses and
// names of a running node do not change, and a file that changes them needs a restart.
type reloader struct {
	path    string
	current platform.VMSettings
	apply   func(platform.Bounds)
	log     zerolog.Logger
}

func (r *reloader) run(ctx context.Context, hup <-chan os.Signal) {
	tick := time.NewTicker(rereadPeriod)
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

// reload keeps what is in force if the file cannot be read.
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
	fixed := next
	fixed.Bounds = old.Bounds
	event.SettingsReloaded.Write(event.SettingsReloaded.Log(&r.log).Bool("signal", signalled).Bool("bounds_changed", next.Bounds != old.Bounds).
		Bool("needs_restart", fixed != old).Dur("drain", next.Bounds.Drain).Dur("apply", next.Bounds.Apply))
}
