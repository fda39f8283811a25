package membership

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// hash covers what merging compares. Ages are left out, since they differ between tables.
func (i Instance) hash() uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(i.ID))
	var b [18]byte
	binary.LittleEndian.PutUint64(b[0:], i.Incarnation)
	binary.LittleEndian.PutUint64(b[8:], i.Sequence)
	b[16] = byte(i.State)
	if i.HandedOver {
		b[17] = 1
	}
	_, _ = d.Write(b[:])
	return d.Sum64()
}

// digest adds the entry to the sums of its service and zone. Sums are exclusive-or of record hashes, so that each
// change costs one step and the order of changes makes no difference.
func (t *Table) digest(e *entry) {
	e.hash, e.digested = e.instance.hash(), true
	t.sum(e)
}

func (t *Table) undigest(e *entry) {
	if e.digested {
		t.sum(e)
		e.digested = false
	}
}

func (t *Table) sum(e *entry) {
	t.byService[e.instance.Service] ^= e.hash
	t.byZone[e.instance.AvailabilityZone] ^= e.hash
}

// Digest returns the digest of the services that keep selects. Two tables with the same digest hold the same records.
func (t *Table) Digest(keep func(service string) bool) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	var sum uint64
	for service, d := range t.byService {
		if keep(service) {
			sum ^= d
		}
	}
	return sum
}

// ZoneDigests returns the digest of each availability zone.
func (t *Table) ZoneDigests() map[string]uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]uint64, len(t.byZone))
	for zone, d := range t.byZone {
		if d != 0 {
			out[zone] = d
		}
	}
	return out
}
