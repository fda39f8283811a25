package membership

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// hash covers the fields that merging compares. Ages are excluded because they differ between tables.
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

// addToDigest adds the entry to the digests of its service and availability zone. A digest is the XOR of the record
// hashes, so an update takes constant time and the order of updates does not matter.
func (t *Table) addToDigest(e *entry) {
	e.hash, e.inDigest = e.instance.hash(), true
	t.toggleDigest(e)
}

// removeFromDigest removes the entry from the digests.
func (t *Table) removeFromDigest(e *entry) {
	if e.inDigest {
		t.toggleDigest(e)
		e.inDigest = false
	}
}

// toggleDigest adds the hash of the entry to the digests, or removes it if they contain it.
func (t *Table) toggleDigest(e *entry) {
	t.serviceDigests[e.instance.Service] ^= e.hash
	t.zoneDigests[e.instance.AvailabilityZone] ^= e.hash
}

// Digest returns the digest over the services for which keep returns true. Tables with equal digests hold the same
// records.
func (t *Table) Digest(keep func(service string) bool) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	var sum uint64
	for service, d := range t.serviceDigests {
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
	out := make(map[string]uint64, len(t.zoneDigests))
	for zone, d := range t.zoneDigests {
		if d != 0 {
			out[zone] = d
		}
	}
	return out
}
