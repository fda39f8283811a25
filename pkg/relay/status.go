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
	// minStatusInterval is the shortest interval between two writes of the status, maxStatusInterval the longest.
	minStatusInterval = time.Second
	maxStatusInterval = 10 * time.Second
)

// statusLoop writes the status after changes and periodically, at a limited rate.
func (a *activeRelay) statusLoop(ctx context.Context) {
	version := ""
	timer := time.NewTimer(minStatusInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.statusTrigger:
		case <-timer.C:
		}
		version = a.writeStatus(ctx, version)
		if !clock.Sleep(ctx, minStatusInterval) {
			return
		}
		timer.Reset(maxStatusInterval - minStatusInterval)
	}
}

// writeStatus writes the status object and returns its new version, or "" if the write failed.
func (a *activeRelay) writeStatus(ctx context.Context, version string) string {
	ctx, cancel := context.WithTimeout(ctx, a.settings.PlatformTimeout)
	defer cancel()
	spec, err := json.Marshal(a.zoneStatus())
	if err != nil {
		panic("relay: " + err.Error()) // ZoneStatus has only strings, numbers and times
	}
	obj := platform.Object{
		Kind: platform.KindZoneStatus, Name: lease.Name(a.selfInfo.Zone, a.selfInfo.Slot), Version: version, Spec: spec,
	}
	if version == "" {
		obj, err = a.replaceStatus(ctx, obj)
	} else if obj, err = a.store.Update(ctx, obj); fault.Is(err, fault.Conflict) {
		// The platform was restored, or another holder of the slot has written. The object is replaced at once, because a
		// stale status would hide a restore from the submit of a release note.
		obj, err = a.replaceStatus(ctx, obj)
	}
	if err != nil {
		a.reportRateLimited(err, "status")
		a.metrics.Counter("relay.status_failed").Inc(1)
		logWith(&a.log, event.RelayStatusFailed, func(e *zerolog.Event) { e.Err(err) })
		return ""
	}
	return obj.Version
}

// replaceStatus reads the version of the status object and replaces the object, or creates it if there is none.
func (a *activeRelay) replaceStatus(ctx context.Context, obj platform.Object) (platform.Object, error) {
	old, err := a.store.Get(ctx, obj.Kind, obj.Name)
	switch {
	case fault.Is(err, fault.NotFound):
		return a.store.Create(ctx, obj)
	case err != nil:
		return obj, err
	}
	obj.Version = old.Version
	return a.store.Update(ctx, obj)
}

// zoneStatus reports the nodes that last polled this relay: all those of the own zone, and those of other zones that
// have polled within DepartureTimeout.
func (a *activeRelay) zoneStatus() status.ZoneStatus {
	now := a.clock.Now()
	s := status.ZoneStatus{
		Zone: a.selfInfo.Zone, Slot: strconv.Itoa(int(a.selfInfo.Slot)), Relay: string(a.selfInfo.Node),
		WrittenAt: now.UTC(), Version: a.acceptor.State().Version, Nodes: []status.NodeStatus{},
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for id, p := range a.polls.nodes {
		i := p.instance
		if !p.polledHere || i.AvailabilityZone != a.selfInfo.Zone && now.Sub(p.lastPoll) > syncer.DepartureTimeout {
			continue
		}
		if known, ok := a.table.Get(id); ok && known.Incarnation >= i.Incarnation {
			i = known
		}
		s.Nodes = append(s.Nodes, status.NodeStatus{
			ID: string(id), Service: i.Service, Version: p.config.Version, Hash: string(p.config.Hash),
			State: status.StateName(i.State), LastPollAgeMillis: now.Sub(p.lastPoll).Milliseconds(),
		})
	}
	slices.SortFunc(s.Nodes, func(a, b status.NodeStatus) int { return cmp.Compare(a.ID, b.ID) })
	return s
}
