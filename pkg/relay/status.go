package relay

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"github.com/monsoonlatch/monsoonlatch/pkg/clock"
	"github.com/monsoonlatch/monsoonlatch/pkg/event"
	"github.com/monsoonlatch/monsoonlatch/pkg/fault"
	"github.com/monsoonlatch/monsoonlatch/pkg/lease"
	"github.com/monsoonlatch/monsoonlatch/pkg/platform"
	"github.com/monsoonlatch/monsoonlatch/pkg/status"
	"github.com/monsoonlatch/monsoonlatch/pkg/syncer"
)

const (
	// statusPause is the shortest time between two writes of the status, statusPeriod the longest.
	statusPause  = time.Second
	statusPeriod = 10 * time.Second
)

// statusLoop writes the status at a bounded rate.
func (d *duty) statusLoop(ctx context.Context) {
	version := ""
	timer := time.NewTimer(statusPause)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.statusNow:
		case <-timer.C:
		}
		version = d.writeStatus(ctx, version)
		if !clock.Sleep(ctx, statusPause) {
			return
		}
		timer.Reset(statusPeriod - statusPause)
	}
}

// writeStatus writes the status object and returns its version, or "" if it must be read first.
func (d *duty) writeStatus(ctx context.Context, version string) string {
	ctx, cancel := context.WithTimeout(ctx, d.settings.PlatformTimeout)
	defer cancel()
	spec, err := json.Marshal(d.status())
	if err != nil {
		panic("relay: " + err.Error()) // ZoneStatus has only strings, numbers and times
	}
	obj := platform.Object{Kind: platform.KindZoneStatus, Name: lease.Name(d.info.Zone, d.info.Slot), Version: version, Spec: spec}
	if version == "" {
		obj, err = d.createStatus(ctx, obj)
	} else if obj, err = d.store.Update(ctx, obj); fault.Is(err, fault.Conflict) {
		// The platform was restored, or another holder has written: a stale report would hide it from a submit.
		obj, err = d.createStatus(ctx, obj)
	}
	if err != nil {
		d.limited(err, "status")
		d.metrics.Counter("relay.status_failed").Inc(1)
		logWith(&d.log, event.RelayStatusFailed, func(e *zerolog.Event) { e.Err(err) })
		return ""
	}
	return obj.Version
}

// createStatus replaces the object of an earlier holder of the slot, or creates it.
func (d *duty) createStatus(ctx context.Context, obj platform.Object) (platform.Object, error) {
	old, err := d.store.Get(ctx, obj.Kind, obj.Name)
	switch {
	case fault.Is(err, fault.NotFound):
		return d.store.Create(ctx, obj)
	case err != nil:
		return obj, err
	}
	obj.Version = old.Version
	return d.store.Update(ctx, obj)
}

func (d *duty) status() status.ZoneStatus {
	now := d.clock.Now()
	s := status.ZoneStatus{
		Zone: d.info.Zone, Slot: strconv.Itoa(int(d.info.Slot)), Relay: string(d.info.Node),
		WrittenAt: now.UTC(), Version: d.acceptor.State().Version, Nodes: []status.NodeStatus{},
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, p := range d.polls.nodes {
		i := p.instance
		if !p.own || i.AvailabilityZone != d.info.Zone && now.Sub(p.at) > syncer.DepartureTimeout {
			continue
		}
		if known, ok := d.table.Get(id); ok && known.Incarnation >= i.Incarnation {
			i = known
		}
		s.Nodes = append(s.Nodes, status.NodeStatus{
			ID: string(id), Service: i.Service, Version: p.config.Version, Hash: string(p.config.Hash),
			State: status.StateName(i.State), LastPollAgeMillis: now.Sub(p.at).Milliseconds(),
		})
	}
	slices.SortFunc(s.Nodes, func(a, b status.NodeStatus) int { return cmp.Compare(a.ID, b.ID) })
	return s
}
