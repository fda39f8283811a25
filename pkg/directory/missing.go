package directory

import (
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/era"
	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
)

// restoreGrace is how long an instance whose record the store lacks after a restore does not count as departed: the longest backoff of
// its node, the pull by which a node hears of the restore, restoreSpread, and a write that is tried twice.
const restoreGrace = 5 * time.Second

// missingRecords keeps the records that a listing lacked although nobody has removed them: the store has come back from a copy, or this
// node has listed the instances for the first time and heard of a record that is about to be written. Those that stay away for
// restoreGrace are taken for removed. It is used by one goroutine.
type missingRecords struct {
	// listed is set once there was a listing, in the era listedEra.
	listed    bool
	listedEra era.Number
	waiting   map[membership.InstanceID]missingRecord
}

type missingRecord struct {
	record membership.Instance
	until  time.Time
}

// observe takes in a complete listing that lacks some of the known records, and returns those that were removed.
func (m *missingRecords) observe(now time.Time, read era.Number, lacking []membership.Instance) (removed []membership.Instance) {
	first := !m.listed || read != m.listedEra
	before := m.waiting
	m.listed, m.listedEra, m.waiting = true, read, make(map[membership.InstanceID]missingRecord)
	for _, in := range lacking {
		known, waits := before[in.ID]
		switch {
		case in.State == membership.StateDeparted:
		case first:
			m.waiting[in.ID] = missingRecord{in, now.Add(restoreGrace)}
		case waits && now.Before(known.until):
			m.waiting[in.ID] = known
		default:
			removed = append(removed, in)
		}
	}
	return removed
}

// found takes note of a record that the store holds, or has removed.
func (m *missingRecords) found(id membership.InstanceID) { delete(m.waiting, id) }

// expired returns the records that have stayed away for too long. One that was replaced by a newer one meanwhile is not returned, since
// its node lives and will write it.
func (m *missingRecords) expired(now time.Time, known func(membership.InstanceID) membership.Instance) (removed []membership.Instance) {
	for id, missing := range m.waiting {
		if now.Before(missing.until) {
			continue
		}
		delete(m.waiting, id)
		if known(id) == missing.record {
			removed = append(removed, missing.record)
		}
	}
	return removed
}
